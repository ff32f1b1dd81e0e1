"""The slices of accounts' limits that this entry grants as their owner.

An ask is an entry's request for a slice. The entry that holds a slice is its holder.
"""

import dataclasses
import datetime

from sesamespindle.decide import commands, events, slices, tables

# A placeholder in `OwnedRow.unreported` for a holder that can't be asked: an earlier
# incarnation of an entry, or an entry that this daemon doesn't know yet.
_UNKNOWN_HOLDER = ""
# How long an ask is delayed at most while the owner doesn't know all slices in use.
_MAX_ASK_WAIT = datetime.timedelta(milliseconds=400)


@dataclasses.dataclass(slots=True)
class OutstandingGrant:
    """A grant that an entry may use until it expires.

    Attributes
    ----------
    number : int
        The number of the grant.
    slots : int
        The slots granted.
    expires_at : datetime.datetime
        Until when the owner counts the slots as used.
    """

    number: int
    slots: int
    expires_at: datetime.datetime


@dataclasses.dataclass(slots=True)
class GrantedSlice:
    """The slice of an entry, granted by this owner or reported by the entry.

    Attributes
    ----------
    in_use : int
        The slots that the entry used at its last ask.
    wanted : int
        The slots that the entry last asked for.
    sequence : int
        The number of its last ask.
    outstanding_grants : list of OutstandingGrant
        The grants that the entry may be using: the latest one, and earlier ones until
        the entry acknowledges a later one.
    """

    in_use: int
    wanted: int
    sequence: int
    outstanding_grants: list[OutstandingGrant]

    def counted_slots(self, now):
        """Return the most slots that the entry may be using.

        Guards against a smaller grant whose message is lost. The entry goes on using
        its earlier, larger grant until that expires. If the difference were granted to
        another entry meanwhile, both together would exceed the limit. So the largest
        grant that is neither expired nor replaced counts.
        """
        slots = [
            item.slots for item in self.outstanding_grants if item.expires_at > now
        ]
        return max([self.in_use, *slots])

    def is_valid(self, now):
        """Return whether any grant has not expired."""
        return any(item.expires_at > now for item in self.outstanding_grants)

    def add_grant(self, grant):
        """Add a grant."""
        self.outstanding_grants.append(grant)

    def acknowledge(self, grant):
        """Drop the grants before the one that the entry says it uses."""
        self.outstanding_grants = [
            item for item in self.outstanding_grants if item.number >= grant
        ]


@dataclasses.dataclass(slots=True)
class OwnedRow:
    """An account's limit, with the slices that its owner has granted.

    Attributes
    ----------
    key : tuple of (str, events.Resource)
        The account and the resource.
    unreported : set of str
        Entries that may hold slices of an earlier owner and have not reported them.
    all_expired_at : datetime.datetime
        When all slices of an earlier owner have expired at the latest.
    slice_by_holder : dict
        Slices by name and incarnation of their holder. A new incarnation doesn't take
        over the slices of the old one, whose requests may still run at the targets.
    """

    key: tuple[str, events.Resource]
    unreported: set[str]
    all_expired_at: datetime.datetime
    slice_by_holder: dict[tuple[str, int], GrantedSlice] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class WaitingAsks:
    """Asks that wait until the owner has learned which slices are in use.

    Attributes
    ----------
    until : datetime.datetime
        When they are answered at the latest.
    """

    event: events.SlicesAsked
    until: datetime.datetime


class SliceOwner:
    """Divides the limits of the accounts that this entry owns into slices.

    Parameters
    ----------
    state : world.World
        The shared tables.
    holder : sliceholder.SliceHolder
        The slices that this entry holds itself.
    """

    def __init__(self, state, holder):
        self._state = state
        self._holder = holder
        self.owned: tables.Table[OwnedRow] = tables.Table("key")
        self._waiting_asks = []
        # Leaves 2**20 numbers to each incarnation, so that a later one's are higher.
        self._next_grant = state.me.incarnation << 20
        self._last_tick = None

    def tick(self, now):
        """Answer waiting asks, and drop expired slices."""
        self._forget_after_pause(now)
        self._answer_waiting(now)
        self._drop_expired(now)

    def handle_asks(self, event, now):
        """Answer an entry's asks, at once or when the slices in use are known."""
        self._state.note_incarnation(event.entry, event.incarnation, now)
        holder = (event.entry, event.incarnation)
        for ask in event.asks:
            self._note_ask(holder, event.sequence, ask, now)
        if all(self._is_known(ask, now) for ask in event.asks):
            self._grant(event, now)
            return
        self._waiting_asks.append(WaitingAsks(event, now + _MAX_ASK_WAIT))

    def handle_holdings(self, event, now):
        """Count the slices of an earlier owner that an entry has reported."""
        holder = (event.entry, event.incarnation)
        for holding in event.holdings:
            row = self.owned.get((holding.account, holding.resource))
            if row is not None and holder not in row.slice_by_holder:
                self._note_holding(row, holder, 0, holding, now)
        for row in self.owned:
            if row.key[0] not in event.accounts:
                continue
            if not event.settled:
                row.unreported.add(_UNKNOWN_HOLDER)
            row.unreported.discard(event.entry)
        self._answer_waiting(now)

    def _forget_after_pause(self, now):
        """Forget the granted slices after a long pause of this process.

        Guards against an owner that was paused while another entry took over, and that
        then grants slices beside the new owner, so that both exceed the limit. By its
        own clock the slices that it granted have expired and the whole limit is free.
        Without its rows it first has to ask which slices are in use.
        """
        paused_for = now - (self._last_tick or now)
        self._last_tick = now
        if paused_for > self._state.policy.grant_lifetime / 2:
            for row in list(self.owned):
                self.owned.remove(row.key)
            self._state.emit(commands.Note("paused", self._state.me.name))

    def _note_ask(self, holder, sequence, ask, now):
        if not self._is_owner(ask.account):
            return
        row = self.owned.get((ask.account, ask.resource))
        if row is None:
            row = self._start_owning(ask, now)
        if holder not in row.slice_by_holder:
            self._note_holding(row, holder, sequence, ask, now)
        given = row.slice_by_holder[holder]
        if sequence < given.sequence:
            return
        given.sequence = sequence
        given.in_use = ask.in_use
        given.wanted = ask.wanted
        given.acknowledge(ask.grant)
        row.unreported.discard(holder[0])

    def _start_owning(self, ask, now):
        """Add the row of an account that this entry has come to own.

        Guards against slices of two owners that add up to more than the limit, so that
        the targets get more than the contract allows. The new owner asks all entries
        for the slices that they hold of an earlier owner, and counts them. If some
        holder can't be asked, it waits until any slice must have expired.
        """
        state = self._state
        lifetime = state.policy.grant_lifetime
        others = {
            row.name: row
            for row in state.entries
            if row.state not in (events.HostState.LEFT, events.HostState.DEAD)
        }
        row = OwnedRow(
            (ask.account, ask.resource),
            set(others),
            now + lifetime + slices.OWNER_MARGIN,
        )
        row.unreported.discard(state.me.name)
        self.owned.add(row)
        own_slice = self._holder.held_slice_ask(row.key, now)
        if own_slice is not None:
            me = (state.me.name, state.me.incarnation)
            self._note_holding(row, me, 0, own_slice, now)
        names = sorted(row.unreported)
        if not slices.is_settled(self._state, now) or not state.knows_entries:
            row.unreported.add(_UNKNOWN_HOLDER)
        for name in names:
            address = others[name].peer_address
            state.emit(commands.AskHoldings(name, address, (ask.account,)))
        return row

    def _note_holding(self, row, holder, sequence, holding, now):
        lifetime = self._state.policy.grant_lifetime
        held = OutstandingGrant(
            holding.grant, holding.held, now + lifetime + slices.OWNER_MARGIN
        )
        row.slice_by_holder[holder] = GrantedSlice(
            holding.in_use, holding.wanted, sequence, [held]
        )

    def _is_owner(self, account):
        owner = self._state.owner(account)
        return owner is not None and owner.name == self._state.me.name

    def _is_known(self, ask, now):
        row = self.owned.get((ask.account, ask.resource))
        return row is None or not row.unreported or now >= row.all_expired_at

    def _answer_waiting(self, now):
        waiting, self._waiting_asks = self._waiting_asks, []
        for item in waiting:
            is_known = all(self._is_known(ask, now) for ask in item.event.asks)
            if is_known or now >= item.until:
                self._grant(item.event, now)
            else:
                self._waiting_asks.append(item)

    def _grant(self, event, now):
        holder = (event.entry, event.incarnation)
        grants = [
            self._grant_one(holder, event.sequence, ask, now)
            for ask in event.asks
            if self._is_owner(ask.account)
        ]
        self._state.emit(commands.GrantSlices(event.exchange_id, tuple(grants)))

    def _grant_one(self, holder, sequence, ask, now):
        row = self.owned.get((ask.account, ask.resource))
        account = self._state.accounts.get(ask.account)
        if row is None or account is None or holder not in row.slice_by_holder:
            return events.SliceGrant(ask.account, ask.resource, 0, 0)
        limit = slices.limit_of(account.contract, ask.resource)
        given = row.slice_by_holder[holder]
        if not ask.held and not self._is_known(ask, now):
            # The holder ignores a grant with number 0, and its callers go on waiting.
            # After a numbered grant of no slots it would refuse them.
            return events.SliceGrant(ask.account, ask.resource, 0, 0)
        if sequence < given.sequence:
            # A later ask arrived before this one, which is outdated.
            return events.SliceGrant(ask.account, ask.resource, 0, 0)
        if self._is_known(ask, now):
            slots = self._fair_slots(row, holder, limit, now)
        else:
            slots = min(ask.held, limit)
        self._next_grant += 1
        lifetime = self._state.policy.grant_lifetime
        expires_at = now + lifetime + slices.OWNER_MARGIN
        given.add_grant(OutstandingGrant(self._next_grant, slots, expires_at))
        return events.SliceGrant(ask.account, ask.resource, slots, self._next_grant)

    def _fair_slots(self, row, holder, limit, now):
        """Return the slots for an entry: its demand, or its share of the limit.

        If the demand of all entries exceeds the limit, shares are in proportion to
        their demand. The result never exceeds the slots that are free.
        """
        given = row.slice_by_holder[holder]
        others = [
            other
            for key, other in row.slice_by_holder.items()
            if key != holder and (other.is_valid(now) or other.in_use)
        ]
        counted_slots = sum(other.counted_slots(now) for other in others)
        free = max(0, limit - self._reserve(row, limit) - counted_slots)
        wanted = given.wanted + sum(other.wanted for other in others)
        share = given.wanted
        if wanted > limit:
            # Round up: with shares rounded down, the remaining slots would stay unused
            # while all entries wait. `free` keeps the sum within the limit.
            share = -(-limit * given.wanted // wanted)
        return min(given.wanted, share, free)

    def _reserve(self, row, limit):
        """Return the slots reserved for the fallback shares of unreachable entries."""
        unreachable = sum(
            entry.state in (events.HostState.SUSPECT, events.HostState.DEAD)
            for entry in self._state.entries
        )
        return unreachable * slices.fallback_share(self._state, limit)

    def _drop_expired(self, now):
        """Drop expired slices, unless requests of a live holder may still run."""
        for row in list(self.owned):
            for holder, given in list(row.slice_by_holder.items()):
                if not given.is_valid(now) and not self._may_still_run(holder, given):
                    del row.slice_by_holder[holder]
            if not row.slice_by_holder:
                self.owned.remove(row.key)

    def _may_still_run(self, holder, given):
        name, incarnation = holder
        entry = self._state.entries.get(name)
        is_gone = (
            entry is None
            or entry.state in (events.HostState.LEFT, events.HostState.DEAD)
            or entry.incarnation > incarnation
        )
        return given.in_use > 0 and not is_gone
