"""Salts of KV cache: who shares it, and which weights have computed it.

An account may be isolated, and an account that shares KV cache with others may become
isolated. Nothing tells who has made a part, so a shared salt names the set of those who
don't share it. It follows from the configuration alone: hosts that work by different
configurations never meet under one salt, and a host that has just started makes the
same one.
"""

import datetime
import hashlib
import json

# Between the weights' version, which has digits alone, and what follows.
_OWN, _SHARED = ".", "+"
_DIGEST_BYTES = 8
# How long a salt is kept that no account uses any more. Hosts that still work by an
# earlier configuration may fetch parts under it, so this is far longer than a change
# takes to reach them.
_RETIRED_KEPT_FOR = datetime.timedelta(minutes=1)
# The same for weights that no engine runs any more: no fetch of such a part begins
# after that, as engines refuse requests for other weights, and one ends within a
# second.
_SUPERSEDED_KEPT_FOR = datetime.timedelta(seconds=2)


class CacheSalts:
    """Makes salts by the active configuration, and says which ones are out of use."""

    def __init__(self):
        self._isolated_names = None
        self._shared_suffix = ""

    def adopt(self, configuration):
        """Use a configuration from now on.

        Parameters
        ----------
        configuration : routes.Configuration
            The active configuration.
        """
        self._isolated_names = configuration.isolated_names
        self._shared_suffix = _shared_suffix(configuration.isolated_names)

    def make(self, account, version):
        """Return the salt of the KV cache of an account's prompt.

        Guards against KV cache that one account made and another one uses, although one
        of them is isolated. A request that was read before its account became isolated
        counts as that of an isolated account from then on.

        Parameters
        ----------
        account : routes.Account or None
            The account, as of when the request was read; None for none.
        version : int
            The version of the weights. An engine refuses a request whose expected
            version isn't its own, so no request uses KV cache of other weights.

        Returns
        -------
        salt : str
        """
        if account is not None and self._is_isolated(account):
            return f"{version}{_OWN}{account.name}"
        return f"{version}{self._shared_suffix}"

    def kept_for(self, salt, lowest_version):
        """Return for how long parts are kept under a salt that stays as unused as now.

        Parameters
        ----------
        salt : str
            The salt of a stored part.
        lowest_version : int or None
            The lowest version of weights that an engine runs; None if none is known.

        Returns
        -------
        kept_for : datetime.timedelta or None
            None if the salt may be in use.
        """
        version, suffix = _split(salt)
        if version is None:
            return _SUPERSEDED_KEPT_FOR
        if lowest_version is not None and version < lowest_version:
            return _SUPERSEDED_KEPT_FOR
        return None if self._is_used(suffix) else _RETIRED_KEPT_FOR

    def _is_isolated(self, account):
        return account.isolated or account.name in (self._isolated_names or ())

    def _is_used(self, suffix):
        if self._isolated_names is None or suffix == self._shared_suffix:
            return True
        return suffix[:1] == _OWN and suffix[1:] in self._isolated_names


def _shared_suffix(isolated_names):
    """Return what tells the salts of the accounts that aren't isolated apart."""
    if not isolated_names:
        return ""
    names = json.dumps(sorted(isolated_names)).encode()
    return _SHARED + hashlib.blake2b(names, digest_size=_DIGEST_BYTES).hexdigest()


def _split(salt):
    """Return the version of the weights, None if there is none, and the rest."""
    rest = salt.lstrip("0123456789")
    digits = salt[: len(salt) - len(rest)]
    return (int(digits) if digits else None), rest
