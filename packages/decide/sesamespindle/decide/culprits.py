"""Finds what caused the crashes of targets: whole requests, or parts of prompts.

Each has a fingerprint, and the same logic judges all of them by `Terms` of their kind.
"""

import collections
import dataclasses
import datetime

from sesamespindle.decide import fingerprints

# The number of crashes under one request, or of separate ones under one part, from
# which it is refused.
QUARANTINED_FROM = 3
# The number of crashes from which a request is refused in any case, even if other
# suspects ran beside it each time or its targets crashed together with others. After
# the third crash at most three more runs are allowed in all. These include the trial
# runs of `_TRIALS_AFTER`; one is left for a host that learns of the crashes late.
_ALWAYS_QUARANTINED_FROM = 5
# A part may crash two more targets: it is known from the fifth crash on, and three runs
# are allowed after that, one of them for a host that learns of the crashes late.
_MOST_CRASHES_OF_PART = 7
# The number of uncorrelated crashes that a quarantine needs, as one may be chance.
_MIN_UNCORRELATED = 2
# Crashes of one service at most this far apart are correlated.
_CORRELATED_WITHIN = datetime.timedelta(seconds=0.5)
# Crashes at most this far apart are one event. One request can't cause them one after
# the other, as a retry takes longer than this to crash the next target.
_ONE_EVENT_WITHIN = datetime.timedelta(seconds=0.03)
# After this long the host has received what others saw of a crash. This covers three
# rounds of urgent gossip and the delay of a busy host.
REPORTED_WITHIN = datetime.timedelta(seconds=0.5)
# The suspected parts whose places in prompts are remembered.
_MAX_DEPTHS = 1024
# Before anything that is known.
_LONG_AGO = datetime.datetime.min.replace(tzinfo=datetime.UTC)


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """How much evidence convicts a fingerprint of one kind.

    Attributes
    ----------
    by_chance : int
        The number of crashes that an innocent one may have run in.
    apart : datetime.timedelta
        Crashes less than this apart are not separate.
    decided_apart : datetime.timedelta
        The same, for the crashes that a quarantine needs.
    most_crashes : int
        The most crashes in all, with those of trial runs.
    """

    by_chance: int
    apart: datetime.timedelta
    decided_apart: datetime.timedelta
    most_crashes: int


_WHOLE_REQUEST = Terms(
    0, datetime.timedelta(0), datetime.timedelta(0), _ALWAYS_QUARANTINED_FROM
)
# Sound requests share parts: a part that many of them bear is under way at all targets
# that end at one moment, by a loss of power, so that these are one crash. Runs of a
# suspect come one after the other, held back until the crash before is reported.
_PART = Terms(
    1, datetime.timedelta(seconds=0.1), REPORTED_WITHIN, _MOST_CRASHES_OF_PART
)


def terms_of(fingerprint):
    """Return the `Terms` of a fingerprint's kind."""
    return _PART if fingerprints.is_of_part(fingerprint) else _WHOLE_REQUEST


def count_separate(times, apart):
    """Return how many of some times are apart from the one counted before."""
    count, latest = 0, None
    for at in sorted(times):
        if latest is None or at - latest >= apart:
            count, latest = count + 1, at
    return count


class Culprits:
    """Judges which requests or parts caused the crashes during which they ran.

    Parameters
    ----------
    crash_records : crashrecords.CrashRecords
        The known crashes.
    quarantine_records : quarantinerecords.QuarantineRecords
        The requests that are already known to be causes.
    """

    def __init__(self, crash_records, quarantine_records):
        self._crashes = crash_records
        self._quarantined = quarantine_records
        # Of each fingerprint, while causes are sought; each is asked for many times.
        self._counted_by_fingerprint = None
        # Where suspected parts were in their prompts, by fingerprint.
        self._depth_by_part = {}

    def counted_crashes(self, fingerprint):
        """Return the crashes that a request or part may have caused.

        A crash with a quarantined one among its suspects is attributed to that one and
        counts against no other. A whole request explains no crash of a part: it may
        have crashed its targets by that part.
        """
        known = self._counted_by_fingerprint
        if known is None:
            return self._count_crashes(fingerprint)
        if fingerprint not in known:
            known[fingerprint] = self._count_crashes(fingerprint)
        return known[fingerprint]

    def _count_crashes(self, fingerprint):
        crashes = self._crashes.crashes_against(fingerprint)
        if not crashes:
            return []
        explains = self._explaining(fingerprint)
        return [crash for crash in crashes if explains.isdisjoint(crash.suspects)]

    def _explaining(self, fingerprint):
        """Return the quarantined fingerprints that explain crashes of another one."""
        quarantined = self._quarantined.record_by_fingerprint.keys()
        if not fingerprints.is_of_part(fingerprint):
            return quarantined
        return {other for other in quarantined if fingerprints.is_of_part(other)}

    def suspicion(self, fingerprint, unsure=()):
        """Return how many separate crashes speak against a request or part.

        Those that may be by chance are left out.

        Parameters
        ----------
        unsure : sequence of datetime.datetime
            When runs of it broke at targets whose end is not yet confirmed.
        """
        times = [crash.at for crash in self.counted_crashes(fingerprint)]
        times += unsure
        if not times:
            return 0
        terms = terms_of(fingerprint)
        count = count_separate(times, terms.apart)
        return max(0, count - terms.by_chance)

    def may_be_cause(self, fingerprint, crashes):
        """Return whether crashes may convict a request or part once all have reported.

        Guards against sound requests that are refused after each crash of another one
        with the same part, although that one is known to be the cause.
        """
        if self.suspicion(fingerprint) < QUARANTINED_FROM:
            return False
        return not self._are_of_few_requests(fingerprint, crashes)

    def all_reported(self, crashes, now):
        """Return whether the reports of all hosts on some crashes are known."""
        return now - max(crash.at for crash in crashes) >= REPORTED_WITHIN

    def causes(self, now):
        """Yield what `_find_causes` does; each must be quarantined before the next."""
        self._counted_by_fingerprint = {}
        try:
            for found in self._find_causes(now):
                yield found
                self._counted_by_fingerprint.clear()
        finally:
            self._counted_by_fingerprint = None

    def _find_causes(self, now):
        """Yield the fingerprints of the requests and parts that caused crashes.

        Those with the most crashes come first, and of parts those that have not run
        well for longer, as each quarantine clears the other suspects of these crashes.

        Yields
        ------
        fingerprint : str
        crashes : list of crashrecords.Crash
            Those that it caused.
        """
        found = [
            (fingerprint, self.counted_crashes(fingerprint))
            for fingerprint in self._crashes.repeated_suspects()
            if fingerprint not in self._quarantined.record_by_fingerprint
        ]
        found.sort(key=self._order_of_judgement)
        for fingerprint, _ in found:
            crashes = self.counted_crashes(fingerprint)
            if not self._suffice(fingerprint, crashes):
                continue
            if not self.all_reported(crashes, now):
                continue
            if self._is_cause(fingerprint, crashes):
                yield fingerprint, crashes

    def _order_of_judgement(self, item):
        """Return the sort key of a fingerprint and its crashes."""
        fingerprint, crashes = item
        is_part = fingerprints.is_of_part(fingerprint)
        passed_at = self._passed_at(fingerprint) if is_part else _LONG_AGO
        return is_part, passed_at, -len(crashes), fingerprint

    def _suffice(self, fingerprint, crashes):
        """Return whether there are crashes enough for a quarantine."""
        terms = terms_of(fingerprint)
        if len(crashes) < QUARANTINED_FROM + terms.by_chance:
            return False
        times = [crash.at for crash in crashes]
        return count_separate(times, terms.decided_apart) >= QUARANTINED_FROM

    def _is_cause(self, fingerprint, crashes):
        """Return whether a request or part caused the crashes under it.

        Guards against harmless ones that are refused. There are four kinds. Some ran
        beside the cause several times: each of their crashes has another suspect that
        is worse. Some were in flight in correlated crashes: targets that didn't run
        them crashed at the same time. Some are sent by many callers: they ran at all
        targets that crashed together in one event. Some are parts of requests that
        crash targets by something else.
        """
        if self._are_of_few_requests(fingerprint, crashes):
            return False
        if len(crashes) >= _ALWAYS_QUARANTINED_FROM:
            if not fingerprints.is_of_part(fingerprint):
                return True
            return self._is_worst(fingerprint, crashes, crashes)
        uncorrelated = self.uncorrelated_crashes(fingerprint, crashes)
        if _are_one_event(fingerprint, uncorrelated):
            return False
        is_main_suspect = self._is_worst(fingerprint, crashes, uncorrelated)
        return len(uncorrelated) >= _MIN_UNCORRELATED and is_main_suspect

    def _are_of_few_requests(self, fingerprint, crashes):
        """Return whether few whole requests explain the crashes of a part.

        One that ran in all of them does, and so do those that are quarantined.

        Guards against a part of sound requests that is refused as a second request
        with it crashes targets, and has too few crashes as yet to be quarantined.
        """
        if not fingerprints.is_of_part(fingerprint):
            return False
        common = set.intersection(*(crash.suspects for crash in crashes))
        if not all(map(fingerprints.is_of_part, common)):
            return True
        quarantined = self._quarantined.record_by_fingerprint.keys()
        causes = set().union(*(crash.suspects & quarantined for crash in crashes))
        rest = [crash for crash in crashes if crash.suspects.isdisjoint(quarantined)]
        unexplained = _count_requests_of(rest) if causes else len(rest)
        return unexplained + len(causes) < QUARANTINED_FROM

    def _is_worst(self, fingerprint, crashes, judged):
        """Return whether enough of the judged crashes have no suspect that is worse.

        Parameters
        ----------
        crashes, judged : list of crashrecords.Crash
            All crashes that count against the fingerprint, and some of them.
        """
        its_own = [
            crash
            for crash in judged
            if not any(
                self._is_worse(other, fingerprint, len(crashes))
                for other in crash.suspects
                if other != fingerprint
            )
        ]
        return len(its_own) > terms_of(fingerprint).by_chance

    def _is_worse(self, other, fingerprint, count):
        """Return whether another suspect fits the crashes of a fingerprint better.

        One with more crashes does. With as many, a whole request does rather than a
        part, as fewer requests are refused by it.
        """
        other_is_part = fingerprints.is_of_part(other)
        if not fingerprints.is_of_part(fingerprint):
            if other_is_part:
                return len(self._without_quarantined(other)) > count
            return len(self.counted_crashes(other)) >= count
        if not other_is_part:
            return len(self.counted_crashes(other)) >= count
        return self._is_worse_part(other, fingerprint, count)

    def _without_quarantined(self, part):
        """Return the crashes of a part that no quarantined request explains."""
        quarantined = self._quarantined.record_by_fingerprint
        crashes = self.counted_crashes(part)
        return [item for item in crashes if item.suspects.isdisjoint(quarantined)]

    def _is_worse_part(self, other, part, count):
        """Return whether another part fits the crashes of a part better.

        Counts that differ by chance alone decide nothing. Of two such the one does that
        has not run well for longer: sound requests share the other. If neither is known
        to have run well, the later one in their prompts does, as fewer requests share
        it; a host that has seen neither leaves that to one that has.
        """
        other_count = len(self.counted_crashes(other))
        by_chance = terms_of(part).by_chance
        if other_count < count - by_chance:
            return False
        passed, other_passed = self._passed_at(part), self._passed_at(other)
        if passed != other_passed:
            return other_passed < passed
        if other_count > count + by_chance:
            return True
        depth, other_depth = map(self._depth_by_part.get, (part, other))
        if depth is None or other_depth is None:
            return True
        return (other_depth, other_count) > (depth, count)

    def note_depths(self, keys):
        """Note where in a prompt the parts are that are suspected.

        Parameters
        ----------
        keys : tuple of str
            Fingerprints, those of parts in the order of the prompt.
        """
        suspects = self._crashes.repeated_suspects()
        for depth, key in enumerate(keys):
            if key in suspects:
                self._depth_by_part[key] = depth
        while len(self._depth_by_part) > _MAX_DEPTHS:
            del self._depth_by_part[next(iter(self._depth_by_part))]

    def _passed_at(self, part):
        """Return when a part last ran well; long ago if that isn't known."""
        return self._crashes.cleared_at(part, _LONG_AGO)

    def uncorrelated_crashes(self, fingerprint, crashes):
        """Return the crashes of a request that others don't explain by their time."""
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
        explains = self._explaining(fingerprint)
        return any(
            abs(other.at - crash.at) <= _CORRELATED_WITHIN
            and other.service == crash.service
            and fingerprint not in other.suspects
            and not other.is_refuted
            and explains.isdisjoint(other.suspects)
            and not self._has_other_suspect(other, QUARANTINED_FROM, fingerprint)
            for other in self._crashes.crash_by_incarnation.values()
        )

    def _has_other_suspect(self, crash, crashes, excluded):
        """Return whether a crash has another suspect with this many crashes.

        Parameters
        ----------
        crash : crashrecords.Crash
            The crash whose suspects are looked at.
        crashes : int
            The least number of crashes that the other suspect has in all.
        excluded : str
            The fingerprint of the request that is left out.
        """
        return any(
            other != excluded and len(self.counted_crashes(other)) >= crashes
            for other in crash.suspects
        )


def _count_requests_of(crashes):
    """Return how many whole requests together ran in all of some crashes."""
    count = 0
    while crashes:
        runs = collections.Counter(
            suspect
            for crash in crashes
            for suspect in crash.suspects
            if not fingerprints.is_of_part(suspect)
        )
        if not runs:
            return count + len(crashes)
        most = max(runs, key=runs.get)
        crashes = [crash for crash in crashes if most not in crash.suspects]
        count += 1
    return count


def _are_one_event(fingerprint, crashes):
    """Return whether targets crashed together, each while it ran other requests.

    The parts of a request's own prompt ran wherever it ran, and show no other one.
    """
    times = [crash.at for crash in crashes]
    if not times or max(times) - min(times) > _ONE_EVENT_WITHIN:
        return False
    if fingerprints.is_of_part(fingerprint):
        return all(len(crash.suspects) > 1 for crash in crashes)
    return all(_count_whole(crash.suspects) > 1 for crash in crashes)


def _count_whole(suspects):
    return sum(not fingerprints.is_of_part(suspect) for suspect in suspects)
