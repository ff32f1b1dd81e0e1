"""Which heads of answers are read, at the border, with both parsers of the library."""

import asyncio
import contextlib

import aiohttp
import aiohttp.client_proto
import aiohttp.http_parser
import oddheads
import pytest
import rawservers

from sesamespindle.daemon import connections
from sesamespindle.wire import answers

_SECONDS = 2.0
_SESSIONS = {"own": answers.make_session, "target": connections.make_session}
_PARSERS = {
    "default": aiohttp.client_proto.HttpResponseParser,
    "python": aiohttp.http_parser.HttpResponseParserPy,
}


@pytest.fixture(params=_PARSERS)
def parser(request, monkeypatch):
    """Have the HTTP library use one of its parsers."""
    chosen = _PARSERS[request.param]
    monkeypatch.setattr(aiohttp.client_proto, "HttpResponseParser", chosen)
    return request.param


@contextlib.asynccontextmanager
async def serve(answer_by_path, bytewise):
    """Serve answers, each at its path; yield the URL."""

    async def handle(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                answer = answer_by_path[head.split()[1].decode()]
                await oddheads.send(answer.encode(), writer, bytewise)
                if answer.closes:
                    break
        writer.close()

    async with rawservers.serve(handle) as url:
        yield url


async def read_all(make_session, answer_by_name, bytewise):
    """Return what is read, as (status, body) or the error's class, by name."""
    answer_by_path = {
        f"/{name.encode().hex()}": a for name, a in answer_by_name.items()
    }
    found = {}
    async with serve(answer_by_path, bytewise) as url, make_session() as session:
        for name, path in zip(answer_by_name, answer_by_path, strict=True):
            try:
                async with (
                    asyncio.timeout(_SECONDS),
                    session.get(url + path) as response,
                ):
                    found[name] = response.status, await answers.read(response)
            except (aiohttp.ClientError, TimeoutError) as error:
                found[name] = type(error)
    return found


@pytest.mark.parametrize("bytewise", [False, True], ids=["at-once", "bytewise"])
@pytest.mark.parametrize("session", _SESSIONS)
def test_a_broken_head_is_an_error_at_once(go, parser, session, bytewise):
    """Guards against readers that get what a lenient parser lets through."""
    found = go(read_all(_SESSIONS[session], oddheads.BROKEN, bytewise))
    read = {
        name: result
        for name, result in found.items()
        if result is TimeoutError or not isinstance(result, type)
    }
    assert not read


@pytest.mark.parametrize("bytewise", [False, True], ids=["at-once", "bytewise"])
@pytest.mark.parametrize("session", _SESSIONS)
def test_a_valid_head_is_read(go, parser, session, bytewise):
    """Guards against a check that refuses what HTTP allows."""
    found = go(read_all(_SESSIONS[session], oddheads.VALID, bytewise))
    served = (200, oddheads.BODY)
    assert {name: got for name, got in found.items() if got != served} == {}


def test_a_tab_after_a_coding_is_read(go, parser):
    """Guards against a valid answer that is refused, or read with its frames."""
    answer_by_name = {"tab": oddheads.TAB_AFTER_CODING}
    found = go(read_all(answers.make_session, answer_by_name, bytewise=False))
    assert found == {"tab": (200, oddheads.BODY)}


@pytest.mark.parametrize("session", _SESSIONS)
def test_a_body_that_cannot_be_read_on_is_an_error_at_once(go, parser, session):
    """Guards against readers that wait for the rest of a body that has no rest."""
    found = go(read_all(_SESSIONS[session], oddheads.BROKEN_BODIES, bytewise=True))
    waited = {
        name: got
        for name, got in found.items()
        if got is TimeoutError or not isinstance(got, type)
    }
    assert not waited
