"""Targets whose answers break off at a given byte, in each framing that HTTP has."""

import asyncio
import dataclasses
import enum
import socket
import struct

import standins

EVENTS = tuple(f"id: {number}\ndata: token\n\n".encode() for number in (1, 2, 3))
STREAM = b"".join(EVENTS)
PROMPT = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}


class Framing(enum.StrEnum):
    """What marks the end of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class End(enum.StrEnum):
    """How the connection ends after the last byte that is sent."""

    IN_ORDER = "in-order"
    RESET = "reset"


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """One answer as a target gives it.

    Attributes
    ----------
    body : bytes
        The whole body.
    sent : int
        How many bytes of it are sent before the connection ends.
    status : int
        The status of the answer.
    is_paused : bool
        Whether the target waits a moment before its connection ends, so that the
        reader has read all bytes by then.
    says_not_run : bool
        Whether its headers say that the request wasn't run.
    """

    framing: Framing
    body: bytes
    sent: int
    end: End = End.IN_ORDER
    status: int = 200
    is_paused: bool = False
    content_type: str = "text/event-stream"
    says_not_run: bool = False

    @property
    def is_whole(self):
        """Whether the reader can tell that all of the body was sent."""
        if self.sent < len(self.body):
            return False
        return self.framing is not Framing.CLOSE or self.end is End.IN_ORDER


class ScriptedTarget(standins.Target):
    """A target that answers each request by the `Script` of its attempt.

    It refuses to continue streams, so that a broken one stays broken.

    Attributes
    ----------
    script_by_attempt : dict of str to Script
        The answers by the id of the attempt.
    rest_by_attempt : dict of str to Script
        The answers to requests for the rest of a stream; none of them is continued
        otherwise.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.script_by_attempt = {}
        self.rest_by_attempt = {}

    async def _answer(self, headers, writer):
        self.runs.append(headers)
        script_by_attempt = self.script_by_attempt
        if "last-event-id" in headers:
            script_by_attempt = self.rest_by_attempt
        if headers["x-attempt-id"] not in script_by_attempt:
            stamp = {"X-Server-Stamp": "s"}
            writer.write(standins.make_answer(400, headers, stamp, b"refused"))
            return
        script = script_by_attempt[headers["x-attempt-id"]]
        writer.write(_head(script, headers["x-attempt-id"]) + _framed(script))
        await writer.drain()
        if script.is_paused:
            await asyncio.sleep(0.02)
        if script.end is End.RESET:
            reset(writer)
        elif not script.is_whole or script.framing is Framing.CLOSE:
            writer.close()


def reset(writer):
    """End a connection with a reset."""
    raw_socket = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _head(script, attempt):
    framing = {
        Framing.LENGTH: f"Content-Length: {len(script.body)}\r\n",
        Framing.CHUNKS: "Transfer-Encoding: chunked\r\n",
        Framing.CLOSE: "",
    }[script.framing]
    not_run = "X-Not-Executed: 1\r\n" if script.says_not_run else ""
    return (
        f"HTTP/1.1 {script.status} X\r\nContent-Type: {script.content_type}\r\n"
        f"X-Server-Stamp: s\r\nX-Attempt-Id: {attempt}\r\nConnection: close\r\n"
        f"{not_run}{framing}\r\n"
    ).encode()


def _framed(script):
    sent = script.body[: script.sent]
    if script.framing is not Framing.CHUNKS:
        return sent
    framed = b"%x\r\n%s\r\n" % (len(sent), sent) if sent else b""
    return framed + (b"0\r\n\r\n" if script.sent == len(script.body) else b"")


def make_manifest():
    """Return a manifest with a route whose streams may not be resumed besides."""
    manifest = standins.make_manifest(2)
    chat = next(route for route in manifest["Routes"] if route["Name"] == "chat")
    manifest["Routes"].append(
        chat | {"Name": "talk", "PathPrefix": "/talk/", "Resumable": False}
    )
    return manifest
