"""Which entry hosts callers are told to use."""

from sesamespindle.decide import events

# Addresses in one answer; callers take at most 64.
MOST_ADDRESSES = 64
_State = events.HostState
# How sure it is that a host serves for a while, the surest first.
_RANK_BY_STATE = {
    _State.LIVE: 1,
    _State.SUSPECT: 2,
    _State.LEAVING: 3,
    _State.LEFT: 4,
    _State.DEAD: 4,
}


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

    Hosts that leave, or are suspected to be gone, are left out. Where that
    leaves nobody, the likeliest of the others are named: a caller with no
    address can't even be refused.

    Guards against callers that are sent to hosts which leave while others are
    there: only the surest hosts are named, never worse ones beside them.
    """
    known = [row for row in state.entries if row.url]
    surest = min((_rank(row, reachable) for row in known), default=None)
    named = [row for row in known if _rank(row, reachable) == surest]
    named.sort(key=lambda row: (row.data_centre != data_centre, row.name))
    return [row.url for row in named[:MOST_ADDRESSES]]


def _rank(row, reachable):
    if row.state is _State.LIVE and reachable(row.data_centre):
        return 0
    return _RANK_BY_STATE[row.state]
