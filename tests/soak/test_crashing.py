"""Short soaks with fixed seeds, in which some prompts crash engines."""

import asyncio

import pytest
from soak import play


@pytest.mark.parametrize("seed", (31, 32))
def test_promises_hold_while_requests_crash_engines(seed):
    outcome = asyncio.run(
        play.play(seed, 6.0, restarts=False, announcements=False, crashes=True)
    )
    assert outcome.violations == []
    assert len(outcome.journal.crashes) >= 4


@pytest.mark.parametrize("seed", (41, 42))
def test_promises_hold_while_parts_of_prompts_crash_engines(seed):
    outcome = asyncio.run(
        play.play(seed, 6.0, restarts=False, announcements=False, deadly_parts=True)
    )
    assert outcome.violations == []
    assert len(outcome.journal.crashes) >= 4
