"""Asks the store before a request is answered by knowledge that is too old."""

import asyncio
import contextlib
import datetime

from sesamespindle.decide import storechecks

# How long a request waits for a check of the store, which reads it up to twice.
_PATIENCE_SECONDS = 0.6
# The shortest time between two checks that callers who come back ask for.
_CHECK_INTERVAL = datetime.timedelta(seconds=0.1)


class Proofs:
    """Lets requests wait for a proof that what this host knows is current.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Has the store checked, and tells when a check has ended.
    """

    def __init__(self, driver):
        self._driver = driver
        self._check_ended = asyncio.Event()
        self._not_before = driver.clock.now()
        driver.on(storechecks.CheckSettled, self._wake)

    async def confirm(self, begin):
        """Return what to do with a new request, by knowledge that is recent enough.

        Guards against a request that is refused since this host has missed the change
        which allows it, such as a new route or key. All requests that wait share one
        check. If the store doesn't answer, the caller is told to come back.

        Parameters
        ----------
        begin : callable
            Returns the command for the request by what is known now.
        """
        command = begin()
        if not self._is_doubtful(command):
            return command
        if self._checks.is_store_answering():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PATIENCE_SECONDS):
                    await self._until_proved()
            command = begin()
        if self._is_doubtful(command):
            return self._checks.refuse_unproved(command)
        return command

    async def prove(self, kind, since):
        """Return whether what is known of a kind is proved complete as of a time.

        All requests that wait share one check, and the one that follows it.

        Parameters
        ----------
        kind : str
            The kind of object.
        since : datetime.datetime
            The earliest time of a proof that counts.
        """
        if not self._checks.is_store_answering():
            return self._is_proved(kind, since)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PATIENCE_SECONDS):
                while not self._is_proved(kind, since):
                    await self._check(kind)
        return self._is_proved(kind, since)

    async def _check(self, kind):
        """Wait until a check has ended, or until another one may be asked for.

        Guards against calls to the store that grow with the callers who come back.
        """
        ended = self._check_ended
        now = self._driver.clock.now()
        pause = (self._not_before - now).total_seconds()
        if pause <= 0:
            self._not_before = now + _CHECK_INTERVAL
            self._driver.feed(storechecks.CheckWanted((kind,)))
            await ended.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await ended.wait()

    def _is_proved(self, kind, since):
        known = self._driver.core.state.freshness.knowledge_by_kind.get(kind)
        return (
            known is not None
            and known.proved_at is not None
            and known.proved_at >= since
        )

    @property
    def _checks(self):
        return self._driver.core.store_checks

    def _is_doubtful(self, command):
        return self._checks.is_doubtful(command, self._driver.clock.now())

    async def _until_proved(self):
        """Wait until a check has proved that the configuration is current."""
        while not self._checks.may_refuse(self._driver.clock.now()):
            ended = self._check_ended
            self._driver.feed(storechecks.CheckWanted())
            await ended.wait()

    def _wake(self, command):
        self._check_ended.set()
        self._check_ended = asyncio.Event()
