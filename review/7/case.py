"""A tenant becomes isolated, and others still use what its requests have made."""

import asyncio
import collections
import itertools
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import fleet as fleets  # noqa: E402
import kv  # noqa: E402

ZONES = ("nyarugenge", "kacyiru", "remera")
TENANTS = {"ministry": "key-of-ministry", "cooperative": "key-of-cooperative"}
CONFERENCES = 12
# ConfigApplyMs is 2,000.
APPLIED_SECONDS = 4.0


def manifest(version, isolated, stores):
    """Return the configuration of a version."""
    services = [
        {
            "Name": "glossary-llm",
            "HealthPath": "/healthz",
            "MaxConnections": 360,
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
    services += [
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
        for store in stores
    ]
    return {
        "Version": version,
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
        "Tenants": [
            {
                "Name": name,
                "ApiKeys": [key],
                "Priority": 1,
                "Isolated": name in isolated,
            }
            for name, key in TENANTS.items()
        ],
    }


class Clients:
    """Clients of the tenants, which ask about the same conferences."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count(1)
        self.statuses = collections.Counter()

    async def ask_about_all(self, tenant):
        """Ask hosts in turn about each conference."""
        for conference in range(CONFERENCES):
            number = next(self._numbers)
            host = self._fleet.daemons[number % len(self._fleet.daemons)]
            prefix = f"{0xA0:08x}:512,{0xB000 + conference:08x}:2500,{number:08x}:300"
            headers = {
                "Host": fleets.HOST,
                "X-Attempt-Id": f"{number:016x}",
                "X-Model": "m",
                "X-Token-Count": "3312,40",
                "X-Prompt-Prefix": prefix,
                "X-Deadline-Ms": "15000",
                "X-Api-Key": TENANTS[tenant],
            }
            self._fleet.record(f"client: {number:016x} sent to {host.name}")
            async with self._fleet.session.post(
                f"http://{host.front}/brief/2f", headers=headers, data=b"x" * 200
            ) as response:
                await response.read()
                self.statuses[response.status] += 1
                self._fleet.record(
                    f"client: {number:016x} of {tenant}, conference {conference}, "
                    f"{host.name}: {response.status}"
                )


async def scenario(fleet, trouble):
    """Play the case; return the exit code."""
    addresses = fleet.addresses
    store = kv.KvStore(
        "prompt-cache-a", addresses.ip(), addresses.port, "kacyiru", 0.5, 640e3, 12
    )
    await store.start()
    fleet.on_end(store.stop)
    engines = []
    for number, zone in enumerate(ZONES):
        engine = kv.Engine(
            f"i-{number}", addresses.ip(), addresses.port, zone, [store], fleet.record
        )
        await engine.start()
        fleet.on_end(engine.stop)
        engines.append(engine)
        await fleet.store.put("servers", engine.name, engine.entry())
    await fleet.store.put("config", "main", manifest(7, (), [store]))
    for zone in (*ZONES, *ZONES):
        fleet.add_daemon(zone, ZONES)
    await fleet.start_all()
    await asyncio.sleep(3.0)
    clients = Clients(fleet)
    await clients.ask_about_all("ministry")
    await asyncio.sleep(1.0)
    if trouble:
        spec = manifest(9, ("ministry",), [store])
        await fleet.store.put("config", "main", spec)
        fleet.record("plan: version 9 is acknowledged, tenant ministry is isolated")
    await asyncio.sleep(APPLIED_SECONDS)
    await clients.ask_about_all("cooperative")
    await clients.ask_about_all("ministry")
    isolated = {"ministry"} if trouble else set()
    foreign = [
        (attempt, user, maker)
        for engine in engines
        for attempt, user, maker in engine.foreign
        if {user, maker} & isolated
    ]
    fleet.record(f"answers by status: {dict(clients.statuses)}")
    fleet.record(
        f"uses across the wall of an isolated tenant: {len(foreign)}: {foreign}"
    )
    if clients.statuses[200] < 3 * CONFERENCES:
        return 2
    return 1 if foreign else 0


if __name__ == "__main__":
    sys.exit(fleets.play(scenario, HERE / "record.txt"))
