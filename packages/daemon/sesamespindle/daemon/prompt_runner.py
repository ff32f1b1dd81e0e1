"""Execution of a prompt: its attempts at engines, until the caller has the answer."""

import asyncio
import dataclasses
import datetime

from sesamespindle.daemon import logs, replies
from sesamespindle.decide import commands, events, streams
from sesamespindle.wire import engine

_log = logs.part("prompt")
# An engine notices a closed connection when it writes the next token, 5 to 40 ms
# later. The attempts together take one second, more than any engine needs.
_CANCEL_INTERVAL_SECONDS = 0.02
_CANCEL_ATTEMPTS = 50
# Fewer attempts at the deadline of a prompt, as the caller waits for its final
# answer meanwhile: 0.1 s at most.
_CANCEL_ATTEMPTS_AT_DEADLINE = 5


@dataclasses.dataclass(frozen=True, slots=True)
class PromptRequest:
    """A caller's prompt.

    Attributes
    ----------
    prompt_tokens : int
        The number of tokens of the prompt.
    answer_tokens : int
        The maximum number of tokens of the answer.
    resume_stream : str
        The id of the stream to resume; empty for a new answer.
    delivered : int
        The sequence number of the last token that the caller already has.
    content : bytes or None
        From `fingerprints.of_content`.
    """

    request_id: str
    account: str
    model: str
    prompt: str
    prompt_tokens: int
    answer_tokens: int
    deadline: datetime.datetime
    resume_stream: str = ""
    delivered: int = 0
    content: bytes | None = None


class PromptRun:
    """One prompt from its first command to the last piece of its answer.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Feeds events to the decision logic.
    engines : sesamespindle.wire.engine.EngineClient
        The client of the engines.
    exchange : sesamespindle.daemon.driver.Exchange
        The commands about this prompt.
    request : PromptRequest
        The prompt.
    sink : object
        Gets the answer by ``begin_stream(target, stream, version)`` for each
        stream and ``add_piece(piece)`` for each piece, in order and each once.

    Attributes
    ----------
    started : sesamespindle.wire.engine.Started or None
        What the first engine reported at the start; None before that.
    finish_reason : str
        Why the answer ended; empty before it has ended.
    """

    def __init__(self, driver, engines, exchange, request, sink):
        self._driver = driver
        self._engines = engines
        self._exchange = exchange
        self._request = request
        self._sink = sink
        self._reassembly = streams.Reassembly(request.resume_stream, request.delivered)
        self._text = []
        self._url = ""
        self._target = ""
        self.started = None
        self.finish_reason = ""

    @property
    def text(self):
        """The text of the answer that this run has passed to the sink."""
        return "".join(self._text)

    @property
    def delivered(self):
        """The number of tokens that the caller has, from all entries."""
        return self._reassembly.delivered

    async def run(self):
        """Execute commands until the answer is complete.

        Raises
        ------
        replies.CallerError
            The final answer if the prompt is refused or abandoned, or if its
            deadline passes.
        """
        seconds = (self._request.deadline - self._driver.clock.now()).total_seconds()
        try:
            async with asyncio.timeout(seconds):
                await self._execute_commands()
        except TimeoutError:
            await self._cancel_at_deadline()

    async def cancel(self, max_attempts=_CANCEL_ATTEMPTS):
        """Stop the stream at the engine, unless another entry reads it.

        Guards against more streams of an account than its limit allows. An engine
        that has not noticed yet that this daemon closed its connection believes
        that the stream is being read, and continues it. If the slot were freed
        already, the account's next prompt would run at the same time. So this
        method repeats the request until the engine stops the stream or all
        attempts are used up; only then is the slot freed.

        Parameters
        ----------
        max_attempts : int
            The maximum number of attempts, one every 20 ms.
        """
        if not self._url or self._reassembly.complete:
            return
        for _ in range(max_attempts):
            if not await self._engines.cancel(self._url, self._reassembly.stream):
                return
            await asyncio.sleep(_CANCEL_INTERVAL_SECONDS)

    async def _execute_commands(self):
        while not self._reassembly.complete:
            await self._execute(await self._exchange.next())

    async def _execute(self, command):
        match command:
            case commands.Refuse():
                raise replies.from_refusal(command)
            case commands.SendPrompt():
                await self._run_attempt(command, self._start_stream(command))
            case commands.ResumeStream():
                await asyncio.sleep(command.pause.total_seconds())
                self._set_target(command)
                stream = self._reassembly.stream
                await self._run_attempt(
                    command,
                    self._engines.resume(command.url, stream, self.delivered),
                )

    async def _cancel_at_deadline(self):
        """Cancel the stream, and raise the refusal of the decision logic.

        Commands that were emitted before the refusal are ignored.
        """
        await self.cancel(_CANCEL_ATTEMPTS_AT_DEADLINE)
        self._driver.feed(
            events.AttemptEnded(
                self._request.request_id,
                self._attempt_number(),
                events.Ending.TIMED_OUT,
                self.delivered,
            )
        )
        command = await self._exchange.next()
        while not isinstance(command, commands.Refuse):
            command = await self._exchange.next()
        raise replies.from_refusal(command)

    def _attempt_number(self):
        """Return the number of the current attempt; 0 if the prompt is unknown."""
        row = self._driver.core.prompts.rows.get(self._request.request_id)
        return row.attempt if row is not None else 0

    def _start_stream(self, command):
        """Start a new stream that continues after what the caller already has.

        Returns
        -------
        items : async generator
            From `sesamespindle.wire.engine.EngineClient.start`.
        """
        request = self._request
        self._set_target(command)
        stream = f"{request.request_id}-{command.attempt}"
        self._reassembly = streams.Reassembly(stream, self.delivered)
        return self._engines.start(
            command.url,
            engine.StreamRequest(
                stream,
                request.account,
                request.model,
                request.prompt,
                request.answer_tokens,
                command.priority,
                command.salt,
                command.version,
                self.text,
                self.delivered,
                command.store_url,
            ),
        )

    def _set_target(self, command):
        self._url = command.url
        self._target = command.target

    async def _run_attempt(self, command, items):
        """Read a stream until it or its connection ends, and report the ending."""
        ending, retry_after = await self._read_stream(items)
        if ending is not events.Ending.COMPLETED:
            _log.bind(request=self._request.request_id).info(
                "Attempt at {} ended: {}.", command.target, ending.value
            )
        self._driver.feed(
            events.AttemptEnded(
                self._request.request_id,
                command.attempt,
                ending,
                self.delivered,
                retry_after,
            )
        )

    async def _read_stream(self, items):
        """Read a stream until it or its connection ends.

        Returns
        -------
        ending : events.Ending
            How the attempt ended.
        retry_after : datetime.timedelta or None
            When the engine may be asked again, if it refused the prompt.
        """
        try:
            async for item in items:
                await self._handle_item(item)
                if self._reassembly.complete:
                    return events.Ending.COMPLETED, None
        except engine.NotSentError:
            return events.Ending.NOT_SENT, None
        except engine.RefusedError as error:
            return events.Ending.REFUSED, error.retry_after
        except engine.StreamNotFoundError:
            return events.Ending.STREAM_GONE, None
        except (engine.ConnectionLostError, streams.ForeignPieceError):
            return events.Ending.LINK_LOST, None
        finally:
            await items.aclose()
        return events.Ending.LINK_LOST, None

    async def _handle_item(self, item):
        if isinstance(item, engine.Started):
            await self._handle_start(item)
            return
        for piece in self._reassembly.accept(item):
            if piece.last:
                self.finish_reason = piece.finish_reason
            else:
                self._text.append(piece.text)
            await self._sink.add_piece(piece)

    async def _handle_start(self, item):
        """Report the first token, and announce the stream to the sink."""
        if self.started is None:
            self.started = item
        self._driver.feed(
            events.FirstToken(
                self._request.request_id,
                item.reused_tokens + item.imported_tokens,
                item.computed_tokens,
            )
        )
        await self._sink.begin_stream(
            self._target, self._reassembly.stream, item.version
        )
