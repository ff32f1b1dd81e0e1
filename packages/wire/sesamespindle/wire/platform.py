"""The platform's object API: versioned objects, watches and the host list."""

import dataclasses
import datetime
import typing

import aiohttp

from sesamespindle.decide import events

MAX_VALUE_BYTES = 1_000_000


class PlatformAwayError(Exception):
    """The platform gave no answer; a write may or may not have taken effect."""

    code = "platform_away"


class ConflictError(Exception):
    """The object is not at the version that the write was for.

    Attributes
    ----------
    found : Object or None
        The object as it is; None where there is none.
    """

    code = "conflict"

    def __init__(self, found):
        super().__init__("The object is at another version.")
        self.found = found


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """A value and the version it is at; versions count from 1."""

    version: int
    value: typing.Any


class PlatformClient:
    """The object API over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    url : str
        Where the API is.
    timeout : datetime.timedelta
        For all calls but watches.
    """

    def __init__(self, session, url, timeout):
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = timeout

    async def get(self, kind, name):
        """Return an `Object`, or None where there is none."""
        return await self._call("GET", self._object_url(kind, name))

    async def create(self, kind, name, value):
        """Write an object that must not be there yet; return its version.

        Raises
        ------
        ConflictError
            If there is one.
        PlatformAwayError
            If it is not known whether the write took effect.
        """
        headers = {"If-None-Match": "*"}
        made = await self._call("PUT", self._object_url(kind, name), value, headers)
        return made.version

    async def replace(self, kind, name, value, version):
        """Write an object that must be at a version; return its new version.

        Raises
        ------
        ConflictError
            If it is at another version, or gone.
        PlatformAwayError
            If it is not known whether the write took effect.
        """
        headers = {"If-Match": str(version)}
        made = await self._call("PUT", self._object_url(kind, name), value, headers)
        return made.version

    async def watch(self, kind, name, version, wait):
        """Return the object once it is past a version, or None after a wait."""
        url = self._object_url(kind, name)
        seconds = wait.total_seconds()
        params = {"after": str(version), "wait": f"{seconds:.3f}"}
        return await self._call("GET", url, params=params, wait=wait)

    async def list_hosts(self):
        """Return the hosts of the lagging list."""
        listed = await self.list_hosts_after(0)
        return listed.value

    async def list_hosts_after(self, version):
        """Return the list as an `Object`, or None if it is still at a version."""
        params = {"after": str(version)}
        listed = await self._call("GET", f"{self._url}/hosts", params=params)
        if listed is None:
            return None
        return Object(listed.version, tuple(_host(item) for item in listed.value))

    def _object_url(self, kind, name):
        return f"{self._url}/objects/{kind}/{name}"

    async def _call(
        self,
        method,
        url,
        value=None,
        headers=None,
        params=None,
        wait=datetime.timedelta(0),
    ):
        timeout = aiohttp.ClientTimeout(total=(self._timeout + wait).total_seconds())
        try:
            async with self._session.request(
                method,
                url,
                json=value,
                headers=headers,
                params=params,
                timeout=timeout,
            ) as response:
                return await _result(response)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformAwayError(f"{method} {url}: {error!r}") from error


async def write_surely(client, kind, name, value, replaces, is_ours):
    """Write an object, and find out when the answer was lost whether it is ours.

    Guards against a write whose answer is lost after it took effect: taken for
    a failure, the same claim or change would be made twice. The object is read
    back, and its nonce tells whose it is.

    Parameters
    ----------
    replaces : int
        The version to replace; 0 to create.
    is_ours : callable
        Whether a value carries the nonce of this write.

    Returns
    -------
    version : int
        The version of the object.

    Raises
    ------
    ConflictError
        If another write was first.
    PlatformAwayError
        If the platform can't say; the write may yet take effect.
    """
    try:
        if replaces:
            return await client.replace(kind, name, value, replaces)
        return await client.create(kind, name, value)
    except PlatformAwayError:
        found = await client.get(kind, name)
        if found is not None and is_ours(found.value):
            return found.version
        raise
    except ConflictError as error:
        # A write that was sent again by a lower layer conflicts with itself.
        if error.found is not None and is_ours(error.found.value):
            return error.found.version
        raise


async def _result(response):
    match response.status:
        case 200:
            body = await response.json()
            return Object(body["version"], body.get("value"))
        case 304 | 404:
            return None
        case 412:
            body = await response.json()
            found = Object(body["version"], body["value"]) if body["version"] else None
            raise ConflictError(found)
        case status:
            raise PlatformAwayError(f"The platform answered {status}.")


def _host(item):
    return events.Host(
        item["name"],
        item["role"],
        item["data_centre"],
        item["url"],
        item.get("peer_address", ""),
        item.get("admin_url", ""),
        item.get("incarnation", 0),
        events.HostState(item["state"]),
    )
