"""Bringing engines to a version, a few at a time."""

import datetime

import pytest

from sesamespindle.decide import (
    budgets,
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


def made_core():
    """Return a gateway that holds the lease and knows five engines."""
    me = events.Host("entry-1", "entry", "dc-1", "u", "p")
    made = gateway.Gateway(me, gateway.Terms(budgets.BudgetRule()))
    targets = tuple(
        targetlist.ListedTarget(
            f"llm-{number}", "llm", f"a:{number}", "dc-1", 8, False, {"m": 1}, 1
        )
        for number in range(ENGINES)
    )
    before = NOW - seconds(2)
    made.step(before, [targetlist.TargetsListed(targets), events.Tick()])
    made.step(before, [lease.LeaseFound(None, 0)])
    commands = made.step(NOW, [events.Tick()])
    write = next(item for item in commands if isinstance(item, lease.WriteLease))
    made.step(NOW, [lease.LeaseWritten(write.record, 1)])
    return made


@pytest.fixture
def core():
    """Give a gateway that holds the lease; its five engines are behind."""
    made = made_core()
    made.step(NOW, [weights.VersionNamed("m", 2)])
    return made


def asked(commands):
    return [item.target for item in commands if isinstance(item, rollout.ReadReport)]


def orders(commands):
    return [item for item in commands if isinstance(item, rollout.OrderVersion)]


def report(name, count=0, busy=False, version=1):
    return rollout.Reported(name, count, busy, {"m": version})


def test_two_fifths_of_the_engines_load_at_once(core):
    assert len(asked(core.step(NOW, [events.Tick()]))) == 2


def test_an_order_carries_the_epoch_and_the_orders_before_it(core):
    name = asked(core.step(NOW, [events.Tick()]))[0]
    (order,) = orders(core.step(NOW, [report(name, count=3)]))
    assert (order.version, order.epoch, order.expected_orders) == (2, 1, 3)


def test_an_order_without_an_answer_is_given_again_with_the_same_count(core):
    """An order's answer is lost; it may be carried out seconds later.

    The engine checks the count of earlier orders, so of both at most one takes
    effect, whichever comes first.
    """
    name = asked(core.step(NOW, [events.Tick()]))[0]
    (first,) = orders(core.step(NOW, [report(name)]))
    assert orders(core.step(NOW + seconds(0.3), [report(name)])) == []
    (second,) = orders(core.step(NOW + seconds(1.3), [report(name)]))
    assert second.expected_orders == first.expected_orders


def test_a_busy_engine_is_not_ordered(core):
    name = asked(core.step(NOW, [events.Tick()]))[0]
    assert orders(core.step(NOW, [report(name, busy=True)])) == []


def test_an_engine_that_has_the_version_makes_room_for_the_next(core):
    names = asked(core.step(NOW, [events.Tick()]))
    core.step(NOW, [report(names[0], version=2)])
    following = asked(core.step(NOW, [events.Tick()]))
    assert len(following) == 1
    assert not set(following) & set(names)


def test_nothing_is_ordered_once_the_lease_is_lost(core):
    name = asked(core.step(NOW, [events.Tick()]))[0]
    late = NOW + seconds(2)
    assert orders(core.step(late, [events.Tick(), report(name)])) == []


def writes(commands):
    return [item for item in commands if isinstance(item, lease.WriteLease)]


def test_an_idle_lease_is_made_active_while_reports_are_read():
    """Weights are named while the holder has had nothing to do.

    Others may take an idle lease at any moment, so no order may go out before the
    record says otherwise. The report that came meanwhile is not asked for again.
    """
    core = made_core()
    now = NOW + seconds(0.6)
    (idle,) = writes(core.step(now, [events.Tick()]))
    assert idle.record.idle
    core.step(now, [lease.LeaseWritten(idle.record, 2)])
    now += seconds(0.1)
    commands = core.step(now, [weights.VersionNamed("m", 2), events.Tick()])
    name = asked(commands)[0]
    (active,) = writes(commands)
    assert not active.record.idle
    assert orders(core.step(now, [report(name, count=3)])) == []
    core.step(now, [lease.LeaseWritten(active.record, 3)])
    (order,) = orders(core.step(now + seconds(0.1), [events.Tick()]))
    assert (order.target, order.expected_orders) == (name, 3)


def test_a_lease_stays_active_while_engines_are_behind(core):
    for step in range(40):
        now = NOW + seconds(0.1 * step)
        for write in writes(core.step(now, [events.Tick()])):
            assert not write.record.idle
            core.step(now, [lease.LeaseWritten(write.record, 2 + step)])
    assert core.lease.may_act(now)
