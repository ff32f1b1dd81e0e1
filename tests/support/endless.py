"""Targets whose bytes never end, until their connection is closed."""

import asyncio
import contextlib
import dataclasses
import enum
import socket

import standins

# The request header that asks a target for bytes without end.
HEADER = "X-Endless"
_PIECE_BYTES = 16 * 1024
# So that what a target has sent is near what the daemon has read.
_SEND_BUFFER_BYTES = 64 * 1024


class Kind(enum.StrEnum):
    """Where the bytes without end are."""

    HEADER_LINES = "header-lines"
    HEADER_LINE = "header-line"
    HEADER_NAME = "header-name"
    REASON = "reason"
    BLANK_LINES = "blank-lines"
    NO_HTTP = "no-http"
    CONTINUES = "continues"
    EVENT = "event"
    CHUNK_SIZE = "chunk-size"
    EXTENSION = "extension"
    TRAILERS = "trailers"
    REJECTION = "rejection"
    WRONG_TARGET = "wrong-target"
    FAILURE = "failure"
    BODY = "body"


@dataclasses.dataclass(slots=True)
class Endless:
    """One answer without end.

    Attributes
    ----------
    sent_bytes : int
        How much of it was sent.
    seconds : float or None
        After which time its connection was closed; None while it isn't.
    """

    kind: Kind
    sent_bytes: int = 0
    seconds: float | None = None


class Target(standins.Target):
    """A target that answers without end if a request asks for that.

    Attributes
    ----------
    endless : list of Endless
        All of these answers.
    """

    def __init__(self, name, address, service):
        super().__init__(name, address, service)
        self.endless = []

    async def _answer(self, headers, writer):
        kind = headers.get(HEADER.lower())
        if kind is None:
            await super()._answer(headers, writer)
            return
        answer = Endless(Kind(kind))
        self.endless.append(answer)
        await self._send_without_end(answer, headers, writer)

    async def _send_without_end(self, answer, headers, writer):
        raw_socket = writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
        loop = asyncio.get_running_loop()
        began = loop.time()
        begin, piece = _bytes_of(answer.kind, headers, self.service == "llm")
        with contextlib.suppress(ConnectionError, RuntimeError):
            writer.write(begin)
            while not writer.is_closing():
                writer.write(piece)
                answer.sent_bytes += len(piece)
                await writer.drain()
                await asyncio.sleep(0)
        answer.seconds = loop.time() - began


def _bytes_of(kind, headers, is_engine):
    """Return the bytes with which an answer begins, and those that are repeated."""
    text = "text/event-stream" if is_engine else "text/plain"
    filling = b"x" * _PIECE_BYTES
    chunk = b"%x\r\n%s\r\n" % (len(filling), filling)

    def head(status, *more):
        lines = (
            f"HTTP/1.1 {status} X",
            f"X-Attempt-Id: {headers['x-attempt-id']}",
            f"Content-Type: {text}",
            *more,
        )
        return "\r\n".join(lines).encode() + b"\r\n"

    chunked = "Transfer-Encoding: chunked\r\n"
    match kind:
        case Kind.HEADER_LINES:
            return head(200), b"X-More: of it\r\n" * 1000
        case Kind.HEADER_LINE:
            return head(200) + b"X-More: ", filling
        case Kind.HEADER_NAME:
            return head(200), filling
        case Kind.REASON:
            return b"HTTP/1.1 200 ", filling
        case Kind.BLANK_LINES:
            return b"", b"\r\n" * 8000
        case Kind.NO_HTTP:
            return b"", filling
        case Kind.CONTINUES:
            return b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500
        case Kind.EVENT:
            return head(200, chunked) + b"6\r\ndata: \r\n", chunk
        case Kind.CHUNK_SIZE:
            return head(200, chunked), b"0" * _PIECE_BYTES
        case Kind.EXTENSION:
            return head(200, chunked), b"1;%s\r\na\r\n" % filling[:4000]
        case Kind.TRAILERS:
            event = b"id: 1\ndata: token\n\n"
            body = b"%x\r\n%s\r\n0\r\n" % (len(event), event)
            return head(200, chunked) + body, b"X-More: of it\r\n" * 1000
        case Kind.REJECTION:
            return head(503, "X-Not-Executed: full", chunked), chunk
        case Kind.WRONG_TARGET:
            return head(421, "X-Instance-Id: another", chunked), chunk
        case Kind.FAILURE:
            return head(500, "X-Server-Stamp: s", chunked), chunk
        case Kind.BODY:
            return head(200, "X-Server-Stamp: s", chunked), chunk
