"""Fixtures of the tests that play a daemon on the platform."""

import pytest
import standins


@pytest.fixture
def play(go):
    """Give a function that plays a scenario in a world of its own."""

    def run(scenario):
        async def in_world():
            async with standins.World() as world:
                await scenario(world)

        go(in_world())

    return run
