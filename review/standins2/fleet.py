"""Starts the project's daemons, and a stand-in for the platform's store."""

import asyncio
import collections
import itertools
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import aiohttp
import aiohttp.web

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "key-of-desk"
HOST = "desk.example"


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._began = time.monotonic()

    def __call__(self, text):
        """Write one line, with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began:9.3f} s  {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


class PlatformStore:
    """The platform's store: lists, watches, conditional writes (PROTOCOL.md)."""

    def __init__(self):
        self.address = None
        self._objects = {}
        self._revision = 1
        self._changes = collections.deque(maxlen=5000)
        self._changed = asyncio.Condition()
        self._runner = None

    async def start(self, ip, port):
        """Serve at an address; what was stored before is still there."""
        application = aiohttp.web.Application()
        application.router.add_route("*", "/v1/objects/{kind}", self._serve_kind)
        application.router.add_route("*", "/v1/objects/{kind}/{name}", self._serve_one)
        self._runner = aiohttp.web.AppRunner(
            application, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self._runner.setup()
        await aiohttp.web.TCPSite(self._runner, ip, port, reuse_address=True).start()
        self.address = f"{ip}:{port}"

    async def stop(self):
        """Stop serving."""
        await self._runner.cleanup()

    async def go_down(self):
        """Refuse all connections and reset those that are open; lose nothing."""
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()

    async def come_back(self):
        """Serve again at the same address, with all that was stored."""
        ip, port = self.address.split(":")
        await self.start(ip, int(port))

    async def put(self, kind, name, spec):
        """Write as the operator or an engine does."""
        await self._change(kind, name, spec)

    async def remove(self, kind, name):
        """Remove an object, if it exists."""
        if (kind, name) in self._objects:
            await self._delete(kind, name)

    async def _change(self, kind, name, spec, finalizers=()):
        known = self._objects.get((kind, name))
        if known is not None and known["Spec"] == spec:
            return known
        self._revision += 1
        created = known["Metadata"]["CreateRevision"] if known else self._revision
        item = {
            "Metadata": {
                "Name": name,
                "Revision": self._revision,
                "CreateRevision": created,
                "Finalizers": list(finalizers),
                "Deleting": False,
            },
            "Spec": spec,
            "Status": None,
        }
        self._objects[kind, name] = item
        await self._tell(kind, item, False)
        return item

    async def _delete(self, kind, name):
        self._revision += 1
        await self._tell(kind, self._objects.pop((kind, name)), True)

    async def _tell(self, kind, item, deleted):
        self._changes.append((self._revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve_kind(self, request):
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = await request.json()
            name = body["Metadata"]["Name"]
            if (kind, name) in self._objects:
                return _json(self._objects[kind, name], 409)
            return _json(await self._change(kind, name, body["Spec"]), 201)
        if "Watch" in request.query:
            return await self._watch(request, kind)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        items = [self._objects[kind, name] for name in names[:500]]
        return _json(
            {
                "items": items,
                "MorePages": len(names) > 500,
                "CurrentRev": self._revision,
            }
        )

    async def _watch(self, request, kind):
        since = int(request.query["Watch"])

        def events():
            return [
                {"Object": item, "Deleted": deleted}
                for revision, changed, item, deleted in self._changes
                if revision > since and changed == kind
            ]

        try:
            async with (
                asyncio.timeout(int(request.query.get("WaitMs", 0)) / 1000),
                self._changed,
            ):
                await self._changed.wait_for(events)
        except TimeoutError:
            pass
        return _json({"Events": events(), "CurrentRev": self._revision})

    async def _serve_one(self, request):
        key = request.match_info["kind"], request.match_info["name"]
        current = self._objects.get(key)
        if current is None:
            return _json({}, 404)
        if request.method == "GET":
            return _json(current)
        body = await request.json() if request.method == "PUT" else {}
        expected = body.get("Metadata", {}).get("Revision")
        expected = expected or request.query.get("Revision")
        if expected is not None and int(expected) != current["Metadata"]["Revision"]:
            return _json(current, 409)
        if request.method == "PUT":
            return _json(await self._change(*key, body["Spec"]))
        await self._delete(*key)
        return _json(current)


def _json(value, status=200):
    return aiohttp.web.json_response(value, status=status)


class Addresses:
    """Loopback addresses and ports that this script alone uses."""

    def __init__(self):
        pid = os.getpid()
        self._prefix = f"127.{16 + (pid >> 8) % 200}.{pid % 256}"
        self._numbers = itertools.count(1)
        base = random.SystemRandom().randrange(18000, 30000)
        self.front, self.ready, self.control, self.directory = range(base, base + 4)
        self.range = f"{base + 10},{base + 25}"
        self.port = base + 40

    def ip(self):
        """Return an address that nothing else uses."""
        return f"{self._prefix}.{next(self._numbers)}"


class Daemon:
    """One entry host: the program of the deploy file, with a settings file."""

    def __init__(self, name, ip, zone, zones, addresses, store, seeds, folder, bounds):
        self.name, self.ip, self.zone = name, ip, zone
        self._addresses = addresses
        self._process = None
        self.front = f"{ip}:{addresses.front}"
        self.control = f"{ip}:{addresses.control}"
        self.ready_url = f"http://{ip}:{addresses.ready}/v1/ready"
        self._log = pathlib.Path(folder) / f"{name}.log"
        self._settings = pathlib.Path(folder) / f"{name}.conf"
        fixed = {
            "NodeName": name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": "front,control,directory",
            "Ip": ip,
            "Zone": zone,
            "Region": "kigali",
            "Listen.Front": self.front,
            "Listen.ReadyAddr": f"{ip}:{addresses.ready}",
            "Listen.Control": self.control,
            "Listen.Directory": f"{ip}:{addresses.directory}",
            "PortRange": addresses.range,
            "Seeds": ",".join(seeds),
            "Bootstrap": "true",
            "Limits.CpuShare": "0.537",
            "Limits.Cores": "2",
            "Limits.MemoryMb": "300",
            "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0",
            "Limits.DiskMb": "0",
            "Discovery": "platform",
            "Entry": "directory",
            "HeartbeatMs": "1200",
            "Contracts": "base,drain,config,cost,retry,recover,kvcache,stream,engine,"
            "tenants,platform",
            "Platform.Address": store,
            "Platform.form": "objects",
            "Platform.WritesPerS": "400",
            "Platform.ReadsPerS": "2000",
            "Platform.HistoryS": "20",
            "Platform.ValueBytes": "1048576",
            "Platform.TtlMinMs": "1000",
        }
        for one in zones:
            fixed[f"Zones.{one}"] = "kigali"
        for key, value in (BOUNDS | bounds).items():
            fixed[f"Bounds.{key}"] = value
        text = "".join(f"{key}={value}\n" for key, value in fixed.items())
        self._settings.write_text(text)

    async def start(self):
        """Start to serve."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SESAMESPINDLE_NODE_FILE"] = str(self._settings)
        with open(self._log, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sesamespindle.platform.launch",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number):
        """Send a signal, if the process runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def ended(self):
        """Wait until the process exits; return its exit code."""
        return await self._process.wait()

    async def kill(self):
        """End the process at once."""
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    def log_lines(self):
        """Return what it has logged."""
        return self._log.read_text(errors="replace").splitlines()

    async def is_ready(self, session):
        """Return whether the readiness probe succeeds."""
        try:
            async with session.get(self.ready_url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False


BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "StrictRevoke": "false",
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 52,
    "RecoverS": 12,
    "TransitMs": 120,
    "RetryAfterS": 20,
    "RequireFencing": "false",
    "LeaseMs": 3000,
    "ThawMs": 300,
    "VersionMs": 8000,
    "VersionAllMs": 11000,
    "ttl_max_s": 5,
}


class Fleet:
    """All processes and stand-ins of one script; leaving it ends them."""

    def __init__(self, record, bounds=None):
        self.record = record
        self.addresses = Addresses()
        self.store = PlatformStore()
        self.daemons = []
        self.session = None
        self._bounds = bounds or {}
        self._folder = tempfile.TemporaryDirectory()
        self._stops = []

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=40),
        )
        await self.store.start(self.addresses.ip(), self.addresses.port)
        return self

    async def __aexit__(self, *exc_info):
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        for stop in reversed(self._stops):
            await stop()
        await self.store.stop()
        await self.session.close()
        if os.environ.get("KEEP_LOGS"):
            target = pathlib.Path(os.environ["KEEP_LOGS"])
            target.mkdir(exist_ok=True)
            for daemon in self.daemons:
                (target / f"{daemon.name}.log").write_text(
                    "\n".join(daemon.log_lines())
                )
        self._folder.cleanup()

    def on_end(self, stop):
        """Have a coroutine function called at the end."""
        self._stops.append(stop)

    def add_daemon(self, zone, zones, name=None):
        """Return a new daemon, which is not started yet."""
        number = len(self.daemons) + 1
        seeds = [daemon.control for daemon in self.daemons[:3]]
        ip = self.addresses.ip()
        daemon = Daemon(
            name or f"front-{zone}-{number}",
            ip,
            zone,
            zones,
            self.addresses,
            self.store.address,
            seeds,
            self._folder.name,
            self._bounds,
        )
        self.daemons.append(daemon)
        return daemon

    async def start_all(self, patience=40.0):
        """Start all daemons and wait until each is ready."""
        for daemon in self.daemons:
            await daemon.start()
        ends_at = time.monotonic() + patience
        for daemon in self.daemons:
            while not await daemon.is_ready(self.session):
                if time.monotonic() > ends_at or not daemon.is_running:
                    raise CantRunError(
                        f"{daemon.name} isn't ready\n"
                        + "\n".join(daemon.log_lines()[-5:])
                    )
                await asyncio.sleep(0.1)


class CantRunError(Exception):
    """The case couldn't run."""


def play(scenario, record_path, bounds=None):
    """Run a scenario; return the exit code of the script."""

    async def run():
        # Ended from outside, it still ends the processes that it started.
        playing = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, playing.cancel)
        record = Record(record_path)
        try:
            async with asyncio.timeout(112), Fleet(record, bounds) as fleet:
                return await scenario(fleet, os.environ.get("TROUBLE", "1") != "0")
        except (Exception, asyncio.CancelledError) as error:
            # An error here must not look like a broken rule, whose exit code is 1.
            record(f"could not run: {error!r}")
            return 2
        finally:
            record.close()

    return asyncio.run(run())
