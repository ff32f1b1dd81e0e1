"""What callers get from a host that leaves, with a real daemon and stand-ins."""

import asyncio

import aiohttp
import pytest
import standins

CHAT = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}


@pytest.fixture
def play(go):
    """Give a function that plays a scenario in a world of its own."""

    def run(scenario):
        async def in_world():
            async with standins.World() as world:
                await scenario(world)

        go(in_world())

    return run


async def add_endless_engine(world):
    """Add an engine whose streams stay at their first event."""
    engine = await world.add_target("llm-1", "llm")
    engine.release.clear()
    return engine


def test_the_log_tells_a_cut_by_the_hosts_end_from_a_caller_that_left(play):
    """A host's grace time ends while a stream is still under way.

    The log said that the caller had left, and nothing of how far the answer had
    come, so a lost answer looked like a caller's choice.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon(grace=2)
        asking = asyncio.create_task(world.ask(daemon, "/chat/1", "r1", **CHAT))
        await engine.began.wait()
        daemon.terminate()
        with pytest.raises(aiohttp.ClientError):
            await asking
        assert await daemon.ended() == 0
        said = "\n".join(line for line in daemon.lines() if '"r1"' in line)
        assert "Cut off by the end of this host: 19 bytes of the answer" in said
        assert "The caller has left" not in said

    play(scenario)
