"""Changes must be in force on every host in time, whatever happened to its connections.

Several real daemons; each reaches the stand-in store by a link of its own.
"""

import asyncio
import signal

import changefleet
import pytest
import standins


async def settled(fleet):
    """Wait until the hosts have been undisturbed for as long as the limits require."""
    await asyncio.sleep(changefleet.CONTACT_SECONDS)


async def late_route(fleet, hosts=None):
    acknowledged = await fleet.add_route("/added/")
    return await fleet.lateness(acknowledged, fleet.is_refused("/added/1"), hosts)


@pytest.mark.parametrize("wait", [0.0, 1.0, 2.9])
def test_a_route_is_served_in_time_after_all_store_connections_fell_silent(play, wait):
    """Guards against a silent watch that counts as "nothing has changed"."""

    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            await fleet.disturb(silence=True)
            await asyncio.sleep(wait)
            late = await late_route(fleet)
        assert max(late.values()) <= 0, late

    play(scenario)


def test_a_leaving_target_gets_nothing_after_all_store_connections_fell_silent(play):
    """Guards against requests to a target that left while a watch was silent."""

    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            await fleet.disturb(silence=True)
            target = world.target_by_name["desk-1"]
            acknowledged = await fleet.say_leaving(target)
            late = await fleet.lateness(acknowledged, fleet.reaches(target, "/read/1"))
        assert max(late.values()) <= 0, late

    play(scenario)


def test_a_route_is_served_in_time_after_the_store_was_silent_for_all(play):
    """Guards against a watch that waited as an outage began and isn't asked again."""

    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            await fleet.disturb(mode="drop_answers")
            await asyncio.sleep(5.0)
            await fleet.disturb(mode="pass", silence=True)
            await asyncio.sleep(changefleet.CONTACT_SECONDS)
            late = await late_route(fleet)
        assert max(late.values()) <= 0, late

    play(scenario)


def test_a_route_is_served_in_time_where_the_announcing_peer_stops(play):
    """Guards against hosts that wait for a stopped peer instead of asking the store."""

    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            first, *others = fleet.hosts
            await fleet.disturb(others, silence=True)
            acknowledged = await fleet.add_route("/added/")
            is_refused = fleet.is_refused("/added/1")
            while await is_refused(first):
                await asyncio.sleep(0.01)
            # The next tick of the first host announces the change to peers.
            await asyncio.sleep(0.12)
            first.send_signal(signal.SIGSTOP)
            late = await fleet.lateness(acknowledged, is_refused, others)
            first.send_signal(signal.SIGCONT)
        assert max(late.values()) <= 0, late

    play(scenario)


def test_a_host_that_resumes_does_not_refuse_what_was_added_meanwhile(play):
    """Guards against refusals by a configuration from before a pause of the process."""

    async def scenario(world):
        async with changefleet.fleet(world, hosts=1) as fleet:
            [host] = fleet.hosts
            host.send_signal(signal.SIGSTOP)
            await asyncio.sleep(changefleet.CHANGE_SECONDS)
            await fleet.add_route("/added/")
            asking = asyncio.create_task(fleet.ask(host, "/added/1"))
            await asyncio.sleep(0.1)
            host.send_signal(signal.SIGCONT)
            assert await asking == 200

    play(scenario)


def test_what_cannot_be_known_is_refused_at_once_as_not_run(play):
    """Guards against an unknown route or key that is denied by outdated knowledge."""

    async def scenario(world):
        async with changefleet.fleet(world, hosts=1) as fleet:
            [host] = fleet.hosts
            await fleet.disturb(mode="drop_answers")

            async def is_unproved():
                status, _, body = await world.ask(host, "/unknown/1", "r1")
                return status == 503 and b"stale_configuration" in body

            await world.until(is_unproved)
            began = asyncio.get_running_loop().time()
            status, headers, _ = await world.ask(host, "/unknown/1", "r2")
            assert asyncio.get_running_loop().time() - began < 0.5
            assert status == 503
            assert float(headers["Retry-After"]) >= 1.0
            assert await fleet.ask(host, "/read/1") == 200
            await fleet.disturb(mode="pass", silence=True)

            async def is_denied():
                return await fleet.ask(host, "/unknown/1") == 404

            await world.until(is_denied)

    play(scenario)


@pytest.mark.parametrize("part", ["one host", "one data centre"])
def test_a_route_is_served_in_time_where_a_part_of_the_connections_is_silent(
    play, part
):
    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            here = fleet.hosts_of("dc-1")
            await fleet.disturb(here[:1] if part == "one host" else here, silence=True)
            late = await late_route(fleet)
        assert max(late.values()) <= 0, late

    play(scenario)


@pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
def test_a_route_is_served_in_time_where_most_hosts_have_just_stopped(play, number):
    """Guards against a data centre whose watchers are lost and not yet replaced."""

    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            left = [fleet.hosts_of(name)[0] for name in changefleet.DATA_CENTRES]
            for host in fleet.hosts:
                if host not in left:
                    host.send_signal(number)
            late = await late_route(fleet, left)
        assert max(late.values()) <= 0, late

    play(scenario)


@pytest.mark.parametrize("change", ["route", "key"])
def test_what_was_removed_is_denied_in_time_after_connections_fell_silent(play, change):
    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            await fleet.disturb(silence=True)
            changed = {"Tenants": [{"Name": "acme", "ApiKeys": ["another key"]}]}
            if change == "route":
                changed = {"Routes": standins.make_manifest()["Routes"][:1]}
            acknowledged = await fleet.change_configuration(**changed)
            late = await fleet.lateness(acknowledged, fleet.is_served("/read/1"))
        assert max(late.values()) <= 0, late

    play(scenario)


def test_evacuations_and_versions_arrive_in_time_after_connections_fell_silent(play):
    async def scenario(world):
        async with changefleet.fleet(world) as fleet:
            await settled(fleet)
            await fleet.disturb(silence=True)
            await world.store.put("versions", "m", {"Model": "m", "Version": 2})
            await world.store.put("evacuations", "dc-1", {})
            acknowledged = asyncio.get_running_loop().time()
            late = await fleet.lateness(
                acknowledged,
                fleet.is_served("/read/1"),
                limit=changefleet.EVACUATION_SECONDS,
            )
            late_versions = await fleet.lateness(
                acknowledged,
                fleet.lacks_line("Version 2 of m was read"),
                limit=changefleet.EVACUATION_SECONDS,
            )
            await fleet.disturb(silence=True)
            await world.store.remove("evacuations", "dc-1")
            lifted = asyncio.get_running_loop().time()
            late_lifted = await fleet.lateness(
                lifted,
                fleet.lacks_line("evacuation_lifted"),
                limit=changefleet.EVACUATION_SECONDS,
            )
        for found in (late, late_versions, late_lifted):
            assert max(found.values()) <= 0, found

    play(scenario)


def test_an_invalid_configuration_is_refused_whole_and_the_next_one_is_in_time(play):
    """Guards against a configuration of which the valid part is taken."""

    async def scenario(world):
        async with changefleet.fleet(world, hosts=3) as fleet:
            added = {"Name": "bad", "PathPrefix": "/bad/", "Host": 7}
            routes = standins.make_manifest()["Routes"]
            acknowledged = await fleet.change_configuration(Routes=[*routes, added])
            refused = fleet.lacks_line("can't be read; the current one stays")
            await fleet.lateness(acknowledged, refused)
            for host in fleet.hosts:
                assert await fleet.ask(host, "/read/1") == 200
            late = await late_route(fleet)
        assert max(late.values()) <= 0, late

    play(scenario)


def test_a_host_that_starts_from_a_peer_that_is_behind_denies_nothing_new(play):
    """Guards against a first configuration from a peer that counts as current."""

    async def scenario(world):
        async with changefleet.fleet(world, hosts=1) as fleet:
            await fleet.disturb(mode="drop_answers")
            await fleet.add_route("/added/")
            started = await fleet.start_host()
            await world.until(lambda: world.is_ready(started))
            statuses = set()

            async def is_served():
                statuses.add(await fleet.ask(started, "/added/1"))
                return 200 in statuses

            await world.until(is_served)
        assert statuses <= {200, 503}, statuses

    play(scenario)


def test_a_host_starts_and_follows_changes_where_each_answer_takes_long(play):
    """Guards against a list that never arrives, as it always exceeds its time limit."""

    async def scenario(world):
        world.store.delay_seconds = 0.9
        async with changefleet.fleet(world, hosts=2) as fleet:
            await fleet.add_route("/added/")
            for host in fleet.hosts:

                async def is_served(host=host):
                    return await fleet.ask(host, "/added/1") == 200

                await world.until(is_served)

    play(scenario)
