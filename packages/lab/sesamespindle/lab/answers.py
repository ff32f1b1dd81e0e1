"""The answers of the stand-in engine, which spell their own prompt."""

import hashlib

_DIGEST_BYTES = 4


def token(prompt_digest, position):
    """Return the token at a position, from 1, of the answer to a prompt."""
    raw = hashlib.blake2b(
        prompt_digest + position.to_bytes(4, "big"), digest_size=_DIGEST_BYTES
    )
    return f"{raw.hexdigest()} "


def digest(prompt):
    """Return what `token` needs of a prompt."""
    return hashlib.blake2b(prompt.encode(), digest_size=16).digest()


def expected(prompt, count):
    """Return the whole answer of a number of tokens to a prompt."""
    prompt_digest = digest(prompt)
    return "".join(token(prompt_digest, place) for place in range(1, count + 1))
