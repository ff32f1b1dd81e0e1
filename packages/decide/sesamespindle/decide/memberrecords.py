"""The records of entry hosts that daemons gossip, and digests to compare them by."""

import xxhash

from sesamespindle.decide import events, gossip

_State = events.HostState
# The higher rank wins where records differ in nothing but the state. A suspicion isn't
# gossiped, so a suspect ranks as live.
_RANK_BY_STATE = {
    _State.LIVE: 0,
    _State.SUSPECT: 0,
    _State.LEAVING: 1,
    _State.LEFT: 2,
    _State.DEAD: 3,
}


def precedence(record):
    """Return the key by which the newer of two records of a member is chosen."""
    return (record.incarnation, record.heartbeat, _RANK_BY_STATE[record.state])


def to_member(row):
    """Return the record of an entry for peers; a suspected one counts as live there."""
    announced_state = _State.LIVE if row.state is _State.SUSPECT else row.state
    return gossip.Member(
        row.name,
        row.data_centre,
        row.url,
        row.peer_address,
        row.admin_url,
        row.incarnation,
        row.heartbeat,
        announced_state,
        row.revision,
        row.unreached,
        row.capacity,
    )


def digest_by_data_centre(entries):
    """Return a hash of the members of each data centre, by its name."""
    names = sorted(entries.keys_of("data_centre"))
    return {name: _digest(entries.where("data_centre", name)) for name in names}


def _digest(rows):
    """Return a hash of all that other data centres must know of these hosts.

    Guards against a live host that other data centres never give to callers: its
    record spreads without an address first, and the address follows once the host can
    serve. The hash covers the address, so the digests differ and the record is sent
    again. The same holds for what the host can carry.
    """
    parts = sorted(
        f"{row.name}/{row.incarnation}/{_RANK_BY_STATE[row.state]}/{row.url}/"
        f"{','.join(row.unreached)}" + (f"/{row.capacity}" if row.capacity else "")
        for row in rows
    )
    return xxhash.xxh3_64_intdigest("\n".join(parts).encode())
