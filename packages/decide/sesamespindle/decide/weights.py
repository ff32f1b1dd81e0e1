"""Which weight version of each model is to run, and which targets run it."""

import dataclasses
import datetime

from sesamespindle.decide import commands, namings

# Share of the time allowed for a new version after which nothing is begun on
# an older one. What is left covers the way to the target, and that this host
# learned of the version a little later than it was accepted.
_OLD_ALLOWED_SHARE = 0.8
# Share of that time after which a run that still waits at a target is taken back.
# What is left, 0.8 s of 8 s, covers a tick of 0.1 s, the way of the close to the
# target, and that this host learned of the version a little late.
_BEGUN_SHARE = 0.9
# For this long after newer weights are named a run on the older ones is worth
# as much; the users count 1.5 s from when the name was accepted.
_FREE_FOR = datetime.timedelta(seconds=1.3)
# What such a run loses at once after that. It loses all of its worth at the
# end of the time allowed.
_FIRST_LOSS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNamed:
    """A weight version of a model has just been named, and is to run everywhere."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionFound:
    """A version was found that is named already.

    Attributes
    ----------
    not_named_at : datetime.datetime or None
        The latest time at which it is known not to have been named; None if it may
        have been named at any time.
    """

    model: str
    version: int
    not_named_at: datetime.datetime | None


@dataclasses.dataclass(frozen=True, slots=True)
class Replacement:
    """What replaced a version first.

    Attributes
    ----------
    version : int
        The newer version.
    at : datetime.datetime or None
        When it was named; None if it may have been at any time.
    send_until : datetime.datetime
        When runs on the version that it replaced are sent no more.
    begun_by : datetime.datetime
        When they must have begun.
    """

    version: int
    at: datetime.datetime | None
    send_until: datetime.datetime
    begun_by: datetime.datetime

    def describe_age(self, now):
        """Return how long ago it was named, for the log."""
        if self.at is None:
            return "an unknown time"
        return f"{(now - self.at) / datetime.timedelta(milliseconds=1):.0f} ms"


class Weights:
    """Keeps the named versions; they only rise.

    Guards against replaced weights that are young again for a host which missed the
    naming: after a start or a pause it took versions for named when it read of them,
    and sent prompts to weights that had been replaced 11 s before, where 8 s are
    allowed. So a version's age counts from when a host heard it named, which peers
    tell each other, and otherwise from a time before.

    Parameters
    ----------
    state : world.World
        The shared tables.
    in_force_within : datetime.timedelta
        Time after which no run may begin on an older version.
    contact_time : datetime.timedelta
        How long a host that has started isn't held to such times.
    """

    def __init__(self, state, in_force_within, contact_time):
        self._state = state
        self._in_force_within = in_force_within
        self._contact_time = contact_time

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
        match event:
            case VersionNamed(model, version):
                replaces = self._before(model, version)
                self._learn(namings.Naming(model, version, replaces, now, True), now)
            case VersionFound(model, version, not_named_at):
                replaces = 0 if not_named_at is None else self._before(model, version)
                self._learn(
                    namings.Naming(model, version, replaces, not_named_at, False), now
                )
            case _:
                return False
        return True

    def hear(self, told, now):
        """Take in the `namings.Naming` records of a peer."""
        for naming in told:
            self._learn(naming, now)

    def tick(self, now):
        """Tell peers no longer of versions whose time is over."""
        told_for = self._in_force_within + self._contact_time
        self._state.namings.tell_after(now - told_for)

    def models(self):
        """Return the models of which a version is named."""
        return self._state.namings.models()

    def named(self, model):
        """Return the version that is to run; 1 until one is named."""
        return self._state.namings.newest(model)

    def running(self, row, model):
        """Return the version that a target is thought to run."""
        return row.guessed_version or row.version_by_model.get(model, 1)

    def is_behind(self, row, model):
        """Return whether a target still runs an older version."""
        return bool(model) and self.running(row, model) < self.named(model)

    def loss(self, row, model, now):
        """Return the share of a run's worth that a target's old weights cost."""
        replaced = self.replacement(self.running(row, model), model)
        if replaced is None:
            return 0.0
        if replaced.at is None:
            return 1.0
        age = now - replaced.at
        if age < _FREE_FOR:
            return 0.0
        part = (age - _FREE_FOR) / (self._in_force_within - _FREE_FOR)
        return min(1.0, _FIRST_LOSS + (1.0 - _FIRST_LOSS) * part)

    def may_begin(self, row, model, now):
        """Return whether a run may begin on what the target runs."""
        replaced = self.replacement(self.running(row, model), model)
        return replaced is None or now < replaced.send_until

    def replacement(self, version, model):
        """Return the `Replacement` of a version, or None while it is the newest.

        When it was replaced is unknown also where a version was named in between
        that this host knows nothing of. Where nobody can tell, because all hosts
        have started again, older weights are used as long as a host that has
        started isn't held to bounds: targets are brought to the new ones meanwhile,
        and callers would otherwise all be refused.
        """
        naming = self._state.namings.first_above(model, version)
        if naming is None:
            return None
        at, allowed = naming.at, self._in_force_within
        if not 0 < naming.replaces <= version:
            at = None
        since = at
        if at is None:
            since, allowed = self._state.pauses.started_at, self._contact_time
        return Replacement(
            naming.version,
            at,
            since + allowed * _OLD_ALLOWED_SHARE,
            since + allowed * _BEGUN_SHARE,
        )

    def note_refused(self, row, model, refused):
        """Take in that a target runs another version than was expected.

        Its answer doesn't say which. It can only have moved on, so the next
        one is tried, and the versions are gone through again from the one that
        was last seen for sure.
        """
        if refused < self.named(model):
            row.guessed_version = refused + 1
        else:
            row.guessed_version = None

    def _before(self, model, version):
        """Return the version that was in force when one was named.

        Guards against a version that seems to have replaced itself where a host
        reads of it twice, by a peer and by its own watch: all hosts would then take
        older weights for too old at once, and refuse what they could serve (in a
        model of 12 hosts and a slow store, in 5 of 24 random plays).
        """
        return self._state.namings.newest_below(model, version)

    def _learn(self, naming, now):
        known = self._state.namings.get(naming.model, naming.version)
        learned = self._state.namings.learn(naming)
        if known is None or known.is_sure != learned.is_sure:
            detail = f"{learned.version}, {_describe_age(learned, now)}"
            self._state.emit(commands.Note("version_named", learned.model, detail))


def _describe_age(naming, now):
    """Return how long ago a version was named, for the log."""
    if naming.at is None:
        return "named at a time that isn't known"
    seconds = (now - naming.at).total_seconds()
    return f"named {'' if naming.is_sure else 'at most '}{seconds:.1f} s ago"
