"""Frees the parts of KV stores whose salt nobody uses any more."""

import dataclasses
import datetime

# A request to free parts is repeated after this, as the last one may have got lost.
_FREE_RETRY_DELAY = datetime.timedelta(seconds=2)
# How long a store may take to carry out a request to free parts.
_FREE_WITHIN = datetime.timedelta(seconds=2)
# The most parts that one request frees.
_MAX_FREED_AT_ONCE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class FreeParts:
    """Have a store free parts, unless it has restarted since `boot`.

    Attributes
    ----------
    store : str
        The store's name.
    address : str
        Its address.
    boot : int
        Identifies the start of the store.
    parts : tuple of (str, str)
        The salt and part id of each part.
    until_ms : int or None
        When the request expires, in milliseconds of the engines' clock; None if that
        clock isn't known.
    """

    store: str
    address: str
    boot: int
    parts: tuple[tuple[str, str], ...]
    until_ms: int | None


class StoreFrees:
    """Has the stores free parts that nobody can fetch any more.

    Parameters
    ----------
    state : world.World
        The shared tables.
    rows : tables.Table of storerows.StoreRow
        The stores.
    """

    def __init__(self, state, rows):
        self._state = state
        self._rows = rows
        # By store and salt.
        self._unused_since_by_key = {}
        self._requested_at_by_store = {}

    def free_unused(self, salt_kept_for, now):
        """Request that stores free the parts under salts that have long been unused.

        Parameters
        ----------
        salt_kept_for : callable
            Takes a salt and returns how long it is kept if unused, None if it may be
            in use.
        now : datetime.datetime
            The current time.
        """
        for row in self._rows:
            if row.store.managed and row.is_available(now):
                self._free_unused_at(row, salt_kept_for, now)

    def _free_unused_at(self, row, salt_kept_for, now):
        due = {
            salt
            for salt in {salt for salt, _ in row.tokens_by_part}
            if self._is_due(row.name, salt, salt_kept_for(salt), now)
        }
        requested_at = self._requested_at_by_store.get(row.name)
        if requested_at is not None and now - requested_at < _FREE_RETRY_DELAY:
            return
        if due:
            self._requested_at_by_store[row.name] = now
            unused = [key for key in row.tokens_by_part if key[0] in due]
            until = row.clock_ms(now + _FREE_WITHIN)
            self._state.emit(
                FreeParts(
                    row.name,
                    row.store.address,
                    row.boot,
                    tuple(unused[:_MAX_FREED_AT_ONCE]),
                    until,
                )
            )

    def _is_due(self, store, salt, kept_for, now):
        """Return whether a salt has been unused for as long as it is kept."""
        if kept_for is None:
            self._unused_since_by_key.pop((store, salt), None)
            return False
        since = self._unused_since_by_key.setdefault((store, salt), now)
        return now - since >= kept_for
