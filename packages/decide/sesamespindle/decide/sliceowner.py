"""The slices of accounts' limits that this entry gives as their owner."""

import dataclasses
import datetime

from sesamespindle.decide import commands, events, slices, tables

# Stands among the unlearned entries for one that can't be asked: the earlier
# incarnation of some entry, or an entry that this daemon hasn't heard of yet.
_UNKNOWN = ""
_WAITED_FOR_LEARNING = datetime.timedelta(milliseconds=400)


@dataclasses.dataclass(slots=True)
class Promise:
    """Slots that an entry may use until a time, by the number of their grant."""

    grant: int
    slots: int
    expires_at: datetime.datetime


@dataclasses.dataclass(slots=True)
class GivenSlice:
    """What this owner gave to an entry, or learned that it holds.

    Attributes
    ----------
    promises : list of Promise
        Grants that the entry may act on: the latest, and those before it that
        the entry has not yet shown to have replaced.
    """

    in_use: int
    wanted: int
    sequence: int
    promises: list[Promise]

    def counted(self, now):
        """Return the slots that the entry may be using.

        Guards against a smaller grant whose message is lost: the entry goes on
        with the larger one before it, until that runs out.
        """
        promised = [item.slots for item in self.promises if item.expires_at > now]
        return max([self.in_use, *promised])

    def lasts(self, now):
        """Return whether any grant has not run out."""
        return any(item.expires_at > now for item in self.promises)

    def promise(self, promise):
        """Add a grant."""
        self.promises.append(promise)

    def acknowledge(self, grant):
        """Drop the grants before one that the entry shows to act on."""
        self.promises = [item for item in self.promises if item.grant >= grant]


@dataclasses.dataclass(slots=True)
class OwnedRow:
    """An account's limit as its owner has cut it.

    Attributes
    ----------
    unlearned : set of str
        Entries that may hold slices of an earlier owner.
    given_by_holder : dict
        Slices by name and incarnation of their holder. A new incarnation has
        none of the old one's, which may still run at the targets.
    learned_at : datetime.datetime
        When slices of an earlier owner have run out in any case.
    """

    key: tuple[str, events.Resource]
    unlearned: set[str]
    learned_at: datetime.datetime
    given_by_holder: dict[tuple[str, int], GivenSlice] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class WaitingAsk:
    """Asks that are answered once the owner has learned what is out."""

    event: events.SlicesAsked
    until: datetime.datetime


class SliceOwner:
    """Cuts the limits of the accounts that this entry owns.

    Parameters
    ----------
    state : world.World
        The shared tables.
    holder : sliceholder.SliceHolder
        What this entry holds itself.
    """

    def __init__(self, state, holder):
        self._state = state
        self._holder = holder
        self.owned: tables.Table[OwnedRow] = tables.Table("key")
        self._waiting_asks = []
        self._next_grant = state.me.incarnation << 20
        self._last_tick = None

    def tick(self, now):
        """Answer asks that waited, and drop slices that have run out."""
        self._forget_after_pause(now)
        self._answer_waiting(now)
        self._drop_expired(now)

    def asked(self, event, now):
        """Answer an entry, at once or when what is out has been learned."""
        self._state.note_incarnation(event.entry, event.incarnation, now)
        holder = (event.entry, event.incarnation)
        for ask in event.asks:
            self._note_ask(holder, event.sequence, ask, now)
        if all(self._is_learned(ask, now) for ask in event.asks):
            self._grant(event, now)
            return
        self._waiting_asks.append(WaitingAsk(event, now + _WAITED_FOR_LEARNING))

    def told(self, event, now):
        """Count what an entry holds of an earlier owner's slices."""
        holder = (event.entry, event.incarnation)
        for holding in event.holdings:
            row = self.owned.get((holding.account, holding.resource))
            if row is not None and holder not in row.given_by_holder:
                self._note_holding(row, holder, 0, holding, now)
        for row in self.owned:
            if row.key[0] not in event.accounts:
                continue
            if not event.settled:
                row.unlearned.add(_UNKNOWN)
            row.unlearned.discard(event.entry)
        self._answer_waiting(now)

    def _forget_after_pause(self, now):
        """Forget what this owner gave if it was paused for long.

        Guards against an owner that was frozen while another took over: what
        it gave has run out by its clock, and it would give the whole limit
        again beside the new owner. It learns what is out first.
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
            row = self._begin_owning(ask, now)
        if holder not in row.given_by_holder:
            self._note_holding(row, holder, sequence, ask, now)
        given = row.given_by_holder[holder]
        if sequence < given.sequence:
            return
        given.sequence = sequence
        given.in_use = ask.in_use
        given.wanted = ask.wanted
        given.acknowledge(ask.grant)
        row.unlearned.discard(holder[0])

    def _begin_owning(self, ask, now):
        """Begin to own an account: learn what is out, or wait until it ran out.

        Guards against two owners' slices adding up to more than the limit: an
        earlier owner's slices are counted, and entries that can't be asked are
        waited for as long as a slice can last.
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
        row.unlearned.discard(state.me.name)
        self.owned.add(row)
        mine = self._holder.holding(row.key, now)
        if mine is not None:
            me = (state.me.name, state.me.incarnation)
            self._note_holding(row, me, 0, mine, now)
        names = sorted(row.unlearned)
        if not slices.is_settled(self._state, now) or not state.knows_entries:
            row.unlearned.add(_UNKNOWN)
        for name in names:
            address = others[name].peer_address
            state.emit(commands.AskHoldings(name, address, (ask.account,)))
        return row

    def _note_holding(self, row, holder, sequence, holding, now):
        lifetime = self._state.policy.grant_lifetime
        held = Promise(
            holding.grant, holding.held, now + lifetime + slices.OWNER_MARGIN
        )
        row.given_by_holder[holder] = GivenSlice(
            holding.in_use, holding.wanted, sequence, [held]
        )

    def _is_owner(self, account):
        owner = self._state.owner(account)
        return owner is not None and owner.name == self._state.me.name

    def _is_learned(self, ask, now):
        row = self.owned.get((ask.account, ask.resource))
        return row is None or not row.unlearned or now >= row.learned_at

    def _answer_waiting(self, now):
        waiting, self._waiting_asks = self._waiting_asks, []
        for item in waiting:
            learned = all(self._is_learned(ask, now) for ask in item.event.asks)
            if learned or now >= item.until:
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
        if row is None or account is None or holder not in row.given_by_holder:
            return events.SliceGrant(ask.account, ask.resource, 0, 0)
        limit = slices.limit_of(account.contract, ask.resource)
        given = row.given_by_holder[holder]
        if not ask.held and not self._is_learned(ask, now):
            # No answer is better than "no slots": callers may wait for it.
            return events.SliceGrant(ask.account, ask.resource, 0, 0)
        if sequence < given.sequence:
            # A later ask overtook this one, which tells of the past.
            return events.SliceGrant(ask.account, ask.resource, 0, 0)
        if self._is_learned(ask, now):
            slots = self._fair_slots(row, holder, limit, now)
        else:
            slots = min(ask.held, limit)
        self._next_grant += 1
        lifetime = self._state.policy.grant_lifetime
        expires_at = now + lifetime + slices.OWNER_MARGIN
        given.promise(Promise(self._next_grant, slots, expires_at))
        return events.SliceGrant(ask.account, ask.resource, slots, self._next_grant)

    def _fair_slots(self, row, holder, limit, now):
        """Return what an entry may have: its demand, or its share of the limit."""
        given = row.given_by_holder[holder]
        others = [
            other
            for key, other in row.given_by_holder.items()
            if key != holder and (other.lasts(now) or other.in_use)
        ]
        counted = sum(other.counted(now) for other in others)
        free = max(0, limit - self._reserve(row, limit) - counted)
        wanted = given.wanted + sum(other.wanted for other in others)
        share = given.wanted
        if wanted > limit:
            # Rounded up, or what the shares leave over would be used by nobody
            # while all wait; `free` keeps the sum within the limit.
            share = -(-limit * given.wanted // wanted)
        return min(given.wanted, share, free)

    def _reserve(self, row, limit):
        """Return what entries that can't be reached may use as fallback."""
        unreachable = sum(
            entry.state in (events.HostState.SUSPECT, events.HostState.DEAD)
            for entry in self._state.entries
        )
        return unreachable * slices.fallback_share(self._state, limit)

    def _drop_expired(self, now):
        """Drop slices that have run out, with those of entries that are dead."""
        for row in list(self.owned):
            for holder, given in list(row.given_by_holder.items()):
                if not given.lasts(now) and not self._may_still_run(holder, given):
                    del row.given_by_holder[holder]
            if not row.given_by_holder:
                self.owned.remove(row.key)

    def _may_still_run(self, holder, given):
        name, incarnation = holder
        entry = self._state.entries.get(name)
        lost = (
            entry is None
            or entry.state in (events.HostState.LEFT, events.HostState.DEAD)
            or entry.incarnation > incarnation
        )
        return given.in_use > 0 and not lost
