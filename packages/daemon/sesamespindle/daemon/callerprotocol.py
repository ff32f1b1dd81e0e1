"""A connection of a caller, which counts what its caller makes this process hold."""

import asyncio
import contextlib
import socket

import aiohttp.streams
import aiohttp.web_protocol

from sesamespindle.daemon import callersockets, logs
from sesamespindle.decide import callerquota
from sesamespindle.wire import answers

_log = logs.part("callers")
_Stage = callerquota.Stage
# Heads take this many times their bytes once they are decoded.
_DECODED_HEAD_FACTOR = 3
# Requests that arrive before an earlier one has its answer wait unread beyond this, and
# beyond the number that the library's parser decodes ahead.
_MAX_PIPELINED_BYTES = 16 * 1024
aiohttp.web_protocol.MAX_MSG_QUEUE_SIZE = 4
_QUEUED_REQUEST_BYTES = 4 * 1024
# What one part of a prompt takes while its request is served, beyond the first ones.
_PART_BYTES = 256
_FEW_PARTS = 32
# What each piece of a body takes beside its bytes, as an object.
_PIECE_BYTES = 96
# What may wait of an answer behind one that its caller doesn't read: what is read of it
# from the target, and what the kernel holds of that.
_UNREAD_ANSWER_BYTES = 256 * 1024
# Answers up to this size are buffered whole, so that they are known to be complete
# before their callers get them. Larger ones are streamed, as are those for which the
# quota has no room, but the smallest.
MAX_BUFFERED_BYTES = 256 * 1024
ALWAYS_BUFFERED_BYTES = 16 * 1024
# A request whose framing exceeds this takes turns with others of its kind.
_LABORIOUS_BYTES = 16 * 1024
# The receive buffer for a body that isn't whole yet, if there is room for it, and what
# the kernel may hold in it. With the small one a long body takes many round trips.
_BODY_RECEIVE_BUFFER_BYTES = 64 * 1024
_BODY_UNREAD_BYTES = 96 * 1024


class GaveWayError(Exception):
    """The request gave way to others, as this host holds all that it may."""

    code = "host_overloaded"


class CallerProtocol(aiohttp.web_protocol.RequestHandler):
    """A connection of a caller that tells the quota what it holds.

    Guards against callers that have this process hold more than its memory. The HTTP
    library limits single lines and buffers, but neither a whole head, nor trailers, nor
    the sum of what all connections hold.

    Parameters
    ----------
    server : aiohttp.web.Server
        Handles the requests.
    connections : sesamespindle.daemon.callerconnections.CallerConnections
        Counts the connection.
    number : int
        Names the connection; new ones have higher numbers.
    port : str
        The name of the port.
    **options
        Those of the library's class.

    Attributes
    ----------
    keeps_body : bool
        Whether the handler of the request holds all that has come of its body.
    other_bytes : int
        What else the handler holds for the request.
    gave_way : callerquota.GiveWay or None
        Set once it gives way.
    """

    __slots__ = (
        "_awaits_turn",
        "_body_seen",
        "_connections",
        "_framing_bytes",
        "_handled",
        "_head_bytes",
        "_id",
        "_last_payload",
        "_port",
        "_queued_bytes",
        "_reading",
        "_receive_bytes",
        "_since_body",
        "_stage",
        "gave_way",
        "keeps_body",
        "other_bytes",
    )

    def __init__(self, server, connections, number, port, **options):
        super().__init__(server, **options)
        self._connections = connections
        self._id = number
        self._port = port
        self._last_payload = aiohttp.streams.EMPTY_PAYLOAD
        # Bytes that came since the last one of a body, and all but those of the body,
        # since the last head.
        self._since_body = self._framing_bytes = 0
        self._head_bytes = self._body_seen = self._queued_bytes = 0
        self._stage = _Stage.IDLE
        self._receive_bytes = 0
        self._handled = self._reading = None
        self._awaits_turn = False
        self.keeps_body = False
        self.other_bytes = 0
        self.gave_way = None

    def connection_made(self, transport):
        """Begin to serve the connection, unless it has to give way at once."""
        super().connection_made(transport)
        self._connections.add(self._id, self._port, self)

    def connection_lost(self, exc):
        """Release what it holds.

        Guards against bodies that stay until the garbage collector finds the cycle of
        the connection, its request and its task.
        """
        self._connections.remove(self._id)
        self._drop_bodies()
        super().connection_lost(exc)

    def data_received(self, data):
        """Read bytes of requests; none to have the library's parser go on."""
        heads = self._request_count
        super().data_received(data)
        if self.gave_way is not None:
            self._drop_bodies()
            return
        if self._manager is None:
            return
        if self._request_count != heads:
            self._note_head(len(data))
        elif not self._note_piece(len(data)):
            self._abort("Too many bytes beside those of a body.")
            return
        if self._is_plain(heads):
            return
        self._limit_pipelining()
        self.report()
        if self._framing_bytes > _LABORIOUS_BYTES and not self._awaits_turn:
            self._connections.queue_for_turn(self)

    def _is_plain(self, heads):
        """Return whether one whole request has arrived on an idle connection."""
        return (
            self._stage is _Stage.IDLE
            and self._request_count == heads + 1
            and self._last_payload.is_eof()
            and self._head_bytes < _LABORIOUS_BYTES
            and self._last_payload.total_bytes < _LABORIOUS_BYTES
        )

    def _note_head(self, received):
        """Begin to count what comes of a request, as its head is whole."""
        if self._messages:
            self._last_payload = self._messages[-1][1]
        self._queued_bytes += received
        body = self._last_payload.total_bytes
        self._head_bytes = max(self._since_body + received - body, 0)
        self._body_seen = body
        self._since_body = self._framing_bytes = 0

    def _note_piece(self, received):
        """Count bytes behind a head; return whether more may follow."""
        body = self._last_payload.total_bytes
        grown = body - self._body_seen
        self._body_seen = body
        if grown:
            self._since_body = 0
            self._framing_bytes += max(received - grown, 0)
        else:
            self._since_body += received
            self._framing_bytes += received
        head_limit = self._connections.max_head_bytes
        framing_limit = head_limit + answers.OVERHEAD_PER_BODY_BYTE * body
        return self._since_body <= head_limit and self._framing_bytes <= framing_limit

    def _limit_pipelining(self):
        """Read no more if much has arrived before the request that is answered ends."""
        if self._handled is None or self._buffer_paused:
            return
        if self._pipelined_bytes() > _MAX_PIPELINED_BYTES:
            self._pause_reading_for_buffer()

    def _pipelined_bytes(self):
        """Return what requests hold that have arrived and aren't handled yet."""
        if not self._messages:
            self._queued_bytes = 0
            return 0
        sizes = (_held_in(payload) for _, payload in self._messages)
        heads = len(self._messages) * _QUEUED_REQUEST_BYTES
        return heads + self._queued_bytes * _DECODED_HEAD_FACTOR + sum(sizes)

    def _resume_transport_reading(self):
        if not self._awaits_turn:
            super()._resume_transport_reading()

    def await_turn(self):
        """Read nothing until `take_turn`."""
        self._awaits_turn = True
        self._pause_transport_reading()

    def take_turn(self):
        """Read on, unless something else keeps it from that."""
        if self.gave_way is not None:
            return
        self._awaits_turn = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def pause_writing(self):
        """Note that the caller doesn't read its answer as fast as it is written."""
        super().pause_writing()
        self.report()

    def resume_writing(self):
        """Note that the caller reads again."""
        super().resume_writing()
        self.report()

    async def _handle_request(self, request, start_time, request_handler):
        # The library's own attribute is reset before the answer is written.
        self._handled = request
        self.report()
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._handled = None
            # The end of a body in chunks is no beginning of another head.
            self._since_body = 0
            self.keeps_body = False
            self.other_bytes = 0
            if self._receive_bytes and self.transport is not None:
                self._set_receive_buffer(callersockets.RECEIVE_BUFFER_BYTES)
            self._receive_bytes = 0
            self.report()

    def report(self):
        """Tell the quota what the connection is at and holds."""
        if self.transport is None or self.gave_way is not None:
            return
        unsent = self.transport.get_write_buffer_size()
        self._stage = stage = self._find_stage(unsent)
        if stage is _Stage.IDLE:
            self._connections.update(self._id, stage, 0)
            return
        held = callerquota.REQUEST_BYTES + unsent + self.other_bytes
        held += self._receive_bytes
        held += self._pipelined_bytes()
        held += (self._head_bytes + self._since_body) * _DECODED_HEAD_FACTOR
        payload = self._last_payload
        if self._handled is not None:
            payload = self._handled.content
            if self.keeps_body:
                held += payload.total_bytes - _unread_bytes(payload)
        held += _held_in(payload)
        if self._paused:
            held += _UNREAD_ANSWER_BYTES
        self._connections.update(self._id, stage, held)

    def _find_stage(self, unsent):
        if self._paused:
            return _Stage.ANSWERING
        if self._handled is not None:
            if not self._handled.content.is_eof():
                return _Stage.BODY
            return _Stage.PIPELINING if self._messages else _Stage.SERVING
        if not self._last_payload.is_eof():
            return _Stage.BODY
        if self._messages:
            return _Stage.SERVING
        if unsent:
            return _Stage.ANSWERING
        return _Stage.HEAD if self._since_body else _Stage.IDLE

    @property
    def whole_body_bytes(self):
        """The longest body that its handler may hold whole."""
        return self._connections.quota.allowance.whole_body_bytes

    def pass_body_on(self, kept_bytes):
        """Note that the handler holds the beginning of a body, and passes the rest on.

        Parameters
        ----------
        kept_bytes : int
            The length of the beginning.
        """
        self.keeps_body = False
        self.other_bytes = kept_bytes
        self.report()

    def may_buffer(self, answer_bytes):
        """Return whether its handler may go on to buffer an answer; count that.

        Parameters
        ----------
        answer_bytes : int
            What it has buffered.
        """
        added = answer_bytes - self.other_bytes
        if not self._connections.quota.may_hold(added):
            self.other_bytes = 0
            return False
        self.other_bytes = answer_bytes
        self.report()
        return True

    @contextlib.asynccontextmanager
    async def reading(self, ends_at):
        """Limit the time in which the handler reads the body of its request.

        Parameters
        ----------
        ends_at : float or None
            When it ends, on the clock of the event loop; None for no limit.

        Raises
        ------
        GaveWayError
            If the connection has to give way meanwhile.
        TimeoutError
            If the time is over.
        """
        try:
            async with asyncio.timeout_at(ends_at) as self._reading:
                self.keeps_body = True
                self._enlarge_receive_buffer()
                self.report()
                yield
        except TimeoutError:
            if self.gave_way is not None:
                raise GaveWayError from None
            raise
        finally:
            self._reading = None
        if self.gave_way is not None:
            raise GaveWayError
        self.report()

    def _enlarge_receive_buffer(self):
        if not self._connections.quota.may_hold(_BODY_UNREAD_BYTES):
            return
        self._set_receive_buffer(_BODY_RECEIVE_BUFFER_BYTES)
        self._receive_bytes = _BODY_UNREAD_BYTES

    def _set_receive_buffer(self, size):
        connected = self.transport.get_extra_info("socket")
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def begin_request(self, part_count):
        """Note that the request is whole, with its parts; return whether it has room.

        Parameters
        ----------
        part_count : int
            How many parts its prompt has.
        """
        quota = self._connections.quota
        if part_count > _FEW_PARTS:
            if not quota.may_hold(part_count * _PART_BYTES):
                return False
            self.other_bytes += part_count * _PART_BYTES
            self.report()
        return self.gave_way is None and quota.has_room(self._id)

    def give_way(self, command):
        """Close the connection; a request that isn't whole is refused if that may be.

        Parameters
        ----------
        command : callerquota.GiveWay
            Why.
        """
        is_told = command.cause is callerquota.Cause.MEMORY
        self.gave_way = command
        self._drop_bodies()
        if is_told and self._reading is not None and not self._reading.expired():
            self._lingering_time = 0
            self.await_turn()
            self._reading.reschedule(self._loop.time())
            return
        self._abort(None)

    def _drop_bodies(self):
        """Release at once what has come of bodies and wasn't taken by a handler."""
        payloads = [payload for _, payload in self._messages]
        if self._handled is not None:
            payloads.append(self._handled.content)
        for payload in payloads:
            if not _unread_bytes(payload):
                continue
            payload._buffer.clear()
            payload._size = payload._buffer_offset = 0
            if payload._http_chunk_splits:
                payload._http_chunk_splits.clear()

    def _abort(self, reason):
        """Close the connection at once, with what has arrived and isn't read."""
        if reason is not None:
            _log.info("A connection from {} is closed: {}", self.peername, reason)
        if self.transport is not None:
            self.transport.abort()


def of(http):
    """Return the `CallerProtocol` of a request; None if it came another way.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
        The request.
    """
    protocol = http.protocol
    return protocol if isinstance(protocol, CallerProtocol) else None


@contextlib.asynccontextmanager
async def reading(http, ends_at):
    """Limit the time in which the body of a request is read; see `CallerProtocol`."""
    connection = of(http)
    limit = asyncio.timeout_at(ends_at)
    if connection is not None:
        limit = connection.reading(ends_at)
    async with limit:
        yield


def may_buffer(http, answer_bytes):
    """Return whether the handler of a request may buffer so much of its answer.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
        The request.
    answer_bytes : int
        How much of it the handler has; it counts from then on if it may.
    """
    if answer_bytes > MAX_BUFFERED_BYTES:
        return False
    connection = of(http)
    if connection is None or answer_bytes <= ALWAYS_BUFFERED_BYTES:
        return True
    return connection.may_buffer(answer_bytes)


def _unread_bytes(payload):
    """Return how much of a body no handler has taken."""
    return 0 if payload is aiohttp.streams.EMPTY_PAYLOAD else payload._size


def _held_in(payload):
    """Return what the HTTP library holds of a body, in pieces as they came."""
    unread = _unread_bytes(payload)
    return unread + len(payload._buffer) * _PIECE_BYTES if unread else 0
