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

from sesamespindle.decide import (
    commands,
    culprits,
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

    def handle(self, event, now):
        """Handle an event about records; return whether the event was one."""
        return self.records.handle(event, now)

    def tick(self, now):
        """Quarantine causes of crashes, write records, and start trial runs."""
        self._quarantine_causes(now)
        self.records.tick(now)

    def _quarantine_causes(self, now):
        for fingerprint, crashes in self._culprits.causes(now):
            record = gossip.QuarantinedRequest(fingerprint, now, len(crashes))
            self.records.adopt(record, now, _describe(crashes))

    # Decisions on requests.

    def refusal(self, fingerprint, now):
        """Return the `Refusal` of a request, or None if it may be sent."""
        crashes = self._culprits.counted_crashes(fingerprint)
        if len(crashes) >= culprits.QUARANTINED_FROM:
            if not self._culprits.all_reported(crashes, now):
                return self._refuse(
                    commands.Code.SUSPECTED,
                    f"Targets crashed under this request, {len(crashes)} so far; "
                    "reports of other hosts are awaited.",
                    culprits.REPORTED_WITHIN,
                )
            # Decide now: this request would be sent before the next tick.
            self._quarantine_causes(now)
        record = self.records.record_by_fingerprint.get(fingerprint)
        if record is None or self.records.take_trial(fingerprint):
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
        if fingerprint in self.records.record_by_fingerprint:
            return culprits.QUARANTINED_FROM
        unsure = self._crashes.possible_crashes(fingerprint)
        return len(self._culprits.counted_crashes(fingerprint)) + unsure

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
            row
            for row in rows
            if not self._crash_records.has_crashed(incarnation_of(row))
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
        for other in sorted(self._crash_records.repeated_suspects()):
            if other >= fingerprint or taken == names:
                break
            if self._reserves_target(other, now) and self._needs_own_target(other):
                taken.add(hashing.first(other, names - taken))
        return taken

    def _reserves_target(self, fingerprint, now):
        latest = max(
            (crash.at for crash in self._culprits.counted_crashes(fingerprint)),
            default=None,
        )
        return latest is not None and now - latest < _OWN_TARGET_FOR

    def _needs_own_target(self, fingerprint):
        if fingerprint in self.records.record_by_fingerprint:
            return True
        crashes = self._culprits.counted_crashes(fingerprint)
        return (
            len(self._culprits.uncorrelated_crashes(fingerprint, crashes))
            >= _OWN_TARGET_FROM
        )

    def record_success(self, fingerprint, now):
        """Record a successful run; it ends a quarantine of the request."""
        self._crash_records.record_success(fingerprint, now)
        self.records.record_success(fingerprint, now)

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


def _describe(crashes):
    names = ", ".join(sorted(crash.incarnation.name for crash in crashes))
    return f"{len(crashes)} targets crashed while running it: {names}"
