"""Finding out whether a target still accepts connections."""

import asyncio

from sesamespindle.daemon import connections, logs
from sesamespindle.decide import crashes

_log = logs.part("relay")


class LifeProbe:
    """Carries out `crashes.ProbeLife`; a context manager that ends what is under way.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Gets what is found out.
    """

    def __init__(self, driver):
        self._driver = driver
        self._tasks = set()
        driver.on(crashes.ProbeLife, self._begin)

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _begin(self, command):
        task = asyncio.create_task(self._probe(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, command):
        """Connect once, and tell if the connection is refused.

        A connection that is made tells nothing, as the next life may have the address
        already; nor does silence, as the link may be cut.
        """
        place = command.address.rpartition("//")[2]
        host, _, port = place.rpartition(":")
        try:
            async with asyncio.timeout(connections.CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            self._driver.feed(crashes.LifeRefuses(command.life))
        except (OSError, TimeoutError) as error:
            _log.debug("Target {} can't be probed. {!r}", command.life.name, error)
        else:
            writer.close()
