"""Learned rates of reading, stated speeds, and times of calls."""

import datetime

import gateways

from sesamespindle.decide import placement, speeds

NOW, SECOND = gateways.NOW, gateways.SECOND
_PRIOR = 50_000.0


def test_the_prior_holds_until_enough_prompts_were_read():
    learned = speeds.Learned()
    for _ in range(2):
        learned.note_reading(10_000, 0, SECOND, NOW)
    assert learned.rate(_PRIOR, NOW) == _PRIOR
    learned.note_reading(10_000, 0, SECOND, NOW)
    assert learned.rate(_PRIOR, NOW) == 10_000


def test_a_rate_is_robust_and_ends():
    """Guards against an engine that is avoided for one prompt that hung."""
    learned = speeds.Learned()
    for seconds in (1, 1, 600, 1, 0.001):
        learned.note_reading(20_000, 0, seconds * SECOND, NOW)
    assert learned.rate(_PRIOR, NOW) == 20_000
    assert learned.rate(_PRIOR, NOW + 61 * SECOND) == _PRIOR


def test_prompts_that_waited_for_others_or_are_short_tell_nothing():
    learned = speeds.Learned()
    for _ in range(9):
        learned.note_reading(10_000, 5000, 9 * SECOND, NOW)
        learned.note_reading(100, 0, 9 * SECOND, NOW)
    assert learned.rate(_PRIOR, NOW) == _PRIOR


def test_a_stated_speed_is_valid_for_less_than_half_a_second():
    """Guards against an engine that is avoided long after it was slow."""
    learned = speeds.Learned()
    learned.note_speed(250, NOW)
    assert learned.reading_seconds(50_000, _PRIOR, NOW) == 2.5
    later = NOW + datetime.timedelta(seconds=0.41)
    assert learned.reading_seconds(50_000, _PRIOR, later) == 1.0
    assert learned.stated_speed(later) is None


def test_a_keepers_word_is_not_told_as_the_engines_own():
    """Guards against a speed that two hosts tell each other for ever."""
    learned = speeds.Learned()
    learned.note_speed(250, NOW, is_stated_here=False)
    assert (learned.speed(NOW), learned.stated_speed(NOW)) == (250, None)


def test_a_call_goes_to_the_target_that_is_not_slow_now():
    core = gateways.make_gateway()
    listed = tuple(gateways.make_target(f"desk-{n}") for n in range(2))
    core.step(NOW, [gateways.targetlist.TargetsListed(listed)])
    slow, usual = core.state.targets.where("pool", "desk")
    slow.learned = speeds.Learned()
    slow.learned.note_speed(250, NOW)
    chosen = placement.choose_service_target([slow, usual], "dc-1", NOW)
    assert chosen is usual


def test_the_time_of_a_call_is_known_by_service():
    times = speeds.ServiceTimes()
    assert times.seconds("desk", NOW) is None
    for seconds in (0.2, 0.2, 7):
        times.note("desk", seconds * SECOND, NOW)
    assert times.seconds("desk", NOW) == 0.2
    assert times.seconds("other", NOW) is None
