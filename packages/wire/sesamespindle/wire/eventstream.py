"""Splitting of a byte stream of server-sent events into whole events."""

import re

_EVENT_END = b"\n\n"
_ID_FIELD = b"id:"
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
        Whether there was a whole event. Comments are none; those before the first
        event come with it.
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
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END) or not self._has_events_in(data, end):
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

    def discard_partial_event(self):
        """Discard the incomplete event, as another engine sends a new stream."""
        self.rest = b""

    def _has_events_in(self, data, end):
        if not self.has_events:
            self.has_events = _FIELD.search(data, 0, end) is not None
        return self.has_events

    def _record_last_id(self, whole_events):
        """Record the id of the last event that has one.

        Only a line that starts with ``id:`` counts, not that text inside data.
        """
        start = whole_events.rfind(_ID_FIELD)
        while start > 0 and whole_events[start - 1] != ord("\n"):
            start = whole_events.rfind(_ID_FIELD, 0, start)
        if start >= 0:
            line = whole_events[start + len(_ID_FIELD) :].partition(b"\n")[0]
            self.last_event_id = line.strip().decode("ascii", "replace")
