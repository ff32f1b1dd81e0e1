"""Bringing all engines to the named weight versions, a few at a time."""

import dataclasses
import datetime

from sesamespindle.decide import commands, lives

# Engines of a service that load weights at once. The users' loads slow down
# beyond two fifths of the engines.
_AT_ONCE_SHARE = 0.4
# How often the state of an engine that has an order is read.
_REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
# The same of an engine that gave its place up: it may be away for long, and each
# read is charged for.
_ASIDE_INTERVAL = datetime.timedelta(milliseconds=600)
# An order of which the engine shows nothing for this long is in doubt; the users'
# engines show it in their reports within 0.2 s. An engine that answers no report
# for as long makes room for others too.
_ORDER_LOST_AFTER = datetime.timedelta(milliseconds=1200)
# A load that was known to run keeps its place until nothing was seen of it for this
# long, twenty reports: the engine may be cut off, and load on.
_STUCK_AFTER = datetime.timedelta(seconds=4)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReport:
    """Read what an engine says of its orders and versions."""

    target: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderVersion:
    """Order an engine to load a version once its runs have finished.

    Attributes
    ----------
    expected_orders : int
        Orders that the engine must have taken before, so that an order which
        arrives late or twice does nothing.
    """

    target: str
    address: str
    model: str
    version: int
    epoch: int
    expected_orders: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """An engine has said that it carries out an order.

    Attributes
    ----------
    expected_orders : int
        The order's, by which it is known again.
    """

    target: str
    expected_orders: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """What an engine says of itself.

    Attributes
    ----------
    orders : int
        Orders that it has accepted since it started.
    busy : bool
        Whether one is in progress.
    born : int
        When its life began, as in `lives.Life`.
    """

    target: str
    orders: int
    busy: bool
    version_by_model: dict[str, int]
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportMissing:
    """An engine did not answer."""

    target: str


@dataclasses.dataclass(slots=True)
class _Loading:
    """An engine under way to a version.

    Attributes
    ----------
    placed_at : datetime.datetime or None
        When it got the place that it has among those that load at once.
    set_aside_at : datetime.datetime or None
        When it last gave its place up.
    tried_at : datetime.datetime or None
        When the order that is out was first given in this place.
    ready_after : int or None
        Its count of orders, if it is to be ordered once the lease lets us.
    running_at : datetime.datetime or None
        When it was last known to load, if it wasn't known not to since.
    """

    life: lives.Life
    model: str
    version: int
    placed_at: datetime.datetime | None
    asked_at: datetime.datetime | None = None
    set_aside_at: datetime.datetime | None = None
    tried_at: datetime.datetime | None = None
    ordered_at: datetime.datetime | None = None
    ordered_after: int = -1
    ready_after: int | None = None
    running_at: datetime.datetime | None = None
    doubt_noted: bool = False


class Rollout:
    """Orders engines while this host holds the lease.

    Parameters
    ----------
    state : world.World
        The shared tables.
    weights : weights.Weights
        What is to run.
    lease : lease.Lease
        Whether this host may order.
    """

    def __init__(self, state, weights, lease):
        self._state = state
        self._weights = weights
        self._lease = lease
        self._loading_by_target = {}

    def tick(self, now):
        """Begin loads, and follow those under way."""
        if not self._lease.is_held(now):
            self._loading_by_target.clear()
            return
        for name, loading in list(self._loading_by_target.items()):
            row = self._state.target_in(loading.life)
            if row is None or self._is_over(row, loading, now):
                del self._loading_by_target[name]
            else:
                self._follow(row, loading, now)
        for model in self._weights.models():
            self._begin(model, now)
        if self._loading_by_target:
            # While the lease is made to let us order, the reports are read.
            self._lease.ask_to_act(now)

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case Reported():
                self._reported(event, now)
            case OrderAccepted():
                loading = self._loading_by_target.get(event.target)
                if loading and loading.ordered_after == event.expected_orders:
                    self._note_running(loading, now)
            case ReportMissing():
                pass
            case _:
                return False
        return True

    def _begin(self, model, now):
        by_pool = {}
        known = self._state.service_names
        for row in self._state.targets:
            if known and row.pool not in known:
                # A record by another writer; its target would be asked for ever.
                continue
            if model in row.version_by_model:
                by_pool.setdefault(row.pool, []).append(row)
        for rows in by_pool.values():
            self._give_places(rows, model, now)

    def _give_places(self, rows, model, now):
        """Have engines of one service begin, as many at once as may load.

        Guards against engines that get no order while others, which answer no
        report or show nothing of their orders, hold all places: they were dropped
        after seconds, and began again at once as the first in order (of five engines
        the last had its first order 11.9 s after the naming; now all have one within
        2.6 s where two show nothing). Such a place goes to an engine that waits,
        first to one that wasn't tried. An order in
        doubt may still be carried out, so one more engine may load at once then;
        that slows the loads down, where the others would not have begun at all.
        """
        most = max(1, int(len(rows) * _AT_ONCE_SHARE))
        known = [self._loading_by_target.get(row.name) for row in rows]
        placed = [loading for loading in known if loading and loading.placed_at]
        placed.sort(key=lambda loading: loading.placed_at)
        waiting = self._waiting(rows, model)
        free = max(0, most - len(placed))
        fruitless = [loading for loading in placed if _is_fruitless(loading, now)]
        yielding = fruitless[: max(0, len(waiting) - free)]
        for loading in yielding:
            self._set_aside(loading, now)
        free = max(0, most - len(placed) + len(yielding))
        for row in waiting[:free]:
            self._place(row, model, now)

    def _waiting(self, rows, model):
        """Return engines that are to load and have no place, in their turn."""
        untried, aside = [], []
        for row in rows:
            if not _may_load(row) or not self._is_behind(row, model):
                continue
            loading = self._loading_by_target.get(row.name)
            if loading is None:
                untried.append(row)
            elif loading.model == model and loading.placed_at is None:
                aside.append(row)
        untried.sort(key=lambda row: (row.running_here, row.name))
        aside.sort(key=lambda row: self._loading_by_target[row.name].set_aside_at)
        return untried + aside

    def _place(self, row, model, now):
        loading = self._loading_by_target.get(row.name)
        if loading is None:
            loading = _Loading(row.life, model, self._weights.named(model), now)
            self._loading_by_target[row.name] = loading
        loading.placed_at, loading.tried_at = now, None
        self._ask(row, loading, now)

    def _set_aside(self, loading, now):
        why = "no report"
        if loading.running_at is not None:
            why = "nothing seen of its load"
        elif loading.tried_at is not None:
            why = "its order is in doubt"
        loading.placed_at, loading.set_aside_at = None, now
        loading.running_at = None
        self._state.emit(commands.Note("place_given_up", loading.life.name, why))

    def _follow(self, row, loading, now):
        self._note_doubt(loading, now)
        if loading.ready_after is not None:
            self._order(row, loading, loading.ready_after, now)
        has_place = loading.placed_at is not None
        pause = _REPORT_INTERVAL if has_place else _ASIDE_INTERVAL
        if now - loading.asked_at >= pause:
            self._ask(row, loading, now)

    def _note_doubt(self, loading, now):
        """Tell once for an order that nothing is seen of it."""
        if loading.ordered_at is None or loading.running_at or loading.doubt_noted:
            return
        if now - loading.ordered_at >= _ORDER_LOST_AFTER:
            loading.doubt_noted = True
            detail = f"version {loading.version} after {loading.ordered_after} orders"
            note = commands.Note("order_in_doubt", loading.life.name, detail)
            self._state.emit(note)

    def _note_running(self, loading, now):
        """Take in that an engine loads; it counts, also if it gave its place up."""
        loading.running_at = now
        if loading.placed_at is None:
            loading.placed_at = now
            self._state.emit(commands.Note("late_load", loading.life.name))

    def _ask(self, row, loading, now):
        loading.asked_at = now
        self._state.emit(ReadReport(row.name, row.url))

    def _reported(self, event, now):
        row = self._state.target_in(lives.Life(event.target, event.born))
        if row is None:
            # The report is of a life that is over, or not yet listed.
            return
        for model, version in event.version_by_model.items():
            row.learn_version(model, version)
        loading = self._loading_by_target.get(event.target)
        if loading is None or loading.life != row.life or not self._lease.is_held(now):
            return
        if not self._is_behind(row, loading.model):
            del self._loading_by_target[event.target]
            row.switching_until = None
            self._state.emit(
                commands.Note("version_loaded", row.name, str(loading.version))
            )
            return
        loading.ready_after = None
        if event.busy:
            row.switching_until = now + 2 * _REPORT_INTERVAL
            self._note_running(loading, now)
            return
        loading.running_at = None
        if loading.placed_at is not None and self._may_order(loading, event, now):
            self._order(row, loading, event.orders, now)

    def _may_order(self, loading, event, now):
        """Return whether an order is due.

        An order without an answer may have been taken and not show yet, or may
        be carried out seconds later. It is given again with the same count of
        earlier orders, so that at most one of them takes effect. So is one to a
        version that was named since, without waiting.
        """
        if loading.ordered_at is None or event.orders != loading.ordered_after:
            return True
        if loading.version < self._weights.named(loading.model):
            return True
        return now - loading.ordered_at >= _ORDER_LOST_AFTER

    def _order(self, row, loading, orders, now):
        if not self._lease.may_act(now):
            loading.ready_after = orders
            return
        version = self._weights.named(loading.model)
        is_repeat = (orders, version) == (loading.ordered_after, loading.version)
        if loading.tried_at is None or not is_repeat:
            loading.tried_at = now
        loading.ready_after = None
        loading.doubt_noted = False
        self._lease.note_act(now)
        loading.ordered_at = now
        loading.ordered_after = orders
        loading.version = version
        row.switching_until = now + 2 * _REPORT_INTERVAL
        self._state.emit(
            OrderVersion(
                row.name,
                row.url,
                loading.model,
                loading.version,
                self._lease.epoch,
                orders,
            )
        )

    def _is_over(self, row, loading, now):
        """Return whether an engine needs no more looking after."""
        if not self._is_behind(row, loading.model):
            return True
        return not _may_load(row) and not _is_running(loading, now)

    def _is_behind(self, row, model):
        """Return whether an engine's last sure version is older than the named.

        Guards against an engine that is left behind: it refused a request, is then
        thought to run the next version, which may be the named one, and would need
        no order by that guess. Its report costs little and tells.
        """
        return row.version_by_model.get(model, 1) < self._weights.named(model)


def _may_load(row):
    return row.listed and not row.leaving and row.missing_since is None


def _is_running(loading, now):
    running_at = loading.running_at
    return running_at is not None and now - running_at <= _STUCK_AFTER


def _is_fruitless(loading, now):
    """Return whether nothing is known to come of the place that an engine has.

    A load that is known to run keeps its place, for as long as word of it comes.
    """
    if loading.running_at is not None:
        return not _is_running(loading, now)
    if loading.ready_after is not None:
        return False
    since = loading.tried_at or loading.placed_at
    return now - since >= _ORDER_LOST_AFTER
