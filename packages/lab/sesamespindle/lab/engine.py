"""A stand-in for a model engine.

It simulates prefill and batched decode by sleeping, a prefix cache by block ids, and
it serves resumable streams and load reports over HTTP.
"""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import json
import os
import time

import aiohttp
import aiohttp.web

from sesamespindle.decide import hashing
from sesamespindle.lab import answers, kvlink, standin

_PING_INTERVAL_SECONDS = 0.2
# Pieces that must be ready before the fault "shuffle_pieces" reverses them.
_SHUFFLED_PIECES = 4
# Exit status of the process when the fault "crashed_by" matches a prompt.
_CRASH_EXIT_STATUS = 70


@dataclasses.dataclass
class Model:
    """The speed and the capacity of the simulated engine.

    Attributes
    ----------
    version : str
        The version of the model's weights.
    prefill_rate : float
        Prefilled tokens per second.
    decode_interval : float
        Seconds between two tokens of each running stream.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    max_running : int
        Streams that are decoded at the same time.
    max_waiting : int
        Prompts that may wait for prefill; more are refused with status 503.
    load_lag : float
        Seconds between two updates of the load report.
    unread_window : float
        Seconds that a stream without a reader is kept, so that it can be resumed.
    """

    version: str
    prefill_rate: float = 20_000.0
    decode_interval: float = 0.005
    cache_blocks: int = 2_000
    max_running: int = 256
    max_waiting: int = 512
    load_lag: float = 0.2
    unread_window: float = 5.0


class Stream:
    """An answer that is being generated; it outlives the connections that read it.

    Parameters
    ----------
    request : dict
        The JSON body of the request that started it.
    ids : sequence of str
        The block ids of the prompt.

    Attributes
    ----------
    first : int
        The sequence number of the first token generated here. It is above 1 if the
        stream continues an answer that another engine began.
    tokens : list of str
        The tokens generated here.
    sent : int
        The highest sequence number written to any reader.
    start_event : dict or None
        The first event of the stream, with the token counts of the prefill; None until
        the prefill has ended.
    readers : int
        The number of connections that read the stream.
    changed : asyncio.Condition
        Notified after each change that a reader may have to send.
    """

    def __init__(self, request, ids):
        self.id = request["stream"]
        self.request = request
        self.ids = ids
        self.digest = answers.digest(request["prompt"])
        self.first = request["continued_tokens"] + 1
        self.tokens = []
        self.sent = 0
        self.start_event = None
        self.done = False
        self.cancelled = False
        self.readers = 0
        self.unread_since = time.monotonic()
        self.changed = asyncio.Condition()

    @property
    def remaining_tokens(self):
        """Return the number of tokens still to be generated."""
        generated = self.first - 1 + len(self.tokens)
        return self.request["max_tokens"] - generated

    def pieces_after(self, sequence):
        """Return the pieces after a sequence number, and the end mark once done."""
        pieces = [
            self._piece(self.first + index, text)
            for index, text in enumerate(self.tokens)
            if self.first + index > sequence
        ]
        if self.done:
            pieces.append(self._piece(self.first + len(self.tokens), "", last=True))
        return pieces

    def _piece(self, sequence, text, last=False):
        return {
            "stream": self.id,
            "sequence": sequence,
            "text": text,
            "last": last,
            "finish_reason": "length" if last else "",
        }


class Engine:
    """Serves streams; one task prefills prompts, another generates tokens.

    Parameters
    ----------
    model : Model
        The speed and the capacity.

    Notes
    -----
    Faults: ``refuse``, new streams are refused; ``delay``, seconds before each
    prefill; ``hold_prompts``, prefills are held back until it is switched off;
    ``double_pieces``, each piece is sent twice; ``shuffle_pieces``, pieces that are
    ready together are sent in reverse order; ``cut_after_pieces``, connections are cut
    from this sequence number on, which each cut lowers by one; ``hide_end_mark``, the
    number of times that an end mark is withheld; ``load_frozen``, the load report is
    not updated; ``leaving``, the engine reports that it leaves; ``crashed_by``, the
    process exits when it receives a prompt that contains this text.
    """

    def __init__(self, model):
        self._model = model
        self._stream_by_id = {}
        self._waiting = []
        self._arrival_numbers = itertools.count()
        self._prefill_may_continue = asyncio.Event()
        self._running = []
        self._cache = collections.OrderedDict()
        self._counts = collections.Counter()
        self._running_by_account = collections.Counter()
        self._most_by_account = collections.Counter()
        self._load = {}
        self._export_tasks = set()
        self._session = None
        self._faults = standin.Faults(
            refuse=False,
            delay=0.0,
            hold_prompts=False,
            double_pieces=False,
            shuffle_pieces=False,
            cut_after_pieces=0,
            hide_end_mark=0,
            load_frozen=False,
            leaving=False,
            crashed_by="",
        )

    def application(self):
        """Return the aiohttp application."""
        application = aiohttp.web.Application(client_max_size=64_000_000)
        route = application.router
        route.add_post("/streams", self._start)
        route.add_get("/streams/{stream}", self._resume)
        route.add_delete("/streams/{stream}", self._cancel)
        route.add_get("/load", self._show_load)
        route.add_post("/evict", self._evict)
        route.add_post("/version", self._set_version)
        route.add_get("/counts", self._show_counts)
        self._faults.add_route(application)
        application.cleanup_ctx.append(self._run_tasks)
        return application

    async def _run_tasks(self, application):
        self._session = aiohttp.ClientSession()
        loops = (self._prefill_prompts, self._generate_tokens, self._update_load)
        tasks = [asyncio.create_task(loop()) for loop in loops]
        yield
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._session.close()

    async def _start(self, request):
        body = await request.json()
        self._counts["received"] += 1
        crashed_by = self._faults["crashed_by"]
        if crashed_by and crashed_by in body["prompt"]:
            os._exit(_CRASH_EXIT_STATUS)
        wrong_version = body["version"] != self._model.version
        full = len(self._waiting) >= self._model.max_waiting
        if self._faults["refuse"] or wrong_version or full:
            status = 409 if wrong_version else 503
            return aiohttp.web.Response(status=status, headers={"Retry-After": "1"})
        ids = hashing.chain(bytes.fromhex(body["salt"]), body["prompt"])
        stream = Stream(body, ids)
        self._stream_by_id[stream.id] = stream
        heapq.heappush(
            self._waiting, (-body["priority"], next(self._arrival_numbers), stream)
        )
        self._prefill_may_continue.set()
        return await self._send_stream(request, stream, stream.first - 1)

    async def _resume(self, request):
        stream = self._stream_by_id.get(request.match_info["stream"])
        if stream is None or stream.cancelled:
            raise aiohttp.web.HTTPNotFound
        return await self._send_stream(request, stream, int(request.query["after"]))

    async def _cancel(self, request):
        stream = self._stream_by_id.get(request.match_info["stream"])
        if stream is not None and stream.readers:
            # The stream continues: a reader is connected, or its disconnection has
            # not been noticed yet.
            return aiohttp.web.json_response({}, status=409)
        if stream is not None:
            self._discard(stream)
        return aiohttp.web.json_response({})

    def _discard(self, stream):
        stream.cancelled = True
        self._stream_by_id.pop(stream.id, None)
        self._free_slot(stream)

    def _free_slot(self, stream):
        """Free the slot of a stream, if it has one."""
        if stream in self._running:
            self._running.remove(stream)
            self._count_running(stream, -1)
            self._prefill_may_continue.set()

    async def _send_stream(self, request, stream, after):
        response = aiohttp.web.StreamResponse(
            headers={"Content-Type": "text/event-stream"}
        )
        stream.readers += 1
        try:
            await response.prepare(request)
            await self._send_pieces(request, response, stream, after)
        finally:
            stream.readers -= 1
            stream.unread_since = time.monotonic()
        return response

    async def _send_pieces(self, request, response, stream, after):
        start_was_sent = False
        while not stream.cancelled:
            await self._wait_for_change(response, stream, after, start_was_sent)
            if stream.start_event is not None and not start_was_sent:
                start_was_sent = True
                await _write_event(response, stream.start_event)
            pieces = self._pieces_with_faults(stream, after)
            if not pieces:
                await asyncio.sleep(self._model.decode_interval)
            for piece in pieces:
                if self._faults["cut_after_pieces"] and self._cut_is_due(piece):
                    await standin.abort_connection(request.transport)
                    return
                await _write_event(response, piece)
                after = max(after, piece["sequence"])
                if piece["last"]:
                    return
                stream.sent = max(stream.sent, after)

    async def _wait_for_change(self, response, stream, after, start_was_sent):
        def has_changed():
            if stream.cancelled or (stream.start_event and not start_was_sent):
                return True
            generated = stream.first - 1 + len(stream.tokens)
            return stream.start_event is not None and (generated > after or stream.done)

        while True:
            try:
                async with asyncio.timeout(_PING_INTERVAL_SECONDS), stream.changed:
                    await stream.changed.wait_for(has_changed)
                return
            except TimeoutError:
                await response.write(b": ping\n\n")

    def _cut_is_due(self, piece):
        if piece["sequence"] < self._faults["cut_after_pieces"]:
            return False
        return self._faults.consume("cut_after_pieces")

    def _pieces_with_faults(self, stream, after):
        """Return the next pieces to send, changed by the active faults."""
        pieces = stream.pieces_after(after)
        if pieces and pieces[-1]["last"] and self._faults.consume("hide_end_mark"):
            pieces.pop()
        if self._faults["shuffle_pieces"]:
            if len(pieces) < _SHUFFLED_PIECES and not stream.done:
                return []
            tokens = [piece for piece in pieces if not piece["last"]]
            pieces = tokens[::-1] + [piece for piece in pieces if piece["last"]]
        if self._faults["double_pieces"]:
            pieces = [piece for piece in pieces for _ in range(2)]
        return pieces

    async def _prefill_prompts(self):
        """Prefill waiting prompts, one at a time, highest priority first."""
        while True:
            while not self._waiting or len(self._running) >= self._model.max_running:
                self._prefill_may_continue.clear()
                await self._prefill_may_continue.wait()
            _, _, stream = heapq.heappop(self._waiting)
            if stream.cancelled:
                continue
            await self._faults.wait_while_set("hold_prompts")
            if self._faults["delay"]:
                await asyncio.sleep(self._faults["delay"])
            stream.start_event = await self._prefill(stream)
            if stream.cancelled:
                continue
            self._running.append(stream)
            self._count_running(stream, 1)
            async with stream.changed:
                stream.changed.notify_all()

    async def _prefill(self, stream):
        reused = self._cached_blocks(stream.ids)
        imported = await self._import(stream, reused)
        prompt_tokens = hashing.token_count(stream.request["prompt"])
        prompt_tokens += stream.request["continued_tokens"]
        available_tokens = (reused + imported) * hashing.BLOCK_TOKENS
        computed = max(0, prompt_tokens - available_tokens)
        await asyncio.sleep(computed / self._model.prefill_rate)
        for block_id in stream.ids:
            self._cache_block(block_id)
        self._counts["computed_tokens"] += computed
        self._counts["reused_tokens"] += reused * hashing.BLOCK_TOKENS
        self._counts["imported_tokens"] += imported * hashing.BLOCK_TOKENS
        return {
            "reused_tokens": reused * hashing.BLOCK_TOKENS,
            "imported_tokens": imported * hashing.BLOCK_TOKENS,
            "computed_tokens": computed,
            "version": self._model.version,
        }

    async def _import(self, stream, reused):
        """Import the blocks that are not cached, if that is faster than prefill.

        Return the number of blocks imported.
        """
        url = stream.request["store_url"]
        missing = stream.ids[reused:]
        if not url or not missing:
            return 0
        rate = self._model.prefill_rate / hashing.BLOCK_TOKENS
        return await kvlink.fetch(self._session, url, stream.ids, reused, rate)

    def _cached_blocks(self, ids):
        count = 0
        for block_id in ids:
            if block_id not in self._cache:
                break
            count += 1
        return count

    def _cache_block(self, block_id):
        self._cache[block_id] = True
        self._cache.move_to_end(block_id)
        while len(self._cache) > self._model.cache_blocks:
            self._cache.popitem(last=False)

    async def _generate_tokens(self):
        """Generate one token for every running stream in each decode interval."""
        while True:
            await asyncio.sleep(self._model.decode_interval)
            now = time.monotonic()
            for stream in list(self._running):
                await self._generate_token(stream, now)

    async def _generate_token(self, stream, now):
        unread_seconds = not stream.readers and now - stream.unread_since
        if unread_seconds and unread_seconds > self._model.unread_window:
            self._discard(stream)
        if not stream.cancelled and stream.remaining_tokens > 0:
            position = stream.first + len(stream.tokens)
            self._counts["made_tokens"] += 1
            stream.tokens.append(answers.token(stream.digest, position))
        stream.done = stream.remaining_tokens <= 0
        if stream.done and not stream.cancelled:
            self._free_slot(stream)
            self._start_task(self._export_and_forget(stream))
        async with stream.changed:
            stream.changed.notify_all()

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._export_tasks.add(task)
        task.add_done_callback(self._export_tasks.discard)

    async def _export_and_forget(self, stream):
        """Export the KV cache; forget the stream after the unread window."""
        url = stream.request["store_url"]
        if url:
            await kvlink.export(self._session, url, stream.ids)
        await asyncio.sleep(self._model.unread_window)
        self._stream_by_id.pop(stream.id, None)

    def _count_running(self, stream, change):
        account = stream.request["account"]
        self._running_by_account[account] += change
        running = self._running_by_account[account]
        self._most_by_account[account] = max(self._most_by_account[account], running)

    async def _update_load(self):
        while True:
            if not self._faults["load_frozen"]:
                tokens = sum(
                    hashing.token_count(stream.request["prompt"])
                    for _, _, stream in self._waiting
                )
                self._load = {
                    "taken_at": time.monotonic(),
                    "backlog_tokens": tokens,
                    "running": len(self._running),
                    "prefill_rate": self._model.prefill_rate,
                    "version": self._model.version,
                }
            await asyncio.sleep(self._model.load_lag)

    async def _show_load(self, request):
        load = dict(self._load)
        load["age_seconds"] = time.monotonic() - load.pop("taken_at")
        load["leaving"] = self._faults["leaving"]
        return aiohttp.web.json_response(load)

    async def _evict(self, request):
        self._cache.clear()
        return aiohttp.web.json_response({})

    async def _set_version(self, request):
        self._model.version = (await request.json())["version"]
        return aiohttp.web.json_response({})

    async def _show_counts(self, request):
        return aiohttp.web.json_response(
            {
                **self._counts,
                "running": len(self._running),
                "sent_by_stream": {
                    stream.id: stream.sent for stream in self._stream_by_id.values()
                },
                "running_by_account": dict(self._running_by_account),
                "most_by_account": dict(self._most_by_account),
                "cached_blocks": len(self._cache),
            }
        )


async def _write_event(response, value):
    await response.write(f"data: {json.dumps(value)}\n\n".encode())
