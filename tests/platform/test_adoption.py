"""What a host adopts of the platform's objects, by lists, watches and peers."""

import asyncio
import json

import gateways
import places
import standins

from sesamespindle.daemon import driver, eventlog
from sesamespindle.decide import commands, kvstores, readings
from sesamespindle.platform import adoption, availability, objects, peerstate
from sesamespindle.wire import clock

CONFIGURATION = adoption.CONFIGURATION
READING = readings.Reading("a test")


class Host:
    """A host's decision logic, with what it adopts."""

    def __init__(self):
        now = clock.ManualClock(gateways.NOW)
        log = eventlog.EventLog("entry-1", eventlog.HybridClock(now), 1)
        self.driver = driver.Driver(gateways.make_gateway(), now, log)
        for kind in (kvstores.StoresConfigured, commands.GossipTo):
            self.driver.on(kind, lambda command: None)
        self.adopted = adoption.Adoption(self.driver)
        store = availability.Availability(self.driver)
        self.peers = peerstate.PeerState(self.driver, self.adopted, store)

    @property
    def known(self):
        return self.driver.core.state.freshness

    @property
    def version(self):
        return self.driver.core.forwarding.configuration.version

    def change(self, revision, item):
        listing = objects.Listing((item,), places.at(revision))
        self.adopted.adopt_changes(CONFIGURATION, listing, READING, gateways.NOW)

    def update_for(self, peer):
        return self.peers.make_update(peer.peers.known_state().digests).head


def configuration(version, revision, **changed):
    spec = standins.make_manifest(version, **changed)
    return objects.StoredObject("main", places.at(revision), spec)


def test_a_late_answer_of_an_earlier_revision_changes_nothing():
    """Guards against a change that an older answer of a watch takes back."""
    host = Host()
    target = objects.StoredObject(
        "desk-1", places.at(9), standins.Target("desk-1", "1:1").entry()
    )
    host.adopted.adopt_list(
        adoption.TARGETS, objects.Listing((), places.at(10)), READING, gateways.NOW
    )
    late = objects.Listing((target,), places.at(9))
    host.adopted.adopt_changes(adoption.TARGETS, late, READING, gateways.NOW)
    assert host.known.revision(adoption.TARGETS) == places.at(10)
    assert host.adopted.replica_by_kind[adoption.TARGETS].object_by_name == {}


def test_the_digest_is_the_same_however_the_content_was_read():
    by_watch, by_list = Host(), Host()
    by_watch.change(10, configuration(2, 10))
    by_watch.change(12, configuration(3, 12))
    whole = objects.Listing((configuration(3, 12),), places.at(12))
    by_list.adopted.adopt_list(CONFIGURATION, whole, READING)
    assert by_watch.known.for_peers()[0].digest == by_list.known.for_peers()[0].digest


def test_a_removal_that_only_a_list_shows_differs_from_what_peers_know():
    """Guards against hosts that count as complete but still have what was removed."""
    by_list, behind = Host(), Host()
    item = objects.StoredObject("dc-9", places.at(5), {})
    for host in (by_list, behind):
        host.adopted.adopt_list(
            adoption.EVACUATIONS, objects.Listing((item,), places.at(5)), READING
        )
    by_list.adopted.adopt_list(
        adoption.EVACUATIONS, objects.Listing((), places.at(8)), READING
    )
    [theirs] = by_list.known.for_peers()
    assert behind.known.is_behind(theirs)


def test_a_refused_configuration_is_not_sent_to_peers_as_known():
    host, peer = Host(), Host()
    host.change(10, configuration(2, 10))
    host.change(12, configuration(3, 12, Routes=7))
    assert host.version == 2
    pack = json.loads(host.update_for(peer))["kinds"][CONFIGURATION]
    assert pack["revision"] == 11
    assert pack["objects"][0][2]["Version"] == 2
    host.change(14, configuration(4, 14))
    assert host.version == 4
    assert json.loads(host.update_for(peer))["kinds"][CONFIGURATION]["revision"] == 14


def test_a_peer_gets_only_the_kinds_whose_content_it_lacks(go):
    host, peer = Host(), Host()
    host.change(10, configuration(2, 10))
    go(peer.peers.adopt_update(host.update_for(peer), {}, gateways.NOW))
    assert peer.version == 2
    host.known.prove(CONFIGURATION, places.at(15), gateways.NOW)
    assert json.loads(host.update_for(peer))["kinds"] == {}


def test_a_pack_of_an_earlier_release_changes_nothing(go):
    host = Host()
    old = json.dumps({"seen": {"config": 9}, "config": standins.make_manifest(9)})
    go(host.peers.adopt_update(old.encode(), {}, gateways.NOW))
    assert host.version == 1


def test_a_host_asks_the_store_if_the_announcing_peer_is_silent(go):
    """Guards against a change that is late since its announcing peer has stopped."""
    host = Host()
    checked = []
    host.driver.core.store_checks.handle = lambda event, now: checked.append(event)

    async def silent(address):
        await asyncio.Event().wait()

    async def run():
        host.peers.set_peer_fetcher(silent)
        async with host.peers:
            host.driver._dispatch(
                commands.ReadAgain(CONFIGURATION, places.at(9), "10.0.0.2:81")
            )
            async with asyncio.timeout(5):
                while not checked:
                    await asyncio.sleep(0.01)

    go(run())
    assert checked[0].kinds == (CONFIGURATION,)


def test_a_catch_up_that_fails_does_not_keep_the_next_one_from_starting(go):
    host = Host()
    addresses = []

    async def fail(address):
        addresses.append(address)
        raise RuntimeError("broken")

    async def run():
        host.peers.set_peer_fetcher(fail)
        async with host.peers:
            for number in (1, 2):
                host.driver._dispatch(
                    commands.ReadAgain(
                        CONFIGURATION, places.at(9), f"10.0.0.{number}:81"
                    )
                )
                async with asyncio.timeout(5):
                    while host.peers._task_by_kind:
                        await asyncio.sleep(0.01)

    go(run())
    assert addresses == ["10.0.0.1:81", "10.0.0.2:81"]
