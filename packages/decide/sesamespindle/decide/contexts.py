"""Tracks which targets are likely to hold the context of earlier prompts.

A context is identified by its chain of block ids, see `hashing.chain`. Targets are
remembered only by the checkpoints of a chain, which are some of its block ids, see
`hashing.checkpoints`. The tracking may be wrong without harm: the target itself decides
what it reuses, by the full chain.
"""

import collections
import dataclasses
import datetime

from sesamespindle.decide import hashing

MAX_CHECKPOINTS = 40_000
# The most targets that are remembered for one checkpoint.
_MAX_TARGETS = 3
# A target that processed a context longer ago than this isn't expected to hold it.
_HELD_FOR = datetime.timedelta(minutes=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A target has processed a chain of blocks.

    Attributes
    ----------
    target : str
        The target's name.
    at : datetime.datetime
        When the target processed the chain.
    """

    target: str
    at: datetime.datetime


class Contexts:
    """The targets that processed a context last, by the checkpoints of its chain.

    All checkpoints of one chain share one sighting. With more than `MAX_CHECKPOINTS`
    the least recently learned checkpoints are evicted.
    """

    def __init__(self):
        self._sightings_by_id = collections.OrderedDict()

    def learn(self, ids, target, now):
        """Note that a target has just processed a chain.

        Parameters
        ----------
        ids : tuple of str
            The block ids of the chain, from `hashing.chain`.
        target : str
            The target's name.
        now : datetime.datetime
            The current time.
        """
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
        """Return the tokens of a chain that targets are expected to reuse.

        Parameters
        ----------
        ids : tuple of str
            The block ids of the chain, from `hashing.chain`.
        now : datetime.datetime
            The current time.

        Returns
        -------
        tokens_by_target : dict of str to int
            The number of tokens for each target that is expected to reuse any.
        """
        tokens_by_target = {}
        for position, block_id in hashing.checkpoints(ids):
            for item in self._sightings_by_id.get(bytes.fromhex(block_id), ()):
                if now - item.at < _HELD_FOR:
                    tokens_by_target[item.target] = position * hashing.BLOCK_TOKENS
        return tokens_by_target

    def __len__(self):
        return len(self._sightings_by_id)
