"""The stand-ins that the tests of the platform use."""

import pathlib

import standins

RANGE_OF_CONNECTIONS = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_all_ports_of_a_daemon_differ():
    """Two of the four ports of a daemon are the same.

    The daemon then never becomes ready, or ends some seconds later, as if by itself.
    Guards against closing each port before the next one is requested: the kernel hands
    out a closed port again, in one of 1,000 sets of four.
    """
    for _ in range(5000):
        ports = standins.free_ports(4)
        assert len(set(ports)) == 4


def test_ports_of_stand_ins_are_not_given_to_connections():
    """Guards against a stand-in whose port a connection takes before it starts."""
    lowest, _ = RANGE_OF_CONNECTIONS.read_text().split()
    assert max(standins.free_ports(100)) < int(lowest)
