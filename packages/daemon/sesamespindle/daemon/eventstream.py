"""Splitting of a byte stream of server-sent events into whole events."""

_END = b"\n\n"
_ID = b"id:"


class EventCutter:
    """Buffers the bytes of a stream until they form whole events.

    Guards against an engine that fails in the middle of an event. If the caller got
    the first half, the events with which another engine continues the stream would
    be appended to it, and the caller would read a corrupt event.

    Attributes
    ----------
    last_id : str or None
        The id of the last whole event that had one, from which another engine can
        continue; None if there was none.
    """

    def __init__(self):
        self._rest = b""
        self.last_id = None

    def feed(self, chunk):
        """Add bytes to the stream, and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            The next bytes of the stream, divided anywhere.

        Returns
        -------
        whole : bytes
            One or more whole events; empty if the chunk completes none.
        """
        data = self._rest + chunk
        end = data.rfind(_END)
        if end < 0:
            self._rest = data
            return b""
        end += len(_END)
        whole, self._rest = data[:end], data[end:]
        self._note_id(whole)
        return whole

    def has_rest(self):
        """Return whether the stream has stopped in the middle of an event."""
        return bool(self._rest.strip())

    def restart(self):
        """Discard the incomplete event, as another engine sends a new stream."""
        self._rest = b""

    def _note_id(self, whole):
        """Record the id of the last event that has one.

        Only a line that starts with ``id:`` counts, not that text inside data.
        """
        start = whole.rfind(_ID)
        while start > 0 and whole[start - 1] != ord("\n"):
            start = whole.rfind(_ID, 0, start)
        if start >= 0:
            line = whole[start + len(_ID) :].partition(b"\n")[0]
            self.last_id = line.strip().decode("ascii", "replace")
