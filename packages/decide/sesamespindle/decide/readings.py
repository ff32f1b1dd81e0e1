"""What a host's readings of the platform tell of how old their news is."""

import dataclasses
import datetime

from sesamespindle.decide import weights

# A watch that is answered after this long had nothing to tell when it began, so
# what it tells has just happened. The platform tells at once of what was there
# before: in 4 ms, and in a quarter of a second while it is slow.
_PUSHED_AFTER = datetime.timedelta(seconds=0.5)
# What was not there this long ago has just happened: it is less than the part of
# the time for new weights that is left once nothing is begun on older ones.
_JUST_NOW = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What is known of the news in an answer of the platform, or of a peer.

    Attributes
    ----------
    source : str
        Who answered what, for the log.
    above : int
        The revision up to which everything was known before.
    not_there_at : datetime.datetime or None
        The latest time at which the news is known not to have been there.
    is_just_now : bool
        Whether that is so short ago that the news counts as of now.
    """

    source: str
    above: int = -1
    not_there_at: datetime.datetime | None = None
    is_just_now: bool = False

    def event_of(self, model, version):
        """Return the event of a named version that was read."""
        if self.is_just_now:
            return weights.VersionNamed(model, version)
        return weights.VersionFound(model, version, self.not_there_at)


FROM_PEER = Reading("a peer")


class Readings:
    """Remembers when each kind of object was last read from the platform.

    Guards against news that lay here while the process was paused, or was there
    before it started, and would be taken for new: it may be as old as the last
    reading, or of any age.

    Parameters
    ----------
    pauses : sesamespindle.decide.pauses.Pauses
        When this process didn't run.
    """

    def __init__(self, pauses):
        self._pauses = pauses
        self._last_by_kind = {}

    def listed(self, kind, revision, began, now):
        """Return the `Reading` of a whole list, which was asked for at `began`."""
        reading = self._reading(kind, "a listing", now)
        self._last_by_kind[kind] = began, revision
        return reading

    def watched(self, kind, revision, began, now):
        """Return the `Reading` of a watch's answer."""
        pushed = now - began >= _PUSHED_AFTER and not self._pauses.paused_since(began)
        reading = self._reading(kind, "a watch", now)
        if pushed:
            reading = dataclasses.replace(reading, not_there_at=now, is_just_now=True)
        self._last_by_kind[kind] = now if pushed else began, revision
        return reading

    def _reading(self, kind, source, now):
        read_at, above = self._last_by_kind.get(kind, (None, -1))
        is_just_now = read_at is not None and now - read_at < _JUST_NOW
        return Reading(source, above, read_at, is_just_now)
