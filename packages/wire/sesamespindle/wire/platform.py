"""The platform's object API: versioned objects, watches and the host list."""

import dataclasses
import datetime
import typing

import aiohttp

from sesamespindle.decide import events
from sesamespindle.wire import answers

MAX_VALUE_BYTES = 1_000_000


class PlatformUnavailableError(Exception):
    """The platform is unavailable; a write may or may not have taken effect."""

    code = "platform_away"


class ConflictError(Exception):
    """The object is not at the version that the write expected.

    Attributes
    ----------
    found : Object or None
        The current object, or None if there is none.
    """

    code = "conflict"

    def __init__(self, found):
        super().__init__("The object is not at the expected version.")
        self.found = found


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """A stored value and its version; versions start at 1."""

    version: int
    value: typing.Any


class PlatformClient:
    """The client of the platform's object API over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        The HTTP session; the caller closes it.
    url : str
        The base URL of the API.
    timeout : datetime.timedelta
        The timeout of a call. For a watch, its wait is added.
    """

    def __init__(self, session, url, timeout):
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = timeout

    async def get(self, kind, name):
        """Return an `Object`, or None if there is none."""
        return await self._call("GET", self._object_url(kind, name))

    async def create(self, kind, name, value):
        """Write an object that must not exist yet; return its version.

        Raises
        ------
        ConflictError
            If the object exists.
        PlatformUnavailableError
            If it is not known whether the write took effect.
        """
        return await self._write(kind, name, value, {"If-None-Match": "*"})

    async def replace(self, kind, name, value, version):
        """Replace an object that must be at a version; return its new version.

        Raises
        ------
        ConflictError
            If the object is at another version, or does not exist.
        PlatformUnavailableError
            If it is not known whether the write took effect.
        """
        return await self._write(kind, name, value, {"If-Match": str(version)})

    async def watch(self, kind, name, version, wait):
        """Return the object once its version exceeds the given one.

        Parameters
        ----------
        version : int
            The version that the caller already has.
        wait : datetime.timedelta
            How long the platform holds the call open for a newer version.

        Returns
        -------
        found : Object or None
            The newer object, or None if none appeared within the wait.
        """
        url = self._object_url(kind, name)
        seconds = wait.total_seconds()
        params = {"after": str(version), "wait": f"{seconds:.3f}"}
        return await self._call("GET", url, params=params, wait=wait)

    async def list_hosts(self):
        """Return the hosts of the platform's host list, which lags behind changes."""
        listed = await self.list_hosts_after(0)
        return listed.value

    async def list_hosts_after(self, version):
        """Return the host list as an `Object`, or None if its version is unchanged."""
        params = {"after": str(version)}
        listed = await self._call("GET", f"{self._url}/hosts", params=params)
        if listed is None:
            return None
        return Object(listed.version, tuple(_parse_host(item) for item in listed.value))

    async def _write(self, kind, name, value, headers):
        written = await self._call("PUT", self._object_url(kind, name), value, headers)
        if written is None:
            raise PlatformUnavailableError(
                "The platform answered a write as a read that finds nothing."
            )
        return written.version

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
                return await _parse_response(response)
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailableError(f"{method} {url}: {error!r}") from error


async def write_confirmed(client, kind, name, value, replaces, is_ours):
    """Write an object; if the answer is lost, read it back to confirm the write.

    Guards against a write whose answer is lost after the write took effect. If it
    were treated as a failure, the caller would make the same claim or change twice.
    The object is read back, and the nonce in its value shows which write stored it.

    Parameters
    ----------
    client : PlatformClient
        The platform's client.
    kind, name : str
        The kind and name of the object.
    value : object
        The new value, as plain JSON values.
    replaces : int
        The version to replace; 0 to create the object.
    is_ours : callable
        Takes a stored value; returns whether it carries the nonce of this write.

    Returns
    -------
    version : int
        The version of the written object.

    Raises
    ------
    ConflictError
        If another write came first.
    PlatformUnavailableError
        If the write got no answer and can't be confirmed by reading back; it may
        still take effect later.
    """
    try:
        if replaces:
            return await client.replace(kind, name, value, replaces)
        return await client.create(kind, name, value)
    except PlatformUnavailableError:
        found = await client.get(kind, name)
        if found is not None and is_ours(found.value):
            return found.version
        raise
    except ConflictError as error:
        # A lower layer, such as the HTTP library, may have resent the write; the
        # second copy then conflicts with the first.
        if error.found is not None and is_ours(error.found.value):
            return error.found.version
        raise


async def _parse_response(response):
    match response.status:
        case 200:
            body = await answers.read_json(response)
            return Object(body["version"], body.get("value"))
        case 304 | 404:
            return None
        case 412:
            body = await answers.read_json(response)
            found = Object(body["version"], body["value"]) if body["version"] else None
            raise ConflictError(found)
        case status:
            raise PlatformUnavailableError(
                f"The platform answered with HTTP status {status}."
            )


def _parse_host(item):
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
