"""Comparing and applying complete sets of declarations.

A base file records the head that a folder of declarations was written on. It lets an
apply distinguish the folder's own changes from those that other operators have made
since.
"""

import dataclasses
import json
import secrets

from sesamespindle.cli import outcomes
from sesamespindle.declare import documents, findings
from sesamespindle.wire import head, platform

_MAX_ATTEMPTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The keys of entities that an apply would add, change and remove."""

    added: tuple[str, ...]
    changed: tuple[str, ...]
    removed: tuple[str, ...]

    def __bool__(self):
        return bool(self.added or self.changed or self.removed)

    @property
    def all_keys(self):
        """Return the set of all keys in the change."""
        return {*self.added, *self.changed, *self.removed}

    def lines(self):
        """Return one line of text for each key, marked with ``+``, ``~`` or ``-``."""
        marks = (("+", self.added), ("~", self.changed), ("-", self.removed))
        return [f"{mark} {key}" for mark, keys in marks for key in keys]


def compare(old, new):
    """Return the `Change` from one mapping of keys to digests to another."""
    return Change(
        tuple(sorted(new.keys() - old.keys())),
        tuple(sorted(key for key in new.keys() & old.keys() if new[key] != old[key])),
        tuple(sorted(old.keys() - new.keys())),
    )


def digests(entity_by_key):
    """Return the digests of entities, by key."""
    return {key: entity.digest for key, entity in entity_by_key.items()}


def read_base(path):
    """Return the `head.Head` that a base file records, or None if there is no file."""
    if path is None or not path.exists():
        return None
    value = json.loads(path.read_text("utf-8"))
    return head.Head(value["revision"], value["digest_by_key"])


def write_base(path, entity_by_key, revision):
    """Write the base file that the folder's next change is compared with."""
    value = {"revision": revision, "digest_by_key": digests(entity_by_key)}
    path.write_text(json.dumps(value, indent=1, sort_keys=True) + "\n", "utf-8")


async def apply(client, entity_by_key, base_head=None):
    """Activate a set of declarations and return the new head.

    Guards against an outdated folder that reverts another operator's change. Only
    the difference between the folder and its base head is applied, on top of the
    active configuration; if both sides changed the same key to different contents,
    the apply fails. Without a base head, the folder is compared with the current head.

    Guards against two changes that are each valid but invalid together, such as two
    contracts that together exceed a pool's limit. The combined set is validated
    again on every head that differs from the base.

    Parameters
    ----------
    client : platform.PlatformClient
        The platform's client.
    entity_by_key : dict of str to documents.Entity
        The complete new set.
    base_head : head.Head, optional
        The base head, which the set was written on.

    Returns
    -------
    new_head : head.Head
        The new head, or the current one if the set changes nothing.

    Raises
    ------
    outcomes.CommandError
        If the change conflicts with another one, the combined set is invalid, or
        other changes come first in every attempt.
    platform.PlatformUnavailableError
        If the platform is unavailable; the change may or may not have taken effect.
    """
    current = await head.read(client)
    base = base_head or current.head
    wanted = digests(entity_by_key)
    change = compare(base.digest_by_key, wanted)
    if not change:
        return current.head
    await head.store_documents(client, entity_by_key.values())
    nonce = secrets.token_hex(8)
    for _ in range(_MAX_ATTEMPTS):
        rebased = _rebase(base, current, change, wanted)
        if current.head.digest_by_key != base.digest_by_key:
            await _check_whole_set(client, rebased)
        try:
            return await head.replace(client, current, rebased, nonce)
        except platform.ConflictError as error:
            current = head.stored_head_of(error.found)
    raise outcomes.CommandError(
        f"Other changes came first in {_MAX_ATTEMPTS} attempts in a row.",
        outcomes.Exit.CONFLICT,
    )


def _rebase(base, current, change, wanted):
    """Return the digests by key of the current head with the change applied to it."""
    concurrent = compare(base.digest_by_key, current.head.digest_by_key)
    conflicting = sorted(
        key
        for key in change.all_keys & concurrent.all_keys
        if current.head.digest_by_key.get(key) != wanted.get(key)
    )
    if conflicting:
        raise outcomes.CommandError(
            f"Another operator changed {', '.join(conflicting)} in revision "
            f"{current.head.revision}, after revision {base.revision}.",
            outcomes.Exit.CONFLICT,
        )
    rebased = dict(current.head.digest_by_key)
    for key in (*change.added, *change.changed):
        rebased[key] = wanted[key]
    for key in change.removed:
        rebased.pop(key, None)
    return rebased


async def _check_whole_set(client, digest_by_key):
    content_by_digest = await head.read_documents(client, set(digest_by_key.values()))
    try:
        documents.from_contents(content_by_digest.values())
    except findings.FindingsError as error:
        raise outcomes.CommandError(
            f"Combined with another operator's change, the set is invalid: {error}",
            outcomes.Exit.CONFLICT,
        ) from error
