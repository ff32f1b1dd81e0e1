"""The configuration while the platform's store has come back from an older copy."""

import dataclasses

import gateways
import places
import pytest

from sesamespindle.decide import (
    budgets,
    commands,
    eras,
    events,
    freshness,
    gateway,
    gossip,
)

NOW, SECOND = gateways.NOW, gateways.SECOND
KIND = freshness.Kinds().configuration


def configuration(version):
    return dataclasses.replace(gateways.make_configuration(), version=version)


def make_core(seeds=("10.0.0.2:81",), era=2):
    """Return a gateway that has just started, and read version 21 from the store."""
    me = events.Host("entry-1", "entry", "dc-1", "u", "10.0.0.1:81")
    limits = gateway.PlatformLimits(budgets.BudgetRule())
    core = gateway.Gateway(me, limits, seeds=seeds)
    core.step(NOW, [eras.EraSeen(era)] if era else [])
    read(core, NOW, 21, era)
    return core


def read(core, at, version, era=2):
    core.state.freshness.note_read(KIND, places.at(50, era), version, at, "a listing")
    core.state.freshness.note_version(KIND, version)
    core.step(at, [gateway.ConfigurationRead(configuration(version))])


def answer(core, at, version):
    """Let a peer answer that it has read a version; return the commands."""
    known = freshness.KnownKind(KIND, places.at(50, 2), 21, None, version)
    message = gossip.GossipMessage("entry-2", "dc-1", known=(known,), store_era=2)
    return core.step(at, [gossip.GossipAnswered("10.0.0.2:81", message)])


def version_of(core):
    active = core.forwarding.configuration
    return active.version if active is not None else None


def test_a_host_that_starts_asks_a_peer_before_it_routes_by_an_older_version():
    """Guards against routes and keys that were replaced before the copy came back."""
    core = make_core()
    assert version_of(core) is None
    found = answer(core, NOW + 0.02 * SECOND, 23)
    again = [item for item in found if isinstance(item, commands.ReadAgain)]
    assert [(item.kind, item.version) for item in again] == [(KIND, 23)]
    assert version_of(core) is None
    read(core, NOW + 0.04 * SECOND, 23)
    assert version_of(core) == 23


def test_a_host_that_starts_uses_what_a_peer_has_too():
    core = make_core()
    answer(core, NOW + 0.02 * SECOND, 21)
    assert version_of(core) == 21


def test_peers_that_start_too_do_not_confirm_each_other():
    """Guards against hosts that start together and all take the older version."""
    core = make_core()
    answer(core, NOW + 0.02 * SECOND, 0)
    assert version_of(core) is None
    [told] = core.state.freshness.for_peers()
    assert told.version == 0
    answer(core, NOW + 0.04 * SECOND, 23)
    read(core, NOW + 0.06 * SECOND, 23)
    assert version_of(core) == 23
    [told] = core.state.freshness.for_peers()
    assert told.version == 23


@pytest.mark.parametrize("told", [None, 0, 23])
def test_a_host_that_starts_waits_no_longer_than_a_second(told):
    """Guards against a host that serves nobody, since no peer answers or can tell."""
    core = make_core()
    if told is not None:
        answer(core, NOW + 0.02 * SECOND, told)
    core.step(NOW + 0.9 * SECOND, [events.Tick()])
    assert version_of(core) is None
    core.step(NOW + SECOND, [events.Tick()])
    assert version_of(core) == 21


def test_a_host_without_peers_waits_for_nobody():
    core = make_core(seeds=())
    core.step(NOW, [events.HostsListed(())])
    assert version_of(core) == 21


def test_the_version_in_force_stays_though_the_store_shows_an_older_one():
    core = make_core()
    read(core, NOW, 23)
    answer(core, NOW + 0.02 * SECOND, 23)
    core.step(NOW + SECOND, [eras.EraSeen(3)])
    read(core, NOW + SECOND, 21, era=3)
    assert version_of(core) == 23
    assert core.state.freshness.version(KIND) == 23


def test_a_proof_of_a_peer_that_has_read_a_later_version_is_not_taken():
    """Guards against an older version that seems to be proved the latest."""
    known = freshness.Freshness()
    known.note_read(KIND, places.at(50), 5, None, "a listing")
    known.note_version(KIND, 21)
    known.merge(freshness.KnownKind(KIND, places.at(50), 5, NOW, 23))
    assert known.age(KIND, NOW) is None
    known.merge(freshness.KnownKind(KIND, places.at(50), 5, NOW, 21))
    assert known.age(KIND, NOW) == 0 * SECOND
