"""Fingerprints of what requests have in common: all content, or prompt parts."""

import functools
import hashlib

_DIGEST_BYTES = 16
# One byte shorter than a whole request's, so that the kind of a fingerprint is known
# wherever it is read.
_PART_DIGEST_BYTES = 15
_PART_DIGITS = 2 * _PART_DIGEST_BYTES
# The most parts of one prompt that have fingerprints, as callers may list many.
_MAX_PARTS = 32
# The fingerprints that are kept, as computing one takes some microseconds.
_MAX_CACHED = 4096


def of_content(*parts):
    """Return a digest of the content of a request.

    Parameters
    ----------
    *parts : bytes
        The parts of the content, such as method, path and body. The length of each is
        hashed too, so that moving bytes from the end of one part to the start of the
        next gives another digest.

    Returns
    -------
    digest : bytes
        16 bytes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def is_of_part(fingerprint):
    """Return whether a fingerprint is that of a prompt part, not of a whole request."""
    return len(fingerprint) == _PART_DIGITS


class Fingerprints:
    """Computes fingerprints of requests from their client account and content.

    A part's fingerprint depends on the account too: its id is what the caller says, so
    that otherwise one account could have the parts of another one refused.

    A fingerprint reveals neither. It is a keyed cryptographic digest: a collision
    would refuse one request for crashes that another caused, and without the key nobody
    can find a request's content by hashing guesses.

    Parameters
    ----------
    key : str
        The secret that all daemons share.
    """

    def __init__(self, key):
        self._key = hashlib.blake2b(key.encode(), digest_size=32).digest()
        self._of_part = functools.lru_cache(_MAX_CACHED)(self._compute_of_part)

    def of(self, account, content):
        """Return the fingerprint of a request.

        Parameters
        ----------
        account : str
            The client account; empty if the request needs none.
        content : bytes or None
            From `of_content`; None if the complete body isn't available.

        Returns
        -------
        fingerprint : str
            32 hexadecimal digits, or empty if `content` is None.
        """
        if content is None:
            return ""
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=self._key)
        digest.update(content)
        digest.update(account.encode())
        return digest.hexdigest()

    def of_parts(self, account, prompt):
        """Return the fingerprints of the parts of a prompt that others may share.

        Parameters
        ----------
        account : str
            The client account; empty if the request needs none.
        prompt : tuple of kvstores.Part
            All parts of the prompt. The last one belongs to the request alone.

        Returns
        -------
        fingerprints : tuple of str
            30 hexadecimal digits each, without repetitions; those of the last parts if
            there are very many.
        """
        shared = prompt[:-1][-_MAX_PARTS:]
        return tuple(
            dict.fromkeys(self._of_part(account, part.part_id) for part in shared)
        )

    def _compute_of_part(self, account, part_id):
        digest = hashlib.blake2b(digest_size=_PART_DIGEST_BYTES, key=self._key)
        digest.update(of_content(account.encode(), part_id.encode()))
        return digest.hexdigest()
