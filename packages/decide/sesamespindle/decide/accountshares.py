"""How much of each service the client accounts had in the last seconds."""

import dataclasses
import datetime

# What an account had counts half after this time.
_HALF_LIFE = datetime.timedelta(seconds=3)
# An account that has less than this counts as served nothing, and is forgotten.
_FORGOTTEN_BELOW = 0.5


@dataclasses.dataclass(slots=True)
class _Share:
    tokens: float
    at: datetime.datetime


class AccountShares:
    """Counts the tokens that accounts had of one service; older ones count less.

    Answers the load of one account that asks for far more than the others: the one
    that had least goes first. Ageing takes the place of raising the counters of
    accounts that come anew.
    """

    def __init__(self):
        self._share_by_account = {}

    def charge(self, account, tokens, now):
        """Add tokens to an account's count; a negative number takes them back."""
        share = _Share(max(0.0, self.tokens(account, now) + tokens), now)
        self._share_by_account[account] = share

    def tokens(self, account, now):
        """Return what an account had of late, in tokens."""
        share = self._share_by_account.get(account)
        if share is None:
            return 0.0
        age = max(now - share.at, datetime.timedelta(0))
        return share.tokens * 0.5 ** (age / _HALF_LIFE)

    def tick(self, now):
        """Forget the accounts that had nothing of late."""
        for account in list(self._share_by_account):
            if self.tokens(account, now) < _FORGOTTEN_BELOW:
                del self._share_by_account[account]
