"""Each daemon's share of a retry budget that the whole fleet keeps together."""

import dataclasses
import datetime

from sesamespindle.decide import retries

# Part of the allowed ratio and slack that is used. The rest covers requests
# that never arrive at a target, and entries that come and go in a window.
_USED_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRule:
    """How many repeated sends a service may get from the whole fleet.

    Attributes
    ----------
    ratio : float
        Repeats for each request.
    slack : float
        Repeats in any window, whatever the number of requests.
    window : datetime.timedelta
        The sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: datetime.timedelta = datetime.timedelta(seconds=10)


class SharedBudgets:
    """Repeated sends of one daemon, by service.

    Each daemon earns on its own requests and saves up at most its share of the
    slack. Any window then sees at most the slack and what was earned in it,
    summed over the fleet, without coordination.

    Parameters
    ----------
    rule : BudgetRule
        For the whole fleet.
    """

    def __init__(self, rule):
        self._rule = rule
        self._budget_by_service = {}

    def earn(self, service, entries):
        """Count the first send of a request."""
        self._budget(service, entries).earn()

    def spend(self, service, entries):
        """Return whether a request may be sent once more, and count it if so."""
        return self._budget(service, entries).spend()

    def _budget(self, service, entries):
        burst = _USED_SHARE * self._rule.slack / max(entries, 1)
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget(_USED_SHARE * self._rule.ratio, burst)
            self._budget_by_service[service] = budget
        budget.limit(burst)
        return budget
