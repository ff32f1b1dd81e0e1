"""A service gets no more repeats than its budget, whatever happens to the hosts.

Guards against targets in trouble that get more requests from the retries of all hosts.
"""

import asyncio

import pytest
import repeatfleet

_SECONDS = 24.0
_LIVES = 3
# What an engine says of itself that is full and shares its machine with other work.
_SHARED_MACHINE = "64,4,64,130"


def assert_within_budget(fleet):
    """Check all windows."""
    worst = fleet.seen.worst()
    assert not worst.is_broken, worst


async def _nothing(fleet):
    await asyncio.sleep(_SECONDS)


async def _kill_all(fleet):
    for _ in range(_LIVES):
        await asyncio.sleep(5.0)
        await fleet.restart(fleet.hosts)
    await asyncio.sleep(_SECONDS - 5.0 * _LIVES)


async def _kill_in_turn(fleet):
    for host in (*fleet.hosts, *fleet.hosts):
        await fleet.restart([host])
        await asyncio.sleep(0.5)


@pytest.mark.parametrize("per_second", [3.0, 60.0], ids=["rare", "often"])
@pytest.mark.parametrize("happens", [_nothing, _kill_all, _kill_in_turn])
def test_targets_that_turn_all_away_get_few_repeats(play, happens, per_second):
    async def scenario(world):
        async with repeatfleet.fleet(world) as fleet:
            for target in fleet.targets:
                target.turns_away = True
            async with repeatfleet.calling(fleet, per_second):
                await happens(fleet)
            assert_within_budget(fleet)

    play(scenario)


def test_prompts_that_wait_and_are_asked_for_get_few_repeats(play):
    """Guards against repeats that nobody paid for where parts for hard load are on."""

    async def scenario(world):
        async with repeatfleet.fleet(world, "llm") as fleet:
            for target in fleet.targets:
                target.turns_away = True
                target.signals = {"X-Server-Load": _SHARED_MACHINE}
            async with repeatfleet.calling(fleet, 60.0):
                await asyncio.sleep(_SECONDS)
            assert_within_budget(fleet)

    play(scenario)
