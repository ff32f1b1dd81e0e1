"""A stand-in of a model engine, which follows the users' page of the protocol."""

import asyncio
import json

import fleet

MODEL = "m"
LOAD_SECONDS = 0.4
KV_CAPACITY = 99503
# The way to an engine of another zone and back, which a refusal takes.
LINK_SECONDS = 0.0028
EVENTS = 3
EVENT_SECONDS = 0.02


class ModelEngine(fleet.Server):
    """A model engine with one model, whose weights an order replaces.

    Attributes
    ----------
    version : int
        The version of its weights.
    runs : collections.Counter
        How often each request has run, by its id; shared by all engines.
    orders : list of tuple
        Time, holder, fence and outcome of each order.
    """

    service = "llm"

    def __init__(self, name, record, runs, version=1):
        super().__init__()
        self.name, self.record, self.runs = name, record, runs
        self.version = version
        self.is_busy = False
        self.accepted = 0
        self.running = 0
        self.orders = []
        self._loads = set()
        self._seq = 0

    def entry(self, state="ready"):
        """Return its record in the store."""
        self._seq += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 64,
            "State": state,
            "ColdRemainingMs": 0,
            "Stage": "unified",
            "Models": [{"Name": MODEL, "Version": self.version, "Adapters": []}],
            "Seq": self._seq,
        }

    async def _serve(self, reader, writer):
        # What a fault sends late on this connection, and the id of its request.
        writer.extra, writer.extra_of = b"", ""
        await super()._serve(reader, writer)

    async def handle(self, words, headers, reader, writer):
        """Serve a request."""
        body = await fleet.read_body(reader, headers)
        attempt = headers.get("x-attempt-id", "")
        path = words[1].partition("?")[0]
        if headers.get("x-expect-instance", self.name) != self.name:
            identity = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
            writer.write(fleet.answer(421, identity))
            return True
        if path == "/v1/report":
            writer.write(fleet.json_answer(200, self._report()))
        elif path == "/v1/order":
            await self.on_order(json.loads(body), writer)
        elif path == "/v1/kv-events":
            await asyncio.sleep(int(headers.get("wait-ms", 0)) / 1000)
            empty = {"BootEpoch": 7, "NextToken": 1, "Lost": False, "Events": []}
            writer.write(fleet.json_answer(200, empty))
        elif path == "/v1/kv-list":
            empty = {"BootEpoch": 7, "NextToken": 1, "Held": []}
            writer.write(fleet.json_answer(200, empty))
        elif path == "/healthz":
            writer.write(fleet.answer(200, {"X-Instance-Id": self.name}))
        else:
            await self._prompt(attempt, headers, writer)
        return True

    def _report(self):
        return {
            "Stage": "unified",
            "Models": [{"Name": MODEL, "Version": self.version, "Adapters": []}],
            "Busy": self.is_busy,
            "Seq": self.accepted,
            "Queued": 0,
            "Running": self.running,
            "KvUsed": 0,
            "KvTotal": 90000,
            "Handles": 0,
        }

    async def on_order(self, order, writer):
        """Accept or refuse an order, and answer it."""
        status = self.judge(order)
        writer.write(fleet.json_answer(status, {}))

    def judge(self, order):
        """Return the status of an order; carry it out if it is accepted."""
        if "Holder" not in order or "Fence" not in order:
            return self._note_order(order, 400)
        if "Expect" in order and order["Expect"] != self.accepted:
            return self._note_order(order, 409)
        if self.version == order["Version"]:
            return self._note_order(order, 200)
        if self.is_busy:
            return self._note_order(order, 409)
        self.accepted += 1
        self.is_busy = True
        load = asyncio.create_task(self._load(order["Version"]))
        self._loads.add(load)
        return self._note_order(order, 202)

    def _note_order(self, order, status):
        at = self.record.now()
        self.orders.append((at, order.get("Holder"), order.get("Fence"), status))
        self.record.note(
            f"{self.name}: order of {order.get('Holder')}, fence {order.get('Fence')}, "
            f"version {order.get('Version')}: {status}"
        )
        return status

    async def _load(self, version):
        while self.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(LOAD_SECONDS)
        self.version, self.is_busy = version, False
        self.record.note(f"{self.name}: has version {version}")

    def spoil(self, sent):
        """Return bytes that a fault sends late on this connection; usually none."""
        return b""

    async def _prompt(self, attempt, headers, writer):
        if writer.extra and attempt != writer.extra_of:
            self.record.note(
                f"{self.name}: sends the second copy of the answer to "
                f"{writer.extra_of} late, as {attempt} comes on the connection"
            )
            writer.write(writer.extra)
            writer.extra = b""
        refusal = self._refusal(attempt, headers)
        if refusal:
            await asyncio.sleep(LINK_SECONDS)
            writer.write(refusal)
            if not writer.extra:
                writer.extra, writer.extra_of = self.spoil(refusal), attempt
            return
        self.runs[attempt] += 1
        self.running += 1
        self.record.note(
            f"{self.name}: {attempt} RUNS, time {self.runs[attempt]}, "
            f"version {self.version}"
        )
        try:
            await self._stream(attempt, headers, writer)
        finally:
            self.running -= 1

    def _refusal(self, attempt, headers):
        counts = headers.get("x-token-count", "0,0").split(",")
        if sum(int(count) for count in counts) > KV_CAPACITY:
            self.record.note(f"{self.name}: {attempt} is larger than the memory: full")
            sent = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            return fleet.answer(503, sent)
        if self.is_busy:
            self.record.note(f"{self.name}: {attempt} turned away, as it loads")
            sent = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
            return fleet.answer(503, sent)
        expected = headers.get("x-expect-version", str(self.version))
        if expected != str(self.version):
            self.record.note(
                f"{self.name}: {attempt} refused, expects version {expected}"
            )
            sent = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
            return fleet.answer(421, sent)
        return b""

    def version_text(self):
        """Return the number that it puts into X-Weight-Versions."""
        return str(self.version)

    async def _stream(self, attempt, headers, writer):
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Attempt-Id: {attempt}",
            f"X-Server-Stamp: {self.name}.{attempt}",
            f"X-Weight-Versions: {self.version_text()}",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {self.name} {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def service(**more):
    """Return the service of the engines for a manifest."""
    return {
        "Name": ModelEngine.service,
        "MaxConnections": 360,
        "HealthPath": "/healthz",
        "Engine": {
            "Slots": 64,
            "KvCapacity": KV_CAPACITY,
            "KvTokenBytes": 163840,
            "LinkMbps": 260000,
            "Models": [{"Name": MODEL}],
        },
    } | more
