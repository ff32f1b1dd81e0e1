"""Which weight version of each model is to run, and which targets run it."""

import dataclasses
import datetime

from sesamespindle.decide import commands

# Share of the time allowed for a new version after which nothing is begun on
# an older one. What is left covers the way to the target, and that this host
# learned of the version a little later than it was accepted.
_OLD_ALLOWED_SHARE = 0.8
# For this long after newer weights are named a run on the older ones is worth
# as much; the users count 1.5 s from when the name was accepted.
_FREE_FOR = datetime.timedelta(seconds=1.3)
# What such a run loses at once after that. It loses all of its worth at the
# end of the time allowed.
_FIRST_LOSS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNamed:
    """A weight version of a model is to run everywhere."""

    model: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Named:
    version: int
    at: datetime.datetime


class Weights:
    """Keeps the named versions; they only rise.

    Parameters
    ----------
    state : world.World
        The shared tables.
    in_force_within : datetime.timedelta
        Time after which no run may begin on an older version.
    """

    def __init__(self, state, in_force_within):
        self._state = state
        self._in_force_within = in_force_within
        # Oldest first: each version has its own time from its own naming.
        self._named_by_model = {}

    def take(self, event, now):
        """Take in a `VersionNamed`; return whether it was one."""
        if not isinstance(event, VersionNamed):
            return False
        if event.version > self.named(event.model):
            named = self._named_by_model.setdefault(event.model, [])
            named.append(_Named(event.version, now))
            self._state.emit(
                commands.Note("version_named", event.model, str(event.version))
            )
        return True

    def models(self):
        """Return the models of which a version is named."""
        return list(self._named_by_model)

    def named(self, model):
        """Return the version that is to run; 1 until one is named."""
        named = self._named_by_model.get(model)
        return named[-1].version if named else 1

    def running(self, row, model):
        """Return the version that a target is thought to run."""
        return row.guessed_version or row.version_by_model.get(model, 1)

    def is_behind(self, row, model):
        """Return whether a target still runs an older version."""
        return bool(model) and self.running(row, model) < self.named(model)

    def loss(self, row, model, now):
        """Return the share of a run's worth that a target's old weights cost."""
        age = self._old_for(row, model, now)
        if age < _FREE_FOR:
            return 0.0
        part = (age - _FREE_FOR) / (self._in_force_within - _FREE_FOR)
        return min(1.0, _FIRST_LOSS + (1.0 - _FIRST_LOSS) * part)

    def may_begin(self, row, model, now):
        """Return whether a run may begin on what the target runs."""
        allowed = self._in_force_within * _OLD_ALLOWED_SHARE
        return self._old_for(row, model, now) < allowed

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

    def _old_for(self, row, model, now):
        """Return how long a target's version has been replaced."""
        running = self.running(row, model)
        for named in self._named_by_model.get(model, ()):
            if named.version > running:
                return now - named.at
        return datetime.timedelta(0)
