"""How old the objects in an answer of the platform may be."""

import datetime

import pytest

from sesamespindle.decide import eras, pauses, readings, weights

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
KIND = "versions"


@pytest.fixture
def running():
    """Return the pauses of a process that starts now."""
    made = pauses.Pauses()
    made.note_step(NOW)
    return made


@pytest.fixture
def read(running):
    """Return readings that start with a list requested now."""
    made = readings.Readings(running)
    made.listed(KIND, 10, NOW, NOW)
    return made


def run(running, since, until):
    """Let the process run without a pause, with a step every 0.1 s."""
    while since < until:
        since += SECOND / 10
        running.note_step(since)


def test_what_the_first_list_holds_may_be_of_any_age(running):
    first = readings.Readings(running).listed(KIND, 10, NOW, NOW + SECOND / 10)
    assert first.event_of("m", 2) == weights.VersionFound("m", 2, None)


def test_a_change_in_a_watch_that_waited_has_just_happened(running, read):
    run(running, NOW, NOW + 5 * SECOND)
    reading = read.watched(KIND, 11, NOW, NOW + 5 * SECOND)
    assert reading.above == 10
    assert reading.event_of("m", 2) == weights.VersionAnnounced("m", 2)


def test_a_change_that_a_watch_returns_at_once_may_be_as_old_as_the_last_reading(
    running, read
):
    """A watch timed out after 6 s, and the next one is answered at once."""
    run(running, NOW, NOW + 6 * SECOND)
    began = NOW + 6 * SECOND
    reading = read.watched(KIND, 11, began, began + SECOND / 50)
    assert reading.event_of("m", 2) == weights.VersionFound("m", 2, NOW)


def test_what_waited_here_during_a_pause_may_be_as_old_as_the_last_reading(
    running, read
):
    run(running, NOW, NOW + SECOND)
    woke = NOW + 7 * SECOND
    running.note_step(woke)
    reading = read.watched(KIND, 11, NOW, woke)
    assert reading.event_of("m", 2) == weights.VersionFound("m", 2, NOW)


def test_what_a_list_shows_soon_after_a_reading_has_just_happened(read):
    reading = read.listed(KIND, 11, NOW + SECOND / 2, NOW + SECOND / 2)
    assert reading.event_of("m", 2) == weights.VersionAnnounced("m", 2)


def test_an_answer_of_a_peer_gives_no_age():
    found = readings.FROM_PEER.event_of("m", 2)
    assert found == weights.VersionFound("m", 2, None)


def restored_at(at):
    """Return the eras of a host that learns of a restore at a time."""
    made = eras.Eras()
    made.note(1, NOW)
    made.note(2, at)
    made.note_restored(at)
    return made


def test_what_is_written_again_after_a_restore_is_not_taken_for_new(running):
    """Guards against weights that seem announced now, as the store had lost them."""
    read = readings.Readings(running, restored_at(NOW + 3 * SECOND))
    run(running, NOW, NOW + 4 * SECOND)
    read.listed(KIND, 10, NOW, NOW)
    read.listed(KIND, 6, NOW + 3 * SECOND, NOW + 3 * SECOND)
    reading = read.watched(KIND, 9, NOW + 3 * SECOND, NOW + 4 * SECOND)
    assert reading.event_of("m", 2) == weights.VersionFound("m", 2, NOW)


def test_what_is_written_long_after_a_restore_is_new(running):
    read = readings.Readings(running, restored_at(NOW + 3 * SECOND))
    read.listed(KIND, 10, NOW, NOW)
    later = NOW + 9 * SECOND
    run(running, NOW, later + SECOND)
    read.listed(KIND, 6, later, later)
    reading = read.watched(KIND, 9, later, later + SECOND)
    assert reading.event_of("m", 2) == weights.VersionAnnounced("m", 2)
