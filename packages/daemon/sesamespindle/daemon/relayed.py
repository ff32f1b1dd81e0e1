"""State that the relay keeps of one request: body, answer and current send."""

import asyncio
import contextlib

import aiohttp

from sesamespindle.decide import commands, fingerprints
from sesamespindle.wire import eventstream

# Without a quota, request bodies up to this size are buffered whole, so that a body can
# be sent again. Larger ones are streamed.
_MAX_BUFFERED_BYTES = 256 * 1024


class CallerLeftError(Exception):
    """The caller's connection is broken, so that it gets nothing more."""


@contextlib.contextmanager
def sending_to_caller():
    """Raise `CallerLeftError` for a broken connection to the caller.

    Guards against retries of a request whose caller has left, and against a sound
    target or peer that is avoided for it. aiohttp raises the same kind of error for a
    broken connection to the caller as for one to the target.
    """
    try:
        yield
    except (aiohttp.ClientError, ConnectionError) as error:
        raise CallerLeftError from error


class BodyTooLargeError(Exception):
    """A body exceeds the limit of the configuration, whatever its head says."""

    code = "body_too_large"


async def read_body(http, whole_bytes=_MAX_BUFFERED_BYTES, max_bytes=None):
    """Return the `Body` of a request.

    Guards against unfinished bodies that take connections of targets: a body isn't sent
    before it is whole, unless it is longer than this host can hold.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
        The request.
    whole_bytes : int
        The longest body that is buffered whole; of a larger one only the beginning is
        read yet.
    max_bytes : int, optional
        The longest body that is allowed; None for no limit.

    Raises
    ------
    BodyTooLargeError
        If the body is longer.
    """
    if not http.body_exists:
        return Body(None)
    buffered = bytearray()
    async for chunk in http.content.iter_any():
        buffered += chunk
        if max_bytes is not None and len(buffered) > max_bytes:
            raise BodyTooLargeError
        if len(buffered) > whole_bytes:
            return Body(bytes(buffered), http.content, max_bytes)
    return Body(bytes(buffered))


def content_digest(http, body):
    """Return the digest by which the same request is recognised when it comes again.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
        The request.
    body : Body
        Its body.

    Returns
    -------
    content : bytes or None
        From `fingerprints.of_content`; None if the body isn't buffered whole.
    """
    if body.complete is None:
        return None
    path = http.raw_path.encode("utf-8", "surrogateescape")
    return fingerprints.of_content(http.method.encode(), path, body.complete)


class Body:
    """A request's body, buffered or streamed.

    Parameters
    ----------
    buffered : bytes or None
        The body, or its beginning if `rest` is given; None for no body.
    rest : aiohttp.StreamReader, optional
        The source of the rest, which can be read only once.
    max_bytes : int, optional
        The longest body that is allowed; None for no limit.

    Attributes
    ----------
    is_consumed : bool
        Whether a streamed body was handed out, so that it can't be sent again.
    """

    def __init__(self, buffered, rest=None, max_bytes=None):
        self._buffered = buffered
        self._rest = rest
        self._max_bytes = max_bytes
        self.is_consumed = False

    @property
    def complete(self):
        """The whole body; None if it is streamed."""
        return (self._buffered or b"") if self._rest is None else None

    def payload(self):
        """Return the body in a form that aiohttp sends.

        Returns
        -------
        payload : bytes, async generator of bytes or None
            A generator for a streamed body; None for no body.
        """
        if self._rest is None:
            return self._buffered
        self.is_consumed = True
        return self._stream()

    async def _stream(self):
        yield self._buffered
        async for chunk in self._rest.iter_any():
            if self._max_bytes is not None and self._rest.total_bytes > self._max_bytes:
                raise BodyTooLargeError
            yield chunk


class Answer:
    """The progress of the answer to one caller, over all sends of its request.

    Attributes
    ----------
    response : aiohttp.web.StreamResponse or None
        What the caller gets; None before anything was sent.
    event_splitter : eventstream.EventSplitter
        Splits the stream of a target into whole events.
    failure : aiohttp.web.Response or None
        The last failure response of a target, which may become the final answer;
        None if there was none, or it was incomplete.
    relayed_bytes : int
        Bytes of the answer written to the caller.
    last_relayed_at : datetime.datetime or None
        When the last of them were written.
    """

    def __init__(self):
        self.response = None
        self.event_splitter = eventstream.EventSplitter()
        self.failure = None
        self.relayed_bytes = 0
        self.last_relayed_at = None

    async def write(self, chunk, clock):
        """Write to the caller, once it has what was written before.

        Raises
        ------
        CallerLeftError
            If the caller's connection is broken.
        """
        with sending_to_caller():
            await self.response.write(chunk)
        self.note_relayed(len(chunk), clock.now())

    def note_relayed(self, byte_count, now):
        """Record bytes that were written to the caller."""
        self.relayed_bytes += byte_count
        self.last_relayed_at = now

    async def end(self):
        """Tell the caller that its answer is complete."""
        with sending_to_caller():
            await self.response.write_eof()

    def describe_progress(self, now):
        """Return how much of the answer the caller has at `now`, for the log."""
        if self.last_relayed_at is None:
            return "nothing of the answer was relayed"
        idle_ms = (now - self.last_relayed_at).total_seconds() * 1000
        return (
            f"{self.relayed_bytes} bytes of the answer were relayed, "
            f"the last {idle_ms:.0f} ms ago"
        )


class Send:
    """A send whose answer has not begun, so that it can still be withdrawn.

    Parameters
    ----------
    attempt : int
        Its number among the sends of the request, from 1.
    timeout : asyncio.Timeout
        The timeout of the send, which must be running.

    Attributes
    ----------
    withdrawal_reason : str
        Why the send was withdrawn, for the log; empty if it was not.
    """

    def __init__(self, attempt, timeout):
        self.attempt = attempt
        self._timeout = timeout
        self._ends_at = timeout.when()
        self.withdrawal_reason = ""

    def withdraw(self, reason):
        """Make the send time out at once, unless it has timed out already."""
        if self._timeout.expired():
            return
        self.withdrawal_reason = reason
        self._timeout.reschedule(asyncio.get_running_loop().time())

    def undo_withdrawal(self):
        """Undo a withdrawal whose timeout has not fired yet.

        Guards against an answer that is cut off because its first byte and the
        withdrawal of its send coincide: the caller would get the beginning of an
        answer without the end. The send gets its former deadline back.
        """
        if self.withdrawal_reason and not self._timeout.expired():
            self._timeout.reschedule(self._ends_at)
            self.withdrawal_reason = ""


def refusal_of_reused_id(request):
    """Return the refusal of a request without an id, or with one in use.

    A request with the id of one in flight may be a duplicate of it, so the refusal
    doesn't promise that the request has not run.
    """
    return commands.Refuse(
        request.request_id,
        commands.Code.KEY_REUSED,
        commands.Outcome.UNKNOWN,
        "The request has no id, or the id of another request in flight.",
    )


def refusal_of_headers(request):
    """Return the refusal of a request with a header that can't be forwarded."""
    return commands.Refuse(
        request.request_id,
        commands.Code.HEADER_NOT_UTF8,
        commands.Outcome.NOT_RUN,
        "A header has bytes that aren't UTF-8, and can't be forwarded unchanged.",
    )
