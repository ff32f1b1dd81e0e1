"""The connections of callers, on all ports, within one quota.

`sesamespindle.decide.callerquota` decides who gives way. A connection tells it what it
holds where the HTTP library calls the connection anyway.
"""

import asyncio
import collections
import itertools

import aiohttp.web

from sesamespindle.daemon import callerprotocol, logs
from sesamespindle.decide import callerquota

_log = logs.part("callers")
# Request bodies are read from the socket in pieces of about this size, and wait in the
# HTTP library up to twice of it.
_READ_BYTES = 64 * 1024
# The least that a head may have; callers may send more if the limits say so.
_MIN_HEAD_BYTES = 96 * 1024
_SWEEP_SECONDS = 0.5
# After a longer pause between two sweeps this process didn't run, and nobody was late.
_MAX_SWEEP_SECONDS = 1.5
# The time between two lines about connections that gave way.
_LOG_SECONDS = 1.0


class CallerConnections:
    """The connections of callers to this process, on all its ports.

    An asynchronous context manager that has connections expire while it is entered.

    Parameters
    ----------
    quota : callerquota.CallerQuota
        Decides who gives way.
    clock : sesamespindle.wire.clock.SystemClock
        The time.
    read_limits : callable
        Returns the `callerquota.ClientLimits` in force.

    Attributes
    ----------
    max_head_bytes : int
        How long a head may be.
    """

    def __init__(self, quota, clock, read_limits):
        self.quota = quota
        self.max_head_bytes = _MIN_HEAD_BYTES
        self._clock = clock
        self._read_limits = read_limits
        self._numbers = itertools.count()
        self._by_id = {}
        self._queue = collections.deque()
        self._sweeping = None
        self._logged_at = None
        self._unlogged = collections.Counter()

    async def __aenter__(self):
        self._sweeping = asyncio.create_task(self._sweep())
        return self

    async def __aexit__(self, *exc_info):
        self._sweeping.cancel()
        await asyncio.gather(self._sweeping, return_exceptions=True)

    def measure(self, measures):
        """Register metrics of what is held, and of what gave way.

        Parameters
        ----------
        measures : sesamespindle.daemon.measures.Measures
            Serves them.
        """
        quota = self.quota
        measures.gauge("caller_bytes_allowed", lambda: quota.allowance.memory_bytes)
        measures.gauge(
            "caller_connections_allowed", lambda: quota.allowance.connections
        )
        measures.labelled_gauge("caller_bytes", self._bytes_by_label)
        measures.labelled_gauge("caller_connections", self._connections_by_label)
        measures.labelled_gauge("caller_connections_closed_total", self._gone_by_label)

    def _bytes_by_label(self):
        held = self.quota.held_by_stage().items()
        return {f'stage="{stage}"': count for stage, count in held}

    def _connections_by_label(self):
        counts = self.quota.connections_by_port_and_stage().items()
        return {
            f'port="{port}",stage="{stage}"': count for (port, stage), count in counts
        }

    def _gone_by_label(self):
        gone = self.quota.gave_way.items()
        return {
            f'cause="{cause}",stage="{stage}"': count for (stage, cause), count in gone
        }

    def factory(self, server, port):
        """Return what makes the protocol of each connection to a port.

        Parameters
        ----------
        server : aiohttp.web.Server
            Handles the requests.
        port : str
            The name of the port, for metrics.
        """

        def make():
            number = next(self._numbers)
            options = {**server._kwargs, "read_bufsize": _READ_BYTES}
            return callerprotocol.CallerProtocol(
                server, self, number, port, loop=server._loop, **options
            )

        return make

    def add(self, number, port, connection):
        """Count a new connection."""
        self._by_id[number] = connection
        self._close(self.quota.open(number, port, self._clock.now()))

    def remove(self, number):
        """Stop counting a connection."""
        if self._by_id.pop(number, None) is not None:
            self.quota.close(number)

    def update(self, number, stage, held_bytes):
        """Count what a connection holds."""
        gone = self.quota.update(number, stage, held_bytes, self._clock.now())
        if gone:
            self._close(gone)

    def queue_for_turn(self, connection):
        """Have a connection whose bytes take much time wait for its turn to read.

        Guards against bodies in chunks of single bytes that take all of the processor:
        only one such connection reads in each iteration of the event loop.
        """
        connection.await_turn()
        self._queue.append(connection)
        if len(self._queue) == 1:
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self):
        self._queue.popleft().take_turn()
        if self._queue:
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _close(self, commands):
        for command in commands:
            connection = self._by_id.get(command.connection_id)
            if connection is not None:
                connection.give_way(command)
            if command.cause is not callerquota.Cause.IDLE_TIMEOUT:
                self._unlogged[command.stage, command.cause] += 1
        self._log_closed()

    def _log_closed(self):
        """Log what gave way but for idle connections, at most once a second."""
        now = asyncio.get_running_loop().time()
        if not self._unlogged or (
            self._logged_at is not None and now < self._logged_at + _LOG_SECONDS
        ):
            return
        self._logged_at = now
        _log.warning(
            "Connections of callers gave way: {}. {} bytes of {} are held, "
            "by {} connections of {}.",
            ", ".join(
                f"{count} {stage} ({cause})"
                for (stage, cause), count in sorted(self._unlogged.items())
            ),
            self.quota.held_bytes,
            self.quota.allowance.memory_bytes,
            len(self.quota),
            self.quota.allowance.connections,
        )
        self._unlogged.clear()

    async def _sweep(self):
        loop = asyncio.get_running_loop()
        swept_at = loop.time()
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            has_run = loop.time() - swept_at < _MAX_SWEEP_SECONDS
            swept_at = loop.time()
            try:
                self._sweep_once(has_run)
            except Exception:
                # Without sweeps connections would only give way to others.
                _log.exception("A sweep of the connections of callers failed.")

    def _sweep_once(self, has_run):
        """Look at answers that wait, and close the connections of callers who are late.

        Parameters
        ----------
        has_run : bool
            Whether this process ran since the last sweep.
        """
        limits = self._read_limits()
        self.max_head_bytes = max(_MIN_HEAD_BYTES, limits.header_bytes)
        for number in self.quota.ids_at(callerquota.Stage.ANSWERING):
            self._by_id[number].report()
        if has_run:
            self._close(self.quota.expire(self._clock.now(), limits))
        self._log_closed()


class Site(aiohttp.web.SockSite):
    """A listening socket whose connections count in the quota.

    Parameters
    ----------
    runner : aiohttp.web.BaseRunner
        Handles the requests.
    listening : socket.socket
        The socket.
    connections : CallerConnections
        Counts them.
    port : str
        The name of the port, for metrics.
    backlog : int
        How many connections may wait to be accepted.
    """

    __slots__ = ("_connections", "_port_name")

    def __init__(self, runner, listening, connections, port, backlog):
        super().__init__(runner, listening, backlog=backlog)
        self._connections = connections
        self._port_name = port

    async def start(self):
        """Begin to accept connections."""
        await aiohttp.web.BaseSite.start(self)
        factory = self._connections.factory(self._runner.server, self._port_name)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            factory, sock=self._sock, backlog=self._backlog
        )
