"""A command's connections to the platform and daemons; its environment variables."""

import asyncio
import contextlib
import datetime
import os

import aiohttp

from sesamespindle.cli import outcomes
from sesamespindle.wire import answers, platform

PLATFORM_VARIABLE = "SESAMESPINDLE_PLATFORM"
ADMIN_KEY_VARIABLE = "SESAMESPINDLE_ADMIN_KEY"
ADMIN_URLS_VARIABLE = "SESAMESPINDLE_ADMIN_URLS"
API_KEY_VARIABLE = "SESAMESPINDLE_API_KEY"
ENTRY_VARIABLE = "SESAMESPINDLE_ENTRY"
_PLATFORM_TIMEOUT = datetime.timedelta(seconds=5)
_DAEMON_TIMEOUT_SECONDS = 3.0


class Context:
    """The HTTP session and the environment variables of one command.

    Accessing a value whose variable is not set raises `outcomes.CommandError`.
    """

    def __init__(self, session, environment):
        self.session = session
        self._environment = environment

    @property
    def platform(self):
        """Return a client of the platform."""
        url = self._required(PLATFORM_VARIABLE, "the platform's address")
        return platform.PlatformClient(self.session, url, _PLATFORM_TIMEOUT)

    @property
    def api_key(self):
        """Return the client account's API key."""
        return self._required(API_KEY_VARIABLE, "a client account's key")

    async def entry_urls(self, given):
        """Return the URLs of entries to try in turn.

        Parameters
        ----------
        given : str
            A URL from the command line; empty if there is none.

        Returns
        -------
        urls : list of str
            The given URL alone, else that of the environment alone, else those of
            all entries on the platform's host list.
        """
        url = given or self._environment.get(ENTRY_VARIABLE)
        if url:
            return [url]
        hosts = await self.platform.list_hosts()
        return [host.url for host in hosts if host.role == "entry"]

    async def admin_urls(self):
        """Return the admin URLs of all daemons.

        If the environment variable for admin URLs is set, they come from it, which also
        works while the platform is unavailable. Otherwise they come from the platform's
        host list.
        """
        given = self._environment.get(ADMIN_URLS_VARIABLE)
        if given:
            return given.split(",")
        hosts = await self.platform.list_hosts()
        return [host.admin_url for host in hosts if host.role == "entry"]

    async def ask_daemons(self, path):
        """Return the JSON answers of all daemons that respond, by admin URL."""
        urls = await self.admin_urls()
        received = await asyncio.gather(*(self.ask_daemon(url, path) for url in urls))
        return {
            url: answer
            for url, answer in zip(urls, received, strict=True)
            if answer is not None
        }

    async def ask_daemon(self, url, path, method="GET"):
        """Return the JSON answer of a daemon's admin API, or None on a failure.

        Raises
        ------
        outcomes.CommandError
            If the daemon rejects the operators' key.
        """
        key = self._required(ADMIN_KEY_VARIABLE, "the operators' key")
        timeout = aiohttp.ClientTimeout(total=_DAEMON_TIMEOUT_SECONDS)
        try:
            async with self.session.request(
                method,
                f"{url}{path}",
                headers={"Authorization": f"Bearer {key}"},
                timeout=timeout,
            ) as response:
                if response.status == 401:
                    raise outcomes.CommandError(
                        f"The daemon at {url} rejects the operators' key.",
                        outcomes.Exit.USAGE,
                    )
                if response.status != 200:
                    return None
                return await answers.read_json(response)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None

    def _required(self, variable, description):
        value = self._environment.get(variable)
        if not value:
            raise outcomes.CommandError(
                f"Set {variable} to {description}.", outcomes.Exit.USAGE
            )
        return value


@contextlib.asynccontextmanager
async def open_context():
    """Yield a `Context` for one command; close its session at the end."""
    async with answers.make_session() as session:
        yield Context(session, os.environ)
