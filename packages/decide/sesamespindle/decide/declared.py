"""The operators' declarations, in the form that the decision logic uses."""

import dataclasses
import datetime
import enum


class TargetKind(enum.StrEnum):
    """The kind of process that answers at a target's address."""

    ENGINE = "engine"
    SERVICE = "service"
    STORE_HOST = "store_host"


@dataclasses.dataclass(frozen=True, slots=True)
class Contract:
    """The limits of one client account, and the hashes of its keys.

    Attributes
    ----------
    account : str
        The name of the account.
    concurrency : int
        The number of concurrent prompts, over all entry hosts.
    call_concurrency : int
        The number of concurrent calls to plain services, over all entry hosts.
    priority : int
        The weight in queues, 1 to 10.
    retained_tokens : int
        The tokens of context to keep for the account after use. No decision uses it.
    key_hashes : tuple of str
        The SHA-256 of each API key, in hexadecimal.
    pools : tuple of str
        The pools that the account may use; empty for all.
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
    """The share of a pool, from 0 to 1, that an account has when an event starts."""

    account: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A scheduled time at which many callers arrive together.

    No decision uses it.

    Attributes
    ----------
    starts_at : datetime.datetime
        When the event starts.
    lead : datetime.timedelta
        The lead time before the start.
    lasts : datetime.timedelta
        How long the event lasts.
    """

    name: str
    pool: str
    starts_at: datetime.datetime
    lead: datetime.timedelta
    lasts: datetime.timedelta
    shares: tuple[EventShare, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model, the pool that runs it, and its active weight version.

    Attributes
    ----------
    context_tokens : int
        The context length, in tokens.
    """

    name: str
    pool: str
    version: str
    context_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Interchangeable targets.

    Attributes
    ----------
    concurrency : int
        The most that the limits of the contracts which use the pool may add up to.
    repeatable_paths : tuple of str
        Paths of a service that are idempotent, so that a call whose answer was lost may
        be retried.
    store : str
        The pool of store hosts that keeps the engines' KV caches; may be empty.
    """

    name: str
    kind: TargetKind
    concurrency: int
    repeatable_paths: tuple[str, ...] = ()
    store: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target of a pool; its address comes from the host list.

    Attributes
    ----------
    checks_fencing : bool
        Whether the target checks fencing tokens. No decision uses it.
    """

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
    """All declarations at one revision."""

    contracts: tuple[Contract, ...] = ()
    events: tuple[Event, ...] = ()
    models: tuple[Model, ...] = ()
    pools: tuple[Pool, ...] = ()
    targets: tuple[Target, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
