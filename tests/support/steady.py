"""Callers that send requests to several real daemons at a steady rate."""

import asyncio
import contextlib
import itertools

PROMPT = {"X-Model": "m"}
# Requests a second from the callers of each host, far above what the targets take.
_PER_HOST = 8.0


class Callers:
    """Callers that send requests to each host at a steady rate, until the end.

    Attributes
    ----------
    answers : list of tuple
        The host, the time, the status, the headers and the seconds of each answer.
    """

    def __init__(self, world, daemons, path):
        self._world = world
        self._path = path
        self._numbers = itertools.count()
        self._sending = [
            asyncio.create_task(self._send_steadily(daemon)) for daemon in daemons
        ]
        self.answers = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._sending:
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def _send_steadily(self, daemon):
        async with asyncio.TaskGroup() as sent:
            while True:
                sent.create_task(self._send(daemon))
                await asyncio.sleep(1.0 / _PER_HOST)

    async def _send(self, daemon):
        number = next(self._numbers)
        prompt = {"X-Prompt-Prefix": f"c{number % 30}:100,{number:x}:10"}
        loop = asyncio.get_running_loop()
        began = loop.time()
        status, headers, _ = await self._world.ask(
            daemon,
            self._path,
            f"{daemon.name}.{number}",
            body=f"body {number}".encode(),
            **(PROMPT | prompt if self._path.startswith("/chat") else {}),
        )
        now = loop.time()
        self.answers.append((daemon.name, now, status, headers, now - began))

    def statuses(self, since):
        """Return the statuses of the answers since a time."""
        return [status for _, at, status, _, _ in self.answers if at >= since]

    async def are_all_served(self):
        """Return whether all answers of the last second are successes."""
        since = asyncio.get_running_loop().time() - 1.0
        return set(self.statuses(since)) == {200}


@contextlib.asynccontextmanager
async def fleet(world, service, path, targets, daemons=4):
    """Yield targets, daemons and callers that have sent requests for a second."""
    made = [await world.add_target(f"{service}-{n}", service) for n in range(targets)]
    hosts = [await world.add_daemon()]
    while len(hosts) < daemons:
        hosts.append(await world.add_daemon(seeds=(hosts[0].ip,)))
    async with Callers(world, hosts, path) as callers:
        await asyncio.sleep(1.0)
        yield made, hosts, callers
