"""Streams whose events are passed on in the callback that receives them."""

import asyncio

import aiohttp
import aiohttp.web
import gateways
import pytest
import relays
import standins

from sesamespindle.daemon import connections, streampump
from sesamespindle.wire import clock

HEADERS = {
    "Host": "a.example",
    "X-Attempt-Id": "r1",
    "X-Api-Key": "key-1",
    "X-Model": "m",
    "X-Prompt-Prefix": "aa:100,bb:10",
}
EVENTS = [f"id: {number}\ndata: t\n\n".encode() for number in range(1, 7)]
WHOLE = b"".join(EVENTS)
LARGE_EVENT = b"data: " + b"x" * 60_000 + b"\n\n"
LARGE_EVENTS = 1000
# Beside what may wait unsent, what the HTTP library reads at once and passes on.
MAX_WAITING = streampump.MAX_UNSENT_BYTES + 1024 * 1024


class ScriptedTarget(standins.Target):
    """An engine that sends each stream's body by a script.

    Attributes
    ----------
    scripts : list of callable
        Each is called with a writer and the headers of a request, in turn.
    """

    def __init__(self, name, address):
        super().__init__(name, address, "llm")
        self.scripts = []

    async def _stream(self, headers, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
            b"X-Attempt-Id: " + headers["x-attempt-id"].encode() + b"\r\n\r\n"
        )
        await self.scripts.pop(0)(writer, headers)


def chunk(data):
    """Return bytes as one chunk of HTTP."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.fixture
def play(go):
    """Return a function that runs a scenario with a relay and two engines.

    The engines follow one list of scripts, in the order of the sends.
    """

    async def with_relay(scripts, scenario):
        async with standins.World() as world:
            targets = [ScriptedTarget(f"e{n}", world._address()) for n in (1, 2)]
            for target in targets:
                target.scripts = scripts
                await world.list_target(target)
            manual_clock = clock.ManualClock(gateways.NOW)
            async with relays.serve(relays.make_core(targets), manual_clock) as served:
                await scenario(served, targets)

    return lambda scripts, scenario: go(with_relay(list(scripts), scenario))


@pytest.fixture
def callers(monkeypatch):
    """Return the list of the callers' transports of all answers that have begun."""
    transports = []
    original = streampump.pass_on

    async def note(response, caller, answer, heard):
        transports.append(caller.transport)
        await original(response, caller, answer, heard)

    monkeypatch.setattr(streampump, "pass_on", note)
    return transports


async def ask(served):
    """Return the body that a caller gets of a stream, and its chunks."""
    received = []
    async with (
        aiohttp.ClientSession() as session,
        session.post(served.url("/chat/1"), headers=HEADERS, data=b"b") as response,
    ):
        async for data, is_end in response.content.iter_chunks():
            received.append((data, is_end))
    return b"".join(data for data, _ in received), received


async def is_idle(served):
    return served.relay.in_flight == 0


@pytest.mark.parametrize("piece_bytes", [1, 5, 30, 1000])
def test_bytes_split_anywhere_arrive_as_whole_events(play, callers, piece_bytes):
    """Guards against a part of an event in a chunk, and bytes lost or doubled."""

    async def script(writer, headers):
        body = b"".join(map(chunk, EVENTS)) + b"0\r\n\r\n"
        for start in range(0, len(body), piece_bytes):
            writer.write(body[start : start + piece_bytes])
            await asyncio.sleep(0)

    async def scenario(served, targets):
        body, received = await ask(served)
        assert body == WHOLE
        assert all(data.endswith(b"\n\n") for data, is_end in received if data)
        assert len(callers) <= 1

    play([script], scenario)


def test_a_slow_caller_holds_a_fast_target_back(play, callers, monkeypatch):
    """Guards against a process that fills with the events of a fast target."""
    paused = asyncio.Event()
    pause = connections.TargetConnection.pause_reading

    def note_pause(connection):
        paused.set()
        pause(connection)

    monkeypatch.setattr(connections.TargetConnection, "pause_reading", note_pause)

    async def script(writer, headers):
        for _ in range(LARGE_EVENTS):
            writer.write(chunk(LARGE_EVENT))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    async def scenario(served, targets):
        async with (
            aiohttp.ClientSession() as session,
            session.post(served.url("/chat/1"), headers=HEADERS, data=b"b") as response,
        ):
            async with asyncio.timeout(standins.PATIENCE_SECONDS):
                await paused.wait()
            assert callers[0].get_write_buffer_size() <= MAX_WAITING
            assert await response.read() == LARGE_EVENT * LARGE_EVENTS

    play([script], scenario)


def test_the_target_of_a_departed_caller_is_let_go(play):
    """Guards against streams that go on for nobody, and targets avoided for it."""
    ended = asyncio.Event()

    async def script(writer, headers):
        while not writer.transport.is_closing():
            writer.write(chunk(EVENTS[0]))
            await asyncio.sleep(0.001)
        ended.set()

    async def scenario(served, targets):
        async with (
            aiohttp.ClientSession() as session,
            session.post(served.url("/chat/1"), headers=HEADERS, data=b"b") as response,
        ):
            await response.content.readexactly(len(EVENTS[0]) * 20)
            response.close()
        await ended.wait()
        await standins.until(lambda: is_idle(served))
        rows = served.driver.core.state.targets
        assert [rows.get(target.name).failure_rate for target in targets] == [0, 0]
        assert sum(len(target.runs) for target in targets) == 1

    play([script], scenario)


@pytest.mark.parametrize("ends_in_order", [True, False])
def test_a_broken_stream_is_continued_after_its_last_whole_event(play, ends_in_order):
    """Guards against half an event before the rest, and events lost or doubled."""

    async def break_off(writer, headers):
        for event in EVENTS[:3]:
            writer.write(chunk(event))
            await asyncio.sleep(0.01)
        writer.write(chunk(EVENTS[3][:-3]))
        await asyncio.sleep(0.01)
        if ends_in_order:
            writer.close()
        else:
            writer.transport.abort()

    async def go_on(writer, headers):
        assert headers["last-event-id"] == "3"
        writer.write(b"".join(map(chunk, EVENTS[3:])) + b"0\r\n\r\n")

    async def scenario(served, targets):
        body, _ = await ask(served)
        assert body == WHOLE
        assert [len(target.runs) for target in targets] == [1, 1]

    play([break_off, go_on], scenario)


def test_an_event_without_end_breaks_the_stream_off(play):
    """Guards against an event that is collected for as long as its bytes come."""

    async def go_without_end(writer, headers):
        writer.write(chunk(EVENTS[0]))
        await asyncio.sleep(0.01)
        while not writer.transport.is_closing():
            writer.write(chunk(b"data: " + b"x" * 10_000))
            await writer.drain()

    async def go_on(writer, headers):
        writer.write(b"".join(map(chunk, EVENTS[1:])) + b"0\r\n\r\n")

    async def scenario(served, targets):
        body, _ = await ask(served)
        assert body == WHOLE

    play([go_without_end, go_on], scenario)


def test_a_stream_ends_at_its_time_limit(play):
    """Guards against a stream that outlasts its deadline, or then looks complete."""

    async def hang(writer, headers):
        for event in EVENTS[:2]:
            writer.write(chunk(event))
            await asyncio.sleep(0.01)
        await writer.wait_closed()

    async def scenario(served, targets):
        sent = HEADERS | {"X-Deadline-Ms": "300"}
        received = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    served.url("/chat/1"), headers=sent, data=b"b"
                ) as response,
            ):
                async for data in response.content.iter_any():
                    received += data
        assert received == EVENTS[0] + EVENTS[1]
        await standins.until(lambda: is_idle(served))

    play([hang], scenario)


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_caller_of_http_1_0_gets_events_without_chunks(play, is_whole):
    """Guards against chunk sizes among events, and half an answer that looks whole."""

    async def script(writer, headers):
        for event in EVENTS[:3]:
            writer.write(chunk(event))
            await asyncio.sleep(0.01)
        if is_whole:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    async def scenario(served, targets):
        host, port = served.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"{name}: {value}" for name, value in HEADERS.items()]
        head = "\r\n".join(["POST /chat/1 HTTP/1.0", *lines, "Content-Length: 1"])
        writer.write(head.encode() + b"\r\n\r\nb")
        await reader.readuntil(b"\r\n\r\n")
        body = await reader.readexactly(len(b"".join(EVENTS[:3])))
        assert body == b"".join(EVENTS[:3])
        if is_whole:
            assert await reader.read() == b""
        else:
            with pytest.raises(ConnectionResetError):
                await reader.read()
        writer.close()

    play([script], scenario)
