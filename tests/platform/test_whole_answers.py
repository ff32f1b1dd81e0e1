"""Answers that break off at a target must not look complete to the caller."""

import asyncio
import dataclasses
import itertools
import socket

import aiohttp
import brokenanswers
import pytest
import standins

from sesamespindle.wire import answers

CLOSE = brokenanswers.Framing.CLOSE
RESET = brokenanswers.End.RESET
STREAM = brokenanswers.STREAM
FIRST_EVENT = len(brokenanswers.EVENTS[0])
ROUTES = {"resumable": "/chat/1", "not-resumable": "/talk/1"}
# Plain answers and failures, which no events end.
BODY = b"0123456789"


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """What a caller got: a status, a body, and whether that looked complete."""

    status: int
    body: bytes
    is_complete: bool


@pytest.fixture
def answer(play):
    """Return a function that plays scripts one by one, and judges what callers get."""

    def run(scripts, path, judge, service="llm"):
        async def scenario(world):
            target, daemon = await start(world, service)
            for number, script in enumerate(scripts):
                attempt = f"r{number}"
                target.script_by_attempt[attempt] = script
                judge(script, await ask(world, daemon, path, attempt))

        play(scenario)

    return run


async def start(world, service):
    """Start a target that plays scripts, and a daemon; return both."""
    await world.store.put("config", "main", brokenanswers.make_manifest())
    address = f"127.0.0.1:{standins.free_ports(1)[0]}"
    target = brokenanswers.ScriptedTarget("t-1", address, service)
    await world.list_target(target)
    return target, await world.add_daemon()


async def ask(world, daemon, path, attempt):
    headers = {"Host": "a.example", "X-Attempt-Id": attempt, "X-Api-Key": standins.KEY}
    headers["X-Deadline-Ms"] = "9000"
    if not path.startswith("/once"):
        headers |= brokenanswers.PROMPT
    received = b""
    status = 0
    try:
        async with world.session.post(
            daemon.url(path), headers=headers, data=attempt.encode()
        ) as response:
            status = response.status
            async for chunk in response.content.iter_any():
                received += chunk
    except aiohttp.ClientError:
        return Received(status, received, False)
    return Received(status, received, True)


def judge_stream(script, received):
    """Check that a stream looks complete if and only if it is whole."""
    served = received.status == 200 and received.is_complete
    assert served == is_whole_stream(script), (script, received)
    if served:
        assert received.body == script.body[: script.sent]
    elif received.status == 200:
        assert script.body.startswith(received.body)
    else:
        assert received.status == 502, (script, received)


def is_whole_stream(script):
    """Return whether what was sent is all that a reader can ask of a whole stream."""
    if script.is_whole:
        return True
    # The end of a connection between two events can't be told from the stream's end.
    sent = script.body[: script.sent]
    ends_between_events = bool(sent) and sent.endswith(b"\n\n")
    is_in_order = script.end is brokenanswers.End.IN_ORDER
    return script.framing is CLOSE and is_in_order and ends_between_events


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize(
    "sent", [0, 7, FIRST_EVENT + 7], ids=["head", "first", "later"]
)
def test_a_stream_that_ends_inside_an_event_is_not_complete(answer, route, sent):
    """Guards against callers that take half an answer for all of it."""
    script = brokenanswers.Script(CLOSE, STREAM, sent, is_paused=True)
    answer([script] * 4, ROUTES[route], judge_stream)


@pytest.mark.parametrize("route", ROUTES)
def test_a_stream_that_is_reset_at_once_is_not_complete(answer, route):
    """Guards against a reset that arrives together with the answer's beginning."""
    scripts = [
        brokenanswers.Script(CLOSE, STREAM, sent, RESET)
        for sent in (0, FIRST_EVENT, len(STREAM))
    ]
    answer(scripts * 20, ROUTES[route], judge_stream)


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("framing", brokenanswers.Framing)
@pytest.mark.parametrize("end", brokenanswers.End)
def test_a_stream_cut_at_any_byte_is_complete_only_if_whole(
    answer, route, framing, end
):
    """Guards against short streams that look complete, and whole ones that don't."""
    cuts = [*range(len(STREAM) + 1), len(STREAM)]
    scripts = [
        brokenanswers.Script(framing, STREAM, sent, end, is_paused=True)
        for sent in cuts
    ]
    answer(scripts, ROUTES[route], judge_stream)


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("body", [b"", b": no event\n\n"], ids=["empty", "comment"])
def test_a_stream_without_an_event_is_no_success(answer, route, body):
    """Guards against callers that are served nothing and told that it is all."""

    def judge(script, received):
        assert received.status == 502, (script, received)

    scripts = [
        brokenanswers.Script(framing, body, len(body), is_paused=True)
        for framing in brokenanswers.Framing
    ]
    answer(scripts, ROUTES[route], judge)


@pytest.mark.parametrize("framing", brokenanswers.Framing)
def test_a_stream_is_not_complete_if_its_rest_never_came(play, framing):
    """Guards against a second target that ends before the rest of a broken stream."""

    async def scenario(world):
        target, daemon = await start(world, "llm")
        target.script_by_attempt["r1"] = brokenanswers.Script(
            framing, STREAM, FIRST_EVENT, RESET, is_paused=True
        )
        target.rest_by_attempt["r1"] = brokenanswers.Script(
            framing, STREAM, 0, is_paused=True
        )
        received = await ask(world, daemon, ROUTES["resumable"], "r1")
        assert received.body == STREAM[:FIRST_EVENT]
        assert not received.is_complete

    play(scenario)


def test_an_event_without_end_is_broken_off(answer):
    """Guards against a host whose memory one endless event fills."""

    def judge(script, received):
        assert received.status == 502, received.status

    body = b"data: " + b"x" * 3 * answers.MAX_EVENT_BYTES + b"\n\n"
    script = brokenanswers.Script(brokenanswers.Framing.LENGTH, body, len(body))
    answer([script], ROUTES["not-resumable"], judge)


@pytest.mark.parametrize("status", [200, 500])
def test_a_plain_answer_that_is_cut_is_not_complete(answer, status):
    """Guards against half a booking that its caller takes for the whole."""

    def judge(script, received):
        is_in_order = script.end is brokenanswers.End.IN_ORDER
        can_tell = script.framing is not CLOSE or not is_in_order
        if script.is_whole:
            assert (received.status, received.body) == (status, BODY)
        elif can_tell:
            assert received.status == 502, (script, received)

    scripts = [
        brokenanswers.Script(
            framing, BODY, sent, end, status, is_paused, content_type="text/plain"
        )
        for framing, end in itertools.product(brokenanswers.Framing, brokenanswers.End)
        for sent in (0, 5, len(BODY))
        for is_paused in (False, True)
    ]
    answer(scripts, "/once/1", judge, service="desk")


@pytest.mark.parametrize("framing", brokenanswers.Framing)
@pytest.mark.parametrize("end", brokenanswers.End)
def test_a_target_that_says_not_run_is_believed_if_its_answer_breaks(
    answer, framing, end
):
    """Guards against callers who hear that a booking may have run, though it hasn't."""

    def judge(script, received):
        assert received.status == 503, (script, received)

    script = brokenanswers.Script(
        framing, BODY, 5, end, status=503, is_paused=True, says_not_run=True
    )
    answer([script], "/once/1", judge, service="desk")


def test_a_target_that_says_not_run_is_believed_if_its_answer_hangs(play):
    """Guards against callers who hear at their deadline that a call may have run."""

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.turns_away = True
        target.release.clear()
        daemon = await world.add_daemon()
        received = await ask(world, daemon, "/once/1", "r1")
        assert received.status == 503

    play(scenario)


def test_a_caller_whose_answer_ends_with_its_connection_sees_a_reset(play):
    """Guards against callers of HTTP/1.0, to whom an orderly close means complete."""

    async def scenario(world):
        target, daemon = await start(world, "llm")
        target.script_by_attempt["r1"] = brokenanswers.Script(
            CLOSE, STREAM, FIRST_EVENT + 7, is_paused=True
        )
        with socket.create_connection((daemon.ip, daemon.front_port)) as caller:
            caller.sendall(old_request("r1"))
            with pytest.raises(ConnectionResetError):
                while await asyncio.to_thread(caller.recv, 4096):
                    pass

    play(scenario)


def old_request(attempt):
    """Return the bytes of an HTTP/1.0 request."""
    headers = {"Host": "a.example", "X-Attempt-Id": attempt, "X-Api-Key": standins.KEY}
    headers |= brokenanswers.PROMPT
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"GET /talk/1 HTTP/1.0\r\n{lines}\r\n".encode()
