"""The kinds that operators declare, as models of their YAML."""

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
    """The limits of one client account, named after the account."""

    concurrency: Count
    call_concurrency: Count = 4
    priority: typing.Annotated[int, pydantic.Field(ge=1, le=10, strict=True)] = 5
    retained_context: units.Tokens
    keys: tuple[KeyHash, ...] = pydantic.Field(min_length=1)
    pools: tuple[Name, ...] = ()

    def to_row(self):
        """Return the contract as the decision logic knows it."""
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
    """An account's share of the pool at the start of an event."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    account: Name
    share: units.Share


class Event(_Kind):
    """A fixed hour at which callers arrive together."""

    pool: Name
    starts_at: datetime.datetime
    lead: units.Duration = datetime.timedelta(minutes=10)
    lasts: units.Duration = datetime.timedelta(minutes=15)
    shares: tuple[EventShare, ...] = ()

    def to_row(self):
        """Return the event as the decision logic knows it."""
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
    """A model, the pool that runs it and the weight version in force."""

    pool: Name
    version: str = pydantic.Field(min_length=1, max_length=63)
    context: units.Tokens

    def to_row(self):
        """Return the model as the decision logic knows it."""
        return declared.Model(self.name, self.pool, self.version, self.context)


class Pool(_Kind):
    """Targets that do the same work."""

    targets: declared.TargetKind
    concurrency: Count = 1000
    repeatable_paths: tuple[str, ...] = ()
    store: Name | None = None

    def to_row(self):
        """Return the pool as the decision logic knows it."""
        return declared.Pool(
            self.name,
            self.targets,
            self.concurrency,
            self.repeatable_paths,
            self.store or "",
        )


class Target(_Kind):
    """A host that does a pool's work."""

    pool: Name
    data_centre: Name
    checks_fencing: bool = False

    def to_row(self):
        """Return the target as the decision logic knows it."""
        return declared.Target(
            self.name, self.pool, self.data_centre, self.checks_fencing
        )


class DataCentre(_Kind):
    """A data centre and its region."""

    region: Name

    def to_row(self):
        """Return the data centre as the decision logic knows it."""
        return declared.DataCentre(self.name, self.region)


MODEL_BY_KIND = {
    kind.__name__: kind for kind in (Contract, Event, Model, Pool, Target, DataCentre)
}
