"""Authentication of client accounts by their API keys."""

import hashlib


class Keyring:
    """Client accounts by the SHA-256 hashes of their API keys."""

    def __init__(self):
        self._account_by_hash = {}

    def replace(self, contracts):
        """Replace all keys by those of the contracts of the active configuration."""
        self._account_by_hash = {
            key_hash: contract.account
            for contract in contracts
            for key_hash in contract.key_hashes
        }

    def account_of(self, authorization):
        """Return the account that an Authorization header belongs to.

        Parameters
        ----------
        authorization : str
            The value of the header, ``Bearer KEY``.

        Returns
        -------
        account : str or None
            None if the header is malformed or the key is unknown.
        """
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        return self._account_by_hash.get(digest)
