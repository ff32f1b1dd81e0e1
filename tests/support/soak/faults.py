"""The faults of a soak: how they are drawn, injected and ended."""

import asyncio
import contextlib
import dataclasses
import signal

from sesamespindle.lab import proxy
from soak import records

_Area = records.Area


@dataclasses.dataclass(frozen=True, slots=True)
class EndDaemon:
    """A daemon gets a signal and is started again after it has exited.

    Attributes
    ----------
    pause : float
        Seconds from its exit to its new start, as in the other faults.
    """

    number: signal.Signals
    pause: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopInTurn:
    """Daemons get SIGTERM one data centre after the other, and are started again.

    Attributes
    ----------
    count : int
        The number of daemons, over all data centres.
    apart : float
        Seconds from one daemon's SIGTERM to the next.
    between : float
        Additional seconds before the first daemon of another data centre.
    """

    count: int
    apart: float
    between: float
    pause: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndAll:
    """All daemons are killed at once, as by a loss of power."""

    pause: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDaemon:
    """A daemon's process is suspended by SIGSTOP for some seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadDaemon:
    """A daemon gets SIGHUP and reloads its settings."""


@dataclasses.dataclass(frozen=True, slots=True)
class HarmLink:
    """A link is disturbed: that of a daemon to the store, or of all to a target.

    Attributes
    ----------
    delay : float
        Seconds by which the link delays each chunk of data.
    """

    area: records.Area
    mode: proxy.Mode
    delay: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CutLink:
    """All connections of a link break at once."""

    area: records.Area


@dataclasses.dataclass(frozen=True, slots=True)
class HarmStore:
    """The store fails for all: one attribute of `standins.Store` is set for a while."""

    attribute: str
    value: object
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ForgetHistory:
    """The store drops its history of changes, so that watches have to list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashTarget:
    """A target crashes, and later a different target has its address."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestartTarget:
    """A target crashes, and starts again under its name with no work in flight."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoseAnswers:
    """A target breaks the connection during a share of its answers."""

    share: float
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerTwice:
    """A target of the plain service sends an unrequested second answer after each."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTarget:
    """A target is drained and leaves."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """The operator writes a new version of the configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class NameWeights:
    """A new weight version is announced."""


def draw(source):
    """Return a fault drawn from a seeded `random.Random`."""
    seconds = source.uniform(0.3, 4.0)
    modes = [mode for mode in proxy.Mode if mode is not proxy.Mode.PASS]
    area = source.choice((_Area.STORE, _Area.TARGET))
    makers = (
        lambda: EndDaemon(signal.SIGTERM, source.uniform(0, 1)),
        lambda: EndDaemon(signal.SIGKILL, source.uniform(0, 2)),
        lambda: EndAll(source.uniform(0, 1.5)),
        lambda: PauseDaemon(seconds),
        ReloadDaemon,
        lambda: HarmLink(area, source.choice(modes), 0.0, seconds),
        lambda: HarmLink(area, proxy.Mode.PASS, source.uniform(0.01, 0.5), seconds),
        lambda: CutLink(area),
        lambda: HarmStore("is_away", True, seconds),
        lambda: HarmStore("loses_answers", True, seconds),
        lambda: HarmStore("delay_seconds", source.uniform(0.1, 0.6), seconds),
        lambda: HarmStore("speaks_nonsense", True, seconds / 2),
        lambda: HarmStore("is_stale", True, 2 * seconds),
        ForgetHistory,
        lambda: CrashTarget(source.uniform(0.5, 3)),
        lambda: LoseAnswers(source.uniform(0.02, 0.3), seconds),
        lambda: AnswerTwice(seconds),
        *_plan(source),
    )
    return source.choice(makers)()


def draw_planned(source):
    """Return a drawn planned change, which callers must not notice."""
    return source.choice(_plan(source))()


def draw_after_naming(source):
    """Return a drawn fault that makes daemons miss the announcement of a version."""
    makers = (
        lambda: EndAll(source.uniform(0.5, 5)),
        lambda: PauseDaemon(source.uniform(3, 8)),
        lambda: StopInTurn(4, source.uniform(0, 1.5), source.uniform(0, 4), 0.5),
    )
    return source.choice(makers)()


def _plan(source):
    def stop_in_turn():
        apart, pause = source.uniform(0, 1.5), source.uniform(0, 1)
        # The next data centre stops either while the daemons of the first one leave or
        # after they are back.
        between = source.choice((source.uniform(0, 4), source.uniform(10, 16)))
        return StopInTurn(source.randint(2, 4), apart, between, pause)

    return (
        stop_in_turn,
        stop_in_turn,
        DrainTarget,
        ChangeConfiguration,
        ChangeConfiguration,
        NameWeights,
        lambda: EndDaemon(signal.SIGTERM, source.uniform(0, 1)),
    )


async def play(fault, world):
    """Inject a fault, and return after it has ended."""
    match fault:
        case EndDaemon():
            await _end(world, _any_daemon(world), fault.number, fault.pause)
        case StopInTurn():
            await _stop_in_turn(fault, world)
        case EndAll():
            with _noted(world, "end all", _Area.DAEMON):
                await asyncio.gather(
                    *(
                        world.end_daemon(daemon, signal.SIGKILL, fault.pause)
                        for daemon in world.daemon_by_name.values()
                    )
                )
        case PauseDaemon():
            await _pause(world, _any_daemon(world), fault.seconds)
        case ReloadDaemon():
            daemon = _any_daemon(world)
            with _noted(world, "reload", _Area.DAEMON, daemon.name, planned=True):
                daemon.send_signal(signal.SIGHUP)
        case HarmLink():
            await _harm_link(fault, world)
        case CutLink():
            subject, link = _any_link(world, fault.area)
            with _noted(world, "cut link", fault.area, subject):
                await link.apply({"cut": True})
        case HarmStore():
            await _harm_store(fault, world.store, world)
        case ForgetHistory():
            with _noted(world, "forget history", _Area.STORE):
                world.store.forget_history()
        case _:
            await _play_at_targets(fault, world)


async def _stop_in_turn(fault, world):
    daemons = list(world.daemon_by_name.values())
    world.random.shuffle(daemons)
    first = daemons[0].data_centre
    daemons.sort(key=lambda daemon: daemon.data_centre != first)
    async with asyncio.TaskGroup() as stops:
        for daemon in daemons[: fault.count]:
            if daemon.data_centre != first:
                first = daemon.data_centre
                await asyncio.sleep(fault.between)
            stops.create_task(_end(world, daemon, signal.SIGTERM, fault.pause))
            await asyncio.sleep(fault.apart)


async def _end(world, daemon, number, pause):
    planned = number is signal.SIGTERM
    with _noted(world, number.name, _Area.DAEMON, daemon.name, planned):
        await world.end_daemon(daemon, number, pause)


async def _play_at_targets(fault, world):
    target = world.random.choice(list(world.target_by_name.values()))
    match fault:
        case CrashTarget():
            with _noted(world, "crash", _Area.TARGET, target.name):
                await world.crash_target(target, fault.seconds)
        case RestartTarget():
            with _noted(world, "restart", _Area.TARGET, target.name):
                await world.restart_target(target, fault.seconds)
        case LoseAnswers():
            with _noted(world, "lose answers", _Area.TARGET, target.name):
                target.answers_lost_share = fault.share
                await asyncio.sleep(fault.seconds)
                target.answers_lost_share = 0.0
        case AnswerTwice():
            with _noted(world, "answer twice", _Area.TARGET, target.name):
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra"
                target.second_answer = answer
                await asyncio.sleep(fault.seconds)
                target.second_answer = b""
        case DrainTarget():
            await world.drain_target(target)
        case ChangeConfiguration():
            await world.change_configuration()
        case NameWeights():
            await world.name_weights(world.weights + 1)


async def _pause(world, daemon, seconds):
    with _noted(world, "pause", _Area.DAEMON, daemon.name):
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        daemon.send_signal(signal.SIGCONT)


async def _harm_store(fault, store, world):
    """Set an attribute of the store for a while, unless it is already set.

    Guards against two overlapping faults of one kind: each would restore the value
    that it found, so that the second would leave the store failing for good. The
    guard holds because a fault that finds the attribute set does nothing.
    """
    usual = getattr(store, fault.attribute)
    if usual:
        return
    with _noted(world, fault.attribute, _Area.STORE):
        setattr(store, fault.attribute, fault.value)
        await asyncio.sleep(fault.seconds)
        setattr(store, fault.attribute, usual)


async def _harm_link(fault, world):
    subject, link = _any_link(world, fault.area)
    what = f"link {fault.mode.value}, delay {fault.delay:.2f}"
    with _noted(world, what, fault.area, subject):
        await link.apply({"mode": fault.mode, "delay": fault.delay})
        await asyncio.sleep(fault.seconds)
        await link.apply({"mode": proxy.Mode.PASS, "delay": 0.0, "cut": True})


def _any_daemon(world):
    return world.random.choice(list(world.daemon_by_name.values()))


def _any_link(world, area):
    links = world.link_by_daemon if area is _Area.STORE else world.link_by_target
    return world.random.choice(list(links.items()))


@contextlib.contextmanager
def _noted(world, what, area, subject="", planned=False):
    """Record a fault with the times at which the block begins and ends."""
    fault = records.Fault(what, area, subject, world.now(), planned=planned)
    world.journal.faults.append(fault)
    try:
        yield
    finally:
        fault.ended = world.now()
