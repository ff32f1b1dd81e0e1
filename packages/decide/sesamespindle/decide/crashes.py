"""Which requests were under way as targets crashed."""

import dataclasses
import datetime

from sesamespindle.decide import commands, lives

# How long a run that broke off waits for word that its target's life is over: crashed
# targets are back, and listed, after some seconds.
_CONFIRMED_WITHIN = datetime.timedelta(seconds=6)
# Connections that are tried to find out whether a target's life is over. The second
# is for a target whose connections close before its port does.
_MAX_PROBES = 2
# A run that its caller left so shortly before the crash may have been the cause.
_LEFT_LATELY = datetime.timedelta(seconds=1)
# An answer refutes a crash if it was asked for so long after it; hosts that tell each
# other of a crash know its time no better.
_REFUTED_AFTER = datetime.timedelta(seconds=1)
# Crashes that are remembered, the latest.
MAX_CRASHES = 256


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeLife:
    """Find out whether a life of a target still accepts connections."""

    life: lives.Life
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class LifeRefuses:
    """Nobody listens at the address of a life of a target."""

    life: lives.Life


@dataclasses.dataclass(slots=True)
class Crash:
    """A life of a target that ended with requests under way.

    Attributes
    ----------
    suspects : set of str
        The fingerprints of these requests, here and on the hosts that told of theirs.
    is_refuted : bool
        Whether the life was seen to go on after all.
    """

    life: lives.Life
    service: str
    at: datetime.datetime
    suspects: set[str]
    is_refuted: bool = False


@dataclasses.dataclass(slots=True)
class _Broken:
    """Runs that broke off at a life that may be over."""

    service: str
    address: str
    at: datetime.datetime
    fingerprints: set[str] = dataclasses.field(default_factory=set)
    probes: int = 0


class Crashes:
    """Tells crashes from links that broke, and remembers what ran there.

    A crash is a connection that broke with a run under way, and the end of the life
    that it led to: it accepts no connections any more, another life is at its address,
    or the list has another in its place. What drains, is taken off the list, or broke
    off while this host was paused, is none.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self.crash_by_life = {}
        self._broken_by_life = {}
        # When callers left runs, by life and fingerprint.
        self._left_by_life = {}

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case LifeRefuses():
                self.is_over(event.life)
            case _:
                return False
        return True

    def broke(self, fingerprint, life, sent_at, now):
        """Take in a run whose connection broke before its answer was whole."""
        if not fingerprint or self._state.pauses.paused_since(sent_at):
            return
        known = self.crash_by_life.get(life)
        if known is not None:
            self._suspect(known, {fingerprint})
            return
        row = self._state.target_in(life)
        if row is None or row.leaving or row.missing_since is not None:
            return
        broken = self._broken_by_life.get(life)
        if broken is None:
            broken = _Broken(row.pool, row.url, now)
            self._broken_by_life[life] = broken
            self._probe(life, broken)
        broken.fingerprints.add(fingerprint)

    def left(self, fingerprint, life, now):
        """Take in a run that its caller left."""
        if fingerprint:
            self._left_by_life.setdefault(life, {})[fingerprint] = now

    def answered(self, life, sent_at):
        """Take in that a life answered what was sent to it at a time."""
        broken = self._broken_by_life.get(life)
        if broken is not None and sent_at > broken.at:
            del self._broken_by_life[life]
        crash = self.crash_by_life.get(life)
        if crash is None or crash.is_refuted:
            return
        if sent_at > crash.at + _REFUTED_AFTER:
            self._refute(crash)

    def is_over(self, life):
        """Take in that a life of a target is over."""
        broken = self._broken_by_life.pop(life, None)
        if broken is None:
            return
        left = self._left_by_life.pop(life, {})
        suspects = broken.fingerprints | {
            fingerprint
            for fingerprint, at in left.items()
            if broken.at - at <= _LEFT_LATELY
        }
        self._record(Crash(life, broken.service, broken.at, suspects))

    def is_suspected(self, fingerprint):
        """Return whether a run broke off at a life of which it isn't known yet."""
        return any(
            fingerprint in broken.fingerprints
            for broken in self._broken_by_life.values()
        )

    def tick(self, now):
        """Look what the list says of lives, ask once more, and forget what is old."""
        for life, broken in list(self._broken_by_life.items()):
            row = self._state.targets.get(life.name)
            if row is not None and row.life == life and row.leaving:
                del self._broken_by_life[life]
            elif row is None or row.life != life or row.superseded_by:
                self.is_over(life)
            elif now - broken.at > _CONFIRMED_WITHIN:
                del self._broken_by_life[life]
            else:
                self._probe(life, broken)
        self._left_by_life = {
            life: at_by_fingerprint
            for life, at_by_fingerprint in self._left_by_life.items()
            if now - max(at_by_fingerprint.values()) <= _LEFT_LATELY
        }

    def _probe(self, life, broken):
        if broken.probes < _MAX_PROBES:
            broken.probes += 1
            self._state.emit(ProbeLife(life, broken.address))

    def _record(self, crash):
        self.crash_by_life[crash.life] = crash
        while len(self.crash_by_life) > MAX_CRASHES:
            del self.crash_by_life[next(iter(self.crash_by_life))]
        self._note(crash, crash.suspects)

    def _suspect(self, crash, fingerprints):
        added = fingerprints - crash.suspects
        if added and not crash.is_refuted:
            crash.suspects |= added
            self._note(crash, added)

    def _refute(self, crash):
        crash.is_refuted = True
        self._state.emit(commands.Note("crash_refuted", crash.life.name))

    def _note(self, crash, fingerprints):
        names = ", ".join(sorted(fingerprints))
        self._state.emit(
            commands.Note(
                "target_crashed",
                crash.life.name,
                f"{len(fingerprints)} requests under way: {names}",
            )
        )
