"""Splitting of a byte stream of server-sent events into whole events."""

import re

from sesamespindle.wire import answers

_USUAL_EVENT_END = b"\n\n"
# Lines end with LF, CR LF or CR, and a blank line ends an event. Each byte string is
# searched for by itself: a pattern for all takes thirty times as long in a large event.
_EVENT_ENDS = (_USUAL_EVENT_END, b"\n\r\n", b"\r\r")
_LONGEST_EVENT_END = max(map(len, _EVENT_ENDS))
_ID_FIELD = b"id:"
_REST_OF_LINE = re.compile(rb"[^\r\n]*")
# A line that is neither blank nor a comment begins like this.
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")
_LINE_ENDS = (b"\n", b"\r")


class EventSplitter:
    """Buffers the bytes of a stream until they form whole events.

    Guards against an engine that fails in the middle of an event. If the caller got
    the first half, the events with which another engine continues the stream would
    be appended to it, and the caller would read a corrupt event.

    Attributes
    ----------
    last_event_id : str or None
        The id of the last whole event that had one, from which another engine can
        continue; None if there was none.
    has_events : bool
        Whether there was a whole event since the stream began, or began anew. Comments
        are none; those before the first event come with it.
    rest : bytes
        What has followed the last whole event so far.
    """

    def __init__(self):
        self.rest = b""
        self.last_event_id = None
        self.has_events = False

    def feed(self, chunk):
        """Add bytes to the stream, and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the stream, divided anywhere.

        Returns
        -------
        whole_events : bytes
            One or more whole events; empty if the chunk completes none.
        """
        data = self.rest + chunk
        # What has been searched before is left out: an event that comes in many small
        # chunks would take time by the square of its length.
        end = _last_event_end(data, max(0, len(self.rest) - _LONGEST_EVENT_END + 1))
        if not end or not self._has_events_in(data, end):
            self.rest = data
            return b""
        whole_events, self.rest = data[:end], data[end:]
        self._record_last_id(whole_events)
        return whole_events

    def has_partial_event(self):
        """Return whether the stream has stopped in the middle of an event.

        Whole comments and blank lines may follow the last event.
        """
        if not self.rest:
            return False
        return not self.rest.endswith(_LINE_ENDS) or bool(_FIELD.search(self.rest))

    def begin_anew(self):
        """Discard the incomplete event, as another engine sends the rest."""
        self.rest = b""
        self.has_events = False

    def _has_events_in(self, data, end):
        if not self.has_events:
            self.has_events = _FIELD.search(data, 0, end) is not None
        return self.has_events

    def _record_last_id(self, whole_events):
        """Record the id of the last event that has one."""
        last_id = _last_id(whole_events)
        if last_id is not None:
            self.last_event_id = last_id.strip().decode("ascii", "replace")


async def events(response, splitter, continues):
    """Yield the whole events of a stream as they arrive.

    Guards against a success without content: an engine that ends right after its
    headers sends a stream without an event, which would look complete. Only a stream
    that continues another may have none left, and then its end must be marked.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        The answer; its session must use `answers.Connection`.
    splitter : EventSplitter
        Collects the bytes of events that aren't whole yet.
    continues : bool
        Whether the request asks for the rest of a stream.

    Yields
    ------
    whole_events : bytes
        Empty if the bytes that arrived complete no event.

    Raises
    ------
    aiohttp.ClientPayloadError
        After the last whole event, if the stream isn't whole.
    """
    async for chunk in answers.chunks(response):
        yield splitter.feed(chunk)
        if len(splitter.rest) > answers.MAX_EVENT_BYTES:
            response.close()
            raise answers.BrokenAnswerError(
                f"An event exceeds {answers.MAX_EVENT_BYTES} bytes."
            )
    if splitter.has_partial_event():
        raise answers.BrokenAnswerError("The stream ended inside an event.")
    may_be_empty = (
        continues and answers.framing_of(response) is not answers.Framing.CLOSE
    )
    if not splitter.has_events and not may_be_empty:
        raise answers.BrokenAnswerError("The stream ended before its first event.")
    if splitter.rest:
        yield splitter.rest


def _last_event_end(data, start):
    """Return the position after the last event that ends later than a position.

    It is 0 if there is none.
    """
    if data.endswith(_USUAL_EVENT_END):
        return len(data)
    found = ((data.rfind(end, start), end) for end in _EVENT_ENDS)
    return max((at + len(end) for at, end in found if at >= 0), default=0)


def _last_id(data):
    """Return the value of the last line with an id; None if there is none.

    The text "id:" inside a line doesn't count.
    """
    at = len(data)
    while (at := data.rfind(_ID_FIELD, 0, at)) >= 0:
        if at == 0 or data[at - 1 : at] in _LINE_ENDS:
            return _REST_OF_LINE.match(data, at + len(_ID_FIELD))[0]
    return None
