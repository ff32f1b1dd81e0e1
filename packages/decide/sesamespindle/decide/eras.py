"""The era of the platform's store: which one it is in, and since when this host knows.

After the store has come back from an older copy it truthfully shows what is no longer
so, until the operator and the targets have written again what was lost.
"""

import dataclasses
import datetime

# How long after the store came back its content may still lack what the operator and
# targets had written: they write it again within some moments.
_SETTLED_AFTER = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class EraSeen:
    """Event: an answer of the store told its era."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class EraRaised:
    """Command: drop the store's answers of eras before this one."""

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store has come back from an older copy since this host read it.

    The decision logic passes it to its components as an event, and emits it as a
    command: what was read in earlier eras must be read again.
    """

    era: int


class Eras:
    """Keeps the highest era that any answer or peer has told.

    Attributes
    ----------
    current : int
        That era; 0 if none was told.
    known_since : datetime.datetime or None
        Since when this host knows it.
    restored_at : datetime.datetime or None
        When this host learned that the store had come back; None if it hasn't since
        this host knows it.
    """

    def __init__(self):
        self.current = 0
        self.known_since = None
        self.restored_at = None

    def note(self, era, now):
        """Note an era that was told; return whether it is higher than any before."""
        if era <= self.current:
            return False
        self.current, self.known_since = era, now
        return True

    def note_restored(self, now):
        """Note that the present era began after this host had read earlier ones."""
        self.restored_at = now

    def is_settling(self, now):
        """Return whether what the store shows may be older than what is known."""
        return self.restored_at is not None and not self.has_settled(now)

    def has_settled(self, now):
        """Return whether all that was lost has been written again, if anything was."""
        return self.restored_at is None or now - self.restored_at >= _SETTLED_AFTER
