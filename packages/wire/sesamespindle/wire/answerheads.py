"""Whether the head of an answer is one of HTTP/1.1, by RFC 9110 and RFC 9112.

The HTTP library reads answers leniently, as browsers do, and each of its two parsers
lets through other things. What it has read may then not be what was sent: a body cut by
a length in a field of another name, or with the frames of its chunks in it.
"""

import re

# Bytes of a broken line that an error shows.
_MAX_SHOWN_BYTES = 80
# A number with more digits doesn't fit what all readers of a body count it in.
_LENGTH = re.compile("0*[0-9]{1,18}")

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_EMPTY_LINES = rb"(?:\r?\n)*+"
_STATUS_LINE = rb"HTTP/1\.[01]\x20([1-5][0-9]{2})(?:\x20%b)?\r?\n" % _TEXT
_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_FOLDED_LINE = rb"[\t\x20]%b\r?\n" % _TEXT
_FIELD = rb"%b:%b\r?\n(?:%b)*+" % (_NAME, _TEXT, _FOLDED_LINE)
_LINES = rb"%b(?:%b(?:%b)*+)?+" % (_EMPTY_LINES, _STATUS_LINE, _FIELD)
_HEAD = re.compile(rb"%b%b(?:%b)*+\r?\n" % (_EMPTY_LINES, _STATUS_LINE, _FIELD))
_SOUND_LINES = re.compile(_LINES)
_SWITCHING_PROTOCOLS = 101


class BrokenHeadError(ValueError):
    """The head of an answer isn't one of HTTP/1.1."""


def check(received, message):
    """Check the first head among bytes that were received.

    Parameters
    ----------
    received : bytes or bytearray
        What was received of an answer, with its whole head.
    message : aiohttp.http_parser.RawResponseMessage
        The head as the HTTP library has read it.

    Returns
    -------
    size : int
        How many bytes the head has.

    Raises
    ------
    BrokenHeadError
        If it is broken, or the library has read it in another way.
    """
    head = _HEAD.match(received)
    if head is None:
        raise BrokenHeadError(f"a broken line, {_first_broken_line(received)!r}")
    if int(head[1]) != message.code:
        raise BrokenHeadError(f"status {message.code} was read, not {head[1]!r}")
    if message.code == _SWITCHING_PROTOCOLS:
        raise BrokenHeadError("it switches to a protocol that wasn't asked for")
    _check_coding(message)
    _check_length(message)
    return head.end()


def _first_broken_line(received):
    start = _SOUND_LINES.match(received).end()
    shown = bytes(received[start : start + _MAX_SHOWN_BYTES])
    return shown.partition(b"\n")[0]


def _check_coding(message):
    """Check that a body has no coding but chunks, which the library has decoded."""
    headers = message.headers
    if "Transfer-Encoding" not in headers:
        return
    value = ",".join(headers.getall("Transfer-Encoding"))
    codings = [coding.strip(" \t") for coding in value.split(",")]
    named = [coding for coding in codings if coding]
    if [coding.lower() for coding in named] != ["chunked"] or not message.chunked:
        raise BrokenHeadError(f"coding {value[:_MAX_SHOWN_BYTES]!r}")
    if "Content-Length" in headers:
        raise BrokenHeadError("both a length and chunks")
    if message.version < (1, 1):
        raise BrokenHeadError("chunks in HTTP/1.0, which has none")


def _check_length(message):
    """Check that a length is one number."""
    values = message.headers.getall("Content-Length", ())
    if not values:
        return
    if len(values) > 1 or _LENGTH.fullmatch(values[0]) is None:
        raise BrokenHeadError(f"length {', '.join(values)[:_MAX_SHOWN_BYTES]!r}")
