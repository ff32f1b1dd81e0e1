"""What the KV stores hold, and what is fetched from and saved to them."""

import dataclasses
import datetime

from sesamespindle.decide import commands, hashing, storerelay, tables

# A save that no event has confirmed after this long was lost, and its part may
# be sent again. Events come within 0.1 s; a large part on a slow link takes 1 s.
_SAVE_LOST_AFTER = datetime.timedelta(seconds=3)
# A store that hasn't answered for this long isn't used: an engine that fetches
# from a dead store waits for some hundred ms.
_SILENT_AFTER = datetime.timedelta(seconds=2.5)
# The same for a store that peers tell of: its follower hears of it every 1.2 s, and
# four rounds of gossip of 0.4 s take that through a data centre of 40 hosts.
_RELAYED_SILENT_AFTER = datetime.timedelta(seconds=4)
# Changes of a store that are kept for peers, in parts; a peer that lacks more gets
# the whole list, which has some hundred.
_KEPT_CHANGES = 400
# Part of a store's capacity that is filled. The rest covers saves that other
# daemons have begun and that this one hasn't heard of.
_FILLED_SHARE = 0.94
# A fetch is given up after this many times its expected time and a fixed part,
# so that a link that turned slow costs less than the prompt's reading would.
_PATIENCE = 2.0
_PATIENCE_FIXED = datetime.timedelta(milliseconds=120)
# Links between data centres take twice as long, between regions ten times.
_CROSS_DATA_CENTRE = 2.0
# Parts of replaced weights are freed this long after the last engine left them;
# a fetch of one can't have begun later and ends within a second.
_FREED_AFTER = datetime.timedelta(seconds=2)
# An order to free that got no answer is given again after this.
_FREE_AGAIN_AFTER = datetime.timedelta(seconds=2)
_FREED_AT_ONCE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, which other prompts may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartEvent:
    """A part is whole at a store, or no longer there.

    Attributes
    ----------
    tokens : int
        Tokens that are stored now; 0 where it is gone.
    """

    salt: str
    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged:
    """What a store tells of its parts.

    Attributes
    ----------
    whole_list : bool
        Whether `parts` is all that it holds, rather than what has changed.
    clock_ms : float or None
        The engines' clock when it told.
    since, position : int
        The positions in the store's own count of changes that this leads from and
        to; 0 where they aren't known.
    """

    store: str
    boot: int
    parts: tuple[PartEvent, ...]
    whole_list: bool = False
    clock_ms: float | None = None
    since: int = 0
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PartsFreed:
    """A store has freed parts as it was told."""

    store: str
    boot: int
    parts: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreHeard:
    """A store answered, though not what it holds."""

    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSilent:
    """A store did not answer."""

    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transfers:
    """Where an engine fetches and saves the parts of one prompt.

    Attributes
    ----------
    fetch_from : tuple of str or None
        A store's address, or None, for each part.
    save_to : tuple of str or None
        A store's address, or None, for each part.
    seconds : float
        The expected time of the fetches.
    until_ms : int or None
        When a fetch is to be given up, on the engines' clock.
    """

    fetch_from: tuple = ()
    save_to: tuple = ()
    seconds: float = 0.0
    until_ms: int | None = None


NO_TRANSFERS = Transfers()


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Parts of a store that changed between two positions."""

    since: int
    position: int
    parts: tuple[PartEvent, ...]


@dataclasses.dataclass(slots=True)
class StoreRow:
    """A KV store as this daemon knows it.

    Attributes
    ----------
    position : int
        Up to where its changes are known, in its own count.
    changes : list of Changes
        The latest ones, each from where the one before ends, for peers.
    heard_at : datetime.datetime or None
        When it last answered; None once it didn't.
    told_at : datetime.datetime or None
        When it was last known whether it answers, here or by a peer.
    is_followed : bool
        Whether this host asks the store itself.
    """

    name: str
    store: object
    boot: int = 0
    tokens_by_part: dict = dataclasses.field(default_factory=dict)
    saving_by_part: dict = dataclasses.field(default_factory=dict)
    used: int = 0
    position: int = 0
    changes: list = dataclasses.field(default_factory=list)
    heard_at: datetime.datetime | None = None
    told_at: datetime.datetime | None = None
    clock_lead: float | None = None
    is_followed: bool = True

    def alive(self, now):
        """Return whether the store has told of itself lately."""
        limit = _SILENT_AFTER if self.is_followed else _RELAYED_SILENT_AFTER
        return self.heard_at is not None and now - self.heard_at < limit

    def note_word(self, told_at, is_silent, clock_lead):
        """Note that the store answered at a time, or didn't."""
        self.told_at = told_at
        self.heard_at = None if is_silent else told_at
        if clock_lead is not None:
            self.clock_lead = clock_lead

    def apply(self, told):
        """Take in a list or changes, of which none is older than what is known.

        Parameters
        ----------
        told : StoreChanged or gossip.StoreNews
            From the store itself or from a peer.
        """
        if told.boot != self.boot or told.whole_list:
            # A store that started anew holds nothing of what it held before.
            self.boot = told.boot
            self.tokens_by_part.clear()
            self.used = 0
            self.changes.clear()
        else:
            self._keep_changes(told)
        self.position = told.position
        for part in told.parts:
            key = part.salt, part.part_id
            self.saving_by_part.pop(key, None)
            self.used -= self.tokens_by_part.pop(key, 0)
            if part.tokens > 0:
                self.tokens_by_part[key] = part.tokens
                self.used += part.tokens

    def changes_since(self, position):
        """Return the parts that changed since a position, or None if not all."""
        if not self.changes or self.changes[0].since > position:
            return None
        return tuple(
            part
            for change in self.changes
            if change.position > position
            for part in change.parts
        )

    def whole_list(self):
        """Return all parts that the store holds."""
        return tuple(
            PartEvent(salt, part_id, tokens)
            for (salt, part_id), tokens in self.tokens_by_part.items()
        )

    def _keep_changes(self, told):
        if told.position <= self.position:
            return
        self.changes.append(Changes(told.since, told.position, told.parts))
        kept = sum(len(change.parts) for change in self.changes)
        while kept > _KEPT_CHANGES:
            kept -= len(self.changes.pop(0).parts)

    def has_room(self, tokens):
        """Return whether a part of this size fits."""
        saving = sum(count for count, _ in self.saving_by_part.values())
        return self.used + saving + tokens <= self.store.capacity * _FILLED_SHARE


class Sources:
    """How long it takes to bring parts of a prompt from stores, each worked out once.

    Parameters
    ----------
    engines : routes.Engines
        The service whose engines are compared.
    rows : list of StoreRow
        The stores that answer.
    """

    def __init__(self, engines, rows):
        self._engines = engines
        self._rows = rows
        self._seconds_by_need = {}

    def seconds(self, salt, part, near):
        """Return the expected time to bring a part to a data centre, or None."""
        need = salt, part.part_id, near
        if need not in self._seconds_by_need:
            self._seconds_by_need[need] = self._look_up(salt, part, near)
        return self._seconds_by_need[need]

    def _look_up(self, salt, part, near):
        holder = _holder(self._rows, salt, part, near)
        if holder is None:
            return None
        return _transfer_seconds(self._engines, holder.store, part.tokens, near)


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStores:
    """Follow these KV stores and no others; each is a `StoreRow`."""

    rows: tuple[StoreRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FreeParts:
    """Have a store free parts, if it hasn't started anew."""

    store: str
    address: str
    boot: int
    parts: tuple[tuple[str, str], ...]
    until_ms: int | None


class KvStores:
    """Keeps what each store holds, and plans transfers.

    A part is fetched only where the store told that it is whole. Nothing is
    freed but parts of weights that no engine runs any more, so a part that
    was planned for a fetch stays whole until the fetch has ended.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self.rows: tables.Table[StoreRow] = tables.Table("name")
        self.relay = storerelay.StoreRelay(state, self)
        self._old_salts_since = {}
        self._free_asked_at = {}

    def adopt(self, configuration):
        """Take the stores of a configuration."""
        stores = {
            service.name: service.kv_store
            for service in configuration.service_by_name.values()
            if service.kv_store is not None
        }
        for row in list(self.rows):
            if row.name not in stores:
                self.rows.remove(row.name)
        for name, store in stores.items():
            row = self.rows.get(name)
            if row is None or row.store.address != store.address:
                self.rows.add(StoreRow(name, store))
            else:
                row.store = store
        self._state.emit(FollowStores(tuple(self.rows)))

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case StoreChanged():
                self._change(event, now)
            case StoreHeard():
                row = self.rows.get(event.store)
                if row is not None and row.heard_at is not None:
                    row.note_word(now, False, None)
            case StoreSilent():
                row = self.rows.get(event.store)
                if row is not None and row.heard_at is not None:
                    row.note_word(now, True, None)
                    self._state.emit(commands.Note("kv_store_silent", row.name))
            case PartsFreed():
                self._forget(event)
            case _:
                return False
        return True

    def _forget(self, event):
        """Forget freed parts; the store's own event of it may get lost."""
        row = self.rows.get(event.store)
        if row is None or row.boot != event.boot:
            return
        for key in event.parts:
            row.used -= row.tokens_by_part.pop(key, 0)

    def _change(self, event, now):
        row = self.rows.get(event.store)
        if row is None:
            return
        if row.heard_at is None:
            self._state.emit(commands.Note("kv_store_heard", row.name))
        clock_lead = None
        if event.clock_ms is not None:
            clock_lead = event.clock_ms - now.timestamp() * 1000.0
        row.note_word(now, False, clock_lead)
        is_known = event.boot == row.boot and 0 < event.position < row.position
        if not is_known:
            # Else peers have told of later changes while the store was asked.
            row.apply(event)

    def plan(self, engines, engine_row, home_row, salt, parts, now):
        """Return the `Transfers` for a prompt's shared parts at an engine.

        What no store holds is fetched from the context's home, if that is
        another engine: it may hold the part, and if not a miss costs a
        millisecond.

        Parameters
        ----------
        engines : routes.Engines
            The engine's service.
        engine_row : world.TargetRow
            The engine.
        home_row : world.TargetRow or None
            Where prompts of this context usually go.
        salt : str
            What the engine stores the parts under.
        parts : tuple of Part
            All parts of the prompt; the last one is its own.
        """
        if len(parts) < 2:
            return NO_TRANSFERS
        rows = self._alive_rows(now)
        near = engine_row.data_centre
        fetch_from, save_to, seconds = [], [], 0.0
        for part in parts[:-1]:
            holder = _holder(rows, salt, part, near)
            if holder is not None:
                fetch_from.append(holder.store.address)
                save_to.append(None)
                seconds += _transfer_seconds(engines, holder.store, part.tokens, near)
                continue
            save_to.append(self._save(rows, salt, part, near, now))
            if home_row is None or home_row is engine_row:
                fetch_from.append(None)
                continue
            fetch_from.append(home_row.url)
            seconds += engine_seconds(engines, home_row, engine_row, part.tokens)
        until = _until(rows, now, seconds) if seconds else None
        return Transfers((*fetch_from, None), (*save_to, None), seconds, until)

    def sources(self, engines, now):
        """Return the `Sources` for one choice among a service's engines."""
        return Sources(engines, self._alive_rows(now))

    def _alive_rows(self, now):
        return [row for row in self.rows if row.store.managed and row.alive(now)]

    def free_replaced(self, kept_salts, now):
        """Free the parts whose salt belongs to weights that nobody runs.

        Parameters
        ----------
        kept_salts : callable
            Whether a salt belongs to weights that any engine may run.
        """
        for row in self.rows:
            if not row.store.managed or not row.alive(now):
                continue
            old = [key for key in row.tokens_by_part if not kept_salts(key[0])]
            if not old:
                self._old_salts_since.pop(row.name, None)
                continue
            since = self._old_salts_since.setdefault(row.name, now)
            asked_at = self._free_asked_at.get(row.name)
            if asked_at is not None and now - asked_at < _FREE_AGAIN_AFTER:
                continue
            if now - since >= _FREED_AFTER:
                self._free_asked_at[row.name] = now
                until = _clock_ms(row, now + _FREED_AFTER)
                self._state.emit(
                    FreeParts(
                        row.name,
                        row.store.address,
                        row.boot,
                        tuple(old[:_FREED_AT_ONCE]),
                        until,
                    )
                )

    def _save(self, rows, salt, part, near, now):
        """Return where to save a part, and count on it being saved there."""
        key = salt, part.part_id
        for row in rows:
            saving = row.saving_by_part.get(key)
            if saving is not None and now - saving[1] < _SAVE_LOST_AFTER:
                return None
        for row in rows:
            row.saving_by_part.pop(key, None)
        chosen = [row for row in rows if row.has_room(part.tokens)]
        local = [row for row in chosen if row.store.data_centre == near]
        row_by_name = {row.name: row for row in local or chosen}
        name = hashing.first(part.part_id, row_by_name)
        if name is None:
            return None
        row_by_name[name].saving_by_part[key] = part.tokens, now
        return row_by_name[name].store.address


def _holder(rows, salt, part, near):
    """Return a store that has all of a part, a near one if there is one."""
    key = salt, part.part_id
    holders = [row for row in rows if row.tokens_by_part.get(key, 0) >= part.tokens]
    return min(
        holders,
        key=lambda row: (row.store.data_centre != near, row.name),
        default=None,
    )


def _transfer_seconds(engines, store, tokens, data_centre):
    rate = min(engines.link_bits_per_second, store.link_bits_per_second)
    seconds = tokens * engines.kv_token_bytes * 8.0 / rate
    if store.data_centre != data_centre:
        seconds *= _CROSS_DATA_CENTRE
    return seconds + store.first_byte.total_seconds()


def engine_seconds(engines, source_row, engine_row, tokens):
    """Return the expected time to bring tokens from one engine to another."""
    seconds = tokens * engines.kv_token_bytes * 8.0 / engines.link_bits_per_second
    if source_row.data_centre != engine_row.data_centre:
        seconds *= _CROSS_DATA_CENTRE
    return seconds


def _until(rows, now, seconds):
    patience = datetime.timedelta(seconds=seconds) * _PATIENCE + _PATIENCE_FIXED
    known = [row for row in rows if row.clock_lead is not None]
    if not known:
        return None
    return max(_clock_ms(row, now + patience) for row in known)


def _clock_ms(row, at):
    if row.clock_lead is None:
        return None
    return int(at.timestamp() * 1000.0 + row.clock_lead)
