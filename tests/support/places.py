"""Short forms of `revisions.Revision` for tests."""

import dataclasses

from sesamespindle.decide import revisions


def at(number, era=0):
    """Return the place of a change in the store's history."""
    return revisions.Revision(era, number)


def after(revision):
    """Return the next place in the same era."""
    return dataclasses.replace(revision, number=revision.number + 1)
