"""Chooses the hosts that may send to targets which accept only few requests.

The bounds on such targets are on the requests of all hosts together, far below what
all hosts send, and must hold although some hosts can't reach each other. So all hosts
rank each other for each target in the same way, by rendezvous hashing, and only the
first ones send.
"""

from sesamespindle.decide import hashing


class SenderRanks:
    """Ranks this host among all entry hosts, for each incarnation of a target.

    Dead hosts are not left out: hosts that can't reach each other consider each other
    dead, and each side would choose senders of its own.

    Parameters
    ----------
    state : world.World
        The shared tables.
    settled_after : datetime.timedelta
        A host sends to no such target before it has run for this long. Until then it
        may know too few other hosts to rank itself as they do.
    """

    def __init__(self, state, settled_after):
        self._state = state
        self._settled_after = settled_after
        # A cache, valid as long as `state.view` is `_cached_view`.
        self._rank_by_incarnation = {}
        self._cached_view = None

    def count(self):
        """Return the number of hosts that are ranked."""
        return len(self._state.entries)

    def rank(self, incarnation):
        """Return how many hosts come before this one, for a target's incarnation."""
        if self._cached_view != self._state.view:
            self._cached_view = self._state.view
            self._rank_by_incarnation.clear()
        if incarnation not in self._rank_by_incarnation:
            names = [entry.name for entry in self._state.entries]
            ranked = hashing.rank(f"cold/{incarnation.name}", names)
            rank = ranked.index(self._state.me.name)
            self._rank_by_incarnation[incarnation] = rank
        return self._rank_by_incarnation[incarnation]

    def is_settled(self, now):
        """Return whether this host has run long enough to know the other hosts.

        Guards against hosts that all start at once, for example after a power failure:
        each knows few others at first, considers itself the sender to most targets
        that accept few requests, and together they send more than those accept.
        """
        if not self._state.knows_entries:
            return False
        return now - self._state.pauses.started_at >= self._settled_after
