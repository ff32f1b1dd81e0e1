"""A lease in the platform's store, held by one entry host at a time.

The holder gives orders to engines, for example to load new weights. These orders are
called acts here.
"""

import dataclasses
import datetime

from sesamespindle.decide import commands, eras, gossip, hashing, revisions

# The holder may act for this share of the lease's duration after its last renewal,
# counted from when the renewal was sent. It renews three times as often.
_ACTING_SHARE = 0.5
_RENEW_SHARE = 1 / 6
# Another host takes the lease over once it has seen it unchanged for the time in which
# the holder may act, plus a whole lease duration in which the holder can't have acted,
# plus this margin for clocks that run at different speeds.
_CLOCK_MARGIN = datetime.timedelta(milliseconds=300)
# A candidate reads the lease at intervals of this share of its duration. Only the first
# two live hosts of the fleet, by rendezvous hashing, are candidates.
_READ_SHARE = 1 / 3
_CANDIDATES = 2
# While nobody takes over a lease that its holder released, one more host becomes a
# stand-in candidate after each interval of this length. A candidate that reaches the
# store takes the lease within the lease's duration and one read interval. The number of
# stand-ins is limited, as the store may be unavailable for all hosts.
_STAND_IN_AFTER = datetime.timedelta(seconds=2)
_MAX_STAND_INS = 6
# An idle lease is taken over once it wasn't renewed for this many renewal intervals.
# Safety doesn't need this wait; it keeps a lease from changing hands for one lost call.
_IDLE_MISSED_RENEWALS = 2.5
_RETRY_AFTER = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as it is stored.

    Attributes
    ----------
    holder : str
        Name, incarnation and peer address of the holder, separated by slashes;
        without the address in records of earlier releases.
    epoch : int
        The fencing token: rises with every change of the holder, and targets compare
        it. It tells the store's era in which the holder took the lease.
    renewals : int
        The number of writes that the holder has sent, so that no two of them are
        equal.
    idle : bool
        Whether the holder is idle: its last act was at least a lease duration old when
        it sent this record, and it doesn't act again before it has written the record
        as not idle.
    """

    holder: str
    epoch: int
    renewals: int = 0
    idle: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Command: read the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Command: write the lease if the store still has revision `replaces`.

    A `replaces` of `revisions.NEVER` creates the lease.
    """

    record: LeaseRecord
    replaces: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseFound:
    """Event: a read returned the lease, or a write found an unexpected revision.

    Attributes
    ----------
    record : LeaseRecord or None
        None if the store has no lease, or an invalid one.
    revision : revisions.Revision
        The revision that the store has; `revisions.NEVER` if there is no lease.
    read_at : revisions.Revision or None
        A revision of the store at which that was so; `revision` if None.
    """

    record: LeaseRecord | None
    revision: revisions.Revision
    read_at: revisions.Revision | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Event: a write of this host took effect."""

    record: LeaseRecord
    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUnknown:
    """Event: a read or write got no answer; a write may still take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """Until when another host must not take the lease over, and why."""

    until: datetime.datetime
    reason: str


class Lease:
    """Decides when to take, renew and release the lease.

    Clocks of two hosts are never compared. The holder counts from when it sent a
    renewal; others count from when they first saw that renewal, which is later. A
    holder that was paused finds its lease expired when it wakes up.

    A holder that has nothing to do marks the record as idle, once its last act is a
    lease duration old, and writes it as not idle before it acts again. A write takes
    effect only on the revision that it replaces, so either that write or a write that
    takes over the idle lease takes effect, never both. Therefore others needn't wait
    for acts under an idle lease: they take it within 1.5 s of the loss of its holder,
    in place of 5 s.

    When the store comes back from an older copy, whoever holds the lease holds nothing
    any more. A record of an earlier era says neither who acted last nor that nobody
    did. So nobody takes it over until whoever may have acted in that era no longer
    can; only a host that held it until then may take it back at once.

    Parameters
    ----------
    state : world.World
        The shared tables.
    duration : datetime.timedelta
        The least time between the acts of two holders.
    reachable : callable
        Takes the name of a data centre and the present time, and returns whether the
        data centre has been heard from lately.
    """

    def __init__(self, state, duration, reachable):
        self._state = state
        self._duration = duration
        self._reachable = reachable
        me = state.me
        self._holder_id = f"{me.name}/{me.incarnation}/{me.peer_address}"
        self._record = None
        self._revision = revisions.NEVER
        # The latest revision of the store at which the lease is known to have been so.
        self._read_at = revisions.NEVER
        self._seen_at = None
        self._held_from = None
        self._sent_at = None
        # The last write that was sent, and when it was sent.
        self._written = None
        self._written_at = None
        self._writes = 0
        self._in_flight = False
        self._started_at = None
        self._next_read = None
        self._next_take_over = None
        self._noted_revision = None
        self._leaving = False
        self._acted_at = None
        self._requested_at = None
        # Whether the stored record is idle, or may become so by a write in flight.
        self._maybe_idle = True
        self._was_idle = False
        # Whether this host held the lease as it learned that the store had come back
        # older, and no host is known to have taken it since.
        self._held_in_last_era = False
        self._released_epoch = 0
        self._highest_epoch = 0
        # The highest epoch that any host is known to have released, and since when
        # this host knows.
        self._known_released_epoch = 0
        self._known_released_at = None

    @property
    def epoch(self):
        """The epoch of the lease as it was last seen; 0 if there was none."""
        return self._record.epoch if self._record is not None else 0

    def is_held(self, now):
        """Return whether this host is the holder now."""
        if self._held_from is None:
            return False
        return now - self._held_from < self._duration * _ACTING_SHARE

    def may_act(self, now):
        """Return whether this host may act as the holder now.

        Guards against orders of two hosts within a lease duration: a host that finds
        the lease idle takes it over without a wait for the acts of its holder. So the
        holder doesn't act from when it sends a write with `idle` set until a later
        write without it is known to have taken effect.
        """
        return self.is_held(now) and not self._maybe_idle

    def request_act(self, now):
        """Request that this host may act as soon as it holds the lease.

        A held lease that is idle is written as not idle at once.
        """
        self._requested_at = now
        if self._leaving or self._in_flight or not self.is_held(now):
            return
        if self._maybe_idle:
            self._renew(now)

    def note_act(self, now):
        """Record that this host has acted as the holder."""
        self._acted_at = now

    def tick(self, now):
        """Renew, read, release or take over the lease when it is due."""
        self._started_at = self._started_at or now
        self._note_known_release(now)
        if self._has_hold() and (not self.is_held(now) or self._state.is_cut()):
            self._release(now)
        if self._leaving or (self._in_flight and now - self._sent_at < self._duration):
            return
        if not self._has_hold():
            self._read_or_take_over(now)
        elif now - self._held_from >= self._duration * _RENEW_SHARE:
            self._renew(now)

    def handle(self, event, now):
        """Handle one of this module's events; return whether it was one."""
        match event:
            case LeaseFound():
                self._in_flight = False
                self._read_at = max(self._read_at, _read_at(event))
                self._note_found(event.record, event.revision, now)
            case LeaseWritten():
                self._confirm(event, now)
            case LeaseUnknown():
                # Only another read shows whether a write took effect.
                self._in_flight = False
                self._next_read = self._next_take_over = now + _RETRY_AFTER
                if self._has_hold():
                    self._read(now)
            case eras.StoreRestored():
                self._note_restored(now)
            case _:
                return False
        return True

    def release_for_good(self, now):
        """Release the lease for good, as this host leaves.

        Other hosts still wait until its last act is a lease duration old.
        """
        self._leaving = True
        if self._has_hold():
            self._release(now)

    def _renew(self, now):
        self._write(self.epoch, now, not self._must_stay_active(now))

    def _must_stay_active(self, now):
        """Return whether the lease must not be written as idle.

        That is so if an act was requested lately, or if the last act is less than a
        lease duration and the margin for clocks old.
        """
        requested_for = self._duration * _RENEW_SHARE
        if self._requested_at is not None and now - self._requested_at < requested_for:
            return True
        acted_at = self._acted_at
        return acted_at is not None and now - acted_at < self._duration + _CLOCK_MARGIN

    def _read_or_take_over(self, now):
        """Take the lease if it is free, or read it when that is due."""
        free = self._is_free(now)
        if not free and not _is_due(self._next_read, now):
            return
        if not self._is_candidate(now):
            self._next_read = now + self._duration * _READ_SHARE
            self._next_take_over = self._next_read
        elif free:
            self._take_over(now)
        else:
            self._read(now)

    def _take_over(self, now):
        if self._may_have_acted():
            self._acted_at = now
        self._next_take_over = now + _RETRY_AFTER
        self._write(eras.next_epoch(self._highest_epoch, self._read_at), now)

    def _may_have_acted(self):
        """Return whether acts before a take-over may be less than a lease duration old.

        An earlier incarnation of this host may have acted until it ended, and the
        holder is unknown if its record was removed.
        """
        if self._record is None:
            return self._highest_epoch > 0
        return self._is_own(self._record) and not self._record.idle

    def _confirm(self, event, now):
        """Handle the confirmation that a write of this host took effect.

        Guards against a late answer to an abandoned write, from which a holder would
        count its time wrongly: only the send time of the latest write is known. An
        answer to an earlier one is ignored, and the lease is read again.
        """
        if event.record != self._written:
            return
        self._in_flight = False
        self._held_in_last_era = False
        if self._held_from is None:
            self._was_idle = event.record.idle
            self._state.emit(
                commands.Note(
                    "lease_taken", self._holder_id, f"epoch {event.record.epoch}"
                )
            )
        self._record, self._revision = event.record, event.revision
        self._read_at = max(self._read_at, event.revision)
        self._highest_epoch = max(self._highest_epoch, self.epoch)
        self._seen_at = now
        if event.record.epoch <= self._released_epoch:
            self._held_from = None
        else:
            self._hold_from_write()
        if self._leaving and self._has_hold():
            # The write was in flight when this host released the lease.
            self._release(now)

    def _hold_from_write(self):
        """Count the hold from when the last write was sent; it has taken effect."""
        self._held_from = self._written_at
        self._maybe_idle = self._written.idle
        if self._was_idle != self._maybe_idle:
            self._was_idle = self._maybe_idle
            kind = "lease_idle" if self._was_idle else "lease_active"
            self._state.emit(
                commands.Note(kind, self._holder_id, f"epoch {self.epoch}")
            )

    def _release(self, now):
        """Release the epoch for good, and announce it to peers.

        Other hosts wait for a holder that can't renew, because it was paused or cut
        off from the platform, until they can be sure that it no longer acts. If the
        holder still reaches a peer, the announcement makes that wait shorter.
        """
        self._held_from = None
        self._released_epoch = self.epoch
        acted_at = self._acted_at or now - self._duration
        self._state.lease_release = gossip.LeaseRelease(self.epoch, acted_at)
        self._state.emit(
            commands.Note("lease_released", self._holder_id, f"{self.epoch}")
        )

    def _note_restored(self, now):
        """Forget the record of the era that has ended, and hold nothing.

        Guards against a holder whose lease was lost with the copy: another host finds
        an older record, or none, and takes the lease while this one still acts.
        """
        self._held_in_last_era = self.is_held(now)
        if self._has_hold():
            detail = "the store came back from an older copy"
            self._state.emit(commands.Note("lease_lost", self._holder_id, detail))
        self._held_from = None
        self._record, self._revision, self._seen_at = None, revisions.NEVER, None
        self._written = None
        self._in_flight = False
        self._maybe_idle, self._was_idle = True, False
        self._next_read = self._next_take_over = None

    def _is_of_earlier_era(self):
        """Return whether the record is from before the store came back older.

        The store may also have lost the first record of all.
        """
        era = self._state.eras.current
        if self._record is None:
            return era > 0
        return eras.era_of_epoch(self.epoch) < era

    def _has_hold(self):
        return self._held_from is not None

    def _note_found(self, record, revision, now):
        if revisions.NEVER < revision < self._revision:
            # A late answer that is older than the known revision. Revisions rise even
            # if the object is removed and created again, and across eras.
            return
        if revision == self._revision and self._seen_at is not None:
            self._note_wait(now)
            return
        is_first = self._seen_at is None
        changed_hands = record is None or record.holder != self._holder_id
        if self._held_from is not None and changed_hands:
            self._state.emit(commands.Note("lease_lost", self._holder_id))
            self._held_from = None
        self._record, self._revision, self._seen_at = record, revision, now
        # The object may have been removed, or overwritten by another writer. Without
        # the highest known epoch, a second holder would then get a used epoch.
        self._highest_epoch = max(self._highest_epoch, self.epoch)
        if not self._is_of_earlier_era():
            self._held_in_last_era = False
        if self._held_from is not None and record == self._written:
            # A renewal of this host took effect, but its answer was lost. Others may
            # have seen the renewal since it was sent, so the hold counts from there
            # and not from this read.
            self._hold_from_write()
        if is_first:
            self._note_wait(now)

    def _is_free(self, now):
        """Return whether the lease may be taken now."""
        if self._seen_at is None or not _is_due(self._next_take_over, now):
            return False
        return now >= self._shortest_wait().until

    def _shortest_wait(self):
        """Return until when this host must not take over the lease that it saw.

        Each of the collected waits alone is long enough that the holder can no longer
        act by the end of it, so the shortest one counts.
        """
        if self._is_of_earlier_era():
            if self._held_in_last_era:
                return _Wait(self._seen_at, "this host held it until the era ended")
            until = self._state.eras.known_since + self._unrenewed_wait()
            return _Wait(until, "its holder of an earlier era may be lost")
        if self._record is None:
            return _Wait(self._seen_at, "nobody holds it")
        if self._is_own(self._record):
            return _Wait(self._seen_at, "this host held it")
        waits = [_Wait(self._seen_at + self._unrenewed_wait(), "not renewed")]
        if self._record.idle:
            missed = self._duration * _RENEW_SHARE * _IDLE_MISSED_RENEWALS
            waits.append(_Wait(self._seen_at + missed, "idle and not renewed"))
        release = self._state.lease_release
        if release is not None and release.epoch >= self._record.epoch:
            until = release.last_act_at + self._duration + _CLOCK_MARGIN
            waits.append(_Wait(until, "released by its holder"))
        return min(waits, key=lambda wait: wait.until)

    def _unrenewed_wait(self):
        """Return how long a lease must stay unrenewed before another host takes it."""
        return self._duration * _ACTING_SHARE + self._duration + _CLOCK_MARGIN

    def _is_own(self, record):
        """Return whether the holder is this host, in this or an earlier incarnation.

        Guards against engines that get no orders after all hosts lost power: the
        holder would restart and wait until its own earlier process can no longer act.
        That process has ended, because only one process can bind the address that a
        host listens at. The name alone doesn't prove it: another host may start under
        the same name at another address while the first one still runs.
        """
        me = self._state.me
        incarnation_id, _, address = record.holder.rpartition("/")
        name, _, _ = incarnation_id.rpartition("/")
        return bool(address) and (name, address) == (me.name, me.peer_address)

    def _note_wait(self, now):
        """Log once per revision why and how long this host waits for the lease."""
        if self._has_hold() or self._noted_revision == self._revision:
            return
        wait = self._shortest_wait()
        if wait.until <= now or not self._is_candidate(now):
            return
        self._noted_revision = self._revision
        left = (wait.until - now).total_seconds()
        detail = f"epoch {self.epoch}, {wait.reason}, waiting {left:.1f} s more"
        holder = self._record.holder if self._record is not None else "nobody"
        self._state.emit(commands.Note("lease_waits", holder, detail))

    def _is_candidate(self, now):
        """Return whether this host reads the lease, to take it if it is free.

        Guards against engines that get no new weights after the loss of a data centre:
        its hosts stay live in the table, and with both candidates among them no other
        host would read the lease. So hosts of unreachable data centres don't count.

        A host that held the lease may take it at once, so it is a candidate until
        another has taken it. A host that doesn't reach the targets is none, as it
        can't order them anything. Every host is a candidate when it starts, to find out
        whether it held the lease, for as long as the others would have to wait.
        """
        if self._state.is_cut():
            return False
        if self._seen_at is None and now - self._started_at < self._unrenewed_wait():
            return True
        if self._record is not None and self._is_own(self._record):
            return True
        if self._held_in_last_era:
            return True
        names = [
            row.name
            for row in self._state.reaching_entries()
            if self._reachable(row.data_centre, now)
        ]
        count = _CANDIDATES + self._stand_in_count(now)
        return self._state.me.name in hashing.rank("lease", names)[:count]

    def _note_known_release(self, now):
        release = self._state.lease_release
        if release is not None and release.epoch > self._known_released_epoch:
            self._known_released_epoch, self._known_released_at = release.epoch, now

    def _stand_in_count(self, now):
        """Return how many hosts read the lease besides the usual candidates.

        Guards against engines that get no orders: the store refuses the holder and
        both candidates, while all other hosts reach it (observed for 8 s). Each host
        learns by gossip that the lease was released, and by its own read whether it
        has been taken again. Hosts needn't agree on who stands in, as a take-over
        replaces a known revision and so only one takes effect.
        """
        if (
            self._known_released_at is None
            or self._known_released_epoch < self._highest_epoch
        ):
            return 0
        passed = (now - self._known_released_at) // _STAND_IN_AFTER
        return min(passed, _MAX_STAND_INS)

    def _read(self, now):
        self._in_flight, self._sent_at = True, now
        self._next_read = now + self._duration * _READ_SHARE
        self._state.emit(ReadLease())

    def _write(self, epoch, now, idle=False):
        self._writes += 1
        self._maybe_idle = self._maybe_idle or idle
        record = LeaseRecord(self._holder_id, epoch, self._writes, idle)
        self._written, self._written_at = record, now
        self._in_flight, self._sent_at = True, now
        self._next_read = now + _RETRY_AFTER
        self._state.emit(WriteLease(record, self._revision))


def _read_at(found):
    return found.revision if found.read_at is None else found.read_at


def _is_due(at, now):
    return at is None or now >= at
