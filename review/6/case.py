"""KV stores restart within a moment, and hosts fetch parts that are being written."""

import asyncio
import collections
import itertools
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import aiohttp  # noqa: E402
import fleet as fleets  # noqa: E402
import kv  # noqa: E402

ZONES = ("kacyiru", "remera")
HOSTS = 13
CONFERENCES = 80
CLUMPS_PER_SECOND = 12.0
CLUMP = 10
CRASHES = 15
DOWN_SECONDS = 0.1
PAUSE_SECONDS = 4.6


def manifest(stores):
    """Return the configuration."""
    services = [
        {
            "Name": "glossary-llm",
            "HealthPath": "/healthz",
            "MaxConnections": 360,
            "Protocol": "h1",
            "Tls": False,
            "Engine": {
                "Slots": 64,
                "KvCapacity": kv.Engine.CAPACITY,
                "KvTokenBytes": kv.Engine.TOKEN_BYTES,
                "LinkMbps": kv.Engine.LINK_MBPS,
                "Managed": True,
                "MaxInflight": 12,
                "Models": [{"Name": "m"}],
            },
        }
    ]
    for store in stores:
        services.append(
            {
                "Name": store.name,
                "KvStoreAddr": store.address,
                "Zone": store.zone,
                "KvCapacity": 594_778,
                "LinkMbps": store.link_mbps,
                "MaxInflight": store.max_inflight,
                "Managed": True,
                "first_ms": store.first_ms,
            }
        )
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "session-brief",
                "Host": fleets.HOST,
                "PathPrefix": "/brief/",
                "Kind": "streaming",
                "TimeoutMs": 15000,
                "TargetLatencyMs": 800,
                "Priority": 2,
                "Service": "glossary-llm",
                "MaxAttempts": 2,
                "AuthExempt": False,
                "Sticky": True,
                "Resumable": True,
                "GapAimMs": 400,
            }
        ],
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "desk", "ApiKeys": [fleets.KEY], "Priority": 1}],
    }


class Clients:
    """Interpreters of one conference ask about it at about the same time."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._random = random.Random(7)
        self._numbers = itertools.count(1)
        self._tasks = set()
        self.statuses = collections.Counter()

    async def send(self):
        """Send requests until cancelled."""
        while True:
            conference = self._random.randrange(CONFERENCES)
            for _ in range(CLUMP):
                task = asyncio.ensure_future(
                    self._ask(conference, self._random.uniform(0.0, 0.25))
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(CLUMPS_PER_SECOND))

    async def _ask(self, conference, delay):
        await asyncio.sleep(delay)
        number = next(self._numbers)
        host = self._random.choice(self._fleet.daemons)
        head = conference % 3
        prefix = (
            f"{0xA0 + head:08x}:512,{0xB000 + conference:08x}:8610,{number:08x}:300"
        )
        headers = {
            "Host": fleets.HOST,
            "X-Attempt-Id": f"{number:016x}",
            "X-Model": "m",
            "X-Token-Count": "9422,40",
            "X-Prompt-Prefix": prefix,
            "X-Deadline-Ms": "15000",
            "X-Api-Key": fleets.KEY,
        }
        url = f"http://{host.front}/brief/2f"
        self._fleet.record(f"client: {number:016x} sent to {host.name}")
        try:
            async with self._fleet.session.post(
                url, headers=headers, data=b"x" * 200
            ) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientError as error:
            status = type(error).__name__
        self.statuses[status] += 1
        self._fleet.record(
            f"client: {number:016x}, conference {conference}, {host.name}: {status}"
        )

    async def stop(self):
        """Stop serving."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def scenario(fleet, trouble):
    """Play the case; return the exit code."""
    stores = []
    for service, copies, first_ms, link in (("a", 3, 0.5, 640e3), ("b", 2, 6.0, 400e3)):
        for copy in range(copies):
            name = f"prompt-cache-{service}-{copy + 1}"
            ip, port = fleet.addresses.ip(), fleet.addresses.port
            store = kv.KvStore(name, ip, port, "kacyiru", first_ms, link, 12)
            await store.start()
            fleet.on_end(store.stop)
            stores.append(store)
    engines = []
    for number in range(5):
        engine = kv.Engine(
            f"i-{number + 1}",
            fleet.addresses.ip(),
            fleet.addresses.port,
            ZONES[number % 2],
            stores,
            fleet.record,
        )
        await engine.start()
        fleet.on_end(engine.stop)
        engines.append(engine)
        await fleet.store.put("servers", engine.name, engine.entry())
    await fleet.store.put("config", "main", manifest(stores))
    for _ in range(HOSTS):
        fleet.add_daemon("kacyiru", ZONES)
    await fleet.start_all()
    await asyncio.sleep(3.0)
    clients = Clients(fleet)
    sending = asyncio.ensure_future(clients.send())
    await asyncio.sleep(12.0)
    for number in range(CRASHES):
        if trouble:
            fleet.record(
                f"trouble: all KV stores crash, {DOWN_SECONDS} s down ({number + 1})"
            )
            await asyncio.gather(*(store.stop() for store in stores))
            await asyncio.sleep(DOWN_SECONDS)
            await asyncio.gather(*(store.start() for store in stores))
            fleet.record("trouble: all KV stores are back, empty")
        await asyncio.sleep(PAUSE_SECONDS)
    sending.cancel()
    await asyncio.sleep(1.0)
    await clients.stop()
    unwhole = [attempt for engine in engines for attempt in engine.unwhole]
    counts = sum((engine.counts for engine in engines), collections.Counter())
    fleet.record(f"answers by status: {dict(clients.statuses)}")
    fleet.record(f"fetches: {dict(counts)}")
    fleet.record(f"requests that took memory from a store that wasn't whole: {unwhole}")
    if clients.statuses[200] < 300 or counts["fetched"] < 20:
        return 2
    return 1 if unwhole else 0


if __name__ == "__main__":
    sys.exit(fleets.play(scenario, HERE / "record.txt"))
