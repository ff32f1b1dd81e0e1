"""What makes two requests the same, whatever ids they bear."""

import hashlib

_DIGEST_BYTES = 16


def of_content(*parts):
    """Return a digest of what a caller sends.

    Parameters
    ----------
    parts : bytes
        Such as method, path and body. Each counts with its length, so that the end
        of one can't be taken for the beginning of the next.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


class Fingerprints:
    """Names requests by who sends them and what they hold, and tells nothing of it.

    It is a keyed cryptographic digest: a collision would have one request refused for
    what another did, and without the key nobody can try out contents.

    Parameters
    ----------
    key : str
        The secret that all daemons share.
    """

    def __init__(self, key):
        self._key = hashlib.blake2b(key.encode(), digest_size=32).digest()

    def of(self, account, content):
        """Return the fingerprint of a request, hexadecimal.

        Parameters
        ----------
        account : str
            The client account; empty where none is asked for.
        content : bytes or None
            From `of_content`; None where the body isn't known whole.

        Returns
        -------
        fingerprint : str
            Empty where the content isn't known.
        """
        if content is None:
            return ""
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES, key=self._key)
        digest.update(content)
        digest.update(account.encode())
        return digest.hexdigest()
