"""Which kept connection to a target a request is sent over."""

import asyncio
import contextlib

import standins

from sesamespindle.daemon import connections, targetpool

_ID = "X-Attempt-Id"


class Server:
    """A server that answers each request with a status, on connections that it counts.

    Attributes
    ----------
    status : int
        The status.
    writers : list of asyncio.StreamWriter
        The connections, oldest first.
    carried : list of (int, str)
        The place of the connection, and the id, of each request.
    """

    def __init__(self):
        self.status = 200
        self.writers = []
        self.carried = []

    async def serve(self, reader, writer):
        place = len(self.writers)
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = standins.parse_head(head)
                self.carried.append((place, headers.get("x-attempt-id")))
                writer.write(standins.make_answer(self.status, headers, {}))


@contextlib.asynccontextmanager
async def open_session():
    """Yield a server, and a function that sends it a request with an id."""
    server = Server()
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    async with listener, connections.make_session(id_header=_ID) as session:

        async def send(request_id):
            headers = {_ID: request_id} if request_id else {}
            url = f"http://127.0.0.1:{port}/"
            async with session.get(url, headers=headers) as response:
                await response.read()
                return response.status

        yield server, send, session.connector


def test_a_refused_request_is_sent_again_over_another_connection(go):
    """Guards against the second copy of a refusal that is taken for the next send's."""

    async def scenario():
        async with open_session() as (server, send, _):
            server.status = 503
            await send("a")
            server.status = 200
            await send("a")
            await send("b")
            assert server.carried == [(0, "a"), (1, "a"), (0, "b")]

    go(scenario())


def test_a_request_that_was_answered_leaves_its_connection_to_all(go):
    async def scenario():
        async with open_session() as (server, send, _):
            for request_id in ("a", "b", "a", None, None):
                await send(request_id)
            assert len(server.writers) == 1

    go(scenario())


def test_bytes_that_nobody_asked_for_end_a_kept_connection(go):
    """Guards against a call that is lost as such bytes come where its answer should."""

    async def scenario():
        async with open_session() as (server, send, connector):
            await send("a")
            server.writers[0].write(
                standins.make_answer(200, {"x-attempt-id": "a"}, {})
            )
            kept = next(iter(connector._conns.values()))[0][0]
            while not kept.should_close:
                await asyncio.sleep(0)
            assert await send("b") == 200
            assert server.carried == [(0, "a"), (1, "b")]
            assert connector.passed_over["unread"] == 1

    go(scenario())


def test_a_connection_remembers_a_bounded_number_of_refusals(go):
    """Guards against memory that grows with each refusal on a kept connection."""

    async def scenario():
        async with open_session() as (server, send, connector):
            server.status = 503
            for number in range(connections._MAX_REFUSED + 1):
                await send(str(number))
            assert not connector._conns
            assert isinstance(connector, targetpool.TargetConnector)

    go(scenario())


def test_a_connection_that_is_passed_over_does_not_stay_longer(go):
    """Guards against a call that is lost as its target closes an idle connection."""

    async def scenario():
        async with open_session() as (server, send, connector):
            server.status = 503
            await send("a")
            (kept,) = connector._conns.values()
            since = kept[0][1]
            await send("a")
            (kept,) = connector._conns.values()
            assert [since < at for _, at in kept] == [False, True]

    go(scenario())
