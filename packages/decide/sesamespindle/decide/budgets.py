"""Each daemon's share of a retry budget that applies to the whole fleet."""

import collections
import dataclasses
import datetime

from sesamespindle.decide import commands, retries

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
    state : world.World
        The shared tables, through which this host's log is written.
    """

    def __init__(self, rule, state):
        self._rule = rule
        self._state = state
        self._budget_by_service = {}
        self._repeats_by_reason = collections.Counter()
        self._refused_by_service = collections.Counter()
        self._spent_services = set()

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
        budget = self._budget(service, entries)
        is_allowed = budget.spend()
        self._note_decided(service, budget, is_allowed)
        return is_allowed

    def refund(self, service, entries):
        """Give back what a retry took that wasn't sent.

        For the parameters see `earn`.
        """
        self._budget(service, entries).refund()

    def note_repeat(self, flight):
        """Count a send that isn't the first of its request, by what it follows.

        Parameters
        ----------
        flight : flights.Flight
            The request, whose last send has ended.
        """
        if flight.last_ending is not None:
            self._repeats_by_reason[flight.service, flight.last_ending] += 1

    def repeats_by_label(self):
        """Return the number of sends that weren't the first of their request.

        Returns
        -------
        count_by_label : dict of str to int
            By the labels of the metric: the service, and how the send before ended.
        """
        return {
            f'service="{service}",after="{ending.value}"': count
            for (service, ending), count in self._repeats_by_reason.items()
        }

    def refused_by_label(self):
        """Return how many sends the budget didn't allow, by the service's label."""
        return _by_service(self._refused_by_service)

    def left_by_label(self):
        """Return how many retries each service has left here, by its label."""
        return _by_service(
            {
                service: round(budget.tokens, 2)
                for service, budget in self._budget_by_service.items()
            }
        )

    def _note_decided(self, service, budget, is_allowed):
        """Count what the budget refuses, and log when that begins and ends."""
        self._refused_by_service[service] += not is_allowed
        if is_allowed != (service in self._spent_services):
            return
        if is_allowed:
            self._spent_services.discard(service)
            kind = "retry_budget_left"
        else:
            self._spent_services.add(service)
            kind = "retry_budget_spent"
        text = f"{budget.tokens:.2f} retries are left to this host"
        self._state.emit(commands.Note(kind, service, text))

    def _budget(self, service, entries):
        burst = _USED_SHARE * self._rule.slack / max(entries, 1)
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = retries.RetryBudget(_USED_SHARE * self._rule.ratio, burst)
            self._budget_by_service[service] = budget
        budget.limit(burst)
        return budget


def _by_service(value_by_service):
    return {
        f'service="{service}"': value for service, value in value_by_service.items()
    }
