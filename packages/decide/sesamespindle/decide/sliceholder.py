"""The slices of accounts' limits that this entry holds."""

import collections
import dataclasses
import datetime

from sesamespindle.decide import commands, events, slices, tables

_RENEW_AT = 0.5
_IDLE_KEPT_FOR = datetime.timedelta(seconds=30)
# An ask without an answer for this long is taken for lost.
_ASK_TIMEOUT = datetime.timedelta(milliseconds=300)


@dataclasses.dataclass(slots=True)
class HeldRow:
    """A slice that this entry holds, with the grant it came by.

    Attributes
    ----------
    pending_since : datetime.datetime or None
        When an ask was sent that has no answer yet.
    limited : bool
        Whether the last grant was smaller than what was asked for.
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
    """Asks owners for slices, and tells how many requests may run here.

    Parameters
    ----------
    state : world.World
        The shared tables.
    usage : callable
        What an account uses and would use here: (in use, waiting), by the
        account's name and a resource.
    """

    def __init__(self, state, usage):
        self._state = state
        self._usage = usage
        self.held: tables.Table[HeldRow] = tables.Table("key")
        self._next_ask = 0

    def slots(self, account, resource, now):
        """Return how many requests of an account may run here now.

        Without an owner's slice this is the account's fallback share.
        """
        row = self.held.get((account.name, resource))
        if row is None:
            return 0
        if _lasts(row, now):
            return row.slots
        if not self._is_without_owner(row, now):
            return 0
        limit = slices.limit_of(account.contract, resource)
        return slices.fallback_share(self._state, limit)

    def prospect(self, account, resource, now):
        """Return how many slots an account may expect here after asking."""
        row = self.held.get((account.name, resource))
        if row is None or not row.limited:
            return slices.limit_of(account.contract, resource)
        return self.slots(account, resource, now)

    def need(self, account, resource, now):
        """Ask the owner now, where the slice held is too small for a request."""
        row = self._held(account, resource)
        row.needed_at = now
        if not self._is_enough(row, now) and not _is_pending(row, now):
            self._ask([row], now)

    def tick(self, now):
        """Renew slices and drop idle ones."""
        self._ask([row for row in self.held if self._is_due(row, now)], now)
        for row in [row for row in self.held if self._is_idle(row, now)]:
            self.held.remove(row.key)

    def granted(self, event, now):
        """Use the slices that an owner gave, and ask for more where needed.

        What arrived since the ask was sent is asked for now, in one ask for
        all of it.
        """
        wanted_by_key = {(ask.account, ask.resource): ask.wanted for ask in event.asks}
        for key in wanted_by_key:
            if key in self.held:
                self.held.get(key).pending_since = None
        used = [
            self._use(event.asked_at, grant, wanted_by_key) for grant in event.grants
        ]
        # Only after a real grant: an owner that grants nothing yet, or isn't the
        # owner any more, would be asked again without end.
        short = [
            row
            for row in used
            if row is not None and not row.limited and not self._is_enough(row, now)
        ]
        self._ask(short, now)

    def holding(self, key, now):
        """Return what is held of one account's limit as an ask, or None."""
        row = self.held.get(key)
        return self._ask_of(row, now) if row is not None else None

    def tell(self, event, now):
        """Tell a new owner what this entry holds."""
        holdings = [
            self._ask_of(row, now) for row in self.held if row.key[0] in event.accounts
        ]
        self._state.note_incarnation(event.owner, event.owner_incarnation, now)
        self._state.emit(
            commands.TellHoldings(
                event.exchange_id, tuple(holdings), slices.is_settled(self._state, now)
            )
        )

    def _use(self, asked_at, grant, wanted_by_key):
        """Use a grant and return its row, or None where there is nothing to use."""
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

    def _held(self, account, resource):
        key = (account, resource)
        row = self.held.get(key)
        if row is None:
            row = HeldRow(key)
            self.held.add(row)
        return row

    def _is_without_owner(self, row, now):
        """Return whether no owner has answered for longer than any would need."""
        if row.expires_at is not None:
            return now - row.expires_at > slices.OWNER_MARGIN
        longest = 2 * self._state.policy.grant_lifetime
        return row.asked_at is not None and now - row.asked_at > longest

    def _is_enough(self, row, now):
        in_use, waiting = self._usage(*row.key)
        return _lasts(row, now) and in_use + waiting <= row.slots

    def _is_due(self, row, now):
        if row.expires_at is None:
            return True
        left = row.expires_at - now
        in_use, waiting = self._usage(*row.key)
        lifetime = self._state.policy.grant_lifetime
        return left < lifetime * _RENEW_AT or in_use + waiting > row.slots

    def _is_idle(self, row, now):
        in_use, waiting = self._usage(*row.key)
        if in_use or waiting:
            return False
        return row.needed_at is None or now - row.needed_at > _IDLE_KEPT_FOR

    def _ask_of(self, row, now):
        account_name, resource = row.key
        in_use, waiting = self._usage(account_name, resource)
        lasts = _lasts(row, now)
        wanted = in_use + waiting + max(1, in_use // 4)
        return events.SliceAsk(
            account_name,
            resource,
            in_use,
            wanted,
            row.slots if lasts else 0,
            row.grant if lasts else 0,
        )

    def _ask(self, rows, now):
        asks_by_address = collections.defaultdict(list)
        for row in rows:
            owner = self._state.owner(row.key[0])
            if owner is not None:
                row.asked_at = row.asked_at or now
                ask = self._ask_of(row, now)
                row.pending_since = now
                asks_by_address[owner.peer_address].append(ask)
        for address, asks in asks_by_address.items():
            self._next_ask += 1
            self._state.emit(commands.AskSlices(address, self._next_ask, tuple(asks)))


def _lasts(row, now):
    return row.expires_at is not None and now < row.expires_at


def _is_pending(row, now):
    return row.pending_since is not None and now - row.pending_since < _ASK_TIMEOUT
