"""HTTP connections to targets: keep-alive, timeouts, and detection of dead peers."""

import asyncio
import datetime
import math
import socket
import struct

import aiohttp

from sesamespindle.daemon import targetpool
from sesamespindle.wire import answers

# A healthy host accepts a connection within a few ms. The timeout bounds the delay
# that an unreachable target adds to a request; the callers' latency goals are 150 ms
# and more.
CONNECT_SECONDS = 0.25
# How long an idle connection may be reused. Targets close idle connections after a
# few seconds, and a request that is sent just then can't be retried unless it is
# idempotent.
_IDLE_TIMEOUT_SECONDS = 4.0
# TCP keep-alive: after `idle` seconds without a byte from the peer a probe is sent each
# `interval`. How many of them must be lost is decided by the user timeout alone, as it
# is set; the count has no effect beside it.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_COUNT = 1
# TCP user timeout: a connection is considered dead if nothing was heard on it for this
# long, though probes were sent, or data that was sent is not acknowledged. A target
# that is silent for a second or so must not lose its requests by it.
_USER_TIMEOUT_MILLISECONDS = 2500
MAX_HEADER_BYTES = 65536
# What is read of an answer ahead of its caller, and what the kernel holds of it before:
# both count as memory of this process while the caller doesn't read.
_READ_BYTES = 32 * 1024
_RECEIVE_BUFFER_BYTES = 64 * 1024
# The status from which on an answer may be followed by another send of its request.
_FIRST_REFUSAL_STATUS = 400
# A connection on which more requests than this were refused isn't used again.
_MAX_REFUSED = 64
# The value of SO_LINGER with which closing a socket resets its connection at once.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class TargetConnection(answers.Connection):
    """A connection to a target.

    Guards against requests that arrive after they were given up. The system goes on
    sending what an orderly closed connection has not delivered. As a path is restored,
    all that was given up meanwhile would arrive at once. A request without a byte of
    its answer is therefore given up by a reset, after which nothing is sent.

    It knows which requests were refused on it, so that `targetpool.TargetConnector` can
    send them again over other connections.

    Attributes
    ----------
    on_received : callable or None
        Called without arguments when bytes have been received, or the connection has
        ended. It must not raise.
    """

    _awaits_answer = False
    _request_id = None
    on_received = None

    def __init__(self, loop):
        super().__init__(loop)
        self._refused_ids = set()

    def begin(self, request_id):
        """Note which request the connection carries now; None for a call without id."""
        self._request_id = request_id

    def has_refused(self, request_id):
        """Return whether a request was refused on this connection."""
        return request_id in self._refused_ids

    def feed_data(self, data, size=0):
        """Take the head of an answer, and its body's reader."""
        message, _ = data
        if message.code >= _FIRST_REFUSAL_STATUS and self._request_id is not None:
            self._refused_ids.add(self._request_id)
            if len(self._refused_ids) > _MAX_REFUSED:
                self.force_close()
        super().feed_data(data, size)

    def set_response_params(self, **params):
        """Prepare for the answer to a request that is about to be sent."""
        self._awaits_answer = True
        super().set_response_params(**params)

    def data_received(self, data):
        """Take bytes of an answer."""
        self._awaits_answer = False
        super().data_received(data)
        if data and self.on_received is not None:
            self.on_received()

    def connection_lost(self, exc):
        """End the answer, if it has not ended before."""
        super().connection_lost(exc)
        if self.on_received is not None:
            self.on_received()

    def resume_reading(self, resume_parser=True):
        """Resume reading if it is paused; aiohttp asks for it at each read."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def close(self):
        """Close the connection, by a reset if its request has no byte of an answer."""
        if self._awaits_answer and self.transport is not None:
            reset_on_close(self.transport)
        super().close()


def reset_on_close(transport):
    """Make a connection end with a reset as soon as it is closed."""
    connected = transport.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def connection_key(target, born):
    """Return the name that keeps apart connections to each incarnation of a target.

    Guards against a booking that is lost although no target has run it. It would be
    sent over an idle connection to an earlier incarnation of the target, or to the
    former target at this address; the broken connection then looks as if the
    request might have run. aiohttp reuses a connection only for the same TLS server
    name. TLS is not used here, so that name can carry the incarnation.

    Parameters
    ----------
    target : str
        The target's name.
    born : int
        Start time of the target's incarnation.
    """
    return f"{target}.{born}"


def make_session(reuse=True, own_ip=None, id_header=""):
    """Return an `aiohttp.ClientSession` for relaying to targets.

    It adds no headers or cookies of its own, and leaves compressed bodies as they
    are.

    Parameters
    ----------
    reuse : bool
        Whether connections stay open for further calls.
    own_ip : str, optional
        The IP address to connect from, by which peers recognise this host.
    id_header : str
        The header that holds the id of a request; empty if requests have none.
    """
    keepalive = {"keepalive_timeout": _IDLE_TIMEOUT_SECONDS}
    if not reuse:
        keepalive = {"force_close": True}
    connector = targetpool.TargetConnector(
        id_header,
        limit=0,
        **keepalive,
        ssl=False,
        family=socket.AF_INET,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=_make_socket,
        local_addr=(own_ip, 0) if own_ip else None,
    )
    answers.use_connections(connector, TargetConnection)
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
        read_bufsize=_READ_BYTES,
        trust_env=False,
    )
    # aiohttp would retry idempotent methods itself if a reused connection fails.
    # Such a retry would bypass the retry budget, and the decision logic, which alone
    # knows whether the request may run twice.
    session._retry_connection = False
    return session


def silence_survived():
    """Return how long a silence a connection to a target survives.

    Returns
    -------
    earliest, latest : datetime.timedelta
        The silence after which it is considered dead, from the first lost byte: at the
        earliest if the last byte was heard just before the silence's first probe was
        due, at the latest if a byte was heard as it began.
    """
    idle = datetime.timedelta(seconds=_KEEPALIVE_IDLE_SECONDS)
    interval = datetime.timedelta(seconds=_KEEPALIVE_INTERVAL_SECONDS)
    limit = datetime.timedelta(milliseconds=_USER_TIMEOUT_MILLISECONDS)
    probes = math.ceil((limit - idle) / interval)
    return limit - idle, idle + probes * interval


async def connect(address):
    """Return the streams of a new connection with the same time limits.

    Parameters
    ----------
    address : str
        ``host:port``, by IP address.

    Raises
    ------
    OSError
        If the connection can't be made.
    """
    host, _, port = address.rpartition(":")
    made = _make_socket((socket.AF_INET, socket.SOCK_STREAM, 0, "", ()))
    try:
        await asyncio.get_running_loop().sock_connect(made, (host, int(port)))
        return await asyncio.open_connection(sock=made)
    except BaseException:
        made.close()
        raise


def _make_socket(address):
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    for level, option, value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        # Guards against a port of a closed connection from this host's own address at
        # which the host can't listen when it starts again.
        (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),
        (socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS),
    ):
        created.setsockopt(level, option, value)
    return created
