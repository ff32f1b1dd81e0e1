"""A bounded log of events, stamped so that all daemons' logs can be merged."""

import collections
import dataclasses

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1


class HybridClock:
    """A hybrid logical clock: milliseconds, and a counter for ties.

    A stamp is larger than every stamp that was seen before it, here or in a
    message, so the order of stamps keeps causes before their effects even
    where hosts' clocks differ.

    Parameters
    ----------
    clock : sesamespindle.wire.clock.Clock
        The host's clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last = 0

    def stamp(self):
        """Return a new stamp, larger than all before."""
        milliseconds = int(self._clock.now().timestamp() * 1000)
        self._last = max(self._last + 1, milliseconds << _COUNTER_BITS)
        return self._last

    def merge(self, other):
        """Take in the stamp of a message."""
        self._last = max(self._last, other)


def milliseconds_of(stamp):
    """Return the milliseconds since the epoch of a stamp."""
    return stamp >> _COUNTER_BITS


def counter_of(stamp):
    """Return the counter of a stamp."""
    return stamp & _COUNTER_MASK


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One event: what happened to what, where and when."""

    stamp: int
    daemon: str
    kind: str
    subject: str
    detail: str


class EventLog:
    """The latest events of one daemon.

    Parameters
    ----------
    daemon : str
        The daemon's name.
    clock : HybridClock
        Where stamps come from.
    size : int
        How many events are kept.
    """

    def __init__(self, daemon, clock, size):
        self.clock = clock
        self._daemon = daemon
        self._entries = collections.deque(maxlen=size)

    def add(self, kind, subject, detail=""):
        """Add an event."""
        entry = Entry(self.clock.stamp(), self._daemon, kind, subject, detail)
        self._entries.append(entry)

    def after(self, stamp):
        """Return the events with larger stamps, oldest first."""
        return [entry for entry in self._entries if entry.stamp > stamp]
