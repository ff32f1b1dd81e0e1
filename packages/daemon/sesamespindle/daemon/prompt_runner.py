"""Carrying a prompt through its attempts until the caller has its answer."""

import asyncio
import dataclasses
import datetime

from sesamespindle.daemon import logs, replies
from sesamespindle.decide import commands, events, streams
from sesamespindle.wire import engine

_log = logs.part("prompt")
# An engine notices a closed connection with the next token that it writes, some
# 5 to 40 ms later; one second is more than any leaves unread.
_CANCEL_PAUSE_SECONDS = 0.02
_CANCEL_TRIES = 50
# A caller whose time is over waits for its answer meanwhile, 0.1 s at the most.
_CANCEL_TRIES_AT_END = 5


@dataclasses.dataclass(frozen=True, slots=True)
class PromptRequest:
    """A caller's prompt.

    Attributes
    ----------
    resume_stream : str
        The stream to read on; empty for a new answer.
    delivered : int
        The last sequence number that the caller has.
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
    """One prompt's way from the first command to the last piece.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Where events go.
    engines : sesamespindle.wire.engine.EngineClient
        How engines are reached.
    sink : object
        Gets the answer by ``begin_stream(target, stream, version)`` for each
        stream and ``add_piece(piece)`` for each piece, in order and each once.
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
        """Return the answer as far as it was delivered here."""
        return "".join(self._text)

    @property
    def delivered(self):
        """Return the number of tokens that the caller has."""
        return self._reassembly.delivered

    async def run(self):
        """Carry out commands until the answer is whole.

        Raises
        ------
        replies.CallerError
            With the final answer to a prompt that was given up.
        """
        seconds = (self._request.deadline - self._driver.clock.now()).total_seconds()
        try:
            async with asyncio.timeout(seconds):
                await self._follow_commands()
        except TimeoutError:
            await self._time_out()

    async def cancel(self, tries=_CANCEL_TRIES):
        """Stop the stream at the engine, unless somebody else reads it.

        Guards against an engine that hasn't noticed yet that this daemon reads
        no more: it goes on, and the next prompt in the freed slot would run
        beside it, beyond the account's limit. So the slot is kept, and the
        engine asked again, until it has noticed.
        """
        if not self._url or self._reassembly.complete:
            return
        for _ in range(tries):
            if not await self._engines.cancel(self._url, self._reassembly.stream):
                return
            await asyncio.sleep(_CANCEL_PAUSE_SECONDS)

    async def _follow_commands(self):
        while not self._reassembly.complete:
            await self._carry_out(await self._exchange.next())

    async def _carry_out(self, command):
        match command:
            case commands.Refuse():
                raise replies.from_refusal(command)
            case commands.SendPrompt():
                await self._attempt(command, self._start(command))
            case commands.ResumeStream():
                await asyncio.sleep(command.pause.total_seconds())
                self._note_target(command)
                stream = self._reassembly.stream
                await self._attempt(
                    command,
                    self._engines.resume(command.url, stream, self.delivered),
                )

    async def _time_out(self):
        await self.cancel(_CANCEL_TRIES_AT_END)
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
        row = self._driver.core.prompts.rows.get(self._request.request_id)
        return row.attempt if row is not None else 0

    def _start(self, command):
        """Open a new stream, going on from what the caller already has."""
        request = self._request
        self._note_target(command)
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

    def _note_target(self, command):
        self._url = command.url
        self._target = command.target

    async def _attempt(self, command, items):
        """Read one link to a stream to its end, and report how it ended."""
        ending, retry_after = await self._read(items)
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

    async def _read(self, items):
        try:
            async for item in items:
                await self._take(item)
                if self._reassembly.complete:
                    return events.Ending.COMPLETED, None
        except engine.NotSentError:
            return events.Ending.NOT_SENT, None
        except engine.RefusedError as error:
            return events.Ending.REFUSED, error.retry_after
        except engine.StreamGoneError:
            return events.Ending.STREAM_GONE, None
        except (engine.LinkLostError, streams.ForeignPieceError):
            return events.Ending.LINK_LOST, None
        finally:
            await items.aclose()
        return events.Ending.LINK_LOST, None

    async def _take(self, item):
        if isinstance(item, engine.Started):
            await self._take_start(item)
            return
        for piece in self._reassembly.accept(item):
            if piece.last:
                self.finish_reason = piece.finish_reason
            else:
                self._text.append(piece.text)
            await self._sink.add_piece(piece)

    async def _take_start(self, item):
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
