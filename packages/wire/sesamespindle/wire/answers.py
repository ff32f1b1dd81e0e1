"""Whether an answer that was read from a connection is whole.

All answers are read here, those that are relayed and those to our own calls. A length
or chunks mark the end of an answer, and the HTTP library raises an error if the
connection ends before it. Without them an answer ends where its connection does: a
reset is never its end, and an orderly close can't be told from its end, except that a
stream never ends inside an event.

Nothing is delivered of an answer whose head `answerheads` finds broken.
"""

import enum
import functools
import http

import aiohttp
import aiohttp.client_proto
import aiohttp.http_exceptions

from sesamespindle.wire import answerheads, jsonvalues, unsent

# Events of tokens have some hundred bytes; a larger one is a stream without an end.
MAX_EVENT_BYTES = 1024 * 1024
# Answers to our own calls: lists of the store, reports, the parts of a KV store.
MAX_BODY_BYTES = 16 * 1024 * 1024
# What of an answer isn't its body: heads, sizes and extensions of chunks, trailers. A
# chunk of one byte has five others.
MAX_OVERHEAD_BYTES = 256 * 1024
OVERHEAD_PER_BODY_BYTE = 8
# Status lines of 100 before an answer. Each costs as much as an answer's head to read,
# so that heads are read in pieces.
_MAX_INTERIM_ANSWERS = 16
_HEAD_PIECE_BYTES = 4096
_ParserError = aiohttp.http_exceptions.HttpProcessingError


class BrokenAnswerError(aiohttp.ClientPayloadError):
    """An answer ended before all of it was received, or can't be read."""


class Framing(enum.StrEnum):
    """What marks the end of an answer; unknown if its head can't be read."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    UNKNOWN = "unknown"


class Connection(aiohttp.client_proto.ResponseHandler):
    """A connection on which answers are checked as they are received.

    Guards against bytes that are taken for an answer because aiohttp's parser is
    lenient: each head is checked before it is delivered, interim ones too.

    Guards against truncated answers that look complete. An answer without a length
    ends where its connection does, and aiohttp accepts a reset as such an end too.

    Also guards against a sender that keeps this process busy until a deadline with
    bytes that are no part of a body: aiohttp reads status lines of 100, extensions of
    chunks and trailers for as long as they come, and delivers nothing of them.

    And against the part of an answer that a target sends as it fails while it gets a
    long body: without a length, such a part can be told from a whole answer only by
    that its request was still being written as its connection ended.

    Attributes
    ----------
    was_reset : bool
        Whether the connection ended with an error.
    ended_early : bool
        Whether the other side ended the connection before its system had taken all of
        the request.
    """

    was_reset = False
    ended_early = False
    _is_request_written = False
    _received_bytes = 0
    _interim_answers = 0
    _has_head = False

    def __init__(self, loop):
        super().__init__(loop)
        # What was received since the last head that was checked, until the last one.
        self._unchecked = bytearray()

    def set_response_params(self, **params):
        """Prepare for the answer to the next request."""
        self._received_bytes = self._interim_answers = 0
        self._has_head = self._is_request_written = False
        self._unchecked.clear()
        self._payload = None
        super().set_response_params(**params)

    def feed_data(self, data, size=0):
        """Take the head of an answer, and its body's reader."""
        message, _ = data
        if not self._has_head and not self._is_sound(message):
            return
        if http.HTTPStatus.CONTINUE <= message.code < http.HTTPStatus.OK:
            self._interim_answers += 1
        else:
            self._has_head = True
            self._unchecked.clear()
        super().feed_data(data, size)

    def _is_sound(self, message):
        """Return whether a head is sound; give the connection up if it isn't."""
        if self.exception() is not None:
            return False
        try:
            size = answerheads.check(self._unchecked, message)
        except answerheads.BrokenHeadError as error:
            self._give_up(f"The head of the answer is broken: {error}.")
            return False
        del self._unchecked[:size]
        return True

    def data_received(self, data):
        """Read bytes, and abort the connection if too many aren't of a body.

        aiohttp passes none to have its parser go on.
        """
        if not data:
            super().data_received(data)
            return
        while data and not self._has_head:
            piece, data = data[:_HEAD_PIECE_BYTES], data[_HEAD_PIECE_BYTES:]
            if not self._take(piece):
                return
        if data:
            self._take(data)

    def _take(self, data):
        """Read bytes; return whether more may follow."""
        self._received_bytes += len(data)
        if not self._has_head:
            self._unchecked += data
        super().data_received(data)
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        overhead = self._received_bytes - body_bytes
        if self._interim_answers > _MAX_INTERIM_ANSWERS:
            self._give_up("Too many status lines of 100.")
        elif overhead > MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body_bytes:
            self._give_up(f"{overhead} bytes came beside {body_bytes} of its body.")
        return self.transport is not None and not self.transport.is_closing()

    def _give_up(self, reason):
        if self.transport is None:
            return
        self.set_exception(BrokenAnswerError(reason))
        self.transport.abort()

    def set_exception(self, exc, *cause):
        """End the answer with an error, its body too if that can't be read on.

        Guards against readers that wait until their deadline for the rest of a body
        that has no rest: aiohttp gives its parser up and tells only who awaits a head.
        """
        super().set_exception(exc, *cause)
        is_unreadable = isinstance(exc, BrokenAnswerError | _ParserError)
        payload = self._payload
        if is_unreadable and payload is not None and not payload.is_eof():
            payload.set_exception(BrokenAnswerError(f"It can't be read: {exc}"))
            # The end of a chunk wakes a reader without bytes for it; it waits again,
            # error or not, unless the body has ended.
            payload.feed_eof()

    def start_timeout(self):
        """Note that the request is written; aiohttp begins its read timeout then."""
        self._is_request_written = True
        super().start_timeout()

    def eof_received(self):
        """Record whether the request was still being written."""
        if self._payload is not None and not self._payload.is_eof():
            self.ended_early = not self._is_request_taken()
        return super().eof_received()

    def _is_request_taken(self):
        """Return whether the other side's system has all of the request."""
        if not self._is_request_written or self.transport is None:
            return False
        if self.transport.get_write_buffer_size() > 0:
            return False
        return unsent.count_bytes(self.transport) == 0

    def connection_lost(self, exc):
        """Record whether the connection ended with an error."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


def use_connections(connector, connection_class=Connection):
    """Make a connector of aiohttp open connections of a class; return the connector."""
    connector._factory = functools.partial(connection_class, loop=connector._loop)
    return connector


def make_session(**options):
    """Return an `aiohttp.ClientSession` that uses `Connection`.

    Parameters
    ----------
    **options
        Those of `aiohttp.TCPConnector`.
    """
    connector = use_connections(aiohttp.TCPConnector(**options))
    return aiohttp.ClientSession(connector=connector)


def framing_of(response):
    """Return the `Framing` of an `aiohttp.ClientResponse`."""
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CLOSE


async def chunks(response):
    """Yield the bytes of an answer as they arrive.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer; its session must use `Connection`.

    Raises
    ------
    aiohttp.ClientPayloadError
        After the last bytes, if the answer isn't whole.
    """
    try:
        async for chunk in response.content.iter_any():
            yield chunk
    except _ParserError as error:
        raise BrokenAnswerError(f"It can't be read: {error}") from error
    if response.content.exception() is not None:
        raise response.content.exception()
    if framing_of(response) is not Framing.CLOSE:
        return
    # `response.connection` is None if the answer's end has been received already.
    protocol = response._protocol
    if protocol.was_reset:
        raise BrokenAnswerError("The connection was reset, which ends no answer.")
    if protocol.ended_early:
        raise BrokenAnswerError(
            "The connection ended before its request was written, which ends no answer."
        )


def read_arrived(response):
    """Return the bytes of an answer that have arrived, without waiting for any.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer; no one may be waiting for its bytes.

    Returns
    -------
    chunk : bytes or None
        None at the end of the answer, or if it broke off: `chunks` tells which.
    """
    if response.content.exception() is not None:
        return None
    ended = None if response.content.is_eof() else b""
    return response.content.read_nowait() or ended


async def read(response, max_bytes=MAX_BODY_BYTES):
    """Return the body of an answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer; its session must use `Connection`.
    max_bytes : int
        The longest body to read.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the answer isn't whole, or is longer.
    """
    body = bytearray()
    async for chunk in chunks(response):
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise BrokenAnswerError(f"It exceeds {max_bytes} bytes.")
    return bytes(body)


async def read_json(response):
    """Return the body of an answer as JSON values.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the answer isn't whole, or isn't JSON.
    """
    body = await read(response)
    try:
        return jsonvalues.load(body)
    except ValueError as error:
        raise BrokenAnswerError("The answer isn't JSON.") from error


async def lines(response):
    """Yield the lines of an answer as they arrive, with their ends.

    Raises
    ------
    aiohttp.ClientPayloadError
        After the last line, if the answer isn't whole, or ends inside a line.
    """
    rest = b""
    async for chunk in chunks(response):
        *ended, rest = (rest + chunk).split(b"\n")
        for line in ended:
            yield line + b"\n"
        if len(rest) > MAX_EVENT_BYTES:
            response.close()
            raise BrokenAnswerError(f"A line exceeds {MAX_EVENT_BYTES} bytes.")
    if rest:
        raise BrokenAnswerError("The answer ended inside a line.")
