"""Probes that check whether a target still accepts connections."""

import asyncio

from sesamespindle.daemon import connections, logs
from sesamespindle.decide import crashes

_log = logs.part("relay")


class TargetProbe:
    """Carries out `crashes.ProbeTarget` commands.

    Used as a context manager, it cancels the probes in flight at the end.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives `crashes.TargetRefusesConnections` for targets that refuse the
        connection.
    """

    def __init__(self, driver):
        self._driver = driver
        self._tasks = set()
        driver.on(crashes.ProbeTarget, self._start_probe)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_probe(self, command):
        task = asyncio.create_task(self._probe(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, command):
        """Connect once, and report if the connection is refused.

        Only a refusal shows that this incarnation of the target has ended. If the
        connection is made, the target's next incarnation may already listen at the
        address; if there is no answer, the network may be interrupted.
        """
        authority = command.address.rpartition("//")[2]
        host, _, port = authority.rpartition(":")
        try:
            async with asyncio.timeout(connections.CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            self._driver.feed(crashes.TargetRefusesConnections(command.incarnation))
        except (OSError, TimeoutError) as error:
            _log.debug(
                "Inconclusive probe of target {}. {!r}", command.incarnation.name, error
            )
        else:
            writer.close()
