"""Retry budgets, and retry times that don't bring everybody back at once."""

import datetime

BUDGET_RATIO = 0.1
BUDGET_BURST = 10.0
_SPREAD = 0.5
# The pause after a call of the platform that failed. Several of them fit into the
# time that a change may take, and a fleet of hundreds stays below the platform's
# rates. After some it grows to 1 s, and half of that for the spread: a return is
# noticed within half of the 3 s after which hosts are held to their times again.
_OUTAGE_PAUSE = datetime.timedelta(milliseconds=250)
_QUICK_TRIES = 4
_MAX_DOUBLINGS = 2


class RetryBudget:
    """Tokens that first attempts earn and retries spend.

    Guards against retries that finish off a target which is only slow: over
    any long time at most `BUDGET_RATIO` of the attempts are retries. Each pool
    has its own, so a failing pool can't spend another's.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    burst : float
        The most retries that may be saved up.
    """

    def __init__(self, ratio=BUDGET_RATIO, burst=BUDGET_BURST):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def earn(self):
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._burst)

    def limit(self, burst):
        """Change how many retries may be saved up."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def spend(self):
        """Return whether a retry may be made, and count it if so."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def spread(base, random):
    """Return a time from `base` to half as long again, drawn evenly.

    Parameters
    ----------
    base : datetime.timedelta
        The shortest wait.
    random : random.Random
        The seeded source.
    """
    return base * (1.0 + _SPREAD * random.random())


def backoff(attempt, random, first=datetime.timedelta(milliseconds=20)):
    """Return how long to wait before the attempt with this number, from 2."""
    return spread(first * (2 ** min(attempt - 2, 6)), random)


def outage_pause(failures, random):
    """Return how long to wait before the platform is asked again.

    Guards against hosts that the platform turns away and that ask it all the while,
    for 9 s three times a second about each kind of object; each refusal costs as
    much as an answer. Peers tell them what changes meanwhile.

    Parameters
    ----------
    failures : int
        Calls without an answer in a row, from 1.
    random : random.Random
        The seeded source.
    """
    doublings = min(max(0, failures - _QUICK_TRIES), _MAX_DOUBLINGS)
    return spread(_OUTAGE_PAUSE * 2**doublings, random)
