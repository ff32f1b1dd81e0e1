"""Since when this process runs, and when it last woke up from a pause."""

import datetime

# A process that took no step for this long was paused: its ticks are 0.1 s apart,
# and a busy one is some tenths of a second late.
_PAUSE = datetime.timedelta(seconds=1)


class Pauses:
    """Notes every step of the process, to find out what it can't have seen.

    Attributes
    ----------
    started_at : datetime.datetime or None
        When the process was started, as far as it knows; the first step otherwise.
        Guards against a host that counts from its first step, and so allows itself
        the time of loading once more: 1.6 s where the host is busy.
    woke_at : datetime.datetime or None
        The first step after the latest pause.
    """

    def __init__(self, started_at=None):
        self.started_at = started_at
        self.woke_at = None
        self._stepped_at = None

    def note_step(self, now):
        """Take in that the process runs now."""
        if self.started_at is None:
            self.started_at = now
        if self._stepped_at is not None and now - self._stepped_at > _PAUSE:
            self.woke_at = now
        self._stepped_at = now

    def paused_since(self, time):
        """Return whether a pause has ended after a time."""
        return self.woke_at is not None and self.woke_at > time
