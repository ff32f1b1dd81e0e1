"""Records of quarantined requests: adopted, written to the platform, tried, lifted."""

import dataclasses
import datetime

from sesamespindle.decide import (
    commands,
    culprits,
    fingerprints,
    gossip,
    hashing,
    retries,
    revisions,
)

# Each host waits this much longer than the host ranked before it until it writes a
# record that the platform lacks. Several platform calls fit into this time.
_WRITE_TURN = datetime.timedelta(seconds=1)
# How long after the quarantine the first and the second trial run of a request are
# allowed.
_TRIALS_AFTER = (datetime.timedelta(minutes=10), datetime.timedelta(hours=2))
# The number of quarantined requests that are remembered, and that one gossip message
# announces.
_MAX_RECORDS = 1024
_MAX_ANNOUNCED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class WriteQuarantine:
    """Write a record to the platform.

    `QuarantineWritten` or `QuarantineWriteFailed` follows, or `QuarantineRead` if the
    platform has another revision of the record.

    Attributes
    ----------
    is_trial : bool
        Whether this host may run the request once as a trial after the write.
    """

    record: gossip.QuarantinedRequest
    is_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveQuarantine:
    """Remove a record from the platform."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineWritten:
    """The platform has stored a record, under the revision that the record bears."""

    record: gossip.QuarantinedRequest
    is_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineWriteFailed:
    """A write failed or its result is unknown; the platform may lack the record."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRead:
    """A record that the platform has was read, from the platform or from a peer."""

    record: gossip.QuarantinedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """A record was removed from the platform."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinesListed:
    """All records that the platform has as of a revision."""

    records: tuple[gossip.QuarantinedRequest, ...]
    revision: revisions.Revision


class QuarantineRecords:
    """The records of quarantined requests.

    Parameters
    ----------
    state : world.World
        The shared tables.
    crash_records : crashrecords.CrashRecords
        The known crashes, and when requests ran well after them.
    stored_on_platform : bool
        Whether records are stored on the platform. Otherwise the hosts alone keep
        them, in memory.

    Attributes
    ----------
    record_by_fingerprint : dict of str to gossip.QuarantinedRequest
        All records, the oldest first.
    """

    def __init__(self, state, crash_records, stored_on_platform):
        self._state = state
        self._crashes = crash_records
        self._platform_stores = stored_on_platform
        self.record_by_fingerprint = {}
        # When this host learned of records that the platform may lack, by fingerprint.
        self._learned_at_by_fingerprint = {}
        # When the next write of a record may start, by fingerprint.
        self._next_write_at = {}
        # Fingerprints of requests that this host lets through once, as a trial run.
        self._pending_trials = set()

    def handle(self, event, now):
        """Handle one of this module's events; return whether the event was one."""
        match event:
            case QuarantineRead():
                self.adopt(event.record, now, "read")
            case QuarantineWritten():
                self._adopt_written(event, now)
            case QuarantineWriteFailed():
                self._next_write_at[event.fingerprint] = now + retries.with_jitter(
                    _WRITE_TURN, self._state.random
                )
            case QuarantineLifted():
                self._lift(event.fingerprint, now)
            case QuarantinesListed():
                self._adopt_all(event, now)
            case _:
                return False
        return True

    def tick(self, now):
        """Write records that the platform lacks, and start trial runs."""
        if not self._platform_stores:
            return
        for record in self.all():
            if record.revision != revisions.NEVER:
                self._start_trial(record, now)
            else:
                self._write(record, now)

    def take_trial(self, fingerprint):
        """Return whether a request is let through as a trial run; only once is it."""
        is_trial = fingerprint in self._pending_trials
        self._pending_trials.discard(fingerprint)
        return is_trial

    def record_success(self, fingerprint, at):
        """Lift a quarantine after a run that ended well, or began well with a part.

        What began before the quarantine shows nothing of a part.
        """
        record = self.record_by_fingerprint.get(fingerprint)
        if record is None:
            return
        if not fingerprints.is_of_part(fingerprint) or at > record.decided_at:
            self._lift(fingerprint, at)
            self._state.emit(RemoveQuarantine(fingerprint))

    def adopt(self, record, now, reason):
        """Store a record, unless its request was cleared after `decided_at`."""
        fingerprint = record.fingerprint
        if self._was_cleared(record):
            return
        record = self._in_present_era(record)
        known = self.record_by_fingerprint.get(fingerprint)
        if known is not None and known.tries > record.tries:
            # The platform may have lost the count of trial runs with its content.
            record = dataclasses.replace(record, tries=known.tries)
        if known is not None and _version_of(known) >= _version_of(record):
            return
        self.record_by_fingerprint[fingerprint] = record
        if record.revision != revisions.NEVER:
            self._learned_at_by_fingerprint.pop(fingerprint, None)
        else:
            self._learned_at_by_fingerprint.setdefault(fingerprint, now)
        self._state.must_announce_crashes = True
        if known is None:
            kind = "part" if fingerprints.is_of_part(fingerprint) else "request"
            note = commands.Note(f"{kind}_quarantined", fingerprint, reason)
            self._state.emit(note)
            self._drop_oldest()

    def _was_cleared(self, record):
        cleared_at = self._crashes.cleared_at(record.fingerprint, None)
        return cleared_at is not None and cleared_at >= record.decided_at

    def _in_present_era(self, record):
        """Return a record as one that no platform is known to have, if it's of old.

        Guards against a quarantine that is lost for good: the platform has come back
        from an older copy without the record, and nobody else writes it again.
        """
        if record.revision.era == self._state.eras.current:
            return record
        return dataclasses.replace(record, revision=revisions.NEVER)

    def _drop_oldest(self):
        while len(self.record_by_fingerprint) > _MAX_RECORDS:
            oldest = min(
                self.record_by_fingerprint.values(), key=lambda item: item.decided_at
            )
            self._forget(oldest.fingerprint)

    def _adopt_all(self, listed, now):
        """Adopt all records of the platform, and lift those that it has no more.

        A record that was read in an earlier era may be missing since the platform has
        come back from an older copy. It stays, and is written again.
        """
        fingerprints = {record.fingerprint for record in listed.records}
        for record in self.all():
            if record.fingerprint in fingerprints or record.revision == revisions.NEVER:
                continue
            if record.revision.era < listed.revision.era:
                self._forget_revision(record, now)
            elif record.revision <= listed.revision:
                self._lift(record.fingerprint, now)
        for record in listed.records:
            self.adopt(record, now, "listed")
            self._remove_if_lifted(record)

    def _forget_revision(self, record, now):
        """Note that the platform doesn't have a record, so that it is written again."""
        fingerprint = record.fingerprint
        unwritten = dataclasses.replace(record, revision=revisions.NEVER)
        self.record_by_fingerprint[fingerprint] = unwritten
        self._learned_at_by_fingerprint[fingerprint] = now

    def _remove_if_lifted(self, record):
        """Remove a lifted quarantine's record again, if it's this host's turn.

        Guards against hosts that start later and refuse a request whose quarantine was
        lifted: the platform has come back from a copy that still has its record.
        """
        if self._state.eras.restored_at is None or not self._was_cleared(record):
            return
        if self._rank(record.fingerprint) == 0:
            self._state.emit(RemoveQuarantine(record.fingerprint))

    def _lift(self, fingerprint, now):
        """End the quarantine of a request and clear its earlier crashes."""
        if fingerprint not in self.record_by_fingerprint:
            return
        self._forget(fingerprint)
        self._crashes.clear(fingerprint, now)
        self._state.emit(commands.Note("quarantine_lifted", fingerprint))

    def _forget(self, fingerprint):
        del self.record_by_fingerprint[fingerprint]
        self._learned_at_by_fingerprint.pop(fingerprint, None)
        self._next_write_at.pop(fingerprint, None)
        self._pending_trials.discard(fingerprint)

    def _write(self, record, now):
        """Write a record to the platform, if it is this host's turn.

        Guards against a power loss that erases the memory of all hosts, after which
        the request would crash targets again. All hosts decide at about the same time,
        so they take turns by rank: one writes, and the next one writes if the platform
        has refused the host before it.
        """
        fingerprint = record.fingerprint
        turn_at = self._learned_at_by_fingerprint[fingerprint]
        turn_at += self._rank(fingerprint) * _WRITE_TURN
        if now < max(turn_at, self._next_write_at.get(fingerprint, turn_at)):
            return
        self._next_write_at[fingerprint] = now + _WRITE_TURN
        self._state.emit(WriteQuarantine(record))

    def _rank(self, fingerprint):
        """Return this host's rank among the live hosts for writing a record; 0 first.

        A host that isn't live comes last.
        """
        names = [row.name for row in self._state.live_entries()]
        me = self._state.me.name
        ranked = hashing.rank(fingerprint, names)
        return ranked.index(me) if me in ranked else len(ranked)

    def _adopt_written(self, event, now):
        self.adopt(event.record, now, "written")
        if event.is_trial:
            self._pending_trials.add(event.record.fingerprint)

    def _start_trial(self, record, now):
        """Start a trial run of a quarantined request, if one is due.

        Guards against a request that is refused for good although the fault that made
        it crash targets is fixed. The platform counts the trial runs, and only the
        host with the first rank makes them, so that hosts don't make one each.
        """
        left = culprits.terms_of(record.fingerprint).most_crashes - record.crashes
        allowed = min(len(_TRIALS_AFTER), left)
        if record.tries >= allowed:
            return
        if now < record.decided_at + _TRIALS_AFTER[record.tries]:
            return
        fingerprint = record.fingerprint
        if now < self._next_write_at.get(fingerprint, now) or self._rank(fingerprint):
            return
        self._next_write_at[fingerprint] = now + _WRITE_TURN
        counted = dataclasses.replace(record, tries=record.tries + 1)
        self._state.emit(WriteQuarantine(counted, is_trial=True))

    def all(self):
        """Return the `gossip.QuarantinedRequest` of all quarantined requests."""
        return list(self.record_by_fingerprint.values())

    def count(self, parts):
        """Return the number of quarantined parts, or of quarantined requests."""
        kinds = map(fingerprints.is_of_part, self.record_by_fingerprint)
        return sum(is_part is parts for is_part in kinds)

    def written(self):
        """Return the records that the platform is known to have stored."""
        return [record for record in self.all() if record.revision != revisions.NEVER]

    def merge(self, news, now):
        """Merge the records of a `gossip.CrashNews` received from a peer."""
        for cleared in news.cleared:
            record = self.record_by_fingerprint.get(cleared.fingerprint)
            if record is not None and record.decided_at <= cleared.at:
                self._lift(cleared.fingerprint, cleared.at)
        for record in news.quarantined:
            self.adopt(record, now, "heard")

    def to_announce(self):
        """Return the latest records, for a peer."""
        return tuple(self.record_by_fingerprint.values())[-_MAX_ANNOUNCED:]


def _version_of(record):
    return record.revision, record.tries
