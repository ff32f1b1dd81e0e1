"""Comparing and applying whole sets of declarations."""

import dataclasses
import json
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


def read_base(path):
    """Return the head that a set of declarations was written on, or None."""
    if path is None or not path.exists():
        return None
    value = json.loads(path.read_text("utf-8"))
    return head.Head(value["revision"], value["digest_by_key"])


def write_base(path, entity_by_key, revision):
    """Keep the set that is now in force, for the next change of the folder."""
    value = {"revision": revision, "digest_by_key": digests(entity_by_key)}
    path.write_text(json.dumps(value, indent=1, sort_keys=True) + "\n", "utf-8")


async def apply(client, entity_by_key, written_on=None):
    """Put a set of declarations in force and return the new head.

    Guards against a folder that is behind taking another operator's change
    back: only what changed since the head that it was written on (without one,
    the head as it is now) is applied, on top of whatever is in force, unless
    both changed the same key. The whole set is checked again on every new head:
    guards against two changes that are right one by one and wrong together,
    such as two contracts that exceed a pool's limit.

    Raises
    ------
    outcomes.CommandError
        If the changes conflict, or the platform can't say.
    """
    current = await head.read(client)
    base = written_on or current.head
    wanted = digests(entity_by_key)
    change = compare(base.digest_by_key, wanted)
    if not change:
        return current.head
    await head.store_documents(client, entity_by_key.values())
    nonce = secrets.token_hex(8)
    for _ in range(_MOST_TRIES):
        target = _rebase(base, current, change, wanted)
        if current.head.digest_by_key != base.digest_by_key:
            await _check_together(client, target)
        try:
            return await head.replace(client, current, target, nonce)
        except platform.ConflictError as error:
            current = head.from_object(error.found)
    raise outcomes.CommandError(
        f"Others changed the declarations {_MOST_TRIES} times in between.",
        outcomes.Exit.CONFLICT,
    )


def _rebase(base, current, change, wanted):
    """Return the change on top of another head."""
    between = compare(base.digest_by_key, current.head.digest_by_key)
    both = sorted(
        key
        for key in change.touched & between.touched
        if current.head.digest_by_key.get(key) != wanted.get(key)
    )
    if both:
        raise outcomes.CommandError(
            f"Another operator changed {', '.join(both)} in revision "
            f"{current.head.revision}, after revision {base.revision}.",
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
