"""Talking to the other daemons: gossip by datagrams, all else by gRPC."""

import asyncio
import datetime
import ipaddress
import itertools

import grpc
from google.protobuf import message as protobuf_message

from sesamespindle.daemon import (
    arrivals,
    call_runner,
    datagrams,
    logs,
    peermessages,
    replies,
)
from sesamespindle.decide import commands, events, gossip
from sesamespindle.wire import peers_pb2, peers_pb2_grpc, service

_log = logs.part("peers")
_RPC_SECONDS = 1.0
_FETCH_SECONDS = 5.0
# An answer to a round of gossip is used for this long, as long as a call may take.
_ROUND_TIMEOUT = datetime.timedelta(seconds=_RPC_SECONDS)
_KEY_METADATA = "peer-key"
_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    # A peer address is of one process: whoever listens there held what the process
    # before it held. The library would share the port.
    ("grpc.so_reuseport", 0),
    # A peer that was away is tried again within a second; the library's own
    # pause grows to minutes.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 300),
    ("grpc.max_reconnect_backoff_ms", 1000),
)


def bind(host, port):
    """Return a server, and the port that it is bound to; it answers nobody yet."""
    server = grpc.aio.server(options=_OPTIONS)
    return server, server.add_insecure_port(f"{host}:{port}")


class Peering(peers_pb2_grpc.PeersServicer):
    """Serves peers, and carries out commands that go to peers.

    Parameters
    ----------
    declarations : sesamespindle.daemon.watchers.DeclarationsWatcher
        Where revisions from peers go, and come from.
    server : grpc.aio.Server
        From `bind`; owned from now on.
    key : str
        The secret that all daemons share; a peer without it is refused.
    """

    def __init__(self, driver, declarations, server, key):
        self._driver = driver
        self._clock = driver.event_log.clock
        self._declarations = declarations
        self._metadata = ((_KEY_METADATA, key),)
        self._key = key
        self._calls = None
        self._call_timeout = None
        self._channel_by_address = {}
        self._take_by_exchange = {}
        self._datagrams = datagrams.Datagrams(key, self._receive_datagram)
        # When each round of gossip was begun that has no answer yet, oldest first.
        self._begun_by_round = {}
        # The message of the latest round, and its protobuf form.
        self._round_message = self._round_on_wire = None
        self._rounds = itertools.count(1)
        self._exchange_ids = itertools.count()
        self._tasks = set()
        self._fetching = None
        self._server = server
        self._on_commands()

    def _now(self):
        return self._driver.clock.now()

    def _on_commands(self):
        driver = self._driver
        driver.on(commands.GossipTo, self._gossip)
        driver.on(commands.AskSlices, lambda item: self._spawn(self._ask(item)))
        driver.on(
            commands.AskHoldings, lambda item: self._spawn(self._ask_holdings(item))
        )
        driver.on(
            commands.FetchDeclarations, lambda item: self._spawn(self._fetch(item))
        )
        for kind in (commands.GossipReply, commands.GrantSlices, commands.TellHoldings):
            driver.on(kind, self._take_reply)

    def serve_calls(self, calls, timeout):
        """Make calls that peers pass on with this runner."""
        self._calls = calls
        self._call_timeout = timeout

    async def start(self, host, port):
        """Begin to answer peers at the port that was bound."""
        await self._datagrams.open(host, port)
        peers_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        await self._server.start()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._datagrams.close()
        await self._server.stop(None)
        for channel in self._channel_by_address.values():
            await channel.close()

    # What peers ask of this daemon.

    async def Gossip(self, request, context):
        """Answer a peer's half of a round that is too long for a datagram."""
        await self._check(request, context)
        message = peermessages.gossip_from_wire(request, self._now())
        reply = await self._exchange(
            lambda exchange_id: gossip.GossipReceived(exchange_id, message)
        )
        return self._gossip_to_wire(reply.message)

    async def AskSlices(self, request, context):
        """Grant slices of the accounts that this daemon owns."""
        await self._check(request, context)
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
        """Tell a new owner what this daemon holds."""
        await self._check(request, context)
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
        """Make a call under a ticket that this daemon minted."""
        await self._check(request, context)
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

    async def FetchDeclarations(self, request, context):
        """Give a peer the declarations in force here."""
        await self._check(request, context, has_clock=False)
        packed = self._declarations.pack(request.known_digests)
        return peers_pb2.DeclarationsFound(
            revision=packed.revision, head=packed.head, documents=packed.documents
        )

    # What this daemon asks of peers.

    async def forward_call(self, address, account, pool, call, timeout):
        """Pass a call on and return its `call_runner.CallReply`.

        Returns None where the peer can't be reached or does not answer, so
        that it isn't known whether the call ran.

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

    def _gossip(self, command):
        """Begin a round with a peer."""
        message = self._round_to_wire(command.message)
        if message.ByteSize() > datagrams.MAX_BYTES:
            self._spawn(self._gossip_at_length(command.peer_address, message))
            return
        now = self._now()
        number = next(self._rounds)
        self._begun_by_round[number] = now
        self._forget_rounds(now)
        try:
            self._send(number, False, message, _split(command.peer_address))
        except ValueError as error:
            # What peers tell of each other isn't checked; this is within a tick,
            # which the daemon can't do without.
            _log.warning("{!r} is no peer's address. {}", command.peer_address, error)

    async def _gossip_at_length(self, address, message):
        begun_at = self._now()
        answer = await self._call(address, "Gossip", message)
        if answer is not None:
            self._take_answer(address, answer, begun_at)

    def _send(self, number, is_answer, message, peer):
        datagram = peers_pb2.GossipDatagram(
            round=number, is_answer=is_answer, message=message
        )
        self._datagrams.send(datagram.SerializeToString(), peer)

    def _forget_rounds(self, now):
        """Forget rounds whose answer was lost, or would come too late to be used."""
        for number, begun_at in list(self._begun_by_round.items()):
            if now - begun_at < _ROUND_TIMEOUT:
                break
            del self._begun_by_round[number]

    def _receive_datagram(self, payload, peer):
        try:
            datagram = peers_pb2.GossipDatagram.FromString(payload)
        except protobuf_message.DecodeError as error:
            _log.warning("A datagram from {} can't be read. {}", peer, error)
            return
        self._clock.merge(datagram.message.clock)
        if not datagram.is_answer:
            self._answer_round(datagram, peer)
            return
        self._forget_rounds(self._now())
        begun_at = self._begun_by_round.pop(datagram.round, None)
        if begun_at is not None:
            host, port = peer[:2]
            self._take_answer(f"{host}:{port}", datagram.message, begun_at)

    def _answer_round(self, datagram, peer):
        message = peermessages.gossip_from_wire(datagram.message, self._now())
        exchange_id = str(next(self._exchange_ids))
        replied = []
        self._take_by_exchange[exchange_id] = replied.append
        self._driver.feed(gossip.GossipReceived(exchange_id, message))
        self._take_by_exchange.pop(exchange_id, None)
        for reply in replied:
            answer = self._gossip_to_wire(reply.message)
            self._send(datagram.round, True, answer, peer)

    def _take_answer(self, address, answer, begun_at):
        message = peermessages.gossip_from_wire(answer, self._now(), begun_at)
        self._driver.feed(gossip.GossipAnswered(address, message))

    def _round_to_wire(self, message):
        """Return the protobuf form of a round's message, made once for all peers."""
        if self._round_message is not message:
            self._round_message = message
            self._round_on_wire = self._gossip_to_wire(message)
        return self._round_on_wire

    def _gossip_to_wire(self, message):
        stamp = self._clock.stamp()
        return peermessages.gossip_to_wire(message, stamp, self._now())

    async def _ask(self, command):
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
                events.HoldingsTold(
                    command.entry,
                    answer.incarnation,
                    command.accounts,
                    holdings,
                    answer.settled,
                )
            )

    async def _fetch(self, command):
        await self.fetch_from(command.peer_address)

    async def fetch_from(self, address):
        """Get what a peer knows of the platform, or wait while that is under way."""
        if self._fetching is None:
            self._fetching = self._spawn(self._fetch_from(address))
            self._fetching.add_done_callback(self._end_fetch)
        await asyncio.shield(self._fetching)

    def _end_fetch(self, task):
        self._fetching = None

    async def _fetch_from(self, address):
        known = self._declarations.summary()
        request = peers_pb2.DeclarationsWanted(
            above_revision=known.revision, known_digests=known.digests
        )
        answer = await self._call(address, "FetchDeclarations", request, _FETCH_SECONDS)
        if answer is not None:
            await self._declarations.unpack(answer.head, answer.documents)

    async def _call(self, address, method, request, seconds=_RPC_SECONDS):
        stub = peers_pb2_grpc.PeersStub(self._channel(address))
        try:
            answer = await getattr(stub, method)(
                request, timeout=seconds, metadata=self._metadata
            )
        except grpc.RpcError as error:
            _log.debug("{} at {} failed: {}.", method, address, error.code())
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self._drop_channel(address)
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
        """Have the next call to a peer make a new connection.

        Guards against a connection that has gone silent without a close: all
        calls on it would run into their time limits until the system's own,
        which takes minutes.
        """
        channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            await channel.close()

    async def _check(self, request, context, has_clock=True):
        """Refuse a caller that is not a peer, and take its stamp in."""
        keys = [
            value
            for name, value in context.invocation_metadata()
            if name == _KEY_METADATA
        ]
        if keys != [self._key]:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "not a peer")
        if has_clock:
            self._clock.merge(request.clock)

    async def _exchange(self, make_event):
        """Feed an event and wait for the command that answers it."""
        exchange_id = str(next(self._exchange_ids))
        reply = asyncio.get_running_loop().create_future()
        self._take_by_exchange[exchange_id] = reply.set_result
        try:
            self._driver.feed(make_event(exchange_id))
            return await reply
        finally:
            self._take_by_exchange.pop(exchange_id, None)

    def _take_reply(self, command):
        take = self._take_by_exchange.pop(command.exchange_id, None)
        if take is not None:
            take(command)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _split(address):
    """Return the (host, port) of an address of a peer.

    Raises
    ------
    ValueError
        If it isn't an IP address and a port.
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
