"""Cutting a stream of server-sent events into whole events."""

_END = b"\n\n"
_ID = b"id:"


class EventCutter:
    """Collects bytes and gives back whole events.

    Guards against an engine that stops in the middle of an event: the half
    would reach the caller, and the rest of the stream, made by another engine,
    would be joined to it.
    """

    def __init__(self):
        self._rest = b""
        self.last_id = None

    def feed(self, chunk):
        """Return the bytes of the events that are whole now."""
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
        """Return whether the stream stands in the middle of an event."""
        return bool(self._rest.strip())

    def restart(self):
        """Forget the half event of an engine that stopped."""
        self._rest = b""

    def _note_id(self, whole):
        start = whole.rfind(_ID)
        while start > 0 and whole[start - 1] != ord("\n"):
            start = whole.rfind(_ID, 0, start)
        if start >= 0:
            line = whole[start + len(_ID) :].partition(b"\n")[0]
            self.last_id = line.strip().decode("ascii", "replace")
