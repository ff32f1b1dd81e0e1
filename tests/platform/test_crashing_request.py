"""A request that crashes engines comes again and again, at any host.

Users' prompts of every kind went unserved for seconds at a time, three times within
80 s. One draft ended the engine that ran it, and the second to which it was sent on at
once; under a new id it came again at another host, which knew nothing of that, and each
attempt took two engines until all five were gone, and again as soon as they were back.

Evidence: in the hosts' logs 16 attempts of one draft come to eight hosts, and 14
engines end in 9 s. Each of them ends within 0.2 s of a send of that draft to it, and
accepts no connection from then on; nothing else was sent to all of them. Nothing was
remembered between two attempts, nor told to another host.
"""

import asyncio
import contextlib

HEADERS = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
BAD = b"crash"
# How long hosts that reach each other have to learn what one of them knows, and how
# often such a request may reach targets after that, by the users' terms.
CONTACT_SECONDS = 3.0
MOST_RETRIES = 3
# Engines are back this long after a crash.
_DOWN_SECONDS = 0.5
_PAUSE_SECONDS = 0.05


@contextlib.asynccontextmanager
async def engines_that_come_back(world, count):
    """Have engines that a bad request crashes, and that start again."""
    engines = [await world.add_target(f"llm-{n}", "llm") for n in range(count)]
    for engine in engines:
        engine.crashed_by = BAD

    async def restart():
        seen = dict.fromkeys(engines, 0)
        while True:
            for engine in engines:
                if len(engine.crashes) > seen[engine]:
                    await asyncio.sleep(_DOWN_SECONDS)
                    seen[engine] = len(engine.crashes)
                    await world.bring_back(engine)
            await asyncio.sleep(_PAUSE_SECONDS)

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


def crashes_of(engines):
    return sorted(at for engine in engines for at in engine.crashes)


class Repeats:
    """A caller that sends the bad request again and again, to each host in turn."""

    def __init__(self, world, daemons):
        self._world = world
        self._daemons = daemons
        self._sent = 0
        self.answers = []

    async def go_on(self, until):
        """Send until a condition holds."""
        while not until():
            daemon = self._daemons[self._sent % len(self._daemons)]
            self._sent += 1
            status, headers, _ = await self._world.ask(
                daemon, "/chat/1", f"bad-{self._sent}", body=BAD, **HEADERS
            )
            self.answers.append((status, headers.get("Retry-After")))
            await asyncio.sleep(_PAUSE_SECONDS)


def test_a_request_that_crashed_three_engines_reaches_few_more(play):
    async def scenario(world):
        async with engines_that_come_back(world, 4) as engines:
            repeats = Repeats(world, await start_daemons(world, 3))
            loop = asyncio.get_running_loop()

            def is_over():
                crashes = crashes_of(engines)
                known_at = crashes[2] + CONTACT_SECONDS if len(crashes) > 2 else None
                return known_at is not None and loop.time() > known_at + 2.0

            await repeats.go_on(is_over)
            crashes = crashes_of(engines)
            late = [at for at in crashes if at > crashes[2] + CONTACT_SECONDS]
            assert len(late) <= MOST_RETRIES

    play(scenario)
