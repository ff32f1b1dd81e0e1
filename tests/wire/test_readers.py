"""What each reader of answers takes for an answer, by head and by status."""

import asyncio
import contextlib
import dataclasses
import datetime
import json
from collections import abc

import aiohttp
import pytest
import rawservers

from sesamespindle.cli import context, outcomes, sending
from sesamespindle.daemon import connections
from sesamespindle.decide import kvstores, rollout
from sesamespindle.platform import objects, servers, storelinks
from sesamespindle.wire import answers, engine, platform, service

_SECOND = datetime.timedelta(seconds=1)
_WAIT = 5 * _SECOND
_OTHER_STATUSES = (202, 299, 302, 418, 500, 599)
_BROKEN_LINES = {
    "status-000": b"HTTP/1.1 000 OK",
    "version": b"HTTP/2.0 200 OK",
    "name": b"HTTP/1.1 200 OK\r\nContent-Length : 2",
    "coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """A reader of answers.

    Attributes
    ----------
    ask : callable
        Takes a URL; asks there, and returns what it takes for the answer.
    body : object
        A body that is an answer to it, as JSON values, or as bytes.
    failures : tuple
        The errors by which it says that there was no answer.
    nothing : object
        What it returns if it says so by a value.
    successes : sequence of int
        The statuses with which its question is answered.
    """

    ask: abc.Callable
    body: object
    failures: tuple = ()
    nothing: object = None
    successes: abc.Sequence[int] = (200,)


async def _list_store(url):
    async with storelinks.StoreLinks() as links:
        return await objects.ObjectClient(links, url).list("config")


async def _write_store(url):
    async with storelinks.StoreLinks() as links:
        client = objects.ObjectClient(links, url)
        return await client.write("config", "main", {}, objects.revisions.NEVER)


def _asks_target(ask):
    async def ask_target(url):
        async with connections.make_session() as session:
            client = servers.ServerClient(session, "entry-1")
            return await ask(client, url.removeprefix("http://"))

    return ask_target


def _asks(ask):
    async def ask_with_session(url):
        async with answers.make_session() as session:
            return await ask(session, url)

    return ask_with_session


async def _list_parts(client, address):
    event, _ = await client.store_list("kv-1", address)
    return event


async def _read_changes(client, address):
    event, _ = await client.store_changes("kv-1", address, 1, 0)
    return event if isinstance(event, kvstores.StoreChanged) else None


async def _order(client, address):
    status = await client.order_version(
        rollout.OrderVersion("t-1", address, "m", 2, 1, 0)
    )
    return status if status in (None, 200) else None


async def _read_stream(session, url):
    client = engine.EngineClient(session, _WAIT)
    return [event async for event in client.resume(url, "s1", 0)]


async def _get_object(session, url):
    return await platform.PlatformClient(session, url, _WAIT).get("heads", "a")


async def _create_object(session, url):
    return await platform.PlatformClient(session, url, _WAIT).create("heads", "a", {})


async def _call_service(url):
    client = service.ServiceClient()
    request = service.ServiceRequest("POST", "book", "text/plain", b"", "r1", "")
    try:
        return await client.call(url, request, _WAIT)
    finally:
        await client.close()


def _entry(url):
    return {"name": "entry-1", "url": url}


async def _ask_daemon(session, url):
    keys = {context.ADMIN_KEY_VARIABLE: "k"}
    return await context.Context(session, keys).ask_daemon(url, "/state")


_NO_COMMAND = (outcomes.CommandError, aiohttp.ClientError)
_MISSING = (platform.PlatformUnavailableError,)
_PIECE = {
    "stream": "s1",
    "sequence": 1,
    "text": "a",
    "last": True,
    "finish_reason": "stop",
}
_LIST = {"BootEpoch": 1, "NextToken": 1, "Held": []}
_CHANGES = {"BootEpoch": 1, "NextToken": 1, "Events": []}
_ENTRIES = {"entries": [{"name": "entry-1", "url": "http://127.0.0.1:1"}]}
_READERS = {
    "store-list": Reader(_list_store, {"items": [], "CurrentRev": 1}, _MISSING),
    "store-write": Reader(
        _write_store, {"Metadata": {"Name": "main", "Revision": 1}}, _MISSING
    ),
    "report": Reader(
        _asks_target(lambda client, address: client.report("t-1", address)),
        {"Seq": 1, "Busy": False, "Models": []},
        nothing=rollout.ReportMissing("t-1"),
    ),
    "order": Reader(_asks_target(_order), {}),
    "kv-list": Reader(
        _asks_target(_list_parts), _LIST, nothing=kvstores.StoreUnavailable("kv-1")
    ),
    "kv-events": Reader(_asks_target(_read_changes), _CHANGES),
    "load": Reader(
        _asks(lambda session, url: engine.EngineClient(session, _WAIT).load(url)),
        {"free": 1},
    ),
    "stream": Reader(
        _asks(_read_stream),
        b"data: %b\n" % json.dumps(_PIECE).encode(),
        (engine.ConnectionLostError, engine.StreamNotFoundError),
    ),
    "platform-get": Reader(_asks(_get_object), {"version": 1, "value": 1}, _MISSING),
    "platform-put": Reader(_asks(_create_object), {"version": 1}, _MISSING),
    "daemon": Reader(_asks(_ask_daemon), {"name": "entry-1"}),
    "entry": Reader(
        _asks(lambda session, url: sending.choose_entry(session, [url], "k")),
        _ENTRIES,
        _NO_COMMAND,
    ),
    "prompt": Reader(
        _asks(
            lambda session, url: sending.send_prompt(
                session, _entry(url), "k", "m", "hi", 5
            )
        ),
        b"data: [DONE]\n",
        _NO_COMMAND,
    ),
    "call": Reader(
        _asks(
            lambda session, url: sending.send_call(
                session, _entry(url), "k", "desk", "book", {}, ""
            )
        ),
        {"booked": True},
        _NO_COMMAND,
        successes=range(200, 300),
    ),
    "ticket": Reader(
        _asks(lambda session, url: sending.mint_ticket(session, _entry(url), "k")),
        {"ticket": "t"},
        _NO_COMMAND,
        successes=(201,),
    ),
}
# The status of a service's answer is its caller's to judge.
_READERS_OF_HEADS = _READERS | {
    "service": Reader(_call_service, {}, (engine.ConnectionLostError,))
}


@contextlib.asynccontextmanager
async def _serve(first_lines, body):
    """Answer any request with the same bytes; yield the URL."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            length = b"Content-Length: %d" % len(content)
            writer.write(b"\r\n".join((first_lines, length, b"", content)))
            await writer.drain()
        writer.close()

    async with rawservers.serve(handle) as url:
        yield url


async def _expect_no_answer(reader, first_lines):
    async with _serve(first_lines, reader.body) as url, asyncio.timeout(10):
        try:
            found = await reader.ask(url)
        except reader.failures:
            return
    assert found == reader.nothing
    assert not reader.failures


@pytest.mark.parametrize("line", _BROKEN_LINES)
@pytest.mark.parametrize("name", _READERS_OF_HEADS)
def test_a_broken_head_is_no_answer(go, name, line):
    """Guards against a reader that takes it for one, or ends by its error."""
    go(_expect_no_answer(_READERS_OF_HEADS[name], _BROKEN_LINES[line]))


@pytest.mark.parametrize("status", _OTHER_STATUSES)
@pytest.mark.parametrize("name", _READERS)
def test_a_status_that_a_reader_does_not_know_is_no_success(go, name, status):
    """Guards against a body that is believed whatever its status says."""
    if status not in _READERS[name].successes:
        go(_expect_no_answer(_READERS[name], b"HTTP/1.1 %d Odd" % status))


@pytest.mark.parametrize("status", (304, 404))
def test_a_write_is_not_answered_as_a_read_that_finds_nothing(go, status):
    """Guards against a writer that ends by an error which nobody catches."""
    line = b"HTTP/1.1 %d Odd" % status
    go(_expect_no_answer(_READERS["platform-put"], line))


@pytest.mark.parametrize("name", _READERS)
def test_the_answer_that_a_reader_expects_is_read(go, name):
    """Guards against a test whose answers no reader would take anyway."""
    reader = _READERS[name]

    async def scenario():
        line = b"HTTP/1.1 %d OK" % reader.successes[0]
        async with _serve(line, reader.body) as url:
            assert await reader.ask(url) != reader.nothing

    go(scenario())


def test_the_next_entry_is_asked_if_one_gives_no_answer(go):
    """Guards against a command that fails beside an entry in trouble."""

    async def scenario():
        broken = _serve(_BROKEN_LINES["status-000"], _ENTRIES)
        sound = _serve(b"HTTP/1.1 200 OK", _ENTRIES)
        async with broken as first, sound as second, answers.make_session() as session:
            entry = await sending.choose_entry(session, [first, second], "k")
            assert entry["name"] == "entry-1"

    go(scenario())
