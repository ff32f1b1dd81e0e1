"""How long a weight version has been superseded, as far as a host can know.

Runs may begin on superseded weights for 8 s after the newer version is announced. A
host sends runs to them for 0.8 of that, 6.4 s. A host that doesn't know when the
version was announced sends for 0.8 of 3 s, 2.4 s, after its own start.
"""

import datetime

import gateways
import pytest

from sesamespindle.daemon import peermessages
from sesamespindle.decide import (
    announcements,
    budgets,
    events,
    gateway,
    gossip,
    incarnations,
    kvstores,
    sends,
    targetlist,
    targetsignals,
    weights,
)

NOW, SECOND = gateways.NOW, gateways.SECOND


def make_core(version=1):
    """Return a gateway that starts now and knows one engine."""
    core = gateways.make_gateway(runs_for=0 * SECOND)
    target = gateways.make_target("llm-3", "llm", versions={"m": version})
    core.step(NOW, [targetlist.TargetsListed((target,))])
    return core


def may_begin(core, at):
    return core.weights.may_begin(core.state.targets.get("llm-3"), "m", at)


def cost(core, at):
    return core.weights.cost(core.state.targets.get("llm-3"), "m", at)


def gossip_versions(sender, receiver, at):
    """Send a host's announced versions to another one, by the wire format."""
    sender.step(at, [events.Tick()])
    message = gossip.GossipMessage(
        "entry-2", "dc-1", named=sender.state.announcements.told
    )
    raw = peermessages.gossip_to_wire(message, 0, at).SerializeToString()
    parsed = type(peermessages.gossip_to_wire(message, 0, at)).FromString(raw)
    decoded = peermessages.gossip_from_wire(parsed, at)
    receiver.step(at, [gossip.GossipAnswered("10.0.0.2:81", decoded)])


def test_a_host_that_starts_learns_a_versions_age_from_peers():
    """A host restarts 5 s after a version was announced.

    It can't find out by itself when that was, but a peer that received the
    announcement knows: of the 6.4 s, 1.4 s are left.
    """
    peer, started = make_core(), make_core()
    peer.step(NOW, [weights.VersionAnnounced("m", 2)])
    later = NOW + 5 * SECOND
    started.step(later, [weights.VersionFound("m", 2, None)])
    assert not may_begin(started, later)
    gossip_versions(peer, started, later)
    assert may_begin(started, NOW + 6.3 * SECOND)
    assert not may_begin(started, NOW + 6.5 * SECOND)


def test_the_earliest_time_at_which_a_host_received_an_announcement_counts():
    first, last = make_core(), make_core()
    first.step(NOW, [weights.VersionAnnounced("m", 2)])
    last.step(NOW + 3 * SECOND, [weights.VersionAnnounced("m", 2)])
    gossip_versions(first, last, NOW + 4 * SECOND)
    assert not may_begin(last, NOW + 6.5 * SECOND)
    gossip_versions(last, first, NOW + 4 * SECOND)
    assert not may_begin(first, NOW + 6.5 * SECOND)


def test_versions_announced_too_long_ago_to_matter_are_not_gossiped():
    """They are gossiped for 11 s: the 8 s, and 3 s for hosts that have just started."""
    core = make_core()
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    core.step(NOW + 10 * SECOND, [events.Tick()])
    assert [naming.version for naming in core.state.announcements.told] == [2]
    core.step(NOW + 12 * SECOND, [events.Tick()])
    assert core.state.announcements.told == ()


def test_an_unknown_age_is_not_gossiped():
    core = make_core()
    core.step(NOW, [weights.VersionFound("m", 2, None), events.Tick()])
    assert core.state.announcements.told == ()


def test_a_lower_bound_of_an_announcements_time_is_gossiped():
    """No host received an announcement as it was made, as all watches had broken.

    Hosts that read the version later know a time at which it wasn't announced yet.
    Without that time, their peers couldn't rule out that the version was announced long
    ago, and would refuse requests that they may serve.
    """
    reader, other = make_core(), make_core()
    later = NOW + 6 * SECOND
    reader.step(later, [weights.VersionFound("m", 2, NOW + 5 * SECOND)])
    other.step(later, [weights.VersionFound("m", 2, None)])
    assert not may_begin(other, later)
    gossip_versions(reader, other, later)
    assert may_begin(other, NOW + 11 * SECOND)
    assert not may_begin(other, NOW + 11.5 * SECOND)
    other.step(later, [weights.VersionAnnounced("m", 2)])
    assert may_begin(other, NOW + 12 * SECOND)


def test_a_version_that_is_received_twice_does_not_supersede_itself():
    """A host learns of a version from a peer, and then by its own watch.

    If the version seemed to supersede itself, its predecessor would be unknown. All
    hosts would then refuse prompts for engines with the version before, from the
    announcement until the engines have loaded the new one.
    """
    first, second = make_core(), make_core()
    first.step(NOW, [weights.VersionAnnounced("m", 2)])
    gossip_versions(first, second, NOW)
    second.step(NOW, [weights.VersionAnnounced("m", 2)])
    assert may_begin(second, NOW + SECOND)
    gossip_versions(second, first, NOW)
    assert may_begin(first, NOW + SECOND)


def test_an_older_version_that_is_received_late_is_the_predecessor():
    core = make_core()
    core.step(NOW, [weights.VersionAnnounced("m", 3)])
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    assert may_begin(core, NOW + SECOND)


def test_a_version_is_gossiped_with_its_age_from_when_it_is_known():
    """A peer asks between an announcement and the next tick.

    If it learned of the change but not of its age, it would consider all older
    weights too old until the next gossip round.
    """
    core = make_core()
    core.step(NOW, [events.Tick()])
    core.step(NOW + SECOND / 20, [weights.VersionAnnounced("m", 2)])
    assert [naming.version for naming in core.state.announcements.told] == [2]


def test_ages_in_a_delayed_answer_count_from_its_request():
    """A host is paused while a peer's answer is in flight, and resumes 4 s later.

    Ages in the answer count from when the host asked, so that they aren't too low.
    """
    received = (announcements.Naming("m", 2, 1, NOW, True),)
    message = gossip.GossipMessage("entry-2", "dc-1", named=received)
    raw = peermessages.gossip_to_wire(message, 0, NOW)
    parsed = peermessages.gossip_from_wire(raw, NOW + 4 * SECOND, sent_after=NOW)
    assert parsed.named == received


def test_an_unknown_version_in_between_makes_older_weights_too_old():
    """An engine runs version 1; version 2 was announced long ago, version 3 just now.

    A host that started in between receives only the announcement of version 3. If it
    counted from that, runs would go on on version 1, which version 2 superseded 20 s
    before.
    """
    core = make_core()
    core.step(NOW, [weights.VersionFound("m", 2, None)])
    later = NOW + 20 * SECOND
    core.step(later, [weights.VersionAnnounced("m", 3)])
    assert not may_begin(core, later)
    core.state.targets.get("llm-3").learn_version("m", 2)
    assert may_begin(core, later)


def test_a_version_received_without_the_one_before_it_makes_older_weights_too_old():
    core = make_core()
    later = NOW + 20 * SECOND
    received = (announcements.Naming("m", 3, 2, later, True),)
    message = gossip.GossipMessage("entry-2", "dc-1", named=received)
    core.step(later, [gossip.GossipAnswered("10.0.0.2:81", message)])
    assert not may_begin(core, later)


def test_callers_are_not_all_refused_right_after_all_hosts_started():
    """All hosts restart, and all engines run superseded weights.

    No host knows for how long, so all prompts would be refused until the first engine
    has loaded the new weights, some tenths of a second after a host takes the lease.
    So for 2.4 s after its start a host may send prompts to weights that were superseded
    at an unknown time. Meanwhile it prefers engines with the new weights: such
    superseded weights have the highest cost, 1.
    """
    core = make_core()
    core.step(NOW, [weights.VersionFound("m", 2, None)])
    assert may_begin(core, NOW + 2 * SECOND)
    assert cost(core, NOW + 2 * SECOND) == 1.0
    assert not may_begin(core, NOW + 2.5 * SECOND)


def test_the_time_after_a_start_counts_from_the_start_of_the_process():
    """All hosts restart on busy machines, where a process takes 1.6 s to load.

    If the exempt time counted from the end of that, hosts would send prompts to
    superseded weights for too long.
    """
    me = events.Host("entry-1", "entry", "dc-1", "10.0.0.1:80", "10.0.0.1:81")
    core = gateway.Gateway(
        me, gateway.PlatformLimits(budgets.BudgetRule()), started_at=NOW - 1.6 * SECOND
    )
    target = gateways.make_target("llm-3", "llm", versions={"m": 1})
    core.step(NOW, [targetlist.TargetsListed((target,))])
    core.step(NOW, [weights.VersionFound("m", 2, None)])
    assert may_begin(core, NOW + 0.7 * SECOND)
    assert not may_begin(core, NOW + 0.9 * SECOND)
    assert not core.state.pauses.paused_since(NOW - SECOND)


def test_after_a_pause_a_version_counts_from_the_last_reading_before_it():
    core = make_core()
    late = NOW + 6 * SECOND
    core.step(late, [weights.VersionFound("m", 2, NOW)])
    assert may_begin(core, NOW + 6.3 * SECOND)
    assert not may_begin(core, NOW + 6.5 * SECOND)


@pytest.mark.parametrize("gap_seconds", [0.1, 0.9])
def test_late_steps_are_no_pause(gap_seconds):
    core = make_core()
    core.step(NOW + gap_seconds * SECOND, [events.Tick()])
    assert not core.state.pauses.paused_since(NOW)


def test_a_long_time_without_a_step_is_a_pause():
    core = make_core()
    core.step(NOW + 1.1 * SECOND, [events.Tick()])
    assert core.state.pauses.paused_since(NOW)
    assert not core.state.pauses.paused_since(NOW + 1.1 * SECOND)


def test_a_received_announcement_takes_precedence_in_any_order():
    """A time at which it wasn't announced yet, or an unknown one, changes nothing."""
    announced = announcements.Naming("m", 2, 1, NOW, True)
    found = announcements.Naming("m", 2, 0, NOW - 5 * SECOND, False)
    unknown = announcements.Naming("m", 2, 0, None, False)
    for order in ([announced, found, unknown], [unknown, found, announced]):
        known = announcements.Announcements()
        for naming in order:
            known.learn(naming)
        assert known.get("m", 2) == announced


def test_the_higher_of_two_lower_bounds_of_an_announcements_time_counts():
    known = announcements.Announcements()
    known.learn(announcements.Naming("m", 2, 0, None, False))
    known.learn(announcements.Naming("m", 2, 1, NOW, False))
    known.learn(
        announcements.Naming("m", 2, 1, NOW - datetime.timedelta(seconds=1), False)
    )
    assert known.get("m", 2) == announcements.Naming("m", 2, 1, NOW, False)


def begin(core, request_id):
    prompt = (kvstores.Part("c1", 100), kvstores.Part(request_id, 10))
    return gateways.begin(
        core, "/chat/1", request_id=request_id, model="m", prompt=prompt
    )


def answer_with(core, request_id, version):
    signals = targetsignals.TargetSignals(weight_version=version)
    core.forwarding.note_signals(request_id, signals, NOW)


def test_a_version_that_was_never_announced_is_not_believed():
    """Guards against an engine that is lost for good as one answer was spoiled."""
    core = make_core()
    assert begin(core, "r1").version == 1
    answer_with(core, "r1", 11)
    told = gossip.TargetVersion(incarnations.TargetIncarnation("llm-3"), "m", 11)
    message = gossip.GossipMessage("entry-2", "dc-1", target_versions=(told,))
    core.step(NOW, [gossip.GossipAnswered("10.0.0.2:81", message)])
    assert begin(core, "r2").version == 1
    core.step(NOW, [weights.VersionAnnounced("m", 11)])
    answer_with(core, "r2", 11)
    assert begin(core, "r3").version == 11


def test_a_version_that_its_target_refuses_is_no_longer_believed():
    """Guards against an engine that never gets an order, as it seems to be current."""
    core = make_core()
    core.state.pauses.started_at = NOW - 60 * SECOND
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    assert begin(core, "r1").version == 1
    answer_with(core, "r1", 2)
    assert begin(core, "r2").version == 2
    again = core.forwarding.ended("r2", sends.Ending.WRONG_VERSION, now=NOW)
    assert again.version == 1
    row = core.state.targets.get("llm-3")
    assert core.weights.is_behind(row, "m")


def test_the_version_of_a_targets_record_is_not_doubted():
    core = make_core(version=2)
    core.step(NOW, [weights.VersionAnnounced("m", 2)])
    begin(core, "r1")
    core.forwarding.ended("r1", sends.Ending.WRONG_VERSION, now=NOW)
    row = core.state.targets.get("llm-3")
    assert row.version_by_model == {"m": 2}
