"""Splitting of streams into whole events."""

import re
import time

import pytest

from sesamespindle.wire import eventstream

STREAMS = {
    "usual": b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "no-colon": b"id: 1\ndata\n\nid: 2\ndata: a\ndata\n\n",
    "comments": b": hello\n\nid: 1\ndata: a\n\n: ping\n",
    "blank-lines": b"id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n",
    "crlf": b"id: 1\r\ndata: a\r\n\r\n: x\r\nid: 2\r\ndata: b\r\n\r\n",
    "cr": b"id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
    "mixed": b"id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n",
    "version-line": b"x-weight-versions: 2\nid: 1\ndata: id: 7\n\n",
}


def events_and_rest(stream, cut):
    """Return what a splitter gives for a stream that comes in two pieces."""
    splitter = eventstream.EventSplitter()
    given = splitter.feed(stream[:cut]) + splitter.feed(stream[cut:])
    return splitter, given


@pytest.mark.parametrize("name", STREAMS)
def test_a_whole_stream_is_whole_wherever_it_is_divided(name):
    """Guards against whole streams that are taken for broken ones."""
    stream = STREAMS[name]
    for cut in range(len(stream) + 1):
        splitter, given = events_and_rest(stream, cut)
        assert given + splitter.rest == stream
        assert splitter.has_events
        assert not splitter.has_partial_event()


@pytest.mark.parametrize("name", STREAMS)
def test_a_stream_cut_inside_an_event_is_partial(name):
    """Guards against short streams that are taken for whole ones."""
    stream = STREAMS[name]
    for end in range(1, len(stream)):
        splitter, given = events_and_rest(stream[:end], end // 2)
        assert given + splitter.rest == stream[:end]
        is_between_events = not is_inside_an_event(stream[:end])
        assert splitter.has_partial_event() == (not is_between_events), end


def is_inside_an_event(cut_stream):
    """Return whether a line is cut, or a field has no blank line after it yet."""
    if cut_stream.endswith(b"\n\r"):
        return True
    *lines, last = cut_stream.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
    if last:
        return True
    open_fields = 0
    for line in lines:
        if not line:
            open_fields = 0
        elif not line.startswith(b":"):
            open_fields += 1
    return open_fields > 0


@pytest.mark.parametrize("name", ["usual", "crlf", "cr", "mixed"])
def test_the_last_id_is_known_wherever_a_stream_is_divided(name):
    """Guards against events that come twice or not at all as a stream is continued."""
    stream = STREAMS[name]
    for cut in range(len(stream) + 1):
        assert events_and_rest(stream, cut)[0].last_event_id == "2"


def test_comments_alone_are_no_event():
    """Guards against a success without content."""
    splitter = eventstream.EventSplitter()
    assert splitter.feed(b": ping\n\n") == b""
    assert not splitter.has_events
    assert splitter.feed(b"data: a\n\n") == b": ping\n\ndata: a\n\n"
    assert splitter.has_events


def test_a_large_event_is_searched_faster_than_by_a_pattern():
    """Guards against a host that large events keep from all other requests.

    A pattern stops at each byte, so that a pass of one is what to compare with.
    """
    event = b"data: " + b"x" * 500_000 + b"\n\n"
    pattern = re.compile(rb"\r?\n\r?\n|\r\r")

    def split():
        # The beginning of a next event, so that the end has to be looked for.
        assert eventstream.EventSplitter().feed(event + b"data") == event

    def search():
        assert pattern.search(event).end() == len(event)

    assert least_processor_seconds(split) < least_processor_seconds(search) / 2


def least_processor_seconds(act):
    """Return the least processor time that a function takes in some calls."""

    def taken():
        began = time.process_time()
        act()
        return time.process_time() - began

    return min(taken() for _ in range(10))


def test_the_last_id_is_that_of_the_last_line_with_one():
    """Guards against streams that are continued after the wrong event."""
    splitter = eventstream.EventSplitter()
    splitter.feed(b"id: 1\ndata: id: 7\n\ndata: paid: 8\nid: 2 \r\ndata: id:\r\n\r\n")
    assert splitter.last_event_id == "2"
    splitter.feed(b"data: id: 9\n\n")
    assert splitter.last_event_id == "2"
    splitter.feed(b"data: a\rid:\r\r")
    assert splitter.last_event_id == ""
