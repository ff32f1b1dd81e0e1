"""Deterministic answers of the stand-in engine.

Each token is a hash of the prompt and of the token's position, so a test can compute
the correct answer to a prompt and detect a lost, repeated or foreign token.
"""

import hashlib

_DIGEST_BYTES = 4


def token(prompt_digest, position):
    """Return the token at a position of the answer to a prompt.

    Parameters
    ----------
    prompt_digest : bytes
        The prompt's `digest`.
    position : int
        The token's position in the answer, counted from 1.
    """
    token_hash = hashlib.blake2b(
        prompt_digest + position.to_bytes(4, "big"), digest_size=_DIGEST_BYTES
    )
    return f"{token_hash.hexdigest()} "


def digest(prompt):
    """Return the 16-byte digest of a prompt that `token` takes."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


def expected(prompt, count):
    """Return the complete answer to a prompt, of `count` tokens."""
    prompt_digest = digest(prompt)
    return "".join(token(prompt_digest, position) for position in range(1, count + 1))
