"""Targets that restart under the same name, and records that describe no target."""

import dataclasses

import gateways
import places
import pytest

from sesamespindle.decide import (
    commands,
    events,
    gossip,
    incarnations,
    kvstores,
    rollout,
    sends,
    targetlist,
    targetsignals,
    weights,
)

NOW = gateways.NOW
SECOND = gateways.SECOND
BORN, BORN_AGAIN = 1_700_000_000_000, 1_700_000_005_000


def listed(name="llm-3", born=BORN, version=1, **changed):
    service = name.partition("-")[0]
    versions = {"m": version} if service == "llm" else {}
    return gateways.make_target(name, service, versions=versions, born=born, **changed)


@pytest.fixture
def core():
    """Return a gateway that knows one engine and one plain service target."""
    made = gateways.make_gateway()
    made.step(NOW, [targetlist.TargetsListed((listed(), listed("desk-1")))])
    return made


def change(core, *args, now=NOW, **changed):
    return core.step(now, [targetlist.TargetChanged(listed(*args, **changed))])


def row_of(core, name="llm-3"):
    return core.state.targets.get(name)


def gossip_of(core, **content):
    message = gossip.GossipMessage("entry-2", "dc-1", **content)
    return core.step(NOW, [gossip.GossipReceived("x", message)])


def test_an_engine_that_started_again_holds_nothing(core):
    """Guards against long prompts that wait at a restarted engine with an empty cache.

    An engine crashes and restarts under its name, and its record has a new start time.
    If its prefilled tokens still counted as held, long prompts would go to it and be
    recomputed in full.
    """
    row = row_of(core)
    part = kvstores.Part("p", 100)
    row.note_cached("1", (part,), 1000)
    row.failure_rate, row.failures, row.reported_load = 0.9, 3, 40
    row.ejected_until = NOW + 9 * SECOND
    emitted = change(core, born=BORN_AGAIN, revision=2)
    assert commands.Note("target_restarted", "llm-3", _restart_detail()) in emitted
    new_target = row_of(core)
    assert (new_target.born, new_target.cached_parts, new_target.failure_rate) == (
        BORN_AGAIN,
        {},
        0.0,
    )
    assert new_target.usable(NOW)
    assert new_target.reported_load == 0


def _restart_detail():
    return f"born {BORN_AGAIN}, before {BORN}"


def test_a_target_that_left_and_started_again_is_used(core):
    """Guards against a restarted target that gets no requests.

    A target drains, ends and restarts under its name. Its new incarnation must not
    count as leaving.
    """
    change(core, "desk-1", leaving=True, revision=2)
    assert row_of(core, "desk-1").leaving
    change(core, "desk-1", born=BORN_AGAIN, revision=3)
    assert isinstance(gateways.begin(core, "/once/1"), sends.Forward)


@pytest.mark.parametrize("revision", [1, 9])
def test_an_old_record_of_an_earlier_incarnation_changes_nothing(core, revision):
    """Guards against an old copy of the list that replaces the running incarnation."""
    change(core, born=BORN_AGAIN, revision=5)
    row = row_of(core)
    change(core, born=BORN, revision=revision, leaving=True)
    core.step(NOW, [targetlist.TargetRemoved("llm-3", BORN)])
    assert row_of(core) is row
    assert not row.leaving
    assert row.missing_since is None


def test_gossip_about_an_earlier_incarnation_changes_nothing(core):
    """Guards against gossip about an earlier incarnation that changes the current one.

    A peer that has not learned of the restart sends that the target is leaving, runs
    other weights and has much pending work; all of that ended with the incarnation.
    """
    change(core, born=BORN_AGAIN, revision=2)
    row, old = row_of(core), incarnations.TargetIncarnation("llm-3", BORN)
    gossip_of(
        core,
        leaving_targets=(gossip.LeavingTarget(old, row.url),),
        target_versions=(gossip.TargetVersion(old, "m", 7, places.at(1)),),
        pending=(gossip.PendingWork(old, 5000, 5000),),
    )
    assert not row.leaving
    assert row.version_by_model == {"m": 1}
    assert row.peer_work_by_entry == {}


def test_the_end_of_a_send_to_an_earlier_incarnation_changes_nothing_of_the_new(core):
    """Guards against a failure that counts for the wrong incarnation of a target.

    A booking is in flight when its target dies and restarts. The new incarnation gets
    no failure for it and keeps its count of running requests, and the caller must not
    learn that the booking hasn't run, as that isn't known.
    """
    gateways.begin(core, "/once/1")
    change(core, "desk-1", born=BORN_AGAIN, revision=2)
    other = gateways.begin(core, "/once/1", request_id="r2")
    assert other.born == BORN_AGAIN
    core.forwarding.note_signals("r1", targetsignals.TargetSignals(60), NOW)
    refused = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert refused.outcome is commands.Outcome.UNKNOWN
    row = row_of(core, "desk-1")
    assert (row.running_here, row.failure_rate, row.reported_load) == (1, 0.0, 0)


def test_a_lookup_may_go_to_the_next_incarnation_of_its_target(core):
    gateways.begin(core, "/read/1")
    change(core, "desk-1", born=BORN_AGAIN, revision=2)
    again = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert (again.target, again.born) == ("desk-1", BORN_AGAIN)


def test_a_known_version_falls_with_the_targets_own_record(core):
    """Guards against an engine that stays on older weights for good.

    A restarted engine counts orders from zero, so an order from before its restart may
    fit again, and takes it back to older weights. If known versions only rose, it would
    never get a new order.
    """
    change(core, born=BORN_AGAIN, revision=2, version=3)
    change(core, born=BORN_AGAIN, revision=3, version=2)
    assert row_of(core).version_by_model == {"m": 2}
    late = gossip.TargetVersion(
        incarnations.TargetIncarnation("llm-3", BORN_AGAIN), "m", 3, places.at(2)
    )
    gossip_of(core, target_versions=(late,))
    assert row_of(core).version_by_model == {"m": 2}
    core.step(NOW, [weights.VersionAnnounced("m", 4)])
    current = gossip.TargetVersion(
        incarnations.TargetIncarnation("llm-3", BORN_AGAIN), "m", 4, places.at(3)
    )
    gossip_of(core, target_versions=(current,))
    assert row_of(core).version_by_model == {"m": 4}


def test_a_report_of_another_incarnation_changes_nothing(core):
    """Guards against a late report of an engine that has restarted since."""
    change(core, born=BORN_AGAIN, revision=2)
    core.step(NOW, [rollout.Reported("llm-3", 5, False, {"m": 7}, BORN)])
    assert row_of(core).version_by_model == {"m": 1}


def test_a_record_without_a_start_time_among_others_describes_no_target(core):
    """Guards against requests to a target that doesn't exist.

    Another writer puts a record that looks complete but has no start time. All targets
    here have start times, so it describes none, and the others stay in use.
    """
    wrong_record = targetlist.TargetChanged(listed("desk-2", born=None))
    core.step(
        NOW, [wrong_record, targetlist.TargetChanged(listed("desk-1", revision=2))]
    )
    assert row_of(core, "desk-2") is None
    core.step(
        NOW, [targetlist.TargetsListed((listed("desk-1"), listed("desk-2", None)))]
    )
    assert row_of(core, "desk-2") is None
    assert row_of(core, "desk-1").usable(NOW)


def test_a_record_that_loses_its_start_time_ends_its_target(core):
    """Guards against use of a target whose record another writer has overwritten.

    The new record has no start time, so it describes no target.
    """
    change(core, "desk-1", born=None, revision=2)
    assert not row_of(core, "desk-1").usable(NOW)
    change(core, "desk-1", revision=3)
    assert row_of(core, "desk-1").usable(NOW)


def test_targets_without_start_times_are_told_apart_by_name(core):
    made = gateways.make_gateway()
    made.step(
        NOW, [targetlist.TargetsListed((listed(born=None), listed("desk-1", None)))]
    )
    change(made, "desk-1", born=None, revision=2)
    assert row_of(made, "desk-1").usable(NOW)


def list_successor(core, **changed):
    """List a target at the address of llm-3."""
    new_target = dataclasses.replace(listed(**changed), name="llm-7")
    return core.step(NOW, [targetlist.TargetChanged(new_target)])


def test_a_target_whose_address_another_one_has_taken_is_not_used(core):
    """Guards against prompts that are rejected again and again at a reused address.

    An engine crashes, and the next one is listed at its address. The dead engine's
    record stays for some heartbeats. Prompts that prefer the dead engine are rejected
    by the new one.
    """
    emitted = list_successor(core, revision=4)
    assert commands.Note("target_superseded", "llm-3", "llm-7") in emitted
    assert not row_of(core).usable(NOW)


def test_the_record_of_a_superseded_target_does_not_make_it_usable(core):
    """Guards against use of a superseded target after the list is read again.

    The whole list is read while it still has both records.
    """
    list_successor(core, revision=4)
    change(core, revision=1)
    assert not row_of(core).usable(NOW)
    assert row_of(core, "llm-7").usable(NOW)
    change(core, revision=5)
    assert row_of(core).usable(NOW)


def test_a_wrong_record_at_anothers_address_removes_no_target(core):
    """Guards against a good target that a wrong record at its address removes from use.

    Another writer lists a target at the address of a good one. The good target rejects
    the first request, as that is meant for another. It is then used again, and the
    wrong record is ignored although the list still has it.
    """
    wrong_record = dataclasses.replace(listed("desk-1", revision=8), name="desk-5")
    core.step(NOW, [targetlist.TargetChanged(wrong_record)])
    sent = gateways.begin(core, "/once/1")
    assert sent.target == "desk-5"
    again = core.forwarding.ended("r1", sends.Ending.WRONG_TARGET, now=NOW)
    assert again.target == "desk-1"
    core.step(NOW, [targetlist.TargetChanged(wrong_record)])
    assert gateways.begin(core, "/once/1", request_id="r2").target == "desk-1"


def test_a_target_is_used_again_once_the_record_at_its_address_is_gone(core):
    list_successor(core, revision=4)
    core.step(NOW, [targetlist.TargetRemoved("llm-7", BORN)])
    core.step(NOW + 5 * gateways.SECOND, [events.Tick()])
    assert row_of(core).usable(NOW)


def test_an_old_change_by_another_writer_sets_no_target_aside(core):
    """Guards against a good target that an outdated change removes from use.

    A record is overwritten by another writer, and then written again by its target. A
    host learns of the good record first, from a peer, and of the earlier change only
    afterwards, from its own watch.
    """
    change(core, "desk-1", revision=6)
    core.step(NOW, [targetlist.TargetUnreadable("desk-1", places.at(5))])
    assert row_of(core, "desk-1").usable(NOW)
    core.step(NOW, [targetlist.TargetUnreadable("desk-1", places.at(7))])
    assert not row_of(core, "desk-1").usable(NOW)


def test_a_restart_is_not_noted_as_another_target_at_the_address(core):
    emitted = change(core, born=BORN_AGAIN, revision=2)
    kinds = [item.kind for item in emitted if isinstance(item, commands.Note)]
    assert kinds == ["target_restarted", "target_listed"]


def test_a_record_of_an_unknown_service_removes_no_target(core):
    """Guards against a good target that gets no requests because of a copied record.

    Another writer copies a target's record under another name and an unknown service.
    No request ever goes to that service, so no rejection would show that there is no
    such target.
    """
    copied = gateways.make_target("copy-1", "nowhere", revision=9, born=BORN)
    copied = dataclasses.replace(copied, address=row_of(core, "desk-1").url)
    core.step(NOW, [targetlist.TargetChanged(copied)])
    assert row_of(core, "desk-1").usable(NOW)
    assert gateways.begin(core, "/once/1").target == "desk-1"
