"""Prompts that wait at an engine whose weights are replaced, with a real relay."""

import asyncio

import aiohttp
import gateways
import pytest
import relays
import standins

from sesamespindle.decide import gateway, routes, targetlist, weights
from sesamespindle.wire import clock

NOW, SECOND = gateways.NOW, gateways.SECOND
SENT_AT, LATE = 5 * SECOND, 2.5 * SECOND
EVENTS = b"".join(b"id: %d\ndata: token\n\n" % number for number in (1, 2, 3))


class Play:
    """Two engines with version 1, version 2 just named, and a host with its clock."""

    def __init__(self, served, now, old, new):
        self.served = served
        self.old = old
        self.new = new
        self._now = now

    def ask(self, path="/chat/1", body=b"body"):
        """Send a prompt; return the task that gives status and body."""
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

    def load_new(self):
        """Have the host know that the other engine has version 2."""
        row = self.served.driver.core.state.targets.get(self.new.name)
        row.learn_version("m", 2)
        row.leaving = False

    def pass_time(self):
        """Let time pass to just before the end of version 1's time."""
        self._now.advance(LATE)
        self.served.tick()


def make_core(old, new):
    """Return a gateway that sends prompts to the old engine alone at first."""
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
            engine.name, "llm", engine.address, "dc-1", 8, engine is new, {"m": 1}, 1
        )
        for engine in (old, new)
    )
    core.step(
        NOW,
        [
            gateway.ConfigurationRead(configuration),
            targetlist.TargetsListed(listed),
            weights.VersionNamed("m", 2),
        ],
    )
    return core


@pytest.fixture
def play(go):
    """Give a function that plays a scenario with a `Play`."""

    async def with_relay(scenario):
        now = clock.ManualClock(NOW + SENT_AT)
        async with standins.World() as world:
            old = await world.add_target("llm-1", "llm")
            new = await world.add_target("llm-2", "llm")
            old.admits.clear()
            async with relays.serve(make_core(old, new), now) as served:
                async with asyncio.timeout(standins.PATIENCE_SECONDS):
                    await scenario(Play(served, now, old, new))

    return lambda scenario: go(with_relay(scenario))


def test_a_prompt_does_not_begin_on_weights_whose_time_is_over(play):
    """A user gets an answer of weights that were replaced over 8 s before.

    The prompt was sent in time, waited at an engine whose memory was full, and
    began there too late. The engine drops it once its connection closes; the
    caller gets its whole answer from an engine with the new weights.
    """

    async def scenario(played):
        asking = played.ask()
        await played.old.queued.wait()
        played.load_new()
        played.pass_time()
        await played.old.dropped.wait()
        assert await asking == (200, EVENTS)
        assert played.old.runs == []
        assert [run["x-expect-version"] for run in played.new.runs] == ["2"]

    play(scenario)


def test_a_prompt_that_may_run_once_ends_where_it_waits(play):
    """A prompt that may run once is taken back from the engine where it waits.

    Nobody can know that it hasn't begun, so no other engine gets it and the
    status promises nothing.
    """

    async def scenario(played):
        asking = played.ask("/ask/1")
        await played.old.queued.wait()
        played.load_new()
        played.pass_time()
        await played.old.dropped.wait()
        status, _ = await asking
        assert status == 502
        assert played.old.runs == played.new.runs == []

    play(scenario)


def test_an_answer_that_has_begun_comes_to_its_end(play):
    """A stream that began in time is cut off at the end of its weights' time."""

    async def scenario(played):
        played.old.release.clear()
        played.old.admits.set()
        has_begun = asyncio.Event()
        first_byte = played.served.relay._forwarding.first_byte

        def note_first_byte(*args):
            first_byte(*args)
            has_begun.set()

        played.served.relay._forwarding.first_byte = note_first_byte
        asking = played.ask()
        await has_begun.wait()
        played.load_new()
        played.pass_time()
        played.old.release.set()
        assert await asking == (200, EVENTS)
        assert played.new.runs == []

    play(scenario)


def test_an_answer_that_begins_as_it_is_withdrawn_comes_to_its_end(play):
    """The first token comes in the instant in which its send is taken back.

    The caller gets it, so the answer must go on; cut off, the engine would have
    worked for nobody, and what may run once would be lost.
    """

    async def scenario(played):
        played.old.release.clear()
        played.old.admits.set()
        first_byte = played.served.relay._first_byte

        def withdraw_before(*args):
            played.pass_time()
            first_byte(*args)
            played.old.release.set()

        played.served.relay._first_byte = withdraw_before
        assert await played.ask("/ask/1") == (200, EVENTS)
        assert played.new.runs == []

    play(scenario)


def test_what_is_turned_away_as_it_is_withdrawn_is_known_not_to_have_run(play):
    """A booking fails although its engine had said that it would not run it.

    That answer's beginning came just before the booking was taken back. Another
    engine may have it, as nothing has run.
    """

    async def scenario(played):
        played.old.turns_away = True
        played.old.release.clear()
        played.old.admits.set()
        judge = played.served.relay._dialect.judge

        def withdraw_after(*args):
            ending = judge(*args)
            if not played.old.release.is_set():
                played.load_new()
                played.pass_time()
                played.old.release.set()
            return ending

        played.served.relay._dialect.judge = withdraw_after
        assert await played.ask("/ask/1") == (200, EVENTS)
        assert len(played.new.runs) == 1

    play(scenario)


def test_a_long_body_that_has_passed_through_is_not_sent_again(play):
    """A prompt with a long body is taken back from the engine where it waits.

    The body was passed through and isn't kept, so another engine would get an
    empty one. The caller gets a final answer that promises nothing.
    """

    async def scenario(played):
        asking = played.ask(body=b"x" * 900_000)
        await played.old.queued.wait()
        played.load_new()
        played.pass_time()
        await played.old.dropped.wait()
        status, _ = await asking
        assert status in (502, 504)
        assert played.new.runs == []

    play(scenario)


def test_a_host_that_ends_meanwhile_sends_nothing_on(play):
    """A host ends in the instant in which a prompt is taken back.

    It would be sent on, to be given up at once: a run for nobody.
    """

    async def scenario(played):
        asking = played.ask()
        await played.old.queued.wait()
        played.load_new()
        played.pass_time()
        played.served.relay.end()
        status, _ = await asking
        assert status == 502
        assert played.new.runs == []

    play(scenario)


def test_a_caller_that_leaves_meanwhile_is_not_served(play):
    """A caller leaves in the instant in which its prompt is taken back."""

    async def scenario(played):
        asking = played.ask()
        await played.old.queued.wait()
        played.load_new()
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await played.old.dropped.wait()

        async def is_over():
            return played.served.relay.in_flight == 0

        await standins.until(is_over)
        played.pass_time()
        assert played.old.runs == played.new.runs == []

    play(scenario)
