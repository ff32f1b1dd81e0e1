"""Evacuated data centres, whose targets get no requests.

An evacuation lasts until an operator lifts it.
"""

import dataclasses

from sesamespindle.decide import commands, revisions


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsListed:
    """The host has received the list of all evacuated data centres.

    Attributes
    ----------
    data_centres : frozenset of str
        Their names.
    revision : revisions.Revision
        The platform's revision of the list.
    """

    data_centres: frozenset[str]
    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuated:
    """An operator has evacuated a data centre.

    Attributes
    ----------
    data_centre : str
        Its name.
    revision : revisions.Revision
        The platform's revision of this change.
    """

    data_centre: str
    revision: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationLifted:
    """An operator has lifted the evacuation of a data centre.

    Attributes
    ----------
    data_centre : str
        Its name.
    revision : revisions.Revision
        The platform's revision of this change.
    """

    data_centre: str
    revision: revisions.Revision


class Evacuations:
    """Keeps targets of evacuated data centres from getting requests.

    Evacuations that are known stay active while the platform is unavailable.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        # The revision of the latest change or list that covers each data centre.
        self._revision_by_data_centre = {}
        # What a list says otherwise than is known, but may say from before that; by
        # data centre, as in `_adopt`.
        self._doubtful_by_data_centre = {}

    def tick(self, now):
        """Believe what the store still lists after everyone has written again."""
        if not self._doubtful_by_data_centre or not self._state.eras.has_settled(now):
            return
        for data_centre, said in list(self._doubtful_by_data_centre.items()):
            self._adopt(data_centre, *said, now)

    def handle(self, event, now):
        """Process an event of this module; return False for any other event."""
        match event:
            case EvacuationsListed():
                self._adopt_all(event, now)
            case Evacuated():
                self._adopt(event.data_centre, True, event.revision, now)
            case EvacuationLifted():
                self._adopt(event.data_centre, False, event.revision, now)
            case _:
                return False
        return True

    def _adopt_all(self, listed, now):
        known = self._state.evacuated_data_centres
        for data_centre in sorted(known | listed.data_centres):
            is_listed = data_centre in listed.data_centres
            if self._is_doubtful(data_centre, is_listed, listed.revision, now):
                said = is_listed, listed.revision
                self._doubtful_by_data_centre[data_centre] = said
            else:
                self._adopt(data_centre, is_listed, listed.revision, now)

    def _is_doubtful(self, data_centre, is_evacuated, revision, now):
        """Return whether a list may be from before the latest known change.

        Guards against an evacuation that ends, or one that was lifted and begins again,
        for as long as the operator needs to write again what an older copy of the store
        lacks. Only what was known in an earlier era is kept that long.
        """
        known = self._revision_by_data_centre.get(data_centre)
        if known is None or known.era == revision.era:
            return False
        is_other = (data_centre in self._state.evacuated_data_centres) != is_evacuated
        return is_other and self._state.eras.is_settling(now)

    def _adopt(self, data_centre, is_evacuated, revision, now):
        """Set whether a data centre is evacuated, unless a later change is known.

        Guards against an evacuation that was lifted and comes back by an older event
        that arrives late, from a peer that is behind. Such an event has a lower
        revision than the latest known one.
        """
        if revision < self._revision_by_data_centre.get(data_centre, revisions.NEVER):
            return
        self._revision_by_data_centre[data_centre] = revision
        self._doubtful_by_data_centre.pop(data_centre, None)
        known = self._state.evacuated_data_centres
        if (data_centre in known) == is_evacuated:
            return
        self._state.evacuated_data_centres = known ^ {data_centre}
        for row in self._state.targets:
            if row.data_centre == data_centre:
                row.evacuated = is_evacuated
                if not is_evacuated:
                    self._treat_as_cold(row, revision, now)
        kind = "data_centre_evacuated" if is_evacuated else "evacuation_lifted"
        self._state.emit(commands.Note(kind, data_centre))

    def _treat_as_cold(self, row, revision, now):
        """Treat a target as cold until a later record of the target says otherwise.

        Guards against all hosts sending to the targets of a data centre at once when
        its evacuation is lifted: the targets may have become cold meanwhile, and a
        cold target crashes under more requests than it can handle. The record that
        says that a target is cold may arrive only after the evacuation is lifted.
        """
        cold_start = self._state.cold_start_by_service.get(row.pool)
        if cold_start is not None and row.revision < revision:
            until = now + cold_start.lasts
            row.cold_until = max(until, row.cold_until or until)
            row.cold_revision = revision
