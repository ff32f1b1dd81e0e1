"""What callers get if the head of a target's answer is broken, or odd but valid."""

import asyncio
import dataclasses

import brokenanswers
import oddheads
import pytest
import standins

# Requests whose answers are sent at the same time.
_AT_ONCE = 8
_BODY = b"body"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    may_repeat : bool
        Whether a request may be sent to an engine again.
    """

    path: str
    service: str
    may_repeat: bool


_KINDS = {
    "unsafe": Kind("/once/1", "desk", False),
    "safe": Kind("/read/1", "desk", True),
    "not-resumable": Kind("/talk/1", "llm", False),
    "resumable": Kind("/chat/1", "llm", True),
}


async def _start(world, kind):
    await world.store.put("config", "main", brokenanswers.make_manifest())
    address = f"127.0.0.1:{standins.free_ports(1)[0]}"
    target = oddheads.Target("odd-1", address, kind.service)
    await world.list_target(target)
    return target, await world.add_daemon()


def _request(kind, attempt, case):
    headers = {
        "Host": "a.example",
        "X-Attempt-Id": attempt,
        "X-Api-Key": standins.KEY,
        "X-Deadline-Ms": "4000",
        "Connection": "close",
        "Content-Length": str(len(_BODY)),
    }
    if kind.service == "llm":
        headers |= brokenanswers.PROMPT
    if case is not None:
        headers[oddheads.HEADER] = case
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {kind.path} HTTP/1.1\r\n{lines}\r\n".encode() + _BODY


async def _ask_raw(daemon, kind, attempt, case=None):
    """Return all bytes of an answer, as no parser may hide what a caller gets."""
    reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
    writer.write(_request(kind, attempt, case))
    received = await reader.read(-1)
    writer.close()
    return received


async def _ask_all(daemon, kind, cases):
    """Return the bytes that callers got, by case."""
    limit = asyncio.Semaphore(_AT_ONCE)

    async def ask(case):
        async with limit:
            return await _ask_raw(daemon, kind, f"odd.{case}", case)

    answers = await asyncio.gather(*map(ask, cases))
    return dict(zip(cases, answers, strict=True))


def _describe(answer_by_case):
    return "\n".join(f"{case}: {answer}" for case, answer in answer_by_case.items())


def _is_failure_of_ours(answer):
    """Return whether an answer says that no answer came, and promises no more."""
    return answer.startswith(b"HTTP/1.1 502 ") and b"X-Server-Stamp" not in answer


def _is_served(answer):
    return answer.startswith(b"HTTP/1.1 200 ") and oddheads.BODY in answer


@pytest.mark.parametrize("bytewise", [False, True], ids=["at-once", "bytewise"])
@pytest.mark.parametrize("kind", _KINDS)
def test_an_answer_with_a_broken_head_reaches_no_caller(play, kind, bytewise):
    """Guards against an engine in trouble whose bytes are delivered as an answer."""

    async def scenario(world):
        target, daemon = await _start(world, _KINDS[kind])
        target.is_bytewise = bytewise
        got = await _ask_all(daemon, _KINDS[kind], oddheads.BROKEN)
        delivered = {c: a for c, a in got.items() if not _is_failure_of_ours(a)}
        assert not delivered, _describe(delivered)
        if not _KINDS[kind].may_repeat:
            assert len(target.runs) == len(oddheads.BROKEN)
        usual = await _ask_raw(daemon, _KINDS[kind], "usual", "usual")
        assert _is_served(usual), usual

        async def is_logged():
            return any("is no answer" in line for line in daemon.lines())

        await world.until(is_logged)

    play(scenario)


def _is_visibly_cut(answer):
    """Return whether an answer in chunks has no end."""
    return b"Transfer-Encoding: chunked" in answer and b"\r\n0\r\n" not in answer


@pytest.mark.parametrize("bytewise", [False, True], ids=["at-once", "bytewise"])
@pytest.mark.parametrize("kind", _KINDS)
def test_an_answer_that_cannot_be_read_on_is_ended_at_once(play, kind, bytewise):
    """Guards against callers that wait for the rest of a body until their deadline."""

    async def scenario(world):
        target, daemon = await _start(world, _KINDS[kind])
        target.is_bytewise = bytewise
        got = await _ask_all(daemon, _KINDS[kind], oddheads.BROKEN_BODIES)
        others = {
            case: answer
            for case, answer in got.items()
            if not _is_failure_of_ours(answer) and not _is_visibly_cut(answer)
        }
        assert not others, _describe(others)
        if not _KINDS[kind].may_repeat:
            assert len(target.runs) == len(oddheads.BROKEN_BODIES)

    play(scenario)


@pytest.mark.parametrize("bytewise", [False, True], ids=["at-once", "bytewise"])
@pytest.mark.parametrize("kind", _KINDS)
def test_a_valid_answer_with_an_unusual_head_is_delivered(play, kind, bytewise):
    """Guards against a check of heads that refuses what HTTP allows."""

    async def scenario(world):
        target, daemon = await _start(world, _KINDS[kind])
        target.is_bytewise = bytewise
        got = await _ask_all(daemon, _KINDS[kind], oddheads.VALID)
        refused = {
            case: answer for case, answer in got.items() if not _is_served(answer)
        }
        assert not refused, _describe(refused)

    play(scenario)


@pytest.mark.parametrize("status", oddheads.VALID_STATUSES)
def test_a_status_without_a_meaning_is_delivered(play, status):
    """Guards against a check that knows only the statuses that have a name."""

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.status = status
        daemon = await world.add_daemon()
        got = await world.ask(daemon, "/once/1", "r1")
        assert (got[0], got[2]) == (status, b"desk-1 ran r1")

    play(scenario)
