"""What callers get from a host that leaves, with a real daemon and stand-ins."""

import asyncio
import signal
import time

import aiohttp
import pytest

CHAT = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
# Callers keep an answer of the directory for its second, some for three.
KEPT_SECONDS = 3.0


async def add_endless_engine(world):
    """Add an engine whose streams stay at their first event."""
    engine = await world.add_target("llm-1", "llm")
    engine.release.clear()
    return engine


def test_the_log_tells_a_cut_by_the_hosts_end_from_a_caller_that_left(play):
    """A host's grace time ends while a stream is still under way.

    The log said that the caller had left, and nothing of how far the answer had
    come, so a lost answer looked like a caller's choice.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon(grace=2)
        asking = asyncio.create_task(world.ask(daemon, "/chat/1", "r1", **CHAT))
        await engine.began.wait()
        daemon.terminate()
        with pytest.raises(aiohttp.ClientError):
            await asking
        assert await daemon.ended() == 0
        said = "\n".join(line for line in daemon.lines() if '"r1"' in line)
        assert "Cut off by the end of this host: 19 bytes of the answer" in said
        assert "The caller has left" not in said

    play(scenario)


async def terminate_and_wait(world, daemon, seconds):
    """Send SIGTERM and wait until it is at least so long ago."""
    daemon.terminate()
    due = time.monotonic() + seconds

    async def passed():
        return time.monotonic() >= due

    await world.until(passed)


async def ask_for_stream(world, daemon, engine, request_id):
    """Ask for a stream; return its status and headers, or None once it runs."""
    asking = asyncio.create_task(world.ask(daemon, "/chat/1", request_id, **CHAT))

    async def decided():
        return asking.done() or bool(engine.runs)

    await world.until(decided)
    if engine.runs:
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        return None
    status, headers, _ = await asking
    return status, headers


def test_a_stream_that_may_outlast_a_leaving_host_is_refused_once_callers_know(play):
    """A caller gets the beginning of an answer and then a closed connection.

    A host got SIGTERM and was out of every directory within a second. 3.02 s
    later a caller with an old address sent a prompt with 10.4 s left. The host
    took it, as it took all that came within 3.5 s, and ended 4.7 s later by its
    grace time, in the middle of the stream. Evidence: "Leaves", "Sent to target
    ..., 10382 ms left" 3.0 s after it, and the cut in the instant of "Has left"
    in the log of one host, while the engine still ran the request.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon()
        await terminate_and_wait(world, daemon, KEPT_SECONDS)
        outcome = await ask_for_stream(world, daemon, engine, "r1")
        assert outcome is not None, "The host took a stream that it can't finish."
        status, headers = outcome
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    play(scenario)


def test_a_host_with_a_short_grace_time_takes_no_stream_towards_its_end(play):
    """The platform lets a host be for 3 s after SIGTERM, and a stream is cut.

    How long requests were taken had nothing to do with the grace time: this
    host would have taken streams up to its end and cut all of them.
    """

    async def scenario(world):
        engine = await add_endless_engine(world)
        daemon = await world.add_daemon(grace=3)
        await terminate_and_wait(world, daemon, 1.5)
        outcome = await ask_for_stream(world, daemon, engine, "r1")
        assert outcome is not None, "The host took a stream that it can't finish."
        assert outcome[0] == 503

    play(scenario)


def test_callers_are_asked_to_leave_the_connections_of_a_leaving_host(play):
    """Callers keep coming to a host that leaves, until its process is gone.

    Only streams that began after SIGTERM told them to close the connection.
    Whole answers and refusals kept it open, so a caller with a kept connection
    went on using it, and was refused again and again.
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


def test_what_has_no_answer_at_the_end_of_the_host_is_told_so(play):
    """A target is still at work on a booking when its host's grace time ends.

    The caller's connection was closed without a word. It may have run, so the
    caller gets a final answer that promises nothing.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.is_mute = True
        daemon = await world.add_daemon(grace=2)
        asking = asyncio.create_task(world.ask(daemon, "/once/1", "r1"))
        await target.began.wait()
        daemon.terminate()
        status, headers, _ = await asking
        assert (status, headers.get("Connection")) == (502, "close")
        assert await daemon.ended() == 0

    play(scenario)


async def _not_ready(world, daemon):
    return not await world.is_ready(daemon)


def test_a_host_with_the_shortest_grace_time_answers_before_it_is_killed(play):
    """A host may be for one second, and callers get no answer at its end.

    Its planned end lay 83 ms before the kill and was looked for every 100 ms, so
    the process was killed with the answers still to be given.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.is_mute = True
        daemon = await world.add_daemon(grace=1)
        asking = asyncio.create_task(world.ask(daemon, "/once/1", "r1"))
        await target.began.wait()
        daemon.terminate()
        kill = asyncio.get_running_loop().call_later(
            1.0, daemon.send_signal, signal.SIGKILL
        )
        status, _, _ = await asking
        kill.cancel()
        assert status == 502

    play(scenario)


def test_a_host_that_is_told_to_leave_as_it_opens_its_first_port_leaves(play):
    """A host that has just started is taken back in that moment.

    Its ports were open to probes and peers some milliseconds before SIGTERM was
    listened to. In between SIGTERM ended the process outright, and peers that
    it had told of itself were left to find out by its silence.
    """

    async def scenario(world):
        daemon = await world.start_daemon()
        while not await daemon.lets_probes_in():
            assert daemon.is_running
        daemon.terminate()
        assert await daemon.ended() == 0
        assert any("Has left." in line for line in daemon.lines())

    play(scenario)
