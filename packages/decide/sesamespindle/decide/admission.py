"""Admission of requests by account: concurrency slots and fair queueing."""

import datetime

from sesamespindle.decide import fairqueue

# Weight of the newest sample in the moving average of how long slots are held.
_HOLDING_TIME_WEIGHT = 0.1
_NO_WAIT = datetime.timedelta(0)


class Admission:
    """Grants slots to the requests of one resource, fairly among accounts.

    Parameters
    ----------
    state : world.World
        The shared tables.
    resource : events.Resource
        Which limit of the contracts applies: that of prompts or of calls.
    slices : sliceholder.SliceHolder
        The slots that this entry may use: its slice, a leased share, of the limit of
        each account.
    """

    def __init__(self, state, resource, slices):
        self._state = state
        self._resource = resource
        self._slices = slices
        self._queue = fairqueue.FairQueue()

    def waiting(self, account):
        """Return how many requests of an account are queued.

        Parameters
        ----------
        account : str
            The account's name.
        """
        return self._queue.waiting(account)

    def expected_wait(self, account, now):
        """Return how long a new request of an account would be queued.

        Parameters
        ----------
        account : world.AccountRow
            The account.
        now : datetime.datetime
            The current time.

        Returns
        -------
        wait : datetime.timedelta
        """
        slots = self._slices.expected_slots(account, self._resource, now)
        usage = account.usage_by_resource[self._resource]
        free = slots - usage.running - self._queue.waiting(account.name)
        if free > 0:
            return _NO_WAIT
        # The slots free up one by one, on average `holding_time / slots` apart. A new
        # request needs the first of them and one for each request that is ahead of it.
        return usage.holding_time * ((1 - free) / max(slots, 1))

    def push(self, account, request_id, now):
        """Queue a request, and ask for a larger slice if this one is now too small."""
        self._queue.push(account, request_id)
        self._slices.request_larger_slice_if_short(account, self._resource, now)

    def take(self, now):
        """Dequeue the next request that has a slot; return its id, or None."""
        return self._queue.take(lambda name: self._has_slot(name, now), self._weight)

    def remove(self, account, request_id):
        """Remove a request that no longer waits; ignore one that isn't queued."""
        self._queue.remove(account, request_id)

    def begin(self, account):
        """Occupy a slot of an account for a request that starts."""
        account.usage_by_resource[self._resource].running += 1

    def end(self, account_name, held):
        """Free the slot of a request.

        Parameters
        ----------
        account_name : str
            The account's name.
        held : datetime.timedelta
            How long the request held the slot.
        """
        account = self._state.accounts.get(account_name)
        if account is None:
            return
        usage = account.usage_by_resource[self._resource]
        usage.running = max(0, usage.running - 1)
        usage.holding_time += (held - usage.holding_time) * _HOLDING_TIME_WEIGHT

    def _has_slot(self, name, now):
        account = self._state.accounts.get(name)
        if account is None:
            # The contract has ended. The request is dequeued, so that it is refused.
            return True
        running = account.usage_by_resource[self._resource].running
        return running < self._slices.slots(account, self._resource, now)

    def _weight(self, name):
        account = self._state.accounts.get(name)
        return account.contract.priority if account else 1
