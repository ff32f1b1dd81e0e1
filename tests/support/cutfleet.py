"""Real daemons of which some lose their paths to all targets, or to some of them."""

import asyncio
import collections
import contextlib
import enum
import itertools
import json
import os
import socket
import tempfile

import detourlaunch

from sesamespindle.lab import proxy

# From this long after a cut began its hosts must serve their callers like the others.
CONTACT_SECONDS = 3.0
# Requests a second of each kind by which a host needs new connections.
_BURST = 40.0
# First tries that may fail at cut hosts, beside one in 50 of them.
_FAILURES = 1
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
PROMPT = {"X-Model": "m"}
# Connections that fill the queue of a listener which accepts none.
_FILLING = 4


class Form(enum.StrEnum):
    """How a host is cut from a target.

    HANG holds open connections, and new ones are never established. MUTE accepts new
    ones too and holds them. RESET breaks open ones and refuses new ones. LIVE_ON
    refuses new ones, while open ones live on.
    """

    HANG = "hang"
    MUTE = "mute"
    RESET = "reset"
    LIVE_ON = "live_on"


class BlackHole:
    """An address at which connections are never established."""

    def __init__(self):
        self._listener = socket.socket()
        self._fillers = []

    def __enter__(self):
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        for _ in range(_FILLING):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())
            self._fillers.append(filler)
        return self

    def __exit__(self, *exc_info):
        for opened in (*self._fillers, self._listener):
            opened.close()

    @property
    def address(self):
        """Its host and port."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"


class ClosedPort:
    """An address at which connections are refused.

    Guards against a test process beside this one that listens there meanwhile: the
    port stays bound.
    """

    def __init__(self):
        self._bound = socket.socket()

    def __enter__(self):
        self._bound.bind(("127.0.0.1", 0))
        return self

    def __exit__(self, *exc_info):
        self._bound.close()

    @property
    def address(self):
        """Its host and port."""
        return f"127.0.0.1:{self._bound.getsockname()[1]}"


class Paths:
    """The paths of one host to the targets.

    Attributes
    ----------
    file : str
        The path of the file by which the host is led to its links.
    """

    def __init__(self, black_hole, refused_address):
        self._black_hole = black_hole
        self._refused_address = refused_address
        self._link_by_address = {}
        self._led_by_address = {}
        self._stack = contextlib.AsyncExitStack()
        # How all targets are cut, also those that are added meanwhile.
        self._form = None
        self.file = None

    async def __aenter__(self):
        handle, self.file = tempfile.mkstemp()
        os.close(handle)
        self._write()
        return self

    async def __aexit__(self, *exc_info):
        # A link that still holds bytes would end with an error.
        await self.heal()
        await self._stack.aclose()
        os.unlink(self.file)

    async def add(self, address):
        """Lay a path to a target, through a link of its own."""
        host, _, port = address.rpartition(":")
        link = await self._stack.enter_async_context(proxy.Proxy(host, int(port)))
        self._link_by_address[address] = link
        self._led_by_address[address] = link.address
        if self._form is not None:
            await self.cut(self._form, [address])
        self._write()

    async def cut(self, form, addresses=None):
        """Cut the paths to some targets, or to all."""
        if addresses is None:
            self._form = form
        for address in addresses or self._link_by_address:
            link = self._link_by_address[address]
            match form:
                case Form.HANG:
                    self._led_by_address[address] = self._black_hole.address
                    await link.apply({"mode": proxy.Mode.FREEZE})
                case Form.MUTE:
                    await link.apply({"mode": proxy.Mode.FREEZE})
                case Form.RESET:
                    self._led_by_address[address] = self._refused_address
                    await link.apply({"cut": True})
                case Form.LIVE_ON:
                    self._led_by_address[address] = self._refused_address
        self._write()

    def lose_datagrams(self):
        """Lose all datagrams of the host, in both directions."""
        self._led_by_address[detourlaunch.DATAGRAMS] = ""
        self._write()

    async def heal(self):
        """Restore all paths."""
        self._form = None
        self._led_by_address.clear()
        for address, link in self._link_by_address.items():
            self._led_by_address[address] = link.address
            await link.apply({"mode": proxy.Mode.PASS})
        self._write()

    def _write(self):
        written = f"{self.file}.new"
        with open(written, "w") as file:
            json.dump(self._led_by_address, file)
        os.replace(written, self.file)


class Fleet:
    """Daemons with a path to each target, and targets.

    Attributes
    ----------
    hosts : list of standins.Daemon
        The daemons; their data centres alternate.
    targets : list of standins.Target
        The targets.
    paths_by_host : dict of str to Paths
        The paths of each daemon, by its name.
    """

    def __init__(self, world, black_hole, refused_address, stack):
        self.world = world
        self._black_hole = black_hole
        self._refused_address = refused_address
        self._stack = stack
        self.hosts = []
        self.targets = []
        self.paths_by_host = {}
        # All callers draw from these, so that no two requests have the same id.
        self.request_numbers = itertools.count()

    @property
    def now(self):
        """The event loop's time."""
        return asyncio.get_running_loop().time()

    async def add_target(self, name, service):
        """Start a target, which the hosts that start later reach by links."""
        target = await self.world.add_target(name, service)
        self.targets.append(target)
        return target

    async def start_host(self):
        """Start one more daemon without waiting until it is ready."""
        paths = Paths(self._black_hole, self._refused_address)
        await self._stack.enter_async_context(paths)
        for target in self.targets:
            await paths.add(target.address)
        seeds = tuple(host.ip for host in self.hosts[:3])
        first = len(self.hosts) % len(DATA_CENTRES)
        own_first = DATA_CENTRES[first:] + DATA_CENTRES[:first]
        host = await self.world.start_daemon(
            seeds, data_centres=own_first, detours=paths.file
        )
        self.hosts.append(host)
        self.paths_by_host[host.name] = paths
        return host

    async def cut(self, hosts, form, targets=None):
        """Cut hosts from some targets, or from all."""
        addresses = [target.address for target in targets] if targets else None
        for host in hosts:
            await self.paths_by_host[host.name].cut(form, addresses)

    def isolate(self, hosts):
        """Cut hosts from the store and their peers, and leave them their targets."""
        for host in hosts:
            self.world.store.turned_away.add(host.ip)
            self.paths_by_host[host.name].lose_datagrams()

    async def heal(self, hosts):
        """Restore all paths of hosts."""
        for host in hosts:
            await self.paths_by_host[host.name].heal()

    async def press(self, hosts, paths):
        """Send so much to hosts for half a second that each needs new connections.

        Targets let all wait meanwhile, so that no open connection is free again.
        """
        for target in self.targets:
            target.admits.clear()
        async with Callers(self, hosts, paths, _BURST):
            await asyncio.sleep(0.5)
            for target in self.targets:
                target.admits.set()

    async def directory(self, host):
        """Return the names of the hosts that a host gives to callers."""
        async with self.world.session.get(host.directory_url()) as response:
            addresses = (await response.json())["Addresses"]
        ips = {address.partition(":")[0] for address in addresses}
        return {host.name for host in self.hosts if host.ip in ips}

    def lines(self, text):
        """Return the lines of all hosts' logs that contain a text."""
        return [line for host in self.hosts for line in host.lines() if text in line]

    def runs_by_request(self):
        """Return how many targets ran each request, by its id."""
        return collections.Counter(
            run["x-attempt-id"] for target in self.targets for run in target.runs
        )


class Callers:
    """Callers that send each host first tries of several kinds at a steady rate.

    Attributes
    ----------
    answers : list of tuple
        The host, the path, when the request was sent, the status and the seconds of
        each answer; the status is 0 if the connection broke.
    """

    def __init__(self, fleet, hosts, paths, per_second):
        self._fleet = fleet
        self.answers = []
        self._sending = [
            asyncio.create_task(self._send_steadily(host, path, per_second))
            for host in hosts
            for path in paths
        ]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._sending:
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)

    async def _send_steadily(self, host, path, per_second):
        async with asyncio.TaskGroup() as sent:
            while True:
                sent.create_task(self._send(host, path))
                await asyncio.sleep(1.0 / per_second)

    async def _send(self, host, path):
        number = next(self._fleet.request_numbers)
        headers = {}
        if path.startswith("/chat"):
            parts = f"c{number % 30}:100,{number:x}:10"
            headers = PROMPT | {"X-Prompt-Prefix": parts}
        began = self._fleet.now
        try:
            status, _, _ = await self._fleet.world.ask(
                host,
                path,
                f"{host.name}.{number}",
                body=f"body {number}".encode(),
                **headers,
            )
        except OSError:
            status = 0
        answer = host.name, path, began, status, self._fleet.now - began
        self.answers.append(answer)

    def served(self, hosts, since, until):
        """Return how many first tries at hosts were served, and how many there were."""
        names = {host.name for host in hosts}
        statuses = [
            status
            for name, _, began, status, _ in self.answers
            if name in names and since <= began < until
        ]
        return statuses.count(200), len(statuses)


def assert_served(served, sent, least_sent=50):
    """Check that first tries at hosts were served as the platform asks for."""
    assert sent > least_sent
    assert sent - served <= _FAILURES + sent / 50


@contextlib.asynccontextmanager
async def fleet(world, hosts=6, desks=3, engines=3, started=()):
    """Yield a `Fleet` whose hosts are ready, and reach the `started` targets too."""
    async with contextlib.AsyncExitStack() as stack:
        black_hole = stack.enter_context(BlackHole())
        closed_port = stack.enter_context(ClosedPort())
        made = Fleet(world, black_hole, closed_port.address, stack)
        made.targets.extend(started)
        for number in range(desks):
            await made.add_target(f"desk-{number + 1}", "desk")
        for number in range(engines):
            await made.add_target(f"llm-{number + 1}", "llm")
        started = [await made.start_host() for _ in range(hosts)]
        for host in started:
            await world.until(lambda host=host: world.is_ready(host))
        yield made
