"""Moving bytes between callers and targets, as the decision logic says."""

import asyncio
import contextlib
import dataclasses
import weakref

import aiohttp
import aiohttp.web
import yarl

from sesamespindle.daemon import connections, logs, relayed
from sesamespindle.decide import commands, events, routes, sends

_log = logs.part("relay")
_CHUNK_BYTES = 64 * 1024
# A target that keeps idle connections for less than this is not trusted with
# a kept connection: the pool would use it up to its end.
_SHORTEST_IDLE_SECONDS = 5


class _CutOffError(Exception):
    """The caller's answer has begun and can't be finished."""

    code = "cut_off"


class Relay:
    """Answers callers' requests.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Has the decision logic.
    dialect : object
        Reads and writes headers and statuses.
    session : aiohttp.ClientSession
        From `connections.make_session`.
    measures : sesamespindle.daemon.measures.Measures
        Counters and latencies.
    """

    def __init__(self, driver, dialect, session, measures):
        self._driver = driver
        self._forwarding = driver.core.forwarding
        self._clock = driver.clock
        self._dialect = dialect
        self._session = session
        self._measures = measures
        self._requests_by_connection = weakref.WeakKeyDictionary()
        # The time limits of all sends under way.
        self._limits = set()
        # The sends under way whose answer has not begun.
        self._send_by_request = {}
        self._is_ending = False
        self.in_flight = 0
        driver.on(sends.Withdraw, self._withdraw)

    def end(self):
        """Give all requests under way their final answers now, as the host ends.

        Guards against callers whose connection is closed without an answer: what
        has not begun to be answered is refused instead. Nothing is sent any more,
        also where the host ends before its time because it had nothing to do.
        """
        self._is_ending = True
        self._driver.feed(events.Ends())
        now = asyncio.get_running_loop().time()
        for limit in self._limits:
            if not limit.expired():
                limit.reschedule(now)

    async def handle(self, http):
        """Answer one request."""
        arrived = self._clock.now()
        self._count_on_connection(http)
        self.in_flight += 1
        try:
            return await self._answer(http, arrived)
        finally:
            self.in_flight -= 1

    async def _answer(self, http, arrived):
        request = self._dialect.read_request(http, arrived)
        if not request.request_id or self._is_taken(request):
            return self._refuse(http, _without_own_id(request))
        body = await relayed.read_body(http)
        request = dataclasses.replace(request, content=relayed.content_of(http, body))
        command = self._decide(self._forwarding.begin, request)
        answer = relayed.Answer()
        try:
            return await self._carry_out(http, request, body, command, answer)
        except _CutOffError:
            self._log_cut(
                request,
                answer,
                "Cut off: the answer had begun, nothing can continue it",
            )
            self._measures.refused("cut_off")
            self._cut(http)
            return answer.response
        except asyncio.CancelledError:
            self._log_cut(request, answer, "The caller has left")
            raise
        finally:
            self._decide(self._forwarding.close, request.request_id)

    def _log_cut(self, request, answer, otherwise):
        """Log why an answer did not come to its end, and how far it had come."""
        cause = "Cut off by the end of this host" if self._is_ending else otherwise
        _log.bind(request=request.request_id).info(
            "{}: {}.", cause, answer.describe(self._clock.now())
        )

    def _count_on_connection(self, http):
        """Count a request on its connection: only kept ones have several."""
        counts = self._requests_by_connection
        if http.transport is not None:
            counts[http.transport] = counts.get(http.transport, 0) + 1

    def _is_taken(self, request):
        return request.request_id in self._forwarding.flight_by_request

    async def _carry_out(self, http, request, body, command, answer):
        while True:
            match command:
                case commands.Refuse():
                    if answer.response is not None:
                        raise _CutOffError
                    return self._refuse(http, command)
                case sends.PassOn():
                    if answer.response is not None:
                        raise _CutOffError
                    return self._last_if_leaving(answer.failure)
                case sends.Forward():
                    command = await self._send(http, body, command, answer)
                    if command is None:
                        return answer.response

    async def _send(self, http, body, forward, answer):
        """Send to one target; return what follows, or None after an answer."""
        left = (forward.until - self._clock.now()).total_seconds()
        _log.bind(request=forward.request_id).info(
            "Sent to target {}, attempt {}, {:.0f} ms left. {}",
            forward.target,
            forward.attempt,
            left * 1000,
            forward.reason,
        )
        if body.is_spent:
            # A body that has passed through can't be sent again.
            return self._decide(
                self._forwarding.timed_out, forward.request_id, sent=True
            )
        try:
            async with self._limit(max(left, 0.001)) as limit:
                send = relayed.Send(forward.attempt, limit)
                self._send_by_request[forward.request_id] = send
                ending = await self._exchange(http, body, forward, answer)
        except TimeoutError:
            return self._after_limit(forward, send)
        finally:
            self._send_by_request.pop(forward.request_id, None)
        if ending is None:
            self._forwarding.served(forward.request_id, self._clock.now())
            return None
        command = self._decide(self._forwarding.ended, forward.request_id, ending)
        self._log_end(forward, ending.value, command)
        return command

    @contextlib.asynccontextmanager
    async def _limit(self, seconds):
        """Limit a send's time, which ends sooner if the host does."""
        async with asyncio.timeout(seconds) as limit:
            self._limits.add(limit)
            try:
                yield limit
            finally:
                self._limits.discard(limit)

    def _withdraw(self, command):
        """Carry out a `sends.Withdraw`."""
        send = self._send_by_request.get(command.request_id)
        if send is not None and send.attempt == command.attempt:
            send.withdraw(command.reason)

    def _keep(self, forward):
        """Have a send withdrawn no more, as its answer is there.

        Where the host ends, its limit stays as that has set it.
        """
        send = self._send_by_request.pop(forward.request_id, None)
        if send is not None and not self._is_ending:
            send.keep()

    def _after_limit(self, forward, send):
        """Return what follows a send that was ended before its answer was whole.

        Its time is over, its host ends, or it was withdrawn.
        """
        if self._is_ending:
            command = self._forwarding.host_ends(forward.request_id)
            self._log_end(forward, "host ends", command)
            return command
        if send.withdrawn:
            command = self._decide(
                self._forwarding.ended, forward.request_id, sends.Ending.WITHDRAWN
            )
            self._log_end(forward, f"withdrawn, {send.withdrawn}", command)
            return command
        command = self._decide(
            self._forwarding.timed_out, forward.request_id, sent=True
        )
        self._log_end(forward, "timeout", command)
        return command

    def _log_end(self, forward, how, command):
        _log.bind(request=forward.request_id).info(
            "The send to target {} ended: {}. Next: {}.",
            forward.target,
            how,
            type(command).__name__
            if not isinstance(command, commands.Refuse)
            else f"{command.code}, {command.outcome}",
        )

    async def _exchange(self, http, body, forward, answer):
        """Make one exchange with a target.

        Returns
        -------
        ending : sends.Ending or None
            None once the caller has its whole answer.
        """
        url = yarl.URL(f"http://{forward.address}{http.raw_path}", encoded=True)
        headers = self._dialect.send_headers(
            http, forward, self._clock.now(), answer.cutter.last_id
        )
        try:
            async with self._patience(forward, answer) as patience:
                response = await self._session.request(
                    http.method,
                    url,
                    headers=headers,
                    data=body.content(),
                    allow_redirects=False,
                    server_hostname=connections.key_of(forward.target, forward.born),
                )
                async with response:
                    patience.reschedule(None)
                    return await self._take(http, forward, response, answer)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return sends.Ending.REFUSED
            return sends.Ending.UNREACHABLE
        except aiohttp.ConnectionTimeoutError:
            return sends.Ending.UNREACHABLE
        except TimeoutError:
            if not patience.expired():
                raise
            return sends.Ending.SILENT
        except aiohttp.ClientError:
            return sends.Ending.LOST

    def _patience(self, forward, answer):
        seconds = None
        if forward.patience is not None and answer.response is None:
            seconds = forward.patience.total_seconds()
        return asyncio.timeout(seconds)

    async def _take(self, http, forward, response, answer):
        """Judge a target's answer and pass it on."""
        load = self._dialect.load(response.headers)
        if load is not None:
            self._forwarding.report_load(forward.request_id, load.running, load.waiting)
        version = self._dialect.weight_version(response.headers)
        if version is not None:
            self._forwarding.report_version(forward.request_id, version)
        idle = self._dialect.idle_time(response.headers)
        keeps = idle is None or idle >= _SHORTEST_IDLE_SECONDS
        ending = self._dialect.judge(forward, response.status, response.headers)
        if ending is not None:
            # It is known what has become of it: "not run" must not get lost.
            self._keep(forward)
        try:
            if ending is sends.Ending.FAILED:
                answer.failure = await self._read_failure(response)
                return ending if answer.failure is not None else sends.Ending.LOST
            if ending is not None:
                if ending is not sends.Ending.LOST:
                    await response.read()
                return ending
            if forward.streaming and response.status == 200:
                return await self._pass_stream(http, forward, response, answer)
            return await self._pass_plain(http, forward, response, answer)
        finally:
            if not keeps or ending is sends.Ending.LOST:
                response.close()

    async def _pass_plain(self, http, forward, response, answer):
        """Pass an answer on: judged whole if it is small, as it comes if not."""
        self._first_byte(forward)
        protocol = _protocol(response)
        held = bytearray()
        try:
            async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
                if answer.response is not None:
                    await self._write(answer, chunk)
                    continue
                held += chunk
                if len(held) > relayed.HELD_BYTES:
                    await self._begin(http, response, answer)
                    await self._write(answer, bytes(held))
        except aiohttp.ClientError:
            return self._broken(forward, answer)
        if not _is_framed(response) and _was_reset(protocol):
            return self._broken(forward, answer)
        if answer.response is None:
            answer.response = self._last_if_leaving(self._whole(response, bytes(held)))
        else:
            await answer.response.write_eof()
        return None

    def _whole(self, response, content):
        return aiohttp.web.Response(
            status=response.status,
            reason=response.reason,
            headers=self._dialect.answer_headers(response.raw_headers),
            body=content,
        )

    async def _read_failure(self, response):
        """Return a target's own failure, or None if it didn't come whole."""
        protocol = _protocol(response)
        try:
            content = await response.content.read(relayed.HELD_BYTES)
            whole = response.content.at_eof() or not await response.content.read(1)
        except aiohttp.ClientError:
            return None
        if not whole or (not _is_framed(response) and _was_reset(protocol)):
            return None
        return self._whole(response, content)

    async def _pass_stream(self, http, forward, response, answer):
        """Pass events on as they come."""
        resumes = forward.repeats is routes.Repeats.RESUMABLE
        protocol = _protocol(response)
        answer.cutter.restart()
        first = True
        try:
            async for chunk in response.content.iter_any():
                if first:
                    first = False
                    self._first_byte(forward)
                if resumes:
                    chunk = answer.cutter.feed(chunk)
                if not chunk:
                    continue
                if answer.response is None:
                    await self._begin(http, response, answer)
                await self._write(answer, chunk)
        except aiohttp.ClientError:
            return self._broken(forward, answer)
        cut = not _is_framed(response) and _was_reset(protocol)
        if cut or answer.cutter.has_rest():
            return self._broken(forward, answer)
        if answer.response is None:
            await self._begin(http, response, answer)
        await answer.response.write_eof()
        return None

    async def _write(self, answer, chunk):
        """Write to the caller.

        Guards against a caller that leaves in the middle of a stream: the
        library's error for it is of the same kind as a target's, and the
        request would be sent on to another target for nobody.
        """
        try:
            await answer.response.write(chunk)
        except (aiohttp.ClientError, ConnectionError) as error:
            raise _CutOffError from error
        answer.passed_bytes += len(chunk)
        answer.passed_at = self._clock.now()

    def _broken(self, forward, answer):
        """Return the ending of an answer that broke off."""
        resumes = forward.repeats is routes.Repeats.RESUMABLE
        if answer.response is not None and not resumes:
            self._decide(self._forwarding.broke_off, forward.request_id)
            raise _CutOffError
        return sends.Ending.LOST

    async def _begin(self, http, response, answer):
        answer.response = aiohttp.web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=self._dialect.answer_headers(response.raw_headers),
        )
        length = response.headers.get("Content-Length")
        if length is not None and not self._is_stream(response):
            answer.response.content_length = int(length)
        await self._last_if_leaving(answer.response).prepare(http)

    def _last_if_leaving(self, response):
        """Have the caller's connection closed after an answer of a leaving host.

        Guards against callers that stay on a kept connection and go on sending
        to a host which soon takes nothing that may outlast it.
        """
        if self._driver.core.state.leaving:
            response.force_close()
        return response

    def _is_stream(self, response):
        return response.content_type == "text/event-stream"

    def _first_byte(self, forward):
        self._keep(forward)
        now = self._clock.now()
        self._forwarding.first_byte(forward.request_id, now)
        flight = self._forwarding.flight_by_request.get(forward.request_id)
        if flight is not None:
            waited = now - flight.arrived_at
            self._measures.first_byte(flight.route.name, waited)
            _log.bind(request=forward.request_id).info(
                "First byte from target {} after {:.0f} ms.",
                forward.target,
                waited.total_seconds() * 1000,
            )

    def _decide(self, decide, *args, **named):
        """Call the decision logic, and carry out what it wants besides."""
        result = decide(*args, now=self._clock.now(), **named)
        self._driver.feed()
        return result

    def _refuse(self, http, refuse):
        refusal = self._dialect.refusal(refuse)
        self._measures.refused(refuse.code)
        _log.bind(request=refuse.request_id).info(
            "Refused: {}, {}. {} Request {} on its connection.",
            refuse.code,
            refuse.outcome,
            refuse.message,
            self._requests_by_connection.get(http.transport, 0),
        )
        response = aiohttp.web.Response(
            status=refusal.status, headers=refusal.headers, body=refusal.body
        )
        return self._last_if_leaving(response)

    def _cut(self, http):
        """Break the caller's connection, so that its answer can't look whole."""
        if http.transport is not None:
            http.transport.abort()


def _was_reset(protocol):
    return protocol is not None and protocol.was_reset


def _protocol(response):
    return response.connection.protocol if response.connection else None


def _is_framed(response):
    """Return whether an answer says itself where it ends."""
    coding = response.headers.get("Transfer-Encoding", "").lower()
    return "Content-Length" in response.headers or "chunked" in coding


def _without_own_id(request):
    """Refuse a request that can't be told from another.

    One that bears the id of a request under way is perhaps the same one, so it
    isn't said that it has not run.
    """
    return commands.Refuse(
        request.request_id,
        commands.Code.KEY_REUSED,
        commands.Outcome.UNKNOWN,
        "The request has no id of its own.",
    )
