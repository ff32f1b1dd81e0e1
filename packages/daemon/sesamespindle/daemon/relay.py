"""The HTTP relay between callers and targets.

`sesamespindle.decide.forwarding` decides where each request is sent and what
follows; the relay does the network I/O.
"""

import asyncio
import contextlib
import dataclasses
import functools
import weakref

import aiohttp
import aiohttp.web
import yarl

from sesamespindle.daemon import (
    answerends,
    callerprotocol,
    connections,
    logs,
    proofs,
    reachcheck,
    relayed,
    silences,
    streampump,
    waits,
)
from sesamespindle.decide import carriers, commands, events, routes, sends
from sesamespindle.wire import answers, eventstream

_log = logs.part("relay")
_note_request = functools.partial(logs.note_request, "relay")
# A connection is closed after its answer if the target keeps idle connections
# open for less than this. The connection pool reuses them for up to 4 s, so a
# request could be sent just as the target closes the connection.
_MIN_IDLE_SECONDS = 5
# How long the rest of a response may take that is read only to reuse its connection.
_DISCARD_SECONDS = 0.2
# Reading more of it costs more than another connection.
_MAX_DISCARDED_BYTES = 64 * 1024
# Tells a caller that waits for it to send the body of its request.
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_HOST_OVERLOADED = (
    commands.Code.HOST_OVERLOADED,
    "This host holds all that it may for its callers.",
)


class _CutOffError(Exception):
    """The caller has received part of its answer, and the rest can't follow."""

    code = "cut_off"


class Relay:
    """Relays callers' requests to targets, and the targets' answers to callers.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Runs the decision logic.
    dialect : object
        Translates headers and statuses, such as the platform's
        `sesamespindle.platform.dialect.Dialect`. The relay itself knows nothing
        that is specific to a platform.
    session : aiohttp.ClientSession
        Connects to targets; from `connections.make_session`.
    measures : sesamespindle.daemon.measures.Measures
        Receives counters and latencies.
    peer_session : aiohttp.ClientSession, optional
        Connects to peers that carry requests; may be left out if none does.
    origin_lookup : sesamespindle.daemon.originlookup.OriginLookup, optional
        Finds out which software version began a stream; may be left out in tests.
    keeper_links : sesamespindle.daemon.keeperlinks.KeeperLinks, optional
        Asks the keepers of engines; may be left out in tests.
    store_proofs : sesamespindle.daemon.proofs.Proofs, optional
        Has the store checked for requests; made here if left out.

    Attributes
    ----------
    in_flight : int
        The number of requests that have no complete answer yet.
    """

    def __init__(
        self,
        driver,
        dialect,
        session,
        measures,
        peer_session=None,
        origin_lookup=None,
        keeper_links=None,
        store_proofs=None,
    ):
        self._driver = driver
        self._forwarding = driver.core.forwarding
        self._clock = driver.clock
        self._dialect = dialect
        self._session = session
        self._peer_session = peer_session
        self._origin_lookup = origin_lookup
        self._keeper_links = keeper_links
        self._measures = measures
        self._answer_ends = answerends.AnswerEnds(measures)
        self._proofs = store_proofs or proofs.Proofs(driver)
        self._reach_check = reachcheck.ReachCheck(driver)
        self._requests_by_connection = weakref.WeakKeyDictionary()
        # The timeouts of all sends in flight.
        self._send_timeouts = set()
        # The sends in flight whose answer has not begun, so that they can still
        # be withdrawn.
        self._send_by_request = {}
        self._is_ending = False
        self.in_flight = 0
        driver.on(sends.Withdraw, self._withdraw)
        self._waits = waits.Waits(driver, measures)

    def end(self):
        """Give all requests in flight their final answers, as the host ends now.

        Guards against callers whose connection is closed without an answer when
        the process ends. All sends time out at once: a request whose answer has
        not begun is refused, and an answer that has begun is cut off. From then
        on nothing is sent, even if the host ends ahead of schedule because it was
        idle.
        """
        self._is_ending = True
        self._driver.feed(events.ShutdownStarted())
        self._waits.end()
        now = asyncio.get_running_loop().time()
        for send_timeout in self._send_timeouts:
            if not send_timeout.expired():
                send_timeout.reschedule(now)

    async def handle(self, http):
        """Answer one request of a caller.

        Parameters
        ----------
        http : aiohttp.web.BaseRequest
            The request.

        Returns
        -------
        response : aiohttp.web.StreamResponse
            What the caller gets; already sent in part or whole if it was streamed.
        """
        return await self._count_answer(http, None)

    async def handle_carried(self, http):
        """Answer one request that a peer has this host carry to a target.

        Guards against callers that reach the port which is meant for peers: they get
        nothing, and nothing is sent for them.
        """
        passport = self._dialect.read_passport(http)
        core = self._driver.core
        if passport is None or not core.carriers.knows(passport, http.remote):
            _log.warning("A request to be carried from {} is unknown.", http.remote)
            self._abort_connection(http)
            return aiohttp.web.Response()
        return await self._count_answer(http, passport)

    async def _count_answer(self, http, passport):
        arrived = self._clock.now()
        self._count_on_connection(http)
        self.in_flight += 1
        try:
            return await self._answer(http, arrived, passport)
        finally:
            self.in_flight -= 1

    async def _answer(self, http, arrived, passport):
        """Answer one request, which arrived at a given time."""
        request = self._dialect.read_request(http, arrived)
        if not request.request_id or self._is_id_in_use(request):
            return self._refuse(http, relayed.refusal_of_reused_id(request), passport)
        if not self._dialect.can_forward(http):
            return self._refuse(http, relayed.refusal_of_headers(request), passport)
        request = dataclasses.replace(request, passport=passport)
        body = await self._receive_body(http, request)
        if isinstance(body, commands.Refuse):
            return self._refuse(http, body, passport)
        request = dataclasses.replace(
            request,
            content=relayed.content_digest(http, body),
            body_bytes=max(request.body_bytes, len(body.complete or b"")),
        )
        connection = callerprotocol.of(http)
        if connection is not None and not connection.begin_request(len(request.prompt)):
            refusal = self._forwarding.refuse_unread(request, *_HOST_OVERLOADED)
            return self._refuse(http, refusal, passport)
        if passport is not None:
            software = self._dialect.read_software(http)
            request = dataclasses.replace(request, software=software)
        await self._reach_check.confirm(request)
        if self._origin_lookup is not None:
            request = await self._origin_lookup.find(request)
        command = await self._proofs.confirm(
            lambda: self._call_core(self._forwarding.begin, request)
        )
        answer = relayed.Answer()
        try:
            return await self._execute(http, request, body, command, answer)
        except _CutOffError:
            self._log_incomplete(
                request,
                answer,
                "Cut off: the answer had begun, nothing can continue it",
            )
            self._measures.refused("cut_off")
            self._abort_connection(http)
            return answer.response
        except relayed.CallerLeftError:
            self._log_incomplete(request, answer, "The caller has left")
            self._abort_connection(http)
            return answer.response
        except asyncio.CancelledError:
            self._log_incomplete(request, answer, "The caller has left")
            raise
        finally:
            self._call_core(self._forwarding.close, request.request_id)

    async def _receive_body(self, http, request):
        """Receive the body of a request, which may take long or never end.

        Returns
        -------
        body : relayed.Body or commands.Refuse
            A refusal if its head suffices for that, or the body isn't received.
        """
        if http.content.is_eof() and not http.content.exception():
            return await relayed.read_body(http)
        now = self._clock.now()
        admitted = self._forwarding.check_head(request, now)
        if isinstance(admitted, commands.Refuse):
            return admitted
        try:
            return await self._callers_body(http, admitted, now)
        except relayed.BodyTooLargeError:
            code, why = commands.Code.BODY_TOO_LARGE, "The body exceeds the size limit."
        except callerprotocol.GaveWayError:
            code, why = _HOST_OVERLOADED
        except TimeoutError:
            code = commands.Code.BODY_LATE
            why = "The body was not whole when the time of its request was over."
        return self._forwarding.refuse_unread(request, code, why)

    async def _callers_body(self, http, admitted, now):
        """Return the `relayed.Body` of a request that was admitted by its head."""
        connection = callerprotocol.of(http)
        if http.headers.get("Expect", "").lower() == "100-continue":
            await http.writer.write(_CONTINUE)
        if connection is None:
            return await relayed.read_body(http)
        seconds = (admitted.until - now).total_seconds()
        ends_at = asyncio.get_running_loop().time() + seconds
        async with connection.reading(ends_at):
            body = await relayed.read_body(
                http, connection.whole_body_bytes, admitted.max_body_bytes
            )
        if body.complete is None:
            connection.pass_body_on(connection.whole_body_bytes)
        return body

    def _log_incomplete(self, request, answer, default_cause):
        """Log why an answer was not completed, and how much of it was sent.

        Parameters
        ----------
        default_cause : str
            The cause, unless it is the end of this host.
        """
        cause = "Cut off by the end of this host" if self._is_ending else default_cause
        _note_request(
            request.request_id,
            "{}: {}.",
            cause,
            answer.describe_progress(self._clock.now()),
        )

    def _count_on_connection(self, http):
        """Count the requests of each caller's connection, for the log.

        A count above 1 shows that the caller reused a kept-alive connection.
        """
        counts = self._requests_by_connection
        if http.transport is not None:
            counts[http.transport] = counts.get(http.transport, 0) + 1

    def _is_id_in_use(self, request):
        """Return whether another request in flight has the same id."""
        return request.request_id in self._forwarding.flight_by_request

    async def _execute(self, http, request, body, command, answer):
        """Execute commands until the request has its answer; return the response.

        Raises
        ------
        _CutOffError
            If the answer has begun and can't be completed.
        """
        while True:
            match command:
                case commands.Refuse():
                    if answer.response is not None:
                        raise _CutOffError
                    return self._refuse(http, command, request.passport)
                case sends.PassOn():
                    if answer.response is not None:
                        raise _CutOffError
                    return self._close_if_leaving(answer.failure)
                case sends.AskKeeper():
                    reply = await self._keeper_links.ask(command)
                    command = self._call_core(
                        self._forwarding.keeper_answered, command.request_id, reply
                    )
                case sends.Wait():
                    command = await self._waits.wait(command)
                case sends.Forward():
                    command = await self._send(http, body, command, answer)
                    if command is None:
                        return answer.response

    async def _send(self, http, body, forward, answer):
        """Send a request to one target.

        Returns
        -------
        command : sends.Forward, sends.PassOn, commands.Refuse or None
            What to do next; None once the caller has its complete answer.
        """
        seconds_left = (forward.until - self._clock.now()).total_seconds()
        _note_request(
            forward.request_id,
            "Sent to {} {}, attempt {}, {:.0f} ms left. {} {}",
            answerends.kind_of(forward),
            forward.target,
            forward.attempt,
            seconds_left * 1000,
            forward.reason,
            self._driver.core.describe_targets(self._clock.now()),
        )
        if body.is_consumed:
            # The body was streamed to an earlier target without being buffered, so
            # it can't be sent again; the request gets its final answer.
            return self._call_core(
                self._forwarding.timed_out, forward.request_id, sent=True
            )
        try:
            async with self._limit_send_time(max(seconds_left, 0.001)) as send_timeout:
                send = relayed.Send(forward.attempt, send_timeout)
                self._send_by_request[forward.request_id] = send
                ending = await self._exchange(http, body, forward, answer)
        except TimeoutError:
            return self._after_timeout(forward, send)
        finally:
            self._send_by_request.pop(forward.request_id, None)
        if ending is None:
            self._forwarding.served(forward.request_id, self._clock.now())
            return None
        command = self._call_core(self._forwarding.ended, forward.request_id, ending)
        self._log_end(forward, ending.value, command)
        return command

    @contextlib.asynccontextmanager
    async def _limit_send_time(self, seconds):
        """Limit the time of a send; `end` can make it expire sooner."""
        async with asyncio.timeout(seconds) as send_timeout:
            self._send_timeouts.add(send_timeout)
            try:
                yield send_timeout
            finally:
                self._send_timeouts.discard(send_timeout)

    def _withdraw(self, command):
        """Execute a `sends.Withdraw`, unless the answer has begun meanwhile."""
        send = self._send_by_request.get(command.request_id)
        if send is not None and send.attempt == command.attempt:
            send.withdraw(command.reason)

    def _prevent_withdrawal(self, forward):
        """Protect a send from withdrawal, since its answer has begun.

        A withdrawal whose timeout has not fired yet is undone. If the host is
        ending, the send still times out at once.
        """
        send = self._send_by_request.pop(forward.request_id, None)
        if send is not None and not self._is_ending:
            send.undo_withdrawal()

    def _after_timeout(self, forward, send):
        """Return what follows a send whose timeout expired before its answer ended.

        Its deadline has passed, the host ends, or the send was withdrawn.
        """
        if self._is_ending:
            command = self._forwarding.refuse_shutting_down(forward.request_id)
            self._log_end(forward, "host ends", command)
            return command
        if send.withdrawal_reason:
            command = self._call_core(
                self._forwarding.ended, forward.request_id, sends.Ending.WITHDRAWN
            )
            self._log_end(forward, f"withdrawn, {send.withdrawal_reason}", command)
            return command
        command = self._call_core(
            self._forwarding.timed_out, forward.request_id, sent=True
        )
        self._log_end(forward, "timeout", command)
        return command

    def _log_end(self, forward, ending, command):
        """Log how a send ended, and what follows it."""
        _note_request(
            forward.request_id,
            "The send to {} {} ended: {}. Next: {}.",
            answerends.kind_of(forward),
            forward.target,
            ending,
            type(command).__name__
            if not isinstance(command, commands.Refuse)
            else f"{command.code}, {command.outcome}",
        )

    async def _exchange(self, http, body, forward, answer):
        """Send a request to a target and relay the answer.

        Returns
        -------
        ending : sends.Ending or None
            How the send ended; None once the caller has its complete answer.

        Raises
        ------
        TimeoutError
            If the timeout of the whole send expires.
        _CutOffError
            If the caller has part of the answer, and the rest can't follow.
        """
        url = yarl.URL(f"http://{forward.address}{http.raw_path}", encoded=True)
        headers = self._dialect.send_headers(
            http, forward, self._clock.now(), answer.event_splitter.last_event_id
        )
        try:
            async with self._first_byte_timeout(forward, answer) as first_byte:
                session = self._session
                if forward.passport is not None:
                    session = self._peer_session
                response = await session.request(
                    http.method,
                    url,
                    headers=headers,
                    data=body.payload(),
                    allow_redirects=False,
                    server_hostname=connections.connection_key(
                        forward.target, forward.born
                    ),
                )
                async with response:
                    first_byte.stop()
                    return await self._handle_response(http, forward, response, answer)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return sends.Ending.REFUSED
            return sends.Ending.UNREACHABLE
        except aiohttp.ConnectionTimeoutError:
            return sends.Ending.UNREACHABLE
        except TimeoutError:
            if not first_byte.has_expired:
                raise
            return sends.Ending.SILENT
        except (aiohttp.ClientResponseError, answers.BrokenAnswerError) as error:
            self._answer_ends.note_unreadable(forward, error)
            return sends.Ending.LOST
        except aiohttp.ClientError:
            return sends.Ending.LOST

    def _ending_of_misfit(self, forward, response):
        """Return the ending of a response that can't continue a stream; None if it can.

        Guards against a refusal that is written to a caller after the events that it
        has.
        """
        if forward.streaming and response.status == 200:
            return None
        if forward.passport is not None and response.status == 503:
            return self._dialect.ending_of_given_back(response.headers)
        return sends.Ending.LOST

    def _first_byte_timeout(self, forward, answer):
        """Return a timeout that runs until the headers of a target's response.

        It never expires if the send has no such timeout, or if the caller already
        has part of the answer from an earlier target.
        """
        seconds = None
        if forward.first_byte_timeout is not None and answer.response is None:
            seconds = forward.first_byte_timeout.total_seconds()
        return silences.FirstByteTimeout(seconds, lambda: self._ends_silent(forward))

    def _ends_silent(self, forward):
        return self._forwarding.ends_silent(forward.request_id, self._clock.now())

    async def _handle_response(self, http, forward, response, answer):
        """Judge a target's response, and relay it if it is an answer.

        Responses that don't answer the request are read but not relayed, such as
        that the target turned it away.

        Returns
        -------
        ending : sends.Ending or None
            As `_exchange` returns it.
        """
        self._heard(forward)
        signals = self._dialect.signals(forward, response.status, response.headers)
        if signals is not None:
            now = self._clock.now()
            self._forwarding.note_signals(forward.request_id, signals, now)
        idle_seconds = self._dialect.keep_alive_seconds(response.headers)
        is_reusable = idle_seconds is None or idle_seconds >= _MIN_IDLE_SECONDS
        ending = self._dialect.ending_of(forward, response.status, response.headers)
        if ending is None and answer.response is not None:
            ending = self._ending_of_misfit(forward, response)
        if ending is not None:
            # The target has already said what became of the request. A withdrawal
            # while the rest of its response is read would lose that, for example
            # that the request was not run.
            self._prevent_withdrawal(forward)
        try:
            if ending is sends.Ending.FAILED:
                answer.failure = await self._read_failure(http, forward, response)
                return ending if answer.failure is not None else sends.Ending.LOST
            if ending is sends.Ending.FOREIGN:
                ids = self._dialect.answered_ids(response.headers)
                self._answer_ends.note_foreign(forward, response.status, ids)
            if ending is not None:
                if ending not in sends.UNUSABLE_AFTER:
                    await self._discard(forward, response)
                return ending
            if forward.streaming and response.status == 200:
                return await self._relay_stream(http, forward, response, answer)
            return await self._relay_plain(http, forward, response, answer)
        finally:
            if not is_reusable or ending in sends.UNUSABLE_AFTER:
                response.close()

    async def _discard(self, forward, response):
        """Read the rest of a response, so that its connection can be used again.

        Guards against a request that counts as one that may have run, although its
        target said otherwise, because the rest breaks off, never comes or never ends.
        """
        try:
            async with asyncio.timeout(_DISCARD_SECONDS):
                await answers.read(response, _MAX_DISCARDED_BYTES)
        except TimeoutError:
            response.close()
            self._answer_ends.note_broken(forward, response, "The rest is late.")
        except aiohttp.ClientError as error:
            self._answer_ends.note_broken(forward, response, error)

    async def _relay_plain(self, http, forward, response, answer):
        """Relay an answer that is not a stream of events.

        A small answer is buffered, so that the caller gets nothing of it if the
        target's connection breaks; a large one is relayed as it arrives.

        Returns
        -------
        ending : sends.Ending or None
            As `_exchange` returns it.
        """
        self._first_byte(forward)
        buffered = bytearray()
        try:
            async for chunk in answers.chunks(response):
                if answer.response is not None:
                    await answer.write(chunk, self._clock)
                    continue
                buffered += chunk
                if not callerprotocol.may_buffer(http, len(buffered)):
                    await self._start_response(http, response, answer)
                    await answer.write(bytes(buffered), self._clock)
        except aiohttp.ClientError as error:
            return self._ending_of_broken(forward, response, answer, error)
        self._answer_ends.note_whole(forward, response)
        if answer.response is None:
            answer.response = self._close_if_leaving(
                self._buffered_response(response, bytes(buffered))
            )
        else:
            await answer.end()
        return None

    def _buffered_response(self, response, content):
        """Return a target's response as the caller gets it, with its whole body."""
        return aiohttp.web.Response(
            status=response.status,
            reason=response.reason,
            headers=self._dialect.answer_headers(response.raw_headers),
            body=content,
        )

    async def _read_failure(self, http, forward, response):
        """Return a target's failure response for the caller.

        Returns
        -------
        failure : aiohttp.web.Response or None
            None if the response is incomplete or too large to buffer.
        """
        max_bytes = callerprotocol.MAX_BUFFERED_BYTES
        if not callerprotocol.may_buffer(http, max_bytes):
            max_bytes = callerprotocol.ALWAYS_BUFFERED_BYTES
        try:
            content = await answers.read(response, max_bytes)
        except aiohttp.ClientError as error:
            self._answer_ends.note_broken(forward, response, error)
            return None
        return self._buffered_response(response, content)

    async def _relay_stream(self, http, forward, response, answer):
        """Relay a stream of server-sent events as they arrive.

        Only whole events are relayed, so that another target can continue a stream
        that may be resumed, and a caller never takes part of an event for all of it.

        Returns
        -------
        ending : sends.Ending or None
            As `_exchange` returns it.
        """
        splitter = answer.event_splitter
        splitter.begin_anew()
        continues = answer.response is not None or "Last-Event-Id" in http.headers
        heard = functools.partial(self._heard, forward)
        is_first = True
        try:
            async for whole_events in eventstream.events(response, splitter, continues):
                heard()
                if is_first:
                    is_first = False
                    self._first_byte(forward)
                if not whole_events:
                    continue
                if answer.response is None:
                    await self._start_stream(http, forward, response, answer)
                await answer.write(whole_events, self._clock)
                await streampump.pass_on(response, http, answer, heard)
        except aiohttp.ClientError as error:
            return self._ending_of_broken(forward, response, answer, error)
        self._answer_ends.note_whole(forward, response)
        if answer.response is None:
            await self._start_stream(http, forward, response, answer)
        await answer.end()
        return None

    def _ending_of_broken(self, forward, response, answer, error):
        """Return the ending of a send whose answer broke off.

        Raises
        ------
        _CutOffError
            If the caller has part of the answer and no target can continue it.
        """
        self._answer_ends.note_broken(forward, response, error)
        is_resumable = forward.repeats is routes.Repeats.RESUMABLE
        if answer.response is not None and not is_resumable:
            self._call_core(self._forwarding.answer_broken, forward.request_id)
            raise _CutOffError
        return sends.Ending.LOST

    async def _start_stream(self, http, forward, response, answer):
        """Start the response, as the first event of a stream has arrived."""
        told = self._dialect.software_of(forward, response.headers)
        software = self._call_core(
            self._forwarding.stream_begun, forward.request_id, told
        )
        await self._start_response(http, response, answer, software)

    async def _start_response(self, http, response, answer, software=""):
        """Send the caller the status and headers of a target's response.

        The length is announced only if the response is not a stream of events.
        """
        answer.response = aiohttp.web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=self._dialect.answer_headers(response.raw_headers, software),
        )
        length = response.headers.get("Content-Length")
        if length is not None and not self._is_stream(response):
            answer.response.content_length = int(length)
        with relayed.sending_to_caller():
            await self._close_if_leaving(answer.response).prepare(http)

    def _close_if_leaving(self, response):
        """Close the caller's connection after this response if the host is leaving.

        Guards against callers that keep using a kept-alive connection to a leaving
        host. It soon refuses every request that might not end before the host
        does; callers that have to connect anew choose another host.
        """
        if self._driver.core.state.leaving:
            response.force_close()
        return response

    def _is_stream(self, response):
        return response.content_type == "text/event-stream"

    def _heard(self, forward):
        """Record that the target sent something; return the current time."""
        now = self._clock.now()
        self._forwarding.heard(forward.request_id, now)
        return now

    def _first_byte(self, forward):
        """Record the first byte of an answer; its send is no longer withdrawn."""
        self._prevent_withdrawal(forward)
        now = self._clock.now()
        self._forwarding.first_byte(forward.request_id, now)
        flight = self._forwarding.flight_by_request.get(forward.request_id)
        if flight is not None:
            waited = now - flight.arrived_at
            self._measures.first_byte(flight.route.name, waited)
            _note_request(
                forward.request_id,
                "First byte from {} {} after {:.0f} ms.",
                answerends.kind_of(forward),
                forward.target,
                waited.total_seconds() * 1000,
            )

    def _call_core(self, function, *args, **kwargs):
        """Call a function of the decision logic and return its result.

        Commands that the call emitted besides are executed too.
        """
        result = function(*args, now=self._clock.now(), **kwargs)
        self._driver.feed()
        return result

    def _refuse(self, http, refuse, passport=None):
        """Return the response for a `commands.Refuse`; count and log it.

        Parameters
        ----------
        passport : sends.Passport, optional
            That of the request if a peer has this host carry it.
        """
        is_declined = passport is not None and carriers.declines(refuse)
        arrivals = 0
        if passport is not None:
            arrivals = self._forwarding.arrivals_of(refuse.request_id)
        refusal = self._dialect.refusal(refuse, is_declined, arrivals)
        self._measures.refused(refuse.code)
        _note_request(
            refuse.request_id,
            "Refused: {}, {}. {} {} It is request number {} on its connection.",
            refuse.code,
            refuse.outcome,
            refuse.message,
            self._driver.core.describe_configuration(self._clock.now()),
            self._requests_by_connection.get(http.transport, 0),
        )
        response = aiohttp.web.Response(
            status=refusal.status, headers=refusal.headers, body=refusal.body
        )
        return self._close_if_leaving(response)

    def _abort_connection(self, http):
        """Abort the caller's connection, so that its answer can't look complete.

        Guards against callers of HTTP/1.0 that take half an answer for all of it: they
        get no chunks, so to them an orderly close is the end of the answer.
        """
        if http.transport is None:
            return
        if http.version < aiohttp.HttpVersion11:
            connections.reset_on_close(http.transport)
        http.transport.abort()
