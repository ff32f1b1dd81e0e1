"""Rendezvous hashing, and the identity of blocks of context.

Placement uses xxhash, which is fast. The identity of blocks uses a keyed
BLAKE2b, because a collision there would show one client account the context
of another.
"""

import hashlib

import xxhash

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
_DIGEST_BYTES = 16


def rank(key, names):
    """Return the names in the order of their rendezvous weight for a key."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(names, key=lambda name: _weight(name, seed), reverse=True)


def first(key, names):
    """Return the name with the highest rendezvous weight, or None."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return max(names, key=lambda name: _weight(name, seed), default=None)


def _weight(name, seed):
    return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)


def salt(account, model, version, adapter=""):
    """Return the key that starts every chain of one account and weight version.

    Account and version are inside the hash, so a block of another account or
    version can never match, whatever the prompts say.
    """
    text = "\0".join((account, model, version, adapter))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


def chain(chain_salt, text):
    """Return the ids of the full blocks of a prompt, each over all before it.

    Parameters
    ----------
    chain_salt : bytes
        From `salt`.
    text : str
        The rendered prompt. A last block that isn't full has no id.

    Returns
    -------
    ids : tuple of str
        One hexadecimal id for each `BLOCK_BYTES` of UTF-8.
    """
    raw = text.encode()
    ids = []
    digest = chain_salt
    for start in range(0, len(raw) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = raw[start : start + BLOCK_BYTES]
        digest = hashlib.blake2b(block, key=digest, digest_size=_DIGEST_BYTES).digest()
        ids.append(digest.hex())
    return tuple(ids)


def checkpoints(ids):
    """Return the few ids that stand for a chain: at 1, 2, 4, ... and the last.

    A table by checkpoint grows with the logarithm of a context's length, and
    still finds at least half of any shared beginning.
    """
    positions = []
    position = 1
    while position < len(ids):
        positions.append(position)
        position *= 2
    if ids:
        positions.append(len(ids))
    return tuple((position, ids[position - 1]) for position in positions)


def token_count(text):
    """Return the number of tokens that a text counts for."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)
