"""The clock, as an interface that is passed in."""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Tells the present."""

    def now(self) -> datetime.datetime:
        """Return the present in UTC; it never goes back."""


class SystemClock:
    """The host's clock as it was at the start, moved on by the monotonic one.

    Guards against a host clock that is set back while the process runs, which
    would make deadlines and leases last longer than they should.
    """

    def __init__(self):
        self._start = datetime.datetime.now(datetime.UTC)
        self._monotonic_start = time.monotonic()

    def now(self):
        """Return the present in UTC; it never goes back."""
        passed = time.monotonic() - self._monotonic_start
        return self._start + datetime.timedelta(seconds=passed)


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
