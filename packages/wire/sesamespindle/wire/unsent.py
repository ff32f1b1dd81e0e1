"""What the other side of a TCP connection hasn't taken yet."""

import fcntl
import struct
import termios

import loguru

_log = loguru.logger.bind(part="wire")


def count_bytes(transport):
    """Return how many bytes the system holds for a connection, not acknowledged yet.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of an open TCP connection.

    Returns
    -------
    size : int
        In bytes; 0 if the system can't tell.
    """
    connected = transport.get_extra_info("socket")
    try:
        held = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError as error:
        _log.debug("The system doesn't tell what it holds. {!r}", error)
        return 0
    return struct.unpack("i", held)[0]
