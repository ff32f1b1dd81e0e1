"""Servers on which a test writes the bytes of answers itself."""

import asyncio
import contextlib


@contextlib.asynccontextmanager
async def serve(handle):
    """Serve connections at a free port of the loopback device; yield the URL.

    Parameters
    ----------
    handle : coroutine function
        Called with the `asyncio.StreamReader` and `asyncio.StreamWriter` of each
        connection, which it closes.
    """
    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"http://{host}:{port}"
    finally:
        server.close()
