"""Real daemons before engines that end as they begin to answer some prompt parts."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

import aiohttp
import standins

# The time in which hosts that reach each other have to learn what one of them knows.
CONTACT_SECONDS = 3.0
# A part is known to crash engines once so many have ended, and this many more requests
# with it may reach engines later than `CONTACT_SECONDS` after that.
KNOWN_FROM = 5
MOST_LATE_ARRIVALS = 3
# The least share of sound requests that begin from twice `CONTACT_SECONDS` on.
LEAST_BEGUN = 0.9
_FIRST_TOKEN_SECONDS = (0.03, 0.12)
_RESTART_SECONDS = (1.5, 3.0)
_EVENTS, _EVENT_SECONDS = 6, 0.03
_SHARED, _SECOND = "5a:100", "5b:60"
_SESSIONS = 20


class Engine(standins.Target):
    """An engine that ends as it begins to answer a prompt with a deadly part.

    Attributes
    ----------
    deadly : frozenset of str
        The ids of the parts that crash it.
    on_crash : callable
        Called with the engine and the deadly part, or "" if it ended by itself.
    on_arrival : callable
        Called with the ids of the parts of each prompt that reaches it.
    """

    def __init__(self, name, address, deadly, chance):
        super().__init__(name, address, "llm")
        self.deadly = deadly
        self.on_crash = None
        self.on_arrival = None
        self._chance = chance
        self.is_up = True

    def entry(self, state="ready"):
        """Return the record under which the engine is listed."""
        return super().entry(state) | {"Slots": 64}

    async def _stream(self, headers, writer):
        parts = parts_of(headers["x-prompt-prefix"])
        self.on_arrival(parts)
        await asyncio.sleep(self._chance.uniform(*_FIRST_TOKEN_SECONDS))
        if writer.is_closing():
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
            b"X-Attempt-Id: %s\r\n\r\n" % headers["x-attempt-id"].encode()
        )
        await writer.drain()
        for part in parts[:-1]:
            if part in self.deadly:
                self.end(part)
                return
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, _EVENTS + 1):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_SECONDS)
            if writer.is_closing():
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def end(self, part=""):
        """End, by a deadly part or by itself."""
        if self.is_up:
            self.is_up = False
            self.crash()
            self.on_crash(self, part)


def parts_of(prefix):
    """Return the ids of the parts that an ``X-Prompt-Prefix`` header lists."""
    return [entry.partition(":")[0] for entry in prefix.split(",")]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The end of a sound request's first try."""

    sent_at: float
    status: int


class Fleet:
    """Daemons, engines, callers of deadly prompts and callers of sound ones.

    Attributes
    ----------
    crashes_by_part : dict of str to list of float
        When engines ended, by the part that did it; "" for those by themselves.
    arrivals_by_part : dict of str to list of float
        When prompts with a deadly part reached engines.
    sound : list of Answer
        The ends of sound requests.
    """

    def __init__(self, world, stack, deadly, seed=1):
        self.world = world
        self._stack = stack
        self._chance = random.Random(seed)
        self._numbers = itertools.count(1)
        self._names = itertools.count(1)
        self._restarts = set()
        self.deadly = tuple(deadly)
        self.engines = []
        self.hosts = []
        self.serving = []
        self.crashes_by_part = {part: [] for part in (*deadly, "")}
        self.arrivals_by_part = {part: [] for part in deadly}
        self.sound = []
        self.deadly_answers = []

    @property
    def now(self):
        """The event loop's time."""
        return asyncio.get_running_loop().time()

    # Engines.

    async def add_engine(self):
        """Start an engine, and list it."""
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        name = f"llm-{next(self._names)}"
        engine = Engine(name, address, frozenset(self.deadly), self._chance)
        engine.on_crash = self._note_crash
        engine.on_arrival = self._note_arrival
        self.engines.append(engine)
        await self.world.list_target(engine)

    def _note_arrival(self, parts):
        for part in set(parts[:-1]) & self.arrivals_by_part.keys():
            self.arrivals_by_part[part].append(self.now)

    def _note_crash(self, engine, part):
        self.crashes_by_part[part].append(self.now)
        task = asyncio.create_task(self._bring_back(engine))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _bring_back(self, engine):
        """Start an engine again at its address, as another one with a new name."""
        await asyncio.sleep(self._chance.uniform(*_RESTART_SECONDS))
        await self.world.store.remove("servers", engine.name)
        engine.name = f"llm-{next(self._names)}"
        engine.is_up = True
        await self.world.bring_back(engine)

    async def end_by_themselves(self, count, pause):
        """End engines one after the other, each a pause after the one before."""
        for _ in range(count):
            up = [engine for engine in self.engines if engine.is_up]
            if up:
                self._chance.choice(up).end()
            await asyncio.sleep(pause)

    # Hosts.

    async def add_hosts(self, count):
        """Start daemons, and wait until they are ready."""
        for _ in range(count):
            seeds = tuple(host.ip for host in self.hosts[:3])
            self.hosts.append(await self.world.start_daemon(seeds))
        await self._until_ready()
        self.serving = list(self.hosts)

    async def _until_ready(self):
        for host in self.hosts:
            await self.world.until(lambda host=host: self.world.is_ready(host))

    async def restart_all(self):
        """Kill all daemons at once, and start them again."""
        self.serving = []
        for host in self.hosts:
            host.send_signal(9)
        for host in self.hosts:
            await host.ended()
        for host in self.hosts:
            await host.start()
        await self._until_ready()
        self.serving = list(self.hosts)

    def lines(self, text):
        """Return the lines of all hosts' logs that contain a text."""
        return [line for host in self.hosts for line in host.lines() if text in line]

    # Callers.

    async def send_deadly(self, part, per_second, comes_first=False, repeats=0.5):
        """Send prompts with a part at a steady rate, of which no two are alike."""
        async with asyncio.TaskGroup() as sent:
            while True:
                sent.create_task(self.send_deadly_once(part, comes_first, repeats))
                await asyncio.sleep(1.0 / per_second)

    async def send_deadly_once(self, part, comes_first=False, repeats=0.5, host=None):
        """Send a prompt with a part, and perhaps once more."""
        number = next(self._numbers)
        shared = [f"{part}:50", _SECOND] if comes_first else [_SHARED, f"{part}:50"]
        prefix = ",".join([*shared, f"{number:x}:10"])
        tries = 2 if self._chance.random() < repeats else 1
        for attempt in range(tries):
            status = await self._ask(f"d{number}.{attempt}", prefix, host)
            self.deadly_answers.append(Answer(self.now, status))
            await asyncio.sleep(0.1)

    async def send_sound(self, per_second):
        """Send sound prompts at a steady rate."""
        async with asyncio.TaskGroup() as sent:
            while True:
                sent.create_task(self._send_sound_once())
                await asyncio.sleep(1.0 / per_second)

    async def _send_sound_once(self):
        number = next(self._numbers)
        session = f"{0xE00 + number % _SESSIONS:x}:30"
        prefix = ",".join([_SHARED, _SECOND, session, f"{number:x}:10"])
        sent_at = self.now
        status = await self._ask(f"s{number}", prefix)
        self.sound.append(Answer(sent_at, status))

    async def _ask(self, request_id, prefix, host=None):
        while not self.serving:
            await asyncio.sleep(0.05)
        host = host or self._chance.choice(self.serving)
        headers = {"X-Model": "m", "X-Prompt-Prefix": prefix}
        try:
            status, _, body = await self.world.ask(
                host,
                f"/chat/{request_id}",
                request_id,
                body=request_id.encode(),
                **headers,
            )
        except (aiohttp.ClientError, OSError):
            return 0
        return status if status != 200 or body else 0

    # What came of it.

    def known_at(self, part):
        """Return when so many engines had ended that a part is known to crash them.

        It is the time of the last crash if there were fewer.
        """
        crashes = self.crashes_by_part[part]
        return crashes[min(len(crashes), KNOWN_FROM) - 1] if crashes else None

    def late_arrivals(self, part):
        """Return the arrivals with a part later than hosts have to know of it."""
        if len(self.crashes_by_part[part]) < KNOWN_FROM:
            return []
        known = self.known_at(part) + CONTACT_SECONDS
        return [at for at in self.arrivals_by_part[part] if at > known]

    def begun_share(self, since):
        """Return the share of the sound requests sent from a time on that began."""
        statuses = [item.status for item in self.sound if item.sent_at >= since]
        return statuses.count(200) / max(len(statuses), 1)

    def summary(self):
        """Return what happened, for a failed check."""
        lines = [
            f"{part}: {len(self.crashes_by_part[part])} engines ended, "
            f"{len(self.arrivals_by_part[part])} arrivals, "
            f"{len(self.late_arrivals(part))} of them late"
            for part in self.deadly
        ]
        known = [self.known_at(part) for part in self.deadly]
        since = max((at for at in known if at), default=0.0) + 2 * CONTACT_SECONDS
        share = self.begun_share(since)
        return "; ".join([*lines, f"{share:.2f} of the sound ones began"])


@contextlib.asynccontextmanager
async def fleet(world, deadly, hosts=6, engines=6, seed=1):
    """Yield a `Fleet` whose hosts are ready."""
    async with contextlib.AsyncExitStack() as stack:
        made = Fleet(world, stack, deadly, seed)
        for _ in range(engines):
            await made.add_engine()
        await made.add_hosts(hosts)
        yield made


@contextlib.asynccontextmanager
async def running(*coroutines):
    """Run coroutines beside the body, and cancel them at its end."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
