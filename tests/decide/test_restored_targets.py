"""Targets that the platform's store lists as they were, after it came back older."""

import datetime

import gateways
import pytest

from sesamespindle.decide import eras, events, targetlist, weights

NOW, SECOND = gateways.NOW, gateways.SECOND
BORN = 1_000
MANY_MINUTES = datetime.timedelta(minutes=5)


def make_core():
    """Return a gateway that knows three targets in the store's first era."""
    core = gateways.make_gateway()
    core.step(NOW, [eras.EraSeen(1)])
    listed = [target(number, 60 + number) for number in (1, 2, 3)]
    core.state.freshness.note_read("servers", listed[-1].revision, 1, NOW, "a listing")
    core.step(NOW, [targetlist.TargetsListed(tuple(listed))])
    return core


def target(number, revision, era=1, **more):
    name = f"desk-{number}"
    return gateways.make_target(name, revision=revision, era=era, born=BORN, **more)


def restore(core, at, era=2):
    core.step(at, [eras.EraSeen(era)])


def usable(core):
    """Return the names of the targets that may get requests."""
    return {
        row.name
        for row in core.state.targets
        if row.listed and not row.leaving and row.missing_since is None
    }


def pass_time(core, start, seconds):
    now = start
    while now < start + seconds * SECOND:
        now += SECOND / 10
        core.step(now, [events.Tick()])
    return now


OLDER_COPY = tuple(target(number, 40 + number, era=2) for number in (1, 2, 3))


def test_a_target_that_was_seen_to_leave_stays_leaving():
    """Guards against requests to a target that an older copy lists as ready."""
    core = make_core()
    leaving = target(1, 70, leaving=True)
    core.step(NOW, [targetlist.TargetChanged(leaving)])
    restore(core, NOW + SECOND)
    core.step(NOW + SECOND, [targetlist.TargetsListed(OLDER_COPY)])
    assert usable(core) == {"desk-2", "desk-3"}


def test_a_target_that_left_is_not_used_again():
    core = make_core()
    core.step(NOW, [targetlist.TargetChanged(target(1, 70, leaving=True))])
    core.step(NOW, [targetlist.TargetRemoved("desk-1", BORN)])
    restore(core, NOW + SECOND)
    core.step(NOW + SECOND, [targetlist.TargetsListed(OLDER_COPY)])
    now = pass_time(core, NOW + SECOND, 20)
    core.step(now, [targetlist.TargetsListed(OLDER_COPY)])
    assert usable(core) == {"desk-2", "desk-3"}
    reborn = gateways.make_target("desk-1", revision=90, era=2, born=BORN + 1)
    core.step(now, [targetlist.TargetChanged(reborn)])
    assert usable(core) == {"desk-1", "desk-2", "desk-3"}


def test_a_removed_target_is_used_only_if_the_store_goes_on_listing_it():
    """Guards against requests to a target whose removal was lost with the copy."""
    core = make_core()
    core.step(NOW, [targetlist.TargetRemoved("desk-1", BORN)])
    now = pass_time(core, NOW, 3)
    assert core.state.targets.get("desk-1") is None
    restore(core, now)
    core.step(now, [targetlist.TargetsListed(OLDER_COPY)])
    assert usable(core) == {"desk-2", "desk-3"}
    pass_time(core, now, 6)
    assert usable(core) == {"desk-1", "desk-2", "desk-3"}


def test_a_removed_target_whose_removal_is_written_again_stays_removed():
    core = make_core()
    core.step(NOW, [targetlist.TargetRemoved("desk-1", BORN)])
    now = pass_time(core, NOW, 3)
    restore(core, now)
    core.step(now, [targetlist.TargetsListed(OLDER_COPY)])
    core.step(now, [targetlist.TargetRemoved("desk-1", BORN)])
    pass_time(core, now, 10)
    assert usable(core) == {"desk-2", "desk-3"}


def test_a_target_that_the_copy_lacks_is_kept_until_it_has_registered_again():
    """Guards against requests without a target while targets register again."""
    core = make_core()
    restore(core, NOW + SECOND)
    core.step(NOW + SECOND, [targetlist.TargetsListed(OLDER_COPY[1:])])
    now = pass_time(core, NOW + SECOND, 2)
    assert core.state.targets.get("desk-1") is not None
    pass_time(core, now, 1)
    assert core.state.targets.get("desk-1") is None


def test_versions_that_a_target_runs_do_not_fall_by_an_older_copy():
    """Guards against prompts for weights that a target has replaced."""
    core = make_core()
    core.step(NOW, [targetlist.TargetChanged(target(1, 70, versions={"m": 2}))])
    restore(core, NOW + SECOND)
    older = target(1, 41, era=2, versions={"m": 1})
    core.step(NOW + SECOND, [targetlist.TargetsListed((older, *OLDER_COPY[1:]))])
    assert core.state.targets.get("desk-1").version_by_model == {"m": 2}
    fallen = target(1, 50, era=2, versions={"m": 1})
    core.step(NOW + SECOND, [targetlist.TargetChanged(fallen)])
    assert core.state.targets.get("desk-1").version_by_model == {"m": 1}


def test_a_cold_target_stays_cold_though_an_older_copy_lists_it_as_warm():
    """Guards against a rush on a target whose turning cold was lost."""
    core = make_core()
    core.step(NOW, [targetlist.TargetChanged(target(1, 70, cold_for=9 * SECOND))])
    restore(core, NOW + SECOND)
    core.step(NOW + SECOND, [targetlist.TargetsListed(OLDER_COPY)])
    assert core.state.targets.get("desk-1").cold_until == NOW + 9 * SECOND


@pytest.mark.parametrize("seen", [0, 1])
def test_a_replaced_target_does_not_take_its_address_back(seen):
    """Guards against calls to a crashed target that an older copy still lists."""
    core = make_core()
    successor = gateways.make_target("copy-1", revision=80, era=1, born=BORN + 5)
    core.step(NOW, [targetlist.TargetChanged(successor)])
    restore(core, NOW + SECOND)
    listed = OLDER_COPY if seen else (*OLDER_COPY, successor)
    core.step(NOW + SECOND, [targetlist.TargetsListed(listed)])
    assert "copy-1" in {row.name for row in core.state.targets if row.listed}


def test_a_version_seen_before_stays_the_newest():
    core = make_core()
    core.step(NOW, [weights.VersionAnnounced("m", 3)])
    restore(core, NOW + SECOND)
    core.step(NOW + SECOND, [weights.VersionFound("m", 2, NOW)])
    assert core.weights.named("m") == 3
