"""Telling client accounts apart by their keys."""

import hashlib


class Keyring:
    """Client accounts by the hashes of their keys."""

    def __init__(self):
        self._account_by_hash = {}

    def replace(self, contracts):
        """Take over the keys of the contracts in force."""
        self._account_by_hash = {
            key_hash: contract.account
            for contract in contracts
            for key_hash in contract.key_hashes
        }

    def account_of(self, authorization):
        """Return the account of an Authorization header, or None."""
        scheme, _, key = authorization.partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        return self._account_by_hash.get(digest)
