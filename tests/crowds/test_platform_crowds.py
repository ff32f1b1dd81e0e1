"""Crowds that hold much, against a real daemon with the limits of a small host.

Each test guards against a process that ends, or that holds more than its settings
allow, as clients it doesn't control hold what they send or don't read what they get.
"""

import asyncio
import contextlib

import aiohttp
import crowds
import footprint
import grpc
import pytest
import standins

from sesamespindle.platform import assembly
from sesamespindle.wire import peers_pb2, peers_pb2_grpc

# The smallest host that the platform runs daemons on, in MB, and its descriptors.
MEMORY_MB = 128
DESCRIPTORS = 4100
# Fewer, so that a crowd of some hundred clients exceeds them.
FEW_DESCRIPTORS = 500
# The descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
BODY_BYTES = 1 << 20
CROWD = 400
PORTS = ("front", "ready", "directory", "control", "carry", "metrics")
HTTP_PORTS = ("front", "ready", "directory", "carry", "metrics")


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


def in_chunks(length, chunk_bytes, end=b""):
    """Return a function of the bytes of bodies in chunks, without their end."""
    body = crowds.chunked(b"b" * length, chunk_bytes)

    def pieces(number):
        yield crowds.head(f"held.{number}", "/once/1", "Transfer-Encoding: chunked")
        yield body
        yield end

    return pieces


def header_lines(count, length):
    line = b"X-Filler-%d: " + b"f" * length + b"\r\n"

    def pieces(number):
        yield crowds.head(f"held.{number}").removesuffix(b"\r\n")
        for index in range(count):
            yield line % index

    return pieces


def pipelined(count, length):
    """Return a function of many requests, of which the first lacks its answer."""
    body = b"b" * length

    def pieces(number):
        for index in range(count):
            request_id = f"held.{number}.{index}"
            yield crowds.head(request_id, "/once/1", f"Content-Length: {length}")
            yield body

    return pieces


def questions(count, path="/once/1", *lines, method="POST"):
    """Return a function of many requests without a body."""

    def pieces(number):
        for index in range(count):
            request_id = f"held.{number}.{index}"
            yield crowds.head(
                request_id, path, *lines, "Content-Length: 0", method=method
            )

    return pieces


def nothing(number):
    return iter(())


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_bodies_that_lack_their_last_byte(play, port):
    """Guards against bodies of legal size that stay in memory without an end."""

    async def scenario(world):
        daemon = await start(world)
        pieces = whole(BODY_BYTES)
        crowd = crowds.Crowd(daemon.ip, port_of(daemon, port), CROWD, pieces)
        await bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("length", [200 * 1024, 250 * 1024])
def test_small_bodies_that_lack_their_last_byte(play, length):
    """Guards against bodies that are buffered whole and stay without an end."""

    async def scenario(world):
        daemon = await start(world)
        pieces = whole(length)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        await bear(world, daemon, crowd)

    play(scenario)


def test_bodies_in_chunks_without_an_end(play):
    """Guards against bodies that come in chunks and stay in memory without an end."""

    async def scenario(world):
        daemon = await start(world)
        pieces = in_chunks(BODY_BYTES, 1024)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        await bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", ["front", "directory"])
def test_bodies_in_chunks_of_two_bytes(play, port):
    """Guards against what each piece of a body takes beside its bytes."""

    async def scenario(world):
        daemon = await start(world)
        pieces = in_chunks(BODY_BYTES // 16, 2)
        crowd = crowds.Crowd(daemon.ip, port_of(daemon, port), CROWD, pieces)
        await bear(world, daemon, crowd)

    play(scenario)


def test_trailers_without_an_end(play):
    """Guards against header lines behind a body that are kept as they come."""

    async def scenario(world):
        daemon = await start(world)
        lines = b"".join(b"X-%d: " % i + b"t" * 16_000 + b"\r\n" for i in range(100))
        pieces = in_chunks(16, 16, b"0\r\n" + lines)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        await bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_heads_without_an_end(play, port):
    """Guards against header lines that are kept until the head ends."""

    async def scenario(world):
        daemon = await start(world)
        pieces = header_lines(50, 15_000)
        crowd = crowds.Crowd(daemon.ip, port_of(daemon, port), CROWD, pieces)
        await bear(world, daemon, crowd)

    play(scenario)


def test_requests_that_come_before_the_answer_to_the_first(play):
    """Guards against requests with bodies that queue behind an unanswered one."""

    async def scenario(world):
        daemon = await start(world)
        world.target_by_name["desk-1"].admits.clear()
        pieces = pipelined(20, 100_000)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        async with bounded(daemon):
            async with crowd:
                await crowd.settled()
                world.target_by_name["desk-1"].admits.set()
                await serves(world, daemon, "beside")
            await serves(world, daemon, "after")

    play(scenario)


@pytest.mark.parametrize("length", [200 * 1024, 4 << 20])
def test_answers_that_nobody_reads(play, length):
    """Guards against answers that wait in the process for callers that don't read."""

    async def scenario(world):
        daemon = await start(world)
        desk = world.target_by_name["desk-1"]
        desk.unframed_bytes = length
        pieces = questions(4, "/read/1")
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces, reads=False)
        await bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", ["directory", "metrics"])
def test_questions_whose_answers_nobody_reads(play, port):
    """Guards against own answers that wait for callers that don't read them."""

    async def scenario(world):
        daemon = await start(world)
        path = "/v1/resolve?Name=a.example"
        pieces = questions(2000, path, method="GET")
        number = port_of(daemon, port)
        crowd = crowds.Crowd(daemon.ip, number, CROWD, pieces, reads=False)
        await bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", PORTS)
def test_connections_that_say_nothing(play, port):
    """Guards against idle connections that use up the descriptors."""

    async def scenario(world):
        daemon = await start(world, FEW_DESCRIPTORS)
        crowd = crowds.Crowd(daemon.ip, port_of(daemon, port), 2 * CROWD, nothing)
        await bear(world, daemon, crowd, FEW_DESCRIPTORS)

    play(scenario)


def test_connections_that_say_nothing_at_a_host_of_many_descriptors(play):
    """Guards against idle connections that use up the memory."""

    async def scenario(world):
        daemon = await start(world)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, 3500, nothing)
        await bear(world, daemon, crowd)

    play(scenario)


def test_bodies_that_lack_their_end_take_no_target_from_others(play):
    """Guards against unfinished bodies that take a service's connections."""

    async def scenario(world):
        services = standins.make_manifest()["Services"]
        services[0]["MaxConnections"] = 4
        manifest = standins.make_manifest(2, Services=services)
        await world.store.put("config", "main", manifest)
        daemon = await start(world)
        pieces = whole(BODY_BYTES)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD // 4, pieces)
        await bear(world, daemon, crowd)
        assert not [
            run
            for run in world.target_by_name["desk-1"].runs
            if run["x-attempt-id"].startswith("held")
        ]

    play(scenario)


def test_prompts_of_very_many_parts(play):
    """Guards against what is kept of the parts that requests name."""

    async def scenario(world):
        daemon = await start(world)
        world.target_by_name["llm-1"].admits.clear()

        def pieces(number):
            parts = ",".join(f"{number:03x}{index:04x}:1" for index in range(900))
            for index in range(5):
                yield crowds.head(
                    f"held.{number}.{index}",
                    "/chat/1",
                    "X-Model: m",
                    f"X-Prompt-Prefix: {parts}",
                    "X-Token-Count: 900,10",
                    "Content-Length: 0",
                )

        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        async with bounded(daemon):
            async with crowd:
                await crowd.settled()
                world.target_by_name["llm-1"].admits.set()
                await serves(world, daemon, "beside")
            await serves(world, daemon, "after")

    play(scenario)


def test_calls_of_no_peer_that_stop_in_the_middle(play):
    """Guards against messages to the port of peers that stay without an end."""

    async def scenario(world):
        daemon = await start(world)
        wanted = peers_pb2.DeclarationsWanted(known_digests=["d" * 3_900_000])
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(bounded(daemon))
            relay = crowds.HeldRelay(daemon.ip, daemon.control_port, 3_800_000)
            await stack.enter_async_context(relay)
            calls = []
            for number in range(50):
                channel = grpc.aio.insecure_channel(
                    relay.address,
                    options=[("grpc.use_local_subchannel_pool", 1), ("own", number)],
                )
                await stack.enter_async_context(channel)
                stub = peers_pb2_grpc.PeersStub(channel)
                calls.append(asyncio.ensure_future(_call(stub, wanted)))
            await _quiet(lambda: relay.passed)
            await serves(world, daemon, "beside")
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        await serves(world, daemon, "after")

    play(scenario)


async def _call(stub, wanted):
    return await stub.FetchDeclarations(wanted)


async def _quiet(read):
    """Wait until a figure stays the same."""
    before, same = None, 0
    while same < 10:
        await asyncio.sleep(0.1)
        now = read()
        same = same + 1 if now == before else 0
        before = now


@pytest.mark.parametrize("memory_mb", [MEMORY_MB, 88])
@pytest.mark.parametrize("form", ["length", "chunks", "single bytes"])
def test_a_large_body_is_served_in_calm(play, memory_mb, form):
    """Guards against limits that refuse a request of legal size on a small host."""

    async def scenario(world):
        length = 4 << 20
        manifest = standins.make_manifest(
            2, Limits={"MaxBodyBytes": length, "IdleTimeoutMs": 15_000}
        )
        await world.store.put("config", "main", manifest)
        world.limits = {"MemoryMb": memory_mb, "MaxFds": DESCRIPTORS}
        desk = await world.add_target("desk-1")
        daemon = await world.add_daemon()
        body = bytes(index % 251 for index in range(length))
        if form == "length":
            framing, sent, end = f"Content-Length: {length}", body, b""
        else:
            framing = "Transfer-Encoding: chunked"
            sent = crowds.chunked(body, 1 if form == "single bytes" else 50_000)
            end = b"0\r\n\r\n"
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
        async with footprint.watch(daemon.process_id, daemon.ip) as peak:
            writer.write(crowds.head("calm.1", "/once/1", framing) + sent + end)
            status = await reader.readline()
        writer.close()
        assert b" 200 " in status, status
        assert desk.body == body
        assert peak.memory_bytes <= memory_mb * 1_000_000, peak

    play(scenario)


def test_a_long_head_is_served_in_calm(play):
    """Guards against limits that refuse a head of legal size on a small host."""

    async def scenario(world):
        daemon = await start(world)
        filler = "f" * 15_000
        status = await post(
            daemon.url("/once/1"), "calm.1", b"", **{"X-Filler": filler}
        )
        assert status == 200

    play(scenario)
