"""Entries and reports that nobody can make sense of end no host, and hide no others.

Guards against hosts that end again and again, or stop following a list, as another
writer left an entry that is nested deeply or has a figure or port out of range.
"""

import asyncio
import sys

import pytest
import standins

from sesamespindle.decide import kvstores
from sesamespindle.platform import servers
from sesamespindle.wire import answers

PROMPT = {"X-Model": "m", "X-Prompt-Prefix": "c1:100,1:10"}
# The stand-in's own JSON encoder has to write values that are nested this deeply.
_DEEPEST = 20_000
# Around the depth from which Python's decoder gives up.
_DEPTHS = (400, *range(900, 1010, 3), 5_000)
_KINDS = ("servers", "versions", "quarantine", "evacuations", "software", "entries")


@pytest.fixture(autouse=True)
def deep_values():
    """Let this process write deeply nested values."""
    before = sys.getrecursionlimit()
    sys.setrecursionlimit(_DEEPEST)
    yield
    sys.setrecursionlimit(before)


def nested(depth):
    """Return a list in a list, and so on."""
    value = []
    for _ in range(depth):
        value = [value]
    return value


def odd_specs():
    """Return the contents of entries that another writer may have left, by name."""
    usual = standins.Target("odd", "127.0.0.1:9", "llm").entry()
    deep = {f"deep-{depth}": usual | {"Models": nested(depth)} for depth in _DEPTHS}
    figures = {
        "huge": 10**4000,
        "infinite": float("inf"),
        "nan": float("nan"),
        "negative": -1,
        "text": "1",
    }
    fields = ("Slots", "ColdRemainingMs", "Seq", "born", "Version")
    odd = {
        f"{field}-{name}": usual | {field: value}
        for field in fields
        for name, value in figures.items()
    }
    ports = {
        f"port-{n}": usual | {"Address": f"127.0.0.1:{port}"}
        for n, port in enumerate((0, 65536, 10**30, -1, ""))
    }
    return deep | odd | ports


async def put_odd_entries(world):
    """Leave odd entries of each kind."""
    for name, spec in odd_specs().items():
        for kind in _KINDS:
            await world.store.put(kind, f"odd-{name}", spec)


async def assert_follows(world, hosts, name):
    """Check that all hosts run, and learn of a target that joins now."""
    target = await world.add_target(name)
    for old in [old for old in world.target_by_name.values() if old is not target]:
        if old.service == "desk":
            await world.store.put("servers", old.name, old.entry("draining"))

    async def is_used(host):
        assert host.is_running
        before = len(target.runs)
        await world.ask(host, "/read/1", f"{host.name}-{name}", method="GET", body=b"")
        return len(target.runs) > before

    for host in hosts:
        await world.until(lambda host=host: is_used(host))


def test_hosts_follow_the_store_beside_odd_entries_of_each_kind(play):
    async def scenario(world):
        await world.add_target("desk-1")
        first = await world.add_daemon()
        hosts = [first, await world.add_daemon(seeds=(first.ip,))]
        await put_odd_entries(world)
        await assert_follows(world, hosts, "desk-2")
        hosts.append(await world.add_daemon(seeds=(first.ip,)))
        await assert_follows(world, hosts, "desk-3")

    play(scenario)


def test_a_host_that_hears_the_store_through_peers_follows_beside_odd_entries(play):
    async def scenario(world):
        await world.add_target("desk-1")
        first = await world.add_daemon()
        hosts = [first, await world.add_daemon(seeds=(first.ip,))]
        world.store.turned_away.add(hosts[1].ip)
        await put_odd_entries(world)
        await assert_follows(world, hosts, "desk-2")
        world.store.turned_away.add(world.next_ip())
        hosts.append(await world.add_daemon(seeds=(first.ip,)))
        await assert_follows(world, hosts, "desk-3")

    play(scenario)


class _OddReporter(standins.Target):
    """An engine whose reports of itself can't be read.

    Attributes
    ----------
    report : bytes
        What it answers when it is asked for a report.
    reported : asyncio.Queue
        Holds an entry for each report.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.report = b""
        self.reported = asyncio.Queue()

    async def _answer(self, headers, writer):
        if not headers[":path"].startswith("/v1/report"):
            await super()._answer(headers, writer)
            return
        writer.write(standins.make_answer(200, headers, {}, self.report))
        self.reported.put_nowait(None)


@pytest.mark.parametrize(
    "report",
    [
        b'{"Seq": 1, "Busy": false, "Models": %s}' % (b"[" * 9_000 + b"]" * 9_000),
        b"[" * 100_000,
        b'{"Seq": %s, "Busy": false}' % (b"9" * 5_000),
        b'{"Seq": 1e400, "Busy": NaN, "Models": [{"Name": "m", "Version": -1}]}',
    ],
    ids=["deep", "deeper", "huge", "no_figures"],
)
def test_odd_reports_of_engines_end_no_host(play, report):
    async def scenario(world):
        target = _OddReporter("llm-1", f"127.0.0.1:{standins.free_ports(1)[0]}", "llm")
        target.report = report
        await world.list_target(target)
        first = await world.add_daemon()
        hosts = [first, await world.add_daemon(seeds=(first.ip,))]
        await world.store.put("versions", "m", {"Model": "m", "Version": 2})
        async with asyncio.timeout(standins.PATIENCE_SECONDS):
            for _ in range(3):
                await target.reported.get()
        await assert_follows(world, hosts, "desk-2")

    play(scenario)


@pytest.mark.parametrize("body", [b"[]", b"7", b"null", b"[" * 100_000])
def test_an_odd_answer_of_a_kv_store_counts_as_none(go, body):
    """Guards against a host that no longer follows a store of KV cache."""

    async def scenario():
        async with (
            _Answering(body) as target,
            answers.make_session() as session,
        ):
            client = servers.ServerClient(session, "entry-1")
            changed, _ = await client.store_changes("s", target.address, 0, 10)
            listed, _ = await client.store_list("s", target.address)
            missing = kvstores.StoreUnavailable("s")
            assert changed == listed == missing

    go(scenario())


class _Answering(standins.Target):
    """A target that answers all calls with the same body."""

    def __init__(self, body):
        super().__init__("t-1", f"127.0.0.1:{standins.free_ports(1)[0]}")
        self._answered = body

    async def _answer(self, headers, writer):
        writer.write(standins.make_answer(200, headers, {}, self._answered))
