"""The start time of this process, and the end of its latest pause."""

import datetime

# A process that ran no step for longer than this was paused: its ticks are 0.1 s apart,
# and in a busy process they are some tenths of a second late.
_PAUSE = datetime.timedelta(seconds=1)


class Pauses:
    """Records the steps of the process, to find the times in which it didn't run.

    Attributes
    ----------
    started_at : datetime.datetime or None
        When the process was started, if known; otherwise the time of its first step.
        Guards against time limits after a start that come too late: a host that counts
        from its first step adds the time that the program takes to load, 1.6 s on a
        busy host.
    woke_at : datetime.datetime or None
        The time of the first step after the latest pause.
    """

    def __init__(self, started_at=None):
        self.started_at = started_at
        self.woke_at = None
        self._last_step_at = None

    def note_step(self, now):
        """Record that the process runs now."""
        if self.started_at is None:
            self.started_at = now
        if self._last_step_at is not None and now - self._last_step_at > _PAUSE:
            self.woke_at = now
        self._last_step_at = now

    def paused_since(self, time):
        """Return whether a pause has ended since a time."""
        return self.woke_at is not None and self.woke_at > time
