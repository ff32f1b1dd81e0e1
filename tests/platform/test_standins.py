"""The stand-ins that the tests of the platform rest on."""

import standins


def test_no_port_of_a_daemon_is_given_twice():
    """A daemon of a scenario is never ready, or ends some seconds after it was.

    Two of its four ports were one and the same: each was closed before the next
    was asked for, and the kernel gave it again in one of 1,000 sets of four. It
    looked like a daemon that ended by itself on a busy machine.
    """
    for _ in range(5000):
        ports = standins.free_ports(4)
        assert len(set(ports)) == 4
