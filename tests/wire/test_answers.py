"""Whether answers to our own calls are whole."""

import asyncio
import contextlib
import datetime
import socket
import struct

import pytest

from sesamespindle.wire import engine, service

SECOND = datetime.timedelta(seconds=1)


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

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"http://{host}:{port}"
    finally:
        server.close()


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
