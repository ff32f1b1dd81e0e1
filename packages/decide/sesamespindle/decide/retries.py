"""Retry budgets, and jittered retry delays that avoid synchronised retries."""

import datetime

# Defaults of `RetryBudget`.
BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0
_JITTER = 0.5
# The pause after a failed call to the platform. It is short enough for several calls
# within the time that a change may take to reach a host, and long enough that hundreds
# of hosts stay below the platform's rate limits. After `_QUICK_RETRIES` failures it
# doubles up to 1 s, or 1.5 s with jitter. So once the platform is available again,
# hosts notice it within half of the 3 s after which their time limits apply again.
_OUTAGE_PAUSE = datetime.timedelta(milliseconds=250)
_QUICK_RETRIES = 4
_MAX_DOUBLINGS = 2


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Guards against retries that overload targets which are only slow. Over a long
    time there are at most `ratio` retries for each first attempt. Each pool or
    service has its own budget, so a failing one can't spend that of another.

    Parameters
    ----------
    ratio : float
        Tokens that each first attempt adds; a retry costs one token.
    burst : float
        Capacity of the bucket, in tokens. It starts full.
    """

    def __init__(self, ratio=BUDGET_RATIO, burst=BUDGET_BURST):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self):
        """Add the tokens of a first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def spend(self):
        """Return whether a retry is allowed, and take its token if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def with_jitter(base, random):
    """Return a uniformly distributed random time from `base` to 1.5 times `base`.

    Parameters
    ----------
    base : datetime.timedelta
        The shortest time that is returned.
    random : random.Random
        The seeded source.
    """
    return base * (1.0 + _JITTER * random.random())


def backoff(attempt, random, first=datetime.timedelta(milliseconds=20)):
    """Return the delay before a retry: exponential backoff with jitter.

    Parameters
    ----------
    attempt : int
        The number of the coming attempt, from 2.
    random : random.Random
        The seeded source.
    first : datetime.timedelta
        The shortest delay before attempt 2. It doubles for each later attempt, up to
        64 times.
    """
    return with_jitter(first * (2 ** min(attempt - 2, 6)), random)


def outage_backoff(failures, random):
    """Return the delay before the next call to the platform after failed ones.

    Guards against hosts that keep calling a platform which refuses them: without
    backoff each asks for every kind of object three times a second throughout an
    outage of 9 s, and each refusal costs the platform as much as an answer. The
    delay does no harm, as peers send such hosts the changes meanwhile.

    Parameters
    ----------
    failures : int
        Consecutive calls that failed, from 1.
    random : random.Random
        The seeded source.
    """
    doublings = min(max(0, failures - _QUICK_RETRIES), _MAX_DOUBLINGS)
    return with_jitter(_OUTAGE_PAUSE * 2**doublings, random)
