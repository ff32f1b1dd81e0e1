"""Start and end the processes of a fleet."""

import asyncio
import contextlib
import json
import os
import signal
import sys

_START_TIMEOUT = 30.0
_STOP_TIMEOUT = 15.0


# If set, Python compiles all modules again at each start.
_COMPILES_AGAIN = "PYTHONDONTWRITEBYTECODE"


class StartError(Exception):
    """Raised when a process ends or times out before it announces its address."""

    code = "start"


class Process:
    """A process that has announced its addresses as lines of JSON.

    Attributes
    ----------
    announced : dict
        The announced values by name, such as ``url`` and ``admin_url``.
    """

    def __init__(self, name, child, announced, log):
        self.name = name
        self.announced = announced
        self._child = child
        self._log = log

    @property
    def pid(self):
        """Return the process id."""
        return self._child.pid

    @property
    def url(self):
        """Return the URL at which the process listens."""
        return self.announced["url"]

    @property
    def running(self):
        """Return whether the process is still running."""
        return self._child.returncode is None

    def send_signal(self, number):
        """Send a signal, if the process is still running."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self._child.send_signal(number)

    async def kill(self):
        """Kill the process, which simulates the sudden death of its host."""
        self.send_signal(signal.SIGKILL)
        await self._child.wait()
        self._log.close()

    async def stop(self):
        """Ask the process to end, and return its exit code.

        A process that is paused by SIGSTOP is continued first, as it could not handle
        SIGTERM. A process that has not ended after 15 s is killed.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT):
                await self._child.wait()
        except TimeoutError:
            await self.kill()
        self._log.close()
        return self._child.returncode

    async def wait(self):
        """Wait for the end of the process and return its exit code."""
        return await self._child.wait()


def environment_with(added):
    """Return the environment variables of a process that runs Python.

    Guards against processes that compile all their modules at each start, which takes
    longer than the rest of the start: on a busy machine daemons that start at once are
    then not ready in time. Those of the platform run from code that was compiled
    before.

    Parameters
    ----------
    added : dict
        Variables to add.
    """
    kept = {name: os.environ[name] for name in os.environ if name != _COMPILES_AGAIN}
    return kept | added


async def start(name, arguments, folder, environment=None):
    """Start a Python module as a process and return it once it has announced itself.

    Parameters
    ----------
    arguments : list of str
        The module and its arguments.
    folder : pathlib.Path
        The folder for its log.
    environment : dict, optional
        Environment variables to add.

    Raises
    ------
    StartError
        If it ended, or did not announce itself within 30 s.
    """
    folder.mkdir(parents=True, exist_ok=True)
    log = open(folder / f"{name}.log", "ab")  # noqa: SIM115
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=log,
        env=environment_with(environment or {}),
    )
    try:
        async with asyncio.timeout(_START_TIMEOUT):
            line = await child.stdout.readline()
    except TimeoutError:
        with contextlib.suppress(ProcessLookupError):
            child.kill()
        await child.wait()
        raise StartError(
            f"{name} did not announce its address within {_START_TIMEOUT:.0f} s "
            f"and was killed; see {folder / name}.log."
        ) from None
    if not line:
        with contextlib.suppress(ProcessLookupError):
            child.kill()
        exit_code = await child.wait()
        raise StartError(
            f"{name} ended with exit code {exit_code} "
            f"before it announced its address; see {folder / name}.log."
        )
    announced = json.loads(line)
    if "proxy_url" in announced:
        announced |= json.loads(await child.stdout.readline())
    return Process(name, child, announced, log)
