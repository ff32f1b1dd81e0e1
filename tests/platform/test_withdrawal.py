"""Prompts that wait at an engine whose weights are superseded, with a real relay.

The host withdraws such a prompt shortly before the time ends in which runs may begin on
the superseded weights.
"""

import asyncio

import aiohttp
import gateways
import places
import pytest
import relays
import standins

from sesamespindle.decide import gateway, routes, targetlist, weights
from sesamespindle.wire import clock

NOW, SECOND = gateways.NOW, gateways.SECOND
# Prompts are sent 5 s after version 2 is announced. From 8 s after the announcement no
# run on version 1 may begin, and the host withdraws prompts that still wait after 0.9
# of this time. 2.5 s after it is sent, a waiting prompt is therefore withdrawn.
SENT_AT, UNTIL_WITHDRAWAL = 5 * SECOND, 2.5 * SECOND
EVENTS = b"".join(b"id: %d\ndata: token\n\n" % number for number in (1, 2, 3))


class Simulation:
    """A host with a manual clock and two engines.

    Both have weight version 1, and version 2 has just been announced.
    """

    def __init__(self, served, manual_clock, old, new):
        self.served = served
        self.old = old
        self.new = new
        self._clock = manual_clock

    def ask(self, path="/chat/1", body=b"body"):
        """Send a prompt; return a task whose result is the status and the body."""
        return asyncio.create_task(self._ask(path, body))

    async def _ask(self, path, body):
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": "r1",
            "X-Api-Key": "key-1",
            "X-Model": "m",
            "X-Prompt-Prefix": "aa:100,bb:10",
        }
        async with (
            aiohttp.ClientSession() as session,
            session.post(self.served.url(path), headers=headers, data=body) as response,
        ):
            return response.status, await response.read()

    def report_new_version(self):
        """Let the host know that the new engine has loaded version 2."""
        row = self.served.driver.core.state.targets.get(self.new.name)
        row.learn_version("m", 2)
        row.leaving = False

    def advance_to_withdrawal(self):
        """Advance the clock until the host withdraws prompts that wait."""
        self._clock.advance(UNTIL_WITHDRAWAL)
        self.served.tick()


def make_core(old, new):
    """Return a gateway that sends prompts only to the old engine at first."""
    core = gateways.make_gateway()
    shares = (routes.Share("llm", 1.0),)
    chat = gateways.make_route(
        "chat", "/chat/", routes.Repeats.RESUMABLE, True, shares=shares
    )
    once = gateways.make_route("ask", "/ask/", routes.Repeats.ONCE, True, shares=shares)
    engines = routes.Engines(("m",), 8, 100_000, 1000, 1e9)
    configuration = gateways.make_configuration(
        2,
        routes=(chat, once),
        service_by_name={"llm": routes.Service("llm", 100, engines)},
    )
    listed = tuple(
        targetlist.ListedTarget(
            engine.name,
            "llm",
            engine.address,
            "dc-1",
            8,
            engine is new,
            {"m": 1},
            places.at(1),
        )
        for engine in (old, new)
    )
    core.step(
        NOW,
        [
            gateway.ConfigurationRead(configuration),
            targetlist.TargetsListed(listed),
            weights.VersionAnnounced("m", 2),
        ],
    )
    return core


@pytest.fixture
def play(go):
    """Return a function that runs a scenario with a `Simulation`."""

    async def with_relay(scenario):
        manual_clock = clock.ManualClock(NOW + SENT_AT)
        async with standins.World() as world:
            old = await world.add_target("llm-1", "llm")
            new = await world.add_target("llm-2", "llm")
            old.admits.clear()
            async with relays.serve(make_core(old, new), manual_clock) as served:
                async with asyncio.timeout(standins.PATIENCE_SECONDS):
                    await scenario(Simulation(served, manual_clock, old, new))

    return lambda scenario: go(with_relay(scenario))


def test_a_prompt_does_not_begin_on_superseded_weights_whose_time_is_over(play):
    """A prompt is sent in time, but waits at an engine whose memory is full.

    Guards against an answer that begins more than 8 s after the announcement of newer
    weights. The host closes the connection, and the engine drops the prompt. The caller
    gets its whole answer from an engine with the new weights.
    """

    async def scenario(simulation):
        request_task = simulation.ask()
        await simulation.old.queued.wait()
        simulation.report_new_version()
        simulation.advance_to_withdrawal()
        await simulation.old.dropped.wait()
        assert await request_task == (200, EVENTS)
        assert simulation.old.runs == []
        assert [run["x-expect-version"] for run in simulation.new.runs] == ["2"]

    play(scenario)


def test_a_withdrawn_prompt_that_may_run_once_is_not_retried(play):
    """A prompt that may run only once is withdrawn from the engine where it waits.

    Nobody can know whether it has begun, so it isn't retried, and the status doesn't
    say that it has not run.
    """

    async def scenario(simulation):
        request_task = simulation.ask("/ask/1")
        await simulation.old.queued.wait()
        simulation.report_new_version()
        simulation.advance_to_withdrawal()
        await simulation.old.dropped.wait()
        status, _ = await request_task
        assert status == 502
        assert simulation.old.runs == simulation.new.runs == []

    play(scenario)


def test_an_answer_that_has_begun_is_completed(play):
    """A stream begins in time.

    Guards against a withdrawal that cuts it off when its weights are superseded.
    """

    async def scenario(simulation):
        simulation.old.release.clear()
        simulation.old.admits.set()
        has_begun = asyncio.Event()
        first_byte = simulation.served.relay._forwarding.first_byte

        def note_first_byte(*args):
            first_byte(*args)
            has_begun.set()

        simulation.served.relay._forwarding.first_byte = note_first_byte
        request_task = simulation.ask()
        await has_begun.wait()
        simulation.report_new_version()
        simulation.advance_to_withdrawal()
        simulation.old.release.set()
        assert await request_task == (200, EVENTS)
        assert simulation.new.runs == []

    play(scenario)


def test_an_answer_that_begins_as_it_is_withdrawn_is_completed(play):
    """The first token arrives in the moment in which its send is withdrawn.

    The caller gets the token, so the answer must go on. Guards against cutting it off:
    the work of the engine would be wasted, and a prompt that may run only once lost.
    """

    async def scenario(simulation):
        simulation.old.release.clear()
        simulation.old.admits.set()
        first_byte = simulation.served.relay._first_byte

        def withdraw_before(*args):
            simulation.advance_to_withdrawal()
            first_byte(*args)
            simulation.old.release.set()

        simulation.served.relay._first_byte = withdraw_before
        assert await simulation.ask("/ask/1") == (200, EVENTS)
        assert simulation.new.runs == []

    play(scenario)


def test_a_prompt_rejected_as_it_is_withdrawn_is_retried(play):
    """An engine rejects a prompt just before the prompt is withdrawn.

    Guards against a prompt that fails although its engine says that it has not run it.
    As nothing has run, another engine may get it.
    """

    async def scenario(simulation):
        simulation.old.turns_away = True
        simulation.old.release.clear()
        simulation.old.admits.set()
        judge = simulation.served.relay._dialect.ending_of

        def withdraw_after(*args):
            ending = judge(*args)
            if not simulation.old.release.is_set():
                simulation.report_new_version()
                simulation.advance_to_withdrawal()
                simulation.old.release.set()
            return ending

        simulation.served.relay._dialect.ending_of = withdraw_after
        assert await simulation.ask("/ask/1") == (200, EVENTS)
        assert len(simulation.new.runs) == 1

    play(scenario)


def test_a_withdrawn_prompt_with_a_streamed_body_is_not_retried(play):
    """A prompt with a long body is withdrawn from the engine where it waits.

    A long body is streamed to the engine and not kept, so another engine would get an
    empty one. The caller gets a final answer that doesn't say that it has not run.
    """

    async def scenario(simulation):
        request_task = simulation.ask(body=b"x" * 900_000)
        await simulation.old.queued.wait()
        simulation.report_new_version()
        simulation.advance_to_withdrawal()
        await simulation.old.dropped.wait()
        status, _ = await request_task
        assert status in (502, 504)
        assert simulation.new.runs == []

    play(scenario)


def test_a_host_that_ends_during_a_withdrawal_does_not_retry(play):
    """A host ends in the moment in which a prompt is withdrawn.

    Guards against a retry that would be abandoned at once: it would run although
    nobody gets its answer.
    """

    async def scenario(simulation):
        request_task = simulation.ask()
        await simulation.old.queued.wait()
        simulation.report_new_version()
        simulation.advance_to_withdrawal()
        simulation.served.relay.end()
        status, _ = await request_task
        assert status == 502
        assert simulation.new.runs == []

    play(scenario)


def test_a_withdrawn_prompt_whose_caller_has_left_is_not_retried(play):
    """A caller leaves in the moment in which its prompt is withdrawn."""

    async def scenario(simulation):
        request_task = simulation.ask()
        await simulation.old.queued.wait()
        simulation.report_new_version()
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)
        await simulation.old.dropped.wait()

        async def is_over():
            return simulation.served.relay.in_flight == 0

        await standins.until(is_over)
        simulation.advance_to_withdrawal()
        assert simulation.old.runs == simulation.new.runs == []

    play(scenario)
