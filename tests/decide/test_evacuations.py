"""Evacuated data centres, whose targets get no requests."""

import gateways
import places
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import commands, evacuations, gateway, sends, targetlist


def make_core(names=("desk-1", "desk-2")):
    """Return a gateway with some targets, each in a data centre of its own."""
    core = gateways.make_gateway()
    listed = tuple(
        gateways.make_target(name, data_centre=f"dc-{name[-1]}") for name in names
    )
    core.step(NOW, [targetlist.TargetsListed(listed)])
    return core


def sent_to(core, now=NOW):
    """Return the targets to which eight requests are sent."""
    answers = [
        gateways.begin(core, "/read/1", now, request_id=f"{now}{k}") for k in range(8)
    ]
    return {answer.target for answer in answers if isinstance(answer, sends.Forward)}


def test_targets_of_an_evacuated_data_centre_get_nothing_until_it_is_lifted():
    core = make_core()
    assert sent_to(core) == {"desk-1", "desk-2"}
    core.step(NOW, [evacuations.Evacuated("dc-2", places.at(10))])
    assert sent_to(core, NOW + SECOND) == {"desk-1"}
    core.step(NOW, [evacuations.EvacuationLifted("dc-2", places.at(20))])
    assert "desk-2" in sent_to(core, NOW + 2 * SECOND)


def test_a_target_that_is_listed_during_the_evacuation_gets_nothing():
    core = make_core(("desk-1",))
    core.step(NOW, [evacuations.EvacuationsListed(frozenset({"dc-2"}), places.at(10))])
    new = gateways.make_target("desk-2", data_centre="dc-2", revision=11)
    core.step(NOW, [targetlist.TargetChanged(new)])
    assert sent_to(core) == {"desk-1"}


def test_requests_that_nobody_may_run_are_refused_as_not_run():
    core = make_core(("desk-1",))
    core.step(NOW, [evacuations.Evacuated("dc-1", places.at(10))])
    refused = gateways.begin(core, "/once/1")
    assert isinstance(refused, commands.Refuse)
    assert refused.outcome is commands.Outcome.NOT_RUN
    assert refused.retry_after is not None


@pytest.mark.parametrize(
    "late",
    [
        evacuations.EvacuationsListed(frozenset({"dc-2"}), places.at(10)),
        evacuations.Evacuated("dc-2", places.at(10)),
    ],
)
def test_late_news_of_an_evacuation_that_is_over_changes_nothing(late):
    """A peer that is behind sends an evacuation that has been lifted already."""
    core = make_core()
    core.step(NOW, [evacuations.Evacuated("dc-2", places.at(10))])
    core.step(NOW, [evacuations.EvacuationsListed(frozenset(), places.at(20)), late])
    assert sent_to(core) == {"desk-1", "desk-2"}


def test_targets_count_as_cold_after_an_evacuation_until_a_newer_record_arrives():
    """Targets may restart, and so turn cold, while their data centre is evacuated.

    Guards against all hosts sending to them at once when the evacuation is lifted,
    before the records arrive that say that they are cold. A cold target crashes under
    more requests than it can handle. A record from before the lifting changes nothing.
    """
    core = make_core()
    configuration = gateways.make_cold_configuration()
    later = gateways.dataclasses.replace(configuration, version=2)
    core.step(NOW, [gateway.ConfigurationRead(later)])
    core.step(NOW, [evacuations.Evacuated("dc-2", places.at(10))])
    core.step(NOW, [evacuations.EvacuationLifted("dc-2", places.at(20))])
    row = core.state.targets.get("desk-2")
    assert row.cold_until == NOW + 3 * SECOND
    before = gateways.make_target("desk-2", data_centre="dc-2", revision=15)
    core.step(NOW, [targetlist.TargetChanged(before)])
    assert row.cold_until == NOW + 3 * SECOND
    after = gateways.make_target("desk-2", data_centre="dc-2", revision=25)
    core.step(NOW, [targetlist.TargetChanged(after)])
    assert row.cold_until is None
