"""Simulated fleets in front of engines that name limits in their answers."""

import math

import limitfleet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespindle.decide import commands

SEEDS = range(6)


def simulate(seed, limit, per_second=40.0, seconds=12.0, limited=None, **fleet):
    """Simulate a fleet whose engines begin to name a limit, and return it.

    Parameters
    ----------
    limited : int, optional
        How many of the engines name it; all by default.
    """
    made = limitfleet.Fleet(seed, **fleet)
    made.run(1.0)
    made.ask_steadily(per_second, made.now + 2.0 + seconds)
    made.run(2.0)
    for name in list(made.engine_by_name)[:limited]:
        made.limit_by_engine[name] = limit
    made.run(seconds)
    return made


@pytest.mark.parametrize("limit", [0.4, 1.0, 1.7])
@pytest.mark.parametrize("seed", SEEDS)
def test_limits_of_all_engines_at_once_are_kept(seed, limit):
    """Guards against hosts that each send an engine what it takes from all of them."""
    made = simulate(seed, limit)
    assert made.excess() <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_of_one_engine_is_kept(seed):
    """Guards against hosts that overlook the limit while other engines have none."""
    made = simulate(seed, 1.3, limited=1)
    assert made.excess() <= 0


@pytest.mark.parametrize("limit", [1.0, 1.7, 6.0, 30.0])
def test_limited_engines_get_a_good_part_of_what_they_take(limit):
    """Guards against a limit that keeps hosts from sending what is taken."""
    made = simulate(1, limit, per_second=8.0 * 5 * limit, seconds=20.0)
    for engine in made.engine_by_name:
        got = made.arrivals(engine, made.now - 12.0, made.now)
        assert got >= 0.5 * limit * 12.0


def test_other_engines_serve_what_a_limited_one_does_not_take():
    made = simulate(2, 1.0, limited=1)
    assert made.refused == []


def test_what_no_engine_takes_is_refused_at_once_as_not_run():
    """Guards against requests that wait for limited engines until their deadlines."""
    made = simulate(3, 1.0)
    refused = [item for item in made.refused if item.code is commands.Code.LIMITED]
    assert len(refused) > 100
    assert all(item.outcome is commands.Outcome.NOT_RUN for item in refused)
    pauses = {item.retry_after for item in refused}
    assert len(pauses) > len(refused) / 2
    assert "5 name a limit" in refused[-1].message


@pytest.mark.parametrize("limit", [0.0, 1.0, 1.7])
@pytest.mark.parametrize(("hosts", "engines"), [(30, 8), (70, 20)])
def test_limits_far_below_one_request_a_second_from_each_host_are_kept(
    hosts, engines, limit
):
    made = simulate(4, limit, 300.0, 8.0, hosts=hosts, engines=engines)
    assert made.excess() <= 0


@pytest.mark.parametrize("groups", [2, 3, 9])
@pytest.mark.parametrize("seed", SEEDS)
def test_hosts_that_cannot_reach_each_other_keep_a_limit_together(seed, groups):
    """Guards against each side of a partition choosing senders of its own."""
    made = limitfleet.Fleet(seed)
    made.run(1.0)
    made.split(lambda name: int(name.rpartition("-")[2]) % groups)
    made.ask_steadily(40.0, made.now + 40.0)
    # Each side now considers the other dead.
    made.run(15.0)
    made.limit_by_engine = dict.fromkeys(made.engine_by_name, 1.0)
    made.run(24.0)
    assert made.excess() <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_limit_that_changes_all_the_time_is_kept(seed):
    made = limitfleet.Fleet(seed)
    made.run(1.0)
    made.ask_steadily(60.0, made.now + 30.0)

    def change():
        for name in made.engine_by_name:
            made.limit_by_engine[name] = made.random.choice((0.5, 1.0, 1.7, 4.0, 12.0))
        made.after(made.random.uniform(0.1, 3.0), change)

    made.after(1.0, change)
    made.run(29.0)
    assert made.excess() <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_all_hosts_learn_that_a_limit_has_ended(seed):
    """Guards against hosts that aren't senders and never ask the engine again."""
    made = simulate(seed, 1.0, seconds=8.0)
    made.limit_by_engine.clear()
    made.ask_steadily(40.0, made.now + 6.0)
    made.run(3.0)
    before = len(made.refused)
    made.run(3.0)
    assert len(made.refused) == before
    assert all(core.target_limits.count() == 0 for core in made.core_by_name.values())


def test_a_host_out_of_touch_learns_that_a_limit_has_ended():
    """Guards against a host that keeps to a limit for good which ended long ago."""
    made = simulate(5, 1.0, seconds=8.0)
    alone = list(made.core_by_name)[3]
    made.split(lambda name: name == alone)
    made.limit_by_engine.clear()
    made.ask_steadily(40.0, made.now + 60.0)
    made.run(60.0)
    assert made.core_by_name[alone].target_limits.count() == 0


def test_an_engine_whose_senders_are_all_gone_is_still_used():
    made = limitfleet.Fleet(6)
    made.run(1.0)
    made.limit_by_engine = dict.fromkeys(made.engine_by_name, 1.0)
    made.ask_steadily(40.0, made.now + 70.0)
    made.run(10.0)
    for name in list(made.core_by_name)[:7]:
        made.remove_host(name)
    made.run(30.0)
    since = made.now - 25.0
    assert all(made.arrivals(name, since, made.now) for name in made.engine_by_name)
    assert made.excess() <= 0


def test_a_new_incarnation_owes_nothing():
    """Guards against a restarted engine that is limited by what its last life said."""
    made = simulate(7, 1.0, limited=1)
    engine = next(iter(made.engine_by_name.values()))
    made.limit_by_engine.clear()
    made.crash(engine)
    made.ask_steadily(60.0, made.now + 10.0)
    made.run(4.0)
    until = made.now + 4.0
    made.run(4.0)
    assert made.arrivals(engine.name, until - 4.0, until) > 20


@settings(derandomize=True, max_examples=20, deadline=None)
@given(
    st.integers(0, 10**6),
    st.lists(
        st.tuples(
            st.sampled_from(
                ["limit", "end", "life", "split", "heal", "start", "all", "cut"]
            ),
            st.integers(0, 8),
            st.sampled_from([0.0, 0.3, 1.0, 1.7, 5.0, 40.0]),
            st.floats(0.0, 14.0),
        ),
        max_size=25,
    ),
)
def test_no_schedule_of_troubles_exceeds_a_limit(seed, troubles):
    made = limitfleet.Fleet(seed)
    made.run(1.0)
    made.ask_steadily(50.0, made.now + 18.0)
    for kind, number, limit, at in troubles:
        made.after(at, cause, made, kind, number, limit)
    made.run(18.0)
    assert made.excess() <= 0


def cause(made, kind, number, limit):
    engine = made.engine_by_name[f"llm-{number % 5}"]
    host = f"entry-{number}"
    match kind:
        case "limit":
            made.limit_by_engine[engine.name] = limit
        case "all":
            made.limit_by_engine = dict.fromkeys(made.engine_by_name, limit)
        case "end":
            made.limit_by_engine.pop(engine.name, math.inf)
        case "life":
            made.crash(engine)
        case "split":
            made.split(lambda name: int(name.rpartition("-")[2]) % 3)
        case "cut":
            made.split(lambda name: name == host)
        case "heal":
            made.split(lambda name: 0)
        case "start":
            made.restart_host(host)
