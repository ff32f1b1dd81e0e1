"""Stand-ins for KV stores with `Managed`, and for model engines that use them."""

import asyncio
import collections
import itertools
import time

import aiohttp.web

_EVENT_LAG_SECONDS = 0.06
_boots = itertools.count(77000)


def clock_ms():
    """Return the time by the engines' clock, in milliseconds."""
    return int(time.time() * 1000)


class KvStore:
    """A KV store: it drops nothing on its own, and all at a restart."""

    def __init__(self, name, ip, port, zone, first_ms, link_mbps, max_inflight):
        self.name, self.zone = name, zone
        self.address = f"{ip}:{port}"
        self.first_ms, self.link_mbps = first_ms, link_mbps
        self.max_inflight = max_inflight
        self._ip, self._port = ip, port
        self._runner = None
        self._wakes = set()
        self._reset()

    def _reset(self):
        self.boot = next(_boots)
        # Tokens that are complete, and those for which space is reserved.
        self.complete, self.reserved, self.makers = {}, {}, {}
        self._events = []
        self._told = 0
        self._inflight = 0
        self._more = asyncio.Condition()

    @property
    def is_up(self):
        """Whether it serves."""
        return self._runner is not None

    async def start(self):
        """Start to serve."""
        self._reset()
        application = aiohttp.web.Application()
        application.router.add_get("/v1/kv-events", self._answer_events)
        application.router.add_get("/v1/kv-list", self._answer_list)
        application.router.add_post("/v1/kv-free", self._answer_free)
        application.router.add_get("/v1/report", self._answer_report)
        self._runner = aiohttp.web.AppRunner(
            application, shutdown_timeout=0.0, handler_cancellation=True
        )
        await self._runner.setup()
        await aiohttp.web.TCPSite(
            self._runner, self._ip, self._port, reuse_address=True
        ).start()

    async def stop(self):
        """End as a crashed process does: connections break, nothing is kept."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()
        self._reset()

    def reserve(self, key, tokens):
        """Begin a save; return its boot, or None if it is lost."""
        if not self.is_up or key in self.reserved:
            return None
        self.reserved[key] = tokens
        return self.boot

    def finish(self, key, boot):
        """End a save, unless the store has restarted since."""
        if self.is_up and self.boot == boot and key in self.reserved:
            self.complete[key] = self.reserved[key]
            asyncio.get_running_loop().call_later(
                _EVENT_LAG_SECONDS, self._tell, boot, "+", key, self.complete[key]
            )

    def _tell(self, boot, sign, key, tokens):
        if boot != self.boot:
            return
        number = len(self._events) + 1
        self._events.append([number, sign, *key, tokens, "m"])
        task = asyncio.ensure_future(self._wake())
        self._wakes.add(task)
        task.add_done_callback(self._wakes.discard)

    async def _wake(self):
        async with self._more:
            self._more.notify_all()

    async def _answer_events(self, request):
        if self._inflight >= self.max_inflight:
            return aiohttp.web.json_response({}, status=429)
        since, boot = int(request.query["Since"]), self.boot
        wait = min(int(request.headers.get("Wait-Ms", 0)), 1000) / 1000
        self._inflight += 1
        try:
            if since <= len(self._events):
                try:
                    async with asyncio.timeout(wait), self._more:
                        await self._more.wait_for(lambda: len(self._events) > since)
                except TimeoutError:
                    pass
        finally:
            if boot == self.boot:
                self._inflight -= 1
        return aiohttp.web.json_response(
            {
                "BootEpoch": self.boot,
                "NextToken": len(self._events),
                "Lost": since > len(self._events),
                "Events": self._events[since:],
                "clock_ms": clock_ms(),
            }
        )

    async def _answer_list(self, request):
        held = [[*key, tokens, "m"] for key, tokens in self.complete.items()]
        return aiohttp.web.json_response(
            {
                "BootEpoch": self.boot,
                "NextToken": len(self._events),
                "Held": held,
                "clock_ms": clock_ms(),
            }
        )

    async def _answer_free(self, request):
        body = await request.json()
        is_late = body.get("until_ms") is not None and clock_ms() > body["until_ms"]
        if body.get("BootEpoch", self.boot) != self.boot or is_late:
            return aiohttp.web.json_response({}, status=409)
        for salt, part in body["parts"]:
            if self.complete.pop((salt, part), None) is not None:
                self._tell(self.boot, "-", (salt, part), 0)
            self.reserved.pop((salt, part), None)
        return aiohttp.web.json_response({})

    async def _answer_report(self, request):
        return aiohttp.web.json_response(
            {"KvUsed": 0, "KvTotal": 1, "BootEpoch": self.boot}
        )


class Engine:
    """A model engine with a cache of prompt parts.

    Attributes
    ----------
    unwhole : list of str
        Requests that went on with memory of a part that a store was still writing.
    foreign : list of (str, str, str)
        Requests that used memory which a request of another tenant made, with their
        tenants and those tenants.
    """

    PREFILL_TOKENS_PER_SECOND = 61_200.0
    TOKEN_BYTES = 163_840
    LINK_MBPS = 260_000.0
    CAPACITY = 68_663

    def __init__(self, name, ip, port, zone, stores, record):
        self.name, self.zone = name, zone
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port
        self._store_by_address = {store.address: store for store in stores}
        self._record = record
        self._cache = collections.OrderedDict()
        self._transfers = asyncio.Lock()
        self._prefill = asyncio.Lock()
        self._runner = None
        self._tasks = set()
        self.running = 0
        self.unwhole = []
        self.foreign = []
        self._maker_by_key = {}
        self.counts = collections.Counter()

    def entry(self):
        """Return the record under which it is listed."""
        return {
            "Service": "glossary-llm",
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 64,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Seq": 1,
        }

    async def start(self):
        """Start to serve."""
        application = aiohttp.web.Application()
        application.router.add_get("/v1/report", self._report)
        application.router.add_get("/healthz", self._health)
        application.router.add_post("/{tail:.*}", self._run)
        self._runner = aiohttp.web.AppRunner(
            application, shutdown_timeout=0.0, handler_cancellation=True
        )
        await self._runner.setup()
        await aiohttp.web.TCPSite(self._runner, self._ip, self._port).start()

    async def stop(self):
        """Stop serving."""
        for task in list(self._tasks):
            task.cancel()
        await self._runner.cleanup()

    async def _report(self, request):
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return aiohttp.web.Response(
                status=421, headers={"X-Instance-Id": self.name}
            )
        return aiohttp.web.json_response(
            {
                "Stage": "unified",
                "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                "Busy": False,
                "Seq": 0,
                "Queued": 0,
                "Running": self.running,
                "KvUsed": 0,
                "KvTotal": self.CAPACITY,
                "Handles": 0,
                "clock_ms": clock_ms(),
            }
        )

    async def _health(self, request):
        return aiohttp.web.Response(headers={"X-Instance-Id": self.name})

    async def _run(self, request):
        attempt = request.headers.get("X-Attempt-Id", "")
        identity = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
        expected = request.headers.get("X-Expect-Instance", self.name)
        if expected != self.name or request.headers.get("X-Expect-Version", "1") != "1":
            return aiohttp.web.Response(status=421, headers=identity)
        await request.read()
        self.running += 1
        self._record(f"{self.name}: runs {attempt}")
        try:
            return await self._answer(request, attempt)
        finally:
            self.running -= 1

    async def _answer(self, request, attempt):
        salt = request.headers.get("X-Cache-Salt", "")
        parts = [
            (part.split(":")[0], int(part.split(":")[1]))
            for part in request.headers["X-Prompt-Prefix"].split(",")
        ]
        count = len(parts)
        sources = _addresses(request.headers.get("X-Kv-Fetch"), count)
        targets = _addresses(request.headers.get("X-Kv-Save"), count)
        saves = []
        for (part, tokens), address in zip(parts, targets, strict=True):
            store = self._store_by_address.get(address)
            boot = store.reserve((salt, part), tokens) if store else None
            if boot is not None:
                saves.append((store, (salt, part), tokens, boot))
                self._record(f"{self.name}: {attempt} saves {part} at {store.name}")
        tenant = request.headers.get("X-Tenant", "")
        kept = 0
        while kept < count and (salt, parts[kept][0]) in self._cache:
            self._cache.move_to_end((salt, parts[kept][0]))
            self._note_maker(attempt, tenant, (salt, parts[kept][0]))
            kept += 1
        until = request.headers.get("X-Kv-Until")
        while kept < count and sources[kept]:
            part, tokens = parts[kept]
            if not await self._fetch(attempt, salt, part, tokens, sources[kept], until):
                break
            maker = self._store_by_address[sources[kept]].makers.get((salt, part))
            self._keep((salt, part), tokens, maker)
            self._note_maker(attempt, tenant, (salt, part))
            kept += 1
        async with self._prefill:
            # Another request may have read some of it meanwhile.
            while kept < count and (salt, parts[kept][0]) in self._cache:
                kept += 1
            rest = sum(tokens for _, tokens in parts[kept:])
            await asyncio.sleep(rest / self.PREFILL_TOKENS_PER_SECOND)
            for part, tokens in parts:
                self._keep((salt, part), tokens, tenant)
        for save in saves:
            store, key, _, _ = save
            store.makers[key] = self._maker_by_key.get(key, tenant)
            task = asyncio.ensure_future(self._save(*save))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await self._stream(request, attempt)

    def _note_maker(self, attempt, tenant, key):
        """Record that a request uses what a request of another tenant made."""
        maker = self._maker_by_key.get(key, tenant)
        if maker != tenant:
            self.foreign.append((attempt, tenant, maker))
            self._record(
                f"{self.name}: {attempt} of tenant {tenant} uses part {key[1]} under "
                f"salt {key[0]!r}, made by a request of tenant {maker}"
            )

    def _keep(self, key, tokens, maker):
        if key not in self._cache:
            self._maker_by_key[key] = maker
        self._cache[key] = tokens
        self._cache.move_to_end(key)
        while sum(self._cache.values()) > self.CAPACITY:
            self._cache.popitem(last=False)

    def _seconds(self, store, tokens):
        rate = min(self.LINK_MBPS, store.link_mbps) * 1e6
        seconds = tokens * self.TOKEN_BYTES * 8 / rate
        if store.zone != self.zone:
            seconds *= 2
        return seconds + store.first_ms / 1000

    async def _fetch(self, attempt, salt, part, tokens, address, until):
        """Fetch a part; return whether the engine has it then."""
        store = self._store_by_address.get(address)
        if store is None:
            # Another engine, which has dropped it by now.
            await asyncio.sleep(0.001)
            return False
        async with self._transfers:
            if not store.is_up:
                await asyncio.sleep(0.3)
                self.counts["from a dead store"] += 1
                return False
            key, boot = (salt, part), store.boot
            if key not in store.reserved:
                await asyncio.sleep(0.001)
                self.counts["missed"] += 1
                self._record(
                    f"{self.name}: {attempt} finds no part {part} at {store.name}"
                )
                return False
            is_whole = key in store.complete
            await asyncio.sleep(self._seconds(store, tokens))
            if until is not None and clock_ms() > int(until):
                self.counts["thrown away"] += 1
                return False
            if store.boot != boot:
                return False
        self.counts["fetched"] += 1
        if not is_whole:
            self.unwhole.append(attempt)
            self._record(
                f"{self.name}: {attempt} goes on with part {part} that {store.name}, "
                f"restarted as {boot}, was still writing when the fetch began"
            )
        return True

    async def _save(self, store, key, tokens, boot):
        async with self._transfers:
            if store.boot == boot:
                await asyncio.sleep(self._seconds(store, tokens))
                store.finish(key, boot)

    async def _stream(self, request, attempt):
        response = aiohttp.web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": attempt,
                "X-Server-Stamp": f"{self.name}.{attempt}",
                "X-Weight-Versions": "1",
                "X-Server-Load": f"{self.running},0,64",
            }
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, 5):
            await response.write(f"id: {number}\ndata: token {number}\n\n".encode())
            await asyncio.sleep(0.005)
        await response.write_eof()
        return response


def _addresses(header, count):
    """Return one address for each part of a prompt; None for none."""
    if header is None:
        return [None] * count
    listed = [item.partition("/")[0] for item in header.split(",")]
    if len(listed) == 1:
        listed = listed * count
    return [None if item == "-" else item for item in listed]
