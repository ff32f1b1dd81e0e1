"""One seeded soak, from the start of its processes to the checker's result."""

import asyncio
import contextlib
import dataclasses
import random
import signal

import standins

from soak import callers, checker, faults, records, targets, world

# Faults come in bursts of up to _MAX_BURST that overlap. Each begins up to
# _MAX_INTERVAL_SECONDS after the one before, so that it hits daemons which are still
# dealing with that one.
_MAX_BURST = 4
_MAX_INTERVAL_SECONDS = 0.8
# The probability that planned changes precede a burst, and their greatest number.
_PLANNED_SHARE = 0.5
_MAX_PLANNED = 3
# The longest time without faults after a burst, and the time before and after planned
# changes. It is longer than the 3 s for which a daemon must have been in contact with
# the store before the checker holds it to the platform's time limits again.
_UNDISTURBED_SECONDS = 4.0
# The time without faults at the end. All requests must succeed after 12 s of it, and
# all engines must run the newest weights after 11 s.
_END_SECONDS = 14.0
# The share of seeds in which new weight versions are announced just before daemons
# fail, and the bounds between which the share of late orders in such a seed is drawn.
# A late order to load weights gets no answer, and the engine carries it out later.
_ANNOUNCEMENTS_SHARE = 0.6
_LATE_ORDERS_SHARES = (0.3, 1.0)
_MAX_ANNOUNCEMENTS = 2
# The longest time from an announcement to the faults that follow it.
_AFTER_ANNOUNCEMENT_SECONDS = 2.0
# The greatest number of faults after an announcement, or of daemons paused around one.
_MAX_AFTER_ANNOUNCEMENT = 3
# The share of these seeds in which weights are also announced while daemons are
# paused, so that these receive the announcement as they resume.
_PAUSES_SHARE = 0.5
_PAUSE_SECONDS = (4.0, 8.0)
# The time without faults after those that follow an announcement, and after pauses: the
# platform gives engines 8 s to run an announced weight version.
_AFTER_FAULTS_SECONDS = 8.0
# For how long a request that crashes engines is repeated, and the pause between two
# of its attempts, each drawn between these bounds.
_CRASHING_SECONDS = (4.0, 9.0)
# The same for a part that crashes engines.
_DEADLY_SECONDS = (4.0, 9.0)
_UNDISTURBED_DEADLY_SECONDS = 14.0
_CRASHING_PAUSE_SECONDS = (0.02, 0.6)
# The longest time between two restarts of targets under their own names.
_RESTART_INTERVAL_SECONDS = 4.0

# How often the open connections to the store fall silent, how long after that a change
# follows at most, and for how long daemons are asked which configuration is active.
_SILENCES = 4
_MAX_SECONDS_TO_CHANGE = 3.5
_ASKED_SECONDS = 5.0
# How often the store comes back from an older copy.
_RESTORES = 4
# How often daemons are cut from all targets, and how often targets are frail.
_CUTS = 4
_FRAILTIES = 4
# The share of these beside which daemons are also cut.
_CUT_BESIDE_SHARE = 0.3
# Versions of engines that join, how long each serves beside the others, the share of
# the events inside which their streams break off, and that of versions beside which a
# daemon or an engine ends.
_VERSIONS = 2
_SIDE_BY_SIDE_SECONDS = 3.0
_LONGEST_STREAM_SECONDS = 6.0
_BREAKING_SHARE = 0.03
_ENDING_SHARE = 0.6
# The share of versions beside which all daemons are lost at once.
_ALL_LOST_SHARE = 0.4
# The longest time between two spans in which targets say what they need.
_SIGNAL_INTERVAL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The violations that a soak found, its records and the daemons' logs."""

    violations: list
    journal: records.Journal
    log_by_daemon: dict[str, list[str]]


async def play(
    seed,
    seconds,
    daemons=4,
    caller_count=16,
    restarts=True,
    announcements=True,
    crashes=False,
    signals=False,
    silences=False,
    restores=False,
    cuts=False,
    frailties=False,
    versions=False,
    deadly_parts=False,
):
    """Run one soak and return its `Outcome`.

    Parameters
    ----------
    seed : int
        The seed of all random choices.
    seconds : float
        For how long new bursts of faults are started.
    daemons : int
        The number of entry hosts.
    caller_count : int
        The number of callers.
    restarts : bool
        Whether targets are also restarted under their own names. These faults have a
        random source of their own, so that the others stay the same without them.
    announcements : bool
        Whether, in some seeds, weights are also announced just before daemons fail,
        and targets carry out orders late. These have a random source of their own for
        the same reason.
    crashes : bool
        Whether prompts that crash engines are also sent.
    signals : bool
        Whether targets also say in their answers what they need.
    silences : bool
        Whether, after the bursts of faults, connections to the store also fall silent
        before changes.
    restores : bool
        Whether, after all of these, the store also comes back from older copies.
    cuts : bool
        Whether, after all of these, daemons are also cut from all targets.
    frailties : bool
        Whether, after all of these, targets are also brittle or silent for a second,
        and daemons are cut meanwhile if `cuts` is set.
    versions : bool
        Whether, after all of these, engines of several software versions serve, their
        streams break off in each framing, and callers take them up again.
    deadly_parts : bool
        Whether prompts of which no two are alike are also sent, with a part that
        crashes engines.
    """
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(world.World(seed, daemons))
        await _until_ready(fleet)
        fleet.journal.ready_at = fleet.now()
        stopped, bursts_ended = asyncio.Event(), asyncio.Event()
        async with asyncio.TaskGroup() as group:
            for number in range(caller_count):
                data_centre = world.DATA_CENTRES[number % 2]
                caller_seed = seed * 1000 + number
                caller = callers.Caller(
                    fleet, caller_seed, number % 3 == 0, data_centre
                )
                await stack.enter_async_context(caller)
                group.create_task(caller.run(stopped))
            exit_watch = group.create_task(fleet.watch_exits())
            if restarts:
                group.create_task(_restart_targets(fleet, seed, seconds))
            source = random.Random(f"namings {seed}")
            announces_before_faults = (
                announcements and source.random() < _ANNOUNCEMENTS_SHARE
            )
            if announces_before_faults:
                fleet.delay_orders(source.uniform(*_LATE_ORDERS_SHARES))
            crash_tasks = []
            if crashes:
                crash_tasks.append(
                    group.create_task(_crash_engines(fleet, seed, seconds))
                )
            if deadly_parts:
                task = _crash_engines_by_parts(fleet, seed, seconds, bursts_ended)
                crash_tasks.append(group.create_task(task))
            signal_tasks = []
            if signals:
                signal_tasks.append(
                    group.create_task(_send_signals(fleet, seed, seconds))
                )
            await _inject_bursts(fleet, seed, seconds)
            bursts_ended.set()
            await asyncio.gather(*crash_tasks, *signal_tasks)
            if silences:
                await _change_after_silences(fleet, seed)
            if restores:
                await _change_after_restores(fleet, seed)
            if cuts:
                await _cut_from_targets(fleet, seed)
            if frailties:
                await _be_frail(fleet, seed, cuts)
            if versions:
                await _mix_versions(fleet, seed)
            if announces_before_faults:
                await _announce_before_faults(fleet, source)
                if source.random() < _PAUSES_SHARE:
                    await _announce_during_pauses(fleet, source)
                fleet.delay_orders(0.0)
            fleet.journal.recovered_at = fleet.now()
            await asyncio.sleep(_END_SECONDS)
            stopped.set()
            exit_watch.cancel()
        fleet.record_final_state()
        logs = {item.name: item.lines() for item in fleet.daemon_by_name.values()}
    return Outcome(checker.check(fleet.journal), fleet.journal, logs)


async def _until_ready(fleet):
    for daemon in fleet.daemon_by_name.values():
        await standins.until_ready(daemon)


async def _inject_bursts(fleet, seed, seconds):
    """Inject bursts of faults, with planned changes in undisturbed times between."""
    source = random.Random(seed)
    while fleet.now() < seconds:
        if source.random() < _PLANNED_SHARE:
            await _make_planned_changes(fleet, source)
        async with asyncio.TaskGroup() as burst:
            for _ in range(source.randint(1, _MAX_BURST)):
                burst.create_task(faults.inject(faults.draw(source), fleet))
                await asyncio.sleep(source.uniform(0, _MAX_INTERVAL_SECONDS))
        await asyncio.sleep(source.uniform(0, _UNDISTURBED_SECONDS))


async def _restart_targets(fleet, seed, seconds):
    """Restart targets under their own names at random times."""
    source = random.Random(f"restarts {seed}")
    while fleet.now() < seconds:
        await asyncio.sleep(source.uniform(0, _RESTART_INTERVAL_SECONDS))
        fault = faults.RestartTarget(source.uniform(0.2, 2))
        await faults.inject(fault, fleet)


async def _crash_engines(fleet, seed, seconds):
    """Send at least two different prompts that crash engines, one after the other."""
    source = random.Random(f"crashing {seed}")
    number = 0
    data_centre = world.DATA_CENTRES[0]
    async with callers.Caller(fleet, seed * 1000 + 999, False, data_centre) as caller:
        while fleet.now() < seconds or number < 2:
            await asyncio.sleep(source.uniform(0, 2))
            number += 1
            until = fleet.now() + source.uniform(*_CRASHING_SECONDS)
            while fleet.now() < until:
                await caller.send_crashing_prompt(f"/chat/crashing-{number}")
                await asyncio.sleep(source.uniform(*_CRASHING_PAUSE_SECONDS))


async def _crash_engines_by_parts(fleet, seed, seconds, bursts_ended):
    """Send prompts of which no two are alike, with a part that crashes engines."""
    source = random.Random(f"deadly parts {seed}")
    number = 0
    data_centre = world.DATA_CENTRES[1]
    async with callers.Caller(fleet, seed * 1000 + 996, False, data_centre) as caller:
        while fleet.now() < seconds or number < 1:
            await asyncio.sleep(source.uniform(0, 2))
            number += 1
            until = fleet.now() + source.uniform(*_DEADLY_SECONDS)
            await _send_part(caller, fleet, source, number, until)
        # Daemons have to know a part for sure only while they are undisturbed.
        await bursts_ended.wait()
        await asyncio.sleep(_UNDISTURBED_SECONDS)
        until = fleet.now() + _UNDISTURBED_DEADLY_SECONDS
        await _send_part(caller, fleet, source, number + 1, until)


async def _send_part(caller, fleet, source, number, until):
    while fleet.now() < until:
        await caller.send_deadly_part(f"{targets.DEADLY_PREFIX}{number:02x}")
        await asyncio.sleep(source.uniform(*_CRASHING_PAUSE_SECONDS))


async def _send_signals(fleet, seed, seconds):
    """Have targets say what they need, at random times, beside all other faults."""
    source = random.Random(f"signals {seed}")
    while fleet.now() < seconds:
        await asyncio.sleep(source.uniform(0, _SIGNAL_INTERVAL_SECONDS))
        await faults.inject(faults.draw_signal(source), fleet)


async def _change_after_silences(fleet, seed):
    """Let connections to the store fall silent, and change something after each time.

    All daemons are then asked for the newest configuration, as operators do.
    """
    source = random.Random(f"silences {seed}")
    data_centre = world.DATA_CENTRES[0]
    async with (
        callers.Caller(fleet, seed * 1000 + 998, False, data_centre) as caller,
        asyncio.TaskGroup() as changes,
    ):
        await asyncio.sleep(_UNDISTURBED_SECONDS)
        for _ in range(_SILENCES):
            await faults.inject(faults.draw_silence(source), fleet)
            await asyncio.sleep(source.uniform(0, _MAX_SECONDS_TO_CHANGE))
            change = faults.draw_followed_change(source)
            changes.create_task(faults.inject(change, fleet))
            await caller.ask_all_daemons(fleet.now() + _ASKED_SECONDS)


async def _change_after_restores(fleet, seed):
    """Let the store come back older, beside faults of daemons, and change something.

    All daemons are then asked for the newest configuration, as operators do.
    """
    source = random.Random(f"restores {seed}")
    data_centre = world.DATA_CENTRES[0]
    async with (
        callers.Caller(fleet, seed * 1000 + 997, False, data_centre) as caller,
        asyncio.TaskGroup() as changes,
    ):
        await asyncio.sleep(_UNDISTURBED_SECONDS)
        for _ in range(_RESTORES):
            beside = faults.draw_beside_restore(source)
            restore = asyncio.create_task(
                faults.inject(faults.draw_restore(source), fleet)
            )
            await asyncio.sleep(source.uniform(0, _MAX_INTERVAL_SECONDS))
            if beside is not None:
                changes.create_task(faults.inject(beside, fleet))
            await restore
            await asyncio.sleep(source.uniform(0, _MAX_SECONDS_TO_CHANGE))
            change = faults.draw_followed_change(source)
            changes.create_task(faults.inject(change, fleet))
            await caller.ask_all_daemons(fleet.now() + _ASKED_SECONDS)


async def _cut_from_targets(fleet, seed):
    """Cut daemons from all targets, beside other faults and changes."""
    source = random.Random(f"cuts {seed}")
    await asyncio.sleep(_UNDISTURBED_SECONDS)
    async with asyncio.TaskGroup() as others:
        for _ in range(_CUTS):
            cut = asyncio.create_task(faults.inject(faults.draw_cut(source), fleet))
            await asyncio.sleep(source.uniform(0, _MAX_INTERVAL_SECONDS))
            beside = faults.draw_beside_cut(source)
            if beside is not None:
                others.create_task(faults.inject(beside, fleet))
            await cut
            await asyncio.sleep(source.uniform(0, _UNDISTURBED_SECONDS))


async def _be_frail(fleet, seed, cuts):
    """Let targets be brittle or silent for a second, beside cuts of daemons."""
    source = random.Random(f"frailties {seed}")
    await asyncio.sleep(_UNDISTURBED_SECONDS)
    for _ in range(_FRAILTIES):
        async with asyncio.TaskGroup() as overlapping:
            for _ in range(source.randint(1, 2)):
                fault = faults.draw_frailty(source)
                overlapping.create_task(faults.inject(fault, fleet))
            if cuts and source.random() < _CUT_BESIDE_SHARE:
                await asyncio.sleep(source.uniform(0, 2 * _MAX_INTERVAL_SECONDS))
                fault = faults.draw_cut(source)
                overlapping.create_task(faults.inject(fault, fleet))
        await asyncio.sleep(source.uniform(0, _UNDISTURBED_SECONDS))


async def _mix_versions(fleet, seed):
    """Start engines of further versions while streams break off and daemons end."""
    source = random.Random(f"versions {seed}")
    losses = random.Random(f"losses beside versions {seed}")
    await asyncio.sleep(_UNDISTURBED_SECONDS)
    fleet.takes_up = True
    for number in range(_VERSIONS):
        fleet.software = f"v{number + 2}"
        await asyncio.gather(*(fleet.add_target("llm") for _ in range(2)))
        if losses.random() < _ALL_LOST_SHARE:
            await asyncio.sleep(losses.uniform(0, _SIDE_BY_SIDE_SECONDS))
            await faults.inject(faults.KillAllDaemons(losses.uniform(0, 1)), fleet)
        engines = [item for item in fleet.target_by_name.values() if item.is_engine]
        for place, engine in enumerate(engines):
            engine.breaking_share = _BREAKING_SHARE
            engine.is_unframed = place % 2 == 0
        await asyncio.sleep(_SIDE_BY_SIDE_SECONDS)
        if source.random() < _ENDING_SHARE:
            await faults.inject(faults.EndDaemon(signal.SIGKILL, 1.0), fleet)
        if source.random() < _ENDING_SHARE:
            # An engine comes back under its name with another version. Its broken
            # streams have chunks, as their end couldn't be told from a whole one's.
            engine = source.choice(engines)
            engine.is_unframed = False
            await asyncio.sleep(_LONGEST_STREAM_SECONDS)
            engine.software = fleet.software
            await fleet.restart_target(engine, 1.0)
        await asyncio.sleep(_SIDE_BY_SIDE_SECONDS)
    fleet.takes_up = False
    for engine in fleet.target_by_name.values():
        engine.breaking_share, engine.is_unframed = 0.0, False
    await asyncio.sleep(_UNDISTURBED_SECONDS)


async def _announce_before_faults(fleet, source):
    """Announce weights just before daemons fail, while store and links work."""
    for _ in range(source.randint(1, _MAX_ANNOUNCEMENTS)):
        await asyncio.sleep(_UNDISTURBED_SECONDS)
        await faults.inject(faults.AnnounceWeights(), fleet)
        await asyncio.sleep(source.uniform(0, _AFTER_ANNOUNCEMENT_SECONDS))
        async with asyncio.TaskGroup() as burst:
            for _ in range(source.randint(1, _MAX_AFTER_ANNOUNCEMENT)):
                fault = faults.draw_after_announcement(source)
                burst.create_task(faults.inject(fault, fleet))
                await asyncio.sleep(source.uniform(0, _MAX_INTERVAL_SECONDS))
        await asyncio.sleep(_AFTER_FAULTS_SECONDS)


async def _announce_during_pauses(fleet, source):
    """Announce weights while some daemons are paused."""
    await asyncio.sleep(_UNDISTURBED_SECONDS)
    async with asyncio.TaskGroup() as pauses:
        for _ in range(source.randint(1, _MAX_AFTER_ANNOUNCEMENT)):
            fault = faults.PauseDaemon(source.uniform(*_PAUSE_SECONDS))
            pauses.create_task(faults.inject(fault, fleet))
        await asyncio.sleep(source.uniform(0.1, _MAX_INTERVAL_SECONDS))
        await faults.inject(faults.AnnounceWeights(), fleet)
    await asyncio.sleep(_AFTER_FAULTS_SECONDS)


async def _make_planned_changes(fleet, source):
    """Make overlapping planned changes, without faults; callers must notice none."""
    await asyncio.sleep(_UNDISTURBED_SECONDS)
    async with asyncio.TaskGroup() as changes:
        for _ in range(source.randint(1, _MAX_PLANNED)):
            changes.create_task(faults.inject(faults.draw_planned(source), fleet))
            await asyncio.sleep(source.uniform(0, _MAX_INTERVAL_SECONDS))
    await asyncio.sleep(_UNDISTURBED_SECONDS)
