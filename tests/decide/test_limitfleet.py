"""Simulated fleets in front of engines that name limits in their answers."""

import limitfleet
import pytest

SEEDS = range(6)


def simulate(seed, limit, per_second=40.0, seconds=12.0, limited=None, **fleet):
    """Simulate a fleet whose engines begin to name a limit, and return it.

    Parameters
    ----------
    limited : int, optional
        How many of the engines name it; all by default.
    """
    made = limitfleet.Fleet(seed, **fleet)
    made.run(1.0)
    made.ask_steadily(per_second, made.now + 2.0 + seconds)
    made.run(2.0)
    for name in list(made.engine_by_name)[:limited]:
        made.limit_by_engine[name] = limit
    made.run(seconds)
    return made


@pytest.mark.parametrize("limit", [0.4, 1.0, 1.7])
@pytest.mark.parametrize("seed", SEEDS)
def test_limits_of_all_engines_at_once_are_kept(seed, limit):
    """Guards against hosts that each send an engine what it takes from all of them."""
    made = simulate(seed, limit)
    assert made.excess() <= 0


@pytest.mark.parametrize("seed", SEEDS)
def test_the_limit_of_one_engine_is_kept(seed):
    """Guards against hosts that overlook the limit while other engines have none."""
    made = simulate(seed, 1.3, limited=1)
    assert made.excess() <= 0
