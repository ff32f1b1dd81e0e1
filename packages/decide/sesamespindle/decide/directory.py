"""The choice of the entry hosts whose addresses callers get."""

import math

from sesamespindle.decide import events, hashing, loadparts

# The largest number of addresses in one answer; callers accept at most 64.
MAX_ADDRESSES = 64
# An answer names at least half of the hosts, so that callers who share one address
# don't crowd on a few, and so many that a caller has others to go to if one fails it.
_LEAST_SHARE = 0.5
_FEWEST = 3


def choose_addresses(state, data_centre, reachable, isolated, caller=None):
    """Return the addresses for a caller, those of its own data centre first.

    Parameters
    ----------
    state : world.World
        The shared tables.
    data_centre : str
        The caller's data centre.
    reachable : callable
        Takes the name of a data centre, and returns whether it has been heard from
        lately.
    isolated : callable
        Takes the row of a host, and returns whether it says that it reaches no target.
    caller : str, optional
        The caller's address; without it the answer is the one for all callers.

    Returns
    -------
    addresses : list of str
        At most `MAX_ADDRESSES`.

    Notes
    -----
    Isolated hosts are omitted; if all others are, they are returned. Hosts that are
    leaving or suspected, or whose data centre is unreachable, are omitted too. If no
    other host is known, all of these are returned, as any of them may still serve.
    Hosts that have left or are dead are returned only if no other host is known: a
    caller with no address doesn't even get a refusal.

    Guards against callers that connect to hosts which leave or are dead while live
    ones are available: hosts of a worse rank are never returned beside better ones.
    """
    known = [row for row in state.entries if row.url]
    rank_by_name = {row.name: _rank(row, reachable, isolated) for row in known}
    best_rank = min(rank_by_name.values(), default=None)
    chosen = [row for row in known if rank_by_name[row.name] == best_rank]
    chosen.sort(key=lambda row: (row.data_centre != data_centre, row.name))
    if caller and state.load_parts.is_on(loadparts.Part.WEIGHTED_HOSTS):
        chosen = _sample(chosen, data_centre, caller)
    return [row.url for row in chosen[:MAX_ADDRESSES]]


def _sample(rows, data_centre, caller):
    """Return the hosts that one caller is told of, by what each can carry.

    Guards against weak hosts that get as many callers as strong ones, since callers
    choose at random among the hosts that they are told of: under full load those can't
    keep up. A weak host is in fewer answers, and in some. One caller's answer stays as
    it is while others join or die, as callers close connections to hosts that aren't
    in it any more.
    """
    weight_by_name = _weights(rows)
    row_by_name = {row.name: row for row in rows}
    here = [row.name for row in rows if row.data_centre == data_centre]
    elsewhere = [row.name for row in rows if row.data_centre != data_centre]
    chosen = []
    for names in (here, elsewhere):
        count = max(math.ceil(len(names) * _LEAST_SHARE), _FEWEST)
        weights = {name: weight_by_name[name] for name in names}
        chosen += hashing.top_weighted(caller, weights, count)
    return [row_by_name[name] for name in chosen]


def _weights(rows):
    """Return hosts' weights by name; one that isn't known is the mean of the known."""
    known = [row.capacity for row in rows if row.capacity]
    mean = sum(known) / len(known) if known else 1.0
    return {row.name: row.capacity or mean for row in rows}


def _rank(row, reachable, isolated):
    """Return a host's rank by how likely it is to serve; 0 is the likeliest.

    An isolated host has its requests carried, or is one of all that reach no target; a
    leaving one refuses them.
    """
    match row.state:
        case events.HostState.LIVE if reachable(row.data_centre):
            return 1 if isolated(row) else 0
        case events.HostState.LEFT | events.HostState.DEAD:
            return 3
        case _:
            return 2
