"""Each daemon's share of a retry budget that applies to the whole fleet."""

import collections
import dataclasses
import datetime

from sesamespindle.decide import commands, events

# The share of the allowed ratio and slack that is used. The rest is a margin for
# requests that never reach a target, and for hosts that don't know all others yet.
_USED_SHARE = 0.8
# A window is counted in so many parts.
_SLOTS = 20
# A host that has died is still counted among those that share the slack for this time,
# as it may only be cut off from this one, and serve callers.
_DEAD_COUNTED_FOR = datetime.timedelta(minutes=10)
_EPOCH = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)


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
        Length of the sliding window for which the limit is stated.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: datetime.timedelta = datetime.timedelta(seconds=10)


class SharedBudgets:
    """The retry budgets of one daemon, by service.

    In any window a daemon sends at most the ratio of its own requests in it again, and
    its equal share of the slack besides. So the whole fleet keeps the limit without
    coordination.

    Guards against targets that get the slack once for each life of a host: how much of
    it an earlier process has used isn't known, so a daemon has its share only once it
    has run for a whole window. Until then it has the ratio of its requests alone.

    Parameters
    ----------
    rule : BudgetRule
        The limits for the whole fleet.
    state : world.World
        The shared tables.
    """

    def __init__(self, rule, state):
        self._rule = rule
        self._state = state
        self._slot = rule.window / _SLOTS
        self._recent_by_service = collections.defaultdict(_Recent)
        self._repeats_by_reason = collections.Counter()
        self._refused_by_service = collections.Counter()
        self._spent_services = set()
        # A cache of the number of hosts, valid while its key is `_hosts_key`.
        self._hosts = 1
        self._hosts_key = None

    def earn(self, service, now):
        """Count a new request, of which a share may be sent again.

        Parameters
        ----------
        service : str
            The service that the request is for.
        now : datetime.datetime
            The current time.
        """
        self._recent_by_service[service].add_request(self._number(now))

    def spend(self, service, now):
        """Return whether a retry is allowed, and count it if so.

        For the parameters see `earn`.
        """
        left = self.left(service, now)
        is_allowed = left >= 1.0
        if is_allowed:
            self._recent_by_service[service].add_retries(self._number(now), 1)
        self._note_decided(service, left, is_allowed)
        return is_allowed

    def refund(self, service, paid_at):
        """Take back a retry that was allowed and wasn't sent.

        Parameters
        ----------
        service : str
            The service.
        paid_at : datetime.datetime
            When it was allowed.
        """
        self._recent_by_service[service].add_retries(self._number(paid_at), -1)

    def left(self, service, now):
        """Return how many retries are allowed now, a number that may be below 1.

        For the parameters see `earn`.
        """
        recent = self._recent_by_service[service]
        requests, retries = recent.count(self._number(now))
        allowed = self._rule.ratio * requests + self._slack_share(now)
        return _USED_SHARE * allowed - retries

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

    def left_by_label(self, now):
        """Return how many retries each service has left here, by its label."""
        return _by_service(
            {
                service: round(self.left(service, now), 2)
                for service in self._recent_by_service
            }
        )

    def _number(self, now):
        """Return the number of the part of a window that a time lies in."""
        return (now - _EPOCH) // self._slot

    def _slack_share(self, now):
        """Return this host's share of the slack, before `_USED_SHARE`."""
        started_at = self._state.pauses.started_at
        if not self._state.knows_entries or started_at is None:
            return 0.0
        if now - started_at < self._rule.window:
            return 0.0
        return self._rule.slack / self._count_hosts(now)

    def _count_hosts(self, now):
        """Return how many hosts may use the slack, including this one.

        Guards against hosts that can't hear each other, of which each would take the
        share of the others too: those that don't respond are counted.
        """
        key = self._state.view, self._number(now)
        if self._hosts_key != key:
            self._hosts_key = key
            rows = self._state.entries
            self._hosts = max(sum(self._is_counted(row, now) for row in rows), 1)
        return self._hosts

    def _is_counted(self, row, now):
        silence = now - (row.heard_at or now)
        match row.state:
            case events.HostState.LEFT:
                return silence < self._rule.window
            case events.HostState.DEAD:
                return silence < _DEAD_COUNTED_FOR
            case _:
                return True

    def _note_decided(self, service, left, is_allowed):
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
        text = f"{left:.2f} retries are left to this host"
        self._state.emit(commands.Note(kind, service, text))


class _Recent:
    """The requests for a service and the retries of the last window, by its parts."""

    def __init__(self):
        self._requests_by_slot = collections.Counter()
        self._retries_by_slot = collections.Counter()

    def add_request(self, slot):
        """Count a request."""
        self._requests_by_slot[slot] += 1
        if len(self._requests_by_slot) > 2 * _SLOTS:
            self._forget(slot)

    def add_retries(self, slot, count):
        """Count retries, or take back some."""
        self._retries_by_slot[slot] += count
        if len(self._retries_by_slot) > 2 * _SLOTS:
            self._forget(slot)

    def count(self, slot):
        """Return the requests and the retries of the window that ends in a part.

        The window's first part, of which only some is in it, counts for retries alone.
        """
        requests = _sum_since(self._requests_by_slot, slot - _SLOTS + 1)
        return requests, _sum_since(self._retries_by_slot, slot - _SLOTS)

    def _forget(self, slot):
        for count_by_slot in (self._requests_by_slot, self._retries_by_slot):
            for old in [other for other in count_by_slot if other < slot - _SLOTS]:
                del count_by_slot[old]


def _sum_since(count_by_slot, first):
    return sum(count for slot, count in count_by_slot.items() if slot >= first)


def _by_service(value_by_service):
    return {
        f'service="{service}"': value for service, value in value_by_service.items()
    }
