"""The era of the platform's store: which one it is in, and since when this host knows.

After the store has come back from an older copy it truthfully shows what is no longer
so, until the operator and the targets have written again what was lost.
"""

import dataclasses
import datetime

# How long after the store came back its content may still lack what the operator and
# targets had written: they write it again within some moments.
_SETTLED_AFTER = datetime.timedelta(seconds=5)
# The epochs of a lease that belong to one era: more than changes of the whole store.
_EPOCHS_PER_ERA = 2**40


def next_epoch(highest, read_at):
    """Return the epoch of the next holder of a lease.

    Guards against two holders with one epoch, and an epoch below one that was acted
    under, where the record of the last holder is gone and no host that lives remembers
    it. Any epoch of a later era is higher than all of earlier ones. Within an era the
    epoch is at most the number of the write that takes the lease, so that whoever reads
    the lease, or that there is none, after that write takes a higher one.

    Parameters
    ----------
    highest : int
        The highest epoch that is known to have been taken.
    read_at : revisions.Revision
        The store's revision as the lease was last read. Without an era only `highest`
        counts: such a store loses nothing.
    """
    if read_at.era == 0:
        return highest + 1
    return max(highest, read_at.era * _EPOCHS_PER_ERA + read_at.number) + 1


def era_of_epoch(epoch):
    """Return the era that an epoch belongs to."""
    return epoch // _EPOCHS_PER_ERA


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
