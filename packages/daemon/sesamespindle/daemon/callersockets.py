"""Listening sockets for callers, made without loading more than a quick start may."""

import socket

# The receive buffer of callers' connections. What the kernel holds of them unread
# counts as memory of the process, and buffers without a limit grow to megabytes each.
RECEIVE_BUFFER_BYTES = 24 * 1024
# The send buffer: an answer that its caller doesn't read is held by this process, which
# counts it, and not by the kernel.
SEND_BUFFER_BYTES = 64 * 1024
# Connections that may wait to be accepted. 1024 is the usual limit of the kernel.
BACKLOG = 1024


def listen(host, port):
    """Return a listening socket whose connections have small buffers.

    Parameters
    ----------
    host, port : str, int
        The address; port 0 for any free one.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    opened = socket.socket()
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        opened.bind((host, port))
        opened.listen(BACKLOG)
    except (OSError, ValueError, OverflowError):
        opened.close()
        raise
    opened.setblocking(False)
    return opened
