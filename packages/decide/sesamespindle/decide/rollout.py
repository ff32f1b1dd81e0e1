"""Rolls announced weight versions out to the engines, a few engines at a time.

The host that holds the lease orders engines to load a version. An engine needs a load
slot first, of which a service has a limited number, and keeps the slot until it has
loaded the version. But if other engines wait and nothing shows that it loads, it loses
the slot and is set aside: it waits for its next turn, and its report is still read.
"""

import dataclasses
import datetime

from sesamespindle.decide import commands, incarnations

# Share of a service's engines that load weights at once. Loads slow down when more
# than two fifths of the engines load.
_CONCURRENT_SHARE = 0.4
# Interval between reads of the report of an engine with a load slot.
_REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
# The same for an engine that was set aside: it may be unavailable for long, and each
# read is charged for.
_SET_ASIDE_INTERVAL = datetime.timedelta(milliseconds=600)
# An order is in doubt if the engine's reports show nothing of it for this long; engines
# show an order within 0.2 s. An engine whose order is in doubt, or that answers no
# report request for as long, yields its load slot to others.
_ORDER_DOUBT_AFTER = datetime.timedelta(milliseconds=1200)
# An engine that was known to load keeps its slot until nothing was seen of it for this
# long, the time of twenty reports: it may be unreachable and still be loading.
_LOAD_LOST_AFTER = datetime.timedelta(seconds=4)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReport:
    """Read an engine's report of its orders and versions."""

    target: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class OrderVersion:
    """Order an engine to load a version once its runs have finished.

    Attributes
    ----------
    target : str
        The engine's name.
    address : str
        Its address.
    model : str
        The model.
    version : int
        The version to load.
    epoch : int
        The epoch of this host's lease.
    expected_orders : int
        How many orders the engine must have accepted before. It refuses the order
        otherwise, so an order that arrives late or twice has no effect.
    """

    target: str
    address: str
    model: str
    version: int
    epoch: int
    expected_orders: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAccepted:
    """An engine has answered that it carries out an order.

    Attributes
    ----------
    target : str
        The engine's name.
    expected_orders : int
        The value in the order, which identifies it.
    """

    target: str
    expected_orders: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reported:
    """An engine has answered with its report.

    Attributes
    ----------
    target : str
        The engine's name.
    orders : int
        Number of orders that the engine has accepted since it started.
    busy : bool
        Whether an order is in progress.
    version_by_model : dict of str to int
        The weight versions that it runs.
    born : int
        The start of its incarnation, as in `incarnations.TargetIncarnation`.
    """

    target: str
    orders: int
    busy: bool
    version_by_model: dict[str, int]
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportMissing:
    """An engine didn't answer a request for its report."""

    target: str


@dataclasses.dataclass(slots=True)
class _Loading:
    """An engine that is to load a version.

    Attributes
    ----------
    incarnation : incarnations.TargetIncarnation
        The engine's incarnation.
    model, version : str, int
        What it was last ordered to load, or is to be ordered to.
    slot_since : datetime.datetime or None
        When the engine got its load slot; None without one.
    report_requested_at : datetime.datetime or None
        When its report was last requested.
    set_aside_at : datetime.datetime or None
        When the engine last lost its slot.
    first_ordered_at : datetime.datetime or None
        When the latest order was first sent while the engine has this slot.
        Repetitions of an order don't count.
    ordered_at : datetime.datetime or None
        When an order was last sent.
    ordered_after : int
        The `expected_orders` of that order.
    order_due_after : int or None
        The engine's count of orders, while an order waits until the lease permits it.
    loading_seen_at : datetime.datetime or None
        When the engine was last known to load; None again once a report shows that it
        doesn't, or once the engine is set aside.
    doubt_noted : bool
        Whether the event log has a note that the latest order is in doubt.
    """

    incarnation: incarnations.TargetIncarnation
    model: str
    version: int
    slot_since: datetime.datetime | None
    report_requested_at: datetime.datetime | None = None
    set_aside_at: datetime.datetime | None = None
    first_ordered_at: datetime.datetime | None = None
    ordered_at: datetime.datetime | None = None
    ordered_after: int = -1
    order_due_after: int | None = None
    loading_seen_at: datetime.datetime | None = None
    doubt_noted: bool = False


class Rollout:
    """Orders engines to load versions while this host holds the lease.

    Parameters
    ----------
    state : world.World
        The shared tables.
    weights : weights.Weights
        The version that each model is to run.
    lease : lease.Lease
        Whether this host may send orders.
    """

    def __init__(self, state, weights, lease):
        self._state = state
        self._weights = weights
        self._lease = lease
        self._loading_by_target = {}

    def tick(self, now):
        """Start loads, and follow those in progress."""
        if not self._lease.is_held(now):
            self._loading_by_target.clear()
            return
        for name, loading in list(self._loading_by_target.items()):
            row = self._state.target_in(loading.incarnation)
            if row is None or self._is_finished(row, loading, now):
                del self._loading_by_target[name]
            else:
                self._follow(row, loading, now)
        for model in self._weights.models():
            self._start_loads(model, now)
        if self._loading_by_target:
            # The reports are read while the lease is being made active for orders.
            self._lease.request_act(now)

    def handle(self, event, now):
        """Process an event of this module; return False for any other event."""
        match event:
            case Reported():
                self._reported(event, now)
            case OrderAccepted():
                loading = self._loading_by_target.get(event.target)
                if loading and loading.ordered_after == event.expected_orders:
                    self._note_loading(loading, now)
            case ReportMissing():
                # A missing report needs no handling: an engine that shows no progress
                # loses its slot by time.
                pass
            case _:
                return False
        return True

    def _start_loads(self, model, now):
        by_pool = {}
        known = self._state.service_names
        for row in self._state.targets:
            if known and row.pool not in known:
                # Another writer made the record of this target. The configuration
                # doesn't name its service, and its report would be read forever.
                continue
            if model in row.version_by_model:
                by_pool.setdefault(row.pool, []).append(row)
        for rows in by_pool.values():
            self._assign_slots(rows, model, now)

    def _assign_slots(self, rows, model, now):
        """Give load slots to waiting engines of one service, as many as may load.

        Guards against engines that get no order because others hold all slots, which
        answer no report request or show nothing of their orders. If those kept their
        slots for seconds and then got them again before the others, the last of five
        engines got its first order 11.9 s after the announcement. So their slots go to
        waiting engines, first to those not tried yet. With two such engines out of
        five, all five then get an order within 2.6 s.

        An order in doubt may still be carried out, so one engine more than permitted
        may load at once. That slows loads down, but otherwise the waiting engines
        wouldn't start at all.
        """
        max_loading = max(1, int(len(rows) * _CONCURRENT_SHARE))
        known = [self._loading_by_target.get(row.name) for row in rows]
        with_slot = [loading for loading in known if loading and loading.slot_since]
        with_slot.sort(key=lambda loading: loading.slot_since)
        waiting = self._waiting(rows, model)
        free = max(0, max_loading - len(with_slot))
        stalled = [loading for loading in with_slot if _shows_no_progress(loading, now)]
        yielding = stalled[: max(0, len(waiting) - free)]
        for loading in yielding:
            self._set_aside(loading, now)
        free = max(0, max_loading - len(with_slot) + len(yielding))
        for row in waiting[:free]:
            self._assign_slot(row, model, now)

    def _waiting(self, rows, model):
        """Return the engines that wait for a load slot, in the order of their turns.

        Untried engines go first, those with the fewest requests from here before the
        others; then engines that were set aside, the earliest first.
        """
        untried, set_aside = [], []
        for row in rows:
            if not _may_load(row) or not self._is_behind(row, model):
                continue
            loading = self._loading_by_target.get(row.name)
            if loading is None:
                untried.append(row)
            elif loading.model == model and loading.slot_since is None:
                set_aside.append(row)
        untried.sort(key=lambda row: (row.running_here, row.name))
        set_aside.sort(key=lambda row: self._loading_by_target[row.name].set_aside_at)
        return untried + set_aside

    def _assign_slot(self, row, model, now):
        loading = self._loading_by_target.get(row.name)
        if loading is None:
            loading = _Loading(row.incarnation, model, self._weights.named(model), now)
            self._loading_by_target[row.name] = loading
        loading.slot_since, loading.first_ordered_at = now, None
        self._request_report(row, loading, now)

    def _set_aside(self, loading, now):
        reason = "no report was received"
        if loading.loading_seen_at is not None:
            reason = "its load is no longer reported"
        elif loading.first_ordered_at is not None:
            reason = "its order is in doubt"
        loading.slot_since, loading.set_aside_at = None, now
        loading.loading_seen_at = None
        self._state.emit(
            commands.Note("place_given_up", loading.incarnation.name, reason)
        )

    def _follow(self, row, loading, now):
        self._note_doubt(loading, now)
        if loading.order_due_after is not None:
            self._order(row, loading, loading.order_due_after, now)
        has_slot = loading.slot_since is not None
        interval = _REPORT_INTERVAL if has_slot else _SET_ASIDE_INTERVAL
        if now - loading.report_requested_at >= interval:
            self._request_report(row, loading, now)

    def _note_doubt(self, loading, now):
        """Note an order that is in doubt in the event log, once for each order."""
        if loading.ordered_at is None or loading.loading_seen_at or loading.doubt_noted:
            return
        if now - loading.ordered_at >= _ORDER_DOUBT_AFTER:
            loading.doubt_noted = True
            detail = f"version {loading.version} after {loading.ordered_after} orders"
            note = commands.Note("order_in_doubt", loading.incarnation.name, detail)
            self._state.emit(note)

    def _note_loading(self, loading, now):
        """Note that an engine loads; one that was set aside gets a slot again."""
        loading.loading_seen_at = now
        if loading.slot_since is None:
            loading.slot_since = now
            self._state.emit(commands.Note("late_load", loading.incarnation.name))

    def _request_report(self, row, loading, now):
        loading.report_requested_at = now
        self._state.emit(ReadReport(row.name, row.url))

    def _reported(self, event, now):
        row = self._state.target_in(
            incarnations.TargetIncarnation(event.target, event.born)
        )
        if row is None:
            # The report is of an incarnation that has ended or isn't listed yet.
            return
        for model, version in event.version_by_model.items():
            row.learn_version(model, version)
        loading = self._loading_by_target.get(event.target)
        if (
            loading is None
            or loading.incarnation != row.incarnation
            or not self._lease.is_held(now)
        ):
            return
        if not self._is_behind(row, loading.model):
            del self._loading_by_target[event.target]
            row.loading_until = None
            self._state.emit(
                commands.Note("version_loaded", row.name, str(loading.version))
            )
            return
        loading.order_due_after = None
        if event.busy:
            row.loading_until = now + 2 * _REPORT_INTERVAL
            self._note_loading(loading, now)
            return
        loading.loading_seen_at = None
        if loading.slot_since is not None and self._may_order(loading, event, now):
            self._order(row, loading, event.orders, now)

    def _may_order(self, loading, event, now):
        """Return whether an order is due.

        The engine may have accepted an order whose answer is missing and not report
        it yet, or may carry it out seconds later. The order is repeated with the same
        count of earlier orders, so that at most one of them takes effect. If a newer
        version was announced since, an order for that goes out in the same way, but
        without a wait.
        """
        if loading.ordered_at is None or event.orders != loading.ordered_after:
            return True
        if loading.version < self._weights.named(loading.model):
            return True
        return now - loading.ordered_at >= _ORDER_DOUBT_AFTER

    def _order(self, row, loading, orders, now):
        if not self._lease.may_act(now):
            loading.order_due_after = orders
            return
        version = self._weights.named(loading.model)
        is_repeat = (orders, version) == (loading.ordered_after, loading.version)
        if loading.first_ordered_at is None or not is_repeat:
            loading.first_ordered_at = now
        loading.order_due_after = None
        loading.doubt_noted = False
        self._lease.note_act(now)
        loading.ordered_at = now
        loading.ordered_after = orders
        loading.version = version
        row.loading_until = now + 2 * _REPORT_INTERVAL
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

    def _is_finished(self, row, loading, now):
        """Return whether an engine needs no more orders or reports."""
        if not self._is_behind(row, loading.model):
            return True
        return not _may_load(row) and not _is_loading(loading, now)

    def _is_behind(self, row, model):
        """Return whether an engine's last known version is a superseded one.

        Guards against an engine that never gets an order: after it has refused a
        request it is guessed to run the next version, which may be the announced one.
        So guesses don't count here; the engine's report is cheap and shows its version.
        """
        return row.version_by_model.get(model, 1) < self._weights.named(model)


def _may_load(row):
    return row.listed and not row.leaving and row.missing_since is None


def _is_loading(loading, now):
    loading_seen_at = loading.loading_seen_at
    return loading_seen_at is not None and now - loading_seen_at <= _LOAD_LOST_AFTER


def _shows_no_progress(loading, now):
    """Return whether an engine shows no progress in its load slot.

    An engine that is known to load keeps its slot for as long as that is confirmed.
    """
    if loading.loading_seen_at is not None:
        return not _is_loading(loading, now)
    if loading.order_due_after is not None:
        return False
    since = loading.first_ordered_at or loading.slot_since
    return now - since >= _ORDER_DOUBT_AFTER
