"""Where the context of earlier prompts is likely to be.

A hint, never a proof: the target itself decides what it reuses, by the full
chain of block ids.
"""

import collections
import dataclasses
import datetime

from sesamespindle.decide import hashing

MAX_CHECKPOINTS = 40_000
_MAX_TARGETS = 3
_TRUSTED_FOR = datetime.timedelta(minutes=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A target that had just processed a chain, and when."""

    target: str
    at: datetime.datetime


class Contexts:
    """The latest targets that held a context, by the checkpoints of its chain.

    All checkpoints of one chain share one sighting, and the least recently
    used go when there are more than `MAX_CHECKPOINTS`.
    """

    def __init__(self):
        self._sightings_by_id = collections.OrderedDict()

    def learn(self, ids, target, now):
        """Note that a target has just processed this chain."""
        by_id = self._sightings_by_id
        sighting = Sighting(target, now)
        for _, block_id in hashing.checkpoints(ids):
            raw = bytes.fromhex(block_id)
            older = [item for item in by_id.get(raw, ()) if item.target != target]
            by_id[raw] = (sighting, *older[: _MAX_TARGETS - 1])
            by_id.move_to_end(raw)
        while len(by_id) > MAX_CHECKPOINTS:
            by_id.popitem(last=False)

    def reusable_tokens(self, ids, now):
        """Return the tokens that each target is expected to reuse, by target."""
        tokens_by_target = {}
        for position, block_id in hashing.checkpoints(ids):
            for item in self._sightings_by_id.get(bytes.fromhex(block_id), ()):
                if now - item.at < _TRUSTED_FOR:
                    tokens_by_target[item.target] = position * hashing.BLOCK_TOKENS
        return tokens_by_target

    def __len__(self):
        return len(self._sightings_by_id)
