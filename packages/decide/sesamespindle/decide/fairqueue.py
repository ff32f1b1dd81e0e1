"""Weighted fair queueing of requests by client account."""

import collections


class FairQueue:
    """Requests that wait for a slot, in turn by account and weight.

    Each account has its own queue and a virtual time that rises by one over
    its weight for each request taken. The account with the lowest virtual
    time goes next, so a long queue of one account holds up nobody else.
    """

    def __init__(self):
        self._ids_by_account = collections.defaultdict(collections.deque)
        self._virtual_time_by_account = {}
        self._virtual_now = 0.0

    def push(self, account, request_id):
        """Put a request at the end of its account's queue."""
        if not self._ids_by_account[account]:
            # An account that was idle starts at the present, not in the past.
            past = self._virtual_time_by_account.get(account, 0.0)
            self._virtual_time_by_account[account] = max(past, self._virtual_now)
        self._ids_by_account[account].append(request_id)

    def take(self, may_run, weight):
        """Take out the next request of an account that may run, or None.

        Parameters
        ----------
        may_run : callable
            Whether an account has a free slot, by its name.
        weight : callable
            An account's weight, by its name.
        """
        ready = [name for name in self._ids_by_account if may_run(name)]
        if not ready:
            return None
        account = min(ready, key=self._virtual_time_by_account.__getitem__)
        self._virtual_now = self._virtual_time_by_account[account]
        self._virtual_time_by_account[account] += 1.0 / weight(account)
        request_id = self._ids_by_account[account].popleft()
        self._drop_if_empty(account)
        return request_id

    def remove(self, account, request_id):
        """Take out a request that no longer waits."""
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
            if self._virtual_time_by_account[account] <= self._virtual_now:
                del self._virtual_time_by_account[account]
