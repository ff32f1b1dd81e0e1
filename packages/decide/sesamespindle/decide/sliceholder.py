"""The slices of accounts' limits that this entry holds.

Each account has an owner: the entry that divides the account's limits into slices. See
`slices`.
"""

import collections
import dataclasses
import datetime

from sesamespindle.decide import commands, events, slices, tables

# A slice is renewed when less than this fraction of its grant lifetime remains.
_RENEW_BELOW = 0.5
# An unused slice is dropped this long after a request last needed it.
_IDLE_RETENTION = datetime.timedelta(seconds=30)
# An ask is considered lost if it is not answered for this long.
_ASK_TIMEOUT = datetime.timedelta(milliseconds=300)


@dataclasses.dataclass(slots=True)
class HeldRow:
    """A slice that this entry holds, with its grant.

    Attributes
    ----------
    key : tuple of (str, events.Resource)
        The account and the resource.
    slots : int
        The slots that requests may use until `expires_at`.
    grant : int
        The number of the grant; 0 before the first.
    expires_at : datetime.datetime or None
        When the grant expires; None before the first.
    asked_at : datetime.datetime or None
        When this entry first asked the account's owner for the slice.
    needed_at : datetime.datetime or None
        When a request last needed the slice.
    pending_since : datetime.datetime or None
        When the latest ask was sent; None if it was answered.
    limited : bool
        Whether the last grant was smaller than asked for.
    """

    key: tuple[str, events.Resource]
    slots: int = 0
    grant: int = 0
    expires_at: datetime.datetime | None = None
    asked_at: datetime.datetime | None = None
    needed_at: datetime.datetime | None = None
    pending_since: datetime.datetime | None = None
    limited: bool = False


class SliceHolder:
    """Asks owners for slices, and limits how many requests may run on this entry.

    Parameters
    ----------
    state : world.World
        The shared tables.
    usage : callable
        Takes an account's name and a resource. Returns the numbers of the account's
        requests that run and that wait here.
    """

    def __init__(self, state, usage):
        self._state = state
        self._usage = usage
        self.held: tables.Table[HeldRow] = tables.Table("key")
        self._last_sequence = 0

    def slots(self, account, resource, now):
        """Return how many requests of an account may run here now.

        This is the slice that the owner granted, or 0 without a valid grant. Once no
        owner is considered reachable, it is the fallback share of the limit instead
        (see `slices.fallback_share`).
        """
        row = self.held.get((account.name, resource))
        if row is None:
            return 0
        if _is_valid(row, now):
            return row.slots
        if not self._is_without_owner(row, now):
            return 0
        limit = slices.limit_of(account.contract, resource)
        return slices.fallback_share(self._state, limit)

    def expected_slots(self, account, resource, now):
        """Return how many slots an account may expect here once the owner is asked.

        This is the whole limit, unless the last grant was smaller than asked for.
        """
        row = self.held.get((account.name, resource))
        if row is None or not row.limited:
            return slices.limit_of(account.contract, resource)
        return self.slots(account, resource, now)

    def request_larger_slice_if_short(self, account, resource, now):
        """Ask the owner at once if the slice is too small for the requests here."""
        row = self._row_of(account, resource)
        row.needed_at = now
        if not self._is_enough(row, now) and not _is_pending(row, now):
            self._ask([row], now)

    def tick(self, now):
        """Renew slices and drop idle ones."""
        self._ask([row for row in self.held if self._is_due(row, now)], now)
        for row in [row for row in self.held if self._is_idle(row, now)]:
            self.held.remove(row.key)

    def handle_grants(self, event, now):
        """Use the slices that an owner granted, and ask for larger ones if needed.

        Requests may have arrived since the ask was sent. A single new ask covers all of
        them.
        """
        wanted_by_key = {(ask.account, ask.resource): ask.wanted for ask in event.asks}
        for key in wanted_by_key:
            if key in self.held:
                self.held.get(key).pending_since = None
        used = [
            self._apply_grant(event.asked_at, grant, wanted_by_key)
            for grant in event.grants
        ]
        # Ask again only after a grant. An owner that grants nothing yet, or is no
        # longer the owner, would otherwise be asked in an endless loop.
        short = [
            row
            for row in used
            if row is not None and not row.limited and not self._is_enough(row, now)
        ]
        self._ask(short, now)

    def held_slice_ask(self, key, now):
        """Return an `events.SliceAsk` that states the slice held for a key, or None."""
        row = self.held.get(key)
        return self._make_ask(row, now) if row is not None else None

    def report_holdings(self, event, now):
        """Answer a new owner with the slices that this entry holds."""
        holdings = [
            self._make_ask(row, now)
            for row in self.held
            if row.key[0] in event.accounts
        ]
        self._state.note_incarnation(event.owner, event.owner_incarnation, now)
        self._state.emit(
            commands.TellHoldings(
                event.exchange_id, tuple(holdings), slices.is_settled(self._state, now)
            )
        )

    def _apply_grant(self, asked_at, grant, wanted_by_key):
        """Use a grant and return its row, or None if the grant is empty or outdated."""
        row = self.held.get((grant.account, grant.resource))
        if row is None or not grant.grant:
            return None
        expires_at = asked_at + self._state.policy.grant_lifetime
        if row.expires_at is not None and expires_at < row.expires_at:
            return None
        row.slots = grant.slots
        row.grant = grant.grant
        row.limited = grant.slots < wanted_by_key.get(row.key, 0)
        row.expires_at = expires_at
        return row

    def _row_of(self, account, resource):
        key = (account, resource)
        row = self.held.get(key)
        if row is None:
            row = HeldRow(key)
            self.held.add(row)
        return row

    def _is_without_owner(self, row, now):
        """Return whether owners have not answered for so long that none is reachable.

        This is so once the last slice has expired for the owner too, or, before the
        first grant, two grant lifetimes after the first ask.
        """
        if row.expires_at is not None:
            return now - row.expires_at > slices.OWNER_MARGIN
        longest = 2 * self._state.policy.grant_lifetime
        return row.asked_at is not None and now - row.asked_at > longest

    def _is_enough(self, row, now):
        in_use, waiting = self._usage(*row.key)
        return _is_valid(row, now) and in_use + waiting <= row.slots

    def _is_due(self, row, now):
        if row.expires_at is None:
            return True
        left = row.expires_at - now
        in_use, waiting = self._usage(*row.key)
        lifetime = self._state.policy.grant_lifetime
        return left < lifetime * _RENEW_BELOW or in_use + waiting > row.slots

    def _is_idle(self, row, now):
        in_use, waiting = self._usage(*row.key)
        if in_use or waiting:
            return False
        return row.needed_at is None or now - row.needed_at > _IDLE_RETENTION

    def _make_ask(self, row, now):
        account_name, resource = row.key
        in_use, waiting = self._usage(account_name, resource)
        is_valid = _is_valid(row, now)
        wanted = in_use + waiting + max(1, in_use // 4)
        return events.SliceAsk(
            account_name,
            resource,
            in_use,
            wanted,
            row.slots if is_valid else 0,
            row.grant if is_valid else 0,
        )

    def _ask(self, rows, now):
        asks_by_address = collections.defaultdict(list)
        for row in rows:
            owner = self._state.owner(row.key[0])
            if owner is not None:
                row.asked_at = row.asked_at or now
                ask = self._make_ask(row, now)
                row.pending_since = now
                asks_by_address[owner.peer_address].append(ask)
        for address, asks in asks_by_address.items():
            self._last_sequence += 1
            self._state.emit(
                commands.AskSlices(address, self._last_sequence, tuple(asks))
            )


def _is_valid(row, now):
    return row.expires_at is not None and now < row.expires_at


def _is_pending(row, now):
    return row.pending_since is not None and now - row.pending_since < _ASK_TIMEOUT
