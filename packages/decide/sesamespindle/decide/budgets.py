"""Each daemon's share of a retry budget that applies to the whole fleet."""

import dataclasses
import datetime

from sesamespindle.decide import retries

# The share of the allowed ratio and slack that is used. The rest is a margin for
# requests that never reach a target, and for entries that start or stop within a
# window.
_USED_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRule:
    """How many retries the targets of a service may get from the whole fleet.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in any window in addition, whatever the number of requests.
    window : datetime.timedelta
        Length of the sliding window for which the limit is stated. `SharedBudgets`
        doesn't read it, as its token buckets limit windows of any length.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: datetime.timedelta = datetime.timedelta(seconds=10)


class SharedBudgets:
    """The retry budgets of one daemon, by service.

    Each daemon has a token bucket for each service. Its own requests fill the
    bucket, and its capacity is the daemon's equal share of the slack. In any window
    the whole fleet can then use at most the slack and the tokens earned in that
    window, without coordination.

    Parameters
    ----------
    rule : BudgetRule
        The limits for the whole fleet.
    """

    def __init__(self, rule):
        self._rule = rule
        self._budget_by_service = {}

    def earn(self, service, entries):
        """Add the tokens that a new request earns for retries.

        Parameters
        ----------
        service : str
            The service that the request is for.
        entries : int
            The number of live entry hosts, which share the slack.
        """
        self._budget(service, entries).earn()

    def spend(self, service, entries):
        """Return whether a retry is allowed, and take its token if so.

        For the parameters see `earn`.
        """
        return self._budget(service, entries).spend()

    def _budget(self, service, entries):
        burst = _USED_SHARE * self._rule.slack / max(entries, 1)
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget(_USED_SHARE * self._rule.ratio, burst)
            self._budget_by_service[service] = budget
        budget.limit(burst)
        return budget
