"""Requests reach an engine long after its removal, some time after an outage."""

import asyncio
import collections
import itertools
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import aiohttp  # noqa: E402
import desk  # noqa: E402
import fleet as fleets  # noqa: E402

ZONE = "kacyiru"
HOSTS = 20
PER_SECOND = 300.0
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
DOWN_SECONDS = 4.5
# Between the return of the store and the removal.
CALM_SECONDS = 3.2
# The release of the other service: so many engines, one each so often.
RELEASED = 8
RELEASE_GAP_SECONDS = 1.0
# A little longer than DrainMs; then the engine exits, with what it has.
SERVES_ON_SECONDS = 4.0
WATCHED_SECONDS = 6.0


# Three keys are taken away, one each so often, and that twice.
REVOKED = 6
REVOKE_GAP_SECONDS = 0.4


def manifest(version=7, revoked=0):
    """Return the configuration."""
    route = {
        "Host": fleets.HOST,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 200,
        "Priority": 2,
        "AuthExempt": False,
        "Sticky": False,
        "Resumable": False,
    }
    return {
        "Version": version,
        "Routes": [
            route
            | {
                "Name": "booking-confirm",
                "PathPrefix": "/confirm/",
                "Kind": "safe",
                "Service": "booking-desk",
                "MaxAttempts": 2,
            },
            route
            | {
                "Name": "invoice-issue",
                "PathPrefix": "/invoice/",
                "Kind": "unsafe",
                "Service": "booking-desk",
                "MaxAttempts": 1,
            },
            route
            | {
                "Name": "glossary",
                "PathPrefix": "/glossary/",
                "Kind": "safe",
                "Service": "glossary",
                "MaxAttempts": 2,
            },
        ],
        "Services": [
            {"Name": name, "HealthPath": "/healthz", "MaxConnections": 96}
            for name in ("booking-desk", "glossary")
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [
            {"Name": "desk", "ApiKeys": [fleets.KEY], "Priority": 1},
            {
                "Name": "guests",
                "ApiKeys": [f"key-{n}" for n in range(revoked, REVOKED)],
                "Priority": 2,
            },
        ],
    }


class Clients:
    """Clients that ask hosts chosen at random."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._random = random.Random(7)
        self._numbers = itertools.count(1)
        self._tasks = set()
        self.statuses = collections.Counter()

    async def send(self):
        """Send requests until cancelled."""
        while True:
            task = asyncio.ensure_future(self._ask())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(PER_SECOND))

    async def _ask(self):
        number = next(self._numbers)
        host = self._random.choice(self._fleet.daemons)
        headers = {
            "Host": fleets.HOST,
            "X-Attempt-Id": f"{number:016x}",
            "X-Deadline-Ms": "1500",
            "X-Api-Key": fleets.KEY,
        }
        method, path = ("GET", "confirm") if number % 2 else ("POST", "invoice")
        self._fleet.record(f"client: {path} {number:016x} sent to {host.name}")
        try:
            async with self._fleet.session.request(
                method, f"http://{host.front}/{path}/2f", headers=headers
            ) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientError as error:
            status = type(error).__name__
        self.statuses[status] += 1
        self._fleet.record(f"client: {path} {number:016x} to {host.name}: {status}")

    async def stop(self):
        """Stop serving."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def add_engine(fleet, name, service):
    """Start an engine and list it."""
    address = fleet.addresses.ip(), fleet.addresses.port
    engine = desk.Desk(name, *address, ZONE, fleet.record)
    await engine.start()
    fleet.on_end(engine.stop)
    await fleet.store.put("servers", name, engine.entry(service))
    return engine


async def release(fleet, engines):
    """Replace engines one after the other: the new one first, the old one drains."""
    for number, old in enumerate(engines):
        await add_engine(fleet, f"i-g-new-{number}", "glossary")
        await asyncio.sleep(RELEASE_GAP_SECONDS / 3)
        await fleet.store.put("servers", old.name, old.entry("glossary", "draining"))
        fleet.record(f"plan: {old.name} of the other service drains")
        await asyncio.sleep(RELEASE_GAP_SECONDS / 3)
        asyncio.get_running_loop().call_later(
            DRAIN_SECONDS + 0.5,
            lambda name=old.name: asyncio.ensure_future(
                fleet.store.remove("servers", name)
            ),
        )
        await asyncio.sleep(RELEASE_GAP_SECONDS / 3)


async def revoke(fleet):
    """Take away the keys of a tenant that sends nothing, one after the other."""
    await asyncio.sleep(CALM_SECONDS - REVOKED * REVOKE_GAP_SECONDS / 2)
    for number in range(REVOKED):
        spec = manifest(8 + number, number + 1)
        await fleet.store.put("config", "main", spec)
        fleet.record(f"plan: version {8 + number}, a key less")
        await asyncio.sleep(REVOKE_GAP_SECONDS)


async def scenario(fleet, trouble):
    """Play the case; return the exit code."""
    engines = [await add_engine(fleet, f"i-b-{n}", "booking-desk") for n in range(1, 5)]
    others = [await add_engine(fleet, f"i-g-{n}", "glossary") for n in range(18)]
    await fleet.store.put("config", "main", manifest())
    for _ in range(HOSTS):
        fleet.add_daemon(ZONE, (ZONE,))
    await fleet.start_all()
    await asyncio.sleep(3.0)
    clients = Clients(fleet)
    sending = asyncio.ensure_future(clients.send())
    await asyncio.sleep(12.0)
    if trouble:
        fleet.record(f"trouble: the store is down for {DOWN_SECONDS} s")
        await fleet.store.go_down()
        await asyncio.sleep(DOWN_SECONDS)
        await fleet.store.come_back()
        fleet.record("trouble: the store is back, with all that it had")
    releasing = asyncio.gather(release(fleet, others[:RELEASED]), revoke(fleet))
    await asyncio.sleep(CALM_SECONDS)
    leaving = engines[-1]
    await fleet.store.remove("servers", leaving.name)
    removed_at = time.monotonic()
    fleet.record(f"plan: the entry of {leaving.name} is removed, it serves on")
    await asyncio.sleep(SERVES_ON_SECONDS)
    lost = await leaving.crash()
    fleet.record(f"plan: {leaving.name} exits, with {lost} requests under way")
    await asyncio.sleep(WATCHED_SECONDS - SERVES_ON_SECONDS)
    sending.cancel()
    await releasing
    await asyncio.sleep(1.0)
    await clients.stop()
    after = [
        (at - removed_at, name) for at, name in leaving.arrived_at if at > removed_at
    ]
    late = [(round(at, 3), name) for at, name in after if at > DRAIN_SECONDS]
    fleet.record(f"answers by status: {dict(clients.statuses)}")
    fleet.record(
        f"requests that reached {leaving.name} after the removal: {len(after)}, the "
        f"last {max((at for at, _ in after), default=0):.2f} s after it"
    )
    fleet.record(f"of these later than {DRAIN_SECONDS} s: {len(late)}: {late}")
    if clients.statuses[200] < 300:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(fleets.play(scenario, HERE / "record.txt"))
