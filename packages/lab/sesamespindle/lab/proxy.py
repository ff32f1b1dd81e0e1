"""A TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum
import itertools
import json

import aiohttp.web

from sesamespindle.lab import standin

_CHUNK_BYTES = 65536
_HOST = "127.0.0.1"


class Mode(enum.StrEnum):
    """What the proxy does with the bytes of its connections.

    PASS forwards them. FREEZE holds both directions until the mode changes; what is
    held for a connection that its sender resets meanwhile is never delivered.
    DROP_ANSWERS and DROP_REQUESTS discard the bytes of one direction. REFUSE closes
    the listening socket, so that new connections are refused.
    """

    PASS = "pass"
    FREEZE = "freeze"
    DROP_ANSWERS = "drop_answers"
    DROP_REQUESTS = "drop_requests"
    REFUSE = "refuse"


class Proxy:
    """Forwards TCP connections to one address, subject to the faults that are set.

    Faults: ``mode``, one of `Mode`; ``delay``, seconds before each chunk of bytes;
    ``cut``, which aborts all connections once; ``cut_after_bytes``, which aborts all
    connections as soon as one that was opened since has sent that many bytes to the
    target; ``silence``, which makes all open connections silent for good, without
    closing them, while new ones work.
    """

    def __init__(self, target_host, target_port):
        self._target = (target_host, target_port)
        self._mode = Mode.PASS
        self._delay = 0.0
        self._cut_after_bytes = 0
        self._changed = asyncio.Condition()
        self._writers = set()
        # Connections with a lower number are silent.
        self._first_audible = 0
        self._connections = itertools.count()
        self._port = 0
        self._server = None

    def application(self):
        """Return the aiohttp application through which faults are set."""
        application = aiohttp.web.Application()
        application.router.add_post("/faults", self._set_faults)
        return application

    @property
    def address(self):
        """Return HOST:PORT at which the proxy accepts connections, once it listens."""
        return f"{_HOST}:{self._port}"

    def lead_to(self, host, port):
        """Forward new connections to another address."""
        self._target = (host, port)

    async def __aenter__(self):
        await self._start_listening()
        return self

    async def __aexit__(self, *exc_info):
        await self._stop_listening()
        self._abort_all()

    async def serve(self, stop_event):
        """Serve until an event is set; print the two URLs as lines of JSON.

        The first line has the URL of the proxy, the second that of the faults.
        """
        async with self:
            print(json.dumps({"proxy_url": f"http://{self.address}"}), flush=True)
            await standin.serve(self.application(), 0, stop_event)

    async def _start_listening(self):
        """Accept connections, at the same port as before if there was one."""
        self._server = await asyncio.start_server(self._accept, _HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def _stop_listening(self):
        """Close the listening socket, so that the system refuses connections."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _set_faults(self, request):
        await self.apply(await request.json())
        return aiohttp.web.json_response({"mode": self._mode})

    async def apply(self, faults):
        """Set the given faults; the others keep their values."""
        self._mode = Mode(faults.get("mode", self._mode))
        self._delay = faults.get("delay", self._delay)
        self._cut_after_bytes = faults.get("cut_after_bytes", self._cut_after_bytes)
        if faults.get("cut"):
            self._abort_all()
        if faults.get("silence"):
            self._first_audible = next(self._connections)
        if self._mode is Mode.REFUSE:
            await self._stop_listening()
        elif self._server is None:
            await self._start_listening()
        async with self._changed:
            self._changed.notify_all()

    def _abort_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader, writer):
        number = next(self._connections)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(
                number, reader, target_writer, Mode.DROP_REQUESTS, self._cut_after_bytes
            ),
            self._forward(number, target_reader, writer, Mode.DROP_ANSWERS, 0),
        )
        self._writers -= {writer, target_writer}

    async def _forward(self, number, reader, writer, drop_mode, cut_after_bytes):
        forwarded_bytes = 0
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self._delay:
                    await asyncio.sleep(self._delay)
                async with self._changed:
                    await self._changed.wait_for(lambda: self._mode is not Mode.FREEZE)
                if reader.exception() is not None:
                    writer.transport.abort()
                    return
                if self._mode is drop_mode or number < self._first_audible:
                    continue
                forwarded_bytes += len(chunk)
                if cut_after_bytes and forwarded_bytes >= cut_after_bytes:
                    self._abort_all()
                    return
                writer.write(chunk)
                await writer.drain()
        if number >= self._first_audible:
            writer.close()
