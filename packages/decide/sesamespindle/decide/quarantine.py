"""What follows for requests under which targets crash.

A request is known by its fingerprint, whatever its attempts' ids and hosts are. After
the first crash it may be tried again, at one target that all hosts choose alike; after
the second only in a new attempt, and away from other suspects; after the third it is
refused, once hosts have had time to hear what others saw.
"""

import dataclasses
import datetime

from sesamespindle.decide import commands, gossip, hashing, retries

# Crashes under one request after which it is refused.
_QUARANTINED_FROM = 3
# From so many crashes on it is refused although others ran beside it each time, or its
# targets crashed together with others. Three retries after the third are allowed in
# all, tries among them, and one is left for news that comes late.
_QUARANTINED_ANYHOW_FROM = 5
# Uncorrelated crashes that are needed: one may be chance.
_UNCORRELATED = 2
# Uncorrelated crashes after which a suspect gets no target that another such
# suspect has.
_APART_FROM = 2
# Crashes of one service so close together are correlated.
_CORRELATED_WITHIN = datetime.timedelta(seconds=0.5)
# Crashes so close together are one event: a request that is tried again takes longer to
# crash the next target.
_AT_ONCE = datetime.timedelta(seconds=0.03)
# What other hosts saw of a crash is here after this long: three rounds of urgent news,
# and what a busy host adds.
_SETTLED_AFTER = datetime.timedelta(seconds=0.5)
# A suspect keeps a target to itself for this long after its last crash, which is when
# its caller tries again.
_KEEPS_TARGET_FOR = datetime.timedelta(seconds=2)
# When callers of a quarantined request come back. Nothing will have changed sooner.
_COME_BACK_AFTER = datetime.timedelta(minutes=1)
# Each host writes what isn't on the platform yet this much later than the one before
# it in rank: several calls of the platform fit in.
_WRITE_TURN = datetime.timedelta(seconds=1)
# A quarantined request is let through once after the first time, and once more after
# the second.
_TRIED_AFTER = (datetime.timedelta(minutes=10), datetime.timedelta(hours=2))
# Quarantined requests that are remembered, and that are told in one message.
_MAX_RECORDS = 1024
_MAX_TOLD = 32


@dataclasses.dataclass(frozen=True, slots=True)
class WriteQuarantine:
    """Write a record to the platform; `QuarantineWritten` or `..Unwritten` follows.

    Attributes
    ----------
    is_try : bool
        Whether the request may be let through here once it is written.
    """

    record: gossip.QuarantinedRequest
    is_try: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveQuarantine:
    """Remove a record from the platform."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineWritten:
    """The platform has a record, as its revision says."""

    record: gossip.QuarantinedRequest
    is_try: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineUnwritten:
    """It isn't known whether the platform has a record."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRead:
    """The platform or a peer shows a record that the platform has."""

    record: gossip.QuarantinedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineLifted:
    """A record was removed from the platform."""

    fingerprint: str


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinesListed:
    """All records that the platform has at a revision."""

    records: tuple[gossip.QuarantinedRequest, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not sent to any target now.

    Attributes
    ----------
    retry_after : datetime.timedelta
        Spread already.
    """

    code: commands.Code
    message: str
    retry_after: datetime.timedelta


class Quarantine:
    """Decides which requests are refused, and where suspects may be tried.

    Guards against one request that takes all targets of a service, one after the
    other: it comes again under new ids, at any host, and each attempt is sent on.

    Parameters
    ----------
    state : world.World
        The shared tables.
    crashes : crashes.Crashes
        What is known against whom.
    is_written : bool
        Whether the platform keeps what is decided; else the hosts' memories do.
    """

    def __init__(self, state, crashes, is_written=True):
        self._state = state
        self._is_written = is_written
        self._crashes = crashes
        self.record_by_fingerprint = {}
        # When records came to be known here that the platform may not have.
        self._unwritten_since = {}
        # Until when no write of a record is begun.
        self._write_after = {}
        # Requests that are let through here once.
        self._let_through = set()

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case QuarantineRead():
                self._adopt(event.record, now, "read")
            case QuarantineWritten():
                self._written(event, now)
            case QuarantineUnwritten():
                self._write_after[event.fingerprint] = now + retries.spread(
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
        """Find causes, have the platform remember, and begin tries that are due."""
        self._quarantine_causes(now)
        if not self._is_written:
            return
        for record in self.records():
            if record.revision:
                self._begin_try(record, now)
            else:
                self._write(record, now)

    # What requests are told.

    def refusal(self, fingerprint, now):
        """Return the `Refusal` of a request, or None where it may be sent."""
        crashes = self._against(fingerprint)
        if len(crashes) >= _QUARANTINED_FROM:
            if not self._have_settled(crashes, now):
                return self._refuse(
                    commands.Code.SUSPECTED,
                    f"Targets crashed under this request, {len(crashes)} just now.",
                    _SETTLED_AFTER,
                )
            # The next tick would be too late for this request.
            self._quarantine_causes(now)
        record = self.record_by_fingerprint.get(fingerprint)
        if record is None:
            return None
        if fingerprint in self._let_through:
            self._let_through.discard(fingerprint)
            return None
        return self._refuse(
            commands.Code.QUARANTINED,
            f"Targets crash under this request, {record.crashes} so far.",
            _COME_BACK_AFTER,
        )

    def _refuse(self, code, message, base):
        return Refusal(code, message, retries.spread(base, self._state.random))

    def suspicion(self, fingerprint):
        """Return how many targets may have crashed under a request."""
        if not fingerprint:
            return 0
        if fingerprint in self.record_by_fingerprint:
            return _QUARANTINED_FROM
        unsure = self._crashes.possible_crashes(fingerprint)
        return len(self._against(fingerprint)) + unsure

    def narrow(self, fingerprint, rows, now):
        """Return the one of some targets at which a suspect may be tried, or all.

        All hosts choose the same one, so that copies of a request which arrive
        everywhere at once crash one target and not each another. Those that were
        there twice stay apart: the next crash then tells which of them it was. Where
        there are more of them than targets, some get none and come again.
        """
        if not rows or not self.suspicion(fingerprint):
            return rows
        life_of = self._crashes.life_of
        alive = [row for row in rows if not self._crashes.has_crashed(life_of(row))]
        row_by_name = {row.name: row for row in alive or rows}
        names = set(row_by_name)
        if self._stays_apart(fingerprint):
            names -= self._taken_by_others(fingerprint, names, now)
        chosen = hashing.first(fingerprint, names)
        return [row_by_name[chosen]] if chosen is not None else []

    def _taken_by_others(self, fingerprint, names, now):
        """Return the targets of suspects that choose before this one."""
        taken = set()
        for other in sorted(self._crashes.repeated_suspects()):
            if other >= fingerprint or taken == names:
                break
            if self._keeps_target(other, now) and self._stays_apart(other):
                taken.add(hashing.first(other, names - taken))
        return taken

    def _keeps_target(self, fingerprint, now):
        latest = max((crash.at for crash in self._against(fingerprint)), default=None)
        return latest is not None and now - latest < _KEEPS_TARGET_FOR

    def _stays_apart(self, fingerprint):
        if fingerprint in self.record_by_fingerprint:
            return True
        crashes = self._against(fingerprint)
        return len(self._uncorrelated(fingerprint, crashes)) >= _APART_FROM

    def served(self, fingerprint, now):
        """Take in that a run has ended well."""
        self._crashes.served(fingerprint, now)
        if fingerprint in self.record_by_fingerprint:
            self._lift(fingerprint, now)
            self._state.emit(RemoveQuarantine(fingerprint))

    # Who is the cause.

    def _against(self, fingerprint):
        """Return the crashes that a request may have caused.

        A crash that a quarantined request explains counts for nobody else.
        """
        return [
            crash
            for crash in self._crashes.crashes_against(fingerprint)
            if not self._is_explained(crash)
        ]

    def _is_explained(self, crash):
        return not crash.suspects.isdisjoint(self.record_by_fingerprint)

    def _have_settled(self, crashes, now):
        return now - max(crash.at for crash in crashes) >= _SETTLED_AFTER

    def _quarantine_causes(self, now):
        """Quarantine who crashed most targets first: that clears who was beside it."""
        found = [
            (fingerprint, self._against(fingerprint))
            for fingerprint in self._crashes.repeated_suspects()
            if fingerprint not in self.record_by_fingerprint
        ]
        found.sort(key=lambda item: (-len(item[1]), item[0]))
        for fingerprint, _ in found:
            crashes = self._against(fingerprint)
            if len(crashes) < _QUARANTINED_FROM or not self._have_settled(crashes, now):
                continue
            if self._is_cause(fingerprint, crashes):
                record = gossip.QuarantinedRequest(fingerprint, now, len(crashes))
                self._adopt(record, now, _describe(crashes))

    def _is_cause(self, fingerprint, crashes):
        """Return whether the crashes under a request are its doing.

        Guards against others that are refused: those that ran beside the cause
        more than once, as each of their crashes has another suspect with as many,
        those that met correlated crashes, in which targets crash without them, and
        those that many callers send, so that they ran at all targets that crashed
        together.
        """
        if len(crashes) >= _QUARANTINED_ANYHOW_FROM:
            return True
        outside = self._uncorrelated(fingerprint, crashes)
        if _are_one_event(outside):
            return False
        has_no_other = any(
            not self._has_suspect(crash, len(crashes), fingerprint) for crash in outside
        )
        return len(outside) >= _UNCORRELATED and has_no_other

    def _uncorrelated(self, fingerprint, crashes):
        if len(crashes) < _UNCORRELATED:
            return []
        return [
            crash for crash in crashes if not self._is_correlated(fingerprint, crash)
        ]

    def _is_correlated(self, fingerprint, crash):
        """Return whether another target crashed at the time, without the request.

        One that ran under another request with as many crashes does not count.
        """
        return any(
            abs(other.at - crash.at) <= _CORRELATED_WITHIN
            and other.service == crash.service
            and fingerprint not in other.suspects
            and not other.is_refuted
            and not self._is_explained(other)
            and not self._has_suspect(other, _QUARANTINED_FROM, fingerprint)
            for other in self._crashes.crash_by_life.values()
        )

    def _has_suspect(self, crash, crashes, besides):
        """Return whether some other suspect of a crash has so many in all."""
        return any(
            other != besides and len(self._against(other)) >= crashes
            for other in crash.suspects
        )

    # What is remembered.

    def _adopt(self, record, now, how):
        """Take a record in, unless the request was seen to do no harm since."""
        fingerprint = record.fingerprint
        cleared_at = self._crashes.cleared_at(fingerprint, None)
        if cleared_at is not None and cleared_at >= record.decided_at:
            return
        known = self.record_by_fingerprint.get(fingerprint)
        if known is not None and _standing(known) >= _standing(record):
            return
        self.record_by_fingerprint[fingerprint] = record
        if record.revision:
            self._unwritten_since.pop(fingerprint, None)
        else:
            self._unwritten_since.setdefault(fingerprint, now)
        self._state.tells_crashes = True
        if known is None:
            self._state.emit(commands.Note("request_quarantined", fingerprint, how))
            self._drop_oldest()

    def _drop_oldest(self):
        while len(self.record_by_fingerprint) > _MAX_RECORDS:
            oldest = min(
                self.record_by_fingerprint.values(), key=lambda item: item.decided_at
            )
            self._forget(oldest.fingerprint)

    def _adopt_all(self, listed, now):
        """Take in all that the platform has; what it had before is lifted."""
        names = {record.fingerprint for record in listed.records}
        for record in self.records():
            is_gone = record.fingerprint not in names
            if is_gone and 0 < record.revision <= listed.revision:
                self._lift(record.fingerprint, now)
        for record in listed.records:
            self._adopt(record, now, "listed")

    def _lift(self, fingerprint, now):
        """Let a request be sent again, and forget what it had crashed."""
        if fingerprint not in self.record_by_fingerprint:
            return
        self._forget(fingerprint)
        self._crashes.clear(fingerprint, now)
        self._state.emit(commands.Note("quarantine_lifted", fingerprint))

    def _forget(self, fingerprint):
        del self.record_by_fingerprint[fingerprint]
        self._unwritten_since.pop(fingerprint, None)
        self._write_after.pop(fingerprint, None)
        self._let_through.discard(fingerprint)

    def _write(self, record, now):
        """Have the platform remember a record, if it is this host's turn.

        Guards against a loss of power that takes every host's memory. All hosts
        decide at about the same time; they take turns, so that one writes, and the
        next where the platform turns that one away.
        """
        fingerprint = record.fingerprint
        turn = self._unwritten_since[fingerprint]
        turn += self._rank(fingerprint) * _WRITE_TURN
        if now < max(turn, self._write_after.get(fingerprint, turn)):
            return
        self._write_after[fingerprint] = now + _WRITE_TURN
        self._state.emit(WriteQuarantine(record))

    def _rank(self, fingerprint):
        """Return the place of this host among those that may write a record."""
        names = [row.name for row in self._state.live_entries()]
        me = self._state.me.name
        ranked = hashing.rank(fingerprint, names)
        return ranked.index(me) if me in ranked else len(ranked)

    def _written(self, event, now):
        self._adopt(event.record, now, "written")
        if event.is_try:
            self._let_through.add(event.record.fingerprint)

    def _begin_try(self, record, now):
        """Let a request through once more, some time after it was quarantined.

        Guards against a request that is refused for good although its cause is
        mended. The platform counts the tries, and one host makes them.
        """
        allowed = min(len(_TRIED_AFTER), _QUARANTINED_ANYHOW_FROM - record.crashes)
        if record.tries >= allowed:
            return
        if now < record.decided_at + _TRIED_AFTER[record.tries]:
            return
        fingerprint = record.fingerprint
        if now < self._write_after.get(fingerprint, now) or self._rank(fingerprint):
            return
        self._write_after[fingerprint] = now + _WRITE_TURN
        more = dataclasses.replace(record, tries=record.tries + 1)
        self._state.emit(WriteQuarantine(more, is_try=True))

    def records(self):
        """Return the `gossip.QuarantinedRequest` of all that are refused."""
        return list(self.record_by_fingerprint.values())

    def written(self):
        """Return the records that the platform is known to have."""
        return [record for record in self.records() if record.revision]

    # What is told to peers and heard from them.

    def told(self, whole):
        """Return the `gossip.CrashNews` for a peer."""
        crashes, cleared = self._crashes.told(whole)
        records = tuple(self.record_by_fingerprint.values())
        return gossip.CrashNews(crashes, cleared, records[-_MAX_TOLD:])

    def note_round(self):
        """Count a round of gossip in which what is news was told."""
        self._crashes.note_round()

    def hear(self, news, now):
        """Take in what a peer tells."""
        self._crashes.hear(news.crashes, news.cleared)
        for told in news.cleared:
            record = self.record_by_fingerprint.get(told.fingerprint)
            if record is not None and record.decided_at <= told.at:
                self._lift(told.fingerprint, told.at)
        for record in news.quarantined:
            self._adopt(record, now, "heard")


def _are_one_event(crashes):
    """Return whether targets crashed together, each with several requests."""
    times = [crash.at for crash in crashes]
    if not times or max(times) - min(times) > _AT_ONCE:
        return False
    return all(len(crash.suspects) > 1 for crash in crashes)


def _standing(record):
    return record.revision, record.tries


def _describe(crashes):
    names = ", ".join(sorted(crash.life.name for crash in crashes))
    return f"{len(crashes)} targets crashed under it: {names}"
