"""A store, targets and daemons, each behind links that faults can strike."""

import asyncio
import contextlib
import os
import random
import signal
import time

import standins

from sesamespindle.lab import proxy
from soak import records, targets

_PLAIN, _ENGINE = "desk", "llm"
_PORTS = 4
DATA_CENTRES = ("dc-1", "dc-2")
# A leaving target is listed for this long, in seconds, and serves on for as long
# after it was removed: longer than anybody may go on sending to it.
_SERVES_ON_SECONDS = 4.0
# An engine that a request crashed has a successor after so long.
_BACK_AFTER_SECONDS = (0.5, 2.0)


class World:
    """Everything that one soak starts, and its journal.

    Parameters
    ----------
    seed : int
        Of all choices.
    daemons : int
        Entry hosts.
    """

    def __init__(self, seed, daemons):
        self.journal = records.Journal()
        self.random = random.Random(seed)
        self._seed = seed
        self.daemon_by_name = {}
        self.life_by_daemon = {}
        self.target_by_name = {}
        self.link_by_daemon = {}
        self.link_by_target = {}
        # API keys with the account that each belongs to; "bank" is isolated.
        self.keys = (("key-of-acme", "acme"), ("key-of-bank", "bank"))
        self._daemons = daemons
        self._expected_ends = set()
        self._crashing = set()
        self._crash_source = random.Random(f"crashes {seed}")
        self.weights = 1
        self._late_orders_share = 0.0
        self._versions = [1]
        self._names = 0
        self._start = time.monotonic()
        self._prefix = f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}"
        self._stack = contextlib.AsyncExitStack()
        self.store = None

    def now(self):
        """Return the seconds since the soak began."""
        return time.monotonic() - self._start

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        self.store = await enter(
            standins.Store(f"127.0.0.1:{standins.free_ports(1)[0]}")
        )
        await self._put_configuration()
        await self.store.put("versions", "m", {"Model": "m", "Version": 1})
        for service in (_PLAIN, _PLAIN, _ENGINE, _ENGINE, _ENGINE):
            await self.add_target(service)
        ports = standins.free_ports(_PORTS)
        ips = [f"{self._prefix}.{number + 1}" for number in range(self._daemons)]
        for number, ip in enumerate(ips, start=1):
            link = await enter(_link_to(self.store.address))
            name = f"entry-{number}"
            # Daemons take turns, so that each data centre has half of them.
            own_first = DATA_CENTRES if number % 2 else DATA_CENTRES[::-1]
            daemon = standins.Daemon(
                name, ip, ports, link.address, ips[:3], data_centres=own_first
            )
            self.link_by_daemon[name] = link
            self.daemon_by_name[name] = await enter(daemon)
            self.life_by_daemon[name] = 1
        return self

    async def __aexit__(self, *exc_info):
        for daemon in self.daemon_by_name.values():
            daemon.send_signal(signal.SIGCONT)
        await self._stack.aclose()

    def daemon_at(self, address):
        """Return the daemon that callers reach at an address."""
        ip = address.partition(":")[0]
        return next(item for item in self.daemon_by_name.values() if item.ip == ip)

    # Changes of the operator.

    def recent_versions(self):
        """Return the newest versions of the configuration."""
        return self._versions[-3:]

    async def change_configuration(self):
        """Add a route for a new version, and drop that of the one before."""
        self._versions.append(self._versions[-1] + self.random.choice((1, 2, 5)))
        await self._put_configuration()
        self._note_change("configuration", version=self._versions[-1])

    async def _put_configuration(self):
        version = self._versions[-1]
        made = standins.make_manifest(version)
        probe = made["Routes"][1] | {
            "Name": f"probe-{version}",
            "PathPrefix": f"/probe-{version}/",
        }
        accounts = [
            {"Name": account, "ApiKeys": [key], "Isolated": account == "bank"}
            for key, account in self.keys
        ]
        made |= {"Routes": [*made["Routes"], probe], "Tenants": accounts}
        await self.store.put("config", "main", made)

    async def name_weights(self, version):
        """Name a new weight version of the one model."""
        self.weights = version
        await self.store.put("versions", "m", {"Model": "m", "Version": version})
        self._note_change("weights", version=version)

    def _note_change(self, what, **more):
        self.journal.changes.append(records.Change(what, self.now(), **more))

    # Targets.

    async def add_target(self, service, link=None, weights=None):
        """Start and list a target, at a used address if a link is given."""
        self._names += 1
        name = f"{service}-{self._names}"
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        if link is None:
            link = await self._stack.enter_async_context(_link_to(address))
        else:
            link.lead_to(*address.split(":"))
        source = random.Random(name)
        made = targets.Target(
            name, address, service, link.address, self.journal, self.now, source
        )
        # A new engine has the newest weights, one that starts again those it had.
        made.weights = weights or self.weights
        made.late_orders_share = self._late_orders_share
        made.order_source = random.Random(f"orders {self._seed} {name}")
        made.crashed_by = self._crash_by_request
        await self._stack.enter_async_context(made)
        self.target_by_name[name] = made
        self.link_by_target[name] = link
        await self.store.put("servers", name, made.entry())
        return made

    async def crash_target(self, target, seconds):
        """Crash a target; its address serves some other target later."""
        if self.target_by_name.pop(target.name, None) is None:
            return
        target.crash()
        await asyncio.sleep(seconds)
        await self.store.remove("servers", target.name)
        link = self.link_by_target.pop(target.name)
        service = self.random.choice((_PLAIN, _ENGINE))
        await self.add_target(service, link, target.weights)
        if service != target.service:
            await self.add_target(target.service)

    def _crash_by_request(self, target, path):
        """Crash a target as its process ends: its port refuses from then on."""
        task = asyncio.create_task(self._end_and_replace(target, path))
        self._crashing.add(task)
        task.add_done_callback(self._crashing.discard)

    async def _end_and_replace(self, target, path):
        if target.name not in self.target_by_name:
            return
        self.journal.crashes.append(records.Crash(path, target.name, self.now()))
        fault = records.Fault(
            "crash", records.Area.TARGET, target.name, self.now(), self.now()
        )
        self.journal.faults.append(fault)
        link = self.link_by_target[target.name]
        await link.apply({"mode": proxy.Mode.REFUSE, "cut": True})
        seconds = self._crash_source.uniform(*_BACK_AFTER_SECONDS)
        await self.crash_target(target, seconds)
        await link.apply({"mode": proxy.Mode.PASS})
        fault.ended = self.now()

    async def restart_target(self, target, seconds):
        """Crash a target, which then starts again under the name that it had."""
        if self.target_by_name.pop(target.name, None) is None:
            return
        link = self.link_by_target[target.name]
        await link.apply({"mode": proxy.Mode.REFUSE, "cut": True})
        target.begin_life()
        await asyncio.sleep(seconds)
        await link.apply({"mode": proxy.Mode.PASS, "cut": True})
        self.target_by_name[target.name] = target
        await self.store.put("servers", target.name, target.entry())

    async def drain_target(self, target):
        """Have a target leave in order, after another has come."""
        await self.add_target(target.service)
        if self.target_by_name.pop(target.name, None) is None:
            return
        await self.store.put("servers", target.name, target.entry("draining"))
        self._note_change("leaving", subject=target.name)
        await asyncio.sleep(_SERVES_ON_SECONDS)
        await self.store.remove("servers", target.name)
        await asyncio.sleep(_SERVES_ON_SECONDS)
        target.crash()

    def delay_orders(self, share):
        """Have a share of the orders to all targets carried out late."""
        self._late_orders_share = share
        for target in self.target_by_name.values():
            target.late_orders_share = share

    def engines(self):
        """Return the engines that are listed."""
        return [
            target
            for target in self.target_by_name.values()
            if target.service == _ENGINE
        ]

    # Daemons.

    async def end_daemon(self, daemon, number, pause):
        """Send a signal that ends a daemon, and start it again after its end.

        Where a signal has ended it already, this is one more signal meanwhile.
        """
        if daemon.name in self._expected_ends:
            daemon.send_signal(number)
            return
        self._expected_ends.add(daemon.name)
        daemon.send_signal(number)
        await daemon.ended()
        await asyncio.sleep(pause)
        await self.restart(daemon)
        self._expected_ends.discard(daemon.name)

    async def restart(self, daemon):
        """Start a daemon that has ended."""
        self.life_by_daemon[daemon.name] += 1
        await daemon.start()

    async def watch_ends(self):
        """Record and restart daemons that end without a signal, for ever."""
        while True:
            for daemon in self.daemon_by_name.values():
                if daemon.is_running or daemon.name in self._expected_ends:
                    continue
                self.journal.exits.append((daemon.name, await daemon.ended()))
                await self.restart(daemon)
            await asyncio.sleep(0.1)

    def note_final_state(self):
        """Record what the engines run at the end."""
        self.journal.final_weights_by_engine = {
            engine.name: engine.weights for engine in self.engines()
        }


def _link_to(address):
    host, port = address.split(":")
    return proxy.Proxy(host, int(port))
