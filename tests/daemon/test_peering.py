"""The port at which a daemon serves its peers."""

import pytest

from sesamespindle.daemon import peering


def test_only_one_process_can_bind_a_peer_port(go):
    """Two processes with one name share a peer address, and so both hold the lease.

    A host takes over a lease at once if the holder has its own name and peer address,
    as that must be its own earlier process. Two running processes would take the lease
    from each other and both act within one lease duration.
    """

    async def run():
        first, port = peering.bind("127.0.0.1", 0)
        with pytest.raises(RuntimeError):
            peering.bind("127.0.0.1", port)
        await first.stop(None)

    go(run())
