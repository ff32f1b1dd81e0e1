"""What is checked around a question to an engine's keeper."""

import dataclasses

import gateways
import pytest

from sesamespindle.decide import (
    commands,
    events,
    kvstores,
    ledgers,
    loadparts,
    sends,
    targetlist,
    targetsignals,
)

NOW, SECOND = gateways.NOW, gateways.SECOND


@pytest.fixture
def core():
    made = gateways.make_gateway()
    choice = {loadparts.Part.KEEPERS: loadparts.Choice.ON}
    made.state.load_parts = loadparts.LoadParts(False, choice)
    names = ("llm-1", "llm-2", "llm-3", "llm-4", "llm-5")
    listed = tuple(gateways.make_target(name, "llm") for name in names)
    made.step(NOW, [targetlist.TargetsListed(listed)])
    return made


def begin(core, tokens=12_000):
    prompt = (kvstores.Part("a", tokens // 2), kvstores.Part("b", tokens // 2))
    return gateways.begin(core, "/chat/1", model="m", prompt=prompt)


def answer(core, reason, wait=SECOND / 10, request_id="r1"):
    said = ledgers.Answer(reason, wait, 100, SECOND / 5)
    return core.forwarding.keeper_answered(request_id, said, now=NOW)


def told(core):
    """Return the stages that keepers are told, with the engine's names."""
    emitted = core.state.take_commands()
    tells = [item.tell for item in emitted if isinstance(item, sends.TellKeeper)]
    return [(tell.stage, tell.incarnation.name) for tell in tells]


def test_a_granted_engine_that_leaves_meanwhile_gets_nothing(core):
    """Guards against a send that was allowed only when the keeper was asked."""
    asked = begin(core)
    core.state.target_in(asked.ask.incarnation).leaving = True
    following = answer(core, ledgers.Reason.GRANTED)
    assert isinstance(following, sends.AskKeeper)
    assert following.ask.incarnation != asked.ask.incarnation
    sent = answer(core, ledgers.Reason.GRANTED)
    assert sent.target == following.ask.incarnation.name
    assert told(core) == [(ledgers.Stage.ENDED, asked.ask.incarnation.name)]


def test_each_send_is_counted_apart(core):
    """Guards against a retry that isn't counted as the send before it has ended."""
    asked = begin(core)
    answer(core, ledgers.Reason.GRANTED)
    again = core.forwarding.ended("r1", sends.Ending.TURNED_AWAY, now=NOW)
    ended = [
        item.tell
        for item in core.state.take_commands()
        if isinstance(item, sends.TellKeeper)
    ]
    assert [tell.request for tell in ended] == [asked.ask.request]
    assert isinstance(again, sends.AskKeeper)
    assert again.ask.request != asked.ask.request


def test_at_most_three_engines_are_asked_and_the_soonest_once_more(core):
    """Guards against a prompt that is asked for at every engine of a service."""
    asked = [begin(core)]
    asked.append(answer(core, ledgers.Reason.LATE, 3 * SECOND))
    asked.append(answer(core, ledgers.Reason.LATE, 2 * SECOND))
    again = answer(core, ledgers.Reason.MEMORY)
    assert len({item.ask.incarnation for item in asked}) == 3
    assert again.ask.incarnation == asked[1].ask.incarnation
    assert again.ask.wait > asked[1].ask.wait
    sent = answer(core, ledgers.Reason.GRANTED)
    assert sent.target == again.ask.incarnation.name
    assert "expected the first token in 100 ms" in sent.reason
    assert told(core) == [(ledgers.Stage.ENDED, asked[2].ask.incarnation.name)]


def test_no_memory_anywhere_is_refused_truthfully(core):
    begin(core)
    answer(core, ledgers.Reason.MEMORY)
    answer(core, ledgers.Reason.URGENCY)
    refused = answer(core, ledgers.Reason.MEMORY)
    assert (refused.code, refused.outcome) == (
        commands.Code.OVERLOADED,
        commands.Outcome.NOT_RUN,
    )


def test_nothing_is_sent_by_a_host_that_has_ended_meanwhile(core):
    """Guards against a run that is cut off, as its host ended during the question."""
    begin(core)
    core.step(NOW, [events.LeaveRequested(NOW + SECOND), events.ShutdownStarted()])
    refused = answer(core, ledgers.Reason.GRANTED)
    assert refused.outcome is commands.Outcome.NOT_RUN


def test_a_prompt_too_short_to_matter_is_sent_at_once(core):
    assert isinstance(begin(core, 600), sends.Forward)
    core.forwarding.close("r1", NOW)
    assert told(core) == []


@pytest.mark.parametrize(("speed", "is_on"), [(None, False), (100, False), (99, True)])
def test_the_part_is_on_once_a_target_states_an_unusual_speed(core, speed, is_on):
    core.state.load_parts = loadparts.LoadParts()
    sent = begin(core)
    signals = targetsignals.TargetSignals(load=1, speed=speed)
    core.forwarding.note_signals("r1", signals, NOW)
    core.forwarding.note_signals("r1", signals, NOW)
    notes = [
        item for item in core.state.take_commands() if isinstance(item, commands.Note)
    ]
    assert len([note for note in notes if note.kind == "load_parts"]) == is_on
    row = core.state.targets.get(sent.target)
    assert (row.learned is not None) == is_on
    core.forwarding.close("r1", NOW)
    assert isinstance(begin(core), sends.AskKeeper if is_on else sends.Forward)


def test_an_unreadable_load_is_counted_and_logged_once(core):
    begin(core)
    answer(core, ledgers.Reason.GRANTED)
    core.state.take_commands()
    signals = targetsignals.TargetSignals(unreadable_load="X: 1,1,8,fast")
    for _ in range(3):
        core.forwarding.note_signals("r1", signals, NOW)
    notes = core.state.take_commands()
    assert [note.kind for note in notes] == ["target_signal_unreadable"]
    assert core.learning.unreadable_loads == 3


def test_a_keeper_is_of_the_engines_data_centre_and_the_same_for_all(core):
    """Guards against two hosts that count the same engine apart."""
    for number in range(2, 8):
        other = gateways.make_entry(f"entry-{number}", f"dc-{number % 2}")
        core.state.put_entry(other)
    row = core.state.targets.get("llm-1")
    for data_centre in ("dc-0", "dc-1", "dc-9"):
        row.data_centre = data_centre
        keeper = core.asking.keeper(row)
        others = {entry.data_centre for entry in core.state.live_entries()}
        assert keeper.data_centre == data_centre or data_centre not in others
        core.state.note_view_change()
        assert core.asking.keeper(row) is keeper
    lost = dataclasses.replace(keeper, unreached=("llm",))
    core.state.put_entry(lost)
    assert core.asking.keeper(row).name != lost.name
