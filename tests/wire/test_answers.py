"""Whether answers to our own calls are whole."""

import asyncio
import contextlib
import datetime
import json
import pathlib
import re
import socket
import struct

import aiohttp
import pytest
import rawservers

from sesamespindle import wire
from sesamespindle.cli import sending
from sesamespindle.daemon import connections
from sesamespindle.decide import rollout
from sesamespindle.platform import objects, servers, storelinks
from sesamespindle.wire import answers, engine, service

ROOT = pathlib.Path(wire.__file__).parents[4]
SECOND = datetime.timedelta(seconds=1)
LOST = (
    answers.BrokenAnswerError,
    engine.ConnectionLostError,
    objects.LostAnswerError,
)


@contextlib.asynccontextmanager
async def serve_bytes(answer, resets):
    """Serve an answer without a length; yield its URL."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + answer)
        await writer.drain()
        if resets:
            linger = struct.pack("ii", 1, 0)
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            # The bytes must be read before the reset, which discards what isn't.
            await asyncio.sleep(0.05)
        writer.close()

    async with rawservers.serve(handle) as url:
        yield url


async def call(url):
    client = service.ServiceClient()
    request = service.ServiceRequest("POST", "book", "text/plain", b"", "r1", "")
    try:
        return await client.call(url, request, 5 * SECOND)
    finally:
        await client.close()


def test_an_answer_to_a_call_that_was_reset_is_not_stored(go):
    """Guards against half a booking that is stored as the call's answer."""

    async def scenario():
        async with serve_bytes(b"half", resets=True) as url:
            with pytest.raises(engine.ConnectionLostError):
                await call(url)

    go(scenario())


def test_an_answer_to_a_call_that_ends_in_order_is_whole(go):
    async def scenario():
        async with serve_bytes(b"whole", resets=False) as url:
            assert (await call(url)).body == b"whole"

    go(scenario())


async def list_store(url):
    async with storelinks.StoreLinks() as links:
        await objects.ObjectClient(links, url).list("config")


async def report_load(url):
    async with answers.make_session() as session:
        if await engine.EngineClient(session, 5 * SECOND).load(url) is None:
            raise answers.BrokenAnswerError("It has no report.")


async def report_orders(url):
    async with connections.make_session() as session:
        client = servers.ServerClient(session, "entry-1")
        found = await client.report("t-1", url.removeprefix("http://"))
        if isinstance(found, rollout.ReportMissing):
            raise answers.BrokenAnswerError("It has no report.")


async def read_stream(url):
    async with answers.make_session() as session:
        client = engine.EngineClient(session, 5 * SECOND)
        return [event async for event in client.resume(url, "s1", 0)]


@pytest.mark.parametrize(
    ("read", "body"),
    [
        (list_store, b'{"items": [], "CurrentRev": 5}'),
        (report_load, b'{"free": 1}'),
        (report_orders, b'{"Seq": 1, "Busy": false, "Models": []}'),
        (read_stream, b""),
    ],
    ids=["store", "load", "orders", "stream"],
)
def test_an_answer_to_us_that_was_reset_is_lost(go, read, body):
    """Guards against readers that take a reset for an answer's end."""

    async def scenario():
        async with serve_bytes(body, resets=True) as url:
            with pytest.raises(LOST):
                await read(url)

    go(scenario())


@pytest.mark.parametrize(
    "make_session", [answers.make_session, connections.make_session]
)
def test_an_answer_that_was_reset_before_it_is_read_is_lost(go, make_session):
    """Guards against a reader that comes once the connection is gone."""

    async def scenario():
        async with (
            serve_bytes(b"half", resets=True) as url,
            make_session() as session,
            session.get(url) as response,
        ):
            async with asyncio.timeout(SECOND.total_seconds()):
                while not response.content.is_eof():
                    await asyncio.sleep(0)
            with pytest.raises(answers.BrokenAnswerError):
                await answers.read(response)

    go(scenario())


@contextlib.asynccontextmanager
async def serve_in_two(begin, rest):
    """Serve an answer in two pieces; yield its URL and the event that releases one."""
    may_go_on = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(begin)
        await may_go_on.wait()
        writer.write(rest)
        await reader.read()
        writer.close()

    async with rawservers.serve(handle) as url:
        yield url, may_go_on


@pytest.mark.parametrize(
    "rest",
    [b"\r\n0\r\nX Any: z\r\n\r\n", b"\r\n+1\r\nb\r\n0\r\n\r\n"],
    ids=["trailer", "size"],
)
@pytest.mark.parametrize(
    "make_session", [answers.make_session, connections.make_session]
)
def test_a_break_in_the_segment_that_ends_a_chunk_is_told(go, make_session, rest):
    """Guards against a reader that the end of a chunk wakes, and that waits again."""
    begin = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na"

    async def scenario():
        async with (
            serve_in_two(begin, rest) as (url, may_go_on),
            make_session() as session,
            session.get(url) as response,
        ):
            chunks = answers.chunks(response)
            assert await anext(chunks) == b"a"
            may_go_on.set()
            with pytest.raises(aiohttp.ClientPayloadError):
                async with asyncio.timeout(SECOND.total_seconds()):
                    await anext(chunks)

    go(scenario())


def test_a_prompt_of_the_command_line_needs_the_last_line_of_its_answer(go):
    """Guards against half a text that is printed as the whole answer."""
    value = {"choices": [{"delta": {"content": "half"}}]}
    line = f"data: {json.dumps(value)}\n\n".encode()

    async def ask(url):
        entry = {"name": "entry-1", "url": url}
        async with answers.make_session() as session:
            return await sending.send_prompt(session, entry, "key", "m", "hi", 5)

    async def scenario():
        async with serve_bytes(line, resets=False) as url:
            with pytest.raises(answers.BrokenAnswerError):
                await ask(url)
        async with serve_bytes(line + b"data: [DONE]\n\n", resets=False) as url:
            assert (await ask(url)).text == "half"

    go(scenario())


def test_a_stream_of_an_engine_that_ends_inside_a_line_is_lost(go):
    """Guards against half a piece that is taken for a whole one."""
    piece = {"stream": "s1", "sequence": 1, "text": "a", "last": True}
    line = b"data: " + json.dumps(piece | {"finish_reason": "stop"}).encode()

    async def scenario():
        async with serve_bytes(line, resets=False) as url:
            with pytest.raises(engine.ConnectionLostError):
                await read_stream(url)

    go(scenario())


def test_answers_are_read_in_one_place():
    """Guards against a reader with its own idea of when an answer is whole."""
    read_elsewhere = re.compile(r"response\.(json|read|text)\(|response\.content\b")
    found = [
        f"{path.name}: {line.strip()}"
        for folder in (ROOT / "packages", ROOT / "platform")
        for path in folder.rglob("*.py")
        if path.name != "answers.py" and "lab" not in path.parts
        for line in path.read_text().splitlines()
        if read_elsewhere.search(line)
    ]
    assert not found
