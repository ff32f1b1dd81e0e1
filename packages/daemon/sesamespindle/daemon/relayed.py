"""What the relay holds of one request: its body, its answer, the send under way."""

import asyncio

from sesamespindle.daemon import eventstream
from sesamespindle.decide import fingerprints

# Bodies and answers up to this size are held whole, so that they can be sent
# again or judged before they are passed on; larger ones pass through.
HELD_BYTES = 256 * 1024


async def read_body(http):
    """Return the `Body` of a request, held whole if it is small."""
    if not http.body_exists:
        return Body(None)
    held = bytearray()
    async for chunk in http.content.iter_any():
        held += chunk
        if len(held) > HELD_BYTES:
            return Body(bytes(held), http.content)
    return Body(bytes(held))


def content_of(http, body):
    """Return what `fingerprints` make of a request; None if its body isn't held."""
    if body.whole is None:
        return None
    path = http.raw_path.encode("utf-8", "surrogateescape")
    return fingerprints.of_content(http.method.encode(), path, body.whole)


class Body:
    """A request's body, held or passing through.

    Parameters
    ----------
    held : bytes or None
        The body, or its beginning.
    rest : aiohttp.StreamReader, optional
        Where the rest comes from, once.
    """

    def __init__(self, held, rest=None):
        self._held = held
        self._rest = rest
        self.is_spent = False

    @property
    def whole(self):
        """The whole body, or None where it passes through."""
        return (self._held or b"") if self._rest is None else None

    def content(self):
        """Return what the HTTP library sends as the body."""
        if self._rest is None:
            return self._held
        self.is_spent = True
        return self._pass_through()

    async def _pass_through(self):
        yield self._held
        async for chunk in self._rest.iter_any():
            yield chunk


class Answer:
    """What a caller has got of its answer."""

    def __init__(self):
        self.response = None
        self.cutter = eventstream.EventCutter()
        self.failure = None
        self.passed_bytes = 0
        self.passed_at = None

    def describe(self, now):
        """Return how far the answer has come, for the log."""
        if self.passed_at is None:
            return "nothing of the answer was passed on"
        silent = (now - self.passed_at).total_seconds() * 1000
        return (
            f"{self.passed_bytes} bytes of the answer were passed on, "
            f"the last {silent:.0f} ms ago"
        )


class Send:
    """A send whose answer has not begun, which may be withdrawn.

    Parameters
    ----------
    attempt : int
        Which send of its request it is.
    limit : asyncio.Timeout
        Ends it.
    """

    def __init__(self, attempt, limit):
        self.attempt = attempt
        self._limit = limit
        self._ends_at = limit.when()
        # Why it is withdrawn, for the log; empty while it isn't.
        self.withdrawn = ""

    def withdraw(self, reason):
        """End it now, unless it ends already."""
        if self._limit.expired():
            return
        self.withdrawn = reason
        self._limit.reschedule(asyncio.get_running_loop().time())

    def keep(self):
        """Let it come to its end after all.

        Guards against an answer that begins in the instant of its withdrawal: its
        caller would get a beginning without an end.
        """
        if self.withdrawn and not self._limit.expired():
            self._limit.reschedule(self._ends_at)
            self.withdrawn = ""
