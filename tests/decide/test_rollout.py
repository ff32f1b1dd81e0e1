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


@pytest.fixture
def core():
    """Give a gateway that holds the lease and knows five engines."""
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
