"""Comparing and applying whole sets of declarations."""

import dataclasses
import secrets

from sesamespindle.cli import outcomes
from sesamespindle.declare import documents, findings
from sesamespindle.wire import head, platform

_MOST_TRIES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an apply would add, change and remove, by key."""

    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]

    def __bool__(self):
        return bool(self.added or self.changed or self.removed)

    @property
    def touched(self):
        """Return all keys of the change."""
        return {*self.added, *self.changed, *self.removed}

    def lines(self):
        """Return the change as lines for people."""
        marks = (("+", self.added), ("~", self.changed), ("-", self.removed))
        return [f"{mark} {key}" for mark, keys in marks for key in keys]


def compare(old, new):
    """Return the `Change` between two mappings of keys to digests."""
    return Change(
        tuple(sorted(new.keys() - old.keys())),
        tuple(sorted(key for key in new.keys() & old.keys() if new[key] != old[key])),
        tuple(sorted(old.keys() - new.keys())),
    )


def digests(entity_by_key):
    """Return the digests of entities, by key."""
    return {key: entity.digest for key, entity in entity_by_key.items()}


async def apply(client, entity_by_key):
    """Put a set of declarations in force and return the new head.

    The set was written on the head as it is now. If another operator moves
    the head in between, the change is tried on the new head, unless both
    changed the same key. The whole set is checked again on every new head:
    guards against two changes that are right one by one and wrong together,
    such as two contracts that exceed a pool's limit.

    Raises
    ------
    outcomes.CommandError
        If the changes conflict, or the platform can't say.
    """
    base = await head.read(client)
    wanted = digests(entity_by_key)
    change = compare(base.head.digest_by_key, wanted)
    if not change:
        return base.head
    await head.store_documents(client, entity_by_key.values())
    nonce = secrets.token_hex(8)
    current = base
    for _ in range(_MOST_TRIES):
        target = _rebase(base, current, change, wanted)
        if current is not base:
            await _check_together(client, target)
        try:
            return await head.move(client, current, target, nonce)
        except platform.ConflictError as error:
            current = head.from_object(error.found)
    raise outcomes.CommandError(
        f"Others changed the declarations {_MOST_TRIES} times in between.",
        outcomes.Exit.CONFLICT,
    )


def _rebase(base, current, change, wanted):
    """Return the change on top of another head."""
    between = compare(base.head.digest_by_key, current.head.digest_by_key)
    both = sorted(change.touched & between.touched)
    if both:
        raise outcomes.CommandError(
            f"Another operator changed {', '.join(both)} in revision "
            f"{current.head.revision}, after revision {base.head.revision}.",
            outcomes.Exit.CONFLICT,
        )
    target = dict(current.head.digest_by_key)
    for key in (*change.added, *change.changed):
        target[key] = wanted[key]
    for key in change.removed:
        target.pop(key, None)
    return target


async def _check_together(client, digest_by_key):
    content_by_digest = await head.read_documents(client, set(digest_by_key.values()))
    try:
        documents.from_contents(content_by_digest.values())
    except findings.FindingsError as error:
        raise outcomes.CommandError(
            f"With another operator's change the whole set is wrong: {error}",
            outcomes.Exit.CONFLICT,
        ) from error
