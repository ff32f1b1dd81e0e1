"""Asking peers of whom a daemon that has just started knows only by others."""

import dataclasses
import datetime

# Rounds of gossip that a peer may leave unanswered. It is asked itself in each, and
# one that is there answers within some ms: three allow for a lost message and for a
# stall of two rounds on either side.
UNANSWERED_ROUNDS = 3
# Rounds in which it is asked in all. One that was only slow is there again at its
# first answer; two silences of `suspect_after` are borne of peers that were heard.
ASKED_ROUNDS = 10


@dataclasses.dataclass(slots=True)
class Probe:
    """How often an incarnation of a peer was asked, and when last.

    Attributes
    ----------
    failed : bool
        Whether it left so many rounds unanswered that it counts as gone.
    """

    incarnation: int
    rounds: int = 0
    asked_at: datetime.datetime | None = None
    failed: bool = False


class StartupProbes:
    """Finds out whether peers live that haven't been heard since the start.

    Guards against callers that are told of a lost host for long: who tells a
    daemon that starts can't say when the host last spoke, as heartbeats aren't
    told between data centres and a record in the platform's list has none. A
    silence counted from then on begins anew with each start. Here the peer is
    asked itself in each round, and rounds are counted in place of time.

    A live peer isn't given up where the daemon itself stood still: each round that
    counts began an interval after the one before, and the last had an interval to
    be answered in which the daemon ran. One that stood still itself is back at its
    next word, as its heartbeat is then above that of the record with its death.

    Parameters
    ----------
    interval : datetime.timedelta
        Between two rounds of gossip.
    """

    def __init__(self, interval):
        self._interval = interval
        self._heard = set()
        self._probe_by_name = {}
        self._last_tick = None

    def note_heard(self, name):
        """Ask a peer no more, as it has spoken or is known to speak to others."""
        self._heard.add(name)
        self._probe_by_name.pop(name, None)

    def forget(self, name):
        """Forget a peer that is out of the table."""
        self._heard.discard(name)
        self._probe_by_name.pop(name, None)

    def tick(self, now):
        """Give peers another interval where this daemon stood still.

        Guards against peers that are given up for answers which lie unread: a
        daemon that wakes from a pause judges before it reads.
        """
        if self._last_tick is not None and now - self._last_tick >= self._interval:
            for probe in self._probe_by_name.values():
                probe.asked_at = now
        self._last_tick = now

    def begin_round(self, rows, now):
        """Return the rows of those that are to be asked in a round, and count it.

        Rounds that follow at once, as there is news, count as one.
        """
        due = [row for row in rows if self._is_due(row, now)]
        for row in due:
            probe = self._probe(row)
            probe.rounds += 1
            probe.asked_at = now
        return due

    def has_failed(self, row, now):
        """Return whether a peer that was never heard is taken for gone."""
        if row.name not in self._probe_by_name:
            return False
        probe = self._probe(row)
        if probe.rounds >= UNANSWERED_ROUNDS and self._is_over(probe, now):
            probe.failed = True
        return probe.failed

    def _is_due(self, row, now):
        if row.name in self._heard:
            return False
        probe = self._probe(row)
        return probe.rounds < ASKED_ROUNDS and self._is_over(probe, now)

    def _is_over(self, probe, now):
        return probe.asked_at is None or now - probe.asked_at >= self._interval

    def _probe(self, row):
        """Return the probe of a row's incarnation; a new one is asked anew."""
        probe = self._probe_by_name.get(row.name)
        if probe is None or probe.incarnation != row.incarnation:
            probe = self._probe_by_name[row.name] = Probe(row.incarnation)
        return probe
