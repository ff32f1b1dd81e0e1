"""Streams of several software versions, and hosts that all forget them at once."""

import asyncio

import pytest
import standins
import versionfleet

_PER_SECOND = 36
# Of the streams that callers take up, as many go on as new ones begin, half of that by
# the rule of the platform.
_LEAST_SHARE = 0.5
# Of those that one version alone can have begun.
_LEAST_GOING_ON = 0.9
# So many streams begin in half of the time that hosts keep a target no longer listed.
_BEGUN = 18


async def begin_fleet(world, versions, hosts=6):
    """Return a fleet with engines of some versions."""
    fleet = versionfleet.Fleet(world)
    for software in versions:
        await fleet.add_engine(software)
    await fleet.add_hosts(hosts)
    return fleet


async def replace_all(fleet, software):
    """Have the listed engines go without a word, and others take their place."""
    for name in list(fleet.world.target_by_name):
        engine = fleet.world.target_by_name.pop(name)
        await fleet.world.store.remove("servers", engine.name)
        engine.crash()
    for _ in range(4):
        await fleet.add_engine(software)


async def _replaced_before(fleet):
    """Replace the version, the last of it just before all hosts are killed."""
    old = list(fleet.world.target_by_name)
    for _ in range(4):
        await fleet.add_engine("v1.2")
    await asyncio.sleep(0.6)
    for name in old:
        await fleet.world.store.remove("servers", name)
        fleet.world.target_by_name.pop(name)
    await asyncio.sleep(0.3)
    await fleet.kill_all()


async def _replaced_meanwhile(fleet):
    """Replace the version while no host lives."""
    await fleet.kill_all(lambda: replace_all(fleet, "v1.2"))


async def _listed_just_before(fleet):
    """Kill all hosts as another version has just been listed."""
    await fleet.add_engine("v1.2")
    await fleet.kill_all()


async def _killed_twice(fleet):
    """Kill all hosts twice, with another version each time."""
    await fleet.kill_all(lambda: replace_all(fleet, "v1.2"))
    await fleet.kill_all(lambda: replace_all(fleet, "v1.3"))


async def _all_but_a_new_one(fleet):
    """Kill all hosts but one, which has just started."""
    await fleet.restart(fleet.hosts[0])
    spared = fleet.hosts.pop(0)
    await fleet.kill_all(lambda: replace_all(fleet, "v1.2"))
    fleet.hosts.insert(0, spared)
    fleet.serving.append(spared)


@pytest.mark.parametrize(
    "happens",
    [
        _replaced_before,
        _replaced_meanwhile,
        _listed_just_before,
        _killed_twice,
        _all_but_a_new_one,
    ],
    ids=lambda happens: happens.__name__.strip("_"),
)
def test_streams_are_not_mixed_by_hosts_that_have_all_forgotten(play, happens):
    """Guards against streams of two versions as no host knows of the other."""

    async def scenario(world):
        fleet = await begin_fleet(world, ["v1.1"] * 4)
        async with versionfleet.Clients(fleet, _PER_SECOND) as clients:
            await asyncio.sleep(2.5)
            await happens(fleet)
            await asyncio.sleep(3)
        assert not clients.mixed, clients.summary()
        assert clients.began_share() > 0.8, clients.summary()

    play(scenario)


def test_streams_begin_at_listed_engines_as_a_version_is_replaced(play):
    """Guards against streams that begin at engines which have gone without a word."""

    async def scenario(world):
        fleet = await begin_fleet(world, ["v1.1"] * 4)
        async with versionfleet.Clients(fleet, _PER_SECOND) as clients:
            await asyncio.sleep(2.5)
            old = list(fleet.world.target_by_name)
            added = [await fleet.add_engine("v1.2") for _ in range(4)]
            await standins.until(lambda: _have_listed(fleet.hosts, added))
            for name in old:
                await fleet.world.store.remove("servers", name)
            first = len(clients.streams)
            await standins.until(lambda: _have_begun(clients, first))
        versions = _begun(clients, first)[:_BEGUN]
        assert versions.count("v1.2") >= _BEGUN / 2, versions
        assert not clients.mixed, clients.summary()

    play(scenario)


async def _have_listed(hosts, engines):
    """Return whether all hosts have read the records of some engines."""
    return all(
        any(f"target_listed {engine.name}." in line for line in host.lines())
        for host in hosts
        for engine in engines
    )


async def _have_begun(clients, first):
    return len(_begun(clients, first)) >= _BEGUN


def _begun(clients, first):
    """Return the versions at which streams began, from one of them on, in order."""
    return [stream.versions[0] for stream in clients.streams[first:] if stream.versions]


def test_a_fleet_of_one_version_takes_streams_up_after_all_hosts_were_lost(play):
    """Guards against hosts that refuse all streams as none remembers anything."""

    async def scenario(world):
        fleet = await begin_fleet(world, ["v1.1"] * 4)
        async with versionfleet.Clients(fleet, _PER_SECOND) as clients:
            await asyncio.sleep(2.5)
            marks = clients.marks()
            await fleet.kill_all()
            await asyncio.sleep(3)
        share, count = clients.resumed_since(marks)
        assert count > 5
        assert share >= 0.95 * clients.began_share(), clients.summary()

    play(scenario)


def test_streams_go_on_after_all_hosts_were_lost_beside_two_versions(play):
    """Guards against hosts that refuse all streams as none knows what began them."""

    async def scenario(world):
        fleet = await begin_fleet(world, ["v1.1", "v1.2"] * 2)
        async with versionfleet.Clients(fleet, _PER_SECOND) as clients:
            await asyncio.sleep(4)
            marks = clients.marks()
            await fleet.kill_all()
            await asyncio.sleep(3)
        assert not clients.mixed, clients.summary()
        share, count = clients.resumed_since(marks)
        assert count >= 12
        assert share >= _LEAST_SHARE * clients.began_share(), (share, count)

    play(scenario)


async def _joined_meanwhile(fleet):
    """Add a second version while no host lives."""

    async def add():
        for _ in range(4):
            await fleet.add_engine("v1.2")

    await fleet.kill_all(add)


async def _joined_just_before(fleet):
    """Add a second version that hosts have seen for a moment as they are killed."""
    for _ in range(4):
        await fleet.add_engine("v1.2")
    await asyncio.sleep(0.2)
    await fleet.kill_all()


async def _joined(fleet):
    """Add a second version; no host is lost."""
    for _ in range(4):
        await fleet.add_engine("v1.2")


@pytest.mark.parametrize(
    "happens",
    [_joined_meanwhile, _joined_just_before, _joined],
    ids=lambda happens: happens.__name__.strip("_"),
)
def test_streams_of_the_only_version_go_on_once_there_is_a_second(play, happens):
    """Guards against hosts that refuse streams which one version alone can have begun.

    Those that new hosts begin at the second version go on there.
    """

    async def scenario(world):
        fleet = await begin_fleet(world, ["v1.1"] * 4)
        async with versionfleet.Clients(fleet, _PER_SECOND) as clients:
            await asyncio.sleep(2.5)
            marks = clients.marks()
            await happens(fleet)
            await asyncio.sleep(7)
        assert not clients.mixed, clients.summary()
        share, count = clients.resumed_since(marks)
        assert count >= 5
        assert share >= _LEAST_GOING_ON * clients.began_share(), (share, count)
        versions = {
            version for stream in clients.streams for version in stream.versions
        }
        assert versions == {"v1.1", "v1.2"}

    play(scenario)
