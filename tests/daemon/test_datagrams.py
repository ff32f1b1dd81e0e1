"""Short messages between daemons, as signed UDP datagrams."""

import asyncio
import datetime

import pytest

from sesamespindle.daemon import datagrams, driver, eventlog, peering
from sesamespindle.decide import commands, core, events, gossip
from sesamespindle.wire import clock, peers_pb2

TIMEOUT_SECONDS = 5.0


class _Port:
    """A datagram port on a loopback address, with a queue of received payloads."""

    def __init__(self, key):
        self.received = asyncio.Queue()
        self.port = datagrams.Datagrams(
            key, lambda payload, peer: self.received.put_nowait(payload)
        )

    async def __aenter__(self):
        await self.port.open("127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc_info):
        self.port.close()

    @property
    def address(self):
        return self.port._transport.get_extra_info("sockname")

    async def next(self):
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return await self.received.get()


def test_a_datagram_signed_with_another_key_is_dropped(go):
    """A sender without the shared key sends forged gossip to a daemon's port.

    If the daemon accepted it, callers would be sent to hosts that don't exist.
    """

    async def run():
        async with (
            _Port("ours") as ours,
            _Port("ours") as peer,
            _Port("theirs") as stranger,
        ):
            stranger.port.send(b"forged", ours.address)
            peer.port.send(b"true", ours.address)
            assert await ours.next() == b"true"
            assert ours.received.empty()

    go(run())


def test_a_datagram_that_was_changed_in_transit_is_dropped(go):
    async def run():
        async with _Port("ours") as ours, _Port("ours") as peer:
            changed = bytearray(peer.port._sign(b"payload") + b"payload")
            changed[-1] ^= 1
            peer.port._transport.sendto(bytes(changed), ours.address)
            peer.port.send(b"whole", ours.address)
            assert await ours.next() == b"whole"

    go(run())


class _Peer:
    """A daemon's decision logic with its peering; sets `answered` on each answer."""

    def __init__(self, name):
        server, port = peering.bind("127.0.0.1", 0, "key")
        self._port = port
        self.address = f"127.0.0.1:{port}"
        me = events.Host(name, "entry", "dc-1", f"{name}:80", self.address, "", 1)
        now = clock.SystemClock()
        log = eventlog.EventLog(name, eventlog.HybridClock(now), 1)
        self.answered = asyncio.Event()
        self.core = core.Core(me)
        self.driver = driver.Driver(self, now, log)
        self.state = self.core.state
        self.peering = peering.Peering(self.driver, None, server, "key")

    def step(self, now, happened):
        if any(isinstance(item, gossip.GossipAnswered) for item in happened):
            self.answered.set()
        return self.core.step(now, happened)

    async def __aenter__(self):
        await self.peering.start("127.0.0.1", self._port)
        return self

    async def __aexit__(self, *exc_info):
        await self.peering.__aexit__(*exc_info)

    def start_round_with(self, other, **more):
        message = gossip.GossipMessage(self.state.me.name, "dc-1", **more)
        self.driver._dispatch(commands.GossipTo(other.address, message))


@pytest.mark.parametrize("names", [0, 3000], ids=["short", "too-long-for-a-datagram"])
def test_a_gossip_round_is_answered(go, names):
    """A round starts with a message that fits a datagram, or is too long for one.

    A message with 3,000 names is too long and goes over gRPC.
    """

    async def run():
        wanted = tuple(f"a-host-with-a-long-name-{number}" for number in range(names))
        async with _Peer("entry-1") as first, _Peer("entry-2") as second:
            first.start_round_with(second, wanted=wanted)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await first.answered.wait()
            assert first.state.knows_entries

    go(run())


def test_an_answer_is_used_once_and_only_until_the_timeout(go):
    """One answer to a gossip round is duplicated, and another arrives two seconds late.

    Its content is out of date by then, and the start of its round, which its ages count
    back from, is no longer known.
    """

    async def run():
        async with _Peer("entry-1") as first:
            received = []
            first.peering._receive_answer = lambda *args: received.append(args)
            now = first.driver.clock.now()
            first.peering._started_at_by_round = {
                1: now - datetime.timedelta(seconds=2),
                2: now,
            }
            message = first.peering._gossip_to_wire(gossip.GossipMessage("e", "dc-1"))
            for number in (1, 2, 2):
                payload = _answer_to(number, message)
                first.peering._receive_datagram(payload, ("127.0.0.1", 1))
            assert len(received) == 1

    go(run())


def _answer_to(number, message):
    datagram = peers_pb2.GossipDatagram(round=number, is_answer=True, message=message)
    return datagram.SerializeToString()


@pytest.mark.parametrize(
    "address",
    ["", "nobody", "nobody:80", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:99999"],
)
def test_an_invalid_peer_address_does_not_end_the_daemon(go, address):
    """A host's record has an invalid peer address.

    If the next gossip round with that host raises an error, it ends the task that ticks
    and with it the daemon. All hosts that know the record would end like this.
    """

    async def run():
        async with _Peer("entry-1") as first, _Peer("entry-2") as second:
            message = gossip.GossipMessage("entry-1", "dc-1")
            first.driver._dispatch(commands.GossipTo(address, message))
            first.start_round_with(second)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await first.answered.wait()

    go(run())
