"""Start and shutdown of a daemon and of the parts that it consists of."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import aiohttp.web
import aiomisc

from sesamespindle.daemon import (
    admin,
    auth,
    call_runner,
    callerconnections,
    callersockets,
    driver,
    eventlog,
    front,
    logs,
    metrics,
    opinions,
    peering,
    processmemory,
    targetprobe,
    tickets,
    tokens,
    watchers,
)
from sesamespindle.decide import callerquota, core, events, world
from sesamespindle.wire import answers, clock, engine, platform

_log = logs.part("daemon")
# A leaving daemon keeps serving until it has been idle for this long, so that callers
# who received its address just before it left are still answered.
_IDLE_SECONDS = 1.5
_POLL_SECONDS = 0.05
# Pause between the last gossip messages, which announce that this daemon has left, and
# the closing of its ports.
_LAST_GOSSIP_SECONDS = 0.3
# What a process opens beside sockets.
_FILE_DESCRIPTORS = 64


@dataclasses.dataclass
class Parts:
    """The parts of a daemon that its HTTP servers use.

    Attributes
    ----------
    settings : sesamespindle.declare.settings.Settings
        The settings of the host.
    stop_requested : asyncio.Event
        Set to make the daemon leave.
    leaving : bool
        Whether the daemon is shutting down.
    requests_in_flight : int
        The number of callers' requests that the front has not answered yet, including
        calls that were forwarded to a peer.
    callers : callerconnections.CallerConnections or None
        The connections of callers and operators; None before the ports are open.
    """

    settings: object
    driver: driver.Driver
    keyring: auth.Keyring
    signer: tokens.Signer
    metrics: metrics.Metrics
    engines: engine.EngineClient
    declarations: watchers.DeclarationsWatcher
    calls: call_runner.CallRunner
    tickets: tickets.Tickets
    stop_requested: asyncio.Event
    leaving: bool = False
    requests_in_flight: int = 0
    callers: callerconnections.CallerConnections | None = None


class Daemon(aiomisc.Service):
    """The daemon of an entry host, as a service that starts and stops.

    Parameters
    ----------
    settings : sesamespindle.declare.settings.Settings
        The settings of the host.
    announce : callable
        Called with the `events.Host` of this daemon once it listens.
    stop_requested : asyncio.Event
        Set to make the daemon leave. The daemon itself sets it when an operator
        drains it or when one of its background tasks fails.
    **kwargs
        Passed on to `aiomisc.Service`.
    """

    def __init__(self, settings, announce, stop_requested, **kwargs):
        super().__init__(**kwargs)
        self._settings = settings
        self._announce = announce
        self._stop_requested = stop_requested
        self._clock = clock.SystemClock()
        self._stack = contextlib.AsyncExitStack()
        self._tasks = []
        self._parts = None

    async def start(self):
        """Open the ports, create the parts and start the background tasks.

        Raises
        ------
        OSError
            If a port can't be bound.
        RuntimeError
            If the peer port can't be bound.
        """
        settings = self._settings
        caller_socket = callersockets.listen(
            str(settings.listen.host), settings.listen.port
        )
        admin_socket = callersockets.listen(
            str(settings.admin.host), settings.admin.port
        )
        sockets = max(settings.limits.descriptors - _FILE_DESCRIPTORS, 1)
        server, peer_port = peering.bind(
            settings.peers.host,
            settings.peers.port,
            settings.admin_key.get_secret_value(),
            callerquota.peer_connections(sockets),
        )
        me = events.Host(
            settings.name,
            "entry",
            settings.data_centre,
            _url(caller_socket),
            f"{settings.peers.host}:{peer_port}",
            _url(admin_socket),
            int(self._clock.now().timestamp() * 1000),
        )
        session = await self._stack.enter_async_context(answers.make_session(limit=0))
        client = platform.PlatformClient(
            session, str(settings.platform_url), settings.platform_timeout
        )
        unshared = await self._stack.enter_async_context(
            answers.make_session(limit=0, force_close=True)
        )
        check_client = platform.PlatformClient(
            unshared, str(settings.platform_url), settings.platform_timeout
        )
        self._parts = await self._assemble(
            me, session, client, check_client, server, peer_port
        )
        await self._serve(caller_socket, admin_socket, sockets)
        self._start_tasks(client)
        self._announce(me)
        _log.info("Listens at {}.", me.url)

    async def stop(self, exception=None):
        """Leave: announce it to peers, finish requests in flight, then close."""
        await self._finish_in_flight()
        self._parts.driver.feed(events.DepartureFinished())
        await asyncio.sleep(_LAST_GOSSIP_SECONDS)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        _log.info("Has left.")

    async def _assemble(self, me, session, client, check_client, server, peer_port):
        settings = self._settings
        log = eventlog.EventLog(
            me.name, eventlog.HybridClock(self._clock), settings.event_log_size
        )
        decision_logic = core.Core(
            me,
            _policy(settings),
            me.incarnation,
            settings.seeds,
            settings.token_key.get_secret_value(),
        )
        core_driver = driver.Driver(decision_logic, self._clock, log)
        keyring = auth.Keyring()
        declarations = watchers.DeclarationsWatcher(
            core_driver, keyring, client, check_client, settings
        )
        signer = tokens.Signer(settings.token_key.get_secret_value())
        timeout = settings.policy.call_timeout
        probe = await self._stack.enter_async_context(
            targetprobe.TargetProbe(core_driver, engine.make_question)
        )
        calls = await self._stack.enter_async_context(
            call_runner.CallRunner(core_driver, client, timeout)
        )
        peers = await self._stack.enter_async_context(
            peering.Peering(
                core_driver, declarations, server, settings.admin_key.get_secret_value()
            )
        )
        peers.set_call_runner(calls, timeout)
        await self._stack.enter_async_context(
            opinions.Opinions(core_driver, peers, probe)
        )
        await peers.start(str(settings.peers.host), peer_port)
        return Parts(
            settings,
            core_driver,
            keyring,
            signer,
            metrics.Metrics(settings.statsd),
            engine.EngineClient(session, settings.engine_silence),
            declarations,
            calls,
            tickets.Tickets(core_driver, calls, signer, peers, timeout),
            self._stop_requested,
        )

    async def _serve(self, caller_socket, admin_socket, sockets):
        """Serve HTTP to callers and operators, within what they may hold together."""
        limits = self._settings.limits
        allowance = callerquota.allowance(
            limits.memory_bytes, processmemory.resident_bytes(), sockets
        )
        client_limits = callerquota.ClientLimits(
            limits.header_timeout, limits.idle_timeout, limits.header_bytes
        )
        callers = await self._stack.enter_async_context(
            callerconnections.CallerConnections(
                callerquota.CallerQuota(allowance), self._clock, lambda: client_limits
            )
        )
        self._parts.callers = callers
        servers = (
            (front.Front(self._parts).application(), caller_socket, "callers"),
            (admin.Admin(self._parts).application(), admin_socket, "admin"),
        )
        for application, listening_socket, port_name in servers:
            runner = aiohttp.web.AppRunner(
                application,
                handler_cancellation=True,
                access_log=None,
                max_field_size=limits.header_bytes,
                max_line_size=limits.header_bytes,
                shutdown_timeout=1.0,
            )
            await runner.setup()
            self._stack.push_async_callback(runner.cleanup)
            await callerconnections.Site(
                runner, listening_socket, callers, port_name, callersockets.BACKLOG
            ).start()

    def _start_tasks(self, client):
        parts = self._parts
        coroutines = [
            parts.declarations.run(),
            watchers.HostsWatcher(parts.driver, client, self._settings).run(),
            watchers.LoadWatcher(parts.driver, parts.engines, self._settings).run(),
            self._tick(),
        ]
        self._tasks = [asyncio.create_task(item) for item in coroutines]
        for task in self._tasks:
            task.add_done_callback(self._leave_if_failed)

    def _leave_if_failed(self, task):
        """Make the daemon leave if one of its background tasks failed.

        Guards against a daemon that still answers callers but no longer renews its
        slices or its membership: callers and peers would rely on it although its
        state is out of date. Once it leaves, they use other entries.
        """
        if task.cancelled() or task.exception() is None:
            return
        _log.opt(exception=task.exception()).error(
            "A background task failed; the daemon leaves."
        )
        self._stop_requested.set()

    async def _tick(self):
        """Make the decision logic do its periodic work, until cancelled."""
        while True:
            self._parts.driver.feed(events.Tick())
            self._parts.metrics.in_flight(self._parts.driver.in_flight)
            self._parts.metrics.callers(self._parts.callers.quota)
            await asyncio.sleep(self._settings.tick_seconds)

    async def _finish_in_flight(self):
        """Keep serving until the daemon is idle or its grace time is over.

        It is idle when for `_IDLE_SECONDS` no caller has waited for an answer, no call
        has run, and no claim (the idempotency record of a call) has been written.

        Guards against cutting off callers who received this daemon's address just
        before. They keep it for some time, so the ports stay open for them. New
        callers don't come: other entries no longer list this one.
        """
        parts = self._parts
        parts.leaving = True
        ends_at = parts.driver.clock.now() + self._settings.shutdown_grace
        parts.driver.feed(events.LeaveRequested(ends_at))
        _log.info("Leaving with {} requests in flight.", parts.requests_in_flight)
        idle_seconds = 0.0
        while idle_seconds < _IDLE_SECONDS and parts.driver.clock.now() < ends_at:
            await asyncio.sleep(_POLL_SECONDS)
            idle_seconds += _POLL_SECONDS
            if parts.requests_in_flight or parts.calls.unfinished:
                idle_seconds = 0.0


def _policy(settings):
    policy = settings.policy
    return world.Policy(
        queue_patience=policy.queue_patience,
        first_token_patience=policy.first_token_patience,
        call_timeout=policy.call_timeout,
        retry_after=policy.retry_after,
        routing=policy.routing,
        grant_lifetime=policy.grant_lifetime,
        suspect_after=policy.suspect_after,
    )


def _url(listening_socket):
    host, port = listening_socket.getsockname()[:2]
    return f"http://{host}:{port}"
