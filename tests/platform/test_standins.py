"""The stand-ins that the tests of the platform use."""

import itertools
import pathlib
import signal

import pytest
import standins

from sesamespindle.lab import processes

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


def test_a_daemon_is_waited_for_while_it_waits_for_a_core(play, tmp_path, monkeypatch):
    """Guards against tests that fail on a busy machine as hosts start slowly there."""
    monkeypatch.setattr(standins, "PATIENCE_SECONDS", 0.0)
    reads = itertools.count()
    released = tmp_path / "released"

    def wait_longer(daemon):
        read = next(reads)
        if read == 10:
            released.touch()
        return 1000.0 * read

    monkeypatch.setattr(standins.Daemon, "seconds_without_core", wait_longer)

    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.start_daemon(held_until=str(released))
        await world.until_ready(daemon)
        assert await world.is_ready(daemon)

    play(scenario)


def test_a_daemon_that_sleeps_is_not_waited_for(play, tmp_path, monkeypatch):
    """Guards against a wait without end for a host that stands still in its start."""

    async def scenario(world):
        daemon = await world.start_daemon(held_until=str(tmp_path / "released"))
        monkeypatch.setattr(standins, "PATIENCE_SECONDS", 0.5)
        with pytest.raises(TimeoutError, match="Not ready; waited"):
            await world.until_ready(daemon)

    play(scenario)


def test_a_daemon_that_has_exited_is_not_waited_for(play, tmp_path):
    """Guards against tests that show an exit at the start as a start that is slow."""

    async def scenario(world):
        daemon = await world.start_daemon(held_until=str(tmp_path / "released"))
        daemon.send_signal(signal.SIGKILL)
        await daemon.ended()
        with pytest.raises(processes.StartError, match="exited with -9"):
            await world.until_ready(daemon)

    play(scenario)
