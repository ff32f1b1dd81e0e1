"""Probing of peers that a daemon which has just started knows only from others."""

import dataclasses
import datetime

# Gossip rounds that a peer may leave unanswered. It is contacted directly in each, and
# a live peer replies within some milliseconds. Three rounds allow for a lost message
# and for a stall of two rounds on either side.
UNANSWERED_ROUNDS = 3
# Rounds in which a peer is contacted in all, also after it has failed: a peer that was
# only slow counts as live again from its first reply. Afterwards, and for peers that
# were heard from, the usual limit of twice `suspect_after` applies.
CONTACTED_ROUNDS = 10


@dataclasses.dataclass(slots=True)
class Probe:
    """How often an incarnation of a peer was contacted, and when last.

    Attributes
    ----------
    failed : bool
        Whether it left so many rounds unanswered that it is considered dead.
    """

    incarnation: int
    rounds: int = 0
    contacted_at: datetime.datetime | None = None
    failed: bool = False


class StartupProbes:
    """Finds out which peers are live that haven't been heard from since the start.

    Guards against callers that are given a lost host for long. A daemon that starts
    can't learn when the host was last heard from: heartbeats aren't sent between data
    centres, and a record in the platform's list has none. A silence counted from the
    daemon's start begins at zero with each start. Here the daemon contacts the peer
    itself in each gossip round, and counts unanswered rounds in place of time.

    A pause of the daemon itself makes no live peer fail: each counted round starts an
    interval after the one before, and the last round leaves the peer an interval in
    which the daemon runs to reply. A peer that was paused is live again with its next
    message, because its heartbeat is then above that of the record that calls it dead.

    Parameters
    ----------
    interval : datetime.timedelta
        The time between two gossip rounds.
    """

    def __init__(self, interval):
        self._interval = interval
        self._heard_from = set()
        self._probe_by_name = {}
        self._last_tick = None

    def note_heard(self, name):
        """Stop probing a peer that has gossiped with this daemon or with others."""
        self._heard_from.add(name)
        self._probe_by_name.pop(name, None)

    def forget(self, name):
        """Forget a peer that was removed from the table."""
        self._heard_from.discard(name)
        self._probe_by_name.pop(name, None)

    def tick(self, now):
        """Give peers another interval to reply after a pause of this daemon.

        Guards against live peers that fail although their replies have arrived: a
        daemon that wakes from a pause judges its peers before it reads its messages.
        """
        if self._last_tick is not None and now - self._last_tick >= self._interval:
            for probe in self._probe_by_name.values():
                probe.contacted_at = now
        self._last_tick = now

    def start_round(self, rows, now):
        """Return the rows of the peers to contact in a round, and count the round.

        Rounds that follow within an interval, because there is an update to send,
        count as one.
        """
        due = [row for row in rows if self._is_due(row, now)]
        for row in due:
            probe = self._probe(row)
            probe.rounds += 1
            probe.contacted_at = now
        return due

    def has_failed(self, row, now):
        """Return whether a peer that was never heard from is considered dead."""
        if row.name not in self._probe_by_name:
            return False
        probe = self._probe(row)
        if probe.rounds >= UNANSWERED_ROUNDS and self._interval_has_passed(probe, now):
            probe.failed = True
        return probe.failed

    def _is_due(self, row, now):
        if row.name in self._heard_from:
            return False
        probe = self._probe(row)
        return probe.rounds < CONTACTED_ROUNDS and self._interval_has_passed(probe, now)

    def _interval_has_passed(self, probe, now):
        return probe.contacted_at is None or now - probe.contacted_at >= self._interval

    def _probe(self, row):
        """Return the probe of a row's incarnation; a new one starts at zero rounds."""
        probe = self._probe_by_name.get(row.name)
        if probe is None or probe.incarnation != row.incarnation:
            probe = self._probe_by_name[row.name] = Probe(row.incarnation)
        return probe
