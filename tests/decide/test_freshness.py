"""How recent and complete a host's knowledge of the platform's objects is."""

import gateways
import places

from sesamespindle.decide import freshness

NOW, SECOND = gateways.NOW, gateways.SECOND


def test_a_later_reading_without_a_time_keeps_the_time_of_the_last_proof():
    known = freshness.Freshness()
    known.note_read("config", places.at(7), 1, NOW, "a watch")
    known.note_read("config", places.at(9), 2, None, "a peer")
    assert known.revision("config") == places.at(9)
    assert known.age("config", NOW + 3 * SECOND) == 3 * SECOND


def test_knowledge_never_seems_older_or_less_complete_by_an_earlier_reading():
    known = freshness.Freshness()
    known.note_read("config", places.at(9), 2, NOW + SECOND, "a listing")
    known.note_read("config", places.at(7), 1, NOW, "a watch")
    assert known.revision("config") == places.at(9)
    assert known.age("config", NOW + SECOND) == 0 * SECOND


def test_what_was_never_read_has_no_age():
    known = freshness.Freshness()
    assert known.age("config", NOW) is None
    assert known.describe("config", NOW) == "never read"


def test_equal_content_proves_that_nothing_was_missed():
    known = freshness.Freshness()
    known.note_read("config", places.at(7), 5, NOW, "a watch")
    known.merge(freshness.KnownKind("config", places.at(12), 5, NOW + SECOND))
    assert known.revision("config") == places.at(12)
    assert known.age("config", NOW + SECOND) == 0 * SECOND
    known.merge(freshness.KnownKind("config", places.at(15), 6, NOW + 2 * SECOND))
    assert known.revision("config") == places.at(12)


def test_a_peer_with_other_content_of_a_later_revision_is_ahead():
    known = freshness.Freshness()
    assert known.is_behind(freshness.KnownKind("config", places.at(1), 1, None))
    known.note_read("config", places.at(7), 5, NOW, "a watch")
    assert known.is_behind(freshness.KnownKind("config", places.at(8), 6, None))
    assert not known.is_behind(freshness.KnownKind("config", places.at(8), 5, None))
    assert not known.is_behind(freshness.KnownKind("config", places.at(6), 6, None))


def test_a_refused_change_is_not_told_to_peers_as_known():
    """Guards against an invalid change that seems to be in force on a host."""
    known = freshness.Freshness()
    known.note_read("config", places.at(7), 5, NOW, "a watch")
    known.note_refused("config", places.at(9))
    known.note_read("config", places.at(9), 5, NOW + SECOND, "a watch")
    assert known.revision("config") == places.at(9)
    assert known.for_peers() == (freshness.KnownKind("config", places.at(8), 5, None),)
    known.note_read("config", places.at(11), 6, NOW + 2 * SECOND, "a watch")
    assert known.for_peers()[0].revision == places.at(11)
