"""Rolling a weight version out to engines, a few at a time."""

import dataclasses
import datetime
import itertools

import places
import pytest

from sesamespindle.decide import (
    budgets,
    commands,
    events,
    gateway,
    lease,
    rollout,
    targetlist,
    weights,
)

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
ENGINES = 5


def seconds(count):
    return datetime.timedelta(seconds=count)


def make_core():
    """Return a gateway that holds the lease and knows five engines."""
    me = events.Host("entry-1", "entry", "dc-1", "u", "p")
    made = gateway.Gateway(me, gateway.PlatformLimits(budgets.BudgetRule()))
    targets = tuple(
        targetlist.ListedTarget(
            f"llm-{number}",
            "llm",
            f"a:{number}",
            "dc-1",
            8,
            False,
            {"m": 1},
            places.at(1),
        )
        for number in range(ENGINES)
    )
    before = NOW - seconds(2)
    made.step(before, [targetlist.TargetsListed(targets), events.Tick()])
    made.step(before, [lease.LeaseFound(None, places.at(0))])
    commands = made.step(NOW, [events.Tick()])
    write = next(item for item in commands if isinstance(item, lease.WriteLease))
    made.step(NOW, [lease.LeaseWritten(write.record, places.at(1))])
    return made


@pytest.fixture
def core():
    """Return a gateway with the lease, and five engines with superseded weights."""
    made = make_core()
    made.step(NOW, [weights.VersionAnnounced("m", 2)])
    return made


def report_requests(commands):
    return [item.target for item in commands if isinstance(item, rollout.ReadReport)]


def orders(commands):
    return [item for item in commands if isinstance(item, rollout.OrderVersion)]


def report(name, count=0, busy=False, version=1):
    return rollout.Reported(name, count, busy, {"m": version})


def test_two_fifths_of_the_engines_load_at_once(core):
    assert len(report_requests(core.step(NOW, [events.Tick()]))) == 2


def test_an_order_carries_the_epoch_and_the_orders_before_it(core):
    name = report_requests(core.step(NOW, [events.Tick()]))[0]
    (order,) = orders(core.step(NOW, [report(name, count=3)]))
    assert (order.version, order.epoch, order.expected_orders) == (2, 1, 3)


def test_an_order_without_an_answer_is_given_again_with_the_same_count(core):
    """An order's answer is lost, and the order may be carried out seconds later.

    The engine checks the count of earlier orders. So at most one of both orders takes
    effect, whichever arrives first.
    """
    name = report_requests(core.step(NOW, [events.Tick()]))[0]
    (first,) = orders(core.step(NOW, [report(name)]))
    assert orders(core.step(NOW + seconds(0.3), [report(name)])) == []
    (second,) = orders(core.step(NOW + seconds(1.3), [report(name)]))
    assert second.expected_orders == first.expected_orders


def test_a_busy_engine_is_not_ordered(core):
    name = report_requests(core.step(NOW, [events.Tick()]))[0]
    assert orders(core.step(NOW, [report(name, busy=True)])) == []


def test_an_engine_that_has_the_version_frees_its_slot(core):
    names = report_requests(core.step(NOW, [events.Tick()]))
    core.step(NOW, [report(names[0], version=2)])
    following = report_requests(core.step(NOW, [events.Tick()]))
    assert len(following) == 1
    assert not set(following) & set(names)


def test_nothing_is_ordered_once_the_lease_is_lost(core):
    name = report_requests(core.step(NOW, [events.Tick()]))[0]
    late = NOW + seconds(2)
    assert orders(core.step(late, [events.Tick(), report(name)])) == []


def writes(commands):
    return [item for item in commands if isinstance(item, lease.WriteLease)]


def test_an_idle_lease_is_made_active_while_reports_are_read():
    """Weights are announced while the holder's lease is idle.

    Other hosts may take an idle lease at any moment, so no order may go out before the
    lease's record says that it is active. A report that arrives meanwhile isn't
    requested again.
    """
    core = make_core()
    now = NOW + seconds(0.6)
    (idle,) = writes(core.step(now, [events.Tick()]))
    assert idle.record.idle
    core.step(now, [lease.LeaseWritten(idle.record, places.at(2))])
    now += seconds(0.1)
    commands = core.step(now, [weights.VersionAnnounced("m", 2), events.Tick()])
    name = report_requests(commands)[0]
    (active,) = writes(commands)
    assert not active.record.idle
    assert orders(core.step(now, [report(name, count=3)])) == []
    core.step(now, [lease.LeaseWritten(active.record, places.at(3))])
    (order,) = orders(core.step(now + seconds(0.1), [events.Tick()]))
    assert (order.target, order.expected_orders) == (name, 3)


def test_a_lease_stays_active_while_engines_are_behind(core):
    for step in range(40):
        now = NOW + seconds(0.1 * step)
        for write in writes(core.step(now, [events.Tick()])):
            assert not write.record.idle
            core.step(now, [lease.LeaseWritten(write.record, places.at(2 + step))])
    assert core.lease.may_act(now)


class Engines:
    """Simulated engines, which answer report requests and carry orders out.

    Parameters
    ----------
    core : gateway.Gateway
        The gateway whose commands are carried out.
    """

    LOADING_SECONDS = 1.0

    def __init__(self, core):
        self.core = core
        self.at = 0.0
        # Engines that answer no report request, and engines that lose their orders.
        self.unresponsive = set()
        self.losing_orders = set()
        self.version_by_name = {}
        self.count_by_name = {}
        self.busy_until_by_name = {}
        self.orders = []
        self.reads = []
        self.notes = []
        self.most_at_once = 0

    def run(self, until):
        """Tick every 0.1 s until a time, in seconds."""
        while self.at < until:
            self.step(events.Tick())
            loading = [at for at in self.busy_until_by_name.values() if at > self.at]
            self.most_at_once = max(self.most_at_once, len(loading))
            self.at = round(self.at + 0.1, 1)

    def step(self, event):
        """Feed an event to the gateway, and carry out its commands."""
        now = NOW + seconds(self.at)
        for command in self.core.step(now, [event]):
            match command:
                case commands.Note():
                    self.notes.append((command.kind, command.subject))
                case lease.WriteLease():
                    revision = places.after(command.replaces)
                    self.step(lease.LeaseWritten(command.record, revision))
                case rollout.ReadReport():
                    self.reads.append(command.target)
                    self._report(command.target)
                case rollout.OrderVersion():
                    self.orders.append((self.at, command))
                    if command.target not in self.losing_orders:
                        self.load(command)

    def load(self, order):
        """Carry an order out, unless another was accepted since it was sent."""
        count = self.count_by_name.get(order.target, 0)
        if order.expected_orders == count:
            self.count_by_name[order.target] = count + 1
            self.busy_until_by_name[order.target] = self.at + self.LOADING_SECONDS
            self.version_by_name[order.target] = order.version

    def _report(self, name):
        if name in self.unresponsive:
            self.step(rollout.ReportMissing(name))
            return
        busy = self.busy_until_by_name.get(name, 0.0) > self.at
        version = 1 if busy else self.version_by_name.get(name, 1)
        self.step(report(name, self.count_by_name.get(name, 0), busy, version))

    def first_order_by_name(self):
        """Return when each engine was first sent an order, in seconds."""
        first = {}
        for at, order in self.orders:
            first.setdefault(order.target, at)
        return first

    def noted(self, kind):
        """Return the engines that have notes of a kind in the event log."""
        return [subject for noted, subject in self.notes if noted == kind]


@pytest.fixture
def engines(core):
    """Return five engines with superseded weights."""
    return Engines(core)


def test_engines_that_lose_their_orders_yield_their_slots(engines):
    """The first engines show nothing of their orders, which arrive seconds late.

    If they held all load slots for 4 s and came first again after that, the other three
    would get their first order only 8 to 12 s after the announcement.
    """
    engines.losing_orders = {"llm-0", "llm-1"}
    engines.run(8)
    first = engines.first_order_by_name()
    assert set(first) == {f"llm-{number}" for number in range(ENGINES)}
    assert max(first.values()) < 2.6
    assert {f"llm-{n}" for n in (2, 3, 4)} <= set(engines.version_by_name)


def test_engines_that_answer_no_report_request_yield_their_slots(engines):
    engines.unresponsive = {"llm-0", "llm-1"}
    engines.run(8)
    first = engines.first_order_by_name()
    assert set(first) == {"llm-2", "llm-3", "llm-4"}
    assert max(first.values()) < 2.6


def test_all_engines_get_an_order_soon_where_none_shows_its_order(engines):
    engines.losing_orders = {f"llm-{number}" for number in range(ENGINES)}
    engines.run(2.6)
    assert len(engines.first_order_by_name()) == ENGINES


def test_an_engine_that_was_set_aside_gets_its_turn_again(engines):
    """An engine's order was lost, so it must get another one, with the same count.

    The first order may still be carried out. The engine accepts one of both.
    """
    engines.losing_orders = {"llm-0"}
    engines.run(4)
    engines.losing_orders = set()
    engines.run(8)
    assert engines.version_by_name["llm-0"] == 2
    given = [order for _, order in engines.orders if order.target == "llm-0"]
    assert {order.expected_orders for order in given} == {0}
    assert engines.count_by_name["llm-0"] == 1


def test_orders_in_doubt_are_given_again_no_sooner_than_they_are_in_doubt(engines):
    engines.losing_orders = {f"llm-{number}" for number in range(ENGINES)}
    engines.run(12)
    for name in engines.losing_orders:
        at = [at for at, order in engines.orders if order.target == name]
        assert all(later - one >= 1.2 for one, later in itertools.pairwise(at))


def test_engines_that_load_keep_their_slots(engines):
    engines.LOADING_SECONDS = 6.0
    engines.run(5.5)
    assert len(engines.first_order_by_name()) == 2
    engines.run(20)
    assert engines.most_at_once == 2
    assert set(engines.version_by_name.values()) == {2}


def test_an_engine_with_an_accepted_order_keeps_its_slot_without_reports(engines):
    """An engine accepts its order and becomes unreachable.

    It loads, so it has to keep its load slot though it can't report that.
    """
    engines.run(0.1)
    for _, order in engines.orders:
        name = order.target
        engines.unresponsive.add(name)
        engines.step(rollout.OrderAccepted(name, order.expected_orders))
    engines.run(3.5)
    assert len(engines.first_order_by_name()) == 2
    engines.run(8)
    assert len(engines.first_order_by_name()) == ENGINES


def test_a_load_that_starts_late_takes_a_slot(engines):
    """An order is carried out after its engine has lost its load slot.

    One engine more than usual loads at once then. No other engine may start until a
    slot is free.
    """
    engines.LOADING_SECONDS = 4.0
    engines.losing_orders = {"llm-0", "llm-1"}
    engines.run(1.5)
    orders_by_name = {order.target: order for _, order in engines.orders}
    assert set(orders_by_name) == {"llm-0", "llm-1", "llm-2", "llm-3"}
    engines.load(orders_by_name["llm-0"])
    engines.run(5.2)
    assert engines.noted("late_load") == ["llm-0"]
    assert "llm-4" not in engines.first_order_by_name()
    assert engines.most_at_once == 3


def test_reports_of_an_engine_that_was_set_aside_are_read_less_often(engines):
    engines.LOADING_SECONDS = 20.0
    engines.unresponsive = {"llm-0", "llm-1"}
    engines.run(1.5)
    before = engines.reads.count("llm-0")
    engines.run(7.5)
    assert 9 <= engines.reads.count("llm-0") - before <= 11


def test_doubts_and_lost_slots_are_noted_once_each(engines):
    engines.losing_orders = {"llm-0", "llm-1"}
    engines.run(1.4)
    assert engines.noted("order_in_doubt") == ["llm-0", "llm-1"]
    assert engines.noted("place_given_up") == ["llm-0", "llm-1"]


def test_a_slot_that_no_engine_waits_for_is_kept(engines):
    engines.losing_orders = {"llm-0"}
    engines.run(12)
    assert len(engines.noted("place_given_up")) <= 1
    assert len([o for _, o in engines.orders if o.target == "llm-0"]) >= 5


def test_a_guessed_version_is_no_reason_to_leave_an_engine_behind(core):
    """An engine refused a request that expected the superseded weights.

    It is then guessed to run the next version, which is the announced one. If it
    refused for another reason, such as an order in progress, it would never get the
    order that it needs.
    """
    row = core.state.targets.get("llm-0")
    core.weights.note_refused(row, "m", 1)
    assert not core.weights.is_behind(row, "m")
    engines = Engines(core)
    engines.run(4)
    assert engines.version_by_name["llm-0"] == 2


def test_an_engine_that_restarts_while_it_loads_is_ordered_again():
    """An engine crashes while it loads, and restarts with its earlier weights.

    Its count of orders starts again at 0, so the order to its earlier incarnation
    doesn't apply.
    """
    core = make_core()
    one = targetlist.ListedTarget(
        "llm-0", "llm", "a:0", "dc-1", 8, False, {"m": 1}, places.at(5), born=1000
    )
    core.step(NOW, [targetlist.TargetsListed((one,))])
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    (name,) = report_requests(core.step(NOW, [events.Tick()]))
    before = rollout.Reported(name, 4, False, {"m": 1}, 1000)
    assert orders(core.step(NOW, [before]))
    again = dataclasses.replace(one, revision=places.at(6), born=2000)
    core.step(NOW, [targetlist.TargetChanged(again)])
    now = NOW + seconds(0.1)
    assert report_requests(core.step(now, [events.Tick()])) == [name]
    assert orders(core.step(now, [before])) == []
    reported = rollout.Reported(name, 0, False, {"m": 1}, 2000)
    (order,) = orders(core.step(now, [reported]))
    assert order.expected_orders == 0


def test_an_engine_that_loads_is_ordered_to_the_newest_version_after(engines):
    engines.run(0.5)
    engines.step(weights.VersionAnnounced("m", 3))
    engines.run(8)
    assert set(engines.version_by_name.values()) == {3}
    assert all(order.version == 3 for at, order in engines.orders if at > 0.5)


def test_an_order_in_doubt_gives_way_to_one_to_a_newer_version(engines):
    """Newer weights are announced while engines show nothing of their orders.

    The newer order has the same count, so the engine accepts one of both. If that is
    the older one, the next report shows it.
    """
    engines.losing_orders = {"llm-0", "llm-1"}
    engines.run(0.5)
    engines.step(weights.VersionAnnounced("m", 3))
    engines.losing_orders = set()
    engines.run(0.9)
    newest = [order for at, order in engines.orders if at >= 0.5]
    assert {order.target for order in newest} == {"llm-0", "llm-1"}
    assert {(order.version, order.expected_orders) for order in newest} == {(3, 0)}


def test_a_slot_is_kept_while_the_lease_is_not_yet_active():
    """The platform takes two seconds to confirm that the lease is active.

    The engines have answered with their reports, so they must keep their load slots.
    """
    core = make_core()
    now = NOW + seconds(0.6)
    (idle,) = writes(core.step(now, [events.Tick()]))
    core.step(now, [lease.LeaseWritten(idle.record, places.at(2))])
    core.step(now, [weights.VersionAnnounced("m", 2)])
    names = report_requests(core.step(now, [events.Tick()]))
    core.step(now, [report(name) for name in names])
    out = []
    for step in range(1, 14):
        out += core.step(now + seconds(0.1 * step), [events.Tick()])
    assert core.lease.is_held(now + seconds(1.3))
    assert set(report_requests(out)) == set(names)


def test_an_engine_that_turns_out_not_to_load_loses_its_slot_like_others(engines):
    """An engine accepts its order, and its reports show nothing of a load."""
    engines.losing_orders = {"llm-0", "llm-1"}
    engines.run(0.1)
    for _, order in list(engines.orders):
        engines.step(rollout.OrderAccepted(order.target, order.expected_orders))
    engines.run(1.5)
    assert engines.noted("place_given_up") == ["llm-0", "llm-1"]
