"""Targets that run requests, record each run, and fail in some of them."""

import asyncio
import contextlib
import json
import zlib

import limits
import standins

from soak import records

# How long an engine loads new weights, in seconds; meanwhile it refuses prompts.
_LOAD_SECONDS = 0.4
# The bounds of the delay after which an engine carries out a late order to load
# weights, which it doesn't answer.
_ORDER_DELAY_SECONDS = (2.0, 12.0)
_EVENT_SECONDS = 0.03
# One in _LONG_ONE_IN streams is long: if it begins 2.5 s or more after the SIGTERM of
# its host, it still runs when the host's 8 s of grace time are over. A target that
# leaves can complete it: such a target serves for 8 s more, and daemons may send to it
# only in the first 2.5 s of them.
_LONG_ONE_IN = 5
_LONG_EVENTS, _LONG_EVENT_SECONDS = 12, 0.45
_WORK_SECONDS = 0.02
_FEWEST_EVENTS, _EVENT_CHOICES = 3, 8
# The body of a prompt that crashes the engine which runs it.
CRASHING = b"crashes engines"
# The ids of parts that crash engines which begin to answer a prompt with them.
DEADLY_PREFIX = "dead"


def event_count(request_id):
    """Return the number of events in the answer to a request."""
    if _is_long(request_id):
        return _LONG_EVENTS
    return _FEWEST_EVENTS + sum(request_id.encode()) % _EVENT_CHOICES


def event_seconds(request_id):
    """Return the seconds that each event of the answer to a request takes."""
    return _LONG_EVENT_SECONDS if _is_long(request_id) else _EVENT_SECONDS


def _is_long(request_id):
    return zlib.crc32(request_id.encode()) % _LONG_ONE_IN == 0


def event(request_id, number):
    """Return one event of the answer to a request."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def deadly_part(headers):
    """Return the id of the part of a prompt that crashes engines, or ""."""
    shared = headers.get("x-prompt-prefix", "").split(",")[:-1]
    ids = (entry.partition(":")[0] for entry in shared)
    return next((part for part in ids if part.startswith(DEADLY_PREFIX)), "")


def plain_answer(target, request_id):
    """Return the body of a plain service's answer."""
    return f"{target} ran {request_id}".encode()


class Target(standins.Target):
    """A target of the plain service, or an engine.

    Parameters
    ----------
    listed_address : str
        The address of the proxy through which daemons reach it.
    now : callable
        The soak's clock.
    source : random.Random
        Decides which runs fail.

    Attributes
    ----------
    weights : int
        The weight version that an engine runs.
    failing_share : float
        The share of plain requests that it answers with status 500.
    answers_lost_share : float
        The share of plain answers, or of events of streams, at which it breaks the
        connection.
    late_orders_share : float
        The share of orders to load weights that it carries out late, without an
        answer.
    order_source : random.Random
        Decides which orders are late, and by how much.
    on_loaded : callable or None
        An asynchronous function, called with the target when it runs other weights.
    on_crashing_request : callable
        Called with the target and the request's path, or the id of the part of its
        prompt, when a request crashes it.
    brittle : brittle.Rejections or None
        What the target turns away, while it is brittle.
    software : str
        The version of its software.
    breaking_share : float
        The share of the events inside which it ends the connection in order.
    is_unframed : bool
        Whether its streams have neither length nor chunks and end with the connection.
    on_fall : callable
        Called with the target when it turned away too many requests.
    orders_taken : int
        The number of orders carried out in this incarnation. Its report sends it as
        ``Seq``, and an order whose ``Expect`` is another number is refused.
    """

    def __init__(self, name, address, service, listed_address, journal, now, source):
        super().__init__(name, address, service)
        self.listed_address = listed_address
        self.weights = 1
        self.failing_share = 0.05
        self.answers_lost_share = 0.0
        self.software = "v1"
        self.breaking_share = 0.0
        self.is_unframed = False
        self.late_orders_share = 0.0
        self.orders_taken = 0
        self._loading_until = 0.0
        self._journal = journal
        self._now = now
        self._random = source
        self.order_source = source
        self.on_crashing_request = None
        self.on_loaded = None
        self.on_fall = None
        self.brittle = None
        self._present = 0

    @property
    def is_engine(self):
        """Whether it runs prompts."""
        return self.service == "llm"

    def entry(self, state="ready"):
        """Return the record under which the target is listed."""
        models = [{"Name": "m", "Version": self.weights}]
        return super().entry(state) | {
            "Address": self.listed_address,
            "Version": self.software,
            "Models": models if self.service == "llm" else [],
        }

    def crash(self):
        """Break all connections and accept no more, as a dead process does."""
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _answer(self, headers, writer):
        path = headers[":path"]
        if headers.get("x-expect-instance", self.name) != self.name:
            identity = {"X-Instance-Id": self.name}
            writer.write(standins.make_answer(421, headers, identity))
            return
        self._note_arrival(headers)
        if path == "/v1/report":
            writer.write(standins.make_answer(200, headers, {}, self._report()))
        elif path == "/v1/order":
            await self._answer_order(json.loads(self.body), headers, writer)
        elif self.turns_away:
            extra = {"X-Not-Executed": "full"} | self.signals
            writer.write(standins.make_answer(503, headers, extra))
        elif self.brittle is not None and self.brittle.is_full(self._present):
            await self._turn_away_brittle(headers, writer)
        else:
            await self._run(headers, writer)

    async def _run(self, headers, writer):
        self._present += 1
        try:
            if self.service == "llm":
                await self._run_prompt(headers, writer)
            else:
                await self._run_plain(headers, writer)
        finally:
            self._present -= 1

    async def _turn_away_brittle(self, headers, writer):
        extra = {"X-Not-Executed": "full"} | self.signals
        writer.write(standins.make_answer(503, headers, extra))
        await writer.drain()
        if self.brittle.note(self._now()):
            self.on_fall(self)

    def _note_arrival(self, headers):
        request_id = headers.get("x-attempt-id")
        if request_id is None:
            return
        self._journal.arrivals.append(
            records.Arrival(
                request_id,
                self.name,
                self.born,
                self._now(),
                limits.read(self.signals.get("Server-Limit")),
                "Server-Leaving" in self.signals,
                float(self.signals.get("Retry-After", 0)),
            )
        )

    def _report(self):
        models = [{"Name": "m", "Version": self.weights}]
        value = {
            "Models": models,
            "Busy": self._is_loading(),
            "Seq": self.orders_taken,
            "born": self.born,
        }
        return json.dumps(value).encode()

    def begin_incarnation(self):
        """Start a new incarnation under the same name, with the same weights."""
        super().begin_incarnation()
        self.orders_taken = 0
        self._loading_until = 0.0

    def _is_loading(self):
        return self._now() < self._loading_until

    async def _answer_order(self, order, headers, writer):
        """Carry an order out at once and answer it, or late and without an answer.

        A late order is dropped if the target starts a new incarnation meanwhile.
        """
        delay = 0.0
        if self.order_source.random() < self.late_orders_share:
            delay = self.order_source.uniform(*_ORDER_DELAY_SECONDS)
        lease = order["Holder"], order["Fence"]
        record = records.Order(self.name, self._now(), *lease, delay)
        self._journal.orders.append(record)
        if not delay:
            status = await self._carry_out_order(order)
            writer.write(standins.make_answer(status, headers, {}))
            return
        born = self.born
        await asyncio.sleep(delay)
        if self.born == born:
            await self._carry_out_order(order)
        writer.transport.abort()

    async def _carry_out_order(self, order):
        if (
            self._is_loading()
            or order.get("Expect", self.orders_taken) != self.orders_taken
        ):
            return 409
        if order["Version"] <= self.weights:
            return 200
        self.orders_taken += 1
        self._loading_until = self._now() + _LOAD_SECONDS
        self.weights = order["Version"]
        if self.on_loaded is not None:
            await self.on_loaded(self)
        return 202

    def _record(self, headers, status, **more):
        deadline = headers.get("x-deadline-ms")
        self._journal.runs.append(
            records.Run(
                headers["x-attempt-id"],
                self.name,
                self.service,
                headers[":path"],
                self._now(),
                status,
                headers.get("x-tenant", ""),
                headers.get("x-api-key"),
                int(deadline) if deadline else None,
                software=self.software,
                **more,
            )
        )

    async def _run_plain(self, headers, writer):
        is_failing = self._random.random() < self.failing_share
        status = 500 if is_failing else 200
        self._record(headers, status)
        await asyncio.sleep(_WORK_SECONDS)
        if self._random.random() < self.answers_lost_share:
            writer.transport.abort()
            return
        request_id = headers["x-attempt-id"]
        body = b"failed" if is_failing else plain_answer(self.name, request_id)
        extra = {"X-Server-Stamp": self.name} | self.signals
        answer = standins.make_answer(status, headers, extra, body)
        writer.write(answer + self.second_answer)

    async def _run_prompt(self, headers, writer):
        expected = headers.get("x-expect-version")
        if self._is_loading():
            extra = {"X-Not-Executed": "loading"} | self.signals
            writer.write(standins.make_answer(503, headers, extra))
            return
        if expected is not None and int(expected) != self.weights:
            identity = {"X-Instance-Id": self.name}
            writer.write(standins.make_answer(421, headers, identity))
            return
        first = int(headers.get("last-event-id", 0)) + 1
        self._record(
            headers,
            200,
            first_event=first,
            weights=self.weights,
            salt=headers.get("x-cache-salt", ""),
            deadly_part=deadly_part(headers),
        )
        if self.body == CRASHING:
            self.on_crashing_request(self, headers[":path"])
            return
        deadly = deadly_part(headers)
        if deadly:
            await asyncio.sleep(_EVENT_SECONDS)
            self.on_crashing_request(self, deadly)
            return
        with contextlib.suppress(ConnectionError):
            await self._stream_events(headers, writer, first)

    async def _stream_events(self, headers, writer, first):
        request_id = headers["x-attempt-id"]
        stream = headers.get("x-soak-stream", request_id)
        is_unframed = self.is_unframed
        framing = b"Connection: close" if is_unframed else b"Transfer-Encoding: chunked"
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Stamp: " + self.name.encode() + b"\r\n"
            b"X-Weight-Versions: %d\r\n%s\r\n%s"
            b"X-Attempt-Id: %s\r\n\r\n"
            % (self.weights, framing, self.signal_lines(), request_id.encode())
        )
        for number in range(first, event_count(stream) + 1):
            await asyncio.sleep(event_seconds(stream))
            text = event(stream, number)
            if self.breaking_share and self._random.random() < self.breaking_share:
                # A stream that ends in order between two events can't be told from a
                # whole one, but one that never begins can.
                fewest = 0 if number == first else 1
                half = text[: self._random.choice((fewest, len(text) // 2))]
                writer.write(half if is_unframed else _chunk(half))
                writer.close()
                return
            if is_unframed:
                writer.write(text)
                await writer.drain()
                continue
            if self._random.random() < self.answers_lost_share:
                # The connection breaks in the middle of an event. The daemon must not
                # pass the incomplete event on.
                half = text[: len(text) // 2]
                writer.write(b"%x\r\n%s\r\n" % (len(half), half))
                await writer.drain()
                await asyncio.sleep(_EVENT_SECONDS)
                writer.transport.abort()
                return
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        if is_unframed:
            writer.close()
            return
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""
