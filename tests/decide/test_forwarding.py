"""Prompts and engines whose weights are replaced, without a network."""

import gateways
import pytest

from sesamespindle.decide import (
    commands,
    forwarding,
    kvstores,
    targetlist,
    weights,
    world,
)

NOW, SECOND = gateways.NOW, gateways.SECOND
PROMPT = (
    kvstores.Part("a", 100),
    kvstores.Part("b", 4000),
    kvstores.Part("c", 50),
)


@pytest.fixture
def core():
    """Give a gateway with two engines whose version 1 is replaced at `NOW`."""
    made = gateways.make_gateway()
    targets = (
        gateways.make_target("llm-3", "llm", versions={"m": 1}),
        gateways.make_target("llm-4", "llm", versions={"m": 1}),
    )
    made.step(NOW, [targetlist.TargetsListed(targets), weights.VersionNamed("m", 2)])
    return made


def chat(core, now, path="/chat/1", request_id="r1"):
    return gateways.begin(
        core, path, now, request_id=request_id, model="m", prompt=PROMPT
    )


def note_peer_work(core, now, tokens, held_tokens=0):
    """Have a peer tell of what it has sent to each engine."""
    for row in core.state.targets.where("pool", "llm"):
        work = world.SentWork(now, tokens, held_tokens)
        row.peer_work_by_entry["entry-2"] = work


def test_nothing_waits_for_weights_whose_time_ends_meanwhile(core):
    """A prompt begins on weights that were replaced over 8 s before.

    New weights are named. 6 s later, when older ones may still be used, a prompt
    is sent to an engine that has them and 1.2 s of other prompts to read first.
    It begins there after their time, as only the moment of sending was looked at.
    """
    late = NOW + 6 * SECOND
    note_peer_work(core, late, 60_000)
    refused = chat(core, late)
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.NOT_RUN
    note_peer_work(core, late, 0)
    assert isinstance(chat(core, late, request_id="r2"), forwarding.Forward)


def test_nothing_waits_for_memory_on_weights_whose_time_ends_soon(core):
    """A prompt begins on weights that were replaced over 8 s before.

    5 s after new weights are named a prompt goes to an engine with the older
    ones and a short queue. Its memory is full, so the prompt waits until runs
    there end, nearly 3 s, which the queue alone doesn't show.
    """
    early, late = NOW + SECOND, NOW + 5 * SECOND
    note_peer_work(core, early, 0, 90_000)
    assert isinstance(chat(core, early), forwarding.Forward)
    note_peer_work(core, late, 0, 90_000)
    refused = chat(core, late, request_id="r2")
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.NOT_RUN


def test_an_engine_without_time_gives_way_to_one_that_was_tried(core):
    """A stream breaks off for good although an engine could go on with it.

    The link to the only engine with the new weights broke. The one that wasn't
    tried yet has the old weights, whose time is over, and was looked at alone.
    """
    late = NOW + 7 * SECOND
    core.state.targets.get("llm-3").learn_version("m", 2)
    assert chat(core, late).target == "llm-3"
    again = core.forwarding.ended("r1", forwarding.Ending.LOST, now=late)
    assert isinstance(again, forwarding.Forward)
    assert again.target == "llm-3"
