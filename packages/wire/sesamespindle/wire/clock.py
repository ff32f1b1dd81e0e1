"""The clock that components receive as a parameter, and its implementations."""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Returns the current time."""

    def now(self) -> datetime.datetime:
        """Return the current time in UTC; it never decreases."""


class SystemClock:
    """The host's wall clock at construction, advanced by the time elapsed since.

    Guards against a host clock that is set back while the process runs, which
    would make deadlines and leases last longer than they should. The wall clock
    is read only once, so later changes to it have no effect.

    The elapsed time comes from CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC, it also
    counts while the host is suspended, so a lease that expires during a suspension
    has expired when the host resumes.
    """

    def __init__(self):
        self._start = datetime.datetime.now(datetime.UTC)
        self._boot_start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self):
        """Return the current time in UTC; it never decreases."""
        return self.at(time.clock_gettime(time.CLOCK_BOOTTIME))

    def at(self, since_boot):
        """Return this clock's time in UTC at a given number of seconds since boot."""
        return self._start + datetime.timedelta(seconds=since_boot - self._boot_start)


class ManualClock:
    """A clock for tests; it changes only when `advance` is called."""

    def __init__(self, start):
        self._now = start

    def now(self):
        """Return the time that the clock was last set to."""
        return self._now

    def advance(self, duration):
        """Advance the clock by a `datetime.timedelta`."""
        self._now += duration
