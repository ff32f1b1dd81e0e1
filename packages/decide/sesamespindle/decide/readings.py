"""Finds out how old an object may be that a host reads from the platform.

A host reads objects by listing them and by watches, which are long polls for changes.
An answer doesn't say when an object was created. An object that wasn't in the previous
answer was created after the previous reading.
"""

import dataclasses
import datetime

from sesamespindle.decide import eras, revisions, weights

# If a watch is answered only after this long, there was no change when it began, so
# the change in its answer has just happened. Changes from before the watch are answered
# at once: in 4 ms, or in 0.25 s while the platform is slow.
_PUSHED_AFTER = datetime.timedelta(seconds=0.5)
# An object that didn't exist this long ago counts as created now. The error is less
# than the margin that `weights` leaves between its last runs on superseded weights
# and the end of the time allowed for those.
_NEW_WITHIN = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """How old the new objects in an answer of the platform or a peer may be.

    Attributes
    ----------
    source : str
        The kind of answer, for the log.
    above : revisions.Revision
        The revision up to which all objects were known before; `revisions.NEVER` if
        none were.
    not_there_at : datetime.datetime or None
        The latest time at which the new objects are known not to have existed; None
        if they may be of any age.
    is_just_now : bool
        Whether `not_there_at` is so recent that the objects count as created now.
    """

    source: str
    above: revisions.Revision = revisions.NEVER
    not_there_at: datetime.datetime | None = None
    is_just_now: bool = False

    def event_of(self, model, version):
        """Return the event for an announced weight version that was read.

        Returns
        -------
        event : weights.VersionAnnounced or weights.VersionFound
            The former if the version counts as announced now.
        """
        if self.is_just_now:
            return weights.VersionAnnounced(model, version)
        return weights.VersionFound(model, version, self.not_there_at)


FROM_PEER = Reading("a peer")


class Readings:
    """Remembers when each kind of object was last read from the platform.

    Guards against old objects that count as new: an answer waited in a buffer while
    the process was paused, or an object existed before the process started. The host
    would then go on sending prompts to weights that were superseded long ago. So an
    object counts as created at the previous reading of its kind, or as of any age if
    there was none.

    Parameters
    ----------
    pauses : sesamespindle.decide.pauses.Pauses
        When this process didn't run.
    store_eras : eras.Eras, optional
        The era that the platform's store is in; it never changes if left out.
    """

    def __init__(self, pauses, store_eras=None):
        self._pauses = pauses
        self._eras = store_eras or eras.Eras()
        self._last_by_kind = {}

    def listed(self, kind, revision, began, now):
        """Return the `Reading` of a whole list.

        Parameters
        ----------
        kind : str
            The kind of object.
        revision : revisions.Revision
            The platform's revision of the list.
        began : datetime.datetime
            When the list was requested.
        now : datetime.datetime
            When it arrived.
        """
        reading = self._reading(kind, "a listing", now)
        self._note(kind, began, revision, now)
        return reading

    def checked(self, kind, revision, began, now):
        """Return the `Reading` of a check's answer, with arguments as for `listed`."""
        reading = self._reading(kind, "a check", now)
        self._note(kind, began, revision, now)
        return reading

    def proved(self, kind, revision, at):
        """Note that a kind had no change up to a revision, as of a time."""
        read_at, _ = self._last_by_kind.get(kind, (None, revisions.NEVER))
        if read_at is None or at > read_at:
            self._note(kind, at, revision, at)

    def watched(self, kind, revision, began, now):
        """Return the `Reading` of a watch's answer, with arguments as for `listed`."""
        pushed = now - began >= _PUSHED_AFTER and not self._pauses.paused_since(began)
        reading = self._reading(kind, "a watch", now)
        if pushed and not self._eras.is_settling(now):
            reading = dataclasses.replace(reading, not_there_at=now, is_just_now=True)
        self._note(kind, now if pushed else began, revision, now)
        return reading

    def _note(self, kind, at, revision, now):
        """Note that a kind was read, unless the store may lack what it had.

        Guards against an object that counts as created when it is only written again:
        a store that came back from an older copy doesn't have it for a while, though
        it existed.
        """
        if kind not in self._last_by_kind or not self._eras.is_settling(now):
            self._last_by_kind[kind] = at, revision

    def _reading(self, kind, source, now):
        read_at, above = self._last_by_kind.get(kind, (None, revisions.NEVER))
        is_just_now = read_at is not None and now - read_at < _NEW_WITHIN
        return Reading(source, above, read_at, is_just_now)
