"""Targets that said in their answers that they leave, or want a rest."""

import gateways
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import commands, targetlist, targetsignals

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
