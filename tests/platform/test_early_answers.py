"""Answers that a target begins while it still gets the body of their request."""

import asyncio
import contextlib
import enum
import itertools
import socket

import aiohttp
import brokenanswers
import pytest
import standins

# The sockets hold the first, and the daemon the second; the last it passes on.
_UPLOAD_BYTES = {"short": 900_000, "held": 6_000_000, "passed-on": 16_000_000}
_RECEIVE_BUFFER_BYTES = 16 * 1024
_MEMORY_MB = 160
_PAUSES_SECONDS = (0.0, 0.02)
# A short part, and one of which the caller gets some before it ends.
_PART_BYTES = (1_000, 900_000)
_PATH_BY_SERVICE = {"llm": "/talk/1", "desk": "/once/1"}
_EVENT = b"id: 1\ndata: token\n\n"


class End(enum.StrEnum):
    """How a target ends its connection."""

    RESET = "reset"
    # As a process that closes while more of the upload is on the way.
    CLOSE_THEN_RESET = "close-then-reset"
    # The answer is whole, and the rest of the upload is read after it.
    NEVER = "never"


class EarlyTarget(standins.Target):
    """A target that answers before it has read the body of a request.

    Attributes
    ----------
    framing : brokenanswers.Framing
        What marks the end of its answers.
    end : End
        How it ends its connection after a part of its answer.
    pause_seconds : float
        How long after a part of its answer it resets the connection.
    read_bytes : int
        How much of the body it reads before it answers.
    part_bytes : int
        How much of a plain answer it sends; of a stream it sends one event.
    """

    framing = brokenanswers.Framing.CLOSE
    end = End.RESET
    pause_seconds = 0.0
    read_bytes = 0
    part_bytes = 0

    async def listen(self):
        """Accept connections that take little of an upload that isn't read."""
        host, port = self.address.split(":")
        listener = socket.create_server((host, int(port)))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listener)

    async def _serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            headers = standins.parse_head(await reader.readuntil(b"\r\n\r\n"))
            if "x-attempt-id" in headers:
                self.runs.append(headers)
            await reader.readexactly(self.read_bytes)
            writer.transport.pause_reading()
            writer.write(self._part(headers.get("x-attempt-id", "-")))
            await writer.drain()
            if self.end is End.NEVER:
                writer.transport.resume_reading()
                await reader.read(-1)
                writer.close()
                return
            if self.end is End.CLOSE_THEN_RESET:
                writer.write_eof()
            await asyncio.sleep(self.pause_seconds)
        brokenanswers.reset(writer)

    def _part(self, attempt):
        is_engine = self.service == "llm"
        body = _EVENT if is_engine else b"x" * self.part_bytes
        is_whole = self.end is End.NEVER
        length = len(body) if is_whole else 2 * len(body)
        last_chunk = b"0\r\n\r\n" if is_whole else b""
        framing, part = {
            brokenanswers.Framing.CLOSE: ("", body),
            brokenanswers.Framing.LENGTH: (f"Content-Length: {length}\r\n", body),
            brokenanswers.Framing.CHUNKS: (
                "Transfer-Encoding: chunked\r\n",
                b"%x\r\n%s\r\n%s" % (len(body), body, last_chunk),
            ),
        }[self.framing]
        content_type = "text/event-stream" if is_engine else "text/plain"
        head = (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {attempt}\r\n"
            f"Content-Type: {content_type}\r\nConnection: close\r\n{framing}\r\n"
        )
        return head.encode() + part


async def _start(world, service, framing, end):
    """Start a target and a daemon; return both."""
    manifest = brokenanswers.make_manifest()
    manifest["Limits"]["MaxBodyBytes"] = 2 * max(_UPLOAD_BYTES.values())
    await world.store.put("config", "main", manifest)
    address = f"127.0.0.1:{standins.free_ports(1)[0]}"
    target = EarlyTarget("early-1", address, service)
    target.framing, target.end = framing, end
    await world.list_target(target)
    world.limits = {"MemoryMb": _MEMORY_MB}
    return target, await world.add_daemon()


async def _ask(world, daemon, service, attempt, upload_bytes):
    """Return the status of an answer that looks complete, or None."""
    prompt = brokenanswers.PROMPT if service == "llm" else {}
    headers = prompt | {
        "Host": "a.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "4000",
        "X-Api-Key": standins.KEY,
    }
    try:
        async with world.session.post(
            daemon.url(_PATH_BY_SERVICE[service]),
            headers=headers,
            data=b"u" * upload_bytes,
        ) as response:
            await response.read()
            return response.status
    except aiohttp.ClientError:
        return None


def _cases():
    """Return framings and uploads; only an answer without framing needs them all."""
    for upload in _UPLOAD_BYTES:
        yield brokenanswers.Framing.CLOSE, upload
    for framing in (brokenanswers.Framing.LENGTH, brokenanswers.Framing.CHUNKS):
        yield framing, "short"


@pytest.mark.parametrize("service", _PATH_BY_SERVICE)
@pytest.mark.parametrize(("framing", "upload"), tuple(_cases()))
@pytest.mark.parametrize("end", (End.RESET, End.CLOSE_THEN_RESET))
def test_a_part_of_an_answer_during_an_upload_is_not_complete(
    play, upload, framing, service, end
):
    """Guards against part of an answer that its caller takes for all of it."""

    async def scenario(world):
        target, daemon = await _start(world, service, framing, end)
        statuses = []
        plays = itertools.product(_PAUSES_SECONDS, _PART_BYTES, (0, 10_000))
        for number, play_of_target in enumerate(plays):
            target.pause_seconds, target.part_bytes, target.read_bytes = play_of_target
            size = _UPLOAD_BYTES[upload]
            statuses.append(await _ask(world, daemon, service, f"r{number}", size))
        assert set(statuses) <= {502, None}, statuses
        assert len(target.runs) == len(statuses)

    play(scenario)


@pytest.mark.parametrize("service", _PATH_BY_SERVICE)
@pytest.mark.parametrize(
    "framing", (brokenanswers.Framing.LENGTH, brokenanswers.Framing.CHUNKS)
)
@pytest.mark.parametrize("upload", _UPLOAD_BYTES)
def test_a_whole_answer_during_an_upload_is_delivered(play, upload, framing, service):
    """Guards against a ready answer that is refused as its request isn't written."""

    async def scenario(world):
        target, daemon = await _start(world, service, framing, End.NEVER)
        for number, part_bytes in enumerate(_PART_BYTES):
            target.part_bytes = part_bytes
            size = _UPLOAD_BYTES[upload]
            assert await _ask(world, daemon, service, f"r{number}", size) == 200

    play(scenario)
