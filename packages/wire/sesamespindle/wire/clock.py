"""The clock, as an interface that is passed in."""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Tells the present."""

    def now(self) -> datetime.datetime:
        """Return the present in UTC; it never goes back."""


class SystemClock:
    """The host's clock as it was at the start, moved on by the time since boot.

    Guards against a host clock that is set back while the process runs, which
    would make deadlines and leases last longer than they should. The time
    since boot also counts while the host is suspended, which the monotonic
    clock doesn't: a lease that ran out meanwhile is seen to have run out.
    """

    def __init__(self):
        self._start = datetime.datetime.now(datetime.UTC)
        self._boot_start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self):
        """Return the present in UTC; it never goes back."""
        return self.at(time.clock_gettime(time.CLOCK_BOOTTIME))

    def at(self, since_boot):
        """Return the time in UTC at so many seconds since boot, by this clock."""
        return self._start + datetime.timedelta(seconds=since_boot - self._boot_start)


class ManualClock:
    """A clock that stands still until it is moved."""

    def __init__(self, start):
        self._now = start

    def now(self):
        """Return the time that the clock was last moved to."""
        return self._now

    def advance(self, duration):
        """Move the clock on by a `datetime.timedelta`."""
        self._now += duration
