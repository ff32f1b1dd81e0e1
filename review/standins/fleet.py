"""Daemons in processes of their own before stand-ins of the platform and its engines.

The daemons are started with the command of the deploy file, with settings like those of
a small deployment. The store is the project's own stand-in; engines, clients and links
are small ones that follow the users' pages.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.request

import standinstore

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "a.example"
KEY = "key-of-acme"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# How long daemons may take to become ready.
READY_SECONDS = 20.0


class Dose:
    """Says which answers a faulty engine may spoil, within a share and a time.

    Only answers that are given while the fault lasts count.

    Parameters
    ----------
    share : float
        The most that are spoiled, of the answers since the fault began.
    seconds : float
        How long the fault lasts.
    """

    def __init__(self, share, seconds):
        self._share, self._seconds = share, seconds
        self._began_at = None
        self.answers = self.spoiled = 0

    def begin(self, now):
        """Begin the fault anew at a time."""
        self._began_at = now
        self.answers = self.spoiled = 0

    def is_on(self, now):
        """Return whether the fault lasts."""
        if self._began_at is None:
            return False
        return self._began_at <= now < self._began_at + self._seconds

    def note_answer(self, now):
        """Count an answer."""
        self.answers += self.is_on(now)

    def take(self, now):
        """Return whether the present answer, already counted, may be spoiled."""
        if not self.is_on(now) or self.spoiled + 1 > self._share * self.answers:
            return False
        self.spoiled += 1
        return True


class CannotRunError(Exception):
    """The case couldn't be played."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")  # noqa: SIM115
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def note(self, text):
        """Write a line with the time since the start."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port(ip="127.0.0.1"):
    """Return a port of an address that is free now."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return found.getsockname()[1]


def head_of(raw):
    """Return the words of the first line, and the headers by their lower-case names."""
    first, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first.split(" "), {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader, headers):
    """Return the body of a message that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        chunk = await reader.readexactly(size + 2)
        body += chunk[:size]
        if size == 0:
            return body


def answer(status, headers, body=b""):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def json_answer(status, value):
    """Return the bytes of an answer in JSON."""
    return answer(
        status, {"Content-Type": "application/json"}, json.dumps(value).encode()
    )


class Server:
    """A stand-in that serves HTTP, one request at a time on each connection."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port = ip, free_port(ip)
        self._server = None
        self.writers = []

    @property
    def address(self):
        """The address, as ``IP:PORT``."""
        return f"{self.ip}:{self.port}"

    async def listen(self):
        """Accept connections."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def stop(self):
        """Stop listening, and break all connections."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers = []

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
            # The case has ended.
            asyncio.CancelledError,
        ):
            while True:
                words, headers = head_of(await reader.readuntil(b"\r\n\r\n"))
                if not await self.handle(words, headers, reader, writer):
                    break
                await writer.drain()
        writer.close()

    async def handle(self, words, headers, reader, writer):
        """Serve a request whose head was read; return whether to read another."""
        raise NotImplementedError


def abort(writer):
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Link(Server):
    """A proxy on the way to an address, which can hold back what passes.

    Attributes
    ----------
    is_open : asyncio.Event
        Bytes towards the address wait until it is set.
    back_is_open : asyncio.Event
        Bytes on the way back wait until it is set.
    """

    def __init__(self, to, ip="127.0.0.1"):
        super().__init__(ip)
        self._to = to
        self.is_open, self.back_is_open = asyncio.Event(), asyncio.Event()
        self.is_open.set()
        self.back_is_open.set()

    def cut(self):
        """Hold back all bytes in both directions."""
        self.is_open.clear()
        self.back_is_open.clear()

    def heal(self):
        """Let bytes pass."""
        self.is_open.set()
        self.back_is_open.set()

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        host, port = self._to.split(":")
        with contextlib.suppress(ConnectionError, asyncio.CancelledError, OSError):
            await self.is_open.wait()
            there, out = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pump(reader, out, self.is_open),
                self._pump(there, writer, self.back_is_open),
            )

    async def _pump(self, reader, writer, is_open):
        try:
            while True:
                data = await reader.read(65536)
                await is_open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            abort(writer)
        writer.close()


def deploy_command():
    """Return the command that the deploy file names for the entry hosts."""
    with open(ROOT / "deploy" / "system.toml", "rb") as file:
        return tomllib.load(file)["roles"]["entry"]["run"].split(" ")


class Daemon:
    """An entry host in a process of its own.

    Attributes
    ----------
    front, ready, directory : str
        The addresses for clients, for the platform's checks and for the directory.
    """

    def __init__(self, folder, number, ip, ports, store, seeds, changes):
        self.name, self.ip = f"front-a-{number}", ip
        front, ready, control, directory, low, high = ports
        self.front, self.ready = f"{ip}:{front}", f"{ip}:{ready}"
        self.directory = f"{ip}:{directory}"
        self.control = f"{ip}:{control}"
        self._settings = pathlib.Path(folder) / f"{self.name}.conf"
        self.log_path = pathlib.Path(folder) / f"{self.name}.log"
        self._process = None
        fields = {
            "NodeName": self.name,
            "Role": "entry",
            "MachineClass": "front",
            "Serves": "front,control,directory",
            "Ip": ip,
            "Zone": "zone-a",
            "Region": "region",
            "Zones.zone-a": "region",
            "Listen.Front": self.front,
            "Listen.ReadyAddr": self.ready,
            "Listen.Control": self.control,
            "Listen.Directory": self.directory,
            "PortRange": f"{low},{high}",
            "Seeds": seeds,
            "Bootstrap": "true",
            "FaultCounted": "false",
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
            "FaultTolerance.Machines": "2",
            "FaultTolerance.Zones": "0",
            "FaultTolerance.Regions": "0",
            "Bounds.SeedLagS": "3",
            "Bounds.AddrReuseS": "2",
            "Bounds.ContactMs": "3000",
            "Bounds.AckMs": "4000",
            "Bounds.CatchUpS": "4",
            "Bounds.DrainMs": "2000",
            "Bounds.GraceS": "8",
            "Bounds.LossSlackMs": "200",
            "Bounds.ConfigApplyMs": "2000",
            "Bounds.RollbackSlackMs": "250",
            "Bounds.OuterMs": "5000",
            "Bounds.StrictRevoke": "false",
            "Bounds.RevokeMs": "5000",
            "Bounds.RetryBudgetRatio": "0.2",
            "Bounds.BudgetWindowS": "10",
            "Bounds.BudgetSlack": "52",
            "Bounds.RecoverS": "12",
            "Bounds.TransitMs": "120",
            "Bounds.RetryAfterS": "20",
            "Bounds.RequireFencing": "false",
            "Bounds.LeaseMs": "3000",
            "Bounds.ThawMs": "300",
            "Bounds.VersionMs": "8000",
            "Bounds.VersionAllMs": "11000",
            "Bounds.ttl_max_s": "5",
            "Platform.Address": store,
            "Platform.form": "objects",
            "Platform.WritesPerS": "400",
            "Platform.ReadsPerS": "2000",
            "Platform.HistoryS": "20",
            "Platform.ValueBytes": "1048576",
            "Platform.TtlMinMs": "1000",
        } | changes
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self._settings.write_text(text)

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SESAMESPINDLE_NODE_FILE": str(self._settings),
        }
        with open(self.log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send(self, number):
        """Send a signal, if the process runs."""
        if self.is_running:
            self._process.send_signal(number)

    async def wait(self):
        """Wait for the end of the process, and return its exit code."""
        return await self._process.wait()

    async def until_ready(self):
        """Wait until the readiness check succeeds."""
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            if not self.is_running:
                raise CannotRunError(
                    f"{self.name} ended: {self.log_path.read_text()[-2000:]}"
                )
            if await asyncio.to_thread(_is_ready, f"http://{self.ready}/v1/ready"):
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(
            f"{self.name} isn't ready: {self.log_path.read_text()[-2000:]}"
        )


def _is_ready(url):
    try:
        with urllib.request.urlopen(url, timeout=1) as response:
            return response.status == 200
    except OSError:
        return False


class Fleet:
    """A store and daemons; everything ends with the context."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = None
        self.daemons = []
        self._stack = contextlib.AsyncExitStack()
        self._ports = None
        self._prefix = f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}"

    async def __aenter__(self):
        self._ports = _free_ports(6)
        self.store = await self._stack.enter_async_context(
            standinstore.Store(f"127.0.0.1:{free_port()}")
        )
        return self

    async def __aexit__(self, *exc_info):
        for daemon in self.daemons:
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
        for daemon in self.daemons:
            if daemon.is_running:
                await daemon.wait()
        await self._stack.aclose()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for daemon in self.daemons:
                shutil.copy(daemon.log_path, kept)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_daemons(self, count, store_by_number=None, **changes):
        """Start daemons, and wait until they are ready."""
        ips = [f"{self._prefix}.{number + 1}" for number in range(count)]
        control = self._ports[2]
        seeds = ",".join(f"{ip}:{control}" for ip in ips[:3])
        for number, ip in enumerate(ips, 1):
            store = (store_by_number or {}).get(number)
            store = store or await self.store.add_door(ip)
            daemon = Daemon(self.folder, number, ip, self._ports, store, seeds, changes)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.until_ready()


def _free_ports(count):
    """Return successive ports that are free."""
    for first in range(20000 + os.getpid() % 5000, 32000, count):
        ports = range(first, first + count)
        try:
            for port in ports:
                socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        return list(ports)
    raise CannotRunError("No free ports.")


def route(prefix, kind, service, **more):
    """Return a route of a manifest."""
    return {
        "Name": prefix.strip("/"),
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "TimeoutMs": 10_000,
        "TargetLatencyMs": 500,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
    } | more


def manifest(routes, services, version=1, **more):
    """Return a manifest with one tenant."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 5000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "acme", "ApiKeys": [KEY]}],
    } | more


class Answer:
    """What a client got: the status (0 without one), the headers and the body."""

    def __init__(self, status=0, headers=None, body=b"", is_whole=False):
        self.status, self.headers = status, headers or {}
        self.body, self.is_whole = body, is_whole


async def ask(
    address, path, attempt, body=b"x", method="POST", deadline_ms=5000, **more
):
    """Send a request on a new connection; return its `Answer`."""
    host, port = address.split(":")
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "X-Api-Key": KEY,
        "Content-Length": str(len(body)),
        "Connection": "close",
    } | {name.replace("_", "-"): value for name, value in more.items()}
    lines = [f"{method} {path} HTTP/1.1", *(f"{n}: {v}" for n, v in headers.items())]
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer()
    found = Answer()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 2):
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await writer.drain()
            words, found.headers = head_of(await reader.readuntil(b"\r\n\r\n"))
            found.status = int(words[1])
            found.body = await read_body(reader, found.headers)
            found.is_whole = True
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        writer.transport.abort()
    return found


class KeptClient:
    """A client that sends one request after the other on a kept connection.

    Attributes
    ----------
    unanswered : list of str
        The ids of requests whose connection was closed without any byte of an answer,
        and that weren't the first on it.
    answered : int
        The number of whole answers with status 200.
    """

    def __init__(self, address, path, name, **headers):
        self._address, self._path, self._name = address, path, name
        self._headers = headers
        self.unanswered = []
        self.answered = 0

    async def run(self, record):
        """Send requests until cancelled; connect again after a loss."""
        number = 0
        while True:
            try:
                host, port = self._address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.1)
                continue
            is_kept = False
            try:
                while True:
                    number += 1
                    attempt = f"{self._name}-{number}"
                    if not await self._ask(attempt, reader, writer, is_kept, record):
                        break
                    is_kept = True
            finally:
                writer.transport.abort()
            await asyncio.sleep(0.1)

    async def _ask(self, attempt, reader, writer, is_kept, record):
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "5000",
            "X-Api-Key": KEY,
            "Content-Length": "1",
        } | self._headers
        lines = [
            f"POST {self._path} HTTP/1.1",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        raw = b""
        record.note(f"client: {attempt} sent")
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + b"x")
            await writer.drain()
            raw = await reader.readuntil(b"\r\n\r\n")
            words, found = head_of(raw)
            await read_body(reader, found)
        except asyncio.IncompleteReadError as error:
            if not raw and not error.partial:
                self._note_unanswered(attempt, is_kept, record)
            return False
        except OSError:
            if not raw:
                self._note_unanswered(attempt, is_kept, record)
            return False
        record.note(f"client: {attempt} answered {words[1]}")
        self.answered += words[1] == "200"
        return found.get("connection", "").lower() != "close"

    def _note_unanswered(self, attempt, is_kept, record):
        kept = "kept" if is_kept else "new"
        record.note(f"client: {attempt}: {kept} connection closed, no answer")
        if is_kept:
            self.unanswered.append(attempt)


def main(play, folder):
    """Play a case, and exit as the issue asks.

    Parameters
    ----------
    play : callable
        Takes the record and whether there is trouble; returns the breaches as texts.
    """
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaches = asyncio.run(_limited(play, record, has_trouble))
    except Exception as error:
        record.note(f"The case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.note(f"BROKEN {breach}")
        print(f"BROKEN {breach}")
    if not breaches:
        record.note("HELD")
        print("HELD")
    sys.exit(BROKEN if breaches else HELD)


async def _limited(play, record, has_trouble):
    async with asyncio.timeout(110):
        return await play(record, has_trouble)
