"""Judges whether a service gets more repeats than the retry budget allows."""

import bisect
import dataclasses

# The platform's defaults, which the daemons of tests run with.
RATIO = 0.2
SLACK = 50.0
WINDOW_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Excess:
    """The window in which a service got most repeats beyond what is allowed.

    Attributes
    ----------
    since : float
        The window's start.
    repeats : int
        The arrivals in it beyond the first of each request.
    allowed : float
        How many of them are allowed.
    """

    since: float
    repeats: int
    allowed: float

    @property
    def is_broken(self):
        """Whether there were more than are allowed."""
        return self.repeats > self.allowed


class Repeats:
    """What callers have sent to a service, and what has reached its targets.

    Arrivals that targets turned away count like the others. All times are in seconds
    of one clock, and are noted in their order.
    """

    def __init__(self):
        self._sent = []
        self._arrived = set()
        self._repeated = []

    def note_sent(self, at):
        """Record that a caller sends a request for the service."""
        self._sent.append(at)

    def note_arrival(self, request_id, at):
        """Record that a request has reached a target."""
        if request_id in self._arrived:
            self._repeated.append(at)
        self._arrived.add(request_id)

    def worst(self):
        """Return the `Excess` of the worst window, which begins with a repeat.

        The requests of a window, of the one before it or of the one half a window
        before it count, whichever are most.
        """
        windows = [self._judge(since) for since in self._repeated]
        none = Excess(0.0, 0, SLACK)
        return max(
            windows, key=lambda found: found.repeats - found.allowed, default=none
        )

    def _judge(self, since):
        repeats = _count(self._repeated, since)
        starts = (since, since - WINDOW_SECONDS / 2, since - WINDOW_SECONDS)
        requests = max(_count(self._sent, start) for start in starts)
        return Excess(since, repeats, RATIO * requests + SLACK)


def _count(times, since):
    """Return how many of the sorted times lie in the window that begins then."""
    end = bisect.bisect_right(times, since + WINDOW_SECONDS)
    return end - bisect.bisect_left(times, since)
