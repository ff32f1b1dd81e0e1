"""Which entry hosts callers are told to use."""

from sesamespindle.decide import events

# Addresses in one answer; callers take at most 64.
MOST_ADDRESSES = 64


def choose_addresses(state, data_centre, reachable):
    """Return the addresses for a caller in a data centre, its own first.

    Parameters
    ----------
    state : world.World
        The shared tables.
    data_centre : str
        The caller's.
    reachable : callable
        Whether a data centre has been heard of lately.

    Returns
    -------
    addresses : list of str
        At most `MOST_ADDRESSES`.

    Hosts that leave, that are suspected to be gone or whose data centre is not
    heard of are left out. Where that leaves nobody, they are named together, as
    any of them may be the one that serves. Hosts that are gone are named only
    where nobody else is known: a caller with no address can't even be refused.

    Guards against callers that are sent to hosts which leave or are gone while
    others are there: worse ones are never named beside better ones.
    """
    known = [row for row in state.entries if row.url]
    surest = min((_rank(row, reachable) for row in known), default=None)
    named = [row for row in known if _rank(row, reachable) == surest]
    named.sort(key=lambda row: (row.data_centre != data_centre, row.name))
    return [row.url for row in named[:MOST_ADDRESSES]]


def _rank(row, reachable):
    """Return how unsure it is that a host serves for a while, 0 for the surest."""
    match row.state:
        case events.HostState.LIVE if reachable(row.data_centre):
            return 0
        case events.HostState.LEFT | events.HostState.DEAD:
            return 2
        case _:
            return 1
