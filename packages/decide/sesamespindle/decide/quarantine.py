"""Quarantine of requests, and of prompt parts, that crash the targets that run them.

A request has several keys: its own fingerprint, which stays the same when callers send
it again with another id or to another host, and those of the parts of its prompt that
others may share. After the first crash the host may retry it, at one target that all
hosts choose alike. After the second crash no host retries it by itself; what comes with
the same key gets a target apart from those of other suspects. After the third crash it
is refused, once the hosts have had time to receive what others saw of the crashes. A
part is suspected one crash later, as sound requests share most parts.
"""

import dataclasses
import datetime

from sesamespindle.decide import (
    commands,
    culprits,
    fingerprints,
    gossip,
    hashing,
    quarantinerecords,
    retries,
)

# The number of uncorrelated crashes from which a suspect gets a target of its own that
# no other such suspect uses.
_OWN_TARGET_FROM = 2
# For this long after its last crash a suspect keeps its target to itself. Its caller
# tries again within this time.
_OWN_TARGET_FOR = datetime.timedelta(seconds=2)
# For this long after the last news of crashes their causes are sought at each tick.
_JUDGED_FOR = 4 * culprits.REPORTED_WITHIN
# The retry delay that callers of a quarantined request are given. The decision is not
# expected to change sooner.
_RETRY_AFTER = datetime.timedelta(minutes=1)


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
        self._crashes = crashes
        self._crash_records = crashes.records
        self.records = quarantinerecords.QuarantineRecords(
            state, crashes.records, stored_on_platform
        )
        self._culprits = culprits.Culprits(crashes.records, self.records)
        # The revision of the crash records that is being judged, and until when.
        self._judged_revision = 0
        self._judged_until = None

    def handle(self, event, now):
        """Handle an event about records; return whether the event was one."""
        return self.records.handle(event, now)

    def tick(self, now):
        """Quarantine causes of crashes, write records, and start trial runs.

        Guards against a host that spends its time on crashes of long ago: judging takes
        some milliseconds with many of them, and nothing changes once all hosts have
        reported.
        """
        if self._judged_revision != self._crash_records.revision:
            self._judged_revision = self._crash_records.revision
            self._judged_until = now + _JUDGED_FOR
        if self._judged_until is not None and now <= self._judged_until:
            self._quarantine_causes(now)
        self.records.tick(now)

    def _quarantine_causes(self, now):
        for fingerprint, crashes in self._culprits.causes(now):
            record = gossip.QuarantinedRequest(fingerprint, now, len(crashes))
            self.records.adopt(record, now, _describe(crashes))

    # Decisions on requests.

    def refusal(self, keys, now):
        """Return the `Refusal` of a request, or None if it may be sent.

        Parameters
        ----------
        keys : tuple of str
            The fingerprints of the request and of the shared parts of its prompt.
        now : datetime.datetime
            The current time.
        """
        self._culprits.note_depths(keys)
        for key in keys:
            refusal = self._refusal_by(key, now)
            if refusal is not None:
                return refusal
        return None

    def _refusal_by(self, key, now):
        crashes = self._culprits.counted_crashes(key)
        if self._culprits.may_be_cause(key, crashes):
            if not self._culprits.all_reported(crashes, now):
                return self._refuse(
                    commands.Code.SUSPECTED,
                    f"Targets crashed under {_name_of(key)}, {len(crashes)} so far; "
                    "reports of other hosts are awaited.",
                    key,
                    culprits.REPORTED_WITHIN,
                )
            # Decide now: this request would be sent before the next tick.
            self._quarantine_causes(now)
        record = self.records.record_by_fingerprint.get(key)
        if record is None or self.records.take_trial(key):
            return None
        return self._refuse(
            commands.Code.QUARANTINED,
            f"Targets crash under {_name_of(key)}, {record.crashes} so far.",
            key,
            _RETRY_AFTER,
        )

    def _refuse(self, code, message, key, base):
        retry_after = retries.with_jitter(base, self._state.random)
        return Refusal(code, f"{message} Its fingerprint is {key}.", retry_after)

    def possible_crash_count(self, keys):
        """Return how many crashes a request may have caused, by any of its keys.

        It includes possible crashes that are not yet confirmed.
        """
        return max(map(self._possible_crashes_by, keys), default=0)

    def _possible_crashes_by(self, key):
        if key in self.records.record_by_fingerprint:
            return culprits.QUARANTINED_FROM
        unsure = self._crashes.possible_crash_times(key)
        return self._culprits.suspicion(key, unsure)

    def _worst_suspect(self, keys):
        """Return the key with the most possible crashes, or None if none is suspected.

        Of equal ones the last counts, the most particular part of a prompt.
        """
        worst, most = None, 0
        for key in keys:
            count = self._possible_crashes_by(key)
            if count and count >= most:
                worst, most = key, count
        return worst

    def permitted_targets(self, keys, rows, now):
        """Return the target at which a suspect may run, or all for other requests.

        Guards against copies of one request that arrive at many hosts at once and
        crash a target each: all hosts choose the same target for a suspect, by
        rendezvous hashing. It also guards against suspects that share a target, so that
        a crash doesn't show which of them caused it: suspects of two crashes get
        different targets. If there are more of them than targets, some get none, and
        their callers have to retry.

        Parameters
        ----------
        keys : tuple of str
            The fingerprints of the request and of the shared parts of its prompt.
        rows : list of world.TargetRow
            The targets that may run the request.
        now : datetime.datetime
            The current time.

        Returns
        -------
        rows : list of world.TargetRow
            All of `rows` for a request that isn't suspected, else one or none.
        """
        suspect = self._worst_suspect(keys) if rows else None
        if suspect is None:
            return rows
        has_crashed = self._crash_records.has_crashed
        incarnation_of = self._crashes.incarnation_of
        alive = [row for row in rows if not has_crashed(incarnation_of(row))]
        row_by_name = {row.name: row for row in alive or rows}
        names = set(row_by_name)
        if self._needs_own_target(suspect):
            names -= self._targets_of_others(suspect, names, now)
        chosen = hashing.first(suspect, names)
        return [row_by_name[chosen]] if chosen is not None else []

    def _targets_of_others(self, fingerprint, names, now):
        """Return the targets taken by suspects that choose before this one.

        Suspects choose in the order of their fingerprints, on all hosts alike.
        """
        taken = set()
        for other in sorted(self._crash_records.repeated_suspects()):
            if other >= fingerprint or taken == names:
                break
            if self._reserves_target(other, now) and self._needs_own_target(other):
                taken.add(hashing.first(other, names - taken))
        return taken

    def _reserves_target(self, fingerprint, now):
        crashes = self._culprits.counted_crashes(fingerprint)
        latest = max((crash.at for crash in crashes), default=None)
        return latest is not None and now - latest < _OWN_TARGET_FOR

    def _needs_own_target(self, fingerprint):
        if fingerprint in self.records.record_by_fingerprint:
            return True
        crashes = self._culprits.counted_crashes(fingerprint)
        uncorrelated = self._culprits.uncorrelated_crashes(fingerprint, crashes)
        return len(uncorrelated) >= _OWN_TARGET_FROM

    def record_success(self, key, at):
        """Record a successful run; it ends a quarantine of the request or part.

        Parameters
        ----------
        key : str
            The fingerprint.
        at : datetime.datetime
            When the run ended well, or when that with a part began to answer.
        """
        self._crash_records.record_success(key, at)
        self.records.record_success(key, at)

    # Gossip with peers.

    def records_to_announce(self, whole):
        """Return the `gossip.CrashNews` to send to a peer.

        Parameters
        ----------
        whole : bool
            Whether to send all known crashes and all requests known to be cleared, as
            to a peer that has just started, and not only those still announced.
        """
        crashes, cleared = self._crash_records.records_to_announce(whole)
        return gossip.CrashNews(crashes, cleared, self.records.to_announce())

    def note_round(self):
        """Count a gossip round in which the recent records were announced."""
        self._crash_records.note_round()

    def merge(self, news, now):
        """Merge a `gossip.CrashNews` received from a peer."""
        self._crashes.merge(news.crashes, news.cleared)
        self.records.merge(news, now)


def _name_of(key):
    return "a part of this prompt" if fingerprints.is_of_part(key) else "this request"


def _describe(crashes):
    names = ", ".join(sorted(crash.incarnation.name for crash in crashes))
    return f"{len(crashes)} targets crashed while running it: {names}"
