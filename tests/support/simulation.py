"""A clock that events move, for fleets that are simulated."""

import heapq
import itertools

import gateways


class Simulation:
    """Calls what was planned in the order of its time; nothing here waits.

    Attributes
    ----------
    now : float
        Seconds since the begin.
    """

    def __init__(self):
        self.now = 0.0
        self._queue = []
        self._order = itertools.count()

    def run(self, seconds):
        """Play on for so many seconds."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.now = until

    def after(self, seconds, call, *args):
        """Have something called later."""
        entry = self.now + seconds, next(self._order), call, args
        heapq.heappush(self._queue, entry)

    def time(self):
        """Return the present as hosts see it."""
        return gateways.NOW + self.now * gateways.SECOND
