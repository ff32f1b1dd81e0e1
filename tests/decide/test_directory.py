"""Which addresses callers get, without a network."""

import collections

import pytest

from sesamespindle.decide import directory, events, loadparts, world

_State = events.HostState


def make_state(*entries):
    """Return tables that hold entries given as (name, data centre, state)."""
    state = world.World(events.Host("me", "entry", "dc-1", "me:80", "me:81"))
    for name, data_centre, entry_state in entries:
        state.put_entry(
            world.EntryRow(
                name, data_centre, f"{name}:80", f"{name}:81", "", 1, entry_state
            )
        )
    return state


def choose(state, unreachable=(), isolated=()):
    return directory.choose_addresses(
        state,
        "dc-1",
        lambda data_centre: data_centre not in unreachable,
        lambda row: row.name in isolated,
    )


def test_returns_live_hosts_those_of_the_callers_data_centre_first():
    state = make_state(
        ("b", "dc-2", _State.LIVE),
        ("a", "dc-1", _State.LIVE),
        ("c", "dc-1", _State.LEAVING),
        ("d", "dc-1", _State.SUSPECT),
    )
    assert choose(state) == ["a:80", "b:80"]


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        (_State.LIVE, _State.DEAD),
        (_State.SUSPECT, _State.LEFT),
        (_State.LEAVING, _State.DEAD),
        (_State.LEAVING, _State.LEFT),
    ],
)
def test_without_a_live_reachable_host_returns_only_the_best_rank(better, worse):
    """Guards against callers that connect to leaving hosts while others are available.

    No host is live in a reachable data centre. If all known hosts were returned, those
    that leave or have left among them, callers would still connect to these seconds
    after SIGTERM.
    """
    state = make_state(("a", "dc-2", better), ("b", "dc-2", worse))
    assert choose(state, unreachable=("dc-2",)) == ["a:80"]


@pytest.mark.parametrize("worse", [_State.SUSPECT, _State.LEAVING, _State.DEAD])
def test_beside_a_live_reachable_host_returns_only_the_best_rank(worse):
    """Guards against worse hosts beside the only live one that is reachable."""
    state = make_state(
        ("a", "dc-1", worse), ("b", "dc-2", _State.LIVE), ("c", "dc-3", _State.LIVE)
    )
    assert choose(state, unreachable=("dc-3",)) == ["b:80"]


def test_returns_a_host_that_left_if_no_other_is_known():
    state = make_state(("a", "dc-1", _State.LEFT))
    assert choose(state) == ["a:80"]


def test_a_leaving_host_is_returned_where_the_live_one_is_unreachable():
    """Guards against callers that get only hosts which nobody can reach.

    The last host of a data centre leaves while another data centre is unreachable. The
    hosts of that one stay live in the table for good, as only their own peers may call
    them dead. Connections to them hang, whereas the leaving host still accepts requests
    that end before it does.
    """
    state = make_state(
        ("gone", "dc-2", _State.LIVE),
        ("here", "dc-1", _State.LEAVING),
    )
    assert "here:80" in choose(state, unreachable=("dc-2",))


def test_isolated_hosts_are_returned_only_if_all_are():
    """Guards against callers that are sent to hosts which reach no target."""
    state = make_state(("a", "dc-1", _State.LIVE), ("b", "dc-2", _State.LIVE))
    assert choose(state, isolated=("a",)) == ["b:80"]
    assert choose(state, isolated=("a", "b")) == ["a:80", "b:80"]


def test_isolated_hosts_are_returned_before_leaving_ones():
    """Guards against callers that are sent to leaving hosts while all are isolated."""
    state = make_state(("a", "dc-1", _State.LIVE), ("b", "dc-1", _State.LEAVING))
    assert choose(state, isolated=("a", "b")) == ["a:80"]


# Hosts of the caller's data centre, a strong one with eight times what a weak one has,
# and some elsewhere.
_STRONG, _WEAK, _FAR = 6, 71, 10
_CAPACITY_BY_KIND = {"strong": 2000, "weak": 250, "far": 1000}
_NAMES = [
    *(f"strong-{number}" for number in range(_STRONG)),
    *(f"weak-{number}" for number in range(_WEAK)),
    *(f"far-{number}" for number in range(_FAR)),
]
_CALLERS = [f"10.0.{number // 200}.{number % 200}" for number in range(1000)]


def make_fleet(names=_NAMES, choice=loadparts.Choice.ON, state_by_name=None):
    """Return tables of a fleet; callers are told of hosts by weight if chosen."""
    state = make_state()
    state.load_parts = loadparts.LoadParts(
        choice_by_part={loadparts.Part.WEIGHTED_HOSTS: choice}
    )
    for name in names:
        kind = name.partition("-")[0]
        data_centre = "dc-2" if kind == "far" else "dc-1"
        host_state = (state_by_name or {}).get(name, _State.LIVE)
        row = world.EntryRow(name, data_centre, name, "", "", 1, host_state)
        row.capacity = _CAPACITY_BY_KIND.get(kind, 0)
        state.put_entry(row)
    return state


def ask(state, caller):
    return directory.choose_addresses(
        state, "dc-1", lambda _: True, lambda _: False, caller
    )


def test_hosts_get_callers_by_what_they_can_carry_and_each_gets_some():
    """Guards against weak hosts that get as many callers as strong ones."""
    state = make_fleet()
    callers_by_host = collections.Counter()
    for caller in _CALLERS:
        answer = ask(state, caller)
        assert len(answer) <= directory.MAX_ADDRESSES
        callers_by_host.update({name: 1 / len(answer) for name in answer})
    strong = [callers_by_host[name] for name in _NAMES if name.startswith("strong")]
    weak = [callers_by_host[name] for name in _NAMES if name.startswith("weak")]
    assert min(weak) > 0
    assert sum(strong) / _STRONG > 1.9 * sum(weak) / _WEAK
    assert min(strong) > max(weak)


def test_callers_that_share_an_address_reach_half_of_their_data_centre_first():
    state = make_fleet()
    for caller in _CALLERS[:50]:
        answer = ask(state, caller)
        here = [name for name in answer if not name.startswith("far")]
        assert 2 * len(here) >= _STRONG + _WEAK
        assert answer[: len(here)] == here
        assert 2 * (len(answer) - len(here)) >= _FAR


@pytest.mark.parametrize("gone", ["weak-7", "strong-0", "far-3"])
def test_one_callers_answer_stays_while_others_join_or_die(gone):
    """Guards against callers that close connections to hosts which still serve."""
    whole = make_fleet()
    fewer = make_fleet([name for name in _NAMES if name != gone])
    for caller in _CALLERS[:100]:
        before, after = set(ask(whole, caller)), set(ask(fewer, caller))
        assert len(before - after - {gone}) <= 1
        assert len(after - before) <= 1


@pytest.mark.parametrize("state", [_State.LEAVING, _State.SUSPECT, _State.DEAD])
def test_no_host_that_leaves_or_is_suspected_is_in_a_weighted_answer(state):
    fleet = make_fleet(state_by_name={"strong-0": state, "weak-1": state})
    for caller in _CALLERS[:100]:
        assert not {"strong-0", "weak-1"} & set(ask(fleet, caller))


def test_a_host_of_unknown_weight_counts_as_the_mean():
    fleet = make_fleet(["strong-0", "weak-0", "weak-1", "unknown-0"])
    first = collections.Counter(ask(fleet, caller)[0] for caller in _CALLERS)
    assert first["weak-0"] < first["unknown-0"] < first["strong-0"]


def test_a_caller_has_several_hosts_to_choose_from_in_a_small_data_centre():
    small = ["strong-0", "weak-0", "weak-1"]
    assert set(ask(make_fleet(small), "10.0.0.1")) == set(small)


def test_without_the_part_all_callers_get_one_answer_of_up_to_64_by_name():
    """Guards against other deployments that are served otherwise than before."""
    fleet = make_fleet(choice=loadparts.Choice.AUTO)
    here = sorted(name for name in _NAMES if not name.startswith("far"))
    for caller in _CALLERS[:10]:
        assert ask(fleet, caller) == here[: directory.MAX_ADDRESSES]
