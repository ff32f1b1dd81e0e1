"""Callers that find daemons by the directory and record every answer."""

import asyncio
import itertools
import random

import aiohttp

from soak import records, targets

# How long a caller keeps an answer of the directory, in seconds: some three
# times as long as the directory says.
_KEPT_SECONDS = (1.0, 3.0)
_LOOKUP_SECONDS = 1.0
_CONNECT_SECONDS = 1.0
# A leaving daemon may take short ones late, as they end before it does.
_DEADLINES_MS = (2500, 6000, 6000)
# A stream has more time than the 8 s in which a daemon must leave.
_STREAM_DEADLINE_MS = 9500
_PAUSE_SECONDS = 0.05
# How often each kind is asked for.
_WEIGHT_BY_KIND = {
    records.Kind.ONCE: 4,
    records.Kind.READ: 4,
    records.Kind.CHAT: 5,
    records.Kind.PROBE: 3,
}
_CONTEXTS = 12


class Caller:
    """One caller with kept connections, which asks until it is stopped.

    Parameters
    ----------
    world : soak.world.World
        Daemons, keys and the journal.
    seed : int
        Of this caller's choices.
    clings : bool
        Whether it keeps to its host until the process there is gone, also when
        the directory no longer names it.
    data_centre : str
        Where it is; daemons there are asked first.
    """

    def __init__(self, world, seed, clings, data_centre):
        self._world = world
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._clings = clings
        self._address = None
        self._addresses = []
        self._kept_until = 0.0
        self._ids = (f"{seed:x}-{number:x}" for number in itertools.count(1))
        self._session = None

    async def __aenter__(self):
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        # The library's own repeat on a dead kept connection would hide it.
        self._session._retry_connection = False
        return self

    async def __aexit__(self, *exc_info):
        await self._session.close()

    async def run(self, stopped):
        """Ask one request after the other until an event is set."""
        kinds = list(_WEIGHT_BY_KIND)
        weights = list(_WEIGHT_BY_KIND.values())
        while not stopped.is_set():
            kind = self._random.choices(kinds, weights)[0]
            await self.ask(kind)
            await asyncio.sleep(self._random.uniform(0, 2 * _PAUSE_SECONDS))

    async def ask(self, kind):
        """Send one request, record what came of it and return the record."""
        address = await self._choose()
        if address is None:
            return None
        asked = await self._send(kind, address)
        if asked.status is None:
            self._address = None
        self._world.journal.asked.append(asked)
        return asked

    async def crash(self, path):
        """Send the request of a path that crashes engines."""
        address = await self._choose()
        if address is None:
            return
        request = next(self._ids)
        daemon = self._world.daemon_at(address)
        self._world.journal.daemon_by_crashing[request] = daemon.name
        key, _ = self._world.keys[0]
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": request,
            "X-Deadline-Ms": str(_DEADLINES_MS[0]),
            "X-Api-Key": key,
            "X-Model": "m",
            "X-Token-Count": "120,40",
            "X-Prompt-Prefix": "c0:100,bad:20",
        }
        status, _, _ = await self._exchange(
            records.Kind.CHAT,
            address,
            path,
            headers,
            _DEADLINES_MS[0] / 1000,
            targets.CRASHING,
        )
        if status is None or not self._clings:
            self._address = None

    async def _choose(self):
        now = self._world.now()
        if self._clings and self._address is not None:
            return self._address
        if now >= self._kept_until or not self._addresses:
            found = await self._look_up()
            self._addresses = found or self._addresses
            self._kept_until = now + self._random.choice(_KEPT_SECONDS)
        if self._address not in self._addresses:
            self._address = None
        if self._addresses and self._address is None:
            near = [item for item in self._addresses if self._is_near(item)]
            self._address = self._random.choice(near or self._addresses)
        return self._address

    def _is_near(self, address):
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
            told = records.Told(daemon.name, asked_at, named)
            self._world.journal.told.append(told)
            if addresses:
                return addresses
        return None

    async def _send(self, kind, address):
        world = self._world
        request = next(self._ids)
        key, account = self._random.choice(world.keys)
        version, deadline_ms = 0, self._random.choice(_DEADLINES_MS)
        if kind is records.Kind.PROBE:
            version = self._random.choice(world.recent_versions())
        path = _path(kind, request, version)
        if kind is records.Kind.CHAT:
            deadline_ms = _STREAM_DEADLINE_MS
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": request,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": key,
        }
        if kind is records.Kind.CHAT:
            context = self._random.randrange(_CONTEXTS)
            headers |= {
                "X-Model": "m",
                "X-Token-Count": "120,40",
                "X-Prompt-Prefix": f"c{context}:100,{request}:20",
            }
        daemon = world.daemon_at(address)
        life, sent_at = world.life_by_daemon[daemon.name], world.now()
        status, body, stamp = await self._exchange(
            kind, address, path, headers, deadline_ms / 1000
        )
        return records.Asked(
            request,
            kind,
            daemon.name,
            life,
            path,
            account,
            deadline_ms,
            sent_at,
            world.now(),
            status,
            body,
            stamp,
            version,
        )

    async def _exchange(self, kind, address, path, headers, seconds, content=b"body"):
        """Return status, body and stamp; no status without a whole answer."""
        plain_read = kind in (records.Kind.READ, records.Kind.PROBE)
        method = "GET" if plain_read else "POST"
        body = b""
        try:
            async with (
                asyncio.timeout(seconds),
                self._session.request(
                    method,
                    f"http://{address}{path}",
                    headers=headers,
                    data=None if plain_read else content,
                ) as response,
            ):
                stamp = response.headers.get("X-Server-Stamp")
                async for chunk in response.content.iter_any():
                    body += chunk
                return response.status, body, stamp
        except (TimeoutError, aiohttp.ClientError):
            return None, body, None


def _path(kind, request, version):
    if kind is records.Kind.PROBE:
        return f"/probe-{version}/{request}"
    return f"/{kind.value}/{request}"
