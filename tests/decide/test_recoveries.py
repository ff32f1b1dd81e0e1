"""Which missing targets are kept after the platform has recovered from an outage."""

import datetime

import gateways
import places
import pytest

from sesamespindle.decide import eras, events, targetlist

NOW = gateways.NOW
RECOVERY = places.at(20)
BEFORE_OUTAGE, SINCE_RECOVERY = places.at(15), places.at(21)
NAMES = "desk-1", "desk-2"


def after(seconds):
    return NOW + datetime.timedelta(seconds=seconds)


@pytest.fixture
def core():
    """Return a gateway with two targets, as the platform has just recovered."""
    made = gateways.make_gateway()
    listed = tuple(gateways.make_target(name, "desk") for name in NAMES)
    made.step(after(-10), [targetlist.TargetsListed(listed)])
    made.step(NOW, [targetlist.PlatformAvailable(NOW, RECOVERY)])
    return made


def is_kept(core, at):
    core.step(at, [events.Tick()])
    return "desk-2" in core.state.targets


def test_a_target_whose_record_lapsed_in_the_outage_is_kept_until_it_may_be_back(core):
    gone = targetlist.TargetRemoved("desk-2", None, BEFORE_OUTAGE)
    core.step(after(0.1), [gone])
    assert is_kept(core, after(2.4))
    assert not is_kept(core, after(2.6))


def test_a_target_that_the_first_list_after_the_outage_lacks_is_kept(core):
    listed = (gateways.make_target("desk-1", "desk"),)
    core.step(after(0.1), [targetlist.TargetsListed(listed, BEFORE_OUTAGE)])
    assert is_kept(core, after(2.4))
    assert not is_kept(core, after(2.6))


def test_a_target_that_was_removed_after_the_outage_is_not_kept_for_it(core):
    """Requests reach a target that left for longer than its drain time."""
    core.step(after(0.5), [targetlist.TargetRemoved("desk-2", None, SINCE_RECOVERY)])
    assert is_kept(core, after(1.4))
    assert not is_kept(core, after(1.6))


def test_a_target_that_later_lists_lack_is_not_kept_for_the_outage(core):
    """A host hears of the removal from a peer, and keeps the target for the outage."""
    listed = (gateways.make_target("desk-1", "desk"),)
    core.step(after(0.5), [targetlist.TargetsListed(listed, SINCE_RECOVERY)])
    assert not is_kept(core, after(1.6))


def test_a_target_removed_before_a_recovery_that_a_peer_tells_is_not_kept_for_it():
    """One host is cut off and back; its recovery is no reason for the others."""
    core = gateways.make_gateway()
    listed = tuple(gateways.make_target(name, "desk") for name in NAMES)
    core.step(after(-10), [targetlist.TargetsListed(listed)])
    core.step(after(-0.5), [targetlist.TargetRemoved("desk-2", None, BEFORE_OUTAGE)])
    core.step(NOW, [targetlist.PlatformAvailable(NOW, RECOVERY)])
    assert not is_kept(core, after(0.6))


def test_a_second_outage_keeps_what_lapsed_in_the_first(core):
    """Targets that still serve are dropped while the platform can't list them."""
    core.step(after(0.1), [targetlist.TargetRemoved("desk-2", None, BEFORE_OUTAGE)])
    core.step(after(2), [targetlist.PlatformAvailable(after(2), places.at(25))])
    assert is_kept(core, after(4.4))
    assert not is_kept(core, after(4.6))


def test_a_restored_store_may_lack_any_target(core):
    core.step(after(0.1), [eras.StoreRestored(1)])
    core.step(after(0.2), [targetlist.TargetRemoved("desk-2", None, SINCE_RECOVERY)])
    assert is_kept(core, after(2.5))
