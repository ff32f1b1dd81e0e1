"""Communication with the other daemons: gossip over UDP, everything else over gRPC.

Gossip messages that are too long for a datagram go over gRPC as well.
"""

import asyncio
import datetime
import functools
import ipaddress
import itertools

import grpc
from google.protobuf import message as protobuf_message

from sesamespindle.daemon import (
    arrivals,
    call_runner,
    datagrams,
    logs,
    peerkeys,
    peermessages,
    replies,
    tasksets,
)
from sesamespindle.decide import (
    commands,
    crashes,
    events,
    gossip,
    incarnations,
    streamorigins,
)
from sesamespindle.wire import peers_pb2, peers_pb2_grpc, service

_log = logs.part("peers")
# A verdict that isn't here is of a later release, and says nothing.
_VERDICT_BY_NAME = {verdict.value: verdict for verdict in crashes.Verdict}
# Timeouts of calls to peers, in seconds: in general, and for fetching declarations.
_RPC_SECONDS = 1.0
_FETCH_SECONDS = 5.0
# An answer that arrives later than this after its gossip round started is dropped. The
# value equals the timeout of a gRPC call.
_ROUND_TIMEOUT = datetime.timedelta(seconds=_RPC_SECONDS)
# Parsed addresses of peers that are kept, more than there are hosts.
_KEPT_ADDRESSES = 4096
# Begins a datagram about the origin of a stream. No protobuf message begins so, and a
# host of an earlier release drops it instead of taking it for a gossip message.
_ORIGIN_PREFIX = b"\xff"
# Begins a datagram about the work at an engine; no protobuf message begins so either.
_KEEPER_PREFIX = b"\xfe"
_NO_ADDRESS = "127.0.0.1:0"
_MAX_CONNECTIONS = 512
# How long a connection may take to say what protocol it speaks, and how long one
# without calls stays open.
_HANDSHAKE_MILLISECONDS = 5000
_IDLE_MILLISECONDS = 60_000
_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.server_handshake_timeout_ms", _HANDSHAKE_MILLISECONDS),
    ("grpc.max_connection_idle_ms", _IDLE_MILLISECONDS),
    # Only one process may listen at a peer address. A lease holder that restarts
    # relies on this: as its address was free, its earlier process is gone, and it
    # takes over its own lease at once. By default the library would let several
    # processes share the port.
    ("grpc.so_reuseport", 0),
    # Reconnect to a peer within a second after it was unreachable. The library's
    # default backoff grows to minutes.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


def bind(host, port, key, max_connections=_MAX_CONNECTIONS):
    """Bind a gRPC server to a port; it serves requests only once it is started.

    Parameters
    ----------
    host : str or ipaddress.IPv4Address
        The address to listen at.
    port : int
        The port; 0 for any free one.
    key : str
        The secret that all daemons share; calls without it are rejected unread.
    max_connections : int
        How many connections it accepts at a time.

    Returns
    -------
    server : grpc.aio.Server
        The bound server.
    port : int
        The port that it is bound to.

    Raises
    ------
    RuntimeError
        If the port can't be bound, for example because another process uses it.
    """
    options = (*_OPTIONS, ("grpc.max_allowed_incoming_connections", max_connections))
    server = grpc.aio.server(
        options=options, interceptors=[peerkeys.KeyInterceptor(key)]
    )
    return server, server.add_insecure_port(f"{host}:{port}")


@functools.cache
def _keep_library_threads():
    """Return a channel that is never connected, and lasts as long as the process.

    Guards against a process that outlasts its grace time. As its last server or channel
    ends, gRPC ends its own threads, and waits for each of them. One that misses the
    signal is asleep for up to some seconds, in which the event loop stands still.
    """
    return grpc.aio.insecure_channel(_NO_ADDRESS)


class Peering(peers_pb2_grpc.PeersServicer):
    """Serves requests of peers, and carries out commands that go to peers.

    Used as a context manager, it cancels its calls and closes its ports at the end.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Receives the events; its commands for peers are carried out here.
    declarations : sesamespindle.daemon.watchers.DeclarationsWatcher
        Provides the declarations for peers, and adopts those that peers send. Any
        object with the same `known_state`, `make_update` and `adopt_update` will do.
    server : grpc.aio.Server
        The server from `bind`; this object stops it.
    key : str
        The secret that all daemons share; requests without it are refused.
    """

    def __init__(self, driver, declarations, server, key):
        self._driver = driver
        self._clock = driver.event_log.clock
        self._declarations = declarations
        self._metadata = ((peerkeys.KEY_METADATA, key),)
        self._key = key
        self._calls = self._judge = self._receive_origin = None
        self._receive_keeper_message = None
        self._call_timeout = None
        self._channel_by_address = {}
        # Callbacks that receive the reply command of an exchange, by exchange id.
        self._deliver_by_exchange = {}
        self._datagrams = datagrams.Datagrams(key, self._receive_datagram)
        # Start times of the gossip rounds that have no answer yet, oldest first.
        self._started_at_by_round = {}
        # The message of the latest gossip round, and its protobuf form.
        self._latest_message = self._latest_bytes = None
        self._round_numbers = itertools.count(1)
        self._exchange_ids = itertools.count()
        self._tasks = tasksets.TaskSet()
        self._fetch_task_by_address = {}
        self._server = server
        self._register_handlers()

    def _now(self):
        return self._driver.clock.now()

    def _register_handlers(self):
        driver = self._driver
        driver.on(commands.GossipTo, self._gossip)
        driver.on(
            commands.AskSlices, lambda item: self._tasks.spawn(self._ask_slices(item))
        )
        driver.on(
            commands.AskHoldings,
            lambda item: self._tasks.spawn(self._ask_holdings(item)),
        )
        driver.on(
            commands.FetchDeclarations,
            lambda item: self._tasks.spawn(self._handle_fetch(item)),
        )
        for kind in (commands.GossipReply, commands.GrantSlices, commands.TellHoldings):
            driver.on(kind, self._deliver_reply)

    def set_call_runner(self, calls, timeout):
        """Set what runs the calls that peers forward.

        Parameters
        ----------
        calls : sesamespindle.daemon.call_runner.CallRunner
            Runs the calls.
        timeout : datetime.timedelta
            The timeout of a call.
        """
        self._calls = calls
        self._call_timeout = timeout

    def set_judge(self, judge):
        """Set the coroutine function that gives opinions of targets to peers."""
        self._judge = judge

    async def start(self, host, port):
        """Start to serve peers: gRPC at the bound server, datagrams at this address.

        Raises
        ------
        OSError
            If the UDP port can't be bound.
        """
        await self._datagrams.open(host, port)
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        await self._server.start()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._tasks.close()
        self._datagrams.close()
        _keep_library_threads()
        await self._server.stop(None)
        for channel in self._channel_by_address.values():
            await channel.close()

    # Requests of peers to this daemon.

    async def Gossip(self, request, context):
        """Answer a gossip message that is too long for a datagram."""
        self._clock.merge(request.clock)
        message = peermessages.gossip_from_wire(request, self._now())
        reply = await self._exchange(
            lambda exchange_id: gossip.GossipReceived(exchange_id, message)
        )
        return self._gossip_to_wire(reply.message)

    async def AskSlices(self, request, context):
        """Grant slices of the limits of accounts that this daemon owns.

        A slice is a lease on a share of an account's limit.
        """
        self._clock.merge(request.clock)
        asks = peermessages.asks_from_wire(request.asks)
        reply = await self._exchange(
            lambda exchange_id: events.SlicesAsked(
                exchange_id,
                request.entry,
                request.incarnation,
                request.sequence,
                asks,
            )
        )
        return peers_pb2.SliceGrants(
            grants=peermessages.grants_to_wire(reply.grants), clock=self._clock.stamp()
        )

    async def AskHoldings(self, request, context):
        """Return the slices that this daemon holds, for a new owner of the accounts."""
        self._clock.merge(request.clock)
        accounts = tuple(request.accounts)
        reply = await self._exchange(
            lambda exchange_id: events.HoldingsAsked(
                exchange_id, request.owner, request.owner_incarnation, accounts
            )
        )
        return peers_pb2.SliceAsks(
            entry=self._driver.core.state.me.name,
            incarnation=self._driver.core.state.me.incarnation,
            asks=peermessages.asks_to_wire(reply.holdings),
            settled=reply.settled,
            clock=self._clock.stamp(),
        )

    async def ForwardCall(self, request, context):
        """Run a call whose ticket this daemon minted."""
        self._clock.merge(request.clock)
        call = service.ServiceRequest(
            request.method,
            request.path,
            request.content_type,
            request.body,
            request.request_id,
            request.ticket,
        )
        arrival = arrivals.call_arrival(
            self._driver,
            request.account,
            request.pool,
            call,
            events.KeyKind.TICKET,
            datetime.timedelta(seconds=request.seconds_left),
        )
        try:
            reply = await self._calls.run(arrival, call)
        except replies.CallerError as error:
            return _refusal_to_wire(error, self._clock.stamp())
        return peers_pb2.ForwardedAnswer(
            status=reply.answer.status,
            content_type=reply.answer.content_type,
            body=reply.answer.body,
            replayed=reply.replayed,
            clock=self._clock.stamp(),
        )

    async def JudgeTarget(self, request, context):
        """Return this host's opinion of a target that refuses a peer's connections."""
        self._clock.merge(request.clock)
        incarnation = incarnations.TargetIncarnation(request.target, request.born)
        verdict = await self._judge(incarnation, request.address)
        return peers_pb2.Judgement(verdict=verdict.value, clock=self._clock.stamp())

    async def FetchDeclarations(self, request, context):
        """Return the active declarations, without the documents that the peer has."""
        packed = self._declarations.make_update(request.known_digests)
        return peers_pb2.DeclarationsFound(
            revision=packed.revision, head=packed.head, documents=packed.documents
        )

    # Requests of this daemon to peers.

    async def forward_call(self, address, account, pool, call, timeout):
        """Forward a call to the peer that minted its ticket.

        Parameters
        ----------
        address : str
            The peer's address, as ``host:port``.
        account : str
            The account that makes the call.
        pool : str
            The pool of targets that the call is for.
        call : service.ServiceRequest
            The call; its key is the ticket.
        timeout : datetime.timedelta
            How long the call may take. The peer gets a second more to answer.

        Returns
        -------
        reply : call_runner.CallReply or None
            The peer's reply. None if the peer is unreachable or does not answer, so
            that it is unknown whether the call ran.

        Raises
        ------
        replies.CallerError
            If the peer refused the call.
        """
        seconds = timeout.total_seconds()
        request = peers_pb2.ForwardedCall(
            request_id=call.request_id,
            account=account,
            pool=pool,
            path=call.path,
            method=call.method,
            content_type=call.content_type,
            body=call.body,
            ticket=call.key,
            seconds_left=seconds,
            clock=self._clock.stamp(),
        )
        answer = await self._call(address, "ForwardCall", request, seconds + 1.0)
        if answer is None:
            return None
        if answer.code:
            raise _refusal_from_wire(answer)
        stored = events.StoredAnswer(answer.status, answer.content_type, answer.body)
        return call_runner.CallReply(stored, answer.replayed)

    async def ask_opinion(self, address, incarnation, target_address):
        """Return a peer's `crashes.Verdict` of a target that refuses connections here.

        Parameters
        ----------
        address : str
            The peer's address, as ``host:port``.
        incarnation : incarnations.TargetIncarnation
            The target's incarnation.
        target_address : str
            Where the target listens.
        """
        request = peers_pb2.TargetInDoubt(
            target=incarnation.name,
            born=incarnation.born,
            address=target_address,
            clock=self._clock.stamp(),
        )
        answer = await self._call(address, "JudgeTarget", request)
        if answer is None:
            return crashes.Verdict.UNKNOWN
        return _VERDICT_BY_NAME.get(answer.verdict, crashes.Verdict.UNKNOWN)

    def _gossip(self, command):
        """Start a gossip round with a peer."""
        raw = self._cached_gossip_bytes(command.message)
        if len(raw) > datagrams.MAX_BYTES:
            message = peers_pb2.GossipMessage.FromString(raw)
            self._tasks.spawn(self._gossip_over_grpc(command.peer_address, message))
            return
        now = self._now()
        number = next(self._round_numbers)
        self._started_at_by_round[number] = now
        self._expire_rounds(now)
        try:
            self._send(number, False, raw, _parse_address(command.peer_address))
        except ValueError as error:
            # Peer addresses that arrive by gossip aren't validated. An error raised
            # here would end the task that ticks, and with it the daemon.
            _log.warning("Invalid peer address {!r}. {}", command.peer_address, error)

    async def _gossip_over_grpc(self, address, message):
        started_at = self._now()
        answer = await self._call(address, "Gossip", message)
        if answer is not None:
            self._receive_answer(address, answer, started_at)

    def _send(self, number, is_answer, raw, peer):
        """Send a gossip message, given as bytes, in one half of a round."""
        datagram = peers_pb2.GossipFrame(round=number, is_answer=is_answer, message=raw)
        self._datagrams.send(datagram.SerializeToString(), peer)

    def _expire_rounds(self, now):
        """Remove rounds that have had no answer within `_ROUND_TIMEOUT`."""
        for number, started_at in list(self._started_at_by_round.items()):
            if now - started_at < _ROUND_TIMEOUT:
                break
            del self._started_at_by_round[number]

    def send_origin(self, kind, key, origin, address):
        """Send a message about the origin of a stream to a peer.

        Parameters
        ----------
        kind : str
            ``told``, ``record``, ``asked`` or ``answered``.
        key : bytes
            The key of the attempt, from `streamorigins.key_of`.
        origin : streamorigins.Origin or None
            The origin; None in a question, and where it isn't known.
        address : str
            The peer's address, as ``host:port``.
        """
        message = peers_pb2.OriginDatagram(
            kind=kind,
            key=key,
            service=origin.service if origin else "",
            software=origin.software if origin else "",
        )
        self._send_prefixed(_ORIGIN_PREFIX, message.SerializeToString(), address)

    def send_to_keeper(self, payload, address):
        """Send a message about the work at an engine to a peer, as ``host:port``."""
        self._send_prefixed(_KEEPER_PREFIX, payload, address)

    def set_keeper_receiver(self, receive):
        """Set what gets messages about work at engines: payload, peer's address."""
        self._receive_keeper_message = receive

    def _send_prefixed(self, prefix, payload, address):
        try:
            peer = _parse_address(address)
        except ValueError as error:
            _log.warning("Invalid peer address {!r}. {}", address, error)
            return
        self._datagrams.send(prefix + payload, peer)

    def set_origin_receiver(self, receive):
        """Set what gets messages about origins: kind, key, origin, peer's address."""
        self._receive_origin = receive

    def _receive_origin_datagram(self, payload, peer):
        try:
            message = peers_pb2.OriginDatagram.FromString(payload)
        except protobuf_message.DecodeError as error:
            _log.warning("Can't decode a datagram from {}. {}", peer, error)
            return
        origin = None
        if message.software:
            origin = streamorigins.Origin(message.service, message.software)
        if self._receive_origin is not None:
            address = f"{peer[0]}:{peer[1]}"
            self._receive_origin(message.kind, message.key, origin, address)

    def _receive_datagram(self, payload, peer):
        if payload.startswith(_ORIGIN_PREFIX):
            self._receive_origin_datagram(payload[len(_ORIGIN_PREFIX) :], peer)
            return
        if payload.startswith(_KEEPER_PREFIX):
            if self._receive_keeper_message is not None:
                address = f"{peer[0]}:{peer[1]}"
                self._receive_keeper_message(payload[len(_KEEPER_PREFIX) :], address)
            return
        try:
            datagram = peers_pb2.GossipDatagram.FromString(payload)
        except protobuf_message.DecodeError as error:
            _log.warning("Can't decode a datagram from {}. {}", peer, error)
            return
        self._clock.merge(datagram.message.clock)
        if not datagram.is_answer:
            self._answer_round(datagram, peer)
            return
        self._expire_rounds(self._now())
        started_at = self._started_at_by_round.pop(datagram.round, None)
        if started_at is not None:
            host, port = peer[:2]
            self._receive_answer(f"{host}:{port}", datagram.message, started_at)

    def _answer_round(self, datagram, peer):
        """Answer a peer's round; the decision logic replies before `feed` returns."""
        message = peermessages.gossip_from_wire(datagram.message, self._now())
        exchange_id = str(next(self._exchange_ids))
        replied = []
        self._deliver_by_exchange[exchange_id] = replied.append
        self._driver.feed(gossip.GossipReceived(exchange_id, message))
        self._deliver_by_exchange.pop(exchange_id, None)
        for reply in replied:
            answer = self._gossip_to_wire(reply.message).SerializeToString()
            self._send(datagram.round, True, answer, peer)

    def _receive_answer(self, address, answer, started_at):
        message = peermessages.gossip_from_wire(answer, self._now(), started_at)
        self._driver.feed(gossip.GossipAnswered(address, message))

    def _cached_gossip_bytes(self, message):
        """Return the protobuf form of a gossip message, as bytes.

        A round sends the same message object to several peers, so its protobuf form is
        made only once.
        """
        if self._latest_message is not message:
            self._latest_message = message
            self._latest_bytes = self._gossip_to_wire(message).SerializeToString()
        return self._latest_bytes

    def _gossip_to_wire(self, message):
        stamp = self._clock.stamp()
        return peermessages.gossip_to_wire(message, stamp, self._now())

    async def _ask_slices(self, command):
        asked_at = self._driver.clock.now()
        request = peers_pb2.SliceAsks(
            entry=self._driver.core.state.me.name,
            incarnation=self._driver.core.state.me.incarnation,
            sequence=command.sequence,
            asks=peermessages.asks_to_wire(command.asks),
            clock=self._clock.stamp(),
        )
        answer = await self._call(command.peer_address, "AskSlices", request)
        if answer is not None:
            grants = peermessages.grants_from_wire(answer.grants)
            self._driver.feed(events.SlicesGranted(asked_at, command.asks, grants))

    async def _ask_holdings(self, command):
        request = peers_pb2.HoldingsWanted(
            accounts=command.accounts,
            owner=self._driver.core.state.me.name,
            owner_incarnation=self._driver.core.state.me.incarnation,
            clock=self._clock.stamp(),
        )
        answer = await self._call(command.peer_address, "AskHoldings", request)
        if answer is not None:
            holdings = peermessages.asks_from_wire(answer.asks)
            self._driver.feed(
                events.HoldingsReported(
                    command.entry,
                    answer.incarnation,
                    command.accounts,
                    holdings,
                    answer.settled,
                )
            )

    async def _handle_fetch(self, command):
        await self.fetch_from(command.peer_address)

    async def fetch_from(self, address):
        """Fetch and adopt what a peer knows that this daemon does not.

        If a fetch from this peer is already in flight, wait for that one instead.
        Guards against a peer that announces a change and stops: hosts that wait for it
        would fetch from no other peer for five seconds.

        Parameters
        ----------
        address : str
            The peer's address, as ``host:port``.
        """
        task = self._fetch_task_by_address.get(address)
        if task is None:
            task = self._tasks.spawn(self._fetch_and_adopt(address))
            self._fetch_task_by_address[address] = task
            task.add_done_callback(
                lambda task: self._fetch_task_by_address.pop(address)
            )
        await asyncio.shield(task)

    async def _fetch_and_adopt(self, address):
        asked_at = self._driver.clock.now()
        known = self._declarations.known_state()
        request = peers_pb2.DeclarationsWanted(
            above_revision=known.revision, known_digests=known.digests
        )
        answer = await self._call(address, "FetchDeclarations", request, _FETCH_SECONDS)
        if answer is not None:
            await self._declarations.adopt_update(
                answer.head, answer.documents, asked_at
            )

    async def _call(self, address, method, request, seconds=_RPC_SECONDS):
        """Call a method of a peer; return its answer, or None if the call failed.

        Guards against a task that ends without a line: when another call drops the
        channel, the library ends this one by a cancellation, as if this task itself
        were cancelled.
        """
        stub = peers_pb2_grpc.PeersStub(self._channel(address))
        try:
            answer = await getattr(stub, method)(
                request, timeout=seconds, metadata=self._metadata
            )
        except grpc.RpcError as error:
            _log.debug("Call {} to peer {} failed: {}.", method, address, error.code())
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self._drop_channel(address)
            return None
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            _log.info("Call {} to peer {} ended with its channel.", method, address)
            return None
        if hasattr(answer, "clock"):
            self._clock.merge(answer.clock)
        return answer

    def _channel(self, address):
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            self._channel_by_address[address] = channel
        return channel

    async def _drop_channel(self, address):
        """Close the channel to a peer; the next call opens a new connection.

        Guards against a connection that is dead but was never closed: every call on it
        would time out until the operating system gives the connection up, which
        takes minutes. A new connection doesn't depend on the dead one.
        """
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            await channel.close()

    async def _exchange(self, make_event):
        """Feed an event and return the command that answers it.

        Parameters
        ----------
        make_event : callable
            Returns the event for an exchange id, which its answer carries too.
        """
        exchange_id = str(next(self._exchange_ids))
        reply = asyncio.get_running_loop().create_future()
        self._deliver_by_exchange[exchange_id] = reply.set_result
        try:
            self._driver.feed(make_event(exchange_id))
            return await reply
        finally:
            self._deliver_by_exchange.pop(exchange_id, None)

    def _deliver_reply(self, command):
        deliver = self._deliver_by_exchange.pop(command.exchange_id, None)
        if deliver is not None:
            deliver(command)


@functools.lru_cache(maxsize=_KEPT_ADDRESSES)
def _parse_address(address):
    """Return the (host, port) of a peer address of the form ``host:port``.

    Raises
    ------
    ValueError
        If the address isn't an IP address and a port.
    """
    host, _, port = address.rpartition(":")
    return str(ipaddress.ip_address(host)), int(port)


def _refusal_to_wire(error, stamp):
    seconds = error.retry_after.total_seconds() if error.retry_after else 0.0
    return peers_pb2.ForwardedAnswer(
        status=error.status,
        code=error.code,
        outcome=error.outcome.value,
        message=error.message,
        retry_after=seconds,
        clock=stamp,
    )


def _refusal_from_wire(answer):
    retry_after = None
    if answer.retry_after:
        retry_after = datetime.timedelta(seconds=answer.retry_after)
    return replies.CallerError(
        answer.status,
        answer.code,
        answer.message,
        retry_after,
        commands.Outcome(answer.outcome),
    )
