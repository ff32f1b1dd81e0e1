"""Real daemons that ask the keeper of an engine before they send long prompts."""

import asyncio
import itertools
import signal

LONG = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:400", "X-Token-Count": "500,20"}
SHORT = {"X-Model": "m", "X-Prompt-Prefix": "aa:2,bb:1", "X-Token-Count": "3,1"}


async def metric(world, daemon, name):
    """Return a daemon's metric as text; empty if it has none of that name."""
    url = f"http://{daemon.ip}:9105/metrics"
    async with world.session.get(url) as response:
        lines = (await response.text()).splitlines()
    start = f"sesamespindle_{name} "
    return next((line[len(start) :] for line in lines if line.startswith(start)), "")


async def declined(world, daemons):
    """Return how many questions were declined for memory, at all daemons."""
    name = 'keeper_questions_total{result="memory"}'
    return sum([int(await metric(world, daemon, name)) for daemon in daemons])


async def start(world):
    """Return an engine that states its speed, and two daemons that know each other.

    Each daemon has heard the speed.
    """
    engine = await world.add_target("llm-1", "llm")
    engine.signals = {"X-Server-Load": "0,0,8,99"}
    first = await world.add_daemon()
    daemons = first, await world.add_daemon((first.ip,))

    async def know_each_other():
        for daemon in daemons:
            async with world.session.get(daemon.directory_url()) as response:
                if len((await response.json())["Addresses"]) < 2:
                    return False
        return True

    await world.until(know_each_other)
    for number, daemon in enumerate(daemons):
        status, _, _ = await world.ask(daemon, "/chat/1", f"warm-{number}", **SHORT)
        assert status == 200
    return engine, daemons


async def kept_by(world, daemons):
    """Return the daemon that keeps the engine, and the other one."""
    kept = [await metric(world, daemon, "engines_kept") for daemon in daemons]
    assert sorted(kept) == ["0", "1"]
    return daemons if kept[0] == "1" else daemons[::-1]


def test_prompts_of_two_hosts_are_counted_together(play):
    """Guards against two hosts that fill an engine's memory by half each."""

    async def scenario(world):
        engine, daemons = await start(world)
        engine.release.clear()
        engine.began.clear()
        first = asyncio.create_task(world.ask(daemons[0], "/chat/1", "r1", **LONG))
        await engine.began.wait()
        second = asyncio.create_task(world.ask(daemons[1], "/chat/1", "r2", **LONG))

        async def is_declined():
            return await declined(world, daemons) > 0

        await world.until(is_declined)
        ran = [run["x-attempt-id"] for run in engine.runs]
        assert ran == ["warm-0", "warm-1", "r1"]
        engine.release.set()
        assert (await first)[0] == 200
        assert (await second)[0] in (200, 503)

        async def holds_nothing():
            name = "tokens_held_at_kept_engines"
            held = [await metric(world, daemon, name) for daemon in daemons]
            return held == ["0", "0"]

        async def is_logged():
            lines = [line for daemon in daemons for line in daemon.lines()]
            switched_on = sum("load_parts" in line for line in lines)
            sent = [line for line in lines if "Sent to" in line]
            told = any("expected the first token in" in line for line in sent)
            return told and switched_on == 2

        await world.until(holds_nothing)
        await world.until(is_logged)

    play(scenario)


def test_a_killed_keeper_holds_no_prompt_up(play):
    """Guards against prompts that wait for a keeper which has ended."""

    async def scenario(world):
        _, daemons = await start(world)
        status, _, _ = await world.ask(daemons[0], "/chat/1", "r1", **LONG)
        assert status == 200
        keeper, other = await kept_by(world, daemons)
        keeper.send_signal(signal.SIGKILL)
        await keeper.ended()
        hurry = LONG | {"X-Deadline-Ms": "1000"}
        status, _, _ = await world.ask(other, "/chat/1", "r2", **hurry)
        assert status == 200
        name = 'keeper_questions_total{result="unanswered"}'
        assert await metric(world, other, name) == "1"

        numbers = itertools.count(3)

        async def keeps():
            await world.ask(other, "/chat/1", f"r-{next(numbers)}", **LONG)
            return await metric(world, other, "engines_kept") == "1"

        await world.until(keeps)

    play(scenario)
