"""Backoff of calls to a platform that is unavailable."""

import datetime
import random

from sesamespindle.decide import retries


def delay_seconds(failures):
    source = random.Random(failures)
    return retries.outage_backoff(failures, source) / datetime.timedelta(seconds=1)


def test_an_unavailable_platform_is_called_less_and_less_often():
    """Guards against hosts that keep calling a platform which refuses them.

    The platform refuses a third of the hosts for 9 s. Without backoff each host asks
    three times a second for each kind of object, 80 calls in all.
    """
    pauses = [delay_seconds(failures) for failures in range(1, 40)]
    asked, passed = 0, 0.0
    while passed < 9.0:
        passed += pauses[asked]
        asked += 1
    assert asked <= 14


def test_the_platforms_return_is_noticed_before_time_limits_apply_again():
    """Guards against a backoff so long that hosts miss the limit for changes.

    The platform returns after a minute, and an API key was revoked meanwhile. All
    hosts must know that within 3 s, including the call and its answer.
    """
    assert max(delay_seconds(failures) for failures in range(1, 300)) <= 1.5


def test_a_short_outage_is_noticed_as_soon_as_it_ends():
    assert all(0.25 <= delay_seconds(failures) < 0.4 for failures in range(1, 5))
