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
