"""Crowds of clients that hold what they send or ask for, and never finish."""

import asyncio
import contextlib
import socket

import standins

_PIECE_BYTES = 64 * 1024
# Samples without any change after which a crowd has sent all that it can, and the
# pause between two of them, in seconds.
_QUIET_SAMPLES = 10
_SAMPLE_SECONDS = 0.1
# Only ends a test whose crowd never has sent all: how long a daemon takes to read what
# it bears depends on the machine.
_SETTLING_SECONDS = 120.0
# How often a client comes back whose connection was closed.
_RETURNS = 2


class Crowd:
    """Clients that each connect, send bytes and then stay.

    Used as a context manager, it has all clients leave at the end.

    Parameters
    ----------
    ip, port : str, int
        Where they connect to.
    count : int
        How many clients there are.
    pieces : callable
        Returns the pieces of bytes that a client sends, by its number.
    reads : bool
        Whether the clients read what they get.

    Attributes
    ----------
    sent_bytes : int
        What the system took of them.
    connected, closed : int
        How many connections were made, and how many of them the daemon closed.
    received : list of bytes
        The beginning of what each connection got, if the clients read.
    """

    def __init__(self, ip, port, count, pieces, reads=True):
        self._address = (ip, port)
        self._count = count
        self._pieces = pieces
        self._reads = reads
        self._tasks = []
        self.sent_bytes = self.connected = self.closed = 0
        self.received = []

    async def __aenter__(self):
        self._tasks = [
            asyncio.create_task(self._stay(number)) for number in range(self._count)
        ]
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def settled(self):
        """Wait until the crowd has sent all that the daemon takes of it.

        Raises
        ------
        TimeoutError
            If it still sends after `_SETTLING_SECONDS`.
        """
        before, quiet = None, 0
        async with asyncio.timeout(_SETTLING_SECONDS):
            while quiet < _QUIET_SAMPLES:
                await asyncio.sleep(_SAMPLE_SECONDS)
                now = (self.sent_bytes, self.connected, self.closed)
                quiet = quiet + 1 if now == before else 0
                before = now

    async def _stay(self, number):
        for _ in range(1 + _RETURNS):
            with socket.socket() as client:
                client.setblocking(False)
                with contextlib.suppress(OSError):
                    await self._send_and_wait(client, number)
                self.closed += 1

    async def _send_and_wait(self, client, number):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, self._address)
        self.connected += 1
        sending = asyncio.create_task(self._send(client, number))
        try:
            await self._until_closed(client)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, client, number):
        loop = asyncio.get_running_loop()
        for piece in self._pieces(number):
            view = memoryview(piece)
            while view:
                part = view[:_PIECE_BYTES]
                await loop.sock_sendall(client, part)
                self.sent_bytes += len(part)
                view = view[_PIECE_BYTES:]

    async def _until_closed(self, client):
        if not self._reads:
            await asyncio.get_running_loop().create_future()
        received = b""
        loop = asyncio.get_running_loop()
        while chunk := await loop.sock_recv(client, _PIECE_BYTES):
            received = (received + chunk)[:_PIECE_BYTES]
        self.received.append(received)


def head(request_id, path="/once/1", *lines, method="POST"):
    """Return the head of a request that the daemons of `standins` serve."""
    fields = (
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 9000",
        f"X-Api-Key: {standins.KEY}",
        *lines,
    )
    return "\r\n".join([*fields, "", ""]).encode()


def chunked(body, chunk_bytes):
    """Return a body in chunks, without the end of the last one."""
    chunks = []
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        chunks.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join(chunks)


class HeldRelay:
    """Passes bytes on to an address, and holds what comes after the first ones.

    So it makes a client of a library one that stops in the middle.

    Parameters
    ----------
    ip, port : str, int
        Where it passes bytes on to.
    passed_bytes : int
        How many bytes of each connection it passes on.

    Attributes
    ----------
    passed : int
        The bytes that it has passed on.
    """

    def __init__(self, ip, port, passed_bytes):
        self._address = (ip, port)
        self._passed_bytes = passed_bytes
        self._server = None
        self._writers = []
        self.passed = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    @property
    def address(self):
        """Where it listens, as ``host:port``."""
        ip, port = self._server.sockets[0].getsockname()
        return f"{ip}:{port}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(*self._address)
            self._writers += [writer, far_writer]
            back = asyncio.create_task(self._pass(far_reader, writer, None))
            await self._pass(reader, far_writer, self._passed_bytes)
            await back

    async def _pass(self, reader, writer, left):
        while chunk := await reader.read(_PIECE_BYTES):
            if left is not None:
                chunk = chunk[:left]
                left -= len(chunk)
                self.passed += len(chunk)
            writer.write(chunk)
            await writer.drain()
            if left == 0:
                await asyncio.get_running_loop().create_future()
        writer.close()
