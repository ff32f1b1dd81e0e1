"""Connections to targets: kept ones with care, and none that fail silently."""

import functools
import socket

import aiohttp
import aiohttp.client_proto

# A connection can't be made faster than a few ms on a sound host; a target that
# is dark must cost less than the latency goals of the users (150 ms and more).
CONNECT_SECONDS = 0.25
# An idle connection is used again for this long. Targets close theirs after a
# few seconds; a request that crosses the close can't be repeated if it isn't
# idempotent.
_IDLE_SECONDS = 4.0
# A peer that answers no probes is given up after `idle + count * interval`
# seconds, so that a connection that went silent shows without a close.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_COUNT = 1
# What was sent and not acknowledged for this long shows a dead connection.
_USER_TIMEOUT_MILLISECONDS = 2000
MAX_HEADER_BYTES = 65536


class WatchedHandler(aiohttp.client_proto.ResponseHandler):
    """Remembers how its connection ended.

    Guards against an answer without a length that is reset on its way: the
    library takes any end of such a connection for the answer's end, so half an
    answer would look whole.
    """

    was_reset = False

    def connection_lost(self, exc):
        """Note whether the connection ended by a reset."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


def key_of(target, born):
    """Return the name under which connections to one life of a target are kept.

    Guards against a booking that is lost although no target has run it: sent over
    a connection that was kept to the life before, or to the address's target
    before, its end looks as if the request might have run. The library keeps
    connections apart by the name that TLS would check, which is not used here.
    """
    return f"{target}.{born}"


def make_session():
    """Return a client session that sends and returns bytes as they are."""
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=_IDLE_SECONDS,
        ssl=False,
        family=socket.AF_INET,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=_make_socket,
    )
    connector._factory = functools.partial(WatchedHandler, loop=connector._loop)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        trust_env=False,
    )
    # The library repeats idempotent methods on a kept connection that died. The
    # repeat would be counted by nobody and ignore whether the request may run
    # twice, which only the decision logic knows.
    session._retry_connection = False
    return session


def _make_socket(address):
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
    ):
        made.setsockopt(level, option, value)
    return made
