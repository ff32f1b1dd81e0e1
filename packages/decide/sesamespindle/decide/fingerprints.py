"""Fingerprints that identify equal requests regardless of their ids."""

import hashlib

_DIGEST_BYTES = 16


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


class Fingerprints:
    """Computes fingerprints of requests from their client account and content.

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
