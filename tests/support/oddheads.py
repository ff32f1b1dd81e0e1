"""Answers whose heads are broken, or unusual and valid, and targets that send them.

What is valid follows RFC 9110 and RFC 9112. A target repeats the id of a request in its
answer, after the fields that a case names.
"""

import asyncio
import dataclasses

import standins

BODY = b"id: 1\ndata: token\n\n"
_LENGTH = b"Content-Length: %d" % len(BODY)
_CHUNKED = b"Transfer-Encoding: chunked"
_CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
# The request header that names the case with which a target answers.
HEADER = "X-Odd-Head"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer.

    Attributes
    ----------
    fields : tuple of bytes
        The first lines after the status line.
    body : bytes
        What follows the head.
    before : bytes
        What precedes the status line.
    line_end : bytes
        The end of each line of the head.
    closes : bool
        Whether the end of the connection ends the body.
    """

    status_line: bytes = b"HTTP/1.1 200 OK"
    fields: tuple[bytes, ...] = (_LENGTH,)
    body: bytes = BODY
    before: bytes = b""
    line_end: bytes = b"\r\n"
    closes: bool = False

    def encode(self, attempt="r1", content_type="text/plain"):
        """Return the bytes of the answer to an attempt."""
        own_fields = (
            b"X-Server-Stamp: s",
            b"X-Attempt-Id: " + attempt.encode(),
            b"Content-Type: " + content_type.encode(),
        )
        lines = (self.status_line, *self.fields, *own_fields, b"", b"")
        return self.before + self.line_end.join(lines) + self.body


def _with_status(line):
    return Answer(line)


def _with_field(line):
    return Answer(fields=(line, _LENGTH))


def _with_coding(*lines, body=_CHUNKS):
    """Return an answer whose connection ends, which may be taken for its end."""
    return Answer(fields=lines, body=body, closes=True)


def _chunked(line=_CHUNKED, body=_CHUNKS):
    return Answer(fields=(line,), body=body)


def _broken_names():
    """Return answers in which the name of a field holds what no name may hold."""
    odd_bytes = (b"\0", b"\x01", b"\t", b"\x0b", b"\x1f", b" ", b"(", b"\x7f", b"\xe9")
    places = {"before": b"%bX-Any", "inside": b"X%bAny", "after": b"X-Any%b"}
    answers = {
        f"name-{odd.hex()}-{place}": _with_field(name % odd + b": z")
        for odd in odd_bytes
        for place, name in places.items()
    }
    # Names that the reader of heads knows, and reads by rules of their own.
    for known, value, body in (
        (b"Content-Length", b"3", BODY),
        (b"Transfer-Encoding", b"chunked", _CHUNKS),
        (b"Connection", b"close", BODY),
    ):
        name = known.decode().lower()
        for odd in (b" ", b"\t", b"\x01", b" 7"):
            line = known + odd + b": " + value
            answers[f"{name}-{odd.hex()}"] = Answer(fields=(line,), body=body)
        first_half, dash, second_half = known.partition(b"-")
        line = first_half + dash + b" " + second_half + b": " + value
        answers[f"{name}-20-inside"] = Answer(fields=(line,), body=body)
        line = b" " + known + b": " + value
        answers[f"{name}-20-before"] = Answer(fields=(line,), body=body)
    return answers


BROKEN = {
    **{
        f"status-{status}": _with_status(b"HTTP/1.1 %b Odd" % status.encode())
        for status in (
            *("000", "001", "020", "099", "600", "999", "20", "2000", "-20", "2x0"),
            *("0x0", "+20", " 200", "200,", "101"),
        )
    },
    "status-000-without-length": Answer(b"HTTP/1.1 000 Odd", (), closes=True),
    "status-missing": _with_status(b"HTTP/1.1"),
    "status-tab": _with_status(b"HTTP/1.1\t200 OK"),
    "reason-nul": _with_status(b"HTTP/1.1 200 O\0K"),
    "reason-control": _with_status(b"HTTP/1.1 200 O\x01K"),
    "reason-delete": _with_status(b"HTTP/1.1 200 O\x7fK"),
    "reason-return": _with_status(b"HTTP/1.1 200 O\rK"),
    "reason-after-tab": _with_status(b"HTTP/1.1 200\tOK"),
    **{
        f"version-{version}": _with_status(f"{version} 200 OK".encode())
        for version in (
            *("HTTP/0.0", "HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1", "HTTP/1.10"),
            *("http/1.1", "RTSP/1.0", "ICE/1.0", "ICY", "SIP/2.0", "HTTP/ 1.1"),
        )
    },
    "blank-before": Answer(before=b" "),
    "nul-before": Answer(before=b"\0"),
    "bytes-before": Answer(before=b"token"),
    **_broken_names(),
    "name-empty": _with_field(b": z"),
    "name-alone": _with_field(b"X-Any"),
    "name-return": _with_field(b"X\rAny: z"),
    "value-nul": _with_field(b"X-Any: a\0z"),
    "value-control": _with_field(b"X-Any: a\x01z"),
    "value-delete": _with_field(b"X-Any: a\x7fz"),
    "value-return": _with_field(b"X-Any: a\rz"),
    "value-hidden-length": _with_field(b"X-Any: a\rContent-Length: 3"),
    "value-folded-control": _with_field(b"X-Any: a\r\n \x01z"),
    **{
        f"length-{length}": Answer(fields=(b"Content-Length: " + length.encode(),))
        for length in (
            *("+3", "-3", "0x3", "3x", "3.0", "3 3", "3, 4", ""),
            *("99999999999999999999999", "18446744073709551615"),
            "9223372036854775808",
        )
    },
    "length-twice": Answer(fields=(_LENGTH, b"Content-Length: 3")),
    "length-and-chunks": _with_coding(_LENGTH, _CHUNKED),
    "chunks-and-length": _with_coding(_CHUNKED, _LENGTH),
    "length-and-empty-coding": Answer(fields=(b"Transfer-Encoding:", _LENGTH)),
    **{
        f"coding-{coding}": _with_coding(b"Transfer-Encoding: " + coding.encode())
        for coding in (
            *("xchunked", "chunkedx", "gzip", "gzip, chunked", "chunked, gzip"),
            *("chunked, chunked", "chunked;a=b", "chunked chunked", "x, chunked"),
        )
    },
    "coding-twice": _with_coding(_CHUNKED, _CHUNKED),
    "coding-first-gzip": _with_coding(b"Transfer-Encoding: gzip", _CHUNKED),
    "coding-last-gzip": _with_coding(_CHUNKED, b"Transfer-Encoding: gzip"),
    "interim-name-blank": Answer(before=b"HTTP/1.1 103 Hints\r\nX Any: z\r\n\r\n"),
    "interim-name-length": Answer(
        before=b"HTTP/1.1 100 Continue\r\nContent-Length : 3\r\n\r\n"
    ),
    "interim-status": Answer(before=b"HTTP/1.1 000 Odd\r\n\r\n"),
    "interim-version": Answer(before=b"HTTP/2.0 100 Continue\r\n\r\n"),
    "interim-upgrade": Answer(
        before=b"HTTP/1.1 101 Switching Protocols\r\n"
        b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    ),
}

# Sound heads, whose bodies break off in the frame of a chunk or in a trailer.
BROKEN_BODIES = {
    "chunk-size-sign": _chunked(body=b"+" + _CHUNKS),
    "chunk-size-hex": _chunked(body=b"0x" + _CHUNKS),
    "chunk-size-empty": _chunked(body=b"\r\n" + _CHUNKS),
    "chunk-size-huge": _with_coding(_CHUNKED, body=b"1" + b"0" * 16 + _CHUNKS),
    "chunk-too-long": _chunked(body=b"%x\r\n%sX\r\n0\r\n\r\n" % (len(BODY), BODY)),
    "trailer-name-blank": _chunked(
        body=_CHUNKS.removesuffix(b"\r\n") + b"X Any: z\r\n\r\n"
    ),
    "trailer-name-control": _chunked(
        body=_CHUNKS.removesuffix(b"\r\n") + b"X\x01Any: z\r\n\r\n"
    ),
}

VALID = {
    "usual": Answer(),
    "reason-empty": _with_status(b"HTTP/1.1 200 "),
    "reason-words": _with_status(b"HTTP/1.1 200 All is\twell!"),
    "reason-utf8": _with_status("HTTP/1.1 200 Très bien".encode()),
    "reason-latin": _with_status(b"HTTP/1.1 200 Tr\xe8s bien"),
    "old-version": Answer(b"HTTP/1.0 200 OK"),
    "old-version-until-close": Answer(b"HTTP/1.0 200 OK", (), closes=True),
    "until-close": Answer(fields=(), closes=True),
    "fields-lines-end-with-lf": Answer(line_end=b"\n"),
    "name-of-all-characters": _with_field(b"!#$%&'*+-.^_`|~09AZaz: z"),
    "value-empty": _with_field(b"X-Any:"),
    "value-without-blank": _with_field(b"X-Any:z"),
    "value-blanks-around": _with_field(b"X-Any: \t z \t "),
    "value-tab": _with_field(b"X-Any: a\tz"),
    "value-utf8": _with_field("X-Any: é".encode()),
    "value-latin": _with_field(b"X-Any: \xe9"),
    "value-all": _with_field(b"X-Any: " + bytes(range(0x20, 0x7F))),
    "value-folded": _with_field(b"X-Any: a\r\n z"),
    "value-folded-tab": _with_field(b"X-Any: a\r\n\tContent-Length: 3"),
    "value-long": _with_field(b"X-Any: " + b"z" * 6000),
    "names-twice": Answer(fields=(b"X-Any: a", b"X-Any: b", _LENGTH)),
    "fields-many": Answer(
        fields=(*(b"X-Any-%d: z" % number for number in range(100)), _LENGTH)
    ),
    "upgrade-offered": _with_field(b"Upgrade: h2c"),
    "length-lower-case": Answer(fields=(_LENGTH.lower(),)),
    "length-zeros": Answer(fields=(b"Content-Length: 00%d" % len(BODY),)),
    "length-blanks": Answer(fields=(b"Content-Length:  %d " % len(BODY),)),
    "chunks": _chunked(),
    "chunks-upper-case": _chunked(b"TRANSFER-ENCODING: CHUNKED"),
    "chunks-capital": _chunked(b"Transfer-Encoding: Chunked"),
    "chunks-blanks": _chunked(b"Transfer-Encoding: \t chunked "),
    "chunk-extension": _chunked(
        body=b'%x;a;b=c;d="e f"\r\n%s\r\n0;z\r\n\r\n' % (len(BODY), BODY),
    ),
    "chunk-size-zeros": _chunked(body=b"000" + _CHUNKS),
    "chunk-size-upper-case": _chunked(
        body=b"A\r\n%s\r\n%X\r\n%s\r\n0\r\n\r\n"
        % (BODY[:10], len(BODY) - 10, BODY[10:]),
    ),
    "trailers": _chunked(
        body=_CHUNKS.removesuffix(b"\r\n") + b"X-A: z\r\nX-B:\r\n\r\n"
    ),
    "interim-continue": Answer(before=b"HTTP/1.1 100 Continue\r\n\r\n"),
    "interim-processing": Answer(before=b"HTTP/1.1 102 Processing\r\n\r\n" * 3),
    "interim-hints": Answer(
        before=b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
    ),
    "interim-unknown": Answer(before=b"HTTP/1.1 199 \r\n\r\n"),
    "interim-several": Answer(
        before=b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
    ),
}
# Valid, and not known to each parser.
TAB_AFTER_CODING = _chunked(b"Transfer-Encoding: chunked\t")
# Statuses that are valid though nobody has given them a meaning.
VALID_STATUSES = (200, 299, 399, 418, 499, 599)


class Target(standins.Target):
    """A target that answers a request with the case that its header names.

    Any other request is answered as usual.

    Attributes
    ----------
    is_bytewise : bool
        Whether it sends each byte of such an answer by itself.
    """

    is_bytewise = False

    async def _answer(self, headers, writer):
        name = headers.get(HEADER.lower())
        if name is None:
            await super()._answer(headers, writer)
            return
        self._note_arrival(headers)
        self.runs.append(headers)
        answer = (BROKEN | BROKEN_BODIES | VALID)[name]
        is_engine = self.service == "llm"
        content_type = "text/event-stream" if is_engine else "text/plain"
        sent = answer.encode(headers["x-attempt-id"], content_type)
        await send(sent, writer, self.is_bytewise)
        if answer.closes:
            writer.close()


async def send(sent, writer, bytewise):
    """Send bytes, each by itself or all at once."""
    for piece in [bytes([byte]) for byte in sent] if bytewise else [sent]:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0)
