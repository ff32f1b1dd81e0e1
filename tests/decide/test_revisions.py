"""The one order of places in the store's history."""

import pathlib
import re

import gateways
import places
import pytest

from sesamespindle import decide
from sesamespindle.decide import eras, freshness, revisions

ROOT = pathlib.Path(decide.__file__).parents[4]
NOW, SECOND = gateways.NOW, gateways.SECOND


def test_any_place_of_a_later_era_comes_later():
    """Guards against changes that seem old, as their numbers were given out again."""
    assert places.at(77, 1) < places.at(5, 2)
    assert places.at(5, 2) < places.at(6, 2)
    assert places.at(5, 1) != places.at(5, 2)
    assert places.at(1) > revisions.NEVER


@pytest.mark.parametrize("compare", ["__lt__", "__le__", "__gt__", "__ge__"])
def test_a_bare_number_has_no_place_in_the_order(compare):
    assert getattr(places.at(7, 1), compare)(7) is NotImplemented
    with pytest.raises(TypeError):
        bool(places.at(7, 1))


def test_no_code_compares_the_number_of_a_revision():
    """Guards against a comparison of numbers that passes over the era."""
    compared = re.compile(
        r"(revision\w*\.number\s*([<>]|[!=]=))|(([<>]|[!=]=)\s*\S*revision\w*\.number)"
    )
    folders = (ROOT / "packages", ROOT / "platform")
    found = [
        f"{path.name}: {line.strip()}"
        for folder in folders
        for path in folder.rglob("*.py")
        for line in path.read_text().splitlines()
        if compared.search(line)
    ]
    assert not found


def known_in_era_1():
    told = eras.Eras()
    told.note(1, NOW)
    known = freshness.Freshness(told)
    known.note_read("config", places.at(77, 1), 5, NOW, "a watch")
    return told, known


def test_a_later_era_voids_every_proof_but_not_the_content():
    """Guards against a store with older content that seems to prove what is known."""
    told, known = known_in_era_1()
    told.note(2, NOW + SECOND)
    known.void_proofs()
    assert known.age("config", NOW + SECOND) is None
    assert known.knowledge_by_kind["config"].digest == 5
    late = freshness.KnownKind("config", places.at(80, 1), 5, NOW + SECOND)
    known.merge(late)
    assert known.age("config", NOW + SECOND) is None
    known.merge(freshness.KnownKind("config", places.at(9, 2), 5, NOW + SECOND))
    assert known.age("config", NOW + SECOND) == 0 * SECOND
    assert known.revision("config") == places.at(9, 2)


def test_a_peer_of_a_later_era_is_ahead_however_low_it_counts():
    _, known = known_in_era_1()
    assert known.is_behind(freshness.KnownKind("config", places.at(3, 2), 6, None))
    assert not known.is_behind(freshness.KnownKind("config", places.at(99), 6, None))
