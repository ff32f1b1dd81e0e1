"""Carrying calls to plain services, and their claims, to their end."""

import asyncio
import dataclasses
import datetime
import random

from sesamespindle.daemon import logs, replies
from sesamespindle.decide import commands, events, retries
from sesamespindle.wire import claims, engine, platform, service

_log = logs.part("call")
_SETTLE_FIRST_PAUSE = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """The answer of a plain service, and whether it is of an earlier run."""

    answer: events.StoredAnswer
    replayed: bool


class CallRunner:
    """Carries out the commands about calls, in tasks of its own.

    A call goes on when its caller leaves: only so can its outcome be kept
    for a repeat.
    """

    def __init__(self, driver, platform_client, call_timeout):
        self._driver = driver
        self._platform = platform_client
        self._call_timeout = call_timeout
        self._services = service.ServiceClient()
        self._tasks = set()
        self._random = random.Random(driver.core.state.me.incarnation)
        driver.on(commands.TakeClaim, self._on_take_claim)
        driver.on(commands.SettleClaim, self._on_settle_claim)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._services.close()

    @property
    def unsettled(self):
        """Return the number of tasks that still run."""
        return len(self._tasks)

    async def run(self, arrival, request):
        """Make a call and return its `CallReply`.

        Raises
        ------
        replies.CallerError
            With the final answer to a call that was given up.
        """
        exchange = self._driver.open(arrival.request_id)
        task = self._spawn(self._follow_commands(exchange, arrival, request))
        # The caller's leaving cancels only the waiting.
        return await asyncio.shield(task)

    async def _follow_commands(self, exchange, arrival, request):
        try:
            self._driver.feed(arrival)
            while True:
                command = await exchange.next()
                match command:
                    case commands.Refuse():
                        raise replies.from_refusal(command)
                    case commands.ReplyStored():
                        return CallReply(command.answer, command.replayed)
                    case commands.SendCall():
                        self._driver.feed(await self._call(command, request))
        finally:
            self._driver.close(arrival.request_id)

    async def _call(self, command, request):
        try:
            answer = await self._services.call(command.url, request, self._call_timeout)
        except engine.NotSentError:
            ending = events.Ending.NOT_SENT
        except service.AnswerTimeoutError:
            ending = events.Ending.TIMED_OUT
        except engine.LinkLostError:
            ending = events.Ending.LINK_LOST
        else:
            return events.CallAnswered(command.request_id, command.attempt, answer)
        _log.bind(request=command.request_id).warning(
            "Call at {} ended: {}.", command.target, ending.value
        )
        return events.AttemptEnded(command.request_id, command.attempt, ending)

    def _on_take_claim(self, command):
        self._spawn(self._take_claim(command))

    async def _take_claim(self, command):
        try:
            version = await claims.take(
                self._platform,
                command.account,
                command.key,
                command.claim,
                command.replaces,
            )
        except platform.ConflictError as error:
            event = _found_event(command, error.found)
        except platform.PlatformAwayError as error:
            _log.bind(request=command.request_id).warning("No claim. {}", error)
            event = events.ClaimFailed(command.request_id)
        else:
            event = events.ClaimTaken(command.request_id, version)
        self._driver.feed(event)

    def _on_settle_claim(self, command):
        self._spawn(self._settle_claim(command))

    async def _settle_claim(self, command):
        """Write how a run ended, for as long as that takes.

        Only this run's own claim is replaced, told by its nonce: guards
        against overwriting the claim of a later run with the same key.
        """
        pause = _SETTLE_FIRST_PAUSE
        version = command.replaces
        while True:
            try:
                await claims.take(
                    self._platform,
                    command.account,
                    command.key,
                    command.claim,
                    version,
                )
                return
            except platform.ConflictError as error:
                if not _is_same_run(command, error.found):
                    return
                version = error.found.version if error.found else 0
            except platform.PlatformAwayError:
                await asyncio.sleep(retries.spread(pause, self._random).total_seconds())
                pause = min(pause * 2, datetime.timedelta(seconds=5))

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _found_event(command, found):
    if found is None:
        return events.ClaimFailed(command.request_id)
    claim = claims.from_value(found.value)
    return events.ClaimFound(command.request_id, found.version, claim)


def _is_same_run(command, found):
    if found is None:
        return True
    return found.value["nonce"] == command.claim.nonce
