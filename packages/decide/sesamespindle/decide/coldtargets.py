"""Targets that bear only a few requests a second, as they have just started.

A cold target that gets more than it bears crashes, and its memory and runs are lost
with it. What it bears is a rate of the whole fleet, far below one request a second
from each host, and hosts that can't reach each other count as well. So one host alone
sends to each cold target, and all hosts agree on which without talking.
"""

from sesamespindle.decide import hashing

# The part of the rate that a cold target bears that one sender uses. For a while two
# hosts, or three, may each take themselves for the sender: the lists of hosts that they
# know differ by those that were replaced lately.
_PART_OF_RATE = 0.5


class ColdTargets:
    """Knows which targets are cold, and who may send to them.

    Parameters
    ----------
    state : world.World
        The shared tables.
    crashes : crashes.Crashes
        Knows lives of targets that are over.
    settled_after : datetime.timedelta
        A host sends to no cold target before it has run for so long: until then it
        may know too few of the others to agree with them.
    """

    def __init__(self, state, crashes, settled_after):
        self._state = state
        self._crashes = crashes
        self._settled_after = settled_after
        self._sender_by_life = {}
        self._senders_view = None

    def narrow(self, rows, service, now):
        """Return those of some targets that may get a request from this host now.

        Parameters
        ----------
        rows : list of world.TargetRow
            Of one service.
        service : str
            Its name.

        A target that is perhaps down, and then comes back cold, counts as cold as
        long as others may be used.
        """
        cold_start = self._state.cold_start_by_service.get(service)
        if cold_start is None:
            return rows
        sound = [
            row
            for row in rows
            if not self.is_cold(row, now) and not self._is_doubted(row, cold_start, now)
        ]
        mine = [
            row
            for row in rows
            if self.is_cold(row, now) and self._may_send(row, cold_start, now)
        ]
        if sound or mine:
            return sound + mine
        return [row for row in rows if not self.is_cold(row, now)]

    def is_cold(self, row, now):
        """Return whether a target is cold, as far as is known here."""
        return row.cold_until is not None and now < row.cold_until

    def note_sent(self, row, now):
        """Count a send."""
        if self.is_cold(row, now):
            row.cold_sent_at = now

    def _is_doubted(self, row, cold_start, now):
        """Return whether a target may have ended lately, and be back cold unheard of.

        Guards against hosts that all try a target again which has just started: it
        is back before its new record is known everywhere.
        """
        lately = now - cold_start.lasts
        if row.refused_at is not None and row.refused_at > lately:
            return True
        crash = self._crashes.crash_of(row.life)
        return crash is not None and crash.at > lately

    def _may_send(self, row, cold_start, now):
        """Return whether this host may send to a cold target now."""
        if not self._is_settled(now) or self._sender(row.life) != self._state.me.name:
            return False
        if row.cold_sent_at is None:
            return True
        gap = 1.0 / (_PART_OF_RATE * cold_start.per_second)
        return (now - row.cold_sent_at).total_seconds() >= gap

    def _is_settled(self, now):
        """Return whether this host knows the others.

        Guards against hosts that all start at once, as after a loss of power, and each
        take themselves for alone.
        """
        if not self._state.knows_entries:
            return False
        return now - self._state.pauses.started_at >= self._settled_after

    def _sender(self, life):
        """Return the name of the host that sends to a cold life of a target.

        Hosts that are gone are not left out: those that can't reach each other take
        each other for gone, and would each choose one of their own. A target whose
        sender is gone gets nothing until it is warm.
        """
        if self._senders_view != self._state.view:
            self._senders_view = self._state.view
            self._sender_by_life.clear()
        if life not in self._sender_by_life:
            names = [entry.name for entry in self._state.entries]
            self._sender_by_life[life] = hashing.first(f"cold/{life.name}", names)
        return self._sender_by_life[life]
