"""Which callers' connections give way, without a network."""

import datetime
import random

import pytest

from sesamespindle.decide import callerquota

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
MB = 1_000_000
Stage = callerquota.Stage
Cause = callerquota.Cause
LIMITS = callerquota.ClientLimits(
    datetime.timedelta(seconds=5), datetime.timedelta(seconds=15), 16_384
)


def at(seconds):
    return START + datetime.timedelta(seconds=seconds)


def make(memory_bytes=10 * MB, connections=100):
    return callerquota.CallerQuota(callerquota.Allowance(memory_bytes, connections))


def opened(quota, count, seconds=0.0):
    for number in range(count):
        assert quota.open(number, "front", at(seconds)) == []


def ids(commands):
    return [command.connection_id for command in commands]


def test_nobody_gives_way_in_calm():
    quota = make()
    opened(quota, 100)
    for number in range(100):
        assert not quota.update(number, Stage.SERVING, 20_000, at(1))
    assert not quota.expire(at(3), LIMITS)


def test_a_body_that_stays_gives_way_to_one_that_arrives():
    quota = make()
    opened(quota, 3)
    quota.update(0, Stage.BODY, 3 * MB, at(0))
    quota.update(1, Stage.BODY, 4 * MB, at(9))
    gone = quota.update(2, Stage.BODY, 2 * MB, at(10))
    assert ids(gone) == [0]
    assert gone[0].cause is Cause.MEMORY


def test_a_byte_now_and_then_does_not_save_a_body():
    quota = make()
    opened(quota, 3)
    quota.update(0, Stage.BODY, 3 * MB, at(0))
    for second in range(1, 10):
        quota.update(0, Stage.BODY, 3 * MB + second, at(second))
    quota.update(1, Stage.BODY, 4 * MB, at(9.9))
    assert ids(quota.update(2, Stage.BODY, 2 * MB, at(10))) == [0]


def test_an_ordinary_request_takes_no_room_from_another():
    """Guards against small requests that give way to large bodies."""
    quota = make()
    opened(quota, 50)
    for number in range(48):
        quota.update(number, Stage.BODY, 10_000, at(0))
    quota.update(48, Stage.BODY, 5 * MB, at(5))
    gone = quota.update(49, Stage.BODY, 4 * MB, at(6))
    assert ids(gone) == [48]


def test_ordinary_requests_have_room_beside_large_ones_that_are_served():
    """Guards against whole bodies at silent targets that leave nobody any room."""
    quota = make()
    opened(quota, 50)
    refused = []
    for number in range(40):
        quota.update(number, Stage.BODY, 0, at(0))
        gone = quota.update(number, Stage.BODY, MB, at(0))
        refused += ids(gone)
        if number not in ids(gone):
            quota.update(number, Stage.SERVING, MB, at(0))
    assert refused == list(range(6, 40))
    for number in range(40, 50):
        assert not quota.update(number, Stage.SERVING, 20_000, at(1))


def test_answers_that_nobody_reads_give_way():
    quota = make()
    opened(quota, 3)
    quota.update(0, Stage.ANSWERING, 4 * MB, at(0))
    quota.update(1, Stage.SERVING, 3 * MB, at(0))
    assert ids(quota.update(2, Stage.BODY, 3 * MB, at(1))) == [0]


def test_a_served_request_never_gives_way():
    quota = make()
    opened(quota, 3)
    quota.update(0, Stage.SERVING, 9 * MB, at(0))
    assert not quota.update(0, Stage.SERVING, 11 * MB, at(1))
    assert ids(quota.update(1, Stage.BODY, 1000, at(2))) == [2, 1]


def test_the_longest_idle_connection_makes_room_for_a_new_one():
    quota = make(connections=3)
    opened(quota, 3)
    quota.update(0, Stage.SERVING, 0, at(1))
    quota.update(1, Stage.SERVING, 0, at(1))
    quota.update(1, Stage.IDLE, 0, at(2))
    assert ids(quota.open(3, "front", at(3))) == [2]
    assert ids(quota.open(4, "front", at(4))) == [1]


def test_a_new_connection_is_closed_if_all_others_are_served():
    quota = make(connections=2)
    opened(quota, 2)
    for number in range(2):
        quota.update(number, Stage.SERVING, 0, at(1))
    assert ids(quota.open(2, "front", at(2))) == [2]
    assert len(quota) == 2


def test_heads_idle_connections_and_unread_answers_expire():
    quota = make()
    opened(quota, 4)
    quota.update(1, Stage.HEAD, 100, at(0))
    quota.update(2, Stage.ANSWERING, 90_000, at(0))
    quota.update(3, Stage.ANSWERING, 90_000, at(0))
    quota.update(3, Stage.ANSWERING, 80_000, at(14))
    assert not quota.expire(at(4.9), LIMITS)
    assert [(one.connection_id, one.cause) for one in quota.expire(at(6), LIMITS)] == [
        (1, Cause.HEADER_TIMEOUT)
    ]
    assert {(one.connection_id, one.cause) for one in quota.expire(at(16), LIMITS)} == {
        (0, Cause.IDLE_TIMEOUT),
        (2, Cause.UNREAD),
    }


def test_a_body_that_gives_way_counts_as_a_connection_until_it_is_closed():
    """Guards against descriptors of refused callers that nobody counts."""
    quota = make(connections=3)
    opened(quota, 3)
    quota.update(0, Stage.BODY, 7 * MB, at(0))
    assert ids(quota.update(1, Stage.BODY, 2 * MB, at(1))) == [0]
    assert len(quota) == 3
    assert ids(quota.open(3, "front", at(2))) == [0]
    quota.close(0)
    assert len(quota) == 3


@pytest.mark.parametrize("seed", range(20))
def test_what_is_held_stays_within_the_allowance(seed):
    """Guards against any order of events after which more is held than is allowed."""
    rng = random.Random(seed)
    quota = make(memory_bytes=5 * MB, connections=60)
    live, closing = {}, set()
    for step in range(4000):
        now = at(step / 50)
        if rng.random() < 0.3:
            live[step] = 0
            gone = quota.open(step, "front", now)
        elif not live:
            continue
        else:
            one = rng.choice(list(live))
            stage = rng.choice([Stage.IDLE, Stage.HEAD, Stage.BODY, Stage.ANSWERING])
            gone = quota.update(one, stage, int(rng.expovariate(1e-5)), now)
        for command in gone:
            live.pop(command.connection_id, None)
            closing.add(command.connection_id)
        for one in [one for one in closing if rng.random() < 0.5]:
            quota.close(one)
            closing.discard(one)
        assert quota.held_bytes <= 5 * MB
        assert quota.held_bytes == sum(quota.held_by_stage().values())
        assert len(quota) <= 60


def test_an_allowance_leaves_memory_and_descriptors_for_other_work():
    small = callerquota.allowance(128 * MB, 80 * MB, 3900)
    assert small.memory_bytes <= 24 * MB
    assert small.connections * 2 <= 3900 * 0.75
    # All of them may send at once before any is read.
    assert small.connections * 36 * 1024 < 48 * MB
    assert callerquota.allowance(60 * MB, 70 * MB, 10).connections == 8
    assert callerquota.allowance(60 * MB, 70 * MB, 10).memory_bytes > 0
