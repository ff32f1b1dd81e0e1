"""Evacuations that the store lists as they were, after it came back older."""

import gateways
import places
import pytest

from sesamespindle.decide import eras, evacuations, events

NOW, SECOND = gateways.NOW, gateways.SECOND


def make_core(*changes):
    """Return a gateway that has seen changes in the store's first era."""
    core = gateways.make_gateway()
    core.step(NOW, [eras.EraSeen(1)])
    listed = evacuations.EvacuationsListed(frozenset(), places.at(10, 1))
    core.state.freshness.note_read("evacuations", listed.revision, 1, NOW, "a listing")
    core.step(NOW, [listed, *changes])
    return core


def evacuated(core):
    return set(core.state.evacuated_data_centres)


def restored_list(core, at, *names, number=9):
    core.step(at, [eras.EraSeen(2)])
    revision = places.at(number, 2)
    core.step(at, [evacuations.EvacuationsListed(frozenset(names), revision)])


EVACUATED = evacuations.Evacuated("dc-2", places.at(12, 1))
LIFTED = evacuations.EvacuationLifted("dc-2", places.at(14, 1))


def test_an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again():
    """Guards against requests to a data centre whose evacuation was lost."""
    core = make_core(EVACUATED)
    restored_list(core, NOW + SECOND)
    restored_list(core, NOW + SECOND, number=11)
    assert evacuated(core) == {"dc-2"}
    again = evacuations.Evacuated("dc-2", places.at(12, 2))
    core.step(NOW + 2 * SECOND, [again])
    core.step(NOW + 20 * SECOND, [events.Tick()])
    assert evacuated(core) == {"dc-2"}


def test_a_lifted_evacuation_does_not_begin_again_by_an_older_copy():
    """Guards against a data centre without requests whose evacuation is over."""
    core = make_core(EVACUATED, LIFTED)
    restored_list(core, NOW + SECOND, "dc-2")
    assert evacuated(core) == set()
    lifted_again = evacuations.EvacuationLifted("dc-2", places.at(12, 2))
    core.step(NOW + 2 * SECOND, [lifted_again])
    core.step(NOW + 20 * SECOND, [events.Tick()])
    assert evacuated(core) == set()


@pytest.mark.parametrize("is_known", [True, False])
def test_what_the_store_goes_on_listing_is_believed(is_known):
    core = make_core(EVACUATED) if is_known else make_core(EVACUATED, LIFTED)
    restored_list(core, NOW + SECOND, *([] if is_known else ["dc-2"]))
    core.step(NOW + 9 * SECOND, [events.Tick()])
    assert evacuated(core) == (set() if is_known else {"dc-2"})


def test_a_change_of_the_new_era_is_believed_at_once():
    core = make_core(EVACUATED)
    restored_list(core, NOW + SECOND)
    lifted = evacuations.EvacuationLifted("dc-2", places.at(11, 2))
    core.step(NOW + SECOND, [lifted])
    assert evacuated(core) == set()
    new = evacuations.Evacuated("dc-1", places.at(12, 2))
    core.step(NOW + SECOND, [new])
    assert evacuated(core) == {"dc-1"}


def test_an_evacuation_that_was_never_known_is_believed_at_once():
    core = make_core()
    restored_list(core, NOW + SECOND, "dc-2")
    assert evacuated(core) == {"dc-2"}
