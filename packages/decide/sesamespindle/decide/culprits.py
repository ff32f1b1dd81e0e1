"""Finds the requests that caused the crashes of targets."""

import datetime

# The number of crashes under one request from which it is refused.
QUARANTINED_FROM = 3
# The number of crashes from which a request is refused in any case, even if other
# suspects ran beside it each time or its targets crashed together with others. After
# the third crash at most three more runs are allowed in all. These include the trial
# runs of `_TRIALS_AFTER`; one is left for a host that learns of the crashes late.
ALWAYS_QUARANTINED_FROM = 5
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


class Culprits:
    """Judges which requests caused the crashes during which they were in flight.

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

    def counted_crashes(self, fingerprint):
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
        return not crash.suspects.isdisjoint(self._quarantined.record_by_fingerprint)

    def all_reported(self, crashes, now):
        """Return whether the reports of all hosts on some crashes are known."""
        return now - max(crash.at for crash in crashes) >= REPORTED_WITHIN

    def causes(self, now):
        """Yield the fingerprints of the requests that caused crashes.

        Those with the most crashes come first, as each quarantine clears the other
        suspects of these crashes.

        Yields
        ------
        fingerprint : str
        crashes : list of crashrecords.Crash
            Those that the request caused.
        """
        found = [
            (fingerprint, self.counted_crashes(fingerprint))
            for fingerprint in self._crashes.repeated_suspects()
            if fingerprint not in self._quarantined.record_by_fingerprint
        ]
        found.sort(key=lambda item: (-len(item[1]), item[0]))
        for fingerprint, _ in found:
            crashes = self.counted_crashes(fingerprint)
            if len(crashes) < QUARANTINED_FROM or not self.all_reported(crashes, now):
                continue
            if self._is_cause(fingerprint, crashes):
                yield fingerprint, crashes

    def _is_cause(self, fingerprint, crashes):
        """Return whether a request caused the crashes under it.

        Guards against harmless requests that are refused. There are three kinds. Some
        ran beside the cause several times: each of their crashes has another suspect
        with as many crashes. Some were in flight in correlated crashes: targets that
        didn't run them crashed at the same time. Some are sent by many callers: they
        ran at all targets that crashed together in one event.
        """
        if len(crashes) >= ALWAYS_QUARANTINED_FROM:
            return True
        uncorrelated = self.uncorrelated_crashes(fingerprint, crashes)
        if _are_one_event(uncorrelated):
            return False
        is_main_suspect = any(
            not self._has_other_suspect(crash, len(crashes), fingerprint)
            for crash in uncorrelated
        )
        return len(uncorrelated) >= _MIN_UNCORRELATED and is_main_suspect

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
        return any(
            abs(other.at - crash.at) <= _CORRELATED_WITHIN
            and other.service == crash.service
            and fingerprint not in other.suspects
            and not other.is_refuted
            and not self._is_explained(other)
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


def _are_one_event(crashes):
    """Return whether targets crashed together, each while it ran several requests."""
    times = [crash.at for crash in crashes]
    if not times or max(times) - min(times) > _ONE_EVENT_WITHIN:
        return False
    return all(len(crash.suspects) > 1 for crash in crashes)
