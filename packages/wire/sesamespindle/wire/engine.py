"""A model engine: streams that can be resumed, load reports and orders."""

import dataclasses
import datetime
import http
import json

import aiohttp

from sesamespindle.decide import streams

_CONNECT_SECONDS = 2.0
_DATA = b"data: "


class NotSentError(Exception):
    """No byte of the request can have reached the target."""

    code = "not_sent"


class RefusedError(Exception):
    """The target said that it did not take the request."""

    code = "refused"

    def __init__(self, retry_after):
        super().__init__("The target refused the request.")
        self.retry_after = retry_after


class LinkLostError(Exception):
    """The link broke, or fell silent, after the request may have arrived."""

    code = "link_lost"


class StreamGoneError(Exception):
    """The engine does not know the stream, or can't be reached any more."""

    code = "stream_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """What an engine says as it starts a stream.

    Attributes
    ----------
    reused_tokens, imported_tokens, computed_tokens : int
        Tokens of the prompt found in the cache, fetched over a link, and
        computed.
    """

    reused_tokens: int
    imported_tokens: int
    computed_tokens: int
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRequest:
    """A prompt as it is sent to an engine.

    Attributes
    ----------
    salt : str
        The start of the prompt's chain of block ids, in hexadecimal.
    version : str
        The only weight version that may answer.
    continuation : str
        The part of the answer that the caller already has.
    continued_tokens : int
        The tokens of that part.
    """

    stream: str
    account: str
    model: str
    prompt: str
    max_tokens: int
    priority: int
    salt: str
    version: str
    continuation: str = ""
    continued_tokens: int = 0
    store_url: str = ""


class EngineClient:
    """One engine's API over HTTP; streams come as server-sent events.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    silence : datetime.timedelta
        An engine sends something more often than this on every stream; a link
        that is silent for longer is taken for lost.
    """

    def __init__(self, session, silence):
        self._session = session
        self._silence = silence.total_seconds()

    async def start(self, url, request):
        """Yield `Started`, then every `streams.Piece` of a new stream.

        Raises
        ------
        NotSentError, RefusedError
            If the stream was surely not started.
        LinkLostError
            If the stream may go on without us.
        """
        body = dataclasses.asdict(request)
        async for item in self._read("POST", f"{url}/streams", body):
            yield item

    async def resume(self, url, stream, after):
        """Yield the pieces of a running stream after a sequence number.

        Raises
        ------
        StreamGoneError
            If the engine does not have the stream.
        LinkLostError
            If the link broke, or no connection could be made.
        """
        target = f"{url}/streams/{stream}?after={after}"
        try:
            async for item in self._read("GET", target, None):
                yield item
        except NotSentError as error:
            raise LinkLostError(str(error)) from error
        except RefusedError as error:
            raise StreamGoneError(str(error)) from error

    async def cancel(self, url, stream):
        """Ask an engine to stop a stream.

        Returns
        -------
        goes_on : bool
            Whether the engine says that it goes on, since somebody reads it. An
            engine that doesn't answer stops streams that nobody reads by itself.
        """
        try:
            async with self._session.delete(
                f"{url}/streams/{stream}",
                timeout=aiohttp.ClientTimeout(total=_CONNECT_SECONDS),
            ) as response:
                return response.status == http.HTTPStatus.CONFLICT
        except (TimeoutError, aiohttp.ClientError):
            return False

    async def load(self, url):
        """Return the engine's load report as plain values, or None."""
        try:
            async with self._session.get(
                f"{url}/load", timeout=aiohttp.ClientTimeout(total=_CONNECT_SECONDS)
            ) as response:
                return await response.json() if response.status == 200 else None
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

    async def _read(self, method, url, body):
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_SECONDS, sock_read=self._silence
        )
        try:
            async with self._session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise _refusal(response)
                async for line in response.content:
                    if line.startswith(_DATA):
                        yield _item(json.loads(line[len(_DATA) :]))
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSentError(f"{method} {url}: {error!r}") from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise LinkLostError(f"{method} {url}: {error!r}") from error


def _refusal(response):
    if response.status == 404:
        return StreamGoneError("The engine does not know the stream.")
    if response.status in (409, 429, 503):
        seconds = float(response.headers.get("Retry-After", "1"))
        return RefusedError(datetime.timedelta(seconds=seconds))
    return LinkLostError(f"The engine answered {response.status}.")


def _item(value):
    if "sequence" not in value:
        return Started(
            value["reused_tokens"],
            value["imported_tokens"],
            value["computed_tokens"],
            value["version"],
        )
    return streams.Piece(
        value["stream"],
        value["sequence"],
        value["text"],
        value["last"],
        value["finish_reason"],
    )
