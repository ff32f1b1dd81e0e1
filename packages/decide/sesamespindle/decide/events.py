"""What can happen to a daemon, as frozen records for `core.Core.step`."""

import dataclasses
import datetime
import enum

from sesamespindle.decide import declared


class HostState(enum.StrEnum):
    """Whether a host may get new work."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host as the platform's list or a peer shows it.

    Attributes
    ----------
    role : str
        ``entry``, ``engine``, ``service`` or ``store_host``.
    url : str
        Where callers or requests go.
    peer_address : str
        Where peers go, for entries.
    incarnation : int
        Milliseconds since the epoch at the start of the process, for entries.
    """

    name: str
    role: str
    data_centre: str
    url: str
    peer_address: str = ""
    admin_url: str = ""
    incarnation: int = 0
    state: HostState = HostState.LIVE


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsAdopted:
    """A revision is known to be in force; lower ones are ignored."""

    revision: int
    declarations: declared.Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's list, which lags."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target must get no new work, whatever the list says."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A target's load, which lags.

    Attributes
    ----------
    as_of : datetime.datetime
        When the target took the figures, by this daemon's clock.
    backlog_tokens : int
        Prompt tokens that wait to be processed.
    prefill_rate : float
        Prompt tokens a second.
    """

    target: str
    as_of: datetime.datetime
    backlog_tokens: int
    running: int
    prefill_rate: float
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPosition:
    """How far a caller has read a stream that another entry began."""

    target: str
    version: str
    delivered: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptArrived:
    """A caller wants an answer from a model.

    Attributes
    ----------
    text : str
        The rendered prompt, for the identity of its blocks.
    cache_hint : str
        The caller's name for the context; may be empty.
    resume : StreamPosition or None
        Where to read on, for a caller whose entry died.
    content : bytes or None
        From `fingerprints.of_content`.
    """

    request_id: str
    account: str
    model: str
    text: str
    tokens: int
    answer_tokens: int
    deadline: datetime.datetime
    cache_hint: str = ""
    resume: StreamPosition | None = None
    content: bytes | None = None


class KeyKind(enum.Enum):
    """How a call to a plain service is kept from running twice."""

    NONE = "none"
    CALLER = "caller"
    TICKET = "ticket"


@dataclasses.dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller wants a call made to a plain service.

    Attributes
    ----------
    fingerprint : str
        A hash of pool, path and body, which a repeat must match.
    """

    request_id: str
    account: str
    pool: str
    deadline: datetime.datetime
    key_kind: KeyKind = KeyKind.NONE
    key: str = ""
    fingerprint: str = ""
    repeatable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection, or has its answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """A prompt's first token came from the target."""

    request_id: str
    reused_tokens: int
    computed_tokens: int


class Ending(enum.Enum):
    """How an attempt at a target ended."""

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    LINK_LOST = "link_lost"
    STREAM_GONE = "stream_gone"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over.

    Attributes
    ----------
    ending : Ending
        `NOT_SENT` only when no byte of the request can have left.
    delivered : int
        Tokens that the caller has.
    """

    request_id: str
    attempt: int
    ending: Ending
    delivered: int = 0
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a plain service, as it is kept for repeats."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswered:
    """A plain service answered."""

    request_id: str
    attempt: int
    answer: StoredAnswer


class ClaimState(enum.StrEnum):
    """What is known of the run that a claim stands for."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A durable record that one entry alone may run a call."""

    entry: str
    incarnation: int
    nonce: str
    fingerprint: str
    state: ClaimState
    taken_at: datetime.datetime
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The claim is ours, at this version of the object."""

    request_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFound:
    """Another run has the claim."""

    request_id: str
    version: int
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The platform is away, so that no claim could be made sure."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ends:
    """All in flight gets its final answer now, and nothing more is taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class HasLeft:
    """All in flight is finished, and the daemon ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveAsked:
    """An operator or the host wants this daemon to leave.

    Attributes
    ----------
    ends_at : datetime.datetime
        When it ends at the latest.
    asked_at : datetime.datetime or None
        When the order came, at the earliest; None for now.
    """

    ends_at: datetime.datetime
    asked_at: datetime.datetime | None = None


class Resource(enum.IntEnum):
    """What of an account's contract is cut into slices."""

    PROMPTS = 0
    CALLS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class SliceAsk:
    """What an entry uses and wants of an account's limit.

    Attributes
    ----------
    held : int
        The slots that it may use now.
    grant : int
        The number of the grant that they came with; 0 for none.
    """

    account: str
    resource: Resource
    in_use: int
    wanted: int
    held: int
    grant: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlicesAsked:
    """An entry asks this daemon; a `commands.GrantSlices` follows.

    Attributes
    ----------
    sequence : int
        Rises with every ask of the entry's incarnation.
    """

    exchange_id: str
    entry: str
    incarnation: int
    sequence: int
    asks: tuple[SliceAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SliceGrant:
    """The slots that an entry may use for one grant lifetime."""

    account: str
    resource: Resource
    slots: int
    grant: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlicesGranted:
    """The owner's answer to asks that were sent at `asked_at`."""

    asked_at: datetime.datetime
    asks: tuple[SliceAsk, ...]
    grants: tuple[SliceGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldingsTold:
    """What an entry holds of accounts whose owner this daemon has become.

    Attributes
    ----------
    accounts : tuple of str
        The accounts that were asked for; the entry holds nothing more of them.
    settled : bool
        Whether the entry knows of no other that was replaced so lately that
        slices of its earlier incarnation may still be in use.
    """

    entry: str
    incarnation: int
    accounts: tuple[str, ...]
    holdings: tuple[SliceAsk, ...]
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HoldingsAsked:
    """A new owner asks; a `commands.TellHoldings` follows."""

    exchange_id: str
    owner: str
    owner_incarnation: int
    accounts: tuple[str, ...]
