"""Limits that targets name, with several real daemons and stand-in targets."""

import asyncio

import limits
import steady

# How long callers send after the targets began to name their limits, in seconds.
_LIMITED_SECONDS = 9.0
# A refusal that comes later than this has waited for something, in seconds.
_AT_ONCE_SECONDS = 1.0


def name_limit(targets, value):
    for target in targets:
        target.signals = {"Server-Limit": value} if value is not None else {}


def excess(target):
    return limits.excess(target.arrivals, target.answers)


def test_hosts_keep_to_the_limits_that_all_engines_name_at_once(play):
    """Guards against hosts that each send an engine what it takes from all of them."""

    async def scenario(world):
        async with steady.fleet(world, "llm", "/chat/1", 2) as (
            engines,
            _,
            callers,
        ):
            name_limit(engines, "1.0")
            await asyncio.sleep(_LIMITED_SECONDS)
        assert max(excess(engine) for engine in engines) <= 0
        refused = [item for item in callers.answers if item[2] == 503]
        assert len(refused) > 100
        assert all(seconds < _AT_ONCE_SECONDS for *_, seconds in refused)
        pauses = {headers["Retry-After"] for _, _, _, headers, _ in refused}
        assert len(pauses) > 5

    play(scenario)


def test_other_targets_serve_what_a_limited_one_does_not_take(play):
    async def scenario(world):
        async with steady.fleet(world, "desk", "/read/1", 3) as (
            desks,
            _,
            callers,
        ):
            name_limit(desks[:1], "1.5")
            await asyncio.sleep(_LIMITED_SECONDS)
        assert excess(desks[0]) <= 0
        assert set(callers.statuses(0.0)) == {200}

    play(scenario)


def test_limits_are_kept_while_the_store_is_away_and_a_host_is_turned_away(play):
    """Guards against a limit that only hosts in touch with the store keep."""

    async def scenario(world):
        async with steady.fleet(world, "llm", "/chat/1", 2) as (
            engines,
            hosts,
            _,
        ):
            world.store.turned_away.add(hosts[1].ip)
            name_limit(engines, "1.7")
            await asyncio.sleep(_LIMITED_SECONDS / 2)
            world.store.is_away = True
            await asyncio.sleep(_LIMITED_SECONDS / 2)
        assert max(excess(engine) for engine in engines) <= 0

    play(scenario)


def test_a_limit_that_changes_is_unreadable_for_a_while_and_ends(play):
    async def scenario(world):
        async with steady.fleet(world, "desk", "/once/1", 2) as (
            desks,
            _,
            callers,
        ):
            for value in ("1.0", "1e300", "0", "1.7"):
                name_limit(desks, value)
                await asyncio.sleep(_LIMITED_SECONDS / 3)
            assert max(excess(desk) for desk in desks) <= 0
            name_limit(desks, None)
            await world.until(callers.are_all_served)

    play(scenario)


def test_a_new_incarnation_is_not_bound_by_the_limit_of_the_last_one(play):
    async def scenario(world):
        async with steady.fleet(world, "desk", "/read/1", 2) as (
            desks,
            _,
            callers,
        ):
            name_limit(desks, "1.0")
            await asyncio.sleep(_LIMITED_SECONDS / 2)
            assert max(excess(desk) for desk in desks) <= 0
            name_limit(desks, None)
            for desk in desks:
                desk.crash()
                await world.bring_back(desk)
            await world.until(callers.are_all_served)

    play(scenario)
