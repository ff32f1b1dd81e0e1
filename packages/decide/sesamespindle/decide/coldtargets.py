"""Limits the requests to cold targets, which have just started.

A cold target can handle only a few requests a second. With more it crashes, and its
memory and runs are lost. So only one host sends to each cold target, the first of
`senders.SenderRanks`. A target whose sender is dead gets no requests until it is warm.
"""

# Share of a cold target's permitted rate that its sender uses. For a while two or three
# hosts may each consider themselves the sender, as the lists of hosts that they know
# differ by recently replaced hosts.
_RATE_SHARE = 0.5


class ColdTargets:
    """Decides which targets are cold, and whether this host may send to them.

    Parameters
    ----------
    state : world.World
        The shared tables.
    crashes : crashes.Crashes
        Knows the incarnations of targets that have crashed.
    ranks : senders.SenderRanks
        Which host sends to which target.
    """

    def __init__(self, state, crashes, ranks):
        self._state = state
        self._crashes = crashes
        self._ranks = ranks

    def permitted_targets(self, rows, service, now):
        """Return the targets, out of some, that may get a request from this host now.

        A target that may have restarted, and would then be cold, is returned only if
        there is no other to return.

        Parameters
        ----------
        rows : list of world.TargetRow
            Targets of one service.
        service : str
            The name of the service.
        now : datetime.datetime
            The current time.
        """
        cold_start = self._state.cold_start_by_service.get(service)
        if cold_start is None:
            return rows
        warm = [
            row
            for row in rows
            if not self.is_cold(row, now)
            and not self._may_have_restarted(row, cold_start, now)
        ]
        sendable_cold = [
            row
            for row in rows
            if self.is_cold(row, now) and self._may_send(row, cold_start, now)
        ]
        if warm or sendable_cold:
            return warm + sendable_cold
        return [row for row in rows if not self.is_cold(row, now)]

    def is_cold(self, row, now):
        """Return whether a target is known to be cold."""
        return row.cold_until is not None and now < row.cold_until

    def note_sent(self, row, now):
        """Note that a request was sent to a target, which limits the rate of sends."""
        if self.is_cold(row, now):
            row.cold_sent_at = now

    def _may_have_restarted(self, row, cold_start, now):
        """Return whether a target may have restarted cold, unknown to this host.

        Guards against all hosts sending to a target that has just restarted: it
        accepts requests again before all hosts have received its new record in the
        target list, and crashes under more requests than a cold target can handle. So
        a target that refused connections or crashed is treated as one that may be
        cold, for as long as a cold target stays cold.
        """
        cold_if_restarted_after = now - cold_start.lasts
        if row.refused_at is not None and row.refused_at > cold_if_restarted_after:
            return True
        crash = self._crashes.records.crash_of(row.incarnation)
        return crash is not None and crash.at > cold_if_restarted_after

    def _may_send(self, row, cold_start, now):
        """Return whether this host may send to a cold target now."""
        if not self._ranks.is_settled(now) or self._ranks.rank(row.incarnation) > 0:
            return False
        if row.cold_sent_at is None:
            return True
        gap = 1.0 / (_RATE_SHARE * cold_start.per_second)
        return (now - row.cold_sent_at).total_seconds() >= gap
