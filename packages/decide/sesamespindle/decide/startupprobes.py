"""Probing of peers that a daemon which has just started knows only from others."""

import dataclasses
import datetime

# Gossip rounds that a peer may leave unanswered. It is contacted directly in each, and
# a live peer replies within some milliseconds. Three rounds allow for a lost message
# and for a stall of two rounds on either side.
UNANSWERED_ROUNDS = 3
# The total number of rounds in which a peer is contacted. This goes on after the peer
# has failed: one that was only slow counts as live again from its first reply.
# Afterwards, and for peers that have gossiped with this daemon or with others, the
# usual limit of twice `suspect_after` applies.
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
    centres, and a record in the platform's list has none. A timeout that is counted
    from the daemon's start would begin anew with each start. So the daemon contacts
    the peer itself in each gossip round, and counts unanswered rounds instead of time.

    A live peer doesn't fail because the daemon itself was paused: counted rounds start
    at least an interval apart, and after the last one the peer has an interval to
    reply in which the daemon runs. A peer that was paused is live again with its next
    message, because its heartbeat is then higher than in the record that states it as
    dead.

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
        daemon that resumes after a pause checks its peers before it reads its messages.
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
