"""What callers get from a leaving host, with a real daemon and simulated targets."""

import asyncio
import pathlib
import signal
import time

import aiohttp
import pytest
import standins

CHAT_HEADERS = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
# The TTL of a directory answer is one second; some callers use it for three.
ADDRESS_KEPT_SECONDS = 3.0


async def add_endless_engine(world):
    """Add an engine whose streams stop after their first event."""
    engine = await world.add_target("llm-1", "llm")
    engine.release.clear()
    return engine


def test_the_log_distinguishes_an_answer_cut_off_by_the_host_from_a_caller_that_left(
    play,
):
    """The grace time of a host ends while a stream is still in flight.

    Guards against a log that says the caller has left and not how much of the answer
    was sent: the lost answer would look as if the caller had cancelled it.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon(grace=2)
        request_task = asyncio.create_task(
            world.ask(daemon, "/chat/1", "r1", **CHAT_HEADERS)
        )
        await engine.began.wait()
        daemon.terminate()
        with pytest.raises(aiohttp.ClientError):
            await request_task
        assert await daemon.ended() == 0
        request_lines = "\n".join(line for line in daemon.lines() if '"r1"' in line)
        assert (
            "Cut off by the end of this host: 19 bytes of the answer" in request_lines
        )
        assert "The caller has left" not in request_lines

    play(scenario)


async def terminate_and_wait(world, daemon, seconds):
    """Send SIGTERM and wait until at least so many seconds have passed."""
    daemon.terminate()
    due = time.monotonic() + seconds

    async def has_passed():
        return time.monotonic() >= due

    await world.until(has_passed)


async def ask_for_stream(world, daemon, engine, request_id):
    """Ask for a stream; return its status and headers, or None if an engine runs it."""
    request_task = asyncio.create_task(
        world.ask(daemon, "/chat/1", request_id, **CHAT_HEADERS)
    )

    async def is_decided():
        return request_task.done() or bool(engine.runs)

    await world.until(is_decided)
    if engine.runs:
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)
        return None
    status, headers, _ = await request_task
    return status, headers


def test_a_stream_that_may_outlast_a_leaving_host_is_refused_once_callers_know(play):
    """A caller with an old directory answer sends a prompt to a leaving host.

    Guards against an answer that is cut off. After SIGTERM the host leaves all
    directories within a second. A host that accepts every request for a fixed time
    also accepts prompts whose deadline is later than its own end, and its grace time
    ends in the middle of their streams.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon()
        await terminate_and_wait(world, daemon, ADDRESS_KEPT_SECONDS)
        outcome = await ask_for_stream(world, daemon, engine, "r1")
        assert outcome is not None, "The host accepted a stream that it can't finish."
        status, headers = outcome
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    play(scenario)


def test_a_host_with_a_short_grace_time_accepts_no_stream_near_its_end(play):
    """The platform kills a host 3 s after SIGTERM, and its streams are cut off.

    Guards against a host that accepts requests for a time that doesn't depend on its
    grace time. This one would accept streams until its end and cut off all of them.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon(grace=3)
        await terminate_and_wait(world, daemon, 1.5)
        outcome = await ask_for_stream(world, daemon, engine, "r1")
        assert outcome is not None, "The host accepted a stream that it can't finish."
        assert outcome[0] == 503

    play(scenario)


def test_answers_of_a_leaving_host_close_the_connections_of_callers(play):
    """Callers go on sending to a leaving host over connections that are kept open.

    Guards against a caller that is refused again and again. Refusals and whole answers
    have to close the connection as well as streams, else the caller goes on using it
    until the process ends.
    """

    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.add_daemon()
        _, headers, _ = await world.ask(daemon, "/once/1", "r1")
        assert headers.get("Connection") != "close"
        daemon.terminate()
        await world.until(lambda: _not_ready(world, daemon))
        short = {"X-Deadline-Ms": "1500"}
        status, headers, _ = await world.ask(daemon, "/once/1", "r2", **short)
        assert (status, headers.get("Connection")) == (200, "close")
        status, headers, _ = await world.ask(daemon, "/none/1", "r3")
        assert (status, headers.get("Connection")) == (404, "close")

    play(scenario)


def test_a_request_that_has_no_answer_when_the_host_ends_gets_a_final_one(play):
    """A target still works on a booking when the grace time of the host ends.

    Guards against a connection that is closed without an answer. The booking may have
    run, so the caller gets a final answer that doesn't say that it has not run.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.is_mute = True
        daemon = await world.add_daemon(grace=2)
        request_task = asyncio.create_task(world.ask(daemon, "/once/1", "r1"))
        await target.began.wait()
        daemon.terminate()
        status, headers, _ = await request_task
        assert (status, headers.get("Connection")) == (502, "close")
        assert await daemon.ended() == 0

    play(scenario)


async def _not_ready(world, daemon):
    return not await world.is_ready(daemon)


def test_a_host_with_the_shortest_grace_time_answers_before_it_is_killed(play):
    """A host with a grace time of one second has to answer before it is killed.

    Its planned end is 83 ms before the kill. Guards against a host that checks only
    every 100 ms whether it has to end, and is killed before it has sent the answers.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.is_mute = True
        daemon = await world.add_daemon(grace=1)
        request_task = asyncio.create_task(world.ask(daemon, "/once/1", "r1"))
        await target.began.wait()
        daemon.terminate()
        kill = asyncio.get_running_loop().call_later(
            1.0, daemon.send_signal, signal.SIGKILL
        )
        status, _, _ = await request_task
        kill.cancel()
        assert status == 502

    play(scenario)


def test_a_host_that_is_stopped_as_it_opens_its_first_port_leaves(play):
    """A host is stopped in the moment in which it opens its first port.

    Guards against a host that opens its ports some milliseconds before it handles
    SIGTERM. In between SIGTERM would end the process at once, and peers that know it
    already would have to detect its end by its silence.
    """

    async def scenario(world):
        daemon = await world.start_daemon()
        while not await daemon.lets_probes_in():
            assert daemon.is_running
        daemon.terminate()
        assert await daemon.ended() == 0
        assert any("Has left." in line for line in daemon.lines())

    play(scenario)


def test_a_host_that_is_stopped_while_it_loads_answers_callers_that_wait(play):
    """Guards against connections in the backlog that are reset by an early SIGTERM."""

    async def scenario(world):
        await world.add_target("desk-1", "desk")
        daemon = await world.start_daemon()
        reader, writer = await _connect_early(daemon)
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
            b"X-Api-Key: " + standins.KEY.encode() + b"\r\n\r\n"
        )
        daemon.terminate()
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 ")
        writer.close()
        assert await daemon.ended() == 0

    play(scenario)


def test_a_host_that_loads_slowly_counts_its_grace_time_from_its_signal(play, tmp_path):
    """Guards against answers that are cut off as the grace time began before a start.

    The signal comes while the host loads, and it loads for so long that callers know by
    then that it leaves. A request that its end would cut off must be refused.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        released = tmp_path / "released"
        daemon = await world.start_daemon(grace=12, held_until=str(released))
        _, writer = await _connect_early(daemon)
        writer.close()
        request_task = asyncio.create_task(
            world.ask(daemon, "/chat/1", "r1", **CHAT_HEADERS)
        )
        await terminate_and_wait(world, daemon, 2.5)
        released.touch()
        status, _, _ = await request_task
        assert status == 503
        assert not engine.began.is_set()

    play(scenario)


def test_a_host_that_has_loaded_only_after_its_grace_time_answers_who_waits(
    play, tmp_path
):
    """Guards against connections in the backlog that are reset by a late end."""

    async def scenario(world):
        released = tmp_path / "released"
        daemon = await world.start_daemon(grace=1, held_until=str(released))
        reader, writer = await _connect_early(daemon)
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
            b"X-Api-Key: " + standins.KEY.encode() + b"\r\n\r\n"
        )
        await terminate_and_wait(world, daemon, 1.5)
        released.touch()
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        writer.close()
        assert await daemon.ended() == 0

    play(scenario)


def test_a_host_that_has_loaded_just_before_its_end_answers_who_waits(
    play, monkeypatch
):
    """Guards against connections in the backlog that are reset by an end in time."""
    launcher = str(pathlib.Path(standins.__file__).with_name("latelaunch.py"))
    monkeypatch.setattr(standins.Daemon, "_program", lambda daemon: (launcher,))

    async def scenario(world):
        world.store.is_away = True
        daemon = await world.start_daemon(grace=12)
        reader, writer = await _connect_early(daemon)
        writer.write(
            b"GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
            b"X-Api-Key: " + standins.KEY.encode() + b"\r\n\r\n"
        )
        daemon.terminate()
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503 ")
        writer.close()
        assert await daemon.ended() == 0

    play(scenario)


async def _connect_early(daemon):
    """Connect to a daemon's caller port as soon as it is open."""
    while True:
        try:
            return await asyncio.open_connection(daemon.ip, daemon.front_port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.001)
