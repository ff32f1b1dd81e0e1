"""Forwarding of prompts while the weights of engines are superseded."""

import collections

import gateways
import pytest

from sesamespindle.decide import (
    commands,
    events,
    gateway,
    kvstores,
    routes,
    sends,
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
    """Return a gateway with two engines whose version 1 is superseded at `NOW`."""
    made = gateways.make_gateway()
    targets = (
        gateways.make_target("llm-3", "llm", versions={"m": 1}),
        gateways.make_target("llm-4", "llm", versions={"m": 1}),
    )
    made.step(
        NOW, [targetlist.TargetsListed(targets), weights.VersionAnnounced("m", 2)]
    )
    return made


def send_prompt(core, now, path="/chat/1", request_id="r1"):
    return gateways.begin(
        core, path, now, request_id=request_id, model="m", prompt=PROMPT
    )


def withdrawn_at(core, now):
    """Run a tick at `now`; return request and attempt of each withdrawn send."""
    happened = core.step(now, [events.Tick()])
    return [
        (command.request_id, command.attempt)
        for command in happened
        if isinstance(command, sends.Withdraw)
    ]


def add_routes(core):
    """Add one route whose prompts run at most once, and an idempotent one."""
    known = core.forwarding.configuration
    shares = (routes.Share("llm", 1.0),)
    added = (
        gateways.make_route(
            "ask", "/ask/", routes.Repeats.ONCE, streaming=True, shares=shares
        ),
        gateways.make_route("sum", "/sum/", routes.Repeats.IDEMPOTENT, shares=shares),
    )
    changed = gateways.make_configuration(2, routes=known.routes + added)
    core.step(NOW, [gateway.ConfigurationRead(changed)])


def record_peer_work(core, now, tokens, held_tokens=0):
    """Record work that a peer has announced to have sent to each engine."""
    for row in core.state.targets.where("pool", "llm"):
        work = world.SentWork(now, tokens, held_tokens)
        row.peer_work_by_entry["entry-2"] = work


def test_no_prompt_queues_for_superseded_weights_whose_time_ends_first(core):
    """Guards against a prompt that begins on weights superseded over 8 s before.

    6 s after a new version is announced, the older one may still be used. A prompt
    is sent to an engine with the older one that has 1.2 s of prefill queued. It
    begins there too late, because only the time of sending was checked.
    """
    late = NOW + 6 * SECOND
    record_peer_work(core, late, 60_000)
    refused = send_prompt(core, late)
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.NOT_RUN
    record_peer_work(core, late, 0)
    assert isinstance(send_prompt(core, late, request_id="r2"), sends.Forward)


def test_no_prompt_waits_for_memory_on_weights_whose_time_ends_first(core):
    """Guards against a prompt that begins on weights superseded over 8 s before.

    5 s after a new version is announced, a prompt is sent to an engine with the
    older one and a short queue. The engine's memory is full, so the prompt waits
    nearly 3 s until runs there end. The length of the queue doesn't show that wait.
    """
    early, late = NOW + SECOND, NOW + 5 * SECOND
    record_peer_work(core, early, 0, 90_000)
    assert isinstance(send_prompt(core, early), sends.Forward)
    record_peer_work(core, late, 0, 90_000)
    refused = send_prompt(core, late, request_id="r2")
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.NOT_RUN


def test_a_tried_engine_with_new_weights_beats_an_untried_superseded_one(core):
    """Guards against a stream that ends although an engine could continue it.

    The connection to the only engine with the new weights breaks. The engine that
    was not tried yet has the old weights, which may not be used any more, and it
    was the only one considered.
    """
    late = NOW + 7 * SECOND
    core.state.targets.get("llm-3").learn_version("m", 2)
    assert send_prompt(core, late).target == "llm-3"
    again = core.forwarding.ended("r1", sends.Ending.LOST, now=late)
    assert isinstance(again, sends.Forward)
    assert again.target == "llm-3"


def test_an_ejected_engine_with_new_weights_is_used_before_a_refusal(core):
    """Guards against refusals although a busy engine could run the prompt soon.

    The one engine with the new weights turned a request away, and is ejected for
    0.1 s. The others are usable, but their old weights may not be used any more.
    """
    late = NOW + 7 * SECOND
    row = core.state.targets.get("llm-3")
    row.learn_version("m", 2)
    row.ejected_until = late + SECOND / 10
    assert send_prompt(core, late).target == "llm-3"


def load_new_weights_elsewhere(core, sent):
    """Record version 2 at the engine that a send did not go to."""
    for row in core.state.targets.where("pool", "llm"):
        if row.name != sent.target:
            row.learn_version("m", 2)


@pytest.mark.parametrize("path", ["/chat/1", "/sum/1"])
def test_a_prompt_not_begun_on_superseded_weights_moves_to_another_engine(core, path):
    """Guards against a prompt that begins on weights superseded over 8 s before.

    It is sent in time, but waits at an engine whose memory is full. Shortly before
    the limit the send is withdrawn, and the prompt goes to an engine with the new
    weights. The first engine is not counted as failing.
    """
    add_routes(core)
    sent = send_prompt(core, NOW + 5 * SECOND, path)
    load_new_weights_elsewhere(core, sent)
    assert withdrawn_at(core, NOW + 7 * SECOND) == []
    late = NOW + 7.5 * SECOND
    assert withdrawn_at(core, late) == [("r1", 1)]
    again = core.forwarding.ended("r1", sends.Ending.WITHDRAWN, now=late)
    assert isinstance(again, sends.Forward)
    assert again.target != sent.target
    assert (again.attempt, again.version) == (2, 2)
    row = core.state.targets.get(sent.target)
    assert (row.failure_rate, row.failures, row.running_here) == (0.0, 0, 0)
    assert row.usable(late)


def test_a_withdrawn_once_only_prompt_is_not_said_to_be_not_run(core):
    """Guards against a once-only prompt that runs twice, or after "not run".

    It waits at an engine with superseded weights until they may not be used any
    more. When the send is withdrawn, its first token may be on the way. So it is not
    sent elsewhere, and the outcome is "unknown".
    """
    add_routes(core)
    sent = send_prompt(core, NOW + 5 * SECOND, "/ask/1")
    load_new_weights_elsewhere(core, sent)
    late = NOW + 7.5 * SECOND
    assert withdrawn_at(core, late) == [("r1", 1)]
    refused = core.forwarding.ended("r1", sends.Ending.WITHDRAWN, now=late)
    assert isinstance(refused, commands.Refuse)
    assert refused.code is commands.Code.TARGET_FAILED
    assert refused.outcome is commands.Outcome.UNKNOWN


def test_a_withdrawn_stream_without_another_engine_is_not_said_to_be_not_run(core):
    """Guards against "not run" if a send is withdrawn and no engine can take over.

    All engines have superseded weights, and the stream may have begun at its engine.
    """
    send_prompt(core, NOW + 5 * SECOND)
    late = NOW + 7.5 * SECOND
    assert withdrawn_at(core, late) == [("r1", 1)]
    refused = core.forwarding.ended("r1", sends.Ending.WITHDRAWN, now=late)
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.UNKNOWN


def test_a_stream_begun_on_superseded_weights_is_not_withdrawn(core):
    """Guards against withdrawing a stream while its engine generates it.

    It began in time, so it may finish on its superseded weights.
    """
    send_prompt(core, NOW + 5 * SECOND)
    core.forwarding.first_byte("r1", now=NOW + 7 * SECOND)
    assert withdrawn_at(core, NOW + 7.5 * SECOND) == []
    assert withdrawn_at(core, NOW + 9 * SECOND) == []


def test_a_resumed_stream_is_withdrawn_if_it_does_not_begin_in_time(core):
    """Guards against a stream that resumes on weights superseded over 8 s before.

    Its connection breaks, and it is queued at a second engine. Because the first
    engine had begun the answer, the wait at the second one was not checked.
    """
    send_prompt(core, NOW + SECOND)
    core.forwarding.first_byte("r1", now=NOW + 2 * SECOND)
    soon = NOW + 5 * SECOND
    again = core.forwarding.ended("r1", sends.Ending.LOST, now=soon)
    assert again.attempt == 2
    assert withdrawn_at(core, NOW + 7.5 * SECOND) == [("r1", 2)]


def test_each_superseded_version_has_its_own_time_limit(core):
    """Guards against measuring all versions from the latest announcement.

    Version 3 is announced 5 s after version 2, while prompts wait. The limit for
    version 2 counts from the announcement of 3; the limit for version 1 still counts
    from the announcement of 2.
    """
    core.state.targets.get("llm-3").learn_version("m", 2)
    new = send_prompt(core, NOW + SECOND, request_id="new")
    core.state.targets.get("llm-3").leaving = True
    old = send_prompt(core, NOW + SECOND, request_id="old")
    assert (new.version, old.version) == (2, 1)
    core.step(NOW + 5 * SECOND, [weights.VersionAnnounced("m", 3)])
    assert withdrawn_at(core, NOW + 7.5 * SECOND) == [("old", 1)]
    core.forwarding.close("old", now=NOW + 7.5 * SECOND)
    assert withdrawn_at(core, NOW + 12 * SECOND) == []
    assert withdrawn_at(core, NOW + 12.5 * SECOND) == [("new", 1)]


def test_a_send_before_an_announcement_is_withdrawn_in_time_too():
    """Guards against skipping prompts that were sent before the announcement.

    The prompt already waits at its engine when a new weight version is announced.
    """
    core = gateways.make_gateway()
    target = gateways.make_target("llm-3", "llm", versions={"m": 1})
    core.step(NOW, [targetlist.TargetsListed((target,))])
    send_prompt(core, NOW)
    assert withdrawn_at(core, NOW + 5 * SECOND) == []
    core.step(NOW + 5 * SECOND, [weights.VersionAnnounced("m", 2)])
    assert withdrawn_at(core, NOW + 12 * SECOND) == []
    assert withdrawn_at(core, NOW + 12.5 * SECOND) == [("r1", 1)]


def test_a_closed_request_is_not_withdrawn(core):
    send_prompt(core, NOW + 5 * SECOND)
    core.forwarding.close("r1", now=NOW + 6 * SECOND)
    assert withdrawn_at(core, NOW + 7.5 * SECOND) == []


def test_the_log_of_a_send_shows_how_long_its_weights_are_superseded(core):
    """Guards against logs that can't explain an answer on superseded weights.

    They must distinguish a prompt that was sent too late from one that began late.
    """
    sent = send_prompt(core, NOW + 5 * SECOND)
    assert "version 1, replaced by 2 5000 ms ago" in sent.reason
    core.state.targets.get("llm-3").learn_version("m", 2)
    core.state.targets.get("llm-4").learn_version("m", 2)
    assert "replaced" not in send_prompt(core, NOW + 5 * SECOND, request_id="r2").reason


def test_hosts_do_not_all_choose_the_same_idle_engine():
    """Guards against a herd of prompts from all hosts at the one idle engine."""
    core = make_core_with_engines(40)
    for row in core.state.targets:
        busy = world.SentWork(NOW, 0 if row.name == "llm-7" else 40_000)
        row.peer_work_by_entry["entry-2"] = busy
    chosen = collections.Counter(
        target_of_new_context(core, number) for number in range(100)
    )
    assert chosen["llm-7"] < 40


def test_a_context_uses_other_engines_when_its_preferred_ones_are_full():
    core = make_core_with_engines(40)
    for row in core.state.targets:
        if row.name != "llm-7":
            row.held_by_request["other"] = 200_000
    assert {target_of_new_context(core, number) for number in range(20)} == {"llm-7"}


def make_core_with_engines(count):
    core = gateways.make_gateway()
    names = [f"llm-{number}" for number in range(count)]
    targets = tuple(gateways.make_target(name, "llm") for name in names)
    core.step(NOW, [targetlist.TargetsListed(targets)])
    return core


def target_of_new_context(core, number):
    """Send a prompt of a new context, end it, and return its target."""
    prompt = (kvstores.Part(f"context-{number}", 3000), kvstores.Part("own", 10))
    sent = gateways.begin(
        core, "/chat/1", request_id=f"r{number}", model="m", prompt=prompt
    )
    core.forwarding.close(f"r{number}", NOW)
    return sent.target
