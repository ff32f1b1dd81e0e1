"""A store, targets and daemons, with links between them that faults can disturb."""

import asyncio
import contextlib
import os
import random
import signal
import time

import brittle
import cutfleet
import standins
import standinstore

from sesamespindle.lab import proxy
from soak import records, targets

_PLAIN, _ENGINE = "desk", "llm"
DATA_CENTRES = ("dc-1", "dc-2")
# For how many seconds a leaving target stays listed, and for how many more it serves
# after its removal from the list. Each is longer than daemons may still send to it.
_LEAVING_SECONDS = 4.0
# The bounds of the time after which an engine that a request crashed is replaced.
_REPLACED_AFTER_SECONDS = (0.5, 2.0)


class World:
    """All servers and processes of one soak, and its journal.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    daemons : int
        The number of entry hosts.
    """

    def __init__(self, seed, daemons):
        self.journal = records.Journal()
        # Whether callers come again for streams that broke off, and the version of the
        # software of engines that start.
        self.takes_up = False
        self.software = "v1"
        self.random = random.Random(seed)
        self._seed = seed
        self.daemon_by_name = {}
        self.incarnation_by_daemon = {}
        self.target_by_name = {}
        self.link_by_daemon = {}
        self.link_by_target = {}
        # The paths of each daemon to the links of the targets.
        self.paths_by_daemon = {}
        # Each API key with its account. The account "bank" is isolated: its KV cache is
        # never shared with other accounts.
        self.keys = (("key-of-acme", "acme"), ("key-of-bank", "bank"))
        self._daemon_count = daemons
        self._ending_daemons = set()
        self.cut_daemons = set()
        # How brittle the targets of a service are: rejections, room and since when.
        self.brittle_by_service = {}
        self._crash_tasks = set()
        self._crash_source = random.Random(f"crashes {seed}")
        self.weights = 1
        self._late_orders_share = 0.0
        self._configuration_versions = [1]
        self._target_count = 0
        self._start = time.monotonic()
        self._prefix = f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}"
        self._stack = contextlib.AsyncExitStack()
        self.store = None

    def now(self):
        """Return the seconds since the start of the soak."""
        return time.monotonic() - self._start

    async def __aenter__(self):
        enter_context = self._stack.enter_async_context
        self.store = await enter_context(
            standinstore.Store(f"127.0.0.1:{standins.free_ports(1)[0]}")
        )
        await self._put_configuration()
        self.store.era = 1
        await self.store.put("versions", "m", {"Model": "m", "Version": 1})
        for service in (_PLAIN, _PLAIN, _ENGINE, _ENGINE, _ENGINE):
            await self.add_target(service)
        black_hole = self._stack.enter_context(cutfleet.BlackHole())
        refused = self._stack.enter_context(cutfleet.ClosedPort())
        ports = standins.free_ports(standins.DAEMON_PORTS)
        ips = [f"{self._prefix}.{number + 1}" for number in range(self._daemon_count)]
        for number, ip in enumerate(ips, start=1):
            link = await enter_context(_link_to(self.store.address))
            name = f"entry-{number}"
            # The data centres alternate, so that each has half of the daemons.
            own_first = DATA_CENTRES if number % 2 else DATA_CENTRES[::-1]
            paths = await enter_context(cutfleet.Paths(black_hole, refused.address))
            for target_link in self.link_by_target.values():
                await paths.add(target_link.address)
            self.paths_by_daemon[name] = paths
            daemon = standins.Daemon(
                name,
                ip,
                ports,
                link.address,
                ips[:3],
                data_centres=own_first,
                detours=paths.file,
            )
            self.link_by_daemon[name] = link
            self.daemon_by_name[name] = await enter_context(daemon)
            self.incarnation_by_daemon[name] = 1
        return self

    async def __aexit__(self, *exc_info):
        for daemon in self.daemon_by_name.values():
            daemon.send_signal(signal.SIGCONT)
        await self._stack.aclose()

    def daemon_at(self, address):
        """Return the daemon that callers reach at an address."""
        ip = address.partition(":")[0]
        return next(item for item in self.daemon_by_name.values() if item.ip == ip)

    # Changes by the operator.

    def recent_versions(self):
        """Return the three newest versions of the configuration, oldest first."""
        return self._configuration_versions[-3:]

    async def change_configuration(self):
        """Write a configuration whose probe route is that of a new version."""
        self._configuration_versions.append(
            self._configuration_versions[-1] + self.random.choice((1, 2, 5))
        )
        await self._put_configuration()
        self._record_change("configuration", version=self._configuration_versions[-1])

    async def _put_configuration(self):
        version = self._configuration_versions[-1]
        manifest = standins.make_manifest(version)
        probe = manifest["Routes"][1] | {
            "Name": f"probe-{version}",
            "PathPrefix": f"/probe-{version}/",
        }
        accounts = [
            {"Name": account, "ApiKeys": [key], "Isolated": account == "bank"}
            for key, account in self.keys
        ]
        manifest |= {"Routes": [*manifest["Routes"], probe], "Tenants": accounts}
        await self.store.put("config", "main", manifest)

    async def announce_weights(self, version):
        """Announce a new weight version of the only model."""
        self.weights = version
        await self.store.put("versions", "m", {"Model": "m", "Version": version})
        self._record_change("weights", version=version)

    def _record_change(self, what, **more):
        self.journal.changes.append(records.Change(what, self.now(), **more))

    # Targets.

    async def add_target(self, service, link=None, weights=None):
        """Start a target and list it in the store.

        Parameters
        ----------
        link : sesamespindle.lab.proxy.Proxy, optional
            A link whose address an earlier target had; a new one by default.
        weights : int, optional
            The weight version that it starts with; by default the newest one.
        """
        self._target_count += 1
        name = f"{service}-{self._target_count}"
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        if link is None:
            link = await self._stack.enter_async_context(_link_to(address))
            for paths in self.paths_by_daemon.values():
                await paths.add(link.address)
        else:
            link.lead_to(*address.split(":"))
        source = random.Random(name)
        target = targets.Target(
            name, address, service, link.address, self.journal, self.now, source
        )
        # A new engine starts with the newest weights, a replacement with the weights of
        # the engine that crashed.
        target.weights = weights or self.weights
        target.software = self.software
        target.late_orders_share = self._late_orders_share
        target.order_source = random.Random(f"orders {self._seed} {name}")
        target.on_crashing_request = self._crash_by_request
        target.on_loaded = self._update_record
        target.on_fall = self._fall
        self._make_brittle(target)
        await self._stack.enter_async_context(target)
        self.target_by_name[name] = target
        self.link_by_target[name] = link
        await self.store.put("servers", name, target.entry())
        return target

    async def _update_record(self, target):
        """List the weights that a target runs, unless it leaves or has crashed."""
        if target.name in self.target_by_name:
            await self.store.put("servers", target.name, target.entry())

    async def crash_target(self, target, seconds):
        """Crash a target; after some seconds, another target has its address."""
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

    def set_brittle(self, service, rejections, room):
        """Make the targets of a service brittle, or sound if `rejections` is None."""
        terms = None if rejections is None else (rejections, room, self.now())
        self.brittle_by_service[service] = terms
        for target in self.target_by_name.values():
            if target.service == service:
                self._make_brittle(target)

    def _make_brittle(self, target):
        terms = self.brittle_by_service.get(target.service)
        if terms is None:
            target.brittle = None
            target.signals.pop("Server-Brittle", None)
            return
        target.brittle = brittle.Rejections(*terms, self.now)
        target.signals["Server-Brittle"] = str(terms[0])

    def _fall(self, target):
        """Let a brittle target fall over; it is back under its name after a while."""
        self.journal.falls.append((target.service, self.now()))
        fault = records.Fault("fall", records.Area.TARGET, target.name, self.now())
        self.journal.faults.append(fault)
        task = asyncio.create_task(self._restart_fallen(target, fault))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _restart_fallen(self, target, fault):
        await self.restart_target(target, self._crash_source.uniform(1.0, 2.0))
        self._make_brittle(target)
        fault.ended = self.now()

    def _crash_by_request(self, target, path):
        """Crash a target whose process a request ends, so that its port refuses."""
        task = asyncio.create_task(self._crash_and_replace(target, path))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _crash_and_replace(self, target, path):
        if target.name not in self.target_by_name:
            return
        self.journal.crashes.append(records.Crash(path, target.name, self.now()))
        fault = records.Fault(
            "crash", records.Area.TARGET, target.name, self.now(), self.now()
        )
        self.journal.faults.append(fault)
        link = self.link_by_target[target.name]
        await link.apply({"mode": proxy.Mode.REFUSE, "cut": True})
        seconds = self._crash_source.uniform(*_REPLACED_AFTER_SECONDS)
        await self.crash_target(target, seconds)
        await link.apply({"mode": proxy.Mode.PASS})
        fault.ended = self.now()

    async def restart_target(self, target, seconds):
        """Crash a target, and start it again under its name some seconds later."""
        if self.target_by_name.pop(target.name, None) is None:
            return
        link = self.link_by_target[target.name]
        await link.apply({"mode": proxy.Mode.REFUSE, "cut": True})
        target.begin_incarnation()
        await asyncio.sleep(seconds)
        await link.apply({"mode": proxy.Mode.PASS, "cut": True})
        self.target_by_name[target.name] = target
        await self.store.put("servers", target.name, target.entry())

    async def drain_target(self, target, is_listed=True):
        """Start a target of the same service, then drain and remove the given one.

        Parameters
        ----------
        is_listed : bool
            Whether its record says that it leaves; otherwise only its answers do.
        """
        await self.add_target(target.service)
        if self.target_by_name.pop(target.name, None) is None:
            return
        if is_listed:
            await self.store.put("servers", target.name, target.entry("draining"))
            self._record_change("leaving", subject=target.name)
        else:
            target.signals = {"Server-Leaving": "1"}
        await asyncio.sleep(_LEAVING_SECONDS)
        await self.store.remove("servers", target.name)
        await asyncio.sleep(_LEAVING_SECONDS)
        target.crash()

    def delay_orders(self, share):
        """Set the share of orders that all targets carry out late."""
        self._late_orders_share = share
        for target in self.target_by_name.values():
            target.late_orders_share = share

    def engines(self):
        """Return the engines that run, in the order of their start."""
        return [
            target
            for target in self.target_by_name.values()
            if target.service == _ENGINE
        ]

    # Daemons.

    async def end_daemon(self, daemon, signal_number, restart_delay):
        """Send a signal that ends a daemon, and start it again after it has exited.

        If an earlier call for the daemon isn't finished, only send the signal.
        """
        if daemon.name in self._ending_daemons:
            daemon.send_signal(signal_number)
            return
        self._ending_daemons.add(daemon.name)
        daemon.send_signal(signal_number)
        await daemon.ended()
        await asyncio.sleep(restart_delay)
        await self.restart_daemon(daemon)
        self._ending_daemons.discard(daemon.name)

    async def restart_daemon(self, daemon):
        """Start a daemon that has exited."""
        self.incarnation_by_daemon[daemon.name] += 1
        await daemon.start()

    async def watch_exits(self):
        """Record and restart daemons that exit without a signal, until cancelled."""
        while True:
            for daemon in self.daemon_by_name.values():
                if daemon.is_running or daemon.name in self._ending_daemons:
                    continue
                self.journal.exits.append((daemon.name, await daemon.ended()))
                await self.restart_daemon(daemon)
            await asyncio.sleep(0.1)

    def record_final_state(self):
        """Record the weight version of each engine."""
        self.journal.final_weights_by_engine = {
            engine.name: engine.weights for engine in self.engines()
        }


def _link_to(address):
    host, port = address.split(":")
    return proxy.Proxy(host, int(port))
