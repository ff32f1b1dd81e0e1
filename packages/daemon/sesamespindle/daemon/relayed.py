"""State that the relay keeps of one request: body, answer and current send."""

import asyncio

from sesamespindle.daemon import eventstream
from sesamespindle.decide import fingerprints

# Request bodies and answers up to this size are buffered whole, so that a body can
# be sent again, and an answer is known to be complete before the caller gets it.
# Larger ones are streamed.
HELD_BYTES = 256 * 1024


async def read_body(http):
    """Return the `Body` of a request.

    Parameters
    ----------
    http : aiohttp.web.BaseRequest
        The request.

    Returns
    -------
    body : Body
        Buffered whole if it has at most `HELD_BYTES`; of a larger one only the
        beginning is read yet.
    """
    if not http.body_exists:
        return Body(None)
    held = bytearray()
    async for chunk in http.content.iter_any():
        held += chunk
        if len(held) > HELD_BYTES:
            return Body(bytes(held), http.content)
    return Body(bytes(held))


def content_of(http, body):
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
    if body.whole is None:
        return None
    path = http.raw_path.encode("utf-8", "surrogateescape")
    return fingerprints.of_content(http.method.encode(), path, body.whole)


class Body:
    """A request's body, buffered or streamed.

    Parameters
    ----------
    held : bytes or None
        The body, or its beginning if `rest` is given; None for no body.
    rest : aiohttp.StreamReader, optional
        The source of the rest, which can be read only once.

    Attributes
    ----------
    is_spent : bool
        Whether a streamed body was handed out, so that it can't be sent again.
    """

    def __init__(self, held, rest=None):
        self._held = held
        self._rest = rest
        self.is_spent = False

    @property
    def whole(self):
        """The whole body; None if it is streamed."""
        return (self._held or b"") if self._rest is None else None

    def content(self):
        """Return the body in a form that aiohttp sends.

        Returns
        -------
        content : bytes, async generator of bytes or None
            A generator for a streamed body; None for no body.
        """
        if self._rest is None:
            return self._held
        self.is_spent = True
        return self._pass_through()

    async def _pass_through(self):
        yield self._held
        async for chunk in self._rest.iter_any():
            yield chunk


class Answer:
    """The progress of the answer to one caller, over all sends of its request.

    Attributes
    ----------
    response : aiohttp.web.StreamResponse or None
        What the caller gets; None before anything was sent.
    cutter : eventstream.EventCutter
        Splits the stream of a target into whole events.
    failure : aiohttp.web.Response or None
        The last failure response of a target, which may become the final answer.
    passed_bytes : int
        Bytes of the answer written to the caller.
    passed_at : datetime.datetime or None
        When the last of them were written.
    """

    def __init__(self):
        self.response = None
        self.cutter = eventstream.EventCutter()
        self.failure = None
        self.passed_bytes = 0
        self.passed_at = None

    def describe(self, now):
        """Return how much of the answer the caller has at `now`, for the log."""
        if self.passed_at is None:
            return "nothing of the answer was passed on"
        silent = (now - self.passed_at).total_seconds() * 1000
        return (
            f"{self.passed_bytes} bytes of the answer were passed on, "
            f"the last {silent:.0f} ms ago"
        )


class Send:
    """A send whose answer has not begun, so that it can still be withdrawn.

    Parameters
    ----------
    attempt : int
        Its number among the sends of the request, from 1.
    limit : asyncio.Timeout
        The timeout of the send, which must be running.

    Attributes
    ----------
    withdrawn : str
        Why the send was withdrawn, for the log; empty if it was not.
    """

    def __init__(self, attempt, limit):
        self.attempt = attempt
        self._limit = limit
        self._ends_at = limit.when()
        self.withdrawn = ""

    def withdraw(self, reason):
        """Make the send time out at once, unless it has timed out already."""
        if self._limit.expired():
            return
        self.withdrawn = reason
        self._limit.reschedule(asyncio.get_running_loop().time())

    def keep(self):
        """Undo a withdrawal whose timeout has not fired yet.

        Guards against an answer that is cut off because its first byte and the
        withdrawal of its send coincide: the caller would get the beginning of an
        answer without the end. The send gets its former deadline back.
        """
        if self.withdrawn and not self._limit.expired():
            self._limit.reschedule(self._ends_at)
            self.withdrawn = ""
