"""Targets that said in their answers that they leave, or want a rest."""

import gateways
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import commands, sends, targetlist, targetsignals

REST = 3 * SECOND


@pytest.fixture
def core():
    made = gateways.make_gateway()
    targets = tuple(gateways.make_target(f"desk-{n}") for n in (1, 2))
    made.step(NOW, [targetlist.TargetsListed(targets)])
    return made


def answer(core, request_id="r1", now=NOW, **signals):
    """Have the target of a request say something of itself in its answer."""
    said = targetsignals.TargetSignals(**signals)
    core.forwarding.note_signals(request_id, said, now)


def notes(core, now=NOW):
    return [
        (item.kind, item.subject, item.detail)
        for item in core.step(now, [])
        if isinstance(item, commands.Note)
    ]


def test_the_log_tells_which_answer_said_that_a_target_leaves(core):
    name = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    answer(core, is_leaving=True)
    assert notes(core) == [("target_leaving", name, "in the answer to request r1")]


def test_the_log_tells_which_answer_asked_for_a_rest(core):
    name = gateways.begin(core, "/read/1").target
    answer(core, rest=REST)
    assert notes(core) == [
        ("target_rests", name, "for 3 s, in the answer to request r1")
    ]


def targets_of(core, now, count=4):
    """Return the names of the targets that requests are sent to, or the refusals."""
    found = set()
    for number in range(count):
        command = gateways.begin(core, "/read/1", now, request_id=f"t{number}")
        found.add(getattr(command, "target", command))
    for number in range(count):
        core.forwarding.close(f"t{number}", now)
    return found


def test_a_target_that_said_it_leaves_gets_nothing_more(core):
    """Guards against a host that believes the list more than the target."""
    name = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    assert name not in targets_of(core, NOW)


def test_a_record_that_comes_back_does_not_undo_what_the_target_said(core):
    name = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    core.state.drop_target(name)
    ready = gateways.make_target(name, revision=9)
    core.step(NOW + 9 * SECOND, [targetlist.TargetChanged(ready)])
    assert name not in targets_of(core, NOW + 9 * SECOND)


def test_a_new_incarnation_does_not_leave(core):
    name = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    core.step(
        NOW, [targetlist.TargetChanged(gateways.make_target(name, revision=9, born=7))]
    )
    assert name in targets_of(core, NOW)


def test_a_stream_goes_on_at_another_target_than_the_one_that_leaves(core):
    """Guards against a second try at the target that said it leaves."""
    first = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    again = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert again.target != first


def test_peers_hear_soon_that_a_target_leaves(core):
    name = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    assert core.state.must_start_round
    assert core.state.targets.get(name).leaving


def test_when_all_targets_leave_the_caller_knows_at_once(core):
    for _ in range(2):
        gateways.begin(core, "/read/1")
        answer(core, is_leaving=True)
        core.forwarding.close("r1", NOW)
    (refused,) = targets_of(core, NOW, 1)
    assert refused.outcome is commands.Outcome.NOT_RUN
    assert refused.retry_after > 0 * SECOND


def test_what_is_known_of_targets_that_are_gone_is_forgotten(core):
    """Guards against memory that grows with every target that ever left."""
    name = gateways.begin(core, "/read/1").target
    answer(core, is_leaving=True)
    core.state.drop_target(name)
    core.held_targets.tick(NOW + 90 * SECOND)
    core.step(NOW, [targetlist.TargetChanged(gateways.make_target(name, revision=9))])
    assert name in targets_of(core, NOW)


def let_rest(core, request_id="r1", now=NOW):
    """Have the target of a new request turn it away and ask for a rest."""
    name = gateways.begin(core, "/read/1", now, request_id=request_id).target
    answer(core, request_id, now, turned_away=True, rest=REST)
    core.forwarding.close(request_id, now)
    return name


def test_a_target_that_asked_for_a_rest_gets_nothing_until_its_end(core):
    """Guards against a host that asks a shedding target again after 0.1 s."""
    name = let_rest(core)
    for tenth in range(30):
        assert name not in targets_of(core, NOW + tenth * SECOND / 10)


def test_a_second_try_goes_to_a_target_that_does_not_rest(core):
    first = gateways.begin(core, "/read/1").target
    answer(core, turned_away=True, rest=REST)
    again = core.forwarding.ended("r1", sends.Ending.TURNED_AWAY, now=NOW)
    assert again.target != first


def test_a_shorter_rest_does_not_end_a_longer_one():
    """Two requests under way are turned away, the later answer with a shorter rest."""
    core = gateways.make_gateway()
    core.step(NOW, [targetlist.TargetsListed((gateways.make_target("desk-1"),))])
    for request_id in ("r1", "r2"):
        gateways.begin(core, "/read/1", request_id=request_id)
    answer(core, "r1", turned_away=True, rest=REST)
    answer(core, "r2", turned_away=True, rest=REST / 10)
    (refused,) = targets_of(core, NOW + 2 * SECOND, 1)
    assert refused.code is commands.Code.RESTING


def begin_many(core, prefix, now):
    """Begin nine requests at once, and return those that are sent."""
    begun = [
        gateways.begin(core, "/read/1", now, request_id=f"{prefix}{number}")
        for number in range(9)
    ]
    return [item for item in begun if isinstance(item, sends.Forward)]


def test_after_its_rest_a_target_gets_one_request_until_it_has_taken_it(core):
    """Guards against all requests that came meanwhile being sent to it at once."""
    let_rest(core, "r1")
    let_rest(core, "r2")
    later = NOW + 1.2 * REST
    tried = begin_many(core, "t", later)
    assert len(tried) == 2
    assert len({item.target for item in tried}) == 2
    for item in tried:
        answer(core, item.request_id, later)
    assert len(begin_many(core, "u", later)) == 9


def test_a_target_that_turns_its_first_request_away_is_tried_again_later(core):
    let_rest(core, "r1")
    let_rest(core, "r2")
    later = NOW + 1.2 * REST
    for request_id in ("t1", "t2"):
        gateways.begin(core, "/read/1", later, request_id=request_id)
        answer(core, request_id, later, turned_away=True)
    assert all(isinstance(item, commands.Refuse) for item in targets_of(core, later))
    assert len(targets_of(core, later + SECOND)) >= 2


def test_an_answer_overtaken_by_the_one_that_asked_for_a_rest_does_not_end_it(core):
    first = gateways.begin(core, "/read/1", request_id="old").target
    other = gateways.begin(core, "/read/1", request_id="other").target
    for request_id in ("a", "b"):
        let_rest(core, request_id)
    answer(core, "old", NOW + SECOND)
    answer(core, "other", NOW + SECOND)
    found = targets_of(core, NOW + 2 * SECOND)
    assert first not in found
    assert other not in found


def test_callers_are_told_when_the_first_rest_ends_each_another_time(core):
    let_rest(core, "r1", NOW)
    let_rest(core, "r2", NOW + SECOND)
    refused = [
        gateways.begin(core, "/read/1", NOW + 2 * SECOND, request_id=f"t{n}")
        for n in range(20)
    ]
    assert {item.code for item in refused} == {commands.Code.RESTING}
    assert {item.outcome for item in refused} == {commands.Outcome.NOT_RUN}
    pauses = [item.retry_after for item in refused]
    assert min(pauses) >= SECOND
    assert max(pauses) <= 2 * SECOND
    assert len(set(pauses)) > 10
    assert "2 rest" in refused[0].message


def test_hosts_do_not_return_to_a_target_at_the_same_time():
    """Guards against a wave of one request from each host as a rest ends."""
    first_at = set()
    for number in range(10):
        core = gateways.make_gateway(seed=number)
        only = targetlist.TargetsListed((gateways.make_target("desk-1"),))
        core.step(NOW, [only])
        let_rest(core)
        for hundredth in range(400):
            at = NOW + hundredth * SECOND / 100
            if isinstance(gateways.begin(core, "/read/1", at), sends.Forward):
                first_at.add(hundredth)
                break
    assert len(first_at) >= 5
    assert min(first_at) >= 300


def test_a_new_incarnation_needs_no_rest(core):
    name = let_rest(core)
    restarted = gateways.make_target(name, revision=9, born=7)
    core.step(NOW, [targetlist.TargetChanged(restarted)])
    assert name in targets_of(core, NOW)
