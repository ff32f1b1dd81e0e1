"""A bounded log of events, with stamps by which logs of all daemons can be merged."""

import collections
import dataclasses

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1
# No clock of a host is ahead of another by more than this.
_MAX_LEAD_MILLISECONDS = 24 * 3600 * 1000


class HybridClock:
    """A hybrid logical clock: wall clock milliseconds, and a counter for ties.

    A stamp is larger than every stamp that was made here or received in a message
    before. So causes have smaller stamps than their effects, even if the clocks of
    hosts differ.

    Parameters
    ----------
    clock : sesamespindle.wire.clock.Clock
        The host's clock.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last = 0

    def stamp(self):
        """Return a new stamp, larger than all before.

        Returns
        -------
        stamp : int
            Milliseconds since the Unix epoch in the upper bits, and a counter in the
            lower 16 bits.
        """
        self._last = max(self._last + 1, self._milliseconds() << _COUNTER_BITS)
        return self._last

    def merge(self, other):
        """Advance the clock to the stamp of a received message, if that is larger.

        Guards against a peer whose stamp is far ahead of every clock: all hosts would
        adopt it, until no message could hold what follows it.
        """
        latest = self._milliseconds() + _MAX_LEAD_MILLISECONDS
        if milliseconds_of(other) <= latest:
            self._last = max(self._last, other)

    def _milliseconds(self):
        return int(self._clock.now().timestamp() * 1000)


def milliseconds_of(stamp):
    """Return the time of a stamp, in milliseconds since the Unix epoch."""
    return stamp >> _COUNTER_BITS


def counter_of(stamp):
    """Return the counter of a stamp."""
    return stamp & _COUNTER_MASK


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """An event.

    Attributes
    ----------
    stamp : int
        When it happened, by `HybridClock.stamp`.
    daemon : str
        The name of the daemon that recorded it.
    kind : str
        What happened.
    subject : str
        What it happened to, such as a request id or the name of a target.
    detail : str
        Details for the operator.
    """

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
        Stamps the events.
    size : int
        The number of events to keep.
    """

    def __init__(self, daemon, clock, size):
        self.clock = clock
        self._daemon = daemon
        self._entries = collections.deque(maxlen=size)

    def add(self, kind, subject, detail=""):
        """Record an event, with a new stamp."""
        entry = Entry(self.clock.stamp(), self._daemon, kind, subject, detail)
        self._entries.append(entry)

    def after(self, stamp):
        """Return the events with larger stamps, oldest first."""
        return [entry for entry in self._entries if entry.stamp > stamp]
