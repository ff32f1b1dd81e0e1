"""The declarations on the platform: documents by digest, and one head."""

import asyncio
import dataclasses

from sesamespindle.declare import documents
from sesamespindle.wire import platform

HEAD_KIND = "heads"
HEAD_NAME = "declarations"
DOCUMENT_KIND = "documents"
_NONCES_KEPT = 200
_READS_AT_ONCE = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The set of documents in force.

    Attributes
    ----------
    revision : int
        Rises by one with every accepted change.
    digest_by_key : dict of str to str
        Digests of the documents, by kind and name.
    nonces : tuple of str
        The nonces of the latest changes, newest last.
    """

    revision: int = 0
    digest_by_key: dict = dataclasses.field(default_factory=dict)
    nonces: tuple[str, ...] = ()

    def to_value(self):
        """Return the head as JSON values."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHead:
    """A head and the version of its object; version 0 where there is none."""

    head: Head
    version: int


def from_object(found):
    """Return the `StoredHead` of an object, or of None."""
    if found is None:
        return StoredHead(Head(), 0)
    value = found.value
    head = Head(value["revision"], value["digest_by_key"], tuple(value["nonces"]))
    return StoredHead(head, found.version)


async def read(client):
    """Return the head in force."""
    return from_object(await client.get(HEAD_KIND, HEAD_NAME))


async def move(client, stored, digest_by_key, nonce):
    """Put a new set in force in place of the one that was read.

    Returns
    -------
    moved : Head
        The new head.

    Raises
    ------
    platform.ConflictError
        If the head was moved in between.
    platform.PlatformAwayError
        If the platform can't say.
    """
    nonces = (*stored.head.nonces, nonce)[-_NONCES_KEPT:]
    moved = Head(stored.head.revision + 1, digest_by_key, nonces)
    await platform.write_surely(
        client,
        HEAD_KIND,
        HEAD_NAME,
        moved.to_value(),
        stored.version,
        lambda value: nonce in value["nonces"],
    )
    return moved


async def store_documents(client, entities):
    """Write the documents of entities, unless they are there already."""

    async def store(entity):
        # Whoever wrote a document of this digest wrote the same content.
        await platform.write_surely(
            client,
            DOCUMENT_KIND,
            entity.digest,
            entity.content,
            replaces=0,
            is_ours=lambda value: True,
        )

    for batch in _batches(list(entities)):
        await asyncio.gather(*(store(entity) for entity in batch))


async def read_documents(client, digests):
    """Return the contents of documents, by digest."""
    content_by_digest = {}
    for batch in _batches(sorted(digests)):
        found = await asyncio.gather(
            *(client.get(DOCUMENT_KIND, digest) for digest in batch)
        )
        for digest, item in zip(batch, found, strict=True):
            if item is None:
                raise platform.PlatformAwayError(f"No document {digest}.")
            content_by_digest[digest] = item.value
    return content_by_digest


def entities_of(head, content_by_digest):
    """Return the checked entities of a head, by key."""
    digests = head.digest_by_key.values()
    return documents.from_contents(content_by_digest[digest] for digest in digests)


def _batches(items):
    for start in range(0, len(items), _READS_AT_ONCE):
        yield items[start : start + _READS_AT_ONCE]
