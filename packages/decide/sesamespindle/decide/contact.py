"""Whether a host would have heard of a change by now."""

from sesamespindle.decide import events


class Contact:
    """Knows whether this host hears the platform's store, or most other hosts.

    Parameters
    ----------
    state : world.World
        The shared tables.
    kind : str
        The kind of object whose changes matter.
    is_reachable : callable
        Takes the name of a data centre, the current time and a time span, and returns
        whether the data centre was heard within the span.
    """

    def __init__(self, state, kind, is_reachable):
        self._state = state
        self._kind = kind
        self._is_reachable = is_reachable

    def is_kept(self, span, now):
        """Return whether a change of at least this age would be known.

        It would be if the store has shown since that there was none. While the store
        is away, a host that had read the change before would have told most others.

        Parameters
        ----------
        span : datetime.timedelta
            The age.
        now : datetime.datetime
            The current time.
        """
        known = self._state.freshness.knowledge_by_kind.get(self._kind)
        proved_at = known.proved_at if known is not None else None
        if proved_at is not None and now - proved_at <= span:
            return True
        return self._hears_most_hosts(span, now) and self._hears_most_data_centres(
            span, now
        )

    def _hears_most_hosts(self, span, now):
        """Return whether most hosts of this data centre were heard within a span."""
        here = self._state.entries.where("data_centre", self._state.me.data_centre)
        present = [row for row in here if row.state is not events.HostState.LEFT]
        heard = [row for row in present if self._is_heard(row, span, now)]
        return 2 * len(heard) > len(present)

    def _is_heard(self, row, span, now):
        if row.name == self._state.me.name:
            return True
        if row.state is not events.HostState.LIVE:
            return False
        return row.heard_at is None or now - row.heard_at <= span

    def _hears_most_data_centres(self, span, now):
        names = list(self._state.entries.keys_of("data_centre"))
        heard = [name for name in names if self._is_reachable(name, now, span)]
        return 2 * len(heard) > len(names)
