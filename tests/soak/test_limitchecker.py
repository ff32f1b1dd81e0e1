"""The judge of limits finds each kind of excess in constructed records."""

import math

import limits
import pytest


def arrivals(host, since, until, per_second):
    count = int((until - since) * per_second)
    return [
        limits.Arrival(since + number / per_second, host) for number in range(count)
    ]


TOLD = [limits.Answer(0.0, "a", 1.0), limits.Answer(0.1, "b", 1.0)]


@pytest.mark.parametrize(
    ("seen", "answers", "excess"),
    [
        # 4 s hold 16 requests, and 11 are allowed.
        (arrivals("a", 1.0, 9.0, 4.0), TOLD, 5),
        (arrivals("a", 1.0, 9.0, 2.0) + arrivals("b", 1.25, 9.0, 2.0), TOLD, 5),
        (arrivals("a", 1.0, 9.0, 2.0), TOLD, -3),
        # The host has passed on no answer with a limit.
        (arrivals("c", 1.0, 9.0, 4.0), TOLD, -math.inf),
        # It passed one on less than half a second before.
        (arrivals("a", 0.0, 0.5, 80.0), TOLD, -math.inf),
        # All is over before the contact time.
        (arrivals("a", 0.5, 2.9, 4.0), TOLD, -math.inf),
        # The limit has ended.
        (
            arrivals("a", 5.0, 9.0, 4.0),
            [*TOLD, limits.Answer(4.9, "a", math.inf)],
            -math.inf,
        ),
        # It rises to 4 a second, of which 29 are allowed in 4 s.
        (
            arrivals("a", 5.0, 9.0, 8.0),
            [*TOLD, limits.Answer(5.0, "b", 4.0)],
            3,
        ),
        # It falls, and hosts had the contact time to learn that.
        (
            arrivals("a", 9.0, 14.0, 4.0),
            [limits.Answer(0.0, "a", 9.0), limits.Answer(1.0, "a", 1.0)],
            5,
        ),
    ],
)
def test_the_excess_of_requests_above_a_limit(seen, answers, excess):
    assert limits.excess(seen, answers) == excess


def test_an_excused_host_does_not_count():
    seen = arrivals("a", 1.0, 9.0, 4.0)
    assert limits.excess(seen, TOLD, lambda host, since, until: host == "a") < 0
