"""Which targets are full, as they turned requests of this host away."""

import dataclasses
import datetime

# A target that turned a request away gets the next one after this time, or up to
# twice as long, so that the hosts don't come at once. It doubles with each rejection
# that follows such a pause, as each costs a repeat.
_PAUSE = datetime.timedelta(milliseconds=50)
_MAX_DOUBLINGS = 2
# So many places more a target is expected to have after as many answers as it has
# places: each try of one more place may end in a rejection.
_GROWTH = 0.25
# After this time without a rejection it is expected to have one place more with each
# answer, so that a target which was full for a moment is soon used as before.
_CALM_AFTER = datetime.timedelta(milliseconds=200)
# After this time without a rejection a target counts as any other.
_KEPT_FOR = datetime.timedelta(seconds=2)


@dataclasses.dataclass(slots=True)
class _Full:
    """What is known of a target that turned a request away.

    Attributes
    ----------
    places : float
        How many requests from this host it is expected to take at once.
    until : datetime.datetime
        Until then it gets nothing, unless a request of this host ends there.
    doublings : int
        How often in sequence it turned a request away after a pause.
    """

    places: float
    until: datetime.datetime
    rejected_at: datetime.datetime
    doublings: int = 0


class FullTargets:
    """Says which targets have room for one more request of this host.

    Answers the load of a service all of whose targets are full for moments: requests
    that wait aren't sent all at once to the first target that may have room again.
    How many a target takes is found out by additive increase with each answer, and
    starts from what it had when it turned a request away.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._full_by_incarnation = {}

    def note_rejected(self, row, now):
        """Record that a target turned a request away, which still counts there."""
        doublings = self._doublings(row.incarnation, now)
        pause = _PAUSE * 2**doublings
        until = now + pause * (1.0 + self._state.random.random())
        places = max(1.0, row.running_here - 1.0)
        full = _Full(places, until, now, doublings)
        self._full_by_incarnation[row.incarnation] = full

    def _doublings(self, incarnation, now):
        full = self._full_by_incarnation.get(incarnation)
        if full is None:
            return 0
        return min(full.doublings + (now >= full.until), _MAX_DOUBLINGS)

    def note_served(self, incarnation, now):
        """Record that a request of this host has ended at a target."""
        full = self._full_by_incarnation.get(incarnation)
        if full is not None:
            full.until = min(full.until, now)
            full.doublings = 0
            is_calm = now - full.rejected_at >= _CALM_AFTER
            full.places += 1.0 if is_calm else _GROWTH / full.places

    def with_room(self, rows, now):
        """Return the targets, out of some, that may take one more request."""
        if not self._full_by_incarnation:
            return rows
        return [row for row in rows if self._has_room(row, now)]

    def _has_room(self, row, now):
        full = self._full_by_incarnation.get(row.incarnation)
        if full is None or now - full.rejected_at >= _KEPT_FOR:
            return True
        return now >= full.until and row.running_here + 1 <= full.places

    def tick(self, now):
        """Forget the targets that have turned nothing away for a while."""
        for incarnation, full in list(self._full_by_incarnation.items()):
            if now - full.rejected_at >= _KEPT_FOR:
                del self._full_by_incarnation[incarnation]
