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

    Hosts that leave, or are suspected to be gone, are left out. Where that
    leaves nobody, all that are known are named: a caller with no address
    can't even be refused.
    """
    live = [
        row
        for row in state.entries
        if row.url and row.state is events.HostState.LIVE and reachable(row.data_centre)
    ]
    if not live:
        live = [row for row in state.entries if row.url]
    live.sort(key=lambda row: (row.data_centre != data_centre, row.name))
    return [row.url for row in live[:MOST_ADDRESSES]]
