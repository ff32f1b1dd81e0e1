"""Synchronisation of the table of targets with the platform's list of targets.

The platform lists incarnations: a target that restarts may keep its name, and then
differs from its previous incarnation by its start time.
"""

import collections
import dataclasses
import datetime

from sesamespindle.decide import (
    commands,
    declared,
    eras,
    incarnations,
    revisions,
    world,
)

# A target that has disappeared from the list stays in the table for this long, and is
# used if no listed one is left. This is half of the shortest time that users allow
# between a removal and the last request that reaches the target.
_MISSING_KEPT_FOR = datetime.timedelta(seconds=1)
# Records that expired while the platform was unavailable reappear within 2 s after it
# is available again, as the platform states. The other 0.5 s are for reading them.
_EXPIRED_KEPT_FOR = datetime.timedelta(seconds=2.5)
_NOT_COLD = datetime.timedelta(0)
# How long an incarnation that has ended is remembered: far longer than the age of any
# copy that the platform's store comes back from.
_ENDED_KEPT_FOR = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True)
class ListedTarget:
    """One incarnation of a target, as the platform lists it.

    Attributes
    ----------
    revision : revisions.Revision
        The platform's revision at the last change of this record.
    born : int or None
        Start time, in milliseconds since the epoch; None where the record has none.
    software : str
        The version of its software; empty if it isn't known.
    cold_for : datetime.timedelta or None
        The rest of its warm-up, in which it can handle only few requests; None if the
        warm-up lasts as long as its service declares.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    version_by_model: dict[str, int]
    revision: revisions.Revision
    born: int | None = None
    cold_for: datetime.timedelta | None = datetime.timedelta(0)
    software: str = ""

    @property
    def incarnation(self):
        """The incarnation of the target that the record describes."""
        return incarnations.TargetIncarnation(self.name, self.born or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetsListed:
    """The host has received the platform's whole list of targets.

    Attributes
    ----------
    known_before : revisions.Revision
        The revision up to which the host knew of the targets before.
    """

    targets: tuple[ListedTarget, ...]
    known_before: revisions.Revision = revisions.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChanged:
    """One target's record is new or has changed."""

    target: ListedTarget


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRemoved:
    """An incarnation of a target is no longer listed.

    Attributes
    ----------
    born : int or None
        The start time of the incarnation that ended; None where it isn't known, which
        matches any incarnation.
    known_before : revisions.Revision
        The revision up to which the host knew of the targets before.
    """

    name: str
    born: int | None = None
    known_before: revisions.Revision = revisions.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUnreadable:
    """A writer other than the target has changed its record.

    The record no longer describes a target.

    Attributes
    ----------
    revision : revisions.Revision
        The platform's revision at that change; `revisions.NEVER` where it can't be read
        either.
    """

    name: str
    revision: revisions.Revision = revisions.NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformAvailable:
    """The platform has recovered from an outage.

    Attributes
    ----------
    recovered_at : datetime.datetime
        When a host first got an answer again.
    revision : revisions.Revision or None
        The platform's revision in that answer; None if it isn't known. What changed
        later has not changed by the outage.
    """

    recovered_at: datetime.datetime
    revision: revisions.Revision | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Ended:
    """An incarnation that is no longer in the table of targets.

    Attributes
    ----------
    revision : revisions.Revision
        That of the last record that was known of it.
    was_leaving : bool
        Whether it was known to be leaving.
    at : datetime.datetime
        When it was removed from the table.
    """

    revision: revisions.Revision
    was_leaving: bool
    at: datetime.datetime


class TargetList:
    """Keeps the table of targets equal to the platform's list.

    Records that the platform lists are adopted. Targets that it no longer lists are
    removed after a grace period.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._ended_by_incarnation = {}
        # The platform's revision as it last recovered from an outage.
        self._recovery_revision = None
        # Records that may be from before what is known of their targets, by name.
        self._doubtful_by_name = {}

    def handle(self, event, now):
        """Handle one of this module's events; return whether it was one."""
        match event:
            case TargetsListed():
                self._adopt_all(event.targets, event.known_before, now)
            case TargetChanged():
                known = self._state.targets.where("pool", event.target.service)
                self._adopt(event.target, _have_start_times(known), now)
            case TargetRemoved():
                self._remove(event, now)
            case TargetUnreadable():
                self._set_aside(event.name, event.revision)
            case PlatformAvailable():
                self._state.platform_back_at = event.recovered_at
                self._recovery_revision = event.revision
            case eras.StoreRestored():
                self._state.platform_back_at = now
                self._recovery_revision = None
            case _:
                return False
        return True

    def tick(self, now):
        """Remove targets that have been missing from the list for long enough."""
        for row in list(self._state.targets):
            if row.missing_since is not None and now >= self._kept_until(row):
                self._drop(row, now)
                self._state.emit(commands.Note("target_forgotten", row.name))
        if self._doubtful_by_name and self._state.eras.has_settled(now):
            self._adopt_doubtful(now)

    def _drop(self, row, now):
        """Remove a target from the table, and remember that it has ended."""
        self._state.drop_target(row.name)
        self._ended_by_incarnation = {
            incarnation: ended
            for incarnation, ended in self._ended_by_incarnation.items()
            if now - ended.at <= _ENDED_KEPT_FOR
        }
        ended = _Ended(row.revision, row.leaving, now)
        self._ended_by_incarnation[row.incarnation] = ended

    def _is_doubtful(self, target, now):
        """Return whether a record may be from before the target's known end.

        Guards against requests to a target that has left, was removed or was replaced:
        a store that comes back from an older copy lists it as ready, until it has been
        removed again.
        """
        if not self._state.eras.is_settling(now):
            return False
        ended = self._ended_by_incarnation.get(target.incarnation)
        if ended is not None and target.revision.era > ended.revision.era:
            return True
        return self._state.was_refuted_before(target.incarnation, target.revision, now)

    def _has_left(self, target):
        """Return whether a target is known to have left in this incarnation.

        The copy that a store comes back from may list it as ready. Where the platform
        tells no start times, another incarnation may bear the same name.
        """
        ended = self._ended_by_incarnation.get(target.incarnation)
        if ended is None or not ended.was_leaving or not target.born:
            return False
        return target.revision.era > ended.revision.era

    def _adopt_doubtful(self, now):
        """Adopt the records that the store still has after everyone wrote again."""
        doubtful = tuple(self._doubtful_by_name.values())
        self._doubtful_by_name.clear()
        for target in doubtful:
            known = self._state.targets.where("pool", target.service)
            self._adopt(target, _have_start_times(known), now)

    def _kept_until(self, row):
        """Return until when a missing target is kept.

        Guards against requests that fail for lack of a target although all targets
        serve: a platform that was unavailable may list no targets when it returns. So
        targets are kept longer while the whole service is missing, and just after the
        platform's return if their records may have lapsed in the outage. Any other
        missing target has really ended.
        """
        all_missing = all(
            other.missing_since is not None
            for other in self._state.targets.where("pool", row.pool)
        )
        kept_for = _EXPIRED_KEPT_FOR if all_missing else _MISSING_KEPT_FOR
        until = row.missing_since + kept_for
        if row.may_have_lapsed:
            until = max(until, self._state.platform_back_at + _EXPIRED_KEPT_FOR)
        return until

    def _may_have_lapsed(self, known_before, now):
        """Return whether a record that is gone now may have lapsed in an outage.

        Guards against requests to a target that was removed just after an outage: the
        platform's answers from before its return lack that removal, so a host that has
        known of what they say knows that it isn't due to the outage.
        """
        if not may_be_incomplete(self._state, now):
            return False
        if self._recovery_revision is None:
            return True
        return known_before < self._recovery_revision

    def _adopt_all(self, listed_targets, known_before, now):
        self._doubtful_by_name.clear()
        listed_names = {target.name for target in listed_targets}
        targets_by_service = collections.defaultdict(list)
        for target in listed_targets:
            targets_by_service[target.service].append(target)
        for targets in targets_by_service.values():
            start_times_are_known = _have_start_times(targets)
            for target in targets:
                self._adopt(target, start_times_are_known, now)
        for row in list(self._state.targets):
            if row.name not in listed_names:
                self._mark_missing(row.name, known_before, now)

    def _mark_missing(self, name, known_before, now):
        row = self._state.targets.get(name)
        if row is None or row.missing_since is not None:
            return
        row.missing_since = now
        row.may_have_lapsed = self._may_have_lapsed(known_before, now)
        self._state.emit(commands.Note("target_missing", name))
        if row.leaving:
            self._drop(row, now)

    def _remove(self, removed, now):
        """Mark a target as missing, unless an earlier incarnation was removed."""
        self._doubtful_by_name.pop(removed.name, None)
        row = self._state.targets.get(removed.name)
        if row is not None and (removed.born is None or removed.born >= row.born):
            self._mark_missing(removed.name, removed.known_before, now)

    def _supersede(self, successor, revision):
        """Stop the use of a target whose address a new target has taken over.

        Guards against prompts that go to a dead engine as their preferred engine, and
        against calls that its successor rejects: the record of a crashed target
        stays listed for some heartbeats beside that of the next target at its address.
        If the new record is wrong, the target at the address rejects a request for
        the new one; the new record is then dropped and the old target used again. A
        record of an unknown service gets no requests, so such an error would never
        show. Therefore it stops the use of no target.
        """
        if successor.pool not in self._state.service_names:
            return
        for row in self._state.targets:
            if row.name == successor.name or row.url != successor.url:
                continue
            if revision.era > row.revision.era and successor.born < row.born:
                # An older copy of the store lists the earlier of the two.
                continue
            if row.listed and row.revision < revision:
                row.listed = False
                row.superseded_by = successor.name
                self._state.emit(
                    commands.Note("target_superseded", row.name, successor.name)
                )

    def _set_aside(self, name, revision):
        """Stop the use of a target until its own record is listed again.

        Does nothing if a later record of the target is already known.
        """
        row = self._state.targets.get(name)
        if row is None or not row.listed or revisions.NEVER < revision < row.revision:
            return
        row.listed = False
        self._state.emit(
            commands.Note("target_set_aside", name, "another writer changed its record")
        )

    def _adopt(self, target, start_times_are_known, now):
        """Adopt a target's record, unless a later one is known.

        Guards against an outdated record of an incarnation that has ended: with an old
        copy of the list, its row would replace that of the running incarnation.

        Parameters
        ----------
        start_times_are_known : bool
            Whether records of the service contain start times. A record without one
            then comes from another writer, and describes no target that can be used.
        """
        row = self._state.targets.get(target.name)
        if target.born is None and (start_times_are_known or (row and row.born)):
            self._set_aside(target.name, target.revision)
            return
        if row is not None and target.incarnation.born < row.born:
            return
        if row is not None and target.incarnation.born > row.born:
            detail = f"born {target.born}, before {row.born}"
            self._state.emit(commands.Note("target_restarted", row.name, detail))
            row = None
        if row is None:
            if self._state.is_refuted(target.incarnation, target.revision, now):
                return
            if self._has_left(target):
                return
            if self._is_doubtful(target, now):
                self._doubtful_by_name[target.name] = target
                return
            row = world.TargetRow(
                target.name,
                target.service,
                declared.TargetKind.ENGINE,
                target.data_centre,
                checks_fencing=False,
                url=target.address,
                born=target.incarnation.born,
                evacuated=target.data_centre in self._state.evacuated_data_centres,
            )
            self._supersede(row, target.revision)
            self._state.targets.add(row)
            self._state.emit(commands.Note("target_listed", row.name, row.url))
        row.missing_since = None
        if target.revision < row.revision:
            return
        if target.revision > row.revision or not row.superseded_by:
            row.listed, row.superseded_by = True, ""
        if target.revision > max(row.revision, row.cold_revision):
            self._adopt_cold_time(row, target, now)
        row.adopt_versions(target.version_by_model, target.revision)
        row.revision = target.revision
        row.slots = target.slots
        row.software = target.software
        if target.leaving and not row.leaving:
            row.leaving = True
            self._state.emit(commands.Note("target_leaving", row.name, "listed"))

    def _adopt_cold_time(self, row, target, now):
        """Set until when a target is cold, from a record newer than the known one.

        The first record of an era may be an older one, from before the target turned
        cold; it doesn't make the cold time shorter.
        """
        cold_for = target.cold_for
        if cold_for is None:
            cold_start = self._state.cold_start_by_service.get(row.pool)
            cold_for = cold_start.lasts if cold_start is not None else _NOT_COLD
        before = row.cold_until
        row.cold_until = now + cold_for if cold_for > _NOT_COLD else None
        known_era = max(row.revision, row.cold_revision).era
        if before is not None and target.revision.era > known_era:
            row.cold_until = max(before, row.cold_until or before)
        row.cold_revision = target.revision
        row.refused_at = None
        _note_if_cold(self._state, row, before, now)


def may_be_incomplete(state, now):
    """Return whether the platform may yet list targets that serve and are missing.

    Parameters
    ----------
    state : world.World
        The shared tables.
    now : datetime.datetime
        The current time.
    """
    back_at = state.platform_back_at
    return back_at is not None and now < back_at + _EXPIRED_KEPT_FOR


def _note_if_cold(state, row, before, now):
    """Log a target that has become cold."""
    if row.cold_until is not None and (before is None or before <= now):
        seconds = (row.cold_until - now).total_seconds()
        state.emit(commands.Note("target_cold", row.name, f"for {seconds:.1f} s"))


def _have_start_times(targets):
    """Return whether at least half of the targets, records or rows, have start times.

    False if none has one.
    """
    count = sum(bool(target.born) for target in targets)
    return count > 0 and 2 * count >= len(targets)
