"""Fixtures for tests that run a daemon on a simulated platform."""

import pytest
import standins


@pytest.fixture
def play(go):
    """Return a function that runs a scenario, a coroutine function, in a new world."""

    def run(scenario):
        async def run_in_world():
            async with standins.World() as world:
                await scenario(world)

        go(run_in_world())

    return run
