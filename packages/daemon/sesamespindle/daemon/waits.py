"""Waits of requests that no target has room for."""

import asyncio
import contextlib
import functools

from sesamespindle.daemon import logs
from sesamespindle.decide import commands, sends

_note_request = functools.partial(logs.note_request, "relay")


class Waits:
    """Carries out each `sends.Wait` until it is resumed, is over or the host ends.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Runs the decision logic.
    measures : sesamespindle.daemon.measures.Measures
        Receives how long requests waited.
    """

    def __init__(self, driver, measures):
        self._driver = driver
        self._forwarding = driver.core.forwarding
        self._measures = measures
        self._resumed_by_request = {}
        self._is_ending = False
        driver.on(sends.Resume, self._resume)

    def end(self):
        """End all waits, as the host ends now."""
        self._is_ending = True
        for resumed in self._resumed_by_request.values():
            resumed.set()

    async def wait(self, wait):
        """Wait for room, and return the command that follows.

        Parameters
        ----------
        wait : sends.Wait
            The wait.
        """
        began = self._driver.clock.now()
        _note_request(wait.request_id, "Waits for {}: {}.", wait.service, wait.reason)
        seconds = max((wait.until - began).total_seconds(), 0.001)
        resumed = self._resumed_by_request[wait.request_id] = asyncio.Event()
        if self._is_ending:
            resumed.set()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await resumed.wait()
        finally:
            del self._resumed_by_request[wait.request_id]
        now = self._driver.clock.now()
        command = self._follow(wait.request_id, now)
        self._measures.waited(wait.service, now - began)
        _note_request(
            wait.request_id,
            "Waited {:.0f} ms for {}. Next: {}.",
            (now - began).total_seconds() * 1000,
            wait.service,
            command.code
            if isinstance(command, commands.Refuse)
            else type(command).__name__,
        )
        return command

    def _follow(self, request_id, now):
        """Return what follows a wait; nothing is sent once the host ends."""
        if self._is_ending:
            return self._forwarding.refuse_shutting_down(request_id, sent=False)
        command = self._forwarding.resumed(request_id, now=now)
        self._driver.feed()
        return command

    def _resume(self, command):
        """Execute a `sends.Resume`; ignore one for a request that doesn't wait."""
        resumed = self._resumed_by_request.get(command.request_id)
        if resumed is not None:
            resumed.set()
