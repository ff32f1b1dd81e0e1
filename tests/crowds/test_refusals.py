"""What callers that don't behave are told, and what ordinary ones get beside them.

The crowds come and go, finish their requests, or break rules that a head shows.
"""

import asyncio
import contextlib

import aiohttp
import crowds
import crowdworld
import standins

from sesamespindle.platform import assembly


async def one_answer(daemon, sent, port=None):
    """Return the head of the answer to bytes on a new connection."""
    reader, writer = await asyncio.open_connection(daemon.ip, port or daemon.front_port)
    writer.write(sent)
    try:
        async with asyncio.timeout(standins.PATIENCE_SECONDS):
            return (await reader.readuntil(b"\r\n\r\n")).decode()
    finally:
        writer.close()


async def until_logged(daemon, text):
    """Wait until a daemon has written a text to its log, which it does in turns."""

    async def is_logged():
        return any(text in line for line in daemon.lines())

    await standins.until(is_logged)


def statuses(crowd):
    """Return the statuses that a crowd got, without connections that only closed."""
    return {answer.split()[1] for answer in crowd.received if answer}


def test_a_crowd_that_is_refused_has_not_run(play):
    """Guards against refusals of unfinished bodies that promise what isn't true."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        pieces = crowdworld.whole(crowdworld.BODY_BYTES)
        async with crowdworld.bounded(daemon):
            crowd = crowds.Crowd(daemon.ip, daemon.front_port, crowdworld.CROWD, pieces)
            async with crowd:
                await crowd.settled()
                await crowdworld.serves(world, daemon, "beside")
        assert statuses(crowd) == {b"503"}
        assert all(
            b"host_overloaded" in answer and b"Retry-After" in answer
            for answer in crowd.received
            if answer
        )
        await until_logged(daemon, "Refused: host_overloaded, not_run.")
        await until_logged(daemon, "Connections of callers gave way: ")
        assert not [
            run
            for target in world.target_by_name.values()
            for run in target.runs
            if run["x-attempt-id"].startswith("held")
        ]

    play(scenario)


def test_whole_bodies_at_targets_that_do_not_answer(play):
    """Guards against finished requests that take all that a host may hold."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        desk = world.target_by_name["desk-1"]
        desk.admits.clear()
        body = b"b" * 250_000

        def pieces(number):
            yield crowds.head(
                f"held.{number}", "/once/1", f"Content-Length: {len(body)}"
            )
            yield body

        async with crowdworld.bounded(daemon):
            crowd = crowds.Crowd(daemon.ip, daemon.front_port, crowdworld.CROWD, pieces)
            async with crowd:
                await crowd.settled()
                desk.admits.set()
                await crowdworld.serves(world, daemon, "beside")
            await crowdworld.serves(world, daemon, "after")

    play(scenario)


def test_bodies_in_chunks_beyond_the_limit_of_bodies(play):
    """Guards against bodies without a stated length that are never too large."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        chunk = crowds.chunked(b"b" * 65_536, 65_536)

        def pieces(number):
            yield crowds.head(f"held.{number}", "/once/1", "Transfer-Encoding: chunked")
            for _ in range(200):
                yield chunk

        crowd = crowds.Crowd(daemon.ip, daemon.front_port, 40, pieces)
        await crowdworld.bear(world, daemon, crowd)
        over = crowds.head("over", "/once/1", "Transfer-Encoding: chunked")
        answer = await one_answer(daemon, over + chunk * 17)
        assert answer.startswith("HTTP/1.1 413"), answer

    play(scenario)


def test_a_body_without_its_key_or_route_is_refused_unread(play):
    """Guards against bodies that are held for requests which are refused anyway."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        wrong_key = crowds.head("a", "/once/1", "Content-Length: 100000")
        wrong_key = wrong_key.replace(standins.KEY.encode(), b"nobody")
        answer = await one_answer(daemon, wrong_key)
        assert answer.startswith("HTTP/1.1 401"), answer
        no_route = crowds.head("b", "/none/1", "Content-Length: 100000")
        assert (await one_answer(daemon, no_route)).startswith("HTTP/1.1 404")
        too_long = crowds.head("c", "/once/1", "Content-Length: 100000000")
        assert (await one_answer(daemon, too_long)).startswith("HTTP/1.1 413")

    play(scenario)


def test_a_head_beyond_its_limit_is_closed(play):
    """Guards against a single head or trailer that takes all that callers may hold."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        lines = b"".join(
            b"X-%d: " % number + b"f" * 15_000 + b"\r\n" for number in range(20)
        )
        begun = crowds.head("a", "/once/1", "Transfer-Encoding: chunked")
        for sent in (begun.removesuffix(b"\r\n") + lines, begun + b"0\r\n" + lines):
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
            writer.write(sent)
            async with asyncio.timeout(standins.PATIENCE_SECONDS):
                with contextlib.suppress(ConnectionError):
                    await reader.read()
            writer.close()
        await until_logged(daemon, "Too many bytes beside those of a body.")
        assert world.target_by_name["desk-1"].runs == []

    play(scenario)


def test_a_body_that_is_late_is_refused_at_the_deadline_of_its_request(play):
    """Guards against requests that get no answer, as their body never ends."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        late = crowds.head("a", "/once/1", "Content-Length: 10")
        late = late.replace(b"X-Deadline-Ms: 9000", b"X-Deadline-Ms: 300") + b"b"
        answer = await one_answer(daemon, late)
        assert answer.startswith("HTTP/1.1 408"), answer
        assert world.target_by_name["desk-1"].runs == []
        await until_logged(daemon, "Refused: body_late, not_run.")

    play(scenario)


def test_a_caller_that_expects_it_is_told_to_go_on(play):
    """Guards against callers that wait for a 100 before they send their body."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        expects = ("Content-Length: 4", "Expect: 100-continue")
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
        writer.write(crowds.head("a", "/once/1", *expects))
        async with asyncio.timeout(standins.PATIENCE_SECONDS):
            told = await reader.readuntil(b"\r\n\r\n")
            assert told == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"body")
            answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200")
        assert world.target_by_name["desk-1"].body == b"body"
        refused = crowds.head("b", "/none/1", *expects)
        assert (await one_answer(daemon, refused)).startswith("HTTP/1.1 404")

    play(scenario)


def test_requests_sent_ahead_are_all_answered_in_their_order(play):
    """Guards against requests that are lost as less of them is read ahead."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        mixed = ((0,) * 9 + (300_000,)) * 3
        for lengths in ((0,) * 30, (300,) * 30, (30_000,) * 30, mixed):
            reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
            names = [f"ahead.{sum(lengths)}.{index}" for index in range(len(lengths))]
            for name, length in zip(names, lengths, strict=True):
                framing = f"Content-Length: {length}"
                writer.write(crowds.head(name, "/once/1", framing) + b"b" * length)
            async with asyncio.timeout(standins.PATIENCE_SECONDS):
                for name in names:
                    answer = await reader.readuntil(b"\r\n\r\n")
                    assert answer.startswith(b"HTTP/1.1 200")
                    expected = f"desk-1 ran {name}".encode()
                    assert await reader.readexactly(len(expected)) == expected
            writer.close()

    play(scenario)


def test_a_connection_is_used_again_after_a_body_in_chunks(play):
    """Guards against the end of a body that counts as the beginning of a head."""

    async def scenario(world):
        manifest = standins.make_manifest(
            2, Limits={"MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 500}
        )
        await world.store.put("config", "main", manifest)
        daemon = await crowdworld.start(world)
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
        for number in range(2):
            name = f"again.{number}"
            writer.write(crowds.head(name, "/once/1", "Transfer-Encoding: chunked"))
            await writer.drain()
            writer.write(b"4\r\nbody\r\n")
            await asyncio.sleep(0.05)
            writer.write(b"0\r\n\r\n")
            async with asyncio.timeout(standins.PATIENCE_SECONDS):
                answer = await reader.readuntil(name.encode() + b"\r\n")
                assert answer.startswith(b"HTTP/1.1 200")
                await reader.readuntil(f"desk-1 ran {name}".encode())
            # Longer than a head may take.
            await asyncio.sleep(1.5)
        writer.close()

    play(scenario)


def test_metrics_name_what_is_held_and_what_gave_way(play):
    """Guards against pressure that nobody sees."""

    async def scenario(world):
        daemon = await crowdworld.start(world)
        pieces = crowdworld.whole(crowdworld.BODY_BYTES)
        async with crowds.Crowd(daemon.ip, daemon.front_port, 60, pieces) as crowd:
            await crowd.settled()
            url = f"http://{daemon.ip}:{assembly.METRICS_PORT}/"
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                lines = (await response.text()).splitlines()
        values = dict(line.rsplit(" ", 1) for line in lines)
        body = 'sesamespindle_caller_bytes{stage="body"}'
        assert int(values[body]) > crowdworld.BODY_BYTES
        allowed = int(values["sesamespindle_caller_bytes_allowed"])
        assert int(values[body]) <= allowed
        port = 'sesamespindle_caller_connections{port="callers",stage="body"}'
        assert 0 < int(values[port]) < 60
        gone = "sesamespindle_caller_connections_closed_total"
        assert int(values[gone + '{cause="memory",stage="body"}']) > 0

    play(scenario)
