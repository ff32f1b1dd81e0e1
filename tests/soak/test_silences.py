"""Short soaks with fixed seeds, in which connections to the store fall silent."""

import asyncio

import pytest
from soak import play

KINDS = {"silent links", "silent store"}


@pytest.mark.parametrize("seed", (51, 52))
def test_promises_hold_while_connections_to_the_store_fall_silent(seed):
    outcome = asyncio.run(
        play.play(seed, 0.0, restarts=False, announcements=False, silences=True)
    )
    assert outcome.violations == []
    assert KINDS.intersection(fault.what for fault in outcome.journal.faults)
    assert any(change.what == "configuration" for change in outcome.journal.changes)
