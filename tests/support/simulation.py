"""A discrete-event simulation with a virtual clock, for simulated fleets."""

import heapq
import itertools

import gateways


class Simulation:
    """Runs scheduled calls in the order of their times, without waiting.

    Attributes
    ----------
    now : float
        The virtual time, in seconds since the start.
    """

    def __init__(self):
        self.now = 0.0
        self._queue = []
        self._order = itertools.count()

    def run(self, seconds):
        """Run the simulation for a number of virtual seconds."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.now = until

    def after(self, seconds, call, *args):
        """Schedule a call after a number of virtual seconds."""
        entry = self.now + seconds, next(self._order), call, args
        heapq.heappush(self._queue, entry)

    def time(self):
        """Return the current virtual time as a datetime, as hosts see it."""
        return gateways.NOW + self.now * gateways.SECOND
