"""The client of a model engine: resumable streams, cancellation, load reports."""

import dataclasses
import datetime
import http
import json

import aiohttp

from sesamespindle.decide import streams
from sesamespindle.wire import answers

_CONNECT_SECONDS = 2.0
_DATA_PREFIX = b"data: "


class NotSentError(Exception):
    """No connection was made, so no byte of the request reached the target."""

    code = "not_sent"


class RefusedError(Exception):
    """The target answered that it did not accept the request.

    Attributes
    ----------
    retry_after : datetime.timedelta
        How long to wait before the next attempt.
    """

    code = "refused"

    def __init__(self, retry_after):
        super().__init__("The target refused the request.")
        self.retry_after = retry_after


class ConnectionLostError(Exception):
    """The connection broke or went idle after the request may have arrived."""

    code = "link_lost"


class StreamNotFoundError(Exception):
    """The engine no longer has the stream, or refuses to resume it."""

    code = "stream_gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """The first event of a stream, sent when the engine starts it.

    Attributes
    ----------
    reused_tokens, imported_tokens, computed_tokens : int
        Prompt tokens whose KV cache was found locally, fetched over the network,
        and computed by prefill.
    version : str
        The weight version that the engine runs.
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
    stream : str
        The id of the stream, which resumes and cancels it later.
    salt : str
        The seed of the hash chain that yields the prompt's block ids, in
        hexadecimal.
    version : str
        The only weight version that may answer.
    continuation : str
        The beginning of the answer that the caller has already received.
    continued_tokens : int
        The number of tokens in `continuation`.
    store_url : str
        The KV store that the engine may use; empty if there is none.
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
    """The HTTP API of engines; streams arrive as server-sent events.

    Parameters
    ----------
    session : aiohttp.ClientSession
        The HTTP session; the caller closes it.
    idle_timeout : datetime.timedelta
        How long a stream may be without data. Engines send data on every stream more
        often than this, so a connection that is idle for longer is considered lost.
    """

    def __init__(self, session, idle_timeout):
        self._session = session
        self._idle_timeout = idle_timeout.total_seconds()

    async def start(self, url, request):
        """Start a stream; yield `Started`, then every `streams.Piece`.

        Raises
        ------
        NotSentError, RefusedError
            If the engine certainly did not start the stream.
        ConnectionLostError
            If the connection was lost; the engine may still run the stream.
        """
        body = dataclasses.asdict(request)
        async for event in self._read("POST", f"{url}/streams", body):
            yield event

    async def resume(self, url, stream, after):
        """Yield the pieces of a running stream that follow a sequence number.

        Raises
        ------
        StreamNotFoundError
            If the engine no longer has the stream, or refuses to resume it.
        ConnectionLostError
            If the connection broke, or none could be made.
        """
        stream_url = f"{url}/streams/{stream}?after={after}"
        try:
            async for event in self._read("GET", stream_url, None):
                yield event
        except NotSentError as error:
            raise ConnectionLostError(str(error)) from error
        except RefusedError as error:
            raise StreamNotFoundError(str(error)) from error

    async def cancel(self, url, stream):
        """Ask an engine to stop a stream.

        Returns
        -------
        continues : bool
            Whether the engine answers that the stream continues because it still
            has a reader. False also if the engine does not answer; engines stop
            streams that have no reader on their own.
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
        """Return the engine's load report as JSON values, or None on a failure."""
        try:
            async with self._session.get(
                f"{url}/load", timeout=aiohttp.ClientTimeout(total=_CONNECT_SECONDS)
            ) as response:
                if response.status != 200:
                    return None
                return await answers.read_json(response)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

    async def _read(self, method, url, body):
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=_CONNECT_SECONDS, sock_read=self._idle_timeout
        )
        try:
            async with self._session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise _error_of(response)
                async for line in answers.lines(response):
                    if line.startswith(_DATA_PREFIX):
                        yield _parse_event(json.loads(line[len(_DATA_PREFIX) :]))
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise NotSentError(f"{method} {url}: {error!r}") from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise ConnectionLostError(f"{method} {url}: {error!r}") from error


def make_question(address):
    """Return an HTTP request that an engine answers at once, without running anything.

    Parameters
    ----------
    address : str
        The engine's address, as ``host:port``.
    """
    return (
        f"GET /load HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    ).encode()


def _error_of(response):
    if response.status == 404:
        return StreamNotFoundError("The engine does not have the stream.")
    if response.status in (409, 429, 503):
        seconds = float(response.headers.get("Retry-After", "1"))
        return RefusedError(datetime.timedelta(seconds=seconds))
    return ConnectionLostError(
        f"The engine answered with HTTP status {response.status}."
    )


def _parse_event(value):
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
