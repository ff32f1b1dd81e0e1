"""Targets that leave or want a rest, with real daemons and stand-in targets."""

import asyncio

import held
import steady

LEAVING = {"Server-Leaving": "1"}
REST_SECONDS = 3.0
RESTING = {"Retry-After": str(REST_SECONDS)}
# A refusal that comes later than this has waited for something, in seconds.
_AT_ONCE_SECONDS = 1.0


def check_refusals(callers, since):
    """Check that refusals come at once and spread the callers' return."""
    refused = [
        (headers, seconds)
        for _, at, status, headers, seconds in callers.answers
        if status == 503 and at >= since
    ]
    assert len(refused) > 10
    assert all(seconds < _AT_ONCE_SECONDS for _, seconds in refused)
    assert len({headers["Retry-After"] for headers, _ in refused}) > 5
    return [float(headers["Retry-After"]) for headers, _ in refused]


def test_a_target_that_says_it_leaves_gets_nothing_more_while_the_store_is_away(play):
    """Guards against hosts that go by the list, which can't change in an outage."""

    async def scenario(world):
        async with steady.fleet(world, "llm", "/chat/1", 2) as (engines, _, callers):
            world.store.is_away = True
            engines[0].signals = LEAVING
            await asyncio.sleep(held.DRAIN_SECONDS + 2.0)
        assert len(engines[0].answers) > 0
        assert held.late(engines[0].arrivals, engines[0].answers) == []
        assert set(callers.statuses(0.0)) == {200}

    play(scenario)


def test_the_last_target_that_leaves_gets_nothing_more_and_callers_know_at_once(play):
    """Guards against a leaving target that gets all requests, as no other is left."""

    async def scenario(world):
        async with steady.fleet(world, "desk", "/once/1", 1) as (desks, _, callers):
            world.store.is_away = True
            desks[0].signals = LEAVING
            await asyncio.sleep(held.DRAIN_SECONDS)
            since = asyncio.get_running_loop().time()
            await asyncio.sleep(2.0)
        assert held.late(desks[0].arrivals, desks[0].answers) == []
        check_refusals(callers, since)
        assert set(callers.statuses(since)) == {503}

    play(scenario)


def test_a_leaving_target_that_is_listed_anew_as_ready_gets_nothing(play):
    """Guards against a record from before the target's word that takes it back."""

    async def scenario(world):
        async with steady.fleet(world, "llm", "/chat/1", 2) as (engines, _, _):
            engines[0].signals = LEAVING
            await asyncio.sleep(0.5)
            await world.store.remove("servers", "llm-0")
            await asyncio.sleep(1.5)
            await world.store.put("servers", "llm-0", engines[0].entry())
            await asyncio.sleep(2.0)
        assert len(engines[0].answers) > 0
        assert held.late(engines[0].arrivals, engines[0].answers) == []

    play(scenario)


def test_a_new_incarnation_of_a_target_that_left_is_used(play):
    async def scenario(world):
        async with steady.fleet(world, "desk", "/read/1", 1) as (desks, _, callers):
            desks[0].signals = LEAVING
            await asyncio.sleep(1.0)
            desks[0].signals = {}
            desks[0].crash()
            await world.bring_back(desks[0])
            await world.until(callers.are_all_served)

    play(scenario)


def test_a_target_that_asks_for_a_rest_gets_it(play):
    """Guards against hosts that ask a shedding target again after a moment."""

    async def scenario(world):
        async with steady.fleet(world, "llm", "/chat/1", 2) as (engines, _, callers):
            engines[0].signals = RESTING
            engines[0].turns_away = True
            await asyncio.sleep(2.5 * REST_SECONDS)
        engine = engines[0]
        assert sum(answer.rest > 0 for answer in engine.answers) > 0
        assert held.most_in_a_rest(engine.arrivals, engine.answers) <= (
            held.MOST_IN_A_REST
        )
        assert set(callers.statuses(0.0)) == {200}

    play(scenario)


def test_callers_know_at_once_when_all_targets_rest_and_do_not_return_in_a_wave(play):
    """Guards against requests that try all resting targets, and rush in afterwards."""

    async def scenario(world):
        async with steady.fleet(world, "desk", "/once/1", 2) as (desks, hosts, callers):
            for desk in desks:
                desk.signals = RESTING
                desk.turns_away = True
            await asyncio.sleep(1.0)
            since = asyncio.get_running_loop().time()
            await asyncio.sleep(1.0)
            pauses = check_refusals(callers, since)
            assert min(pauses) > 0.5
            await asyncio.sleep(REST_SECONDS)
            for desk in desks:
                assert held.most_in_a_rest(desk.arrivals, desk.answers) <= (
                    held.MOST_IN_A_REST
                )
                # After each rest a host tries one request, and not all that come.
                rested = [item for item in desk.arrivals if item.at > since]
                assert held.most_at_once(rested, 0.5) <= len(hosts)
                desk.turns_away = False
                desk.signals = {}
            await world.until(callers.are_all_served)

    play(scenario)
