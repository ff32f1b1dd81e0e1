"""Bringing all engines to the named weight versions, a few at a time."""

import dataclasses
import datetime

from sesamespindle.decide import commands, lives

# Engines of a service that load weights at once. The users' loads slow down
# beyond two fifths of the engines.
_AT_ONCE_SHARE = 0.4
# How often the state of an engine that has an order is read.
_REPORT_INTERVAL = datetime.timedelta(milliseconds=200)
# An order of which the engine shows nothing for this long is given once more;
# the users' engines show it in their reports within 0.2 s.
_ORDER_LOST_AFTER = datetime.timedelta(milliseconds=1200)
# An engine that answers no report for this long makes room for others.
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
    """An engine under way to a version."""

    life: lives.Life
    model: str
    version: int
    since: datetime.datetime
    asked_at: datetime.datetime
    ordered_at: datetime.datetime | None = None
    ordered_after: int = -1
    # The engine's count of orders, if it may be ordered once the lease lets us.
    ready_after: int | None = None


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
            if (
                row is None
                or self._is_done(row, loading)
                or now - loading.since > _STUCK_AFTER
            ):
                del self._loading_by_target[name]
                continue
            if loading.ready_after is not None:
                self._order(row, loading, loading.ready_after, now)
            if now - loading.asked_at >= _REPORT_INTERVAL:
                self._ask(row, loading, now)
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
            most = max(1, int(len(rows) * _AT_ONCE_SHARE))
            loading = sum(row.name in self._loading_by_target for row in rows)
            behind = [
                row
                for row in rows
                if self._weights.is_behind(row, model)
                and not row.leaving
                and row.name not in self._loading_by_target
                and row.listed
                and row.missing_since is None
            ]
            behind.sort(key=lambda row: (row.running_here, row.name))
            for row in behind[: max(0, most - loading)]:
                made = _Loading(row.life, model, self._weights.named(model), now, now)
                self._loading_by_target[row.name] = made
                self._ask(row, made, now)

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
        if self._is_done(row, loading):
            del self._loading_by_target[event.target]
            row.switching_until = None
            self._state.emit(
                commands.Note("version_loaded", row.name, str(loading.version))
            )
            return
        loading.ready_after = None
        if event.busy:
            row.switching_until = now + 2 * _REPORT_INTERVAL
            return
        if self._may_order(loading, event, now):
            self._order(row, loading, event.orders, now)

    def _may_order(self, loading, event, now):
        """Return whether an order is due.

        An order without an answer may have been taken and not show yet, or may
        be carried out seconds later. It is given again with the same count of
        earlier orders, so that at most one of them takes effect.
        """
        if loading.ordered_at is None or event.orders != loading.ordered_after:
            return True
        return now - loading.ordered_at >= _ORDER_LOST_AFTER

    def _order(self, row, loading, orders, now):
        if not self._lease.may_act(now):
            loading.ready_after = orders
            return
        loading.ready_after = None
        self._lease.note_act(now)
        loading.ordered_at = now
        loading.ordered_after = orders
        loading.version = self._weights.named(loading.model)
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

    def _is_done(self, row, loading):
        return not self._weights.is_behind(row, loading.model)
