"""A relay in the test's own process, with the test's decision logic and clock."""

import contextlib
import dataclasses

import aiohttp.web
import gateways
import places

from sesamespindle.daemon import (
    connections,
    driver,
    eventlog,
    measures,
    opinions,
    relay,
    targetprobe,
)
from sesamespindle.decide import (
    eras,
    events,
    gateway,
    kvstores,
    lease,
    quarantinerecords,
    rollout,
    streamorigins,
    targetlist,
)
from sesamespindle.platform import dialect, servers

# Commands that need the platform's store or peers. This relay has neither, so it
# ignores them.
_IGNORED_COMMANDS = (
    eras.EraRaised,
    eras.StoreRestored,
    gateway.BecameReady,
    kvstores.StoresConfigured,
    lease.ReadLease,
    lease.WriteLease,
    quarantinerecords.RemoveQuarantine,
    quarantinerecords.WriteQuarantine,
    rollout.OrderVersion,
    rollout.ReadReport,
    streamorigins.TellOrigin,
)


class _NoPeers:
    """A host without peers, which no one asks for its opinion either."""

    def set_judge(self, judge):
        pass


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRelay:
    """A running relay.

    Attributes
    ----------
    address : str
        The host and port at which callers connect.
    """

    relay: relay.Relay
    driver: driver.Driver
    address: str

    def tick(self):
        """Send the decision logic a tick, so that it acts on the passed time."""
        self.driver.feed(events.Tick())

    def url(self, path):
        """Return the URL of a path."""
        return f"http://{self.address}{path}"


def make_core(targets):
    """Return a gateway that knows the targets and may retry at them."""
    core = gateways.make_gateway()
    listed = tuple(
        targetlist.ListedTarget(
            target.name,
            target.service,
            target.address,
            "dc-1",
            8,
            False,
            {"m": 1},
            places.at(1),
        )
        for target in targets
    )
    core.step(gateways.NOW, [targetlist.TargetsListed(listed)])
    return core


@contextlib.asynccontextmanager
async def serve(core, clock):
    """Run a relay with a gateway's decision logic, and yield it as a `RunningRelay`."""
    log = eventlog.EventLog("entry-1", eventlog.HybridClock(clock), 1)
    relay_driver = driver.Driver(core, clock, log)
    for kind in _IGNORED_COMMANDS:
        relay_driver.on(kind, lambda command: None)
    async with (
        connections.make_session(id_header=dialect.REQUEST_ID) as session,
        targetprobe.TargetProbe(relay_driver, servers.make_question) as probe,
        opinions.Opinions(relay_driver, _NoPeers(), probe),
    ):
        served_relay = relay.Relay(
            relay_driver, dialect.Dialect(), session, measures.Measures()
        )
        server = aiohttp.web.Server(served_relay.handle, handler_cancellation=True)
        runner = aiohttp.web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        await aiohttp.web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        try:
            yield RunningRelay(served_relay, relay_driver, f"{host}:{port}")
        finally:
            await runner.cleanup()
