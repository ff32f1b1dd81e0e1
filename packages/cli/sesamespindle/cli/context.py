"""What commands need of the outside: the platform, daemons, and the time."""

import asyncio
import contextlib
import datetime
import os

import aiohttp

from sesamespindle.cli import outcomes
from sesamespindle.wire import platform

PLATFORM_VARIABLE = "SESAMESPINDLE_PLATFORM"
ADMIN_KEY_VARIABLE = "SESAMESPINDLE_ADMIN_KEY"
ADMIN_URLS_VARIABLE = "SESAMESPINDLE_ADMIN_URLS"
API_KEY_VARIABLE = "SESAMESPINDLE_API_KEY"
ENTRY_VARIABLE = "SESAMESPINDLE_ENTRY"
_PLATFORM_TIMEOUT = datetime.timedelta(seconds=5)
_DAEMON_SECONDS = 3.0


class Context:
    """Open connections for one command."""

    def __init__(self, session, environment):
        self.session = session
        self._environment = environment

    @property
    def platform(self):
        """Return the platform's client."""
        url = self._required(PLATFORM_VARIABLE, "the platform's address")
        return platform.PlatformClient(self.session, url, _PLATFORM_TIMEOUT)

    @property
    def api_key(self):
        """Return the caller's key."""
        return self._required(API_KEY_VARIABLE, "a client account's key")

    async def entry_urls(self, given):
        """Return the addresses of entries to try, the given one first."""
        url = given or self._environment.get(ENTRY_VARIABLE)
        if url:
            return [url]
        hosts = await self.platform.list_hosts()
        return [host.url for host in hosts if host.role == "entry"]

    async def admin_urls(self):
        """Return the operators' addresses of the daemons."""
        given = self._environment.get(ADMIN_URLS_VARIABLE)
        if given:
            return given.split(",")
        hosts = await self.platform.list_hosts()
        return [host.admin_url for host in hosts if host.role == "entry"]

    async def ask_daemons(self, path):
        """Return the answers of all daemons that answer, by address."""
        urls = await self.admin_urls()
        answers = await asyncio.gather(*(self.ask_daemon(url, path) for url in urls))
        return {
            url: answer
            for url, answer in zip(urls, answers, strict=True)
            if answer is not None
        }

    async def ask_daemon(self, url, path, method="GET"):
        """Return a daemon's answer to an operator, or None."""
        key = self._required(ADMIN_KEY_VARIABLE, "the operators' key")
        timeout = aiohttp.ClientTimeout(total=_DAEMON_SECONDS)
        try:
            async with self.session.request(
                method,
                f"{url}{path}",
                headers={"Authorization": f"Bearer {key}"},
                timeout=timeout,
            ) as response:
                if response.status == 401:
                    raise outcomes.CommandError(
                        f"The daemon at {url} does not know the operators' key.",
                        outcomes.Exit.USAGE,
                    )
                return await response.json() if response.status == 200 else None
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

    def _required(self, variable, what):
        value = self._environment.get(variable)
        if not value:
            raise outcomes.CommandError(
                f"Set {variable} to {what}.", outcomes.Exit.USAGE
            )
        return value


@contextlib.asynccontextmanager
async def open_context():
    """Open a `Context` for one command."""
    async with aiohttp.ClientSession() as session:
        yield Context(session, os.environ)
