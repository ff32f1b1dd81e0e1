"""The records that callers, targets and the fault player make during a soak."""

import dataclasses
import enum


class Kind(enum.Enum):
    """The kind of a caller's request; its path begins with the value."""

    ONCE = "once"
    READ = "read"
    CHAT = "chat"
    # Asks for a route that exists in one version of the configuration only.
    PROBE = "probe"


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A target started to run a request.

    Attributes
    ----------
    at : float
        When it started, in seconds on the soak's clock, as in all records.
    status : int
        The status that the target answered, or would have answered.
    first_event : int
        The number of the event with which the run's part of the stream began.
    weights : int
        The weight version of the engine; 0 at a plain service.
    key : str or None
        The API key that the target received, which must be None.
    salt : str
        The cache salt that the target received.
    software : str
        The version of the target's software.
    deadly_part : str
        The id of the part of its prompt that crashes targets, or "".
    """

    request_id: str
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
    software: str = ""
    deadly_part: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
    """A caller's request and its result.

    Attributes
    ----------
    status : int or None
        None if there was no complete answer.
    body : bytes
        The part of the body that arrived.
    stamp : str or None
        The name of the target that answered, as the answer's ``X-Server-Stamp``.
    incarnation : int
        The number of the daemon's incarnation that it was sent to, from 1.
    version : int
        For a PROBE, the version of the configuration that has its route; else 0.
    resumes : str
        The id of the request that brought the first event of the stream that this one
        takes up; empty if it begins one.
    last_event : int
        The number of the last event that the caller had before.
    """

    request_id: str
    kind: Kind
    daemon: str
    incarnation: int
    path: str
    account: str
    deadline_ms: int
    sent_at: float
    ended_at: float
    status: int | None
    body: bytes = b""
    stamp: str | None = None
    version: int = 0
    resumes: str = ""
    last_event: int = 0

    @property
    def stream(self):
        """The id of the request that began the stream."""
        return self.resumes or self.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """A caller asked a daemon's directory, which named these daemons."""

    daemon: str
    asked_at: float
    named: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """A target received an order to load weights.

    Attributes
    ----------
    delay : float
        Seconds until it is carried out; an order with a delay gets no answer.
    holder : str
        The daemon that holds the lease for such orders.
    epoch : int
        The epoch of the lease, used as a fencing token.
    """

    target: str
    at: float
    holder: str
    epoch: int
    delay: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request reached a target, which says something of itself in its answer.

    Attributes
    ----------
    born : int
        The incarnation of the target.
    limit : float
        The requests per second that the answer names as a limit; infinite for none.
    is_leaving : bool
        Whether the answer says that the target leaves.
    rest : float
        The seconds of rest that the answer asks for; 0 for none.
    """

    request_id: str
    target: str
    born: int
    at: float
    limit: float
    is_leaving: bool = False
    rest: float = 0.0


# What a fault is called in which a daemon loses its paths to all targets.
CUT_FROM_TARGETS = "cut from targets"
# The same of targets that are brittle, and silent for a second or so.
BRITTLE = "brittle"
SILENT = "silent for a second"


class Area(enum.Enum):
    """The part of the fleet that a fault affects."""

    DAEMON = "daemon"
    STORE = "store"
    LINK = "link"
    TARGET = "target"
    # The paths of a daemon to all targets.
    PATHS = "paths"


@dataclasses.dataclass(slots=True)
class Fault:
    """A fault and the time in which it was active.

    Attributes
    ----------
    planned : bool
        Whether it is an orderly stop or a change, which must cut no request off.
    subject : str
        The daemon or target affected; empty for all daemons.
    """

    what: str
    area: Area
    subject: str
    began: float
    ended: float = float("inf")
    planned: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The store accepted a change by the operator or by a target.

    Attributes
    ----------
    what : str
        ``configuration``, ``weights`` or ``leaving``.
    subject : str
        The target that leaves, if one does.
    """

    what: str
    at: float
    version: int = 0
    subject: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An engine crashed because it ran a request that crashes engines.

    Attributes
    ----------
    path : str
        The path of the request, by which its attempts are recognised, or the id of the
        part of its prompt that did it.
    """

    path: str
    target: str
    at: float


@dataclasses.dataclass
class Journal:
    """All records of one soak."""

    sent_requests: list[SentRequest] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    directory_answers: list[DirectoryAnswer] = dataclasses.field(default_factory=list)
    orders: list[Order] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    crashes: list[Crash] = dataclasses.field(default_factory=list)
    # The service and time of each fall of a brittle target.
    falls: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    # The daemon that each attempt to crash an engine was sent to, by the attempt's id.
    daemon_by_crash_attempt: dict[str, str] = dataclasses.field(default_factory=dict)
    # Daemons that exited though the soak had sent no signal, with their exit codes.
    exits: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    # The weight version of each engine listed at the end, by the engine's name.
    final_weights_by_engine: dict[str, int] = dataclasses.field(default_factory=dict)
    # When all daemons were ready for the first time.
    ready_at: float = 0.0
    # When the last fault ended.
    recovered_at: float = float("inf")

    def daemon_by_request(self):
        """Return the daemon that each request was sent to, by the request's id."""
        by_request = {sent.request_id: sent.daemon for sent in self.sent_requests}
        return by_request | self.daemon_by_crash_attempt
