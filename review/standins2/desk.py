"""A stand-in for an engine of a plain service, with slots and a short queue."""

import asyncio
import time

import aiohttp.web

_WORK_SECONDS = 0.0225


class Desk:
    """An engine that rejects what it has no room for, and says so.

    Attributes
    ----------
    arrived_at : list of (float, str)
        When requests reached it, and their ids; without those that got 421.
    ran : list of (float, str)
        The same of those that it ran.
    """

    def __init__(self, name, ip, port, zone, record, slots=2, queue=2):
        self.name, self.zone = name, zone
        self.address = f"{ip}:{port}"
        self._ip, self._port = ip, port
        self._slots = slots
        self._most = slots + queue
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._there = 0
        self._runner = None
        self.arrived_at, self.ran = [], []

    def entry(self, service="booking-desk", state="ready"):
        """Return the record under which it is listed."""
        return {
            "Service": service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self._slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Models": [],
            "Seq": 1,
        }

    async def start(self):
        """Start to serve."""
        application = aiohttp.web.Application()
        application.router.add_route("*", "/{tail:.*}", self._answer)
        self._runner = aiohttp.web.AppRunner(
            application, shutdown_timeout=0.0, handler_cancellation=True
        )
        await self._runner.setup()
        await aiohttp.web.TCPSite(self._runner, self._ip, self._port).start()

    async def stop(self):
        """Stop serving."""
        await self._runner.cleanup()

    async def crash(self):
        """End with all connections; return how many requests were under way."""
        under_way = self._there
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await self._runner.cleanup()
        return under_way

    async def _answer(self, request):
        attempt = request.headers.get("X-Attempt-Id", "")
        head = {
            "X-Attempt-Id": attempt,
            "X-Instance-Id": self.name,
            "X-Server-Load": f"{min(self._there, self._slots)},"
            f"{max(0, self._there - self._slots)},{self._slots}",
        }
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return aiohttp.web.Response(status=421, headers=head)
        if not attempt:
            head["X-Not-Executed"] = "1"
            return aiohttp.web.Response(status=400, headers=head)
        self.arrived_at.append((time.monotonic(), attempt))
        if self._there >= self._most:
            head["X-Not-Executed"] = "1"
            self._record(f"{self.name}: rejects {attempt}, not run")
            return aiohttp.web.Response(status=503, headers=head)
        await request.read()
        self._there += 1
        try:
            async with self._free:
                self.ran.append((time.monotonic(), attempt))
                self._record(f"{self.name}: runs {attempt}")
                await asyncio.sleep(_WORK_SECONDS)
        finally:
            self._there -= 1
        head["X-Server-Stamp"] = f"{self.name}.{attempt}"
        return aiohttp.web.Response(headers=head, body=b"x" * 800)
