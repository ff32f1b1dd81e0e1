"""Which requests were under way as targets crashed."""

import dataclasses
import datetime

from sesamespindle.decide import commands, gossip, lives

# How long a run that broke off waits for word that its target's life is over: crashed
# targets are back, and listed, after some seconds.
_CONFIRMED_WITHIN = datetime.timedelta(seconds=6)
# Connections that are tried to find out whether a target's life is over. The second
# is for a target whose connections close before its port does.
_MAX_PROBES = 2
# A run that its caller left so shortly before the crash may have been the cause.
_LEFT_LATELY = datetime.timedelta(seconds=1)
# Hosts that tell each other of a time know it no better than this.
_TOLERANCE = datetime.timedelta(seconds=1)
# Crashes that are remembered, the latest, and for how long: what crashes targets may
# come back after minutes.
MAX_CRASHES = 128
_KEPT_FOR = datetime.timedelta(hours=1)
_REPEATED = 2
# News of a crash is told in so many rounds of gossip, as in `world.VERSION_ROUNDS`.
_TOLD_ROUNDS = 10
# What one message tells at most: crashes and cleared requests, and suspects in all, of
# 18 bytes each. Hosts have 20 KB/s for control.
_MAX_TOLD = 32
_MAX_TOLD_SUSPECTS = 400


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
    rounds : int
        Rounds of gossip in which it is still told.
    """

    life: lives.Life
    service: str
    at: datetime.datetime
    suspects: set[str]
    is_refuted: bool = False
    rounds: int = _TOLD_ROUNDS


@dataclasses.dataclass(slots=True)
class _Served:
    """The latest run of a suspect that ended well."""

    at: datetime.datetime
    rounds: int = _TOLD_ROUNDS


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
    names_return : bool
        Whether targets start again under their names and don't tell their births.
        Their lives are then told apart by how many of them are known to be over.
    """

    def __init__(self, state, names_return=False):
        self._state = state
        self._names_return = names_return
        self._lives_over_by_name = {}
        self.crash_by_life = {}
        self._broken_by_life = {}
        # When callers left runs, by life and fingerprint.
        self._left_by_life = {}
        self._lives_by_fingerprint = {}
        # Fingerprints with two lives or more.
        self._repeated = set()
        self._served_by_fingerprint = {}

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case LifeRefuses():
                self.is_over(event.life)
            case _:
                return False
        return True

    def life_of(self, row):
        """Return the `lives.Life` that a target is in."""
        if not self._names_return:
            return row.life
        return lives.Life(row.name, self._lives_over_by_name.get(row.name, 0))

    def _row_in(self, life):
        """Return the row of a target in a life of it, or None once that is over."""
        row = self._state.targets.get(life.name)
        return row if row is not None and self.life_of(row) == life else None

    def broke(self, fingerprint, life, sent_at, now):
        """Take in a run whose connection broke before its answer was whole."""
        if not fingerprint or self._state.pauses.paused_since(sent_at):
            return
        known = self.crash_by_life.get(life)
        if known is not None:
            self._suspect(known, {fingerprint})
            return
        row = self._row_in(life)
        if row is None or row.leaving or row.missing_since is not None:
            return
        broken = self._broken_by_life.get(life)
        if broken is None:
            broken = _Broken(row.pool, row.url, now)
            self._broken_by_life[life] = broken
            self._probe(life, broken)
        broken.fingerprints.add(fingerprint)

    def left(self, fingerprint, life, now):
        """Take in a run that its caller left, or that was given up here."""
        if fingerprint:
            self._left_by_life.setdefault(life, {})[fingerprint] = now

    def served(self, fingerprint, now):
        """Take in that a run has ended well: what crashed before was not its doing."""
        if fingerprint in self._lives_by_fingerprint:
            self.clear(fingerprint, now)

    def clear(self, fingerprint, at):
        """Have crashes up to a time count no longer for a request.

        Guards against hosts that tell each other of one clearing for ever, each a
        few milliseconds later than the one before: the same time is no news.
        """
        if at - _TOLERANCE > self.cleared_at(fingerprint, at - _KEPT_FOR):
            self._served_by_fingerprint[fingerprint] = _Served(at)
            self._state.tells_crashes = True

    def cleared_at(self, fingerprint, otherwise):
        """Return when a request was last known to do no harm, or another time."""
        served = self._served_by_fingerprint.get(fingerprint)
        return served.at if served is not None else otherwise

    def against(self, fingerprint):
        """Return the crashes that count against a request, in no order."""
        crashes = [
            self.crash_by_life[life]
            for life in self._lives_by_fingerprint.get(fingerprint, ())
        ]
        return [crash for crash in crashes if self._counts(fingerprint, crash)]

    def _counts(self, fingerprint, crash):
        if crash.is_refuted:
            return False
        return crash.at > self.cleared_at(fingerprint, crash.at - _KEPT_FOR)

    def repeated(self):
        """Return the fingerprints that were under way in two crashes or more."""
        return self._repeated

    def crash_of(self, life):
        """Return the `Crash` by which a life is known to be over, or None."""
        crash = self.crash_by_life.get(life)
        return crash if crash is not None and not crash.is_refuted else None

    def has_crashed(self, life):
        """Return whether a life of a target is known to be over."""
        return self.crash_of(life) is not None

    def answered(self, life, sent_at):
        """Take in that a life answered what was sent to it at a time."""
        broken = self._broken_by_life.get(life)
        if broken is not None and sent_at > broken.at:
            del self._broken_by_life[life]
        crash = self.crash_by_life.get(life)
        if crash is None or crash.is_refuted:
            return
        if sent_at > crash.at + _TOLERANCE:
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

    def unsure(self, fingerprint):
        """Return at how many lives it broke off that may or may not be over."""
        return sum(
            fingerprint in broken.fingerprints
            for broken in self._broken_by_life.values()
        )

    def tick(self, now):
        """Look what the list says of lives, ask once more, and forget what is old."""
        self._forget_old(now)
        for life, broken in list(self._broken_by_life.items()):
            row = self._row_in(life)
            if row is None or row.superseded_by:
                self.is_over(life)
            elif row.leaving or now - broken.at > _CONFIRMED_WITHIN:
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

    def _forget_old(self, now):
        """Drop crashes from the first that was recorded on, while they are old."""
        while self.crash_by_life:
            oldest = next(iter(self.crash_by_life.values()))
            if now - oldest.at < _KEPT_FOR:
                break
            self._forget(oldest)
        for fingerprint, served in list(self._served_by_fingerprint.items()):
            if now - served.at >= _KEPT_FOR:
                del self._served_by_fingerprint[fingerprint]

    def _forget(self, crash):
        del self.crash_by_life[crash.life]
        name = crash.life.name
        if all(life.name != name for life in self.crash_by_life):
            self._lives_over_by_name.pop(name, None)
        for fingerprint in crash.suspects:
            found = self._lives_by_fingerprint[fingerprint]
            found.discard(crash.life)
            if len(found) < _REPEATED:
                self._repeated.discard(fingerprint)
            if not found:
                del self._lives_by_fingerprint[fingerprint]

    def _record(self, crash):
        self.crash_by_life[crash.life] = crash
        name, over = crash.life.name, crash.life.born + 1
        self._lives_over_by_name[name] = max(
            over, self._lives_over_by_name.get(name, 0)
        )
        self._index(crash, crash.suspects)
        while len(self.crash_by_life) > MAX_CRASHES:
            self._forget(next(iter(self.crash_by_life.values())))

    def _suspect(self, crash, fingerprints):
        added = fingerprints - crash.suspects
        if added:
            crash.suspects |= added
            self._index(crash, added)

    def _index(self, crash, fingerprints):
        for fingerprint in fingerprints:
            lives_here = self._lives_by_fingerprint.setdefault(fingerprint, set())
            lives_here.add(crash.life)
            if len(lives_here) >= _REPEATED:
                self._repeated.add(fingerprint)
        self._tell(crash)
        self._note(crash, fingerprints)

    def _tell(self, crash):
        crash.rounds = _TOLD_ROUNDS
        self._state.tells_crashes = True

    def _refute(self, crash):
        crash.is_refuted = True
        self._tell(crash)
        self._state.emit(commands.Note("crash_refuted", crash.life.name))

    # What is told to peers and heard from them.

    def told(self, whole):
        """Return the `gossip.TargetCrash` and `gossip.ClearedRequest` records to tell.

        Parameters
        ----------
        whole : bool
            Whether the peer has just started, and is told all that is known.
        """
        crashes = [
            crash for crash in self.crash_by_life.values() if whole or crash.rounds
        ]
        cleared = [
            gossip.ClearedRequest(fingerprint, served.at)
            for fingerprint, served in self._served_by_fingerprint.items()
            if whole or served.rounds
        ]
        told = tuple(self._tell_crashes(crashes[-_MAX_TOLD:]))
        return told, tuple(cleared[-_MAX_TOLD:])

    def _tell_crashes(self, crashes):
        """Yield the records of crashes, latest first, while there is room.

        Suspects of several crashes go first: the cause is one of them.
        """
        room = _MAX_TOLD_SUSPECTS
        for crash in reversed(crashes):
            names = sorted(crash.suspects, key=lambda name: name not in self._repeated)
            names = names[:room]
            room -= len(names)
            if names:
                yield gossip.TargetCrash(
                    crash.life, crash.service, crash.at, tuple(names), crash.is_refuted
                )

    def note_round(self):
        """Count a round of gossip in which what is news was told."""
        for item in (
            *self.crash_by_life.values(),
            *self._served_by_fingerprint.values(),
        ):
            item.rounds = max(0, item.rounds - 1)

    def hear(self, crashes, cleared):
        """Take in what a peer tells; hearing it twice changes nothing."""
        for told in cleared:
            self.clear(told.fingerprint, told.at)
        for told in crashes:
            self._hear_crash(told)

    def _hear_crash(self, told):
        self.is_over(told.life)
        known = self.crash_by_life.get(told.life)
        if known is None:
            known = Crash(told.life, told.service, told.at, set(told.suspects))
            self._record(known)
        else:
            self._suspect(known, set(told.suspects))
        if told.is_refuted and not known.is_refuted:
            self._refute(known)

    def _note(self, crash, fingerprints):
        names = ", ".join(sorted(fingerprints))
        self._state.emit(
            commands.Note(
                "target_crashed",
                crash.life.name,
                f"{len(fingerprints)} requests under way: {names}",
            )
        )
