"""Which weight version of each model is to run, and which targets run it."""

import dataclasses
import datetime

from sesamespindle.decide import commands, placement

# Share of the time allowed for a new version after which nothing is begun on
# an older one. What is left covers the way to the target, and that this host
# learned of the version a little later than it was accepted.
_OLD_ALLOWED_SHARE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class VersionNamed:
    """A weight version of a model is to run everywhere."""

    model: str
    version: int


@dataclasses.dataclass(slots=True)
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
        self._old_allowed_for = in_force_within * _OLD_ALLOWED_SHARE
        self._named_by_model = {}
        self._started_at = None

    def take(self, event, now):
        """Take in a `VersionNamed`; return whether it was one."""
        if not isinstance(event, VersionNamed):
            return False
        known = self._named_by_model.get(event.model)
        if known is None or event.version > known.version:
            self._named_by_model[event.model] = _Named(event.version, now)
            self._state.emit(
                commands.Note("version_named", event.model, str(event.version))
            )
        return True

    def models(self):
        """Return the models of which a version is named."""
        return list(self._named_by_model)

    def named(self, model):
        """Return the version that is to run; 1 until one is named."""
        known = self._named_by_model.get(model)
        return known.version if known is not None else 1

    def is_behind(self, row, model):
        """Return whether a target still runs an older version."""
        return bool(model) and row.version_by_model.get(model, 1) < self.named(model)

    def prefers_newest(self, model, now):
        """Return whether targets with older weights should be avoided."""
        known = self._named_by_model.get(model)
        return known is not None and now - known.at >= placement.OLD_WEIGHTS_FREE_FOR

    def may_begin(self, row, model, now):
        """Return whether a run may begin on what the target runs."""
        if not self.is_behind(row, model):
            return True
        return now - self._named_by_model[model].at < self._old_allowed_for

    def note_other_version(self, row, model):
        """Take in that a target refused the version it was thought to run.

        It has moved on, and the newest named version is the only one that
        anybody moves a target to.
        """
        row.version_by_model[model] = max(
            self.named(model), row.version_by_model.get(model, 1)
        )
