"""A stand-in for the platform's object store, which may come back from an old copy."""

import asyncio
import collections
import dataclasses
import socket
import time

import aiohttp.web

ERA_HEADER = "Store-Era"
# How old a list may be that is asked for with ``StaleOk``.
_STALE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class _Copy:
    """The content and history of the store at one moment."""

    revision: int
    objects: dict
    objects_before: dict
    changes: tuple


@dataclasses.dataclass(frozen=True)
class _Before:
    """What an object was until a change; None if it didn't exist."""

    until: float
    item: dict | None


@dataclasses.dataclass(frozen=True)
class _OutsideWrite:
    """A write by the operator or a target; `spec` is None for a removal."""

    kind: str
    name: str
    spec: object


class Store:
    """A stand-in for the platform's object store.

    It serves objects with revisions, lists, watches and conditional writes, and fails
    as its attributes say.

    Attributes
    ----------
    turned_away : set of str
        IP addresses of the daemons whose connections it aborts.
    is_away : bool
        Whether it aborts the connections of all clients.
    speaks_nonsense : bool
        Whether it answers with JSON that isn't of the expected form.
    loses_answers : bool
        Whether it carries out writes and then aborts the connection instead of
        answering.
    delay_seconds : float
        How long it waits before it handles a request.
    is_stale : bool
        Whether lists that may be stale show each object as it was before its last
        change, if that was some seconds ago at most. Other lists never are.
    kinds_asked_stale : set of str
        The kinds of which a list was asked for that may be stale.
    history_from : int
        The oldest revision from which a watch may start; older ones get status 410.
    waiting_by_kind : collections.Counter
        The number of watches that wait now, by kind of object.
    reads : int
        The number of lists and watches that reached it.
    era : int
        How often it has come back from a copy, as all answers tell; they tell nothing
        if it is 0.
    page_size : int
        The most objects in one answer to a list.
    on_list : callable
        Called with each page of a list before it is sent, its era already chosen.
    """

    def __init__(self, address):
        self.address = address
        self.turned_away = set()
        self.is_away = False
        self.speaks_nonsense = False
        self.loses_answers = False
        self.delay_seconds = 0.0
        self.is_stale = False
        self.kinds_asked_stale = set()
        self.history_from = 0
        self.waiting_by_kind = collections.Counter()
        self.reads = 0
        self.era = 0
        self.page_size = 500
        self.on_list = lambda response: None
        self._objects_before = {}
        self._revision = 1
        self._objects = {}
        self._changes = collections.deque(maxlen=1000)
        self._changed = asyncio.Condition()
        self._copy = None
        self._written_outside = []
        self._runner = None
        self._daemon_by_port = {}

    async def __aenter__(self):
        application = aiohttp.web.Application()
        application.on_response_prepare.append(self._tell_era)
        application.router.add_route("*", "/v1/objects/{kind}", self._serve_kind)
        application.router.add_route("*", "/v1/objects/{kind}/{name}", self._serve_one)
        self._runner = aiohttp.web.AppRunner(
            application, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self._runner.setup()
        host, port = self.address.split(":")
        await aiohttp.web.TCPSite(self._runner, host, int(port)).start()
        return self

    async def __aexit__(self, *exc_info):
        await self._runner.cleanup()

    async def add_door(self, ip):
        """Return an address of the store for one daemon, by its IP address.

        Guards against a daemon that is turned away in name only: connections to the
        loopback device all come from the same address.
        """
        listener = socket.create_server(("127.0.0.1", 0))
        host, port = listener.getsockname()
        self._daemon_by_port[port] = ip
        await aiohttp.web.SockSite(self._runner, listener).start()
        return f"{host}:{port}"

    async def put(self, kind, name, spec):
        """Write an object without a condition, as the operator or a target does."""
        self._written_outside.append(_OutsideWrite(kind, name, spec))
        await self._change(kind, name, spec, False)

    async def advance(self, changes):
        """Write an object of the system a number of times; nobody writes it again."""
        for number in range(changes):
            await self._change("ballast", "any", {"number": number}, False)

    def spec(self, kind, name):
        """Return what an object holds."""
        return self._objects[kind, name]["Spec"]

    def has(self, kind, name):
        """Return whether an object exists."""
        return (kind, name) in self._objects

    @property
    def revision(self):
        """The number of the last change."""
        return self._revision

    async def remove(self, kind, name):
        """Remove an object, as the operator or a target does."""
        self._written_outside.append(_OutsideWrite(kind, name, None))
        if self.has(kind, name):
            await self._change(kind, name, self.spec(kind, name), True)

    async def _change(self, kind, name, spec, deleted):
        self._revision += 1
        item = {"Metadata": {"Name": name, "Revision": self._revision}, "Spec": spec}
        before = self._objects.get((kind, name))
        self._objects_before[kind, name] = _Before(time.monotonic(), before)
        if deleted:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = item
        self._changes.append((self._revision, kind, item, deleted))
        async with self._changed:
            self._changed.notify_all()
        return item

    def forget_history(self):
        """Drop all past changes, so that watches get status 410 and list again."""
        self._changes.clear()
        self.history_from = self._revision

    # Coming back from an older copy.

    def keep_copy(self):
        """Copy everything; what is written from now on is lost by `restore`."""
        self._copy = _Copy(
            self._revision,
            dict(self._objects),
            dict(self._objects_before),
            tuple(self._changes),
        )
        self._written_outside = []

    def restore(self):
        """Go back to the copy: revisions are given out again, and the era rises.

        Watches that wait go on waiting, from revisions that may exist no longer.
        """
        copy = self._copy
        self._revision = copy.revision
        self._objects = dict(copy.objects)
        self._objects_before = dict(copy.objects_before)
        self._changes = collections.deque(copy.changes, maxlen=1000)
        self.era += 1

    async def write_again(self):
        """Write again what the operator and targets had written since the copy."""
        lost, self._written_outside = self._written_outside, []
        for write in lost:
            if write.spec is not None:
                await self.put(write.kind, write.name, write.spec)
            else:
                await self.remove(write.kind, write.name)

    # Answers.

    async def _tell_era(self, request, response):
        if ERA_HEADER not in response.headers:
            self._put_era(response)

    def _put_era(self, response):
        if self.era:
            response.headers[ERA_HEADER] = str(self.era)

    async def _delay_or_fail(self, request):
        await asyncio.sleep(self.delay_seconds)
        if self.is_away or self._turns_away(request):
            if request.transport is not None:
                request.transport.abort()
            raise aiohttp.web.HTTPServiceUnavailable
        if self.speaks_nonsense:
            raise aiohttp.web.HTTPOk(text='{"items": 7, "Events": [{}]}')

    def _turns_away(self, request):
        if request.transport is None:
            return False
        _, port = request.transport.get_extra_info("sockname")
        return self._daemon_by_port.get(port) in self.turned_away

    async def _serve_kind(self, request):
        self.reads += request.method == "GET"
        await self._delay_or_fail(request)
        kind = request.match_info["kind"]
        if request.method == "POST":
            body = await request.json()
            name = body["Metadata"]["Name"]
            if (kind, name) in self._objects:
                return _json(self._objects[kind, name], 409)
            created = await self._change(kind, name, body["Spec"], False)
            self._abort_if_losing_answers(request)
            return _json(created, 201)
        if "Watch" in request.query:
            return await self._watch(request, kind)
        may_be_stale = request.query.get("StaleOk") == "1"
        if may_be_stale:
            self.kinds_asked_stale.add(kind)
        listed = self._list(kind, request.query.get("after", ""), may_be_stale)
        self._put_era(listed)
        self.on_list(listed)
        return listed

    def _list(self, kind, after, may_be_stale):
        """Return the page of a list that begins after a name."""
        objects = self._objects
        if self.is_stale and may_be_stale:
            objects = self._earlier_objects()
        found = sorted(
            (name, item)
            for (object_kind, name), item in objects.items()
            if object_kind == kind and name > after
        )
        page = [item for _, item in found[: self.page_size]]
        return _json(
            {
                "items": page,
                "MorePages": len(found) > len(page),
                "CurrentRev": self._revision,
            }
        )

    def _earlier_objects(self):
        """Return the objects as they were before their last changes, if recent."""
        since = time.monotonic() - _STALE_SECONDS
        objects = dict(self._objects)
        for key, before in self._objects_before.items():
            if before.until >= since:
                objects[key] = before.item
        return {key: item for key, item in objects.items() if item is not None}

    def _abort_if_losing_answers(self, request):
        """Abort the connection after a completed write if `loses_answers` is set."""
        if self.loses_answers and request.transport is not None:
            request.transport.abort()

    async def _watch(self, request, kind):
        since = int(request.query["Watch"])
        if since < self.history_from or since > self._revision:
            return _json({}, 410)

        def matching_events():
            return [
                {"Object": item, "Deleted": deleted}
                for revision, object_kind, item, deleted in self._changes
                if revision > since and object_kind == kind
            ]

        self.waiting_by_kind[kind] += 1
        try:
            async with (
                asyncio.timeout(int(request.query["WaitMs"]) / 1000),
                self._changed,
            ):
                await self._changed.wait_for(matching_events)
        except TimeoutError:
            pass
        finally:
            self.waiting_by_kind[kind] -= 1
        await self._delay_or_fail(request)
        return _json({"Events": matching_events(), "CurrentRev": self._revision})

    async def _serve_one(self, request):
        await self._delay_or_fail(request)
        key = request.match_info["kind"], request.match_info["name"]
        current = self._objects.get(key)
        if current is None:
            return _json({}, 404)
        if request.method == "PUT":
            body = await request.json()
            expected = body["Metadata"].get("Revision")
            if expected is not None and expected != current["Metadata"]["Revision"]:
                return _json(current, 409)
            current = await self._change(*key, body["Spec"], False)
            self._abort_if_losing_answers(request)
        elif request.method == "DELETE":
            await self._change(*key, current["Spec"], True)
        return _json(current)


def _json(value, status=200):
    return aiohttp.web.json_response(value, status=status)
