"""Short soaks with fixed seeds, in which the store comes back from older copies."""

import asyncio

import pytest
from soak import play


@pytest.mark.parametrize("seed", (61, 62))
def test_promises_hold_while_the_store_comes_back_from_older_copies(seed):
    outcome = asyncio.run(
        play.play(seed, 0.0, restarts=False, announcements=False, restores=True)
    )
    assert outcome.violations == []
    assert "restored store" in {fault.what for fault in outcome.journal.faults}
    assert any(change.what == "configuration" for change in outcome.journal.changes)
