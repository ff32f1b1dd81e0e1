"""An answer whose head breaks off is no answer.

Guards against callers that get a 200 with an empty or short body, framed as whole, as
an engine stopped in the middle of its answer's head.
"""

import asyncio
import dataclasses

import aiohttp
import brokenanswers
import pytest
import standins

from sesamespindle.daemon import connections

BODY = b"0123456789"
_EVENT = brokenanswers.EVENTS[0]
_PATH_BY_SERVICE = {"llm": "/talk/1", "desk": "/once/1"}
_TYPE_BY_SERVICE = {"llm": "text/event-stream", "desk": "text/plain"}
# Requests whose answers are cut at the same time.
_AT_ONCE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """How an answer breaks off.

    Attributes
    ----------
    framing : brokenanswers.Framing
        What would mark its end.
    end : brokenanswers.End
        How the connection ends.
    bytewise : bool
        Whether each byte of the head is sent by itself.
    is_kept : bool
        Whether the connection has carried a whole answer before.
    """

    framing: brokenanswers.Framing
    end: brokenanswers.End = brokenanswers.End.IN_ORDER
    bytewise: bool = False
    is_kept: bool = False


class CutTarget(standins.Target):
    """A target whose answers break off after the number of bytes in a request's id.

    An id is ``cut.NUMBER``, with three digits; any other request gets a whole answer.
    """

    def __init__(self, name, address, service, cut):
        super().__init__(name, address, service)
        self._cut = cut

    def head(self, attempt):
        """Return the head of an answer."""
        body = _EVENT if self.service == "llm" else BODY
        framing = {
            brokenanswers.Framing.LENGTH: f"Content-Length: {len(body)}\r\n",
            brokenanswers.Framing.CHUNKS: "Transfer-Encoding: chunked\r\n",
            brokenanswers.Framing.CLOSE: "",
        }[self._cut.framing]
        return (
            f"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nX-Attempt-Id: {attempt}\r\n"
            f"Content-Type: {_TYPE_BY_SERVICE[self.service]}\r\n{framing}\r\n"
        ).encode()

    async def _answer(self, headers, writer):
        attempt = headers["x-attempt-id"]
        if not attempt.startswith("cut."):
            body = _EVENT if self.service == "llm" else BODY
            extra = {
                "X-Server-Stamp": "s",
                "Content-Type": _TYPE_BY_SERVICE[self.service],
            }
            writer.write(standins.make_answer(200, headers, extra, body))
            return
        await self.send_cut(attempt, writer)

    async def send_cut(self, attempt, writer):
        """Send the beginning of the head, and end the connection."""
        sent = self.head(attempt)[: int(attempt.partition(".")[2])]
        pieces = [bytes([byte]) for byte in sent] if self._cut.bytewise else [sent]
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if self._cut.end is brokenanswers.End.RESET:
            brokenanswers.reset(writer)
        else:
            writer.close()


def _cuts():
    for framing in brokenanswers.Framing:
        for end in brokenanswers.End:
            yield Cut(framing, end)
        yield Cut(framing, bytewise=True)
        yield Cut(framing, is_kept=True)


def _name(cut):
    more = ["bytewise"] * cut.bytewise + ["kept"] * cut.is_kept
    return "-".join([cut.framing, cut.end, *more])


@pytest.mark.parametrize("service", _PATH_BY_SERVICE)
@pytest.mark.parametrize("cut", tuple(_cuts()), ids=_name)
def test_an_answer_cut_at_any_byte_of_its_head_is_no_success(play, service, cut):
    async def scenario(world):
        await world.store.put("config", "main", brokenanswers.make_manifest())
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        target = CutTarget("t-1", address, service, cut)
        await world.list_target(target)
        daemon = await world.add_daemon()
        path, limit = _PATH_BY_SERVICE[service], asyncio.Semaphore(_AT_ONCE)
        prompt = brokenanswers.PROMPT if service == "llm" else {}

        async def status_of(number):
            async with limit:
                if cut.is_kept:
                    whole = await world.ask(daemon, path, f"whole.{number}", **prompt)
                    assert whole[0] == 200
                try:
                    answer = await world.ask(daemon, path, f"cut.{number:03}", **prompt)
                except aiohttp.ClientError:
                    return None
                return answer[0]

        last = len(target.head("cut.000"))
        statuses = await asyncio.gather(*map(status_of, range(last)))
        assert set(statuses) <= {502, 503, None}

    play(scenario)


@pytest.mark.parametrize("end", brokenanswers.End)
def test_an_answer_of_a_peer_cut_at_any_byte_of_its_head_is_an_error(go, end):
    """Guards against a short answer on the way between hosts, which read it alike."""

    async def scenario():
        cut = Cut(brokenanswers.Framing.LENGTH, end)
        target = CutTarget("t-1", f"127.0.0.1:{standins.free_ports(1)[0]}", "desk", cut)
        async with target, connections.make_session(own_ip="127.0.0.1") as session:
            for number in range(len(target.head("cut.000"))):
                with pytest.raises(aiohttp.ClientError):
                    await session.request(
                        "POST",
                        f"http://{target.address}/",
                        headers={"X-Attempt-Id": f"cut.{number:03}"},
                        data=b"",
                    )

    go(scenario())
