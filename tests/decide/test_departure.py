"""Which requests a leaving host still accepts, without a network or a clock."""

import datetime

import hypothesis
import pytest
from hypothesis import strategies

from sesamespindle.decide import departure

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
GRACE_TIMES = strategies.floats(0.5, 120.0).map(lambda value: value * SECOND)


def test_accepts_all_while_callers_cannot_know_and_then_what_ends_in_time():
    """Guards against an answer that is cut off by the end of its host.

    A stream arrives 3.02 s after SIGTERM, 10.4 s before its deadline, and its host ends
    4.5 s later. The time since SIGTERM alone doesn't show that the host must refuse it.
    """
    leaving = departure.schedule(NOW, departure.latest_end(NOW, 8 * SECOND))
    late_deadline = NOW + 13.4 * SECOND
    assert leaving.accepts(late_deadline, NOW + 2.4 * SECOND)
    assert not leaving.accepts(late_deadline, NOW + 3.02 * SECOND)
    assert leaving.accepts(NOW + 7 * SECOND, NOW + 5.5 * SECOND)


@pytest.mark.parametrize("grace", [1, 2, 8, 20])
def test_ends_inside_the_last_sixth_of_the_grace_time(grace):
    """Guards against answers that a host with a short grace time abandons too early.

    An answer in flight must not be abandoned before the last sixth of the grace time,
    and some of that sixth must remain to close all connections before the process is
    killed.
    """
    ends_at = departure.latest_end(NOW, grace * SECOND)
    assert NOW + grace * SECOND * 5 / 6 < ends_at < NOW + grace * SECOND


def test_a_busy_host_counts_from_when_the_order_may_have_come():
    """Guards against a busy host that is killed before it has sent its last answers.

    It handles SIGTERM most of a second after that was sent. If it counted from the
    handling, it would accept requests for too long and end too late. It can't know when
    the order came, only that it had not come when the process last ran.
    """
    grace = 8 * SECOND
    assert departure.asked_at(NOW - SECOND / 2, NOW, grace) == NOW - SECOND / 2


@pytest.mark.parametrize("grace", [1, 2, 8, 20])
def test_a_host_that_was_frozen_ends_inside_the_last_sixth_of_its_grace_time(grace):
    """Guards against a host that ends too early after it was frozen for half a minute.

    SIGTERM comes right after the freeze, and the host can't know that it didn't come
    earlier.
    """
    frozen_since = NOW - 30 * SECOND
    asked = departure.asked_at(frozen_since, NOW, grace * SECOND)
    assert departure.latest_end(asked, grace * SECOND) >= NOW + grace * SECOND * 5 / 6


@hypothesis.settings(derandomize=True)
@hypothesis.given(GRACE_TIMES, strategies.floats(0, 1), strategies.floats(0, 200))
def test_what_is_accepted_after_callers_know_has_its_answer_in_time(
    grace, elapsed_share, duration
):
    leaving = departure.schedule(NOW, departure.latest_end(NOW, grace))
    now = NOW + grace * elapsed_share
    until = now + duration * SECOND
    if now >= leaving.accepts_all_until and leaving.accepts(until, now):
        assert until <= leaving.ends_at
    assert leaving.accepts_all_until - NOW <= 2.5 * SECOND
    assert leaving.accepts_all_until - NOW <= (leaving.ends_at - NOW) / 3
