"""Crowds that hold much, against a real daemon with the limits of a small host.

Each test guards against a process that ends, or that holds more than its settings
allow, as clients it doesn't control hold what they send or don't read what they get.
"""

import asyncio
import contextlib

import crowds
import crowdworld
import footprint
import grpc
import pytest
import standins

from sesamespindle.wire import peers_pb2, peers_pb2_grpc

CROWD = crowdworld.CROWD
BODY_BYTES = crowdworld.BODY_BYTES
PORTS = ("front", "ready", "directory", "control", "carry", "metrics")
HTTP_PORTS = ("front", "ready", "directory", "carry", "metrics")


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
        daemon = await crowdworld.start(world)
        pieces = crowdworld.whole(BODY_BYTES)
        crowd = crowds.Crowd(daemon.ip, crowdworld.port_of(daemon, port), CROWD, pieces)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("length", [200 * 1024, 250 * 1024])
def test_small_bodies_that_lack_their_last_byte(play, length):
    """Guards against bodies that are buffered whole and stay without an end."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        pieces = crowdworld.whole(length)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


def test_bodies_in_chunks_without_an_end(play):
    """Guards against bodies that come in chunks and stay in memory without an end."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        pieces = in_chunks(BODY_BYTES, 1024)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", ["front", "directory"])
def test_bodies_in_chunks_of_two_bytes(play, port):
    """Guards against what each piece of a body takes beside its bytes."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        pieces = in_chunks(BODY_BYTES // 16, 2)
        crowd = crowds.Crowd(daemon.ip, crowdworld.port_of(daemon, port), CROWD, pieces)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


def test_trailers_without_an_end(play):
    """Guards against header lines behind a body that are kept as they come."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        lines = b"".join(b"X-%d: " % i + b"t" * 16_000 + b"\r\n" for i in range(100))
        pieces = in_chunks(16, 16, b"0\r\n" + lines)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", HTTP_PORTS)
def test_heads_without_an_end(play, port):
    """Guards against header lines that are kept until the head ends."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        pieces = header_lines(50, 15_000)
        crowd = crowds.Crowd(daemon.ip, crowdworld.port_of(daemon, port), CROWD, pieces)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


def test_requests_that_come_before_the_answer_to_the_first(play):
    """Guards against requests with bodies that queue behind an unanswered one."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        world.target_by_name["desk-1"].admits.clear()
        pieces = pipelined(20, 100_000)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces)
        async with crowdworld.bounded(daemon):
            async with crowd:
                await crowd.settled()
                world.target_by_name["desk-1"].admits.set()
                await crowdworld.serves(world, daemon, "beside")
            await crowdworld.serves(world, daemon, "after")

    play(scenario)


@pytest.mark.parametrize("length", [200 * 1024, 4 << 20])
def test_answers_that_nobody_reads(play, length):
    """Guards against answers that wait in the process for callers that don't read."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        desk = world.target_by_name["desk-1"]
        desk.unframed_bytes = length
        pieces = questions(4, "/read/1")
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD, pieces, reads=False)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", ["directory", "metrics"])
def test_questions_whose_answers_nobody_reads(play, port):
    """Guards against own answers that wait for callers that don't read them."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        path = "/v1/resolve?Name=a.example"
        pieces = questions(2000, path, method="GET")
        number = crowdworld.port_of(daemon, port)
        crowd = crowds.Crowd(daemon.ip, number, CROWD, pieces, reads=False)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


@pytest.mark.parametrize("port", PORTS)
def test_connections_that_say_nothing(play, port):
    """Guards against idle connections that use up the descriptors."""

    async def scenario(world):
        daemon = await crowdworld.start(world, crowdworld.FEW_DESCRIPTORS)
        crowd = crowds.Crowd(
            daemon.ip, crowdworld.port_of(daemon, port), 2 * CROWD, nothing
        )
        await crowdworld.bear(world, daemon, crowd, crowdworld.FEW_DESCRIPTORS)

    play(scenario)


def test_connections_that_say_nothing_at_a_host_of_many_descriptors(play):
    """Guards against idle connections that use up the memory."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, 3500, nothing)
        await crowdworld.bear(world, daemon, crowd)

    play(scenario)


def test_bodies_that_lack_their_end_take_no_target_from_others(play):
    """Guards against unfinished bodies that take a service's connections."""

    async def scenario(world):
        services = standins.make_manifest()["Services"]
        services[0]["MaxConnections"] = 4
        manifest = standins.make_manifest(2, Services=services)
        await world.store.put("config", "main", manifest)
        daemon = await crowdworld.start(world)
        pieces = crowdworld.whole(BODY_BYTES)
        crowd = crowds.Crowd(daemon.ip, daemon.front_port, CROWD // 4, pieces)
        await crowdworld.bear(world, daemon, crowd)
        assert not [
            run
            for run in world.target_by_name["desk-1"].runs
            if run["x-attempt-id"].startswith("held")
        ]

    play(scenario)


def test_prompts_of_very_many_parts(play):
    """Guards against what is kept of the parts that requests name."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
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
        async with crowdworld.bounded(daemon):
            async with crowd:
                await crowd.settled()
                world.target_by_name["llm-1"].admits.set()
                await crowdworld.serves(world, daemon, "beside")
            await crowdworld.serves(world, daemon, "after")

    play(scenario)


def test_calls_of_no_peer_that_stop_in_the_middle(play):
    """Guards against messages to the port of peers that stay without an end."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        wanted = peers_pb2.DeclarationsWanted(known_digests=["d" * 3_900_000])
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(crowdworld.bounded(daemon))
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
            await crowdworld.serves(world, daemon, "beside")
            for call in calls:
                call.cancel()
            await asyncio.gather(*calls, return_exceptions=True)
        await crowdworld.serves(world, daemon, "after")

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


@pytest.mark.parametrize("memory_mb", [crowdworld.MEMORY_MB, 88])
@pytest.mark.parametrize("form", ["length", "chunks", "single bytes"])
def test_a_large_body_is_served_in_calm(play, memory_mb, form):
    """Guards against limits that refuse a request of legal size on a small host."""

    async def scenario(world):
        length = 4 << 20
        manifest = standins.make_manifest(
            2, Limits={"MaxBodyBytes": length, "IdleTimeoutMs": 15_000}
        )
        await world.store.put("config", "main", manifest)
        world.limits = {"MemoryMb": memory_mb, "MaxFds": crowdworld.DESCRIPTORS}
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
        daemon = await crowdworld.start(world)
        filler = "f" * 15_000
        status = await crowdworld.post(
            daemon.url("/once/1"), "calm.1", b"", **{"X-Filler": filler}
        )
        assert status == 200

    play(scenario)
