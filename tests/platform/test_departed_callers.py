"""Callers whose connection breaks while they get an answer, with a real relay."""

import aiohttp
import aiohttp.web
import gateways
import pytest
import relays
import standins

from sesamespindle.daemon import callerprotocol
from sesamespindle.wire import clock

# What the relay calls to start, continue and end an answer to its caller.
STEPS = ("prepare", "write", "write_eof")
HEADERS = {
    "Host": "a.example",
    "X-Attempt-Id": "r1",
    "X-Api-Key": "key-1",
    "X-Model": "m",
    "X-Prompt-Prefix": "aa:100,bb:10",
}


@pytest.fixture
def play(go):
    """Return a function that runs a scenario with a relay and two targets of each."""

    async def with_relay(scenario):
        manual_clock = clock.ManualClock(gateways.NOW)
        async with standins.World() as world:
            targets = [
                await world.add_target(f"{service}-{number}", service)
                for service in ("llm", "desk")
                for number in (1, 2)
            ]
            async with relays.serve(relays.make_core(targets), manual_clock) as served:
                await scenario(served, targets)

    return lambda scenario: go(with_relay(scenario))


def break_connection_before(monkeypatch, step):
    """Make the caller's connection break right before a step of its answer.

    The relay's handler isn't cancelled yet at that moment.
    """
    transports = []
    prepare = aiohttp.web.StreamResponse.prepare
    original = getattr(aiohttp.web.StreamResponse, step)

    async def note_transport(response, request):
        transports.append(request.transport)
        return await prepare(response, request)

    async def break_then_call(response, *args):
        for transport in (
            *transports,
            *(x.transport for x in args if step == STEPS[0]),
        ):
            transport.abort()
        return await original(response, *args)

    monkeypatch.setattr(aiohttp.web.StreamResponse, "prepare", note_transport)
    monkeypatch.setattr(aiohttp.web.StreamResponse, step, break_then_call)


async def ask_and_lose(served, path):
    with pytest.raises(aiohttp.ClientError):
        async with (
            aiohttp.ClientSession() as session,
            session.post(served.url(path), headers=HEADERS, data=b"b") as response,
        ):
            await response.read()

    async def is_over():
        return served.relay.in_flight == 0

    await standins.until(is_over)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("path", ["/chat/1", "/read/1"])
def test_a_caller_that_leaves_does_not_count_against_its_target(
    play, monkeypatch, step, path
):
    """Guards against a second run for nobody, and a sound target that is avoided."""

    async def scenario(served, targets):
        for target in targets:
            target.unframed_bytes = 3 * callerprotocol.MAX_BUFFERED_BYTES
        break_connection_before(monkeypatch, step)
        await ask_and_lose(served, path)
        runs = [target.name for target in targets for _ in target.runs]
        assert len(runs) == 1
        row = served.driver.core.state.targets.get(runs[0])
        assert row.failure_rate == 0.0

    play(scenario)
