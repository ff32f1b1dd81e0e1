"""Weighted fair queueing of requests across client accounts."""

import collections


class FairQueue:
    """The requests that wait for a slot, ordered by weighted fair queueing.

    Each account has its own queue and a virtual time. Each request taken from the
    queue advances the virtual time by 1 / weight, and the account with the lowest
    virtual time is served next. So a long queue of one account doesn't delay the
    others.
    """

    def __init__(self):
        self._ids_by_account = collections.defaultdict(collections.deque)
        self._virtual_time_by_account = {}
        self._virtual_now = 0.0

    def push(self, account, request_id):
        """Append a request to its account's queue."""
        if not self._ids_by_account[account]:
            # An account gets no credit for the time in which it was idle.
            last = self._virtual_time_by_account.get(account, 0.0)
            self._virtual_time_by_account[account] = max(last, self._virtual_now)
        self._ids_by_account[account].append(request_id)

    def take(self, may_run, weight):
        """Remove and return the next request, or None if no account has a free slot.

        Parameters
        ----------
        may_run : callable
            Takes an account's name; returns whether the account has a free slot.
        weight : callable
            Takes an account's name; returns its weight, a positive number.

        Returns
        -------
        request_id : str or None
        """
        eligible = [name for name in self._ids_by_account if may_run(name)]
        if not eligible:
            return None
        account = min(eligible, key=self._virtual_time_by_account.__getitem__)
        self._virtual_now = self._virtual_time_by_account[account]
        self._virtual_time_by_account[account] += 1.0 / weight(account)
        request_id = self._ids_by_account[account].popleft()
        self._drop_if_empty(account)
        return request_id

    def remove(self, account, request_id):
        """Remove a request that no longer waits; ignore one that isn't queued."""
        queue = self._ids_by_account.get(account)
        if queue and request_id in queue:
            queue.remove(request_id)
        self._drop_if_empty(account)

    def waiting(self, account):
        """Return how many requests of an account wait."""
        queue = self._ids_by_account.get(account)
        return len(queue) if queue else 0

    def _drop_if_empty(self, account):
        if account in self._ids_by_account and not self._ids_by_account[account]:
            del self._ids_by_account[account]
            # A virtual time that isn't ahead of the present one has no effect: `push`
            # would raise it to the present one.
            if self._virtual_time_by_account[account] <= self._virtual_now:
                del self._virtual_time_by_account[account]
