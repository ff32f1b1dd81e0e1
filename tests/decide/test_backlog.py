"""When refused callers may return, and the rate at which requests get through."""

import random

import gateways

from sesamespindle.decide import backlog

NOW, SECOND = gateways.NOW, gateways.SECOND
MINIMUM = 0.15 * SECOND
STEP = 0.005 * SECOND


def plan(returns, rng, rank=1, ahead=20, left=9.0, now=NOW):
    returning = backlog.Returning(rank, ahead, left * SECOND)
    return returns.plan(returning, STEP, MINIMUM, rng, now)


def test_callers_are_told_times_in_their_order_and_spread():
    """Guards against refused callers that return all at once."""
    returns, rng = backlog.Returns(), random.Random(1)
    told = [plan(returns, rng) for _ in range(200)]
    assert min(told) >= MINIMUM
    assert max(told) <= 3.0 * SECOND
    assert sum(told[:100], 0 * SECOND) < 0.7 * sum(told[100:], 0 * SECOND)
    in_tenth = [sum(0.1 * n * SECOND <= t < 0.1 * (n + 1) * SECOND for t in told)
                for n in range(30)]  # fmt: skip
    assert max(in_tenth) <= 40


def test_callers_with_little_time_are_told_a_third_of_it_and_spread():
    returns, rng = backlog.Returns(), random.Random(1)
    told = [plan(returns, rng, ahead=900, left=1.2) for _ in range(50)]
    assert max(told) <= 0.4 * SECOND
    assert len(set(told)) == 50


def test_the_less_urgent_return_after_the_more_urgent():
    returns, rng = backlog.Returns(), random.Random(1)
    for _ in range(100):
        plan(returns, rng, rank=1)
    assert plan(returns, rng, rank=2) > 1.3 * plan(returns, rng, rank=0)


def test_a_rate_is_unknown_until_requests_have_waited():
    """Guards against callers who are refused as little was asked for before."""
    rate = backlog.Rate()
    for number in range(100):
        rate.note(NOW + number * SECOND)
    assert rate.interval(NOW + 100 * SECOND) is None
    rate.note_busy(True, NOW)
    for number in range(100):
        rate.note(NOW + 0.01 * number * SECOND)
    assert abs(rate.interval(NOW + SECOND) - 0.01 * SECOND) < 0.001 * SECOND
