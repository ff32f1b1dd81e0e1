"""Execution of calls to plain services, and of writes to their claims."""

import asyncio
import dataclasses
import datetime
import random

from sesamespindle.daemon import logs, replies, tasksets
from sesamespindle.decide import commands, events, retries
from sesamespindle.wire import claims, engine, platform, service

_log = logs.part("call")
# First delay before a failed write of a call's outcome is retried; it doubles with
# each failure, up to 5 s.
_FIRST_SETTLE_DELAY = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True)
class CallReply:
    """The answer of a plain service.

    Attributes
    ----------
    answer : events.StoredAnswer
        The answer.
    replayed : bool
        Whether it is the stored answer of an earlier call with the same key, so that
        nothing was run for this one.
    """

    answer: events.StoredAnswer
    replayed: bool


class CallRunner:
    """Executes the commands about calls, each call in its own task.

    A call continues when its caller disconnects, so that its outcome can be stored
    for a retry with the same key.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Feeds events to the decision logic.
    platform_client : sesamespindle.wire.platform.PlatformClient
        Stores claims.
    call_timeout : datetime.timedelta
        How long a plain service may take to answer.
    """

    def __init__(self, driver, platform_client, call_timeout):
        self._driver = driver
        self._platform = platform_client
        self._call_timeout = call_timeout
        self._services = service.ServiceClient()
        self._tasks = tasksets.TaskSet()
        self._random = random.Random(driver.core.state.me.incarnation)
        driver.on(commands.TakeClaim, self._on_take_claim)
        driver.on(commands.SettleClaim, self._on_settle_claim)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._tasks.close()
        await self._services.close()

    @property
    def unfinished(self):
        """The number of calls and writes of claims that have not finished."""
        return len(self._tasks)

    async def run(self, arrival, request):
        """Make a call and return its `CallReply`.

        Parameters
        ----------
        arrival : events.CallArrived
            The event for the call.
        request : sesamespindle.wire.service.ServiceRequest
            What is sent to the plain service.

        Raises
        ------
        replies.CallerError
            The final answer if the call is refused or abandoned.
        """
        exchange = self._driver.open(arrival.request_id)
        task = self._tasks.spawn(self._execute_commands(exchange, arrival, request))
        # If the caller disconnects, only this wait is cancelled, not the call.
        return await asyncio.shield(task)

    async def _execute_commands(self, exchange, arrival, request):
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
                        self._driver.feed(await self._call_service(command, request))
        finally:
            self._driver.close(arrival.request_id)

    async def _call_service(self, command, request):
        """Call a plain service once, and return the event for its answer or ending."""
        try:
            answer = await self._services.call(command.url, request, self._call_timeout)
        except engine.NotSentError:
            ending = events.Ending.NOT_SENT
        except service.AnswerTimeoutError:
            ending = events.Ending.TIMED_OUT
        except engine.ConnectionLostError:
            ending = events.Ending.LINK_LOST
        else:
            return events.CallAnswered(command.request_id, command.attempt, answer)
        _log.bind(request=command.request_id).warning(
            "Call to {} ended: {}.", command.target, ending.value
        )
        return events.AttemptEnded(command.request_id, command.attempt, ending)

    def _on_take_claim(self, command):
        self._tasks.spawn(self._take_claim(command))

    async def _take_claim(self, command):
        """Write a claim, and feed the result to the decision logic."""
        try:
            version = await claims.write_claim(
                self._platform,
                command.account,
                command.key,
                command.claim,
                command.replaces,
            )
        except platform.ConflictError as error:
            event = _conflict_event(command, error.found)
        except platform.PlatformUnavailableError as error:
            _log.bind(request=command.request_id).warning(
                "The platform did not confirm the claim. {}", error
            )
            event = events.ClaimFailed(command.request_id)
        else:
            event = events.ClaimTaken(command.request_id, version)
        self._driver.feed(event)

    def _on_settle_claim(self, command):
        self._tasks.spawn(self._settle_claim(command))

    async def _settle_claim(self, command):
        """Write the outcome of a call to its claim, and retry until that succeeds.

        Guards against overwriting the claim of a later call with the same key, whose
        outcome would then be lost. The nonce identifies the claim of this call;
        another claim is left as it is.
        """
        delay = _FIRST_SETTLE_DELAY
        version = command.replaces
        while True:
            try:
                await claims.write_claim(
                    self._platform,
                    command.account,
                    command.key,
                    command.claim,
                    version,
                )
                return
            except platform.ConflictError as error:
                if not _is_same_call(command, error.found):
                    return
                version = error.found.version if error.found else 0
            except platform.PlatformUnavailableError:
                await asyncio.sleep(
                    retries.with_jitter(delay, self._random).total_seconds()
                )
                delay = min(delay * 2, datetime.timedelta(seconds=5))


def _conflict_event(command, found):
    """Return the event for a claim that conflicts with the one to be taken.

    Parameters
    ----------
    found : sesamespindle.wire.platform.Object or None
        The stored claim; None if there is none, which counts as a failure.
    """
    if found is None:
        return events.ClaimFailed(command.request_id)
    claim = claims.from_json_value(found.value)
    return events.ClaimFound(command.request_id, found.version, claim)


def _is_same_call(command, found):
    """Return whether no claim is stored, or the one of the same call."""
    if found is None:
        return True
    return found.value["nonce"] == command.claim.nonce
