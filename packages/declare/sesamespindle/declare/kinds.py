"""The kinds of objects that operators declare in YAML, as pydantic models."""

import datetime
import typing

import pydantic

from sesamespindle.decide import declared
from sesamespindle.declare import units

API = "sesamespindle/v1"

Name = typing.Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9]([a-z0-9-]*[a-z0-9])?$", max_length=63)
]
KeyHash = typing.Annotated[str, pydantic.Field(pattern=r"^sha256:[0-9a-f]{64}$")]
Count = typing.Annotated[int, pydantic.Field(ge=1, strict=True)]


class _Kind(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    name: Name


class Contract(_Kind):
    """The limits of one client account; its name is the account's name.

    Attributes
    ----------
    concurrency : int
        Concurrent prompts, over all entries.
    call_concurrency : int
        Concurrent calls to plain services, over all entries.
    priority : int
        Weight in queues, 1 to 10.
    retained_context : int
        Tokens of context kept for the account after use; no decision uses it yet.
    keys : tuple of str
        SHA-256 hashes of the account's API keys, as ``sha256:`` and hexadecimal.
    pools : tuple of str
        The pools that the account may use; empty for all pools.
    """

    concurrency: Count
    call_concurrency: Count = 4
    priority: typing.Annotated[int, pydantic.Field(ge=1, le=10, strict=True)] = 5
    retained_context: units.Tokens
    keys: tuple[KeyHash, ...] = pydantic.Field(min_length=1)
    pools: tuple[Name, ...] = ()

    def to_row(self):
        """Return the contract as a `declared.Contract`."""
        return declared.Contract(
            self.name,
            self.concurrency,
            self.call_concurrency,
            self.priority,
            self.retained_context,
            tuple(key.removeprefix("sha256:") for key in self.keys),
            self.pools,
        )


class EventShare(pydantic.BaseModel):
    """An account's share of the pool, 0 to 1, at the start of an event."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    account: Name
    share: units.Share


class Event(_Kind):
    """A fixed time at which many callers arrive together; no decision uses it yet.

    Attributes
    ----------
    starts_at : datetime.datetime
        The start; UTC if it has no time zone.
    lead : datetime.timedelta
        The lead time before the start.
    lasts : datetime.timedelta
        How long the event lasts.
    shares : tuple of EventShare
        Each account's share of the pool; together at most 1.
    """

    pool: Name
    starts_at: datetime.datetime
    lead: units.Duration = datetime.timedelta(minutes=10)
    lasts: units.Duration = datetime.timedelta(minutes=15)
    shares: tuple[EventShare, ...] = ()

    def to_row(self):
        """Return the event as a `declared.Event`."""
        starts_at = self.starts_at
        if starts_at.tzinfo is None:
            starts_at = starts_at.replace(tzinfo=datetime.UTC)
        shares = tuple(
            declared.EventShare(item.account, item.share) for item in self.shares
        )
        return declared.Event(
            self.name, self.pool, starts_at, self.lead, self.lasts, shares
        )


class Model(_Kind):
    """A model, the pool that runs it and its active weight version.

    Attributes
    ----------
    context : int
        The context window, in tokens.
    """

    pool: Name
    version: str = pydantic.Field(min_length=1, max_length=63)
    context: units.Tokens

    def to_row(self):
        """Return the model as a `declared.Model`."""
        return declared.Model(self.name, self.pool, self.version, self.context)


class Pool(_Kind):
    """A group of interchangeable targets.

    Attributes
    ----------
    targets : declared.TargetKind
        The kind of all targets in the pool.
    concurrency : int
        Concurrent requests in the pool; an upper bound for the contracts' limits.
    repeatable_paths : tuple of str
        Paths of a service that may be called again after a lost answer.
    store : str or None
        The pool of store hosts that keeps the engines' KV caches.
    """

    targets: declared.TargetKind
    concurrency: Count = 1000
    repeatable_paths: tuple[str, ...] = ()
    store: Name | None = None

    def to_row(self):
        """Return the pool as a `declared.Pool`."""
        return declared.Pool(
            self.name,
            self.targets,
            self.concurrency,
            self.repeatable_paths,
            self.store or "",
        )


class Target(_Kind):
    """A host that serves a pool; its address comes from the platform's host list.

    Attributes
    ----------
    checks_fencing : bool
        Whether the target checks fencing tokens; no decision uses it yet.
    """

    pool: Name
    data_centre: Name
    checks_fencing: bool = False

    def to_row(self):
        """Return the target as a `declared.Target`."""
        return declared.Target(
            self.name, self.pool, self.data_centre, self.checks_fencing
        )


class DataCentre(_Kind):
    """A data centre and its region."""

    region: Name

    def to_row(self):
        """Return the data centre as a `declared.DataCentre`."""
        return declared.DataCentre(self.name, self.region)


MODEL_BY_KIND = {
    kind.__name__: kind for kind in (Contract, Event, Model, Pool, Target, DataCentre)
}
