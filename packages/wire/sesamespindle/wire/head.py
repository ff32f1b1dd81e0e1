"""The declarations as the platform stores them.

Each declared document is an immutable object named by the digest of its content. One
object, the head, lists the digests of all documents of the active configuration. A
change writes its new documents first and then replaces the head.
"""

import asyncio
import dataclasses

from sesamespindle.declare import documents
from sesamespindle.wire import platform

HEAD_KIND = "heads"
HEAD_NAME = "declarations"
DOCUMENT_KIND = "documents"
_NONCES_KEPT = 200
_CONCURRENT_CALLS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The list of documents that make up the active configuration.

    Attributes
    ----------
    revision : int
        Increases by one with every accepted change.
    digest_by_key : dict of str to str
        Digests of the documents, by ``"{kind}/{name}"``.
    nonces : tuple of str
        The nonces of the latest changes, newest last. A writer whose answer was
        lost finds its own change by them.
    """

    revision: int = 0
    digest_by_key: dict = dataclasses.field(default_factory=dict)
    nonces: tuple[str, ...] = ()

    def to_json_value(self):
        """Return the head as plain JSON values."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredHead:
    """A head and the version of its object; version 0 if there is no object yet."""

    head: Head
    version: int


def stored_head_of(found):
    """Return the `StoredHead` of a `platform.Object`, or an empty one for None."""
    if found is None:
        return StoredHead(Head(), 0)
    value = found.value
    head = Head(value["revision"], value["digest_by_key"], tuple(value["nonces"]))
    return StoredHead(head, found.version)


async def read(client):
    """Return the current `StoredHead`."""
    return stored_head_of(await client.get(HEAD_KIND, HEAD_NAME))


async def replace(client, stored, digest_by_key, nonce):
    """Replace the head that was read, which activates another set of documents.

    Parameters
    ----------
    client : platform.PlatformClient
        The platform's client.
    stored : StoredHead
        The head as it was read.
    digest_by_key : dict of str to str
        The digests of the new set; its documents must be stored already.
    nonce : str
        A value that identifies this change.

    Returns
    -------
    new_head : Head
        The new head.

    Raises
    ------
    platform.ConflictError
        If another change replaced the head since it was read.
    platform.PlatformUnavailableError
        If it can't be determined whether the head was replaced.
    """
    nonces = (*stored.head.nonces, nonce)[-_NONCES_KEPT:]
    new_head = Head(stored.head.revision + 1, digest_by_key, nonces)
    await platform.write_confirmed(
        client,
        HEAD_KIND,
        HEAD_NAME,
        new_head.to_json_value(),
        stored.version,
        lambda value: nonce in value["nonces"],
    )
    return new_head


async def store_documents(client, entities):
    """Write the documents of entities that the platform does not have yet."""

    async def store(entity):
        # A document that exists under this digest has the same content.
        await platform.write_confirmed(
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
    """Return the contents of documents, by digest.

    Raises
    ------
    platform.PlatformUnavailableError
        If the platform does not answer, or lacks one of the documents.
    """
    content_by_digest = {}
    for batch in _batches(sorted(digests)):
        found = await asyncio.gather(
            *(client.get(DOCUMENT_KIND, digest) for digest in batch)
        )
        for digest, document in zip(batch, found, strict=True):
            if document is None:
                raise platform.PlatformUnavailableError(
                    f"The platform has no document {digest}."
                )
            content_by_digest[digest] = document.value
    return content_by_digest


def validated_entities(head, content_by_digest):
    """Return the validated entities of a head, by key.

    Raises
    ------
    findings.FindingsError
        If any document is invalid, or the documents are invalid together.
    """
    digests = head.digest_by_key.values()
    return documents.from_contents(content_by_digest[digest] for digest in digests)


def _batches(items):
    for start in range(0, len(items), _CONCURRENT_CALLS):
        yield items[start : start + _CONCURRENT_CALLS]
