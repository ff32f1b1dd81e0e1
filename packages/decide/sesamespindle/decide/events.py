"""The events that `core.Core.step` handles, as frozen records."""

import dataclasses
import datetime
import enum

from sesamespindle.decide import declared


class HostState(enum.StrEnum):
    """The membership state of a host, which decides whether it gets new work."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host as the platform's list or a peer describes it.

    Attributes
    ----------
    role : str
        ``entry``, ``engine``, ``service`` or ``store_host``.
    url : str
        The address for callers of an entry, or for requests to a target.
    peer_address : str
        The address for peers; of entries only.
    admin_url : str
        The address of the operators' interface; of entries only.
    incarnation : int
        When the process started, in milliseconds since the epoch; of entries only.
    capacity : int
        What it can carry, in thousandths of a core; 0 if it isn't known.
    """

    name: str
    role: str
    data_centre: str
    url: str
    peer_address: str = ""
    admin_url: str = ""
    incarnation: int = 0
    state: HostState = HostState.LIVE
    capacity: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic work is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class DeclarationsAdopted:
    """A revision of the declarations is active; lower revisions are ignored."""

    revision: int
    declarations: declared.Declarations


@dataclasses.dataclass(frozen=True, slots=True)
class HostsListed:
    """The platform's list of hosts, which lags."""

    hosts: tuple[Host, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target must get no new work, even if the host list has it as live."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported:
    """A load report of a target, which lags.

    Attributes
    ----------
    as_of : datetime.datetime
        When the target made the report, by this daemon's clock.
    backlog_tokens : int
        The prompt tokens that wait for prefill.
    running : int
        The requests that run at the target.
    prefill_rate : float
        The prefill rate, in prompt tokens per second.
    version : str
        The weight version that the target runs.
    """

    target: str
    as_of: datetime.datetime
    backlog_tokens: int
    running: int
    prefill_rate: float
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPosition:
    """How far a caller has read a stream that another entry started.

    Attributes
    ----------
    delivered : int
        The tokens that the caller has received.
    """

    target: str
    version: str
    delivered: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromptArrived:
    """A caller has sent a prompt.

    Attributes
    ----------
    text : str
        The rendered prompt, from which its cache blocks are identified.
    tokens : int
        The prompt tokens.
    answer_tokens : int
        The most tokens that the answer may have.
    cache_hint : str
        The caller's name for the context; may be empty.
    resume : StreamPosition or None
        The position from which to resume, for a caller whose entry died.
    content : bytes or None
        The digest from `fingerprints.of_content`; None if the complete body isn't
        available.
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
    """The kind of idempotency key of a call to a plain service.

    `CALLER` is a key that the caller chose, `TICKET` one that an entry issued.
    """

    NONE = "none"
    CALLER = "caller"
    TICKET = "ticket"


@dataclasses.dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller has sent a call for a plain service.

    Attributes
    ----------
    key : str
        The idempotency key; empty for `KeyKind.NONE`.
    fingerprint : str
        A hash of pool, path and body. A later call with the same key must match it.
    repeatable : bool
        Whether the call is idempotent, so that it may be retried after a lost answer.
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
    """The caller has disconnected, or has received its answer."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The target has returned the first token of a prompt.

    Attributes
    ----------
    reused_tokens : int
        The prompt tokens that the target had in its KV cache.
    computed_tokens : int
        The prompt tokens that the target prefilled.
    """

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
    """An attempt at a target has ended.

    Attributes
    ----------
    ending : Ending
        `NOT_SENT` only if no byte of the request can have left this host. `LINK_LOST`
        if the connection broke or went idle after the request may have arrived.
        `STREAM_GONE` if the target no longer has the stream, or refuses to resume it.
    delivered : int
        The tokens that the caller has received.
    retry_after : datetime.timedelta or None
        The retry delay that the target gave.
    """

    request_id: str
    attempt: int
    ending: Ending
    delivered: int = 0
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a plain service, stored for repeated calls with its key."""

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswered:
    """A plain service has answered a call."""

    request_id: str
    attempt: int
    answer: StoredAnswer


class ClaimState(enum.StrEnum):
    """What is known of the run that a claim protects."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The durable idempotency record of a key: only its entry may run the call.

    Attributes
    ----------
    entry, incarnation : str, int
        The entry that holds the claim.
    nonce : str
        Tells the claims of different runs with the same key apart.
    fingerprint : str
        From `CallArrived`.
    answer : StoredAnswer or None
        The answer of a run that is `ClaimState.DONE`.
    """

    entry: str
    incarnation: int
    nonce: str
    fingerprint: str
    state: ClaimState
    taken_at: datetime.datetime
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """The claim of this entry was written, as this version of the platform object."""

    request_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFound:
    """The claim was not written, as there is one already, at this object version."""

    request_id: str
    version: int
    claim: Claim


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The platform is unavailable, so it isn't known whether the claim was written."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """The daemon ends: requests in flight get final answers, new ones are refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class DepartureFinished:
    """All requests in flight are finished, and the daemon ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaveRequested:
    """An operator or the host has asked this daemon to leave.

    Attributes
    ----------
    ends_at : datetime.datetime
        When the daemon ends at the latest.
    asked_at : datetime.datetime or None
        The earliest time at which the daemon can have been asked; None if that is
        the time at which the event is handled.
    """

    ends_at: datetime.datetime
    asked_at: datetime.datetime | None = None


class Resource(enum.IntEnum):
    """The limits of an account's contract that are divided into slices."""

    PROMPTS = 0
    CALLS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class SliceAsk:
    """An entry's use of an account's limit, and its request for a slice of it.

    Attributes
    ----------
    in_use : int
        The slots that requests at the entry use.
    wanted : int
        The slots that the entry asks for in all.
    held : int
        The slots that the entry may use now.
    grant : int
        The number of the grant that `held` came with; 0 for none.
    """

    account: str
    resource: Resource
    in_use: int
    wanted: int
    held: int
    grant: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlicesAsked:
    """An entry asks this daemon for slices; a `commands.GrantSlices` follows.

    Attributes
    ----------
    sequence : int
        Rises with every message of the entry's incarnation.
    """

    exchange_id: str
    entry: str
    incarnation: int
    sequence: int
    asks: tuple[SliceAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SliceGrant:
    """The slots that an entry may use for one grant lifetime.

    Attributes
    ----------
    grant : int
        The number of the grant; 0 if nothing is granted.
    """

    account: str
    resource: Resource
    slots: int
    grant: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlicesGranted:
    """The owner has answered the asks that were sent at `asked_at`."""

    asked_at: datetime.datetime
    asks: tuple[SliceAsk, ...]
    grants: tuple[SliceGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldingsReported:
    """An entry has answered which slices it holds of accounts that are owned here now.

    Attributes
    ----------
    accounts : tuple of str
        The accounts that were asked for; `holdings` is complete for them.
    holdings : tuple of SliceAsk
        The slices that the entry holds.
    settled : bool
        False if the entry knows of an entry that was replaced so recently that slices
        of the earlier incarnation may still be in use.
    """

    entry: str
    incarnation: int
    accounts: tuple[str, ...]
    holdings: tuple[SliceAsk, ...]
    settled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HoldingsAsked:
    """A new owner asks which slices this entry holds.

    A `commands.TellHoldings` follows.
    """

    exchange_id: str
    owner: str
    owner_incarnation: int
    accounts: tuple[str, ...]
