"""The commands that `core.Core.step` returns, as frozen records."""

import dataclasses
import datetime
import enum

from sesamespindle.decide import events, gossip, revisions


class Outcome(enum.StrEnum):
    """Whether a refused request has run.

    `NOT_RUN` is only given if it certainly hasn't; otherwise it is `UNKNOWN`.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """The reason why a request was refused."""

    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_POOL = "unknown_pool"
    CONTEXT_TOO_LONG = "context_too_long"
    CONCURRENCY = "concurrency_limit"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    LIMITED = "limited"
    RESTING = "resting"
    RETRY_BUDGET = "retry_budget_spent"
    DEADLINE = "deadline_passed"
    PLATFORM_AWAY = "platform_away"
    STILL_RUNNING = "still_running"
    KEY_REUSED = "key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_LOST = "stream_lost"
    ENTRY_GONE = "entry_gone"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    STALE_CONFIGURATION = "stale_configuration"
    TARGET_FAILED = "target_failed"
    TIMEOUT = "timeout"
    NOT_REACHED = "not_reached"
    CARRIER_BUSY = "carrier_busy"
    BODY_TOO_LARGE = "body_too_large"
    BODY_LATE = "body_late"
    HOST_OVERLOADED = "host_overloaded"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    VERSION_GONE = "version_gone"
    ORIGIN_UNKNOWN = "origin_unknown"
    PROMPT_TOO_LARGE = "prompt_too_large"
    HEADER_NOT_UTF8 = "header_not_utf8"


@dataclasses.dataclass(frozen=True, slots=True)
class SendPrompt:
    """Start a prompt at a target.

    Attributes
    ----------
    priority : int
        The weight in queues, 1 to 10.
    salt : str
        The cache salt, made for `version`.
    version : str
        The weight version that must answer.
    store_url : str
        The address of a store host from which to import KV cache; may be empty.
    """

    request_id: str
    attempt: int
    target: str
    url: str
    priority: int
    salt: str
    version: str
    store_url: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeStream:
    """Resume reading the same stream at the same target.

    Attributes
    ----------
    pause : datetime.timedelta
        How long to wait first.
    """

    request_id: str
    attempt: int
    target: str
    url: str
    pause: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class SendCall:
    """Send a call to a plain service, over a separate connection."""

    request_id: str
    attempt: int
    target: str
    url: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request; this is the caller's final answer.

    Attributes
    ----------
    code : Code
        Why it is refused.
    outcome : Outcome
        Whether it has run.
    message : str
        The reason in words.
    retry_after : datetime.timedelta or None
        When to try again; None if that would not help.
    """

    request_id: str
    code: Code
    outcome: Outcome
    message: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyStored:
    """Give the caller the stored answer of a call.

    Attributes
    ----------
    replayed : bool
        Whether an earlier request with the same key got the answer.
    """

    request_id: str
    answer: events.StoredAnswer
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TakeClaim:
    """Write a claim, the idempotency record of a key, to the platform.

    Attributes
    ----------
    replaces : int
        The object version to replace; 0 to create the claim.
    """

    request_id: str
    account: str
    key: str
    claim: events.Claim
    replaces: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettleClaim:
    """Update a claim with how the run that it protects ended.

    Attributes
    ----------
    request_id : str
        Used for the log only.
    replaces : int
        The object version to replace; 0 if it isn't known whether the claim was
        written. In that case a claim is created, so that a delayed first write can't
        take effect any more.
    """

    request_id: str
    account: str
    key: str
    claim: events.Claim
    replaces: int


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """An entry for the event log, which operators read as a time line."""

    kind: str
    subject: str
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class GossipTo:
    """Start a gossip exchange with a peer by sending it this host's message."""

    peer_address: str
    message: gossip.GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class GossipReply:
    """Answer a peer's gossip message."""

    exchange_id: str
    message: gossip.GossipMessage


@dataclasses.dataclass(frozen=True, slots=True)
class FetchDeclarations:
    """Fetch declarations of a higher revision from a peer that has it active."""

    peer_address: str
    above_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAgain:
    """Read a kind of platform object again, as a peer has seen a later change of it."""

    kind: str
    revision: revisions.Revision
    peer_address: str
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AskSlices:
    """Ask an owner for slices of accounts' limits; for both terms see `slices`.

    Attributes
    ----------
    sequence : int
        Rises with every such message of this incarnation of the daemon.
    """

    peer_address: str
    sequence: int
    asks: tuple[events.SliceAsk, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantSlices:
    """Answer an entry that has asked for slices."""

    exchange_id: str
    grants: tuple[events.SliceGrant, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskHoldings:
    """Ask an entry which slices it holds of accounts that this daemon owns now."""

    entry: str
    peer_address: str
    accounts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TellHoldings:
    """Answer a new owner that has asked which slices this entry holds.

    Attributes
    ----------
    settled : bool
        See `events.HoldingsReported`.
    """

    exchange_id: str
    holdings: tuple[events.SliceAsk, ...]
    settled: bool
