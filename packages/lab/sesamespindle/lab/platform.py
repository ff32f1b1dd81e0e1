"""A stand-in for the platform.

It has versioned objects with conditional writes and watches, and a list of hosts that
shows changes after a delay.
"""

import asyncio
import collections
import time

import aiohttp.web

from sesamespindle.lab import standin

MAX_VALUE_BYTES = 1_000_000
_UNCHANGED = 304


class _TokenBucket:
    """A token bucket that holds at most the tokens of one second."""

    def __init__(self, per_second):
        self._per_second = per_second
        self._tokens = per_second
        self._filled_at = time.monotonic()

    def take(self):
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * self._per_second
        self._tokens = min(filled, self._per_second)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Platform:
    """Keeps objects and the host list in memory, and injects faults on request.

    Parameters
    ----------
    reads_per_second, writes_per_second : int
        Rate limits; calls above them are answered with status 429.
    host_lag : float
        Seconds until a change of the hosts shows in the list.

    Notes
    -----
    Faults: ``away``, connections are cut; ``delay``, seconds before each call;
    ``lose_answers``, the number of writes that are applied but whose connection is cut
    before the answer; ``stale_reads``, reads return the previous version of an object;
    ``hosts_frozen``, the host list does not change; ``hold_claims``, answers to writes
    of claims are held back until the fault is switched off.
    """

    def __init__(self, reads_per_second=2000, writes_per_second=500, host_lag=1.0):
        self._object_by_key = {}
        self._previous_by_key = {}
        self._changed = asyncio.Condition()
        self._host_by_name = {}
        self._listed_by_name = {}
        self._host_lag = host_lag
        self._list_version = 1
        self._reads = _TokenBucket(reads_per_second)
        self._writes = _TokenBucket(writes_per_second)
        self._count_by_call = collections.Counter()
        self._faults = standin.Faults(
            away=False,
            delay=0.0,
            lose_answers=0,
            stale_reads=False,
            hosts_frozen=False,
            hold_claims=False,
        )

    def application(self):
        """Return the aiohttp application."""
        application = aiohttp.web.Application(
            client_max_size=MAX_VALUE_BYTES, middlewares=[self._inject_faults]
        )
        route = application.router
        route.add_get("/objects/{kind}/{name}", self._get)
        route.add_put("/objects/{kind}/{name}", self._put)
        route.add_get("/hosts", self._get_hosts)
        route.add_put("/hosts/{name}", self._put_host)
        route.add_delete("/hosts/{name}", self._delete_host)
        route.add_get("/counts", self._show_counts)
        self._faults.add_route(application)
        return application

    @aiohttp.web.middleware
    async def _inject_faults(self, request, handler):
        """Apply the active faults and the rate limits to a call of the API.

        Changes of the hosts, the counters and the faults themselves are exempt.
        """
        if request.path in ("/faults", "/counts") or request.path.startswith("/hosts/"):
            return await handler(request)
        if self._faults["away"]:
            await standin.abort_connection(request.transport)
            raise aiohttp.web.HTTPServiceUnavailable
        if self._faults["delay"]:
            await asyncio.sleep(self._faults["delay"])
        rate = self._writes if request.method == "PUT" else self._reads
        if not rate.take():
            self._count_by_call["throttled"] += 1
            raise aiohttp.web.HTTPTooManyRequests
        self._count_by_call[request.method] += 1
        response = await handler(request)
        if request.path.startswith("/objects/claims/") and request.method == "PUT":
            self._count_by_call["claims"] += 1
            await self._faults.wait_while_set("hold_claims")
        if request.method == "PUT" and self._faults.consume("lose_answers"):
            await standin.abort_connection(request.transport)
        return response

    async def _get(self, request):
        key = (request.match_info["kind"], request.match_info["name"])
        if "after" in request.query:
            return await self._watch(request, key)
        return _object_response(self._readable_object(key))

    async def _watch(self, request, key):
        after = int(request.query["after"])
        wait = float(request.query["wait"])
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._version(key) > after)
        except TimeoutError:
            return aiohttp.web.Response(status=_UNCHANGED)
        return _object_response(self._readable_object(key))

    def _readable_object(self, key):
        if self._faults["stale_reads"] and key in self._previous_by_key:
            return self._previous_by_key[key]
        return self._object_by_key.get(key)

    def _version(self, key):
        found = self._object_by_key.get(key)
        return found["version"] if found else 0

    async def _put(self, request):
        key = (request.match_info["kind"], request.match_info["name"])
        value = await request.json()
        version = self._version(key)
        expected = request.headers.get("If-Match", "0")
        if int(expected) != version:
            found = self._object_by_key.get(key, {"version": 0, "value": None})
            return aiohttp.web.json_response(found, status=412)
        if version:
            self._previous_by_key[key] = self._object_by_key[key]
        self._object_by_key[key] = {"version": version + 1, "value": value}
        async with self._changed:
            self._changed.notify_all()
        return aiohttp.web.json_response({"version": version + 1})

    async def _get_hosts(self, request):
        if int(request.query.get("after", "0")) == self._list_version:
            return aiohttp.web.Response(status=_UNCHANGED)
        value = list(self._listed_by_name.values())
        return aiohttp.web.json_response(
            {"version": self._list_version, "value": value}
        )

    async def _put_host(self, request):
        host = await request.json()
        self._host_by_name[host["name"]] = host
        self._publish_list_later()
        return aiohttp.web.json_response({})

    async def _delete_host(self, request):
        self._host_by_name.pop(request.match_info["name"], None)
        self._publish_list_later()
        return aiohttp.web.json_response({})

    def _publish_list_later(self):
        """Publish the current hosts in the list after the lag."""
        snapshot = dict(self._host_by_name)
        asyncio.get_running_loop().call_later(
            self._host_lag, self._publish_list, snapshot
        )

    def _publish_list(self, snapshot):
        if not self._faults["hosts_frozen"]:
            self._listed_by_name = snapshot
            self._list_version += 1

    async def _show_counts(self, request):
        return aiohttp.web.json_response(dict(self._count_by_call))


def _object_response(found):
    if found is None:
        return aiohttp.web.json_response({}, status=404)
    return aiohttp.web.json_response(found)
