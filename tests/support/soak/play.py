"""One seeded soak, from the start of its processes to the checker's verdict."""

import asyncio
import contextlib
import dataclasses
import random

import standins

from soak import callers, checker, faults, records, world

# Faults come in bursts of up to so many that overlap, each of these some tenths
# of a second after the one before, so that they meet in the middle of things.
_MOST_AT_ONCE = 4
_APART_SECONDS = 0.8
# How often changes follow in calm, and how many at most.
_PLANNED_SHARE = 0.5
_MOST_PLANNED = 3
# The quiet after a burst: long enough for the bounds of calm times to count.
_QUIET_SECONDS = 4.0
# Nothing fails any more for this long at the end: what must recover has 12 s,
# new weights have 11 s.
_END_SECONDS = 14.0
# In how many seeds weights are named just before daemons fail, and orders are late.
_NAMINGS_SHARE = 0.6
_LATE_ORDERS_SHARES = (0.3, 1.0)
_MOST_NAMINGS = 2
# From a naming to the faults that follow it, at most.
_AFTER_NAMING_SECONDS = 2.0
# Some daemons are paused at once, or all end, some tenths of a second apart.
_MOST_AFTER_NAMING = 3
# In how many of these seeds weights are also named while daemons are paused, which
# hear of it as they wake up.
_PAUSES_SHARE = 0.5
_PAUSE_SECONDS = (4.0, 8.0)
# Nothing fails for this long after them: new weights have 8 s.
_AFTER_FAULTS_SECONDS = 8.0
# Requests that crash engines come for so long, one after the other at any daemon.
_CRASHING_SECONDS = (4.0, 9.0)
_CRASHING_PAUSE_SECONDS = (0.02, 0.6)
# Targets start again under their names at most this far apart.
_RESTARTS_APART_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a soak found, and how much it saw."""

    violations: list
    journal: records.Journal
    log_by_daemon: dict[str, list[str]]


async def play(
    seed, seconds, daemons=4, crowd=16, restarts=True, namings=True, crashes=False
):
    """Play one soak and return its `Outcome`.

    Parameters
    ----------
    restarts : bool
        Whether targets also start again under their names. They are drawn apart,
        so that a seed without them plays as it did before there were any.
    namings : bool
        Whether, in some seeds, weights are also named just before daemons fail and
        targets carry orders out late. Drawn apart for the same reason.
    crashes : bool
        Whether requests that crash engines come besides.
    """
    async with contextlib.AsyncExitStack() as stack:
        made = await stack.enter_async_context(world.World(seed, daemons))
        await _until_ready(made)
        made.journal.ready_at = made.now()
        stopped = asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for number in range(crowd):
                near = world.DATA_CENTRES[number % 2]
                source = seed * 1000 + number
                caller = callers.Caller(made, source, number % 3 == 0, near)
                await stack.enter_async_context(caller)
                group.create_task(caller.run(stopped))
            watching = group.create_task(made.watch_ends())
            if restarts:
                group.create_task(_restart_targets(made, seed, seconds))
            source = random.Random(f"namings {seed}")
            named_before_faults = namings and source.random() < _NAMINGS_SHARE
            if named_before_faults:
                made.delay_orders(source.uniform(*_LATE_ORDERS_SHARES))
            crashing = []
            if crashes:
                crashing.append(group.create_task(_crash_engines(made, seed, seconds)))
            await _strike(made, seed, seconds)
            await asyncio.gather(*crashing)
            if named_before_faults:
                await _name_before_faults(made, source)
                if source.random() < _PAUSES_SHARE:
                    await _name_during_pauses(made, source)
                made.delay_orders(0.0)
            made.journal.recovered_at = made.now()
            await asyncio.sleep(_END_SECONDS)
            stopped.set()
            watching.cancel()
        made.note_final_state()
        logs = {item.name: item.lines() for item in made.daemon_by_name.values()}
    return Outcome(checker.check(made.journal), made.journal, logs)


async def _until_ready(made):
    async def ready(daemon):
        status = await standins.status_of(daemon.ready_url())
        return status == 200

    for daemon in made.daemon_by_name.values():
        await standins.until(lambda daemon=daemon: ready(daemon))


async def _strike(made, seed, seconds):
    """Play bursts of faults, with planned changes in the quiet between them."""
    source = random.Random(seed)
    while made.now() < seconds:
        if source.random() < _PLANNED_SHARE:
            await _change_in_calm(made, source)
        async with asyncio.TaskGroup() as burst:
            for _ in range(source.randint(1, _MOST_AT_ONCE)):
                burst.create_task(faults.play(faults.draw(source), made))
                await asyncio.sleep(source.uniform(0, _APART_SECONDS))
        await asyncio.sleep(source.uniform(0, _QUIET_SECONDS))


async def _restart_targets(made, seed, seconds):
    """Have targets start again under their names, now and then."""
    source = random.Random(f"restarts {seed}")
    while made.now() < seconds:
        await asyncio.sleep(source.uniform(0, _RESTARTS_APART_SECONDS))
        fault = faults.RestartTarget(source.uniform(0.2, 2))
        await faults.play(fault, made)


async def _crash_engines(made, seed, seconds):
    """Have one request after the other crash engines, twice or more."""
    source = random.Random(f"crashing {seed}")
    number = 0
    near = world.DATA_CENTRES[0]
    async with callers.Caller(made, seed * 1000 + 999, False, near) as caller:
        while made.now() < seconds or number < 2:
            await asyncio.sleep(source.uniform(0, 2))
            number += 1
            until = made.now() + source.uniform(*_CRASHING_SECONDS)
            while made.now() < until:
                await caller.crash(f"/chat/crashing-{number}")
                await asyncio.sleep(source.uniform(*_CRASHING_PAUSE_SECONDS))


async def _name_before_faults(made, source):
    """Name weights just before daemons fail, while neither store nor links do."""
    for _ in range(source.randint(1, _MOST_NAMINGS)):
        await asyncio.sleep(_QUIET_SECONDS)
        await faults.play(faults.NameWeights(), made)
        await asyncio.sleep(source.uniform(0, _AFTER_NAMING_SECONDS))
        async with asyncio.TaskGroup() as burst:
            for _ in range(source.randint(1, _MOST_AFTER_NAMING)):
                fault = faults.draw_after_naming(source)
                burst.create_task(faults.play(fault, made))
                await asyncio.sleep(source.uniform(0, _APART_SECONDS))
        await asyncio.sleep(_AFTER_FAULTS_SECONDS)


async def _name_during_pauses(made, source):
    await asyncio.sleep(_QUIET_SECONDS)
    async with asyncio.TaskGroup() as pauses:
        for _ in range(source.randint(1, _MOST_AFTER_NAMING)):
            fault = faults.PauseDaemon(source.uniform(*_PAUSE_SECONDS))
            pauses.create_task(faults.play(fault, made))
        await asyncio.sleep(source.uniform(0.1, _APART_SECONDS))
        await faults.play(faults.NameWeights(), made)
    await asyncio.sleep(_AFTER_FAULTS_SECONDS)


async def _change_in_calm(made, source):
    """Play changes that overlap and that nobody should notice, in calm."""
    await asyncio.sleep(_QUIET_SECONDS)
    async with asyncio.TaskGroup() as changes:
        for _ in range(source.randint(1, _MOST_PLANNED)):
            changes.create_task(faults.play(faults.draw_planned(source), made))
            await asyncio.sleep(source.uniform(0, _APART_SECONDS))
    await asyncio.sleep(_QUIET_SECONDS)
