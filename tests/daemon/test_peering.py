"""The port that a daemon answers its peers at."""

import pytest

from sesamespindle.daemon import peering


def test_a_peer_port_is_bound_by_one_process(go):
    """A host takes a lease back that its name and peer address held before.

    Two processes that shared the port would take it from each other, and give
    orders within one lease time.
    """

    async def run():
        first, port = peering.bind("127.0.0.1", 0)
        with pytest.raises(RuntimeError):
            peering.bind("127.0.0.1", port)
        await first.stop(None)

    go(run())
