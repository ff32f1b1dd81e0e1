"""Quarantine of requests that crash the targets that run them.

A request is identified by its fingerprint, which stays the same when callers send it
again with another id or to another host. After the first crash the host may retry it,
at one target that all hosts choose alike. After the second crash no host retries it by
itself; if the caller sends it again, it gets a target apart from those of other
suspects. After the third crash it is refused, once the hosts have had time to receive
what others saw of the crashes.
"""

import dataclasses
import datetime

from sesamespindle.decide import commands, gossip, hashing, retries, revisions

# The number of crashes under one request from which it is refused.
_QUARANTINED_FROM = 3
# The number of crashes from which a request is refused in any case, even if other
# suspects ran beside it each time or its targets crashed together with others. After
# the third crash at most three more runs are allowed in all. These include the trial
# runs of `_TRIALS_AFTER`; one is left for a host that learns of the crashes late.
_ALWAYS_QUARANTINED_FROM = 5
# The number of uncorrelated crashes that a quarantine needs, as one may be chance.
_MIN_UNCORRELATED = 2
# The number of uncorrelated crashes from which a suspect gets a target of its own that
# no other such suspect uses.
_OWN_TARGET_FROM = 2
# Crashes of one service at most this far apart are correlated.
_CORRELATED_WITHIN = datetime.timedelta(seconds=0.5)
# Crashes at most this far apart are one event. One request can't cause them one after
# the other, as a retry takes longer than this to crash the next target.
_ONE_EVENT_WITHIN = datetime.timedelta(seconds=0.03)
# After this long the host has received what others saw of a crash. This covers three
# rounds of urgent gossip and the delay of a busy host.
_REPORTED_WITHIN = datetime.timedelta(seconds=0.5)
# For this long after its last crash a suspect keeps its target to itself. Its caller
# tries again within this time.
_OWN_TARGET_FOR = datetime.timedelta(seconds=2)
# The retry delay that callers of a quarantined request are given. The decision is not
# expected to change sooner.
_RETRY_AFTER = datetime.timedelta(minutes=1)
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


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is not sent to any target now.

    Attributes
    ----------
    retry_after : datetime.timedelta
        When the caller may try again; random jitter is included.
    """

    code: commands.Code
    message: str
    retry_after: datetime.timedelta


class Quarantine:
    """Decides which requests are refused, and at which targets suspects may run.

    Guards against one request that crashes all targets of a service, one after the
    other. Its caller sends it again with a new id, to any host, and each attempt
    crashes another target. All hosts exchange the crashes by fingerprint, and refuse
    the request after the third one.

    Parameters
    ----------
    state : world.World
        The shared tables.
    crashes : crashes.Crashes
        The crashes, with the requests suspected of them.
    stored_on_platform : bool
        Whether records are stored on the platform. Otherwise the hosts alone keep
        them, in memory.
    """

    def __init__(self, state, crashes, stored_on_platform=True):
        self._state = state
        self._platform_stores = stored_on_platform
        self._crashes = crashes
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
                self._adopt(event.record, now, "read")
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
        """Quarantine causes of crashes, write records, and start trial runs."""
        self._quarantine_causes(now)
        if not self._platform_stores:
            return
        for record in self.records():
            if record.revision != revisions.NEVER:
                self._start_trial(record, now)
            else:
                self._write(record, now)

    # Decisions on requests.

    def refusal(self, fingerprint, now):
        """Return the `Refusal` of a request, or None if it may be sent."""
        crashes = self._counted_crashes(fingerprint)
        if len(crashes) >= _QUARANTINED_FROM:
            if not self._all_reported(crashes, now):
                return self._refuse(
                    commands.Code.SUSPECTED,
                    f"Targets crashed under this request, {len(crashes)} so far; "
                    "reports of other hosts are awaited.",
                    _REPORTED_WITHIN,
                )
            # Decide now: this request would be sent before the next tick.
            self._quarantine_causes(now)
        record = self.record_by_fingerprint.get(fingerprint)
        if record is None:
            return None
        if fingerprint in self._pending_trials:
            self._pending_trials.discard(fingerprint)
            return None
        return self._refuse(
            commands.Code.QUARANTINED,
            f"Targets crash under this request, {record.crashes} so far.",
            _RETRY_AFTER,
        )

    def _refuse(self, code, message, base):
        return Refusal(code, message, retries.with_jitter(base, self._state.random))

    def possible_crash_count(self, fingerprint):
        """Return the number of targets that may have crashed because of a request.

        It includes possible crashes that are not yet confirmed.
        """
        if not fingerprint:
            return 0
        if fingerprint in self.record_by_fingerprint:
            return _QUARANTINED_FROM
        unsure = self._crashes.possible_crashes(fingerprint)
        return len(self._counted_crashes(fingerprint)) + unsure

    def permitted_targets(self, fingerprint, rows, now):
        """Return the target at which a suspect may run, or all for other requests.

        Guards against copies of one request that arrive at many hosts at once and
        crash a target each: all hosts choose the same target for a suspect, by
        rendezvous hashing. It also guards against suspects that share a target, so that
        a crash doesn't show which of them caused it: suspects of two crashes get
        different targets. If there are more of them than targets, some get none, and
        their callers have to retry.

        Parameters
        ----------
        fingerprint : str
            Of the request; may be empty.
        rows : list of world.TargetRow
            The targets that may run the request.
        now : datetime.datetime
            The current time.

        Returns
        -------
        rows : list of world.TargetRow
            All of `rows` for a request that isn't suspected, else one or none.
        """
        if not rows or not self.possible_crash_count(fingerprint):
            return rows
        incarnation_of = self._crashes.incarnation_of
        alive = [
            row for row in rows if not self._crashes.has_crashed(incarnation_of(row))
        ]
        row_by_name = {row.name: row for row in alive or rows}
        names = set(row_by_name)
        if self._needs_own_target(fingerprint):
            names -= self._targets_of_others(fingerprint, names, now)
        chosen = hashing.first(fingerprint, names)
        return [row_by_name[chosen]] if chosen is not None else []

    def _targets_of_others(self, fingerprint, names, now):
        """Return the targets taken by suspects that choose before this one.

        Suspects choose in the order of their fingerprints, on all hosts alike.
        """
        taken = set()
        for other in sorted(self._crashes.repeated_suspects()):
            if other >= fingerprint or taken == names:
                break
            if self._reserves_target(other, now) and self._needs_own_target(other):
                taken.add(hashing.first(other, names - taken))
        return taken

    def _reserves_target(self, fingerprint, now):
        latest = max(
            (crash.at for crash in self._counted_crashes(fingerprint)), default=None
        )
        return latest is not None and now - latest < _OWN_TARGET_FOR

    def _needs_own_target(self, fingerprint):
        if fingerprint in self.record_by_fingerprint:
            return True
        crashes = self._counted_crashes(fingerprint)
        return len(self._uncorrelated_crashes(fingerprint, crashes)) >= _OWN_TARGET_FROM

    def record_success(self, fingerprint, now):
        """Record a successful run; it ends a quarantine of the request."""
        self._crashes.record_success(fingerprint, now)
        if fingerprint in self.record_by_fingerprint:
            self._lift(fingerprint, now)
            self._state.emit(RemoveQuarantine(fingerprint))

    # Finding the causes of crashes.

    def _counted_crashes(self, fingerprint):
        """Return the crashes that a request may have caused.

        A crash with a quarantined request among its suspects is attributed to that one
        and counts against no other request.
        """
        return [
            crash
            for crash in self._crashes.crashes_against(fingerprint)
            if not self._is_explained(crash)
        ]

    def _is_explained(self, crash):
        return not crash.suspects.isdisjoint(self.record_by_fingerprint)

    def _all_reported(self, crashes, now):
        return now - max(crash.at for crash in crashes) >= _REPORTED_WITHIN

    def _quarantine_causes(self, now):
        """Quarantine the requests that caused their crashes.

        Those with the most crashes come first, as each quarantine clears the other
        suspects of these crashes.
        """
        found = [
            (fingerprint, self._counted_crashes(fingerprint))
            for fingerprint in self._crashes.repeated_suspects()
            if fingerprint not in self.record_by_fingerprint
        ]
        found.sort(key=lambda item: (-len(item[1]), item[0]))
        for fingerprint, _ in found:
            crashes = self._counted_crashes(fingerprint)
            if len(crashes) < _QUARANTINED_FROM or not self._all_reported(crashes, now):
                continue
            if self._is_cause(fingerprint, crashes):
                record = gossip.QuarantinedRequest(fingerprint, now, len(crashes))
                self._adopt(record, now, _describe(crashes))

    def _is_cause(self, fingerprint, crashes):
        """Return whether a request caused the crashes under it.

        Guards against harmless requests that are refused. There are three kinds. Some
        ran beside the cause several times: each of their crashes has another suspect
        with as many crashes. Some were in flight in correlated crashes: targets that
        didn't run them crashed at the same time. Some are sent by many callers: they
        ran at all targets that crashed together in one event.
        """
        if len(crashes) >= _ALWAYS_QUARANTINED_FROM:
            return True
        uncorrelated = self._uncorrelated_crashes(fingerprint, crashes)
        if _are_one_event(uncorrelated):
            return False
        is_main_suspect = any(
            not self._has_other_suspect(crash, len(crashes), fingerprint)
            for crash in uncorrelated
        )
        return len(uncorrelated) >= _MIN_UNCORRELATED and is_main_suspect

    def _uncorrelated_crashes(self, fingerprint, crashes):
        if len(crashes) < _MIN_UNCORRELATED:
            return []
        return [
            crash for crash in crashes if not self._is_correlated(fingerprint, crash)
        ]

    def _is_correlated(self, fingerprint, crash):
        """Return whether a target that didn't run the request crashed at the time.

        A target doesn't count if another request that ran there has enough crashes to
        be quarantined, as that one may be the cause.
        """
        return any(
            abs(other.at - crash.at) <= _CORRELATED_WITHIN
            and other.service == crash.service
            and fingerprint not in other.suspects
            and not other.is_refuted
            and not self._is_explained(other)
            and not self._has_other_suspect(other, _QUARANTINED_FROM, fingerprint)
            for other in self._crashes.crash_by_incarnation.values()
        )

    def _has_other_suspect(self, crash, crashes, excluded):
        """Return whether a crash has another suspect with this many crashes.

        Parameters
        ----------
        crash : crashes.Crash
            The crash whose suspects are looked at.
        crashes : int
            The least number of crashes that the other suspect has in all.
        excluded : str
            The fingerprint of the request that is left out.
        """
        return any(
            other != excluded and len(self._counted_crashes(other)) >= crashes
            for other in crash.suspects
        )

    # Records of quarantined requests.

    def _adopt(self, record, now, reason):
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
            self._state.emit(commands.Note("request_quarantined", fingerprint, reason))
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
        for record in self.records():
            if record.fingerprint in fingerprints or record.revision == revisions.NEVER:
                continue
            if record.revision.era < listed.revision.era:
                self._forget_revision(record, now)
            elif record.revision <= listed.revision:
                self._lift(record.fingerprint, now)
        for record in listed.records:
            self._adopt(record, now, "listed")
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
        self._adopt(event.record, now, "written")
        if event.is_trial:
            self._pending_trials.add(event.record.fingerprint)

    def _start_trial(self, record, now):
        """Start a trial run of a quarantined request, if one is due.

        Guards against a request that is refused for good although the fault that made
        it crash targets is fixed. The platform counts the trial runs, and only the
        host with the first rank makes them, so that hosts don't make one each.
        """
        allowed = min(len(_TRIALS_AFTER), _ALWAYS_QUARANTINED_FROM - record.crashes)
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

    def records(self):
        """Return the `gossip.QuarantinedRequest` of all quarantined requests."""
        return list(self.record_by_fingerprint.values())

    def written(self):
        """Return the records that the platform is known to have stored."""
        return [
            record for record in self.records() if record.revision != revisions.NEVER
        ]

    # Gossip with peers.

    def records_to_announce(self, whole):
        """Return the `gossip.CrashNews` to send to a peer.

        Parameters
        ----------
        whole : bool
            Whether to send all known crashes and all requests known to be cleared, as
            to a peer that has just started, and not only those still announced.
        """
        crashes, cleared = self._crashes.records_to_announce(whole)
        records = tuple(self.record_by_fingerprint.values())
        return gossip.CrashNews(crashes, cleared, records[-_MAX_ANNOUNCED:])

    def note_round(self):
        """Count a gossip round in which the recent records were announced."""
        self._crashes.note_round()

    def merge(self, news, now):
        """Merge a `gossip.CrashNews` received from a peer."""
        self._crashes.merge(news.crashes, news.cleared)
        for cleared in news.cleared:
            record = self.record_by_fingerprint.get(cleared.fingerprint)
            if record is not None and record.decided_at <= cleared.at:
                self._lift(cleared.fingerprint, cleared.at)
        for record in news.quarantined:
            self._adopt(record, now, "heard")


def _are_one_event(crashes):
    """Return whether targets crashed together, each while it ran several requests."""
    times = [crash.at for crash in crashes]
    if not times or max(times) - min(times) > _ONE_EVENT_WITHIN:
        return False
    return all(len(crash.suspects) > 1 for crash in crashes)


def _version_of(record):
    return record.revision, record.tries


def _describe(crashes):
    names = ", ".join(sorted(crash.incarnation.name for crash in crashes))
    return f"{len(crashes)} targets crashed while running it: {names}"
