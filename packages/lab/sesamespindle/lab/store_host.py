"""A stand-in for a store host: segments of KV cache behind a link of limited rate."""

import asyncio
import collections
import dataclasses
import hashlib
import itertools

import aiohttp.web

from sesamespindle.lab import standin


@dataclasses.dataclass
class Segment:
    """Consecutive blocks of one chain of block ids.

    Lookups return it only once it is committed.

    Attributes
    ----------
    name : str
        The name that the store host gave it.
    ids : list of str
        The ids of its blocks, in order.
    data : bytes
        The KV cache of all blocks, as it was written.
    """

    name: str
    ids: list
    data: bytes = b""
    committed: bool = False


class StoreHost:
    """Keeps segments in memory and evicts the least recently used ones when full.

    Parameters
    ----------
    capacity_blocks : int
        The capacity, in blocks.
    block_bytes : int
        The simulated size of a block on the link.
    link_bytes_per_second : float
        The simulated rate of the link, for both directions together.

    Notes
    -----
    Faults: ``full``, new segments are refused; ``corrupt``, data is read as zeros;
    ``truncate``, half of the data is missing when read; ``link_factor``, how many
    times slower than its rate the link is.
    """

    def __init__(self, capacity_blocks, block_bytes, link_bytes_per_second):
        self._capacity = capacity_blocks
        self._block_bytes = block_bytes
        self._rate = link_bytes_per_second
        self._link = asyncio.Lock()
        self._segment_by_name = collections.OrderedDict()
        self._segment_by_block = {}
        self._segment_numbers = itertools.count(1)
        self._counts = collections.Counter()
        self._faults = standin.Faults(
            full=False, corrupt=False, truncate=False, link_factor=1.0
        )

    def application(self):
        """Return the aiohttp application."""
        application = aiohttp.web.Application(client_max_size=64_000_000)
        route = application.router
        route.add_post("/segments", self._create_segment)
        route.add_put("/segments/{name}/data", self._write_data)
        route.add_post("/segments/{name}/commit", self._commit)
        route.add_get("/segments/{name}/data", self._read_data)
        route.add_post("/lookup", self._lookup)
        route.add_get("/counts", self._show_counts)
        self._faults.add_route(application)
        return application

    async def _create_segment(self, request):
        ids = (await request.json())["ids"]
        if self._faults["full"]:
            return aiohttp.web.json_response({"error": "full"}, status=507)
        self._free_capacity(len(ids))
        segment = Segment(f"segment-{next(self._segment_numbers)}", ids)
        self._segment_by_name[segment.name] = segment
        return aiohttp.web.json_response({"name": segment.name})

    async def _write_data(self, request):
        segment = self._segment_by_name.get(request.match_info["name"])
        if segment is None:
            raise aiohttp.web.HTTPNotFound
        data = await request.read()
        await self._use_link(len(segment.ids))
        segment.data = data
        return aiohttp.web.json_response({})

    async def _commit(self, request):
        """Add a segment to the index, if its data matches the checksum."""
        segment = self._segment_by_name.get(request.match_info["name"])
        checksum = (await request.json())["checksum"]
        if segment is None or checksum != hashlib.sha256(segment.data).hexdigest():
            return aiohttp.web.json_response(
                {"error": "unknown segment or wrong checksum"}, status=409
            )
        segment.committed = True
        self._counts["committed"] += 1
        for block_id in segment.ids:
            self._segment_by_block[block_id] = segment
        return aiohttp.web.json_response({})

    async def _lookup(self, request):
        """Return the segments that hold the longest prefix of a chain of block ids."""
        ids = (await request.json())["ids"]
        segments = []
        blocks = 0
        for block_id in ids:
            segment = self._segment_by_block.get(block_id)
            if segment is None or not segment.committed:
                break
            blocks += 1
            if not segments or segments[-1] is not segment:
                segments.append(segment)
        found = [
            {
                "name": segment.name,
                "ids": segment.ids,
                "length": len(segment.data),
                "checksum": hashlib.sha256(segment.data).hexdigest(),
            }
            for segment in segments
        ]
        return aiohttp.web.json_response(
            {
                "blocks": blocks,
                "segments": found,
                "link_bytes_per_second": self._rate / self._faults["link_factor"],
                "link_waiting": len(self._link._waiters or ()),
                "block_bytes": self._block_bytes,
            }
        )

    async def _read_data(self, request):
        segment = self._segment_by_name.get(request.match_info["name"])
        if segment is None:
            raise aiohttp.web.HTTPNotFound
        if not segment.committed:
            self._counts["reads_of_uncommitted"] += 1
        self._segment_by_name.move_to_end(segment.name)
        await self._use_link(len(segment.ids))
        data = segment.data
        if self._faults["corrupt"]:
            data = bytes(len(data))
        if self._faults["truncate"]:
            data = data[: len(data) // 2]
        return aiohttp.web.Response(body=data)

    async def _use_link(self, blocks):
        size = blocks * self._block_bytes
        async with self._link:
            await asyncio.sleep(size / self._rate * self._faults["link_factor"])
        self._counts["link_bytes"] += size

    def _free_capacity(self, blocks):
        used = sum(len(segment.ids) for segment in self._segment_by_name.values())
        while used + blocks > self._capacity and self._segment_by_name:
            _, oldest = self._segment_by_name.popitem(last=False)
            # Remove the blocks from the index before the data is freed, so that no
            # lookup returns an evicted segment.
            for block_id in oldest.ids:
                if self._segment_by_block.get(block_id) is oldest:
                    del self._segment_by_block[block_id]
            used -= len(oldest.ids)

    async def _show_counts(self, request):
        return aiohttp.web.json_response(dict(self._counts))
