"""Short soaks with fixed seeds, and seeds that once broke a promise."""

import asyncio

import pytest
from soak import play

# A seed of each kind of burst: ends, links, the store, targets.
SEEDS = (1,)


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_through_a_seeded_soak(seed):
    outcome = asyncio.run(play.play(seed, seconds=12.0))
    assert outcome.violations == []
    assert len(outcome.journal.asked) > 100
