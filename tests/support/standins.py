"""Stand-ins for targets, and real daemon processes before a stand-in store."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile

import aiohttp
import aiohttp.web
import corewaits
import limits
import standinstore

from sesamespindle.lab import processes, proxy

# Waits end when their condition holds; this time-out only ends a test in which that
# never happens.
PATIENCE_SECONDS = 15.0
# One port each for callers, readiness probes, the directory, peers, and requests that
# peers carry.
DAEMON_PORTS = 5
# Linux gives out higher ones to connections and to listeners that name none.
_PORTS = range(16_384, 32_768)
KEY = "key-of-acme"


class Target:
    """A target that writes HTTP byte by byte, so that it can break the protocol.

    Attributes
    ----------
    runs : list of dict
        The headers of every request that it ran, with names in lower case.
    began : asyncio.Event
        Set once it runs a request.
    refused : int
        The number of requests refused because they name another target.
    status : int
        The status of answers by the plain service.
    body : bytes
        The body of the latest request.
    readers, writers : list
        The streams of the current incarnation's connections, oldest first.
    second_answer : bytes
        Bytes sent after each answer, which belong to no request.
    is_mute : bool
        Whether it runs requests without ever answering them.
    loses_answers : bool
        Whether it runs requests and then aborts the connection instead of answering.
    unframed_bytes : int
        If not 0, the plain service answers with that many bytes and without a length.
    resets_unframed : bool
        Whether such an answer ends with a TCP reset instead of an orderly close.
    born : int or None
        When its incarnation started, in ms since 1970, as its record states it; None
        to leave it out of the record.
    release : asyncio.Event
        Streams wait after their first event until it is set.
    admits : asyncio.Event
        Requests wait in the target's queue until it is set. A request whose
        connection closes before that is dropped and doesn't run.
    queued : asyncio.Event
        Set once a request waits in the queue.
    waited : int
        The number of requests that have waited there.
    dropped : asyncio.Event
        Set once a request was dropped from the queue.
    crashed_by : bytes
        A request whose body begins with these bytes crashes the target as soon as
        it runs; if empty, no request does.
    crashes : list of float
        The times of its crashes, in seconds of the event loop's clock.
    signals : dict of str to str
        Headers in which it says something of itself in every answer.
    arrivals : list of limits.Arrival
        The requests that reached its current incarnation, but for those meant for
        another target. The host is what the request's id has before its first dot.
    answers : list of limits.Answer
        The answers of its current incarnation, with the limits that they name.
    turns_away : bool
        Whether it refuses all requests with status 503 as overloaded. The body of
        that answer is sent once `release` is set.
    """

    def __init__(self, name, address, service="desk"):
        self.name = name
        self.address = address
        self.service = service
        self.runs = []
        self.refused = 0
        self.second_answer = b""
        self.status = 200
        self.release = asyncio.Event()
        self.release.set()
        self.began = asyncio.Event()
        self.admits = asyncio.Event()
        self.admits.set()
        self.queued = asyncio.Event()
        self.waited = 0
        self.dropped = asyncio.Event()
        self.crashed_by = b""
        self.crashes = []
        self.turns_away = False
        self.signals = {}
        self.arrivals = []
        self.answers = []
        self.readers = []
        self.writers = []
        self.loses_answers = False
        self.is_mute = False
        self.born = 1_700_000_000_000
        self.unframed_bytes = 0
        self.resets_unframed = False
        self.body = b""
        self._server = None

    async def __aenter__(self):
        await self.listen()
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    async def listen(self):
        """Listen for requests at its address."""
        host, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self):
        """Stop listening and break all connections, as a crashed process does."""
        self.crashes.append(asyncio.get_running_loop().time())
        self._server.close()
        self.begin_incarnation()

    def entry(self, state="ready"):
        """Return the record under which the target is listed."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "dc-1",
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Models": [{"Name": "m", "Version": 1}] if self.service == "llm" else [],
            "Seq": 1,
        } | ({"born": self.born} if self.born is not None else {})

    def begin_incarnation(self, is_seen=True):
        """Start a new incarnation under the same name.

        Parameters
        ----------
        is_seen : bool
            Whether open connections break at once. If not, as after a loss of power,
            each breaks when its next request comes, and that request isn't run.
        """
        for writer in self.writers if is_seen else ():
            writer.transport.abort()
        self.readers, self.writers, self.runs = [], [], []
        self.arrivals, self.answers = [], []
        self.born += 1000

    async def _serve(self, reader, writer):
        self.readers.append(reader)
        self.writers.append(writer)
        born = self.born
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.born != born:
                    writer.transport.abort()
                    return
                headers = parse_head(head)
                self.body = await _read_body(reader, headers)
                if headers.get("x-expect-instance", self.name) != self.name:
                    self.refused += 1
                    identity = {"X-Instance-Id": self.name}
                    writer.write(make_answer(421, headers, identity))
                    continue
                if not await self._admit(reader):
                    self.dropped.set()
                    break
                await self._answer(headers, writer)
        writer.close()

    async def _admit(self, reader):
        """Wait in the queue; return False if the connection closes meanwhile."""
        if self.admits.is_set():
            return True
        self.queued.set()
        self.waited += 1
        closed = asyncio.create_task(reader.read(1))
        admitted = asyncio.create_task(self.admits.wait())
        await asyncio.wait({closed, admitted}, return_when=asyncio.FIRST_COMPLETED)
        is_open = not closed.done()
        closed.cancel()
        admitted.cancel()
        await asyncio.gather(closed, admitted, return_exceptions=True)
        return is_open

    async def _answer(self, headers, writer):
        self._note_arrival(headers)
        if self.turns_away:
            await self._refuse_as_full(headers, writer)
            return
        self.runs.append(headers)
        self.began.set()
        if self.crashed_by and self.body.startswith(self.crashed_by):
            self.crash()
            return
        if self.is_mute:
            return
        if self.loses_answers:
            writer.transport.abort()
            return
        if self.service == "llm":
            await self._stream(headers, writer)
            return
        if self.unframed_bytes:
            await self._answer_unframed(headers, writer)
            return
        body = f"{self.name} ran {headers['x-attempt-id']}".encode()
        extra = {"X-Server-Stamp": "s"} | self.signals
        writer.write(
            make_answer(self.status, headers, extra, body) + self.second_answer
        )

    def _note_arrival(self, headers):
        """Record a request, and the answer, whose headers follow at once."""
        now = asyncio.get_running_loop().time()
        host, _, _ = headers.get("x-attempt-id", "").partition(".")
        self.arrivals.append(limits.Arrival(now, host))
        limit = limits.read(self.signals.get("Server-Limit"))
        is_leaving = self.signals.get("Server-Leaving") == "1"
        rest = float(self.signals.get("Retry-After", 0)) if self.turns_away else 0.0
        if limit is not None:
            answer = limits.Answer(now, host, limit, is_leaving, rest)
            self.answers.append(answer)

    async def _refuse_as_full(self, headers, writer):
        body = b"full"
        extra = {"X-Not-Executed": "1"} | self.signals
        answer = make_answer(503, headers, extra, body)
        writer.write(answer.removesuffix(body))
        await self.release.wait()
        writer.write(body)

    async def _answer_unframed(self, headers, writer):
        """Answer without a length, so that the end of the connection ends the body."""
        attempt = headers["x-attempt-id"].encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nConnection: close\r\n"
            b"X-Attempt-Id: " + attempt + b"\r\n\r\n" + b"x" * self.unframed_bytes
        )
        await writer.drain()
        if self.resets_unframed:
            linger = struct.pack("ii", 1, 0)
            raw_socket = writer.get_extra_info("socket")
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await asyncio.sleep(0.05)
            writer.transport.abort()
            return
        writer.close()

    def signal_lines(self):
        """Return the header lines in which it says something of itself."""
        lines = (f"{name}: {value}\r\n" for name, value in self.signals.items())
        return "".join(lines).encode()

    async def _stream(self, headers, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
            + self.signal_lines()
            + b"X-Attempt-Id: "
            + headers["x-attempt-id"].encode()
            + b"\r\n\r\n"
        )
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, 4):
            event = f"id: {number}\ndata: token\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await self.release.wait()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def _read_body(reader, headers):
    """Return a body, whether chunked or with a length."""
    if headers.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while True:
        size = int(await reader.readline(), 16)
        chunk = await reader.readexactly(size + 2)
        body += chunk[:size]
        if size == 0:
            return body


def parse_head(head):
    """Return headers by their names in lower case, and the path under ``:path``."""
    first, *lines = head.decode().split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    return headers | {":path": first.split()[1]}


def make_answer(status, headers, extra, body=b""):
    """Return the bytes of an answer that repeats the request's id."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"X-Attempt-Id: {headers.get('x-attempt-id', '-')}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in extra.items()),
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def make_manifest(version=1, keys=(KEY,), **changed):
    """Return a manifest with a plain service and an engine service.

    Parameters
    ----------
    keys : sequence of str
        The API keys of the one account.
    **changed
        Top-level fields that replace those of the usual manifest.
    """

    def route(prefix, kind, service, **more):
        return {
            "Name": prefix.strip("/"),
            "Host": "a.example",
            "PathPrefix": prefix,
            "Kind": kind,
            "TimeoutMs": 10_000,
            "TargetLatencyMs": 500,
            "Priority": 0,
            "Service": service,
            "MaxAttempts": 2,
        } | more

    return {
        "Version": version,
        "Routes": [
            route("/once/", "unsafe", "desk"),
            route("/read/", "safe", "desk"),
            route("/chat/", "streaming", "llm", Resumable=True),
        ],
        "Services": [
            {"Name": "desk", "MaxConnections": 64},
            {
                "Name": "llm",
                "MaxConnections": 64,
                "Engine": {"Slots": 8, "KvCapacity": 1000, "Models": [{"Name": "m"}]},
            },
        ],
        "Limits": {"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": 15_000},
        "Tenants": [{"Name": "acme", "ApiKeys": list(keys)}],
    } | changed


class Daemon:
    """A real daemon in its own process.

    Parameters
    ----------
    grace : int
        Seconds that the platform gives the process to exit after SIGTERM.
    data_centres : tuple of str
        All data centres; the daemon's own is the first.
    detours : str, optional
        The path of the file that leads its connections elsewhere.
    held_until : str, optional
        The path of a file without which it doesn't load its modules.
    budget_seconds : float, optional
        The window of the retry budget, after which a process has its whole share of
        it; the platform's default if left out.
    limits : dict, optional
        Values of the settings' section ``Limits`` by name; the defaults if left out.
    """

    def __init__(
        self,
        name,
        ip,
        ports,
        store_address,
        seeds=(),
        grace=8,
        data_centres=("dc-1",),
        detours=None,
        held_until=None,
        budget_seconds=None,
        limits=None,
    ):
        self.name = name
        self._limits = limits or {}
        self._detours = detours
        self._held_until = held_until
        self._budget_seconds = budget_seconds
        self.data_centre = data_centres[0]
        self._data_centres = data_centres
        self.ip = ip
        self._ports = ports
        self._store_address = store_address
        self._seeds = seeds
        self._grace = grace
        self._process = None
        self._settings_path = None
        self.log = None

    async def __aenter__(self):
        front, ready, directory, control, carried = self._ports
        seeds = ",".join(f"{ip}:{control}" for ip in self._seeds)
        zones = "".join(f"Zones.{name}=r\n" for name in self._data_centres)
        text = (
            f"NodeName={self.name}\nZone={self.data_centre}\nRegion=r\n"
            f"Ip={self.ip}\n{zones}"
            f"Listen.Front={self.ip}:{front}\nListen.ReadyAddr={self.ip}:{ready}\n"
            f"Listen.Directory={self.ip}:{directory}\n"
            f"Listen.Control={self.ip}:{control}\nSeeds={seeds}\n"
            f"PortRange={carried},{carried}\n"
            f"Bounds.GraceS={self._grace}\nPlatform.Address={self._store_address}\n"
        )
        if self._budget_seconds is not None:
            text += f"Bounds.BudgetWindowS={self._budget_seconds}\n"
        for key, value in self._limits.items():
            text += f"Limits.{key}={value}\n"
        with tempfile.NamedTemporaryFile("w", delete=False) as settings:
            settings.write(text)
        self._settings_path = settings.name
        self.log = tempfile.TemporaryFile()  # noqa: SIM115
        await self.start()
        return self

    async def start(self):
        """Start the process, the first time or again after it has exited."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            *self._program(),
            stdout=self.log,
            stderr=self.log,
            env=processes.environment_with(
                {"SESAMESPINDLE_NODE_FILE": self._settings_path}
                | ({"DETOURS_PATH": self._detours} if self._detours else {})
                | ({"HELD_UNTIL_PATH": self._held_until} if self._held_until else {})
            ),
        )

    def _program(self):
        if self._detours:
            return (str(pathlib.Path(__file__).with_name("detourlaunch.py")),)
        if self._held_until:
            return (str(pathlib.Path(__file__).with_name("heldlaunch.py")),)
        return "-m", "sesamespindle.platform.launch"

    async def __aexit__(self, *exc_info):
        if self.is_running:
            self._process.kill()
        await self._process.wait()
        os.unlink(self._settings_path)
        self.log.close()

    @property
    def front_port(self):
        """The port for callers."""
        return self._ports[0]

    @property
    def carry_port(self):
        """The port for requests that it carries for peers."""
        return self._ports[4]

    @property
    def ready_port(self):
        """The port for the readiness probe."""
        return self._ports[1]

    @property
    def directory_port(self):
        """The port for callers that look up host addresses."""
        return self._ports[2]

    @property
    def control_port(self):
        """The port for calls of peers."""
        return self._ports[3]

    @property
    def peer_ports(self):
        """The ports at which peers reach it."""
        return self._ports[3:]

    def url(self, path):
        """Return the URL of a path for callers."""
        return f"http://{self.ip}:{self._ports[0]}{path}"

    def ready_url(self):
        """Return the URL of the readiness probe."""
        return f"http://{self.ip}:{self._ports[1]}/v1/ready"

    async def lets_probes_in(self):
        """Return whether the port of the readiness probe accepts connections."""
        return await self._accepts(self._ports[1])

    async def accepts_carried(self):
        """Return whether the port for carried requests accepts connections."""
        return await self._accepts(self.carry_port)

    async def _accepts(self, port):
        try:
            _, writer = await asyncio.open_connection(self.ip, port)
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    def directory_url(self, data_centre="dc-1"):
        """Return the URL at which callers of a data centre look up host addresses."""
        query = f"Name=a.example&Zone={data_centre}"
        return f"http://{self.ip}:{self._ports[2]}/v1/resolve?{query}"

    @property
    def process_id(self):
        """The id of the process."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process runs."""
        return self._process.returncode is None

    def seconds_without_core(self):
        """Return how long the process has waited for a core; 0 if it has exited."""
        try:
            return corewaits.seconds_waited(self.process_id)
        except FileNotFoundError:
            return 0.0

    def send_signal(self, number):
        """Send a signal, if the process still runs."""
        if self.is_running:
            self._process.send_signal(number)

    def terminate(self):
        """Send SIGTERM."""
        self.send_signal(signal.SIGTERM)

    async def ended(self):
        """Wait until the process exits, and return its exit code."""
        return await self._process.wait()

    def lines(self):
        """Return the lines that the daemon has logged so far."""
        size = os.fstat(self.log.fileno()).st_size
        return os.pread(self.log.fileno(), size, 0).decode().splitlines()

    def describe(self):
        """Return whether the process runs, and the last 20 lines of its log."""
        state = "runs" if self.is_running else f"exited with {self._process.returncode}"
        return "\n".join([f"{self.name} at {self.ip}: {state}", *self.lines()[-20:]])


class World:
    """A store, targets and daemons, each at its own loopback address.

    Attributes
    ----------
    budget_seconds : float or None
        The window of the retry budget of daemons that are added from now on; None for
        the platform's default. With a short one a daemon may send a request again as
        soon as it is ready.
    limits : dict
        The section ``Limits`` of the settings of daemons that are added from now on.
    """

    def __init__(self):
        # The prefix contains bits of the process id, so that test processes that run
        # side by side use different addresses.
        self._prefix = f"127.{os.getpid() >> 8 & 127}.{os.getpid() & 255}"
        self._stack = contextlib.AsyncExitStack()
        self._ports = None
        self._daemon_count = 0
        self.store = None
        self.session = None
        self.daemons = []
        self.target_by_name = {}
        self.budget_seconds = None
        self.limits = {}

    async def __aenter__(self):
        self._ports = free_ports(DAEMON_PORTS)
        self.session = await self._stack.enter_async_context(aiohttp.ClientSession())
        self.store = await self._stack.enter_async_context(
            standinstore.Store(self._address())
        )
        await self.store.put("config", "main", make_manifest())
        return self

    async def __aexit__(self, kind, error, trace):
        if error is not None:
            for daemon in self.daemons:
                error.add_note(daemon.describe())
        await self._stack.aclose()

    async def add_link(self):
        """Return a new link to the store, whose connections can be disturbed."""
        host, port = self.store.address.split(":")
        return await self._stack.enter_async_context(proxy.Proxy(host, int(port)))

    async def add_target(self, name, service="desk", address=None):
        """Start a target and list it in the store."""
        return await self.list_target(Target(name, address or self._address(), service))

    async def list_target(self, target):
        """Start a target and list it in the store; return it."""
        await self._stack.enter_async_context(target)
        await self.store.put("servers", target.name, target.entry())
        self.target_by_name[target.name] = target
        return target

    async def bring_back(self, target):
        """Start a crashed target again under its name, and list it in the store."""
        await target.listen()
        await self.store.put("servers", target.name, target.entry())

    async def add_daemon(self, seeds=(), grace=8):
        """Start a daemon and wait until it is ready."""
        daemon = await self.start_daemon(seeds, grace)
        await self.until_ready(daemon)
        return daemon

    async def start_daemon(
        self,
        seeds=(),
        grace=8,
        store_address=None,
        data_centres=("dc-1",),
        detours=None,
        held_until=None,
    ):
        """Start a daemon without waiting until it is ready.

        Parameters
        ----------
        store_address : str, optional
            Where it reaches the store, if not directly.
        data_centres : tuple of str
            All data centres; the daemon's own is the first.
        detours : str, optional
            The path of the file that leads its connections elsewhere.
        held_until : str, optional
            The path of a file without which it doesn't load its modules.
        """
        self._daemon_count += 1
        ip = f"{self._prefix}.{self._daemon_count}"
        daemon = Daemon(
            f"entry-{self._daemon_count}",
            ip,
            self._ports,
            store_address or await self.store.add_door(ip),
            seeds,
            grace,
            data_centres,
            detours,
            held_until,
            self.budget_seconds,
            self.limits,
        )
        await self._stack.enter_async_context(daemon)
        self.daemons.append(daemon)
        return daemon

    def next_ip(self):
        """Return the IP address that the next daemon gets."""
        return f"{self._prefix}.{self._daemon_count + 1}"

    async def is_ready(self, daemon):
        """Return whether a daemon's readiness probe succeeds."""
        return await status_of(daemon.ready_url()) == 200

    async def until_ready(self, daemon):
        """Wait until a daemon is ready, as the function `until_ready`."""
        await until_ready(daemon)

    async def ask(
        self, daemon, path, request_id, method="POST", body=b"body", **headers
    ):
        """Send a request; return its status, headers and body."""
        sent = {
            "Host": "a.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "9000",
            "X-Api-Key": KEY,
        } | headers
        async with self.session.request(
            method, daemon.url(path), headers=sent, data=body
        ) as response:
            return response.status, response.headers, await response.read()

    async def until(self, condition):
        """Wait until an asynchronous condition holds, as the function `until`."""
        await until(condition)

    def _address(self):
        return f"127.0.0.1:{free_ports(1)[0]}"


# Each test process has an order of its own, and repeats a port as late as it can.
_next_ports = itertools.cycle(random.SystemRandom().sample(_PORTS, len(_PORTS)))


def free_ports(count):
    """Return distinct free ports of the loopback device.

    Guards against a daemon that gets the same port for two purposes and exits at its
    start, and against a stand-in whose port is taken between this call and its start,
    or while it is down: the kernel gives none of these ports to connections, and no
    other process is likely to choose the same one meanwhile.
    """
    ports = []
    while len(ports) < count:
        port = next(_next_ports)
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port):
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


async def until(condition):
    """Wait until an asynchronous condition holds.

    Raises
    ------
    TimeoutError
        If it doesn't hold within `PATIENCE_SECONDS`.
    """
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not await condition():
            await asyncio.sleep(0.02)


async def until_ready(daemon):
    """Wait until a daemon is ready, after which callers can connect to it.

    Guards against tests that fail as many processes run beside theirs: a daemon that
    starts does nothing but run, so time in which it waits for a core says nothing of
    it.

    Raises
    ------
    StartError
        If it exits before.
    TimeoutError
        If it has run or slept for `PATIENCE_SECONDS`, and isn't ready.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PATIENCE_SECONDS - daemon.seconds_without_core()
    probes = asyncio.create_task(_probe_until_ready(daemon))
    try:
        while not probes.done():
            if not daemon.is_running:
                raise processes.StartError(daemon.describe())
            if loop.time() > ends_at + daemon.seconds_without_core():
                waited = daemon.seconds_without_core()
                raise TimeoutError(f"Not ready; waited {waited:.1f} s for a core")
            await asyncio.wait([probes], timeout=0.02)
        await probes
    finally:
        probes.cancel()


async def _probe_until_ready(daemon):
    while await status_of(daemon.ready_url()) != 200:
        await asyncio.sleep(0.02)


async def status_of(url):
    """Return the status of a GET, or None if the connection fails."""
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            return response.status
    except aiohttp.ClientError:
        return None
