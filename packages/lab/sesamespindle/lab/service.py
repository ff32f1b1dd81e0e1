"""A stand-in for a plain service that counts how often each request ran."""

import asyncio
import collections

import aiohttp.web

from sesamespindle.lab import standin


class Service:
    """Runs every call that it receives and counts the runs of each reference.

    The caller chooses the ``reference`` in the JSON body; without one, the path is
    used. The counts do not depend on ids that the daemons create, so tests can use
    them to detect a call that the daemons ran twice.

    Faults: ``delay``, seconds before the answer; ``hold``, answers are held back until
    it is switched off; ``cut_before``, ``cut_after`` and ``cut_inside``, the number of
    connections to cut before a call runs, after it, and in the middle of its answer;
    ``status``, the HTTP status of answers.
    """

    def __init__(self):
        self._runs_by_reference = collections.Counter()
        self._faults = standin.Faults(
            delay=0.0, hold=False, cut_before=0, cut_after=0, cut_inside=0, status=200
        )
        self._received = 0

    def application(self):
        """Return the aiohttp application."""
        application = aiohttp.web.Application()
        route = application.router
        route.add_get("/counts", self._show_counts)
        self._faults.add_route(application)
        route.add_route("*", "/{path:.*}", self._run_call)
        return application

    async def _run_call(self, request):
        self._received += 1
        if self._faults.consume("cut_before"):
            await standin.abort_connection(request.transport)
            raise aiohttp.web.HTTPServiceUnavailable
        body = await request.json() if request.can_read_body else {}
        reference = str(body.get("reference", request.path))
        self._runs_by_reference[reference] += 1
        run_number = self._runs_by_reference[reference]
        await self._faults.wait_while_set("hold")
        if self._faults["delay"]:
            await asyncio.sleep(self._faults["delay"])
        if self._faults.consume("cut_after"):
            await standin.abort_connection(request.transport)
        value = {"reference": reference, "run": run_number, "path": request.path}
        if self._faults.consume("cut_inside"):
            return await self._send_truncated_answer(request)
        return aiohttp.web.json_response(value, status=self._faults["status"])

    async def _send_truncated_answer(self, request):
        response = aiohttp.web.StreamResponse(headers={"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b'{"reference":')
        await standin.abort_connection(request.transport)
        return response

    async def _show_counts(self, request):
        return aiohttp.web.json_response(
            {"received": self._received, "runs": dict(self._runs_by_reference)}
        )
