"""A request that crashes engines is sent again and again, to any host.

Guards against one bad request that takes down all engines, so that no prompt is served.
It crashes the engine that runs it and the one that gets the retry. The caller sends it
again to another host under a new id; if hosts don't remember the crashes and share
them, each such attempt crashes two more engines.
"""

import asyncio
import contextlib

HEADERS = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
CRASHING_BODY = b"crash"
# The time in which hosts that reach each other have to learn what one of them knows,
# and the number of times that such a request may reach targets after that.
CONTACT_SECONDS = 3.0
MOST_RETRIES = 3
# Engines start again this long after a crash.
_RESTART_SECONDS = 0.5
_INTERVAL_SECONDS = 0.05


@contextlib.asynccontextmanager
async def restarting_engines(world, count):
    """Add engines that a bad request crashes and that start again after each crash."""
    engines = [await world.add_target(f"llm-{n}", "llm") for n in range(count)]
    for engine in engines:
        engine.crashed_by = CRASHING_BODY

    async def restart():
        handled_by_engine = dict.fromkeys(engines, 0)
        while True:
            for engine in engines:
                if len(engine.crashes) > handled_by_engine[engine]:
                    await asyncio.sleep(_RESTART_SECONDS)
                    handled_by_engine[engine] = len(engine.crashes)
                    await world.bring_back(engine)
            await asyncio.sleep(_INTERVAL_SECONDS)

    restarting = asyncio.create_task(restart())
    try:
        yield engines
    finally:
        restarting.cancel()
        await asyncio.gather(restarting, return_exceptions=True)


async def start_daemons(world, count):
    daemons = [await world.add_daemon()]
    while len(daemons) < count:
        daemons.append(await world.add_daemon(seeds=(daemons[0].ip,)))
    return daemons


def crash_times(engines):
    return sorted(at for engine in engines for at in engine.crashes)


class RepeatingCaller:
    """A caller that sends the bad request repeatedly, to each host in turn."""

    def __init__(self, world, daemons):
        self._world = world
        self._daemons = daemons
        self._sent = 0
        self.answers = []

    async def send_until(self, is_done):
        """Send until the function `is_done` returns true."""
        while not is_done():
            daemon = self._daemons[self._sent % len(self._daemons)]
            self._sent += 1
            status, headers, _ = await self._world.ask(
                daemon, "/chat/1", f"bad-{self._sent}", body=CRASHING_BODY, **HEADERS
            )
            self.answers.append((status, headers.get("Retry-After")))
            await asyncio.sleep(_INTERVAL_SECONDS)


def test_a_request_that_crashed_three_engines_crashes_few_more(play):
    async def scenario(world):
        async with restarting_engines(world, 4) as engines:
            caller = RepeatingCaller(world, await start_daemons(world, 3))
            loop = asyncio.get_running_loop()

            def is_over():
                crashes = crash_times(engines)
                known_at = crashes[2] + CONTACT_SECONDS if len(crashes) > 2 else None
                return known_at is not None and loop.time() > known_at + 2.0

            await caller.send_until(is_over)
            crashes = crash_times(engines)
            late = [at for at in crashes if at > crashes[2] + CONTACT_SECONDS]
            assert len(late) <= MOST_RETRIES

    play(scenario)
