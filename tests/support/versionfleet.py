"""Real daemons before engines of several software versions, and clients that return."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

import aiohttp
import standins

EVENTS = 12
_EVENT_SECONDS = 0.02
# A third of the runs break off, and three clients in five lose their connection.
_BREAKS = 1 / 3
_LEAVES = 3 / 5
_MOST_TRIES = 4
# How long clients wait that don't come again at once.
_LATE_SECONDS = 0.5


class Engine(standins.Target):
    """An engine that writes the version of its software into each event.

    Attributes
    ----------
    software : str
        The version.
    chance : random.Random or None
        Decides which runs break off; None if none does.
    """

    def __init__(self, name, address, software, chance=None):
        super().__init__(name, address, "llm")
        self.software = software
        self.chance = chance

    def entry(self, state="ready"):
        """Return the record under which the engine is listed."""
        return super().entry(state) | {"Version": self.software, "Slots": 64}

    async def _stream(self, headers, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
            b"X-Attempt-Id: %s\r\n\r\n" % headers["x-attempt-id"].encode()
        )
        first = int(headers.get("last-event-id", 0)) + 1
        breaks_at = None
        is_over = first > EVENTS
        if self.chance is not None and not is_over and self.chance.random() < _BREAKS:
            breaks_at = self.chance.randint(first, EVENTS)
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_SECONDS)
            if number == breaks_at:
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclasses.dataclass(slots=True)
class Stream:
    """What a client has of one stream, over all of its tries.

    Attributes
    ----------
    began_as : str
        The id of the attempt that brought its first event; empty before.
    last_id : int
        The id of its last event.
    versions : list of str
        The software versions of its events.
    statuses : list of int
        The status of each try; 0 if the connection broke before one.
    resumed : list of bool
        Of each try that took the stream up again, whether it went on.
    """

    began_as: str = ""
    last_id: int = 0
    versions: list = dataclasses.field(default_factory=list)
    statuses: list = dataclasses.field(default_factory=list)
    resumed: list = dataclasses.field(default_factory=list)
    is_complete: bool = False

    @property
    def is_mixed(self):
        """Whether it holds events of several software versions."""
        return len(set(self.versions)) > 1


class Clients:
    """Clients that begin streams at a steady rate, and come again when they break.

    Attributes
    ----------
    streams : list of Stream
        The streams that were begun.
    """

    def __init__(self, fleet, per_second, comes_again=True, seed=1):
        self._fleet = fleet
        self._per_second = per_second
        self._comes_again = comes_again
        self._chance = random.Random(seed)
        self._numbers = itertools.count()
        self._stack = contextlib.AsyncExitStack()
        self._sending = None
        self._is_over = False
        self.streams = []

    async def __aenter__(self):
        self._sending = asyncio.create_task(self._send_steadily())
        return self

    async def __aexit__(self, *exc_info):
        self._is_over = True
        await self._sending

    async def _send_steadily(self):
        async with asyncio.TaskGroup() as sent:
            while not self._is_over:
                stream = Stream()
                self.streams.append(stream)
                sent.create_task(self._play(stream, next(self._numbers)))
                await asyncio.sleep(1.0 / self._per_second)

    async def _play(self, stream, number):
        leaves_after = None
        if self._comes_again and self._chance.random() < _LEAVES:
            leaves_after = self._chance.randint(1, EVENTS - 1)
        is_late = self._chance.random() < 0.5
        for attempt in range(_MOST_TRIES):
            if attempt and is_late:
                await asyncio.sleep(_LATE_SECONDS)
            resumes = stream.last_id > 0
            events_before = len(stream.versions)
            wait = await self.send(stream, f"c{number}.{attempt}", number, leaves_after)
            goes_on = stream.is_complete or len(stream.versions) > events_before
            if resumes and stream.statuses[-1] != 0:
                stream.resumed.append(goes_on)
            leaves_after = None
            if stream.is_complete or not self._comes_again:
                return
            await asyncio.sleep(wait)

    def resumed_since(self, marks):
        """Return the share of streams begun before a moment that went on after it.

        Parameters
        ----------
        marks : list of int
            From `marks` at that moment.

        Returns
        -------
        share : float
            Of those that were taken up at all after it.
        count : int
            How many were.
        """
        later = [
            any(stream.resumed[mark:])
            for stream, mark in zip(self.streams, marks, strict=False)
            if stream.resumed[mark:]
        ]
        return sum(later) / max(len(later), 1), len(later)

    def marks(self):
        """Return how often each stream has been taken up so far."""
        return [len(stream.resumed) for stream in self.streams]

    async def send(self, stream, attempt, number=0, leaves_after=None):
        """Make one try; return how long to wait before the next.

        Parameters
        ----------
        stream : Stream
            What the client has so far; what the try brings is added.
        attempt : str
            The id of the try.
        number : int
            Names the prompt.
        leaves_after : int, optional
            After how many events the client leaves.
        """
        await standins.until(self._fleet.has_hosts)
        host = self._chance.choice(self._fleet.serving)
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "9000",
            "X-Api-Key": standins.KEY,
            "X-Model": "m",
            "X-Prompt-Prefix": f"c{number % 7}:100,{number:x}:10",
        }
        if stream.last_id:
            headers |= {
                "Last-Event-Id": str(stream.last_id),
                "Resumes": stream.began_as,
            }
        stream.statuses.append(0)
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    host.url("/chat/1"), headers=headers, data=str(number).encode()
                ) as response,
            ):
                stream.statuses[-1] = response.status
                if response.status != 200:
                    return float(response.headers.get("Retry-After", 0))
                await _read(stream, response, attempt, leaves_after)
        except (aiohttp.ClientError, OSError):
            return 0.0
        return 0.0

    @property
    def mixed(self):
        """The streams that hold events of several software versions."""
        return [stream for stream in self.streams if stream.is_mixed]

    def began_share(self):
        """Return the share of new streams whose first try began."""
        first = [stream.statuses[0] for stream in self.streams if stream.statuses]
        first = [status for status in first if status]
        return first.count(200) / len(first)

    def resumed_share(self):
        """Return the share of the tries to take a stream up that went on."""
        resumed = list(itertools.chain(*(stream.resumed for stream in self.streams)))
        return resumed.count(True) / len(resumed)

    def summary(self):
        """Return what happened, for a failed check."""
        resumed = list(itertools.chain(*(stream.resumed for stream in self.streams)))
        return (
            f"{len(self.mixed)} of {len(self.streams)} streams are mixed; "
            f"{resumed.count(True)} of {len(resumed)} taken up went on; "
            f"{self.began_share():.2f} of the new ones began"
        )


async def _read(stream, response, attempt, leaves_after):
    async for line in response.content:
        if line.startswith(b"id:"):
            number = int(line[3:])
            assert number == stream.last_id + 1, (stream, number)
            stream.last_id = number
            stream.began_as = stream.began_as or attempt
        elif line.startswith(b"data:"):
            stream.versions.append(line[5:].strip().decode())
            if leaves_after is not None and len(stream.versions) >= leaves_after:
                response.close()
                return
    stream.is_complete = True


class Fleet:
    """Real daemons and engines of several versions.

    Attributes
    ----------
    serving : list of standins.Daemon
        The daemons that clients connect to.
    """

    def __init__(self, world, breaks=True):
        self.world = world
        self._chance = random.Random(7) if breaks else None
        self._engine_numbers = itertools.count(1)
        self.hosts = []
        self.serving = []

    async def add_engine(self, software, breaks=True):
        """Start an engine of a version, and list it."""
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        name = f"llm-{next(self._engine_numbers)}"
        chance = self._chance if breaks else None
        return await self.world.list_target(Engine(name, address, software, chance))

    async def remove_engine(self, engine):
        """Have an engine say that it leaves, and remove it a second later."""
        await self.world.store.put("servers", engine.name, engine.entry("draining"))
        await asyncio.sleep(1.0)
        await self.world.store.remove("servers", engine.name)

    async def add_hosts(self, count):
        """Start daemons, and wait until they are ready."""
        for _ in range(count):
            seeds = tuple(host.ip for host in self.hosts[:3])
            self.hosts.append(await self.world.start_daemon(seeds))
        for host in self.hosts:
            await self.world.until_ready(host)
        self.serving = list(self.hosts)

    async def has_hosts(self):
        """Return whether clients can connect to any daemon."""
        return bool(self.serving)

    async def kill_all(self, meanwhile=None):
        """Kill all daemons at once and start them again; return once they are ready.

        Parameters
        ----------
        meanwhile : callable, optional
            A coroutine function that is run while no daemon lives.
        """
        self.serving.clear()
        for host in self.hosts:
            host.send_signal(9)
        for host in self.hosts:
            await host.ended()
        if meanwhile is not None:
            await meanwhile()
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await self.world.until_ready(host)
        self.serving.extend(self.hosts)

    async def restart(self, host):
        """Kill a daemon, start it again, and wait until it is ready."""
        self.serving.remove(host)
        host.send_signal(9)
        await host.ended()
        await host.start()
        await self.world.until_ready(host)
        self.serving.append(host)
