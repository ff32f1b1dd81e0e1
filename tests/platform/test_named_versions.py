"""How long ago a weight version was named, for a host that missed the naming."""

import asyncio
import contextlib
import datetime
import random

import gateways

from sesamespindle.daemon import driver, eventlog
from sesamespindle.decide import commands, events, lease, rollout, targetlist
from sesamespindle.platform import feeds, objects
from sesamespindle.wire import clock

SECOND = datetime.timedelta(seconds=1)


class _Store:
    """Holds a named version, and lets the test answer each watch."""

    def __init__(self, version):
        self.listing = _listing(version, 10)
        self.watched = asyncio.Queue()

    async def list(self, kind):
        return self.listing

    async def watch(self, kind, revision, wait):
        answer = asyncio.get_running_loop().create_future()
        await self.watched.put(answer)
        return await answer


class _Host:
    """A host's decision logic, fed from a store, with a clock moved by hand."""

    def __init__(self, store):
        self.store = store
        self.clock = clock.ManualClock(gateways.NOW)
        self.core = gateways.make_gateway()
        self.core.step(gateways.NOW, [events.Tick()])
        target = gateways.make_target("llm-3", "llm", versions={"m": 1})
        self.core.step(gateways.NOW, [targetlist.TargetsListed((target,))])
        log = eventlog.EventLog("entry-1", eventlog.HybridClock(self.clock), 1)
        self.driver = driver.Driver(self.core, self.clock, log)
        for command in (lease.ReadLease, rollout.ReadReport, commands.GossipTo):
            self.driver.on(command, _leave_undone)
        self.feeds = feeds.Feeds(self.driver, store, random.Random(1))

    def pass_time(self, duration):
        """Let time pass, with a tick every tenth of a second."""
        until = self.clock.now() + duration
        while self.clock.now() < until:
            self.clock.advance(SECOND / 10)
            self.driver.feed(events.Tick())

    def may_begin(self):
        """Return whether a run may begin on the target's older weights."""
        row = self.core.state.targets.get("llm-3")
        return self.core.weights.may_begin(row, "m", self.clock.now())


def _leave_undone(command):
    """Carry out nothing: neither peers nor targets are there."""


def _listing(version, revision):
    spec = {"Model": "m", "Version": version}
    return objects.Listing((objects.StoredObject("m", revision, spec),), revision)


@contextlib.asynccontextmanager
async def _following(host):
    """Follow the named versions, and give the first watch."""
    task = asyncio.create_task(host.feeds.watch(feeds.VERSIONS))
    try:
        yield await host.store.watched.get()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def test_a_host_that_starts_takes_no_version_for_named_just_now(go):
    """Prompts were answered on weights replaced 11 s before; the users allow 8 s.

    A version was named, then all hosts lost power and started again. Each found
    the version in its first reading of the platform, and counted its age from
    that reading: `version_named` stands after `Listens at` in each host's log,
    and sends with the older version go on for 6.4 s from that line.
    """

    async def run():
        host = _Host(_Store(2))
        async with _following(host):
            assert host.core.weights.named("m") == 2
            host.pass_time(4 * SECOND)
            assert not host.may_begin()

    go(run())


def test_a_host_that_wakes_up_takes_no_version_for_named_just_now(go):
    """A host sent prompts to an engine 11 s after its weights had been replaced.

    It had been paused for 6 s when the version was named, right after the pause
    began. The answer to its watch lay there when it woke up, and it counted the
    version's age from then.
    """

    async def run():
        host = _Host(_Store(1))
        async with _following(host) as watch:
            host.pass_time(SECOND)
            host.clock.advance(6 * SECOND)
            watch.set_result(_listing(2, 11))
            await host.store.watched.get()
            assert host.core.weights.named("m") == 2
            host.pass_time(SECOND)
            assert not host.may_begin()

    go(run())


def test_a_version_is_counted_from_when_a_host_that_follows_hears_of_it(go):
    async def run():
        host = _Host(_Store(1))
        async with _following(host) as watch:
            host.pass_time(5 * SECOND)
            watch.set_result(_listing(2, 11))
            await host.store.watched.get()
            host.pass_time(6 * SECOND)
            assert host.may_begin()
            host.pass_time(SECOND)
            assert not host.may_begin()

    go(run())
