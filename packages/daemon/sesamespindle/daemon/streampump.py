"""Passing the events of a stream on to a caller where they arrive.

A task that is woken for each event takes far more processor time than the event. While
a stream is sound and its caller reads, its bytes need no task: they are taken in the
callback in which the target's connection receives them.
"""

import asyncio

from sesamespindle.wire import answers

# What may wait in this process for a caller that reads slowly, before its stream is
# read no faster than the caller reads.
MAX_UNSENT_BYTES = 64 * 1024


async def pass_on(response, caller, answer, heard):
    """Pass the whole events of a stream on, until the stream needs more than that.

    It returns at the end of the stream or of a connection, at an event that is too
    long, and when the caller reads slowly. What was not passed on is then still to be
    read from the response, whose reader judges the end and waits for the caller.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The stream; its session must use `connections.TargetConnection`.
    caller : aiohttp.web.BaseRequest
        The caller's request.
    answer : relayed.Answer
        What the caller gets; its headers must have been written.
    heard : callable
        Called without arguments for all bytes that arrive; returns the current time.
    """
    connection = response.connection
    if connection is None or "Content-Length" in answer.response.headers:
        return
    protocol = connection.protocol
    pump = _Pump(protocol, response, caller, answer, heard)
    protocol.on_received = pump.take
    try:
        pump.take()
        await pump.stopped
    finally:
        pump.release()


class _Pump:
    """Takes the bytes of a stream as they arrive.

    Attributes
    ----------
    stopped : asyncio.Future
        Done once the response's reader is to go on; with an error if taking failed.
    """

    def __init__(self, protocol, response, caller, answer, heard):
        self._protocol = protocol
        self._response = response
        self._caller = caller
        self._answer = answer
        self._splitter = answer.event_splitter
        self._is_chunked = "Transfer-Encoding" in answer.response.headers
        self._heard = heard
        self.stopped = asyncio.get_running_loop().create_future()

    def take(self):
        """Pass on what has arrived, or stop."""
        if self.stopped.done():
            self.release()
            return
        try:
            if self._takes_all():
                return
        except Exception as error:
            self.stopped.set_exception(error)
        else:
            self.stopped.set_result(None)
        self.release()

    def release(self):
        """Take no more bytes; another stream may have the connection by now."""
        if self._protocol.on_received == self.take:
            self._protocol.on_received = None

    def _takes_all(self):
        """Pass on what has arrived; return whether the rest can be passed on too."""
        while True:
            transport = self._ready_transport()
            if transport is None:
                return False
            chunk = answers.read_arrived(self._response)
            if not chunk:
                return chunk is not None
            whole_events = self._splitter.feed(chunk)
            now = self._heard()
            if whole_events:
                transport.write(self._framed(whole_events))
                self._answer.note_relayed(len(whole_events), now)
            if len(self._splitter.rest) > answers.MAX_EVENT_BYTES:
                return False

    def _ready_transport(self):
        """Return the caller's transport; None if it is lost, or too much waits in it.

        Guards against a process that fills with the events of a fast target for a
        slow caller. Bytes that are not taken make the target's connection stop
        reading, and the reader of the response writes no faster than the caller reads.
        """
        transport = self._caller.transport
        if transport is None or transport.is_closing():
            return None
        if transport.get_write_buffer_size() >= MAX_UNSENT_BYTES:
            return None
        return transport

    def _framed(self, whole_events):
        if not self._is_chunked:
            return whole_events
        return b"%x\r\n%b\r\n" % (len(whole_events), whole_events)
