"""Real daemons before targets in trouble, and what is sent to them more than once."""

import asyncio
import contextlib
import itertools
import random
import signal

import aiohttp
import repeats
import standins

# More sends of one request than the retry budget ever permits it.
_MAX_ATTEMPTS = 4
_ROUTE_BY_SERVICE = {"desk": "/read/", "llm": "/chat/"}


class Target(standins.Target):
    """A target that reports each arrival.

    Attributes
    ----------
    on_arrival : callable
        Called with the id of each request that reaches it.
    """

    on_arrival = None

    def entry(self, state="ready"):
        """Return the record under which the target is listed."""
        return super().entry(state) | {"Slots": 64}

    def _note_arrival(self, headers):
        self.on_arrival(headers["x-attempt-id"])


class Fleet:
    """Daemons, the targets of one service, and callers that send at a steady rate.

    Attributes
    ----------
    seen : repeats.Repeats
        What was sent and what has arrived.
    statuses : list of int
        The statuses of the answers; 0 where the connection broke.
    """

    def __init__(self, world, service, seed=1):
        self.world = world
        self.service = service
        self.seen = repeats.Repeats()
        self.statuses = []
        self.hosts = []
        self.targets = []
        self.serving = []
        self._chance = random.Random(seed)
        self._numbers = itertools.count(1)

    @property
    def now(self):
        """The event loop's time."""
        return asyncio.get_running_loop().time()

    async def add_targets(self, count):
        """Start targets, and list them."""
        for number in range(count):
            address = f"127.0.0.1:{standins.free_ports(1)[0]}"
            target = Target(f"{self.service}-{number}", address, self.service)
            target.on_arrival = lambda sent: self.seen.note_arrival(sent, self.now)
            self.targets.append(target)
            await self.world.list_target(target)

    async def add_hosts(self, count):
        """Start daemons, and wait until they are ready."""
        for _ in range(count):
            seeds = tuple(host.ip for host in self.hosts[:3])
            self.hosts.append(await self.world.start_daemon(seeds))
        await self._until_ready()

    async def restart(self, hosts):
        """Kill daemons at once, and start them again."""
        self.serving = [host for host in self.serving if host not in hosts]
        for host in hosts:
            host.send_signal(signal.SIGKILL)
        for host in hosts:
            await host.ended()
        for host in hosts:
            await host.start()
        await self._until_ready()

    async def _until_ready(self):
        for host in self.hosts:
            await self.world.until_ready(host)
        self.serving = list(self.hosts)

    async def send(self, per_second):
        """Send requests at a steady rate, each to a daemon that serves."""
        async with asyncio.TaskGroup() as sent:
            while True:
                if self.serving:
                    sent.create_task(self._send_once())
                await asyncio.sleep(1.0 / per_second)

    async def _send_once(self):
        number = next(self._numbers)
        host = self._chance.choice(self.serving)
        prompt = {
            "X-Model": "m",
            "X-Prompt-Prefix": f"c{number % 30}:100,{number:x}:10",
        }
        self.seen.note_sent(self.now)
        try:
            status, _, _ = await self.world.ask(
                host,
                f"{_ROUTE_BY_SERVICE[self.service]}{number}",
                f"r{number}",
                body=f"body {number}".encode(),
                **(prompt if self.service == "llm" else {}),
            )
        except (aiohttp.ClientError, OSError):
            status = 0
        self.statuses.append(status)


@contextlib.asynccontextmanager
async def fleet(world, service="desk", hosts=8, targets=4, seed=1):
    """Yield a `Fleet` whose hosts are ready."""
    manifest = standins.make_manifest(2)
    for route in manifest["Routes"]:
        route["MaxAttempts"] = _MAX_ATTEMPTS
    await world.store.put("config", "main", manifest)
    made = Fleet(world, service, seed)
    await made.add_targets(targets)
    await made.add_hosts(hosts)
    yield made


@contextlib.asynccontextmanager
async def calling(made, per_second):
    """Have callers send requests beside the body."""
    sending = asyncio.create_task(made.send(per_second))
    try:
        yield
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
