"""The client of a plain service, whose calls must not run twice by accident."""

import asyncio
import dataclasses
import types

import aiohttp

from sesamespindle.decide import events
from sesamespindle.wire import answers, engine

_CONNECT_SECONDS = 2.0
MAX_ANSWER_BYTES = 700_000


class AnswerTimeoutError(Exception):
    """No answer came within the timeout; the call may have run."""

    code = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call as it is sent to a plain service.

    Attributes
    ----------
    path : str
        The path below the service's URL, without a leading slash.
    key : str
        The idempotency key that is passed on; empty if there is none.
    """

    method: str
    path: str
    content_type: str
    body: bytes
    request_id: str
    key: str


class ServiceClient:
    """Makes calls to plain services, each over a new connection.

    Guards against a call that runs twice although no retry was decided. On a
    keep-alive connection that turns out to be closed, the HTTP library may resend a
    request by itself, and a request that was never written looks the same as a lost
    answer. With a new connection for each call, it is certain that nothing was sent
    if the connection was never established.
    """

    def __init__(self):
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(_record_connection)
        self._session = aiohttp.ClientSession(
            connector=answers.use_connections(
                aiohttp.TCPConnector(force_close=True, limit=0)
            ),
            trace_configs=[tracing],
        )

    async def close(self):
        """Close the HTTP session."""
        await self._session.close()

    async def call(self, url, request, timeout):
        """Make a call and return its `events.StoredAnswer`.

        Raises
        ------
        engine.NotSentError
            If no connection was established, so the call did not run.
        AnswerTimeoutError
            If the timeout passed after the connection was established; the call may
            have run.
        engine.ConnectionLostError
            If the connection broke, or the answer exceeds `MAX_ANSWER_BYTES`; the
            call may have run.
        """
        progress = types.SimpleNamespace(connected=False)
        try:
            return await self._call(url, request, timeout, progress)
        except (TimeoutError, aiohttp.ClientError) as error:
            if not progress.connected:
                raise engine.NotSentError(repr(error)) from error
            if isinstance(error, asyncio.TimeoutError):
                raise AnswerTimeoutError(repr(error)) from error
            raise engine.ConnectionLostError(repr(error)) from error

    async def _call(self, url, request, timeout, progress):
        headers = {
            "Content-Type": request.content_type,
            "X-Request-Id": request.request_id,
        }
        if request.key:
            headers["Idempotency-Key"] = request.key
        async with self._session.request(
            request.method,
            f"{url}/{request.path}",
            data=request.body,
            headers=headers,
            allow_redirects=False,
            trace_request_ctx=progress,
            timeout=aiohttp.ClientTimeout(
                total=timeout.total_seconds(), sock_connect=_CONNECT_SECONDS
            ),
        ) as response:
            body = await answers.read(response, MAX_ANSWER_BYTES)
            return events.StoredAnswer(response.status, response.content_type, body)


async def _record_connection(session, context, params):
    context.trace_request_ctx.connected = True
