"""Waiting for probes before a request that must not be lost on a cut path."""

import asyncio

from sesamespindle.decide import reach


class ReachCheck:
    """Waits until this host knows again which services it reaches.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Its decision logic has the `reach.Reach`; gives each `reach.RoundDecided`.
    """

    def __init__(self, driver):
        self._driver = driver
        self._waiting = set()
        driver.on(reach.RoundDecided, self._wake)

    async def confirm(self, request):
        """Wait for a round of probes if this host has heard no target lately.

        Parameters
        ----------
        request : flights.Request
            The request that is to be sent then.
        """
        service_reach = self._driver.core.reach
        if not service_reach.is_stale(self._driver.clock.now()):
            return
        services = self._driver.core.forwarding.services_of(request)
        if not services:
            return
        self._driver.feed(reach.CheckWanted(services))
        while service_reach.is_checking(services):
            await self._wait_for_round()

    async def _wait_for_round(self):
        decided = asyncio.get_running_loop().create_future()
        self._waiting.add(decided)
        try:
            await decided
        finally:
            self._waiting.discard(decided)

    def _wake(self, command):
        for decided in self._waiting:
            if not decided.done():
                decided.set_result(command.service)
