"""Short soaks with fixed seeds, in which targets say what they need in answers."""

import asyncio

import pytest
from soak import play

KINDS = {"name limit", "ask for rest", "leave unlisted"}


@pytest.mark.parametrize("seed", (41, 44))
def test_promises_hold_while_targets_say_what_they_need(seed):
    outcome = asyncio.run(
        play.play(seed, 10.0, restarts=False, announcements=False, signals=True)
    )
    assert outcome.violations == []
    assert KINDS.intersection(fault.what for fault in outcome.journal.faults)
