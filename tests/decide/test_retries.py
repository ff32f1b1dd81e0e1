"""Backoff of calls to a platform that is unavailable."""

import datetime
import random

from sesamespindle.decide import retries


def seconds_of(failures):
    source = random.Random(failures)
    return retries.outage_pause(failures, source) / datetime.timedelta(seconds=1)


def test_a_platform_that_is_away_is_asked_ever_more_rarely():
    """Guards against hosts that keep calling a platform which refuses them.

    The platform refuses a third of the hosts for 9 s. Without backoff each host asks
    three times a second for each kind of object, 80 calls in all.
    """
    pauses = [seconds_of(failures) for failures in range(1, 40)]
    asked, passed = 0, 0.0
    while passed < 9.0:
        passed += pauses[asked]
        asked += 1
    assert asked <= 14


def test_the_platforms_return_is_noticed_before_hosts_are_held_to_their_times():
    """Guards against a backoff so long that hosts miss the limit for changes.

    The platform returns after a minute, and an API key was revoked meanwhile. All
    hosts must know that within 3 s, including the call and its answer.
    """
    assert max(seconds_of(failures) for failures in range(1, 300)) <= 1.5


def test_a_short_outage_is_noticed_as_soon_as_it_ends():
    assert all(0.25 <= seconds_of(failures) < 0.4 for failures in range(1, 5))
