"""Tests of the choice of peers that carry requests, and of what they take."""

import dataclasses

import gateways
import pytest
from gateways import NOW, SECOND, make_gateway, make_target

from sesamespindle.decide import carriers, commands, sends, targetlist


@pytest.fixture
def core():
    return make_core()


def make_core(slack=50.0):
    made = make_gateway(slack)
    made.carriers._port = 7700
    made.step(NOW, [targetlist.TargetsListed((make_target("desk-1"),))])
    made.state.region_by_data_centre = {"dc-1": "r", "dc-2": "r"}
    for name, data_centre in (("a", "dc-1"), ("b", "dc-1"), ("c", "dc-2")):
        entry = gateways.make_entry(name, data_centre, peer_address=f"10.0.1.{name}:81")
        made.state.put_entry(entry)
    return made


def cut(core):
    """Make the service of a core unreached."""
    core.reach._note_unreached("desk", core.reach._reach("desk"), NOW)
    core.step(NOW, [])


def begin(core, number=1, path="/read/1", **changed):
    return gateways.begin(core, path, NOW, request_id=f"r{number}", **changed)


def carried(core, number=1, **changed):
    """Begin a request that a peer asks this host to carry."""
    me = core.state.entries.get("entry-1")
    passport = sends.Passport("a", me.incarnation, 0)
    passport = dataclasses.replace(passport, **changed)
    return begin(core, number, passport=passport)


def test_a_host_that_reaches_a_service_has_nothing_carried(core):
    assert begin(core).passport is None


def test_nearer_peers_carry_first_and_share_the_load(core):
    cut(core)
    chosen = [begin(core, number).target for number in range(16)]
    assert chosen.count("a") == chosen.count("b") == 8
    assert "c" in {begin(core, number).target for number in range(20, 30)}


def test_a_peer_that_reaches_no_target_itself_is_not_asked(core):
    cut(core)
    for name in ("a", "b"):
        core.state.entries.get(name).unreached = ("desk",)
    assert begin(core).target == "c"


def test_a_peer_that_declined_is_not_asked_again_for_a_second(core):
    cut(core)
    first = begin(core)
    core.forwarding.heard("r1", NOW)
    second = core.forwarding.ended("r1", sends.Ending.DECLINED, now=NOW)
    assert second.target != first.target
    assert second.passport.runs == 0


def test_what_a_peer_gives_back_after_sends_of_its_own_has_to_be_paid():
    """Guards against repeats beside the retry budget where peers carry requests."""
    core = make_core(slack=0.0)
    cut(core)
    begin(core)
    core.forwarding.heard("r1", NOW)
    final = core.forwarding.ended("r1", sends.Ending.HANDED_BACK, now=NOW)
    assert isinstance(final, commands.Refuse)
    assert final.outcome is commands.Outcome.NOT_RUN


@pytest.mark.parametrize("answers", [False, True])
def test_a_peer_is_avoided_only_if_it_does_not_answer(core, answers):
    """Guards against callers who are refused because streams break at engines."""
    cut(core)
    first = begin(core)
    if answers:
        core.forwarding.heard("r1", NOW)
    core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    chosen = {begin(core, number).target for number in range(2, 10)}
    assert (first.target in chosen) == answers


def test_a_carried_request_is_not_carried_on(core):
    """Guards against requests that go round between hosts that are cut."""
    cut(core)
    refused = carried(core)
    assert refused.code is commands.Code.NOT_REACHED
    assert refused.outcome is commands.Outcome.NOT_RUN
    assert carriers.declines(refused)


def test_what_one_host_carries_is_bounded(core):
    targets = tuple(make_target(f"desk-{number}") for number in range(1, 20))
    core.step(NOW, [targetlist.TargetsListed(targets)])
    for number in range(carriers.MAX_CARRIED):
        assert isinstance(carried(core, number), sends.Forward)
    refused = carried(core, 999)
    assert refused.code is commands.Code.CARRIER_BUSY
    core.forwarding.close("r0", NOW)
    assert isinstance(carried(core, 1000), sends.Forward)


def test_a_request_for_another_incarnation_is_declined(core):
    assert carriers.declines(carried(core, receiver_incarnation=77))


def test_runs_before_the_hop_keep_a_refusal_truthful(core):
    """Guards against "not run" for a request that a target may have run before."""
    carried(core, runs=1)
    final = core.forwarding.ended("r1", sends.Ending.UNREACHABLE, now=NOW + SECOND)
    assert final.outcome is commands.Outcome.UNKNOWN


def test_only_the_named_host_at_its_own_address_is_known(core):
    passport = sends.Passport("a", 1, 0)
    assert core.carriers.knows(passport, "10.0.1.a")
    assert not core.carriers.knows(passport, "10.0.1.b")
    assert not core.carriers.knows(dataclasses.replace(passport, sender="x"), "10.9.9")


def test_hosts_that_do_not_send_to_a_brittle_service_have_it_carried(core):
    core.brittle._adopt(
        gateways.make_brittle("desk", 2.0, NOW), "in the answer to request r0"
    )
    row = core.state.targets.get("desk-1")
    (sender,) = core.brittle.senders([row], "desk")
    command = begin(core)
    if sender == "entry-1":
        assert command.passport is None
    else:
        assert command.target == sender
