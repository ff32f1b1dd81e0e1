"""A real daemon with the limits of a small host, and what it must keep to.

The bounds are those of the daemon's settings.
"""

import contextlib

import aiohttp
import crowds
import footprint
import standins

from sesamespindle.platform import assembly

# The smallest host that the platform runs daemons on, in MB, and its descriptors.
MEMORY_MB = 128
DESCRIPTORS = 4100
# Fewer, so that a crowd of some hundred clients exceeds them.
FEW_DESCRIPTORS = 500
# The descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
BODY_BYTES = 1 << 20
CROWD = 400


def port_of(daemon, name):
    if name == "metrics":
        return assembly.METRICS_PORT
    return getattr(daemon, f"{name}_port")


async def start(world, descriptors=DESCRIPTORS):
    """Start a plain service, an engine and a daemon of few means; return the daemon."""
    world.limits = {"MemoryMb": MEMORY_MB, "MaxFds": descriptors}
    await world.add_target("desk-1")
    await world.add_target("llm-1", "llm")
    return await world.add_daemon()


async def serves(world, daemon, label):
    """Wait until an ordinary request of each kind is answered.

    A client that is refused or whose connection is closed comes again, on a new
    connection, as callers do.
    """
    kinds = ("/once/1", "/read/1", "/chat/1")
    for path in kinds:
        body = b"ordinary " + path.encode()
        await until_ok(
            f"{label}{path}",
            lambda name, path=path, body=body: post(daemon.url(path), name, body),
        )
    for url in (
        daemon.ready_url(),
        daemon.directory_url(),
        f"http://{daemon.ip}:{assembly.METRICS_PORT}/",
    ):
        await until_ok(url, lambda name, url=url: get(url))


async def until_ok(label, ask):
    numbers = iter(range(1_000_000))

    async def is_answered():
        with contextlib.suppress(aiohttp.ClientError):
            return await ask(f"{label}.{next(numbers)}") == 200
        return False

    try:
        await standins.until(is_answered)
    except TimeoutError as error:
        raise AssertionError(f"{label} isn't answered") from error


async def post(url, request_id, body, **headers):
    sent = {
        "Host": "a.example",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "9000",
        "X-Api-Key": standins.KEY,
        "X-Model": "m",
    } | headers
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=sent, data=body) as response,
    ):
        await response.read()
        return response.status


async def get(url):
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        await response.read()
        return response.status


@contextlib.asynccontextmanager
async def bounded(daemon, descriptors=DESCRIPTORS):
    """Check that a daemon lives and stays within its settings in this context."""
    async with footprint.watch(daemon.process_id, daemon.ip) as peak:
        yield
    assert daemon.is_running
    assert peak.memory_bytes <= MEMORY_MB * 1_000_000, peak
    assert peak.descriptors <= descriptors, peak
    assert peak.sockets <= descriptors - FILE_DESCRIPTORS, peak


async def bear(world, daemon, crowd, descriptors=DESCRIPTORS):
    """Check that a daemon bears a crowd, and serves beside and after it."""
    await serves(world, daemon, "before")
    async with bounded(daemon, descriptors):
        async with crowd:
            await crowd.settled()
            await serves(world, daemon, "beside")
        await serves(world, daemon, "after")


def whole(length, path="/once/1"):
    """Return a function of the bytes of bodies that lack their last byte."""
    body = b"b" * (length - 1)

    def pieces(number):
        yield crowds.head(f"held.{number}", path, f"Content-Length: {length}")
        yield body

    return pieces
