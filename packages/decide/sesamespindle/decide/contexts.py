"""Where the context of earlier prompts is likely to be.

A hint, never a proof: the target itself decides what it reuses, by the full
chain of block ids.
"""

import collections
import datetime

from sesamespindle.decide import hashing

MAX_CHECKPOINTS = 200_000
_TRUSTED_FOR = datetime.timedelta(minutes=30)


class Contexts:
    """Targets that held a context, by the checkpoints of its chain."""

    def __init__(self):
        self._seen_at_by_target_by_id = collections.OrderedDict()

    def learn(self, ids, target, now):
        """Note that a target has just processed this chain."""
        by_id = self._seen_at_by_target_by_id
        for _, block_id in hashing.checkpoints(ids):
            by_id.setdefault(block_id, {})[target] = now
            by_id.move_to_end(block_id)
        while len(by_id) > MAX_CHECKPOINTS:
            by_id.popitem(last=False)

    def forget(self, ids, target):
        """Note that a target does not have this chain any more."""
        for _, block_id in hashing.checkpoints(ids):
            self._seen_at_by_target_by_id.get(block_id, {}).pop(target, None)

    def reusable_tokens(self, ids, now):
        """Return the tokens that each target is expected to reuse, by target."""
        tokens_by_target = {}
        for position, block_id in hashing.checkpoints(ids):
            seen = self._seen_at_by_target_by_id.get(block_id)
            if not seen:
                continue
            for target, at in seen.items():
                if now - at < _TRUSTED_FOR:
                    tokens_by_target[target] = position * hashing.BLOCK_TOKENS
        return tokens_by_target

    def __len__(self):
        return len(self._seen_at_by_target_by_id)
