"""Splitting of a byte stream of server-sent events into whole events."""

import re

from sesamespindle.wire import answers

_USUAL_EVENT_END = b"\n\n"
# Lines end with LF, CR LF or CR, and a blank line ends an event.
_EVENT_END = re.compile(rb"\r?\n\r?\n|\r\r")
_LONGEST_EVENT_END = len(b"\r\n\r\n")
# The text "id:" inside data doesn't count.
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
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
        ids = _ID_LINE.findall(whole_events)
        if ids:
            self.last_event_id = ids[-1].strip().decode("ascii", "replace")


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
    end = 0
    for found in _EVENT_END.finditer(data, start):
        end = found.end()
    return end
