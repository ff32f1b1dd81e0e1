"""Tracks which prompt parts the KV stores hold, and plans fetches and saves.

A prompt part is a segment of a prompt; all but a prompt's last part may be shared as a
prefix by other prompts. A store keeps the KV cache of a part under a salt, which stands
for the weights that computed it and for an isolated account.
"""

import dataclasses
import datetime

from sesamespindle.decide import commands, hashing, storerelay, tables

# A save that no event has confirmed after this long is considered lost, and the part
# may be saved again. Events arrive within 0.1 s; a large part on a slow link takes 1 s.
_SAVE_LOST_AFTER = datetime.timedelta(seconds=3)
# A store that hasn't answered for this long isn't used: an engine that fetches from a
# dead store waits for some hundred milliseconds.
_UNAVAILABLE_AFTER = datetime.timedelta(seconds=2.5)
# The same for a store that this host knows of by gossip alone: a follower gets an
# answer of the store every 1.2 s, and four gossip rounds of 0.4 s propagate that
# through a data centre of 40 hosts.
_RELAYED_UNAVAILABLE_AFTER = datetime.timedelta(seconds=4)
# Number of changed parts of a store that are kept for peers. A peer that lacks older
# changes gets the whole list, which has some hundred parts.
_MAX_KEPT_PARTS = 400
# Share of a store's capacity that saves from here may fill. The rest covers saves that
# other daemons have begun and that this one doesn't know of yet.
_FILL_SHARE = 0.94
# A fetch times out after its expected time multiplied by this factor, plus a fixed
# time, so that a link that has become slow costs less than a prefill of the prompt.
_TIMEOUT_FACTOR = 2.0
_TIMEOUT_BASE = datetime.timedelta(milliseconds=120)
# A transfer between data centres takes this many times as long as within one. Between
# regions it would take ten times as long.
_CROSS_DATA_CENTRE_FACTOR = 2.0
# Parts of superseded weights are freed this long after the last engine has moved on to
# newer ones: no fetch of such a part begins after that, and a fetch ends within a
# second.
_FREE_DELAY = datetime.timedelta(seconds=2)
# A request to free parts is repeated after this, as the last one may have got lost.
_FREE_RETRY_DELAY = datetime.timedelta(seconds=2)
# The most parts that one request frees.
_MAX_FREED_AT_ONCE = 1000


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
class PartEvent:
    """What a store holds of one part now.

    Attributes
    ----------
    salt : str
        What the part is stored under.
    part_id : str
        The part, as in `Part`.
    tokens : int
        Tokens of the part that are stored; 0 if the store no longer has it.
    """

    salt: str
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
    parts : tuple of PartEvent
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
    parts: tuple[PartEvent, ...]
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


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Parts of a store that changed after one position up to another."""

    since: int
    position: int
    parts: tuple[PartEvent, ...]


@dataclasses.dataclass(slots=True)
class StoreRow:
    """A KV store as this daemon knows it.

    Attributes
    ----------
    store : routes.KvStore
        Its entry in the configuration.
    boot : int
        Identifies the start of the store that the row is about.
    tokens_by_part : dict
        The tokens stored of each part, by salt and part id.
    saving_by_part : dict
        The tokens and the time of each save that is planned and not yet confirmed,
        by salt and part id.
    used : int
        Tokens of all stored parts.
    position : int
        The position, in the store's count of changes, up to which they are known.
    changes : list of Changes
        The latest changes without a gap, for peers that lack some of them.
    heard_at : datetime.datetime or None
        When the store last answered; None if it never did, or doesn't answer now.
    status_at : datetime.datetime or None
        When this host or a peer last found out whether the store answers.
    clock_lead : float or None
        Milliseconds by which the engines' clock is ahead of this host's.
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
    status_at: datetime.datetime | None = None
    clock_lead: float | None = None
    is_followed: bool = True

    def is_available(self, now):
        """Return whether the store answered recently enough to be used."""
        limit = _UNAVAILABLE_AFTER if self.is_followed else _RELAYED_UNAVAILABLE_AFTER
        return self.heard_at is not None and now - self.heard_at < limit

    def note_status(self, status_at, is_silent, clock_lead):
        """Note whether the store answered.

        Parameters
        ----------
        status_at : datetime.datetime
            When it answered, or was found not to answer.
        is_silent : bool
            Whether the store didn't answer.
        clock_lead : float or None
            As in the attribute; None to keep the known value.
        """
        self.status_at = status_at
        self.heard_at = None if is_silent else status_at
        if clock_lead is not None:
            self.clock_lead = clock_lead

    def apply(self, update):
        """Apply a whole list or changes that are no older than what is known.

        Parameters
        ----------
        update : StoreChanged or gossip.StoreNews
            From the store itself or from a peer.
        """
        if update.boot != self.boot or update.whole_list:
            # A restarted store holds nothing of what it held before.
            self.boot = update.boot
            self.tokens_by_part.clear()
            self.used = 0
            self.changes.clear()
        else:
            self._keep_changes(update)
        self.position = update.position
        for part in update.parts:
            key = part.salt, part.part_id
            self.saving_by_part.pop(key, None)
            self.used -= self.tokens_by_part.pop(key, 0)
            if part.tokens > 0:
                self.tokens_by_part[key] = part.tokens
                self.used += part.tokens

    def changes_since(self, position):
        """Return the changed parts since a position, or None if some aren't kept."""
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

    def _keep_changes(self, update):
        if update.position <= self.position:
            return
        self.changes.append(Changes(update.since, update.position, update.parts))
        kept = sum(len(change.parts) for change in self.changes)
        while kept > _MAX_KEPT_PARTS:
            kept -= len(self.changes.pop(0).parts)

    def has_free_capacity(self, tokens):
        """Return whether a part of so many tokens may be saved here."""
        saving = sum(count for count, _ in self.saving_by_part.values())
        return self.used + saving + tokens <= self.store.capacity * _FILL_SHARE


class ImportTimes:
    """Expected times to import prompt parts from stores, each calculated once.

    Parameters
    ----------
    engines : routes.Engines
        The service whose engines are compared.
    rows : list of StoreRow
        The stores that may be used.
    """

    def __init__(self, engines, rows):
        self._engines = engines
        self._rows = rows
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
        return _transfer_seconds(self._engines, holder.store, part.tokens, near)


@dataclasses.dataclass(frozen=True, slots=True)
class StoresConfigured:
    """The KV stores of the active configuration.

    A host follows those of them that `storerelay.StoreRelay.followed` names.
    """

    rows: tuple[StoreRow, ...]


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


class KvStores:
    """Keeps a record of what each store holds, and plans transfers.

    A part is fetched only from a store that has reported all of its tokens. Only parts
    of weights that no engine runs any more are freed, so a part that is planned for a
    fetch stays complete until the fetch has ended.

    Parameters
    ----------
    state : world.World
        The shared tables.

    Attributes
    ----------
    rows : tables.Table of StoreRow
        The stores of the active configuration.
    relay : storerelay.StoreRelay
        Exchanges what stores hold with peers.
    """

    def __init__(self, state):
        self._state = state
        self.rows: tables.Table[StoreRow] = tables.Table("name")
        self.relay = storerelay.StoreRelay(state, self)
        self._unused_since_by_store = {}
        self._free_requested_at_by_store = {}

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
                self.rows.add(StoreRow(name, store))
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
                self._remove_freed(event)
            case _:
                return False
        return True

    def _remove_freed(self, event):
        """Remove freed parts, as the store's own event about them may get lost."""
        row = self.rows.get(event.store)
        if row is None or row.boot != event.boot:
            return
        for key in event.parts:
            row.used -= row.tokens_by_part.pop(key, 0)

    def _apply_change(self, event, now):
        row = self.rows.get(event.store)
        if row is None:
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
            row.apply(event)

    def note_restart(self, row, boot, source):
        """Log that a store has restarted, if another start of it was known.

        Parameters
        ----------
        row : StoreRow
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
        fetch_from, save_to, seconds = [], [], 0.0
        for part in parts[:-1]:
            holder = _holder(rows, salt, part, near)
            if holder is not None:
                fetch_from.append(holder.store.address)
                save_to.append(None)
                seconds += _transfer_seconds(engines, holder.store, part.tokens, near)
                continue
            save_to.append(self._plan_save(rows, salt, part, near, now))
            if preferred_row is None or preferred_row is engine_row:
                fetch_from.append(None)
                continue
            fetch_from.append(preferred_row.url)
            seconds += engine_transfer_seconds(
                engines, preferred_row, engine_row, part.tokens
            )
        until = _fetch_deadline_ms(rows, now, seconds) if seconds else None
        return Transfers((*fetch_from, None), (*save_to, None), seconds, until)

    def import_times(self, engines, now):
        """Return the `ImportTimes` for a comparison of a service's engines."""
        return ImportTimes(engines, self._available_rows(now))

    def _available_rows(self, now):
        return [row for row in self.rows if row.store.managed and row.is_available(now)]

    def free_superseded(self, kept_salts, now):
        """Request that stores free the parts of weights that no engine runs.

        Parameters
        ----------
        kept_salts : callable
            Takes a salt and returns whether any engine may run its weights.
        now : datetime.datetime
            The current time.
        """
        for row in self.rows:
            if not row.store.managed or not row.is_available(now):
                continue
            unused = [key for key in row.tokens_by_part if not kept_salts(key[0])]
            if not unused:
                self._unused_since_by_store.pop(row.name, None)
                continue
            since = self._unused_since_by_store.setdefault(row.name, now)
            requested_at = self._free_requested_at_by_store.get(row.name)
            if requested_at is not None and now - requested_at < _FREE_RETRY_DELAY:
                continue
            if now - since >= _FREE_DELAY:
                self._free_requested_at_by_store[row.name] = now
                until = _clock_ms(row, now + _FREE_DELAY)
                self._state.emit(
                    FreeParts(
                        row.name,
                        row.store.address,
                        row.boot,
                        tuple(unused[:_MAX_FREED_AT_ONCE]),
                        until,
                    )
                )

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
        local = [row for row in fitting if row.store.data_centre == near]
        row_by_name = {row.name: row for row in local or fitting}
        name = hashing.first(part.part_id, row_by_name)
        if name is None:
            return None
        row_by_name[name].saving_by_part[key] = part.tokens, now
        return row_by_name[name].store.address


def _holder(rows, salt, part, near):
    """Return a store that has all of a part, preferably in a data centre, or None."""
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


def _fetch_deadline_ms(rows, now, seconds):
    timeout = datetime.timedelta(seconds=seconds) * _TIMEOUT_FACTOR + _TIMEOUT_BASE
    known = [row for row in rows if row.clock_lead is not None]
    if not known:
        return None
    return max(_clock_ms(row, now + timeout) for row in known)


def _clock_ms(row, at):
    if row.clock_lead is None:
        return None
    return int(at.timestamp() * 1000.0 + row.clock_lead)
