"""Frees the parts of KV stores whose salt nobody uses any more."""

import dataclasses
import datetime

# Parts of superseded weights are freed this long after the last engine has moved on to
# newer ones: no fetch of such a part begins after that, and a fetch ends within a
# second.
_FREE_DELAY = datetime.timedelta(seconds=2)
# A request to free parts is repeated after this, as the last one may have got lost.
_FREE_RETRY_DELAY = datetime.timedelta(seconds=2)
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
        self._unused_since_by_store = {}
        self._requested_at_by_store = {}

    def free_superseded(self, kept_salts, now):
        """Request that stores free the parts of weights that no engine runs.

        Parameters
        ----------
        kept_salts : callable
            Takes a salt and returns whether any engine may run its weights.
        now : datetime.datetime
            The current time.
        """
        for row in self._rows:
            if not row.store.managed or not row.is_available(now):
                continue
            unused = [key for key in row.tokens_by_part if not kept_salts(key[0])]
            if not unused:
                self._unused_since_by_store.pop(row.name, None)
                continue
            since = self._unused_since_by_store.setdefault(row.name, now)
            requested_at = self._requested_at_by_store.get(row.name)
            if requested_at is not None and now - requested_at < _FREE_RETRY_DELAY:
                continue
            if now - since >= _FREE_DELAY:
                self._requested_at_by_store[row.name] = now
                until = row.clock_ms(now + _FREE_DELAY)
                self._state.emit(
                    FreeParts(
                        row.name,
                        row.store.address,
                        row.boot,
                        tuple(unused[:_MAX_FREED_AT_ONCE]),
                        until,
                    )
                )
