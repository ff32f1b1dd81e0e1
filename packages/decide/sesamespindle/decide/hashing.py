"""Rendezvous hashing, and ids of the blocks of a context.

Rendezvous hashing uses xxhash, which is fast. Block ids use keyed BLAKE2b, as a
collision of those would show one client account the context of another.
"""

import hashlib
import heapq
import math

import xxhash

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN
_DIGEST_BYTES = 16
_HASHES = 2.0**64


def rank(key, names):
    """Return the names by falling rendezvous weight for a key.

    Parameters
    ----------
    key : str
        What is assigned to the names.
    names : iterable of str
        The names; their order makes no difference.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return sorted(names, key=lambda name: _weight(name, seed), reverse=True)


def top(key, names, count):
    """Return the names with the highest rendezvous weights for a key, highest first."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return heapq.nlargest(count, names, key=lambda name: _weight(name, seed))


def top_weighted(key, weight_by_name, count):
    """Return a weighted sample of names, the same for a key as long as they stay.

    Each name's chance to be first is its share of all weights. A name that joins takes
    the place of one other at most, and so does one that leaves.

    Parameters
    ----------
    key : str
        What the sample is for.
    weight_by_name : dict of str to float
        Weights above 0.
    count : int
        The size of the sample.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())

    def score(name):
        uniform = (_weight(name, seed) + 0.5) / _HASHES
        return -weight_by_name[name] / math.log(uniform)

    return heapq.nlargest(count, weight_by_name, key=score)


def first(key, names):
    """Return the name with the highest rendezvous weight for a key, or None."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    return max(names, key=lambda name: _weight(name, seed), default=None)


def number(text):
    """Return a number of 64 bits that stands for a text in messages between hosts."""
    return xxhash.xxh3_64_intdigest(text.encode())


def _weight(name, seed):
    return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)


def salt(account, model, version, adapter=""):
    """Return the salt of the block ids of one account, model, version and adapter.

    It starts each chain of block ids, see `chain`. The account and the weight version
    are part of the hash, so a block of another account or version can't match, whatever
    the prompts contain.

    Returns
    -------
    salt : bytes
        The key of the first block's hash, 16 bytes.
    """
    text = "\0".join((account, model, version, adapter))
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


def chain(chain_salt, text):
    """Return the ids of the full blocks of a prompt.

    Each id depends on its block and all blocks before it, so the ids form a chain.

    Parameters
    ----------
    chain_salt : bytes
        From `salt`.
    text : str
        The rendered prompt. A last block that isn't full gets no id.

    Returns
    -------
    ids : tuple of str
        One hexadecimal id for each `BLOCK_BYTES` bytes of UTF-8.
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
    """Return the ids of a chain at the positions 1, 2, 4, ... and at the last one.

    A table with these ids as keys grows only with the logarithm of a context's length,
    and still finds at least half of any shared prefix.

    Returns
    -------
    checkpoints : tuple of (int, str)
        Each position, counted from 1, with its id.
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
    """Return the number of tokens that a text is counted as, by its UTF-8 length."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)
