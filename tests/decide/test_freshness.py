"""How recent and complete a host's knowledge of the platform's objects is."""

import gateways

from sesamespindle.decide import freshness

NOW, SECOND = gateways.NOW, gateways.SECOND


def test_a_later_reading_without_a_time_keeps_the_time_of_the_last_proof():
    known = freshness.Freshness()
    known.note_read("config", 7, NOW, "a watch")
    known.note_read("config", 9, None, "a peer")
    assert known.revision("config") == 9
    assert known.age("config", NOW + 3 * SECOND) == 3 * SECOND


def test_knowledge_never_seems_older_or_less_complete_by_an_earlier_reading():
    known = freshness.Freshness()
    known.note_read("config", 9, NOW + SECOND, "a listing")
    known.note_read("config", 7, NOW, "a watch")
    assert known.revision("config") == 9
    assert known.age("config", NOW + SECOND) == 0 * SECOND


def test_what_was_never_read_has_no_age():
    known = freshness.Freshness()
    assert known.age("config", NOW) is None
    assert known.describe("config", NOW) == "never read"
