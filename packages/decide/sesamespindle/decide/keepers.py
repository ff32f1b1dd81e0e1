"""Which host keeps which engine.

The load that this answers: prompts of many hosts at few engines, of which each host
alone sees too little. One host for each engine counts them, see `ledgers`.
"""

from sesamespindle.decide import hashing


class Keepers:
    """Names the keeper of each engine, by rendezvous hashing.

    Only live hosts that reach engines are ranked: those of the engine's data centre,
    or all if there are none there.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        # A cache, valid as long as `state.view` is `_cached_view`.
        self._keeper_by_place = {}
        self._entries_by_data_centre = {}
        self._cached_view = None

    def keeper(self, row):
        """Return the `world.EntryRow` of an engine's keeper, or None if none lives."""
        if self._cached_view != self._state.view:
            self._cached_view = self._state.view
            self._keeper_by_place.clear()
            self._entries_by_data_centre.clear()
        place = row.name, row.data_centre
        if place not in self._keeper_by_place:
            entry_by_name = self._near(row.data_centre)
            name = hashing.first(f"keeper/{row.name}", entry_by_name)
            self._keeper_by_place[place] = entry_by_name.get(name)
        return self._keeper_by_place[place]

    def _near(self, data_centre):
        if data_centre not in self._entries_by_data_centre:
            entries = self._state.reaching_entries()
            near = [entry for entry in entries if entry.data_centre == data_centre]
            self._entries_by_data_centre[data_centre] = {
                entry.name: entry for entry in near or entries
            }
        return self._entries_by_data_centre[data_centre]
