"""A lease in the platform's store, held by one entry host at a time."""

import dataclasses
import datetime

from sesamespindle.decide import commands, gossip, hashing

# The holder acts for this part of the lease's time after it last renewed it,
# counted from before the renewal was sent, and renews three times as often.
_ACTING_SHARE = 0.5
_RENEW_SHARE = 1 / 6
# Another host takes the lease over once it has seen it unchanged for the time
# that the holder may act, a whole lease time in which the holder can't have
# acted, and this much for clocks that run apart.
_MARGIN = datetime.timedelta(milliseconds=300)
# A candidate looks this often; only the first two of the fleet that are there are
# candidates.
_LOOK_SHARE = 1 / 3
_CANDIDATES = 2
# Where a lease that was given up isn't taken, one more host stands in as a candidate
# each time this has passed: a candidate that reaches the store takes it within the
# lease's time and a look. At most so many do, as the store may be away for all.
_STAND_IN_AFTER = datetime.timedelta(seconds=2)
_MOST_STAND_INS = 6
# An idle lease is taken over once it wasn't renewed for this many renewals. That
# is no matter of safety: it keeps a lease from changing hands for one lost call.
_IDLE_MISSED_RENEWALS = 2.5
_RETRY_AFTER = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The lease as it is stored.

    Attributes
    ----------
    holder : str
        Name, incarnation and peer address of the holder, with slashes between;
        without the address in records of earlier releases.
    epoch : int
        Rises with every change of the holder; targets compare it.
    renewals : int
        Writes that the holder has sent, so that no two of its writes are equal.
    idle : bool
        Whether no act can follow under it before it is written anew, and the last
        one was a lease time ago when this was written.
    """

    holder: str
    epoch: int
    renewals: int = 0
    idle: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease in place of the revision that was read; 0 to create it."""

    record: LeaseRecord
    replaces: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseFound:
    """The lease as it was read, or as a write met it; no record if none."""

    record: LeaseRecord | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseWritten:
    """A write of ours took effect."""

    record: LeaseRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUnknown:
    """A read or write got no answer; a write may yet take effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """Until when a lease must be left alone, and what for."""

    until: datetime.datetime
    reason: str


class Lease:
    """Decides when to take, renew and give back the lease.

    No clocks of two hosts are compared. The holder counts from before it sent
    a renewal; others count from when they first saw that renewal, which is
    later. A holder that was paused finds its time over when it wakes up.

    A holder that has nothing to do says in the record that it is idle, once its
    last act is a lease time old, and writes that it is not before it acts again.
    Writes replace a known revision, so of that write and one that takes the idle
    lease over only one takes effect, and others needn't wait for acts under it: one
    whose holder is lost is taken within 1.5 s, in place of 5 s.

    Parameters
    ----------
    state : world.World
        The shared tables.
    duration : datetime.timedelta
        How far apart the acts of two holders must lie.
    reachable : callable
        Whether a data centre has been heard of lately, at a time.
    """

    def __init__(self, state, duration, reachable):
        self._state = state
        self._duration = duration
        self._reachable = reachable
        me = state.me
        self._me = f"{me.name}/{me.incarnation}/{me.peer_address}"
        self._record = None
        self._revision = 0
        self._seen_at = None
        self._held_from = None
        self._sent_at = None
        # The last write that was sent, and when.
        self._written = None
        self._written_at = None
        self._writes = 0
        self._busy = False
        self._started_at = None
        self._next_look = None
        self._next_take = None
        self._noted_revision = None
        self._leaving = False
        self._acted_at = None
        self._wanted_at = None
        # Whether the record says that the lease is idle, or may yet by a write that
        # is under way.
        self._maybe_idle = True
        self._was_idle = False
        self._released_epoch = 0
        self._highest_epoch = 0
        # The latest epoch that was heard to be given up, by any host, and since when.
        self._given_up_epoch = 0
        self._given_up_at = None

    @property
    def epoch(self):
        """The epoch of the lease as it was last seen."""
        return self._record.epoch if self._record is not None else 0

    def is_held(self, now):
        """Return whether this host is the holder now."""
        if self._held_from is None:
            return False
        return now - self._held_from < self._duration * _ACTING_SHARE

    def may_act(self, now):
        """Return whether this host may act as the holder now.

        Guards against orders of two hosts within a lease time: a host that finds
        the lease idle takes it without waiting for acts of its holder. From when
        a write that says idle is sent, until a later one that says the opposite
        is known to have taken effect, the holder doesn't act.
        """
        return self.is_held(now) and not self._maybe_idle

    def ask_to_act(self, now):
        """Have the lease let this host act as soon as it holds it."""
        self._wanted_at = now
        if self._leaving or self._busy or not self.is_held(now):
            return
        if self._maybe_idle:
            self._renew(now)

    def note_act(self, now):
        """Remember that the holder has acted."""
        self._acted_at = now

    def tick(self, now):
        """Renew, look or take over when it is time."""
        self._started_at = self._started_at or now
        self._note_given_up(now)
        if self._mine() and not self.is_held(now):
            self._release(now)
        if self._leaving or (self._busy and now - self._sent_at < self._duration):
            return
        if not self._mine():
            self._pursue(now)
        elif now - self._held_from >= self._duration * _RENEW_SHARE:
            self._renew(now)

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case LeaseFound():
                self._busy = False
                self._see(event.record, event.revision, now)
            case LeaseWritten():
                self._confirm(event, now)
            case LeaseUnknown():
                # Whether a write took effect shows when the lease is read.
                self._busy = False
                self._next_look = self._next_take = now + _RETRY_AFTER
                if self._mine():
                    self._look(now)
            case _:
                return False
        return True

    def give_back(self, now):
        """Leave the lease to others, who still wait until no act can follow."""
        self._leaving = True
        if self._mine():
            self._release(now)

    def _renew(self, now):
        self._write(self.epoch, now, not self._is_needed(now))

    def _is_needed(self, now):
        """Return whether acts are wanted, or one is less than a lease time old."""
        wanted_for = self._duration * _RENEW_SHARE
        if self._wanted_at is not None and now - self._wanted_at < wanted_for:
            return True
        acted_at = self._acted_at
        return acted_at is not None and now - acted_at < self._duration + _MARGIN

    def _pursue(self, now):
        """Take the lease if it is free, or look at it when it is time."""
        free = self._is_free(now)
        if not free and not _is_due(self._next_look, now):
            return
        if not self._is_candidate(now):
            self._next_look = now + self._duration * _LOOK_SHARE
            self._next_take = self._next_look
        elif free:
            self._take_over(now)
        else:
            self._look(now)

    def _take_over(self, now):
        if self._may_have_acted():
            self._acted_at = now
        self._next_take = now + _RETRY_AFTER
        self._write(self._highest_epoch + 1, now)

    def _may_have_acted(self):
        """Return whether acts before a take-over may be younger than a lease time.

        An earlier life of this host may have acted until it ended, and the holder
        of a record that was removed is not known.
        """
        if self._record is None:
            return self._highest_epoch > 0
        return self._is_own(self._record) and not self._record.idle

    def _confirm(self, event, now):
        """Take in that a write of ours took effect.

        Guards against an answer to a write that was given up: nobody knows here
        when that write was sent, so it lets nobody act. The lease is read again.
        """
        if event.record != self._written:
            return
        self._busy = False
        if self._held_from is None:
            self._was_idle = event.record.idle
            self._state.emit(
                commands.Note("lease_taken", self._me, f"epoch {event.record.epoch}")
            )
        self._record, self._revision = event.record, event.revision
        self._highest_epoch = max(self._highest_epoch, self.epoch)
        self._seen_at = now
        if event.record.epoch <= self._released_epoch:
            self._held_from = None
        else:
            self._hold_from_write()
        if self._leaving and self._mine():
            # The write was under way when the lease was given back.
            self._release(now)

    def _hold_from_write(self):
        """Count the hold from the last write, which is known to be in effect."""
        self._held_from = self._written_at
        self._maybe_idle = self._written.idle
        if self._was_idle != self._maybe_idle:
            self._was_idle = self._maybe_idle
            kind = "lease_idle" if self._was_idle else "lease_active"
            self._state.emit(commands.Note(kind, self._me, f"epoch {self.epoch}"))

    def _release(self, now):
        """Give up the epoch for good, and let peers know.

        A holder that can't renew, because it was paused or cut off from the
        platform, would keep all others waiting until they can be sure that it
        no longer acts. If it still reaches a peer, that wait is shorter.
        """
        self._held_from = None
        self._released_epoch = self.epoch
        acted_at = self._acted_at or now - self._duration
        self._state.lease_release = gossip.LeaseRelease(self.epoch, acted_at)
        self._state.emit(commands.Note("lease_released", self._me, f"{self.epoch}"))

    def _mine(self):
        return self._held_from is not None

    def _see(self, record, revision, now):
        if 0 < revision < self._revision:
            # An answer from before what is known, which came late. Revisions rise
            # also where the object is removed and made anew.
            return
        if revision == self._revision and self._seen_at is not None:
            self._note_wait(now)
            return
        is_first = self._seen_at is None
        changed_hands = record is None or record.holder != self._me
        if self._held_from is not None and changed_hands:
            self._state.emit(commands.Note("lease_lost", self._me))
            self._held_from = None
        self._record, self._revision, self._seen_at = record, revision, now
        # The object may have been removed, or overwritten by another writer; an
        # epoch that was used before would then be given to a second holder.
        self._highest_epoch = max(self._highest_epoch, self.epoch)
        if self._held_from is not None and record == self._written:
            # A renewal of ours took effect though its answer was lost. Others may
            # have seen it since it was sent, which was before this question.
            self._hold_from_write()
        if is_first:
            self._note_wait(now)

    def _is_free(self, now):
        """Return whether the lease may be taken now."""
        if self._seen_at is None or not _is_due(self._next_take, now):
            return False
        return now >= self._wait().until

    def _wait(self):
        """Return for how long the lease as it was seen must be left alone.

        Each way shows by itself that nobody can act under it any more.
        """
        if self._record is None:
            return _Wait(self._seen_at, "nobody holds it")
        if self._is_own(self._record):
            return _Wait(self._seen_at, "this host held it")
        waits = [_Wait(self._seen_at + self._quiet_for(), "not renewed")]
        if self._record.idle:
            missed = self._duration * _RENEW_SHARE * _IDLE_MISSED_RENEWALS
            waits.append(_Wait(self._seen_at + missed, "idle and not renewed"))
        release = self._state.lease_release
        if release is not None and release.epoch >= self._record.epoch:
            until = release.last_act_at + self._duration + _MARGIN
            waits.append(_Wait(until, "given up by its holder"))
        return min(waits, key=lambda wait: wait.until)

    def _quiet_for(self):
        """Return how long a lease must go unrenewed until another host takes it."""
        return self._duration * _ACTING_SHARE + self._duration + _MARGIN

    def _is_own(self, record):
        """Return whether this host is the holder, in this life or an earlier one.

        Guards against engines that get no orders after all hosts lost power: the
        holder came back and waited until its own earlier process could no longer
        act. That process is gone, since the address that a host listens at is
        bound by one process only. The name alone doesn't show it: another host
        may come under it, at another address, while the one before still runs.
        """
        me = self._state.me
        life, _, address = record.holder.rpartition("/")
        name, _, _ = life.rpartition("/")
        return bool(address) and (name, address) == (me.name, me.peer_address)

    def _note_wait(self, now):
        """Tell once why a lease that isn't renewed is left alone, and how long."""
        if self._mine() or self._noted_revision == self._revision:
            return
        wait = self._wait()
        if wait.until <= now or not self._is_candidate(now):
            return
        self._noted_revision = self._revision
        left = (wait.until - now).total_seconds()
        detail = f"epoch {self.epoch}, {wait.reason}, {left:.1f} s more"
        self._state.emit(commands.Note("lease_waits", self._record.holder, detail))

    def _is_candidate(self, now):
        """Return whether this host looks at the lease, to take it if it is free.

        Guards against engines that get no new weights after a data centre was
        lost: its hosts stay in the table, and nobody else would look for them.

        A host that held the lease may take it at once, so it is a candidate until
        another has taken it. Whether it held it a host asks when it starts, for as
        long as the others would have to wait.
        """
        if self._seen_at is None and now - self._started_at < self._quiet_for():
            return True
        if self._record is not None and self._is_own(self._record):
            return True
        names = [
            row.name
            for row in self._state.live_entries()
            if self._reachable(row.data_centre, now)
        ]
        count = _CANDIDATES + self._stand_ins(now)
        return self._state.me.name in hashing.rank("lease", names)[:count]

    def _note_given_up(self, now):
        release = self._state.lease_release
        if release is not None and release.epoch > self._given_up_epoch:
            self._given_up_epoch, self._given_up_at = release.epoch, now

    def _stand_ins(self, now):
        """Return how many hosts look at the lease besides the usual candidates.

        Guards against engines that nobody orders: the store turns the holder away
        and both candidates, while all other hosts reach it (seen for 8 s). Each
        host knows by gossip that the lease was given up, and by its own look when
        it has been taken again; who stands in needn't be agreed on, as a take-over
        replaces a known revision.
        """
        if self._given_up_at is None or self._given_up_epoch < self._highest_epoch:
            return 0
        passed = (now - self._given_up_at) // _STAND_IN_AFTER
        return min(passed, _MOST_STAND_INS)

    def _look(self, now):
        self._busy, self._sent_at = True, now
        self._next_look = now + self._duration * _LOOK_SHARE
        self._state.emit(ReadLease())

    def _write(self, epoch, now, idle=False):
        self._writes += 1
        self._maybe_idle = self._maybe_idle or idle
        record = LeaseRecord(self._me, epoch, self._writes, idle)
        self._written, self._written_at = record, now
        self._busy, self._sent_at = True, now
        self._next_look = now + _RETRY_AFTER
        self._state.emit(WriteLease(record, self._revision))


def _is_due(at, now):
    return at is None or now >= at
