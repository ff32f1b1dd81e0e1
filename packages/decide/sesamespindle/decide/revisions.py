"""Places in the history of the platform's store, and their one order.

The store counts its changes. It may come back from an older copy; then it counts on
from there, so that numbers are given out again for other changes, and its era rises.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Revision:
    """A place in the store's history; any place of a later era comes later.

    Guards against two places with one number that are taken for the same, or for each
    other's past: a bare number can't be compared with a place.

    Attributes
    ----------
    era : int
        How often the store has come back from a copy; 0 for a store that doesn't tell.
    number : int
        The number of the change within the era.
    """

    era: int = 0
    number: int = 0

    def __str__(self):
        return f"{self.number} of era {self.era}" if self.era else f"{self.number}"

    def __bool__(self):
        raise TypeError("Compare a revision with `NEVER`; it has no truth value.")

    def before(self):
        """Return the place just before this one."""
        return Revision(self.era, max(0, self.number - 1))


# Earlier than any place of a change.
NEVER = Revision()
