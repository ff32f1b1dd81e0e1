"""Answers to our own calls that never end are given up, with few bytes read.

Guards against a store, an engine or a peer that fills the memory of its caller.
"""

import asyncio

import aiohttp
import endless
import pytest
import standins

from sesamespindle.wire import answers, eventstream

_SECONDS = 5.0
_MOST_BYTES = answers.MAX_BODY_BYTES + 4 * 1024 * 1024


async def _read_lines(response):
    async for _ in answers.lines(response):
        pass


@pytest.mark.parametrize("kind", endless.Kind)
@pytest.mark.parametrize("read", [answers.read, answers.read_json, _read_lines])
def test_an_answer_without_end_is_given_up(go, kind, read):
    async def scenario():
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        async with (
            endless.Target("desk-1", address, "desk") as target,
            answers.make_session() as session,
        ):
            headers = {endless.HEADER: kind, "X-Attempt-Id": "a"}
            with pytest.raises(aiohttp.ClientError):
                async with (
                    asyncio.timeout(_SECONDS),
                    session.get(f"http://{address}/", headers=headers) as response,
                ):
                    await read(response)
            (answer,) = target.endless
            assert answer.sent_bytes < _MOST_BYTES

    go(scenario())


def test_an_event_in_many_small_chunks_takes_time_by_its_length():
    splitter = eventstream.EventSplitter()
    assert splitter.feed(b"data: ") == b""
    for _ in range(50_000):
        assert splitter.feed(b"twenty bytes of it. ") == b""
    assert len(splitter.feed(b"\n\r\n")) == 6 + 20 * 50_000 + 3
