"""Keeping the table of targets in step with a platform that lists incarnations."""

import dataclasses
import datetime

from sesamespindle.decide import commands, declared, world

# A target that has vanished from the list is used for this long if nothing else
# is left. Half of the shortest time that users allow between a removal and the
# last request that reaches the target.
_VANISHED_USED_FOR = datetime.timedelta(seconds=1)
# Entries that lapsed while the platform was away are back this long after its
# return, by the platform's own word, and half a second for the reading.
_LAPSED_USED_FOR = datetime.timedelta(seconds=2.5)


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """One incarnation of a target, as the platform lists it.

    Attributes
    ----------
    revision : int
        The platform's revision at the last change of this record.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    version_by_model: dict[str, int]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsListed:
    """The whole list of targets."""

    targets: tuple[ListedTarget, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChanged:
    """One target is new or has changed."""

    target: ListedTarget


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target is no longer listed."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformBack:
    """The platform answers again after it did not."""


class TargetList:
    """Adopts what the platform lists, and forgets what it no longer does.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._platform_back_at = None

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case TargetsListed():
                self._adopt_all(event.targets, now)
            case TargetChanged():
                self._adopt(event.target)
            case TargetRemoved():
                self._vanish(event.name, now)
            case PlatformBack():
                self._platform_back_at = now
            case _:
                return False
        return True

    def tick(self, now):
        """Forget targets that have been missing for long enough."""
        for row in list(self._state.targets):
            if row.missing_since is not None and now >= self._kept_until(row):
                self._state.targets.remove(row.name)
                self._state.emit(commands.Note("target_forgotten", row.name))

    def _kept_until(self, row):
        """Return when a missing target is given up.

        Guards against a platform that was away and lists nobody when it comes
        back: all targets would be refused although they serve. Where others
        of the service are still listed, a missing target is really gone.
        """
        alone = all(
            other.missing_since is not None
            for other in self._state.targets.where("pool", row.pool)
        )
        used_for = _LAPSED_USED_FOR if alone else _VANISHED_USED_FOR
        until = row.missing_since + used_for
        if self._platform_back_at is not None:
            until = max(until, self._platform_back_at + _LAPSED_USED_FOR)
        return until

    def _adopt_all(self, listed_targets, now):
        listed_names = {target.name for target in listed_targets}
        for target in listed_targets:
            self._adopt(target)
        for row in list(self._state.targets):
            if row.name not in listed_names:
                self._vanish(row.name, now)

    def _vanish(self, name, now):
        row = self._state.targets.get(name)
        if row is None or row.missing_since is not None:
            return
        row.missing_since = now
        self._state.emit(commands.Note("target_missing", name))
        if row.leaving:
            self._state.targets.remove(name)

    def _adopt(self, target):
        """Take a record in, unless a later one overtook it."""
        row = self._state.targets.get(target.name)
        if row is None:
            row = world.TargetRow(
                target.name,
                target.service,
                declared.TargetKind.ENGINE,
                target.data_centre,
                checks_fencing=False,
                url=target.address,
            )
            self._state.targets.add(row)
            self._state.emit(commands.Note("target_listed", row.name, row.url))
        row.missing_since = None
        if target.revision < row.revision:
            return
        row.revision = target.revision
        row.listed = True
        row.slots = target.slots
        for model, version in target.version_by_model.items():
            row.learn_version(model, version)
        if target.leaving and not row.leaving:
            row.leaving = True
            self._state.emit(commands.Note("target_leaving", row.name, "listed"))
