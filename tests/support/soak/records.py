"""What callers, targets and the fault player write down during a soak."""

import dataclasses
import enum


class Kind(enum.Enum):
    """What a caller asks for."""

    ONCE = "once"
    READ = "read"
    CHAT = "chat"
    # Asks for a route that one version of the configuration adds.
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A target began to work on a request.

    Attributes
    ----------
    at : float
        Seconds on the soak's clock, as in all records.
    status : int
        What the target answered, or would have.
    first_event : int
        The event of the stream that the run began with.
    weights : int
        The weight version that it ran on; 0 at a plain service.
    """

    request: str
    target: str
    service: str
    path: str
    at: float
    status: int
    account: str
    key: str | None
    deadline_ms: int | None
    first_event: int = 1
    weights: int = 0
    salt: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A caller's request and what came of it.

    Attributes
    ----------
    status : int or None
        None where the connection ended without a whole answer.
    body : bytes
        As far as it came.
    stamp : str or None
        The target's proof of itself.
    life : int
        Which start of the daemon's process it was sent to.
    """

    request: str
    kind: Kind
    daemon: str
    life: int
    path: str
    account: str
    deadline_ms: int
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes = b""
    stamp: str | None = None
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """A daemon's directory named daemons to a caller that asked at a time."""

    daemon: str
    asked_at: float
    named: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A target was given an order to load weights.

    Attributes
    ----------
    delay : float
        Seconds until it is carried out; an order with a delay gets no answer.
    """

    target: str
    at: float
    holder: str
    epoch: int
    delay: float = 0.0


class Area(enum.Enum):
    """What a fault strikes."""

    DAEMON = "daemon"
    STORE = "store"
    LINK = "link"
    TARGET = "target"


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault in force; it strikes all daemons where it names none.

    Attributes
    ----------
    planned : bool
        Whether it is a stop or a change that must cut nothing off.
    """

    what: str
    area: Area
    subject: str
    began: float
    ended: float = float("inf")
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The store accepted a change of the operator's or of a target's.

    Attributes
    ----------
    what : str
        ``configuration``, ``weights`` or ``leaving``.
    subject : str
        The target that leaves.
    """

    what: str
    at: float
    version: int = 0
    subject: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine ended under a request that crashes engines.

    Attributes
    ----------
    path : str
        Of the request; each such request has a path of its own.
    """

    path: str
    target: str
    at: float


@dataclasses.dataclass
class Journal:
    """All records of one soak."""

    asked: list[Asked] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    told: list[Told] = dataclasses.field(default_factory=list)
    orders: list[Order] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    # The daemon that each attempt of such requests was sent to, by its id.
    daemon_by_crashing: dict[str, str] = dataclasses.field(default_factory=dict)
    # Exits that no signal of the soak explains: daemon and exit code.
    exits: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    # The weight version of each engine that is listed at the end.
    final_weights_by_engine: dict[str, int] = dataclasses.field(default_factory=dict)
    # When all daemons were ready for the first time.
    ready_at: float = 0.0
    # When the last fault had ended.
    recovered_at: float = float("inf")
