"""Data centres whose targets are to get nothing until an operator takes that back."""

import dataclasses

from sesamespindle.decide import commands


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsListed:
    """All data centres that are evacuated.

    Attributes
    ----------
    revision : int
        The platform's revision up to which this is known.
    """

    data_centres: frozenset[str]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuated:
    """An operator evacuates a data centre."""

    data_centre: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationLifted:
    """An operator has taken an evacuation back."""

    data_centre: str
    revision: int


class Evacuations:
    """Keeps targets of evacuated data centres from getting requests.

    What is known stays while the platform is away.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        # The revision of the latest news of each data centre.
        self._revision_by_data_centre = {}

    def take(self, event, now):
        """Take in one of this module's events; return whether it was one."""
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
            self._adopt(data_centre, is_listed, listed.revision, now)

    def _adopt(self, data_centre, is_evacuated, revision, now):
        """Take news of a data centre in, unless a later one overtook it."""
        if revision < self._revision_by_data_centre.get(data_centre, 0):
            return
        self._revision_by_data_centre[data_centre] = revision
        known = self._state.evacuated_data_centres
        if (data_centre in known) == is_evacuated:
            return
        self._state.evacuated_data_centres = known ^ {data_centre}
        for row in self._state.targets:
            if row.data_centre == data_centre:
                row.evacuated = is_evacuated
                if not is_evacuated:
                    self._note_return(row, revision, now)
        kind = "data_centre_evacuated" if is_evacuated else "evacuation_lifted"
        self._state.emit(commands.Note(kind, data_centre))

    def _note_return(self, row, revision, now):
        """Take a target for cold until a later record of its own says that it isn't.

        Guards against hosts that all turn to targets which were emptied and stand
        cold since, as the evacuation ends: a cold target that gets more than it
        bears crashes. The record that says so may arrive after the end.
        """
        cold_start = self._state.cold_start_by_service.get(row.pool)
        if cold_start is not None and row.revision < revision:
            until = now + cold_start.lasts
            row.cold_until = max(until, row.cold_until or until)
            row.cold_revision = revision
