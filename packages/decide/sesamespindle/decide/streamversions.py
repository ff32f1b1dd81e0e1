"""Which software version may serve a stream.

Targets of several software versions may serve side by side. What two versions write
doesn't fit together, and targets don't check it, so a stream goes on only at the
version that began it. All of this matters only while a service has several versions,
and as long afterwards as callers may come back with a stream of an earlier one.
"""

import dataclasses
import datetime

from sesamespindle.decide import gossip, routes, targetlist

# How long after its last target was seen a version still counts: the longest time in
# which a caller comes back for the rest of a stream.
SEEN_FOR = datetime.timedelta(seconds=60)
# A version is recorded, and begins streams, this long after it was first seen beside
# another one. By then every host that hears the platform or its peers knows of it.
_SPREAD_FOR = datetime.timedelta(seconds=2)
# Callers whose streams broke off as all hosts were lost come back within this time of
# the hosts' start.
_RETURN_FOR = datetime.timedelta(seconds=4)
# How long after its start a host that doesn't know the records yet begins no stream.
_RECORDS_WITHIN = datetime.timedelta(seconds=2)
# A host that has heard no peer for this long after its start takes itself for alone.
_ALONE_AFTER = datetime.timedelta(seconds=3)
_LOOK_INTERVAL = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(slots=True)
class _Seen:
    """When targets of a version were first and last seen."""

    first_at: datetime.datetime
    last_at: datetime.datetime


class StreamVersions:
    """Knows which software versions serve, or served lately.

    Parameters
    ----------
    state : world.World
        The shared tables.
    has_seeds : bool
        Whether the host is configured to have peers.
    contact : contact.Contact
        Whether this host would have heard of a new version.
    records : softwarerecords.SoftwareRecords
        The versions that the platform's store has.
    """

    def __init__(self, state, has_seeds, contact, records):
        self._state = state
        self._records = records
        self._has_seeds = has_seeds
        self._contact = contact
        self._seen_by_service = {}
        self._first_tick_at = self._looked_at = None
        self._has_heard_peers = False

    def handle(self, event, now):
        """Handle events of `softwarerecords`; return whether it was one.

        The versions of listed targets are noted too, and the event is left to
        `TargetList`. Guards against streams that begin at a new version before it
        counts as one.
        """
        records = self._records.handle(event, now)
        if records is not None:
            self._note_recorded(records, now)
            return True
        match event:
            case targetlist.TargetsListed():
                listed = event.targets
            case targetlist.TargetChanged():
                listed = (event.target,)
            case _:
                listed = ()
        for target in listed:
            if target.software:
                self._note(target.service, target.software, now, now)
        return False

    def _note_recorded(self, records, now):
        """Take recorded versions that this host doesn't know as just seen.

        Guards against streams that hold events of two versions after all hosts were
        lost at once: none of them remembers a version that has gone meanwhile.
        """
        for record in records:
            for software in record.versions:
                if software not in self._seen_by_service.get(record.service, ()):
                    self._note(record.service, software, now, now)

    def tick(self, now):
        """Look at the table of targets, and forget versions that are long gone."""
        self._first_tick_at = self._first_tick_at or now
        self._records.tick(self._versions_to_record(now), now)
        if self._looked_at is not None and now - self._looked_at < _LOOK_INTERVAL:
            return
        self._looked_at = now
        for row in self._state.targets:
            if row.software:
                self._note(row.pool, row.software, now, now)
        for seen in self._seen_by_service.values():
            for software in [
                name for name, when in seen.items() if now - when.last_at > SEEN_FOR
            ]:
                del seen[software]

    def note_under_way(self, service, software, now):
        """Have a version count that writes a stream, though its target isn't listed.

        Guards against a stream that goes on at another version, as it was under way for
        so long after its target had left the list that its version was forgotten.
        """
        when = self._seen_by_service.get(service, {}).get(software)
        if when is not None:
            when.last_at = now

    def is_mixed(self, *services):
        """Return whether services have, or had lately, several software versions."""
        return len(self._seen_of(services)) > 1

    def only_seen_version(self, *services):
        """Return the version of services that aren't mixed; empty if none is known."""
        seen = self._seen_of(services)
        return next(iter(seen)) if len(seen) == 1 else ""

    def _seen_of(self, services):
        """Return the versions of some services together."""
        return set().union(
            *(self._seen_by_service.get(service, ()) for service in services)
        )

    def mixed_services(self):
        """Return the names of all services that are mixed."""
        return {name for name, seen in self._seen_by_service.items() if len(seen) > 1}

    def is_informed(self, now):
        """Return whether this host would know of another version.

        Guards against streams that go on anywhere at a host that has just started,
        while its peers remember that a version was replaced, or at one out of touch,
        while the others have begun them at a new version.
        """
        if not self._records.is_known():
            return False
        if not self._contact.is_kept(_SPREAD_FOR, now):
            return False
        if self._has_heard_peers:
            return True
        is_alone = len(self._state.entries) <= 1 and not self._has_seeds
        started = self._first_tick_at
        return is_alone or (started is not None and now - started > _ALONE_AFTER)

    def permitted_targets(self, rows, flight, now):
        """Return the targets at which a stream may begin or go on.

        Guards against a stream that holds events of two software versions. One that
        has begun goes on at its own version alone. A new one that callers may resume
        begins at a version that is recorded, so that hosts which start later know of
        it; and at one of which all hosts know, so that each of them asks which version
        began a stream that it is to continue.
        """
        if flight.software:
            return [row for row in rows if row.software == flight.software]
        if flight.route.repeats is not routes.Repeats.RESUMABLE:
            return rows
        if self._must_know_records(now):
            return []
        if not self.is_mixed(flight.service):
            return rows
        rows = self._recorded(rows) or rows
        spread = [row for row in rows if now - self._first_at(row, now) >= _SPREAD_FOR]
        if spread:
            return spread
        # A host that has just started knows none for long.
        earliest = min((self._first_at(row, now) for row in rows), default=now)
        return [row for row in rows if self._first_at(row, now) == earliest]

    def sole_version(self, service):
        """Return the version that began every stream of unknown origin of a service.

        Returns
        -------
        software : str or None
            None if several may have. What this host knows of the records must be proved
            complete as of a time at which the stream had begun.
        """
        return self._records.sole(service)

    def may_await_records(self):
        """Return whether new streams of any service may have to await its record."""
        if not self._records.is_known():
            return True
        return any(len(seen) > 1 for seen in self._seen_by_service.values())

    def awaits_record(self, service, now):
        """Return whether a new stream would begin at a version that isn't recorded.

        Guards against a version that begins streams as the last recorded one has left,
        and is gone or has company again before hosts that start can know of it.
        """
        if not self._records.is_known():
            return True
        rows = self._staying(service, now)
        return bool(rows) and self.is_mixed(service) and not self._recorded(rows)

    def _staying(self, service, now):
        """Return the targets at which streams begin, whatever their version."""
        rows = [row for row in self._state.targets.where("pool", service) if row.stays]
        if targetlist.may_be_incomplete(self._state, now):
            return rows
        return [row for row in rows if row.missing_since is None] or rows

    def _recorded(self, rows):
        return [row for row in rows if self._records.has(row.pool, row.software)]

    def _versions_to_record(self, now):
        """Return the versions of each service that its record is to name.

        One that isn't recorded yet is named once it is about to begin streams. Guards
        against streams that nobody continues, as each host that starts takes a version
        that has just appeared for one that may have begun them.
        """
        return {
            service: [
                software
                for software, when in seen.items()
                if self._records.has(service, software)
                or self._is_about_to_begin(when, now)
                or not self._recorded(self._staying(service, now))
            ]
            for service, seen in self._seen_by_service.items()
        }

    def _first_at(self, row, now):
        """Return when a target's version was first seen here."""
        when = self._seen_by_service.get(row.pool, {}).get(row.software)
        return when.first_at if when is not None else now

    def _must_know_records(self, now):
        """Return whether streams can't begin as this host doesn't know the records yet.

        Guards against streams that a host which has just started begins at a version
        that isn't recorded, while others conclude from the record that no such stream
        can exist.
        """
        if self._records.is_known():
            return False
        started = self._first_tick_at
        return started is None or now - started < _RECORDS_WITHIN

    def _is_about_to_begin(self, when, now):
        """Return whether a version that joined another is to begin streams."""
        if now - self._first_tick_at < _RETURN_FOR:
            return False
        return now - when.first_at >= _SPREAD_FOR

    def records_to_announce(self, now):
        """Return the `gossip.SoftwareSeen` of all services with several versions."""
        return tuple(
            gossip.SoftwareSeen(service, software, when.last_at)
            for service, seen in self._seen_by_service.items()
            if len(seen) > 1
            for software, when in seen.items()
            if now - when.last_at <= SEEN_FOR
        )

    def merge(self, records, now):
        """Adopt what a peer has seen; none at all tells that it knows of no other."""
        self._has_heard_peers = True
        for record in records:
            if now - record.seen_at <= SEEN_FOR:
                self._note(record.service, record.software, record.seen_at, now)

    def _note(self, service, software, seen_at, now):
        seen = self._seen_by_service.setdefault(service, {})
        when = seen.get(software)
        if when is None:
            seen[software] = _Seen(now, min(seen_at, now))
        else:
            when.last_at = max(when.last_at, min(seen_at, now))
