"""How a daemon shares the KV stores' places for followers with its peers."""

import random

import pytest

from sesamespindle.platform import storefeed


@pytest.mark.parametrize("hosts", [1, 12])
def test_hosts_that_fit_ask_as_often_as_they_like(hosts):
    pace = storefeed.choose_pace(hosts, places=12)
    assert pace == storefeed.Pace(wait_ms=1000, pause_seconds=0.2)


@pytest.mark.parametrize("hosts", [13, 24, 80, 119])
@pytest.mark.parametrize("answer_seconds", [0.02, 1.0])
def test_a_crowd_of_hosts_stays_within_a_stores_places(hosts, answer_seconds):
    """Eighty hosts follow a store that answers twelve at once.

    Those that find no place ask again at once, find none again, and the store
    is busy with refusing; each question is charged as a probe.
    """
    places = 12
    pace = storefeed.choose_pace(hosts, places)
    assert pace.wait_ms >= 200
    asking = min(answer_seconds, pace.wait_ms / 1000)
    share = asking / (asking + pace.pause_seconds)
    assert hosts * share <= places * 1.05


def test_a_refused_follower_waits_longer_each_time_up_to_a_bound():
    source = random.Random(1)
    pauses = [storefeed.refused_pause(count, source) for count in range(1, 8)]
    assert pauses[0] < 1.0
    assert pauses == sorted(pauses)
    # A store that isn't heard of for 2.5 s would count as gone.
    assert pauses[-1] < 2.0
