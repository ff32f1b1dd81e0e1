"""What operators have declared, as the decision logic sees it."""

import dataclasses
import datetime
import enum


class TargetKind(enum.StrEnum):
    """What stands behind a target's address."""

    ENGINE = "engine"
    SERVICE = "service"
    STORE_HOST = "store_host"


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """The limits of one client account, and the hashes of its keys.

    Attributes
    ----------
    concurrency : int
        Prompts at once, over all entries.
    call_concurrency : int
        Calls to plain services at once, over all entries.
    priority : int
        Weight in queues, 1 to 10.
    retained_tokens : int
        Tokens of context kept for the account after use.
    key_hashes : tuple of str
        SHA-256 of each key, in hexadecimal.
    """

    account: str
    concurrency: int
    call_concurrency: int
    priority: int
    retained_tokens: int
    key_hashes: tuple[str, ...]
    pools: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EventShare:
    """The share of a pool that an account has at an event's start, 0 to 1."""

    account: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A fixed hour at which callers arrive together."""

    name: str
    pool: str
    starts_at: datetime.datetime
    lead: datetime.timedelta
    lasts: datetime.timedelta
    shares: tuple[EventShare, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model, the pool that runs it, and the weight version in force."""

    name: str
    pool: str
    version: str
    context_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Targets that do the same work.

    Attributes
    ----------
    repeatable_paths : tuple of str
        Paths of a service that may be called again after a lost answer.
    store : str
        The pool of store hosts that keeps the engines' contexts; may be empty.
    """

    name: str
    kind: TargetKind
    concurrency: int
    repeatable_paths: tuple[str, ...] = ()
    store: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A host that does a pool's work; its address comes from the host list."""

    name: str
    pool: str
    data_centre: str
    checks_fencing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and its region."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class Declarations:
    """Everything declared at one revision."""

    contracts: tuple[Contract, ...] = ()
    events: tuple[Event, ...] = ()
    models: tuple[Model, ...] = ()
    pools: tuple[Pool, ...] = ()
    targets: tuple[Target, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
