"""How fast a service's requests get through, and when refused callers may return."""

import collections
import dataclasses
import datetime

from sesamespindle.decide import retries

# The rate of a service is that of this span before now.
_RATE_SPAN = datetime.timedelta(seconds=2)
# A rate is unknown until requests have waited, and so the targets been full, for this
# long, and until this many requests have got through.
_MIN_RATE_SPAN = datetime.timedelta(milliseconds=500)
_MIN_COUNT = 3
_MAX_COUNT = 512
# Callers that return by an unknown rate are told times that lie this far apart.
_UNKNOWN_INTERVAL = datetime.timedelta(milliseconds=10)
# Callers honour no more than this share of the time that they have left.
_HONOURED_SHARE = 1 / 3
# The spread that `retries.with_jitter` adds at most, as a factor.
_MOST_JITTER = 1.5
# Returns are planned no further ahead than this.
_PLANNED_FOR = datetime.timedelta(seconds=5)


class Rate:
    """The rate at which requests of one service get through while others wait.

    Guards against a low rate that is taken for what the targets can do, as few
    requests came.
    """

    def __init__(self):
        self._times = collections.deque(maxlen=_MAX_COUNT)
        self._busy_since = None

    def note(self, now):
        """Record that a request has got through."""
        if self._busy_since is not None:
            self._times.append(now)

    def note_busy(self, is_busy, now):
        """Record whether requests of the service wait."""
        if not is_busy:
            self._busy_since = None
            self._times.clear()
        elif self._busy_since is None or now < self._busy_since:
            self._busy_since = now
            self._times.clear()

    def interval(self, now):
        """Return the mean time between two requests, or None if it is unknown."""
        if self._busy_since is None or now - self._busy_since < _MIN_RATE_SPAN:
            return None
        while self._times and now - self._times[0] > _RATE_SPAN:
            self._times.popleft()
        if len(self._times) < _MIN_COUNT:
            return None
        span = min(now - self._busy_since, _RATE_SPAN)
        if len(self._times) == _MAX_COUNT:
            span = now - self._times[0]
        # Targets that were full for a moment are soon as fast as before.
        recent = sum(now - at <= _MIN_RATE_SPAN for at in self._times)
        if recent < _MIN_COUNT:
            return span / len(self._times)
        return min(span / len(self._times), _MIN_RATE_SPAN / recent)


@dataclasses.dataclass(frozen=True, slots=True)
class Returning:
    """A caller that is refused and may return.

    Attributes
    ----------
    rank : int
        The rank of its request, 0 first.
    ahead : int
        How many requests of its rank or a better one wait.
    time_left : datetime.timedelta
        How long the caller still waits for its answer.
    """

    rank: int
    ahead: int
    time_left: datetime.timedelta


class Returns:
    """Plans when the refused callers of one service return.

    Answers the load of a burst that refuses hundreds of callers: told the same time,
    they would all return at once and most be refused again. Each is planned behind
    those of its rank or a better one that wait or were told before.
    """

    def __init__(self):
        self._planned_by_rank = {}

    def plan(self, returning, interval, minimum, random, now):
        """Return the time after which a refused caller may return.

        Parameters
        ----------
        returning : Returning
            The caller.
        interval : datetime.timedelta or None
            The mean time between two requests that get through; None if unknown.
        minimum : datetime.timedelta
            The shortest time to tell.
        random : random.Random
            The seeded source.
        now : datetime.datetime
            The current time.
        """
        step = interval or _UNKNOWN_INTERVAL
        waiting = interval * returning.ahead if interval else datetime.timedelta(0)
        planned = [
            at for rank, at in self._planned_by_rank.items() if rank <= returning.rank
        ]
        due = max((now + max(waiting, minimum), *planned)) + step
        due = min(due, now + _PLANNED_FOR)
        self._planned_by_rank[returning.rank] = due
        longest = max(minimum, returning.time_left * _HONOURED_SHARE)
        base = max(minimum, min(due - now, longest / _MOST_JITTER))
        return min(retries.with_jitter(base, random), longest)
