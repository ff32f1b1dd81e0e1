"""Which parts for hard load a deployment calls for."""

import pytest

from sesamespindle.decide import loadparts

Part = loadparts.Part


def on(parts):
    return {part for part in Part if parts.is_on(part)}


def test_nothing_is_on_for_a_deployment_that_does_not_ask():
    """Guards against earlier deployments that are served in another way than before."""
    parts = loadparts.LoadParts()
    parts.note_speed(None)
    parts.note_speed(loadparts.USUAL_SPEED)
    assert on(parts) == set()
    assert parts.describe() == "none"


def test_all_parts_are_on_where_callers_compete():
    assert on(loadparts.LoadParts(callers_compete=True)) == set(Part)


@pytest.mark.parametrize("speed", [40, 250])
def test_targets_on_shared_machines_call_for_what_concerns_targets(speed):
    parts = loadparts.LoadParts()
    parts.note_speed(speed)
    assert on(parts) == {Part.QUEUES, Part.KEEPERS}


def test_the_choice_of_the_operator_goes_first():
    choices = {
        Part.QUEUES: loadparts.Choice.OFF,
        Part.WEIGHTED_HOSTS: loadparts.Choice.ON,
    }
    parts = loadparts.LoadParts(choice_by_part=choices)
    parts.note_speed(250)
    assert on(parts) == {Part.KEEPERS, Part.WEIGHTED_HOSTS}
