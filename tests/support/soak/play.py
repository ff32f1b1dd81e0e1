"""One seeded soak, from the start of its processes to the checker's result."""

import asyncio
import contextlib
import dataclasses
import random

import standins

from soak import callers, checker, faults, records, world

# Faults come in bursts of up to _MOST_AT_ONCE that overlap. Each begins up to
# _APART_SECONDS after the one before, so that it hits daemons which are still dealing
# with that one.
_MOST_AT_ONCE = 4
_APART_SECONDS = 0.8
# The probability that planned changes precede a burst, and their greatest number.
_PLANNED_SHARE = 0.5
_MOST_PLANNED = 3
# The longest time without faults after a burst, and the time before and after planned
# changes. It is longer than the 3 s of contact after which the bounds apply again.
_QUIET_SECONDS = 4.0
# The time without faults at the end. All requests must succeed after 12 s of it, and
# all engines must run the newest weights after 11 s.
_END_SECONDS = 14.0
# The share of seeds in which weights are announced just before daemons fail, and the
# bounds between which the share of late orders in such a seed is drawn.
_NAMINGS_SHARE = 0.6
_LATE_ORDERS_SHARES = (0.3, 1.0)
_MOST_NAMINGS = 2
# The longest time from an announcement to the faults that follow it.
_AFTER_NAMING_SECONDS = 2.0
# The greatest number of faults after an announcement, or of daemons paused around one.
_MOST_AFTER_NAMING = 3
# The share of these seeds in which weights are also announced while daemons are
# paused, so that these receive the announcement as they resume.
_PAUSES_SHARE = 0.5
_PAUSE_SECONDS = (4.0, 8.0)
# The time without faults after these faults: engines have 8 s for new weights.
_AFTER_FAULTS_SECONDS = 8.0
# For how long a request that crashes engines is repeated, and the pause between two
# of its attempts, each drawn between these bounds.
_CRASHING_SECONDS = (4.0, 9.0)
_CRASHING_PAUSE_SECONDS = (0.02, 0.6)
# The longest time between two restarts of targets under their own names.
_RESTARTS_APART_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The violations that a soak found, its records and the daemons' logs."""

    violations: list
    journal: records.Journal
    log_by_daemon: dict[str, list[str]]


async def play(
    seed, seconds, daemons=4, crowd=16, restarts=True, namings=True, crashes=False
):
    """Run one soak and return its `Outcome`.

    Parameters
    ----------
    seed : int
        Decides what is drawn.
    seconds : float
        How long bursts of faults are started.
    daemons : int
        The number of entry hosts.
    crowd : int
        The number of callers.
    restarts : bool
        Whether targets are also restarted under their own names. These faults have a
        random source of their own, so that the others stay the same without them.
    namings : bool
        Whether, in some seeds, weights are also announced just before daemons fail,
        and targets carry out orders late. These have a random source of their own for
        the same reason.
    crashes : bool
        Whether prompts that crash engines are also sent.
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
    """Inject bursts of faults, with planned changes in undisturbed times between."""
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
    """Restart targets under their own names at random times."""
    source = random.Random(f"restarts {seed}")
    while made.now() < seconds:
        await asyncio.sleep(source.uniform(0, _RESTARTS_APART_SECONDS))
        fault = faults.RestartTarget(source.uniform(0.2, 2))
        await faults.play(fault, made)


async def _crash_engines(made, seed, seconds):
    """Send at least two different prompts that crash engines, one after the other."""
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
    """Announce weights just before daemons fail, while store and links work."""
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
    """Announce weights while some daemons are paused."""
    await asyncio.sleep(_QUIET_SECONDS)
    async with asyncio.TaskGroup() as pauses:
        for _ in range(source.randint(1, _MOST_AFTER_NAMING)):
            fault = faults.PauseDaemon(source.uniform(*_PAUSE_SECONDS))
            pauses.create_task(faults.play(fault, made))
        await asyncio.sleep(source.uniform(0.1, _APART_SECONDS))
        await faults.play(faults.NameWeights(), made)
    await asyncio.sleep(_AFTER_FAULTS_SECONDS)


async def _change_in_calm(made, source):
    """Make overlapping planned changes, without faults; callers must notice none."""
    await asyncio.sleep(_QUIET_SECONDS)
    async with asyncio.TaskGroup() as changes:
        for _ in range(source.randint(1, _MOST_PLANNED)):
            changes.create_task(faults.play(faults.draw_planned(source), made))
            await asyncio.sleep(source.uniform(0, _APART_SECONDS))
    await asyncio.sleep(_QUIET_SECONDS)
