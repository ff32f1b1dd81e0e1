"""Plans which prompt parts engines fetch from KV stores and save to them."""

import dataclasses
import datetime

from sesamespindle.decide import (
    commands,
    hashing,
    storefrees,
    storerelay,
    storerows,
    tables,
)

# A save that no event has confirmed after this long is considered lost, and the part
# may be saved again. Events arrive within 0.1 s; a large part on a slow link takes 1 s.
_SAVE_LOST_AFTER = datetime.timedelta(seconds=3)
# A fetch times out after its expected time multiplied by this factor, plus a fixed
# time, so that a link that has become slow costs less than a prefill of the prompt.
_TIMEOUT_FACTOR = 2.0
_TIMEOUT_BASE = datetime.timedelta(milliseconds=120)
# A transfer between data centres takes this many times as long as within one. Between
# regions it would take ten times as long.
_CROSS_DATA_CENTRE_FACTOR = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, which other prompts may share as a prefix.

    Attributes
    ----------
    part_id : str
        Identifies the part's content.
    tokens : int
        The length of the part.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged:
    """A store has answered with its parts, or with changes of them.

    Attributes
    ----------
    store : str
        The store's name.
    boot : int
        Identifies the start of the store; it holds nothing from before that.
    parts : tuple of storerows.PartEvent
        All parts, or those that have changed.
    whole_list : bool
        Whether `parts` is all that the store holds, rather than what has changed.
    clock_ms : float or None
        The engines' clock at the time of the answer, in milliseconds since the epoch.
    since, position : int
        The store counts its changes. `parts` are the changes after `since` up to
        `position`; both are 0 if unknown.
    """

    store: str
    boot: int
    parts: tuple[storerows.PartEvent, ...]
    whole_list: bool = False
    clock_ms: float | None = None
    since: int = 0
    position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PartsFreed:
    """A store has freed parts on request.

    Attributes
    ----------
    store : str
        The store's name.
    boot : int
        Identifies the start of the store.
    parts : tuple of (str, str)
        The salt and part id of each part.
    """

    store: str
    boot: int
    parts: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRefused:
    """A store refused a request for what it holds, which shows that it responds."""

    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """A store did not answer."""

    store: str


@dataclasses.dataclass(frozen=True, slots=True)
class Transfers:
    """Where an engine fetches and saves the parts of one prompt.

    Attributes
    ----------
    fetch_from : tuple of str or None
        For each part the address of a store or engine, or None to fetch it nowhere.
    save_to : tuple of str or None
        For each part the address of a store, or None to save it nowhere.
    seconds : float
        The expected time of all fetches together.
    until_ms : int or None
        When the fetches time out, in milliseconds of the engines' clock; None for no
        timeout.
    """

    fetch_from: tuple = ()
    save_to: tuple = ()
    seconds: float = 0.0
    until_ms: int | None = None


NO_TRANSFERS = Transfers()


class ImportTimes:
    """Expected times to import prompt parts from stores, each calculated once.

    Parameters
    ----------
    engines : routes.Engines
        The service whose engines are compared.
    rows : list of storerows.StoreRow
        The stores that may be used.
    now : datetime.datetime
        The current time.
    """

    def __init__(self, engines, rows, now):
        self._engines = engines
        self._rows = rows
        self._now = now
        self._seconds_by_key = {}

    def seconds(self, salt, part, near):
        """Return the expected seconds to import a part, or None if no store has it.

        Parameters
        ----------
        salt : str
            What the part is stored under.
        part : Part
            The part.
        near : str
            The data centre of the engine.
        """
        import_key = salt, part.part_id, near
        if import_key not in self._seconds_by_key:
            self._seconds_by_key[import_key] = self._look_up(salt, part, near)
        return self._seconds_by_key[import_key]

    def _look_up(self, salt, part, near):
        holder = _holder(self._rows, salt, part, near)
        if holder is None:
            return None
        seconds = _transfer_seconds(self._engines, holder.store, part.tokens, near)
        may_fetch = holder.may_fetch((salt, part.part_id), seconds, self._now)
        return seconds if may_fetch else None


@dataclasses.dataclass(frozen=True, slots=True)
class StoresConfigured:
    """The KV stores of the active configuration.

    A host follows those of them that `storerelay.StoreRelay.followed` names.
    """

    rows: tuple[storerows.StoreRow, ...]


class KvStores:
    """Keeps a record of what each store holds, and plans transfers.

    A part is fetched only from a store that has reported all of its tokens, and within
    the lease of what is known of the store, see `storerows`. Only parts are freed that
    nobody fetches any more, see `cachesalts`.

    Parameters
    ----------
    state : world.World
        The shared tables.

    Attributes
    ----------
    rows : tables.Table of storerows.StoreRow
        The stores of the active configuration.
    relay : storerelay.StoreRelay
        Exchanges what stores hold with peers.
    frees : storefrees.StoreFrees
        Has stores free what nobody uses any more.
    saves_held_back : int
        Parts that weren't saved as their store has restarted or dropped them lately.
    """

    def __init__(self, state):
        self._state = state
        self.rows: tables.Table[storerows.StoreRow] = tables.Table("name")
        self.relay = storerelay.StoreRelay(state, self)
        self.frees = storefrees.StoreFrees(state, self.rows)
        self.saves_held_back = 0

    def adopt(self, configuration):
        """Use the stores of a configuration from now on.

        What is known of a store is kept as long as its address stays the same.
        """
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
                self.rows.add(storerows.StoreRow(name, store))
            else:
                row.store = store
        self._state.emit(StoresConfigured(tuple(self.rows)))

    def handle(self, event, now):
        """Process an event of this module; return False for any other event."""
        match event:
            case StoreChanged():
                self._apply_change(event, now)
            case StoreRefused():
                row = self.rows.get(event.store)
                if row is not None and row.heard_at is not None:
                    row.note_status(now, False, None)
            case StoreUnavailable():
                row = self.rows.get(event.store)
                if row is not None and row.heard_at is not None:
                    row.note_status(now, True, None)
                    self._state.emit(commands.Note("kv_store_silent", row.name))
            case PartsFreed():
                self._remove_freed(event, now)
            case _:
                return False
        return True

    def _remove_freed(self, event, now):
        """Remove freed parts, as the store's own event about them may get lost."""
        row = self.rows.get(event.store)
        if row is None or row.boot != event.boot:
            return
        for key in event.parts:
            row.remove(key, now)

    def _apply_change(self, event, now):
        row = self.rows.get(event.store)
        if row is None:
            return
        if row.is_outdated(event.boot, event.clock_ms):
            detail = f"start {event.boot}, known is {row.boot}"
            self._state.emit(commands.Note("kv_store_answer_late", row.name, detail))
            return
        if row.heard_at is None:
            self._state.emit(commands.Note("kv_store_heard", row.name))
        clock_lead = None
        if event.clock_ms is not None:
            clock_lead = event.clock_ms - now.timestamp() * 1000.0
        row.note_status(now, False, clock_lead)
        is_known = event.boot == row.boot and 0 < event.position < row.position
        if not is_known:
            # The answer of the store is not older than what is known. It is older if
            # peers sent later changes while the request to the store was in flight.
            self.note_restart(row, event.boot, "the store")
            row.apply(event, event.clock_ms, now)
        row.renew_lease(event.clock_ms, now)
        row.date_parts(event.clock_ms)

    def note_restart(self, row, boot, source):
        """Log that a store has restarted, if another start of it was known.

        Parameters
        ----------
        row : storerows.StoreRow
            The store, as known until now.
        boot : int
            Identifies the start that it is known by now.
        source : str
            Who told of it.
        """
        if row.boot not in (0, boot):
            detail = f"start {boot} after {row.boot}, told by {source}"
            self._state.emit(commands.Note("kv_store_restarted", row.name, detail))

    def plan(self, engines, engine_row, preferred_row, salt, parts, now):
        """Return the `Transfers` for a prompt's shared parts at an engine.

        A part that no store holds is fetched from the context's preferred engine, if
        that is another one: it may hold the part, and a miss costs only a
        millisecond. Such a part is also saved to a store.

        Parameters
        ----------
        engines : routes.Engines
            The engine's service.
        engine_row : world.TargetRow
            The engine.
        preferred_row : world.TargetRow or None
            The preferred engine of the prompt's context.
        salt : str
            What the engine stores the parts under.
        parts : tuple of Part
            All parts of the prompt. The last one is the prompt's own and is neither
            fetched nor saved.
        now : datetime.datetime
            The current time.
        """
        if len(parts) < 2:
            return NO_TRANSFERS
        rows = self._available_rows(now)
        near = engine_row.data_centre
        fetch_from, save_to, seconds, lease_ends = [], [], 0.0, []
        for part in parts[:-1]:
            holder = _holder(rows, salt, part, near)
            if holder is None:
                save_to.append(self._plan_save(rows, salt, part, near, now))
            else:
                save_to.append(None)
                fetched = seconds + _transfer_seconds(
                    engines, holder.store, part.tokens, near
                )
                if holder.may_fetch((salt, part.part_id), fetched, now):
                    fetch_from.append(holder.store.address)
                    seconds = fetched
                    lease_ends.append(holder.lease_end_ms())
                    continue
            if preferred_row is None or preferred_row is engine_row:
                fetch_from.append(None)
                continue
            fetch_from.append(preferred_row.url)
            seconds += engine_transfer_seconds(
                engines, preferred_row, engine_row, part.tokens
            )
        until = _fetch_deadline_ms(rows, now, seconds, lease_ends) if seconds else None
        return Transfers((*fetch_from, None), (*save_to, None), seconds, until)

    def import_times(self, engines, now):
        """Return the `ImportTimes` for a comparison of a service's engines."""
        return ImportTimes(engines, self._available_rows(now), now)

    def _available_rows(self, now):
        return [row for row in self.rows if row.store.managed and row.is_available(now)]

    def _plan_save(self, rows, salt, part, near, now):
        """Return the address of the store to save a part to, or None.

        The save is recorded, so that later prompts neither save the part again nor
        count on the capacity that it will use. Stores in the engine's data centre are
        preferred.
        """
        key = salt, part.part_id
        for row in rows:
            saving = row.saving_by_part.get(key)
            if saving is not None and now - saving[1] < _SAVE_LOST_AFTER:
                return None
        for row in rows:
            row.saving_by_part.pop(key, None)
        fitting = [row for row in rows if row.has_free_capacity(part.tokens)]
        allowed = [row for row in fitting if row.may_save(key, now)]
        if fitting and not allowed:
            self.saves_held_back += 1
        local = [row for row in allowed if row.store.data_centre == near]
        row_by_name = {row.name: row for row in local or allowed}
        name = hashing.first(part.part_id, row_by_name)
        if name is None:
            return None
        row_by_name[name].saving_by_part[key] = part.tokens, now
        return row_by_name[name].store.address


def _holder(rows, salt, part, near):
    """Return a store that has all of a part, or None.

    One from which it may be fetched already comes first, then one in the data centre.
    """
    key = salt, part.part_id
    holders = [row for row in rows if row.tokens_by_part.get(key, 0) >= part.tokens]
    return min(
        holders,
        key=lambda row: (
            not row.is_settled(key),
            row.store.data_centre != near,
            row.name,
        ),
        default=None,
    )


def _transfer_seconds(engines, store, tokens, data_centre):
    rate = min(engines.link_bits_per_second, store.link_bits_per_second)
    seconds = tokens * engines.kv_token_bytes * 8.0 / rate
    if store.data_centre != data_centre:
        seconds *= _CROSS_DATA_CENTRE_FACTOR
    return seconds + store.first_byte.total_seconds()


def engine_transfer_seconds(engines, source_row, engine_row, tokens):
    """Return the expected seconds to import KV cache from another engine.

    Parameters
    ----------
    engines : routes.Engines
        The service of both engines.
    source_row, engine_row : world.TargetRow
        The engine that holds the KV cache, and the one that imports it.
    tokens : int
        The size of the KV cache.
    """
    seconds = tokens * engines.kv_token_bytes * 8.0 / engines.link_bits_per_second
    if source_row.data_centre != engine_row.data_centre:
        seconds *= _CROSS_DATA_CENTRE_FACTOR
    return seconds


def _fetch_deadline_ms(rows, now, seconds, lease_ends):
    """Return when fetches time out, no later than the leases of their stores."""
    timeout = datetime.timedelta(seconds=seconds) * _TIMEOUT_FACTOR + _TIMEOUT_BASE
    known = [row for row in rows if row.clock_lead is not None]
    if not known:
        return None
    expected = max(row.clock_ms(now + timeout) for row in known)
    return min([expected, *lease_ends])
