"""Callers that look up daemons in the directory and record every answer."""

import asyncio
import itertools
import random

import aiohttp

from soak import records, targets

# For how many seconds a caller caches an answer of the directory; each time it takes
# one of these. Some callers cache three times as long as the directory allows.
_CACHE_SECONDS = (1.0, 3.0)
_LOOKUP_SECONDS = 1.0
_CONNECT_SECONDS = 1.0
# Time-outs of requests other than streams. A leaving daemon may still accept short
# requests late, as these end before it exits.
_DEADLINES_MS = (2500, 6000, 6000)
# Streams get more than the 8 s that a daemon has to exit after SIGTERM.
_STREAM_DEADLINE_MS = 9500
# The mean pause between two requests of a caller.
_PAUSE_SECONDS = 0.05
# The relative frequency of each kind of request.
_WEIGHT_BY_KIND = {
    records.Kind.ONCE: 4,
    records.Kind.READ: 4,
    records.Kind.CHAT: 5,
    records.Kind.PROBE: 3,
}
# The number of different contexts (prompt prefixes) that streams share.
_CONTEXTS = 12
# Callers that come again for a stream do so this often at most, at once or later.
_TIMES_TAKEN_UP = 3
_LATE_SECONDS = 0.5
# The share of these tries that don't name the attempt which began the stream.
_NAMELESS_SHARE = 0.15
# After how many events callers lose their connection; 0 for not at all.
_LEAVING_AFTER = (0, 0, 1, 2)


class Caller:
    """A caller with persistent connections, which sends requests until stopped.

    Parameters
    ----------
    world : soak.world.World
        Provides daemons, API keys and the journal.
    seed : int
        Seed of this caller's random choices.
    stays_with_host : bool
        Whether it stays with its host until a request there ends without an answer,
        even when the directory no longer names that host.
    data_centre : str
        The caller's data centre; it prefers daemons there.
    """

    def __init__(self, world, seed, stays_with_host, data_centre):
        self._world = world
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._stays_with_host = stays_with_host
        self._address = None
        self._addresses = []
        self._cached_until = 0.0
        self._deadly_numbers = itertools.count(1)
        self._ids = (f"{seed:x}-{number:x}" for number in itertools.count(1))
        self._session = None

    async def __aenter__(self):
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        # aiohttp's own retry on a broken persistent connection would hide that the
        # daemon cut a request off.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *exc_info):
        await self._session.close()

    async def run(self, stopped):
        """Send one request after the other until an event is set."""
        kinds = list(_WEIGHT_BY_KIND)
        weights = list(_WEIGHT_BY_KIND.values())
        while not stopped.is_set():
            kind = self._random.choices(kinds, weights)[0]
            await self.send_request(kind)
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE_SECONDS))

    async def send_request(self, kind):
        """Send a request, and record and return its result.

        Returns
        -------
        soak.records.SentRequest or None
            None if no daemon is known.
        """
        address = await self._choose_address()
        if address is None:
            return None
        sent = await self._send_to(kind, address)
        if sent.status is None:
            self._address = None
        self._world.journal.sent_requests.append(sent)
        if kind is records.Kind.CHAT and self._world.takes_up:
            await self._take_up(sent)
        return sent

    async def _take_up(self, sent):
        """Come again for the rest of a stream that broke off, at any host."""
        for _ in range(_TIMES_TAKEN_UP):
            last_event = sent.last_event + sent.body.count(b"\n\n")
            if sent.status == 200 or not last_event:
                return
            if self._random.random() < 0.5:
                await asyncio.sleep(_LATE_SECONDS)
            daemon = self._random.choice(list(self._world.daemon_by_name.values()))
            sent = await self._send_to(
                records.Kind.CHAT,
                f"{daemon.ip}:{daemon.front_port}",
                taken_up=sent,
                last_event=last_event,
            )
            self._world.journal.sent_requests.append(sent)

    async def ask_all_daemons(self, until):
        """Ask each daemon for the newest configuration's route until a given time."""
        while self._world.now() < until:
            async with asyncio.TaskGroup() as asked:
                for daemon in self._world.daemon_by_name.values():
                    address = f"{daemon.ip}:{daemon.front_port}"
                    asked.create_task(self._probe(address))
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _probe(self, address):
        sent = await self._send_to(records.Kind.PROBE, address, is_newest=True)
        self._world.journal.sent_requests.append(sent)

    async def send_crashing_prompt(self, path):
        """Send a prompt that crashes the engine which runs it, to a given path."""
        await self._send_crashing(path, "c0:100,bad:20", targets.CRASHING)

    async def send_deadly_part(self, part):
        """Send a prompt that is like no other but for a part that crashes engines."""
        number = next(self._deadly_numbers)
        prefix = f"c0:100,{part}:30,{number:x}:20"
        path = f"/chat/deadly-{part}-{number}"
        await self._send_crashing(path, prefix, path.encode())

    async def _send_crashing(self, path, prefix, content):
        address = await self._choose_address()
        if address is None:
            return
        request_id = next(self._ids)
        daemon = self._world.daemon_at(address)
        self._world.journal.daemon_by_crash_attempt[request_id] = daemon.name
        key, _ = self._world.keys[0]
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(_DEADLINES_MS[0]),
            "X-Api-Key": key,
            "X-Model": "m",
            "X-Token-Count": "120,40",
            "X-Prompt-Prefix": prefix,
        }
        status, _, _ = await self._exchange(
            records.Kind.CHAT,
            address,
            path,
            headers,
            _DEADLINES_MS[0] / 1000,
            content,
        )
        if status is None or not self._stays_with_host:
            self._address = None

    async def _choose_address(self):
        now = self._world.now()
        if self._stays_with_host and self._address is not None:
            return self._address
        if now >= self._cached_until or not self._addresses:
            found = await self._look_up()
            self._addresses = found or self._addresses
            self._cached_until = now + self._random.choice(_CACHE_SECONDS)
        if self._address not in self._addresses:
            self._address = None
        if self._addresses and self._address is None:
            local = [
                item for item in self._addresses if self._is_in_own_data_centre(item)
            ]
            self._address = self._random.choice(local or self._addresses)
        return self._address

    def _is_in_own_data_centre(self, address):
        return self._world.daemon_at(address).data_centre == self._data_centre

    async def _look_up(self):
        daemons = list(self._world.daemon_by_name.values())
        self._random.shuffle(daemons)
        daemons.sort(key=lambda daemon: daemon.data_centre != self._data_centre)
        for daemon in daemons[:3]:
            asked_at = self._world.now()
            url = daemon.directory_url(self._data_centre)
            try:
                async with (
                    asyncio.timeout(_LOOKUP_SECONDS),
                    self._session.get(url) as response,
                ):
                    addresses = (await response.json())["Addresses"]
            except (TimeoutError, aiohttp.ClientError, KeyError):
                continue
            named = tuple(self._world.daemon_at(item).name for item in addresses)
            answer = records.DirectoryAnswer(daemon.name, asked_at, named)
            self._world.journal.directory_answers.append(answer)
            if addresses:
                return addresses
        return None

    async def _send_to(
        self, kind, address, is_newest=False, taken_up=None, last_event=0
    ):
        world = self._world
        request_id = next(self._ids)
        key, account = self._random.choice(world.keys)
        stream = ""
        if taken_up is not None:
            stream, account = taken_up.stream, taken_up.account
            key = next(known for known, name in world.keys if name == account)
        version, deadline_ms = 0, self._random.choice(_DEADLINES_MS)
        if kind is records.Kind.PROBE:
            versions = world.recent_versions()
            version = versions[-1] if is_newest else self._random.choice(versions)
        path = _path(kind, request_id, version)
        if kind is records.Kind.CHAT:
            deadline_ms = _STREAM_DEADLINE_MS
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
        }
        if kind is records.Kind.CHAT:
            context = self._random.randrange(_CONTEXTS)
            headers |= {
                "X-Model": "m",
                "X-Token-Count": "120,40",
                "X-Prompt-Prefix": f"c{context}:100,{request_id}:20",
            }
        if stream:
            headers |= {"X-Soak-Stream": stream, "Last-Event-Id": str(last_event)}
            if self._random.random() >= _NAMELESS_SHARE:
                headers["Resumes"] = stream
        leaves_after = 0
        if kind is records.Kind.CHAT and world.takes_up and not stream:
            leaves_after = self._random.choice(_LEAVING_AFTER)
        daemon = world.daemon_at(address)
        incarnation, sent_at = world.incarnation_by_daemon[daemon.name], world.now()
        status, body, stamp = await self._exchange(
            kind,
            address,
            path,
            headers,
            deadline_ms / 1000,
            leaves_after=leaves_after,
        )
        return records.SentRequest(
            request_id,
            kind,
            daemon.name,
            incarnation,
            path,
            account,
            deadline_ms,
            sent_at,
            world.now(),
            status,
            body,
            stamp,
            version,
            stream,
            last_event,
        )

    async def _exchange(
        self,
        kind,
        address,
        path,
        headers,
        seconds,
        content=b"body",
        leaves_after=0,
    ):
        """Send a request; return status, body and stamp of its answer.

        If `leaves_after` is set, the caller loses its connection after so many events.

        Without a complete answer, status and stamp are None, and the body is what
        had arrived.
        """
        is_read = kind in (records.Kind.READ, records.Kind.PROBE)
        method = "GET" if is_read else "POST"
        body = b""
        try:
            async with (
                asyncio.timeout(seconds),
                self._session.request(
                    method,
                    f"http://{address}{path}",
                    headers=headers,
                    data=None if is_read else content,
                ) as response,
            ):
                stamp = response.headers.get("X-Server-Stamp")
                async for chunk in response.content.iter_any():
                    body += chunk
                    if leaves_after and body.count(b"\n\n") >= leaves_after:
                        response.close()
                        return None, body, None
                return response.status, body, stamp
        except (TimeoutError, aiohttp.ClientError):
            return None, body, None


def _path(kind, request_id, version):
    if kind is records.Kind.PROBE:
        return f"/probe-{version}/{request_id}"
    return f"/{kind.value}/{request_id}"
