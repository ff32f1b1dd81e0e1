"""A host that is out of step as a version joins continues no stream at another one.

Guards against streams of two versions: engines of a new version begin them through
other hosts, break off, and callers take them up at the host that has missed it.
"""

import asyncio
import contextlib
import json
import os
import signal
import tempfile

import cutfleet
import detourlaunch
import pytest
import versionfleet

_PER_SECOND = 30
_HOSTS = 5
# How long the host is out of step, from before the new version's engines join.
_OUT_SECONDS = 3.0
_RELEASES = ("v1.2", "v1.3")


class Fleet(versionfleet.Fleet):
    """Hosts of which the first can be cut from its peers, or from the store."""

    def __init__(self, world, stack):
        super().__init__(world)
        self._stack = stack
        self._closed = stack.enter_context(cutfleet.ClosedPort())
        self._paths = []
        self._restarts = []

    async def add_hosts(self, count):
        """Start daemons, and wait until they are ready; the first gets half of all."""
        for _ in range(count):
            seeds = tuple(host.ip for host in self.hosts[:3])
            handle, path = tempfile.mkstemp()
            os.close(handle)
            self._stack.callback(os.unlink, path)
            self._paths.append(path)
            self._lead(path, {})
            host = await self.world.start_daemon(seeds, detours=path)
            self.hosts.append(host)
        for host in self.hosts:
            await self.world.until_ready(host)
        self.serving = [*self.hosts, *[self.hosts[0]] * (count - 2)]

    @contextlib.contextmanager
    def stopped(self):
        """Have the first host stand still."""
        self.hosts[0].send_signal(signal.SIGSTOP)
        yield
        self.hosts[0].send_signal(signal.SIGCONT)

    @contextlib.contextmanager
    def cut_from_store(self):
        """Have the store turn the first host away."""
        self.world.store.turned_away.add(self.hosts[0].ip)
        yield
        self.world.store.turned_away.clear()

    @contextlib.contextmanager
    def others_cut_from_store(self):
        """Have the store serve the first host alone, while all hear each other."""
        self.world.store.turned_away.update(host.ip for host in self.hosts[1:])
        yield
        self.world.store.turned_away.clear()

    @contextlib.contextmanager
    def starting(self):
        """Have the first host begin a new life, so that its first list has all."""
        first = self.hosts[0]
        others = [host for host in self.serving if host is not first]
        self.serving, serving = others, self.serving
        first.send_signal(signal.SIGKILL)
        restart = asyncio.create_task(self._start_again(first, serving))
        yield
        self._restarts.append(restart)

    async def _start_again(self, host, serving):
        await host.ended()
        await host.start()
        await self.world.until_ready(host)
        self.serving = serving

    @contextlib.contextmanager
    def cut_from_peers(self):
        """Have the first host and the others hear nothing of each other."""
        first, *others = self.hosts
        self._lead(self._paths[0], self._closed_ways(others))
        for path in self._paths[1:]:
            self._lead(path, self._closed_ways([first]))
        yield
        for path in self._paths:
            self._lead(path, {})

    @contextlib.contextmanager
    def cut_from_both(self):
        """Have the first host hear of neither its peers nor the store."""
        with self.cut_from_store(), self.cut_from_peers():
            yield

    async def all_started(self):
        """Wait until the first host's new lives are ready."""
        await asyncio.gather(*self._restarts)

    def _closed_ways(self, hosts):
        ways = {
            f"{host.ip}:{port}": self._closed.address
            for host in hosts
            for port in host.peer_ports
        }
        return ways | {detourlaunch.DATAGRAMS: ""}

    @staticmethod
    def _lead(path, ways):
        with open(path, "w") as file:
            json.dump(ways, file)


@pytest.mark.parametrize(
    "way",
    [
        "stopped",
        "starting",
        "cut_from_store",
        "others_cut_from_store",
        "cut_from_peers",
        "cut_from_both",
    ],
)
def test_streams_taken_up_at_a_host_out_of_step_are_not_mixed(play, way):
    async def scenario(world):
        with contextlib.ExitStack() as stack:
            fleet = Fleet(world, stack)
            for _ in range(3):
                await fleet.add_engine("v1.1")
            await fleet.add_hosts(_HOSTS)
            async with versionfleet.Clients(fleet, _PER_SECOND) as clients:
                for software in _RELEASES:
                    await asyncio.sleep(2.0)
                    with getattr(fleet, way)():
                        for _ in range(3):
                            await fleet.add_engine(software)
                        await asyncio.sleep(_OUT_SECONDS)
                await asyncio.sleep(2.0)
            await fleet.all_started()
        assert not clients.mixed, clients.summary()
        assert {"v1.1", *_RELEASES} <= {
            version for stream in clients.streams for version in stream.versions
        }
        assert any(any(stream.resumed) for stream in clients.streams)
        print(way, clients.summary())

    play(scenario)
