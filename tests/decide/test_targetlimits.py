"""Limits on requests that targets name in their answers."""

import math

import gateways
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import (
    commands,
    events,
    gossip,
    incarnations,
    sends,
    targetlist,
    targetsignals,
)


@pytest.fixture
def core():
    made = gateways.make_gateway()
    me = events.Host("entry-1", "entry", "dc-1", "10.0.0.1:80", "10.0.0.1:81")
    made.step(NOW, [events.HostsListed((me,))])
    made.state.pauses.started_at = NOW - 60 * SECOND
    made.step(NOW, [targetlist.TargetsListed((gateways.make_target("desk-1"),))])
    return made


def tell(core, limit, sent_at=NOW, now=NOW, request_id="r1"):
    """Have desk-1 name a limit in its answer to a request."""
    gateways.begin(core, "/read/1", sent_at, request_id=request_id)
    signals = targetsignals.TargetSignals(limit=limit)
    core.forwarding.note_signals(request_id, signals, now)
    core.forwarding.close(request_id, now)


def reason(core, now):
    """Return the logged reason of a send at a time."""
    return gateways.begin(core, "/read/1", now, request_id="reason").reason


def notes(core):
    return [
        (item.kind, item.subject, item.detail)
        for item in core.step(NOW, [])
        if isinstance(item, commands.Note)
    ]


def test_the_log_tells_when_a_limit_begins_changes_and_ends(core):
    for number, limit in enumerate((math.inf, 1.5, 1.5, 20.0, math.inf)):
        at = NOW + 2 * number * SECOND
        tell(core, limit, at, at, f"r{number}")
    assert notes(core) == [
        ("target_limit", "desk-1", "1.5/s, in the answer to request r1"),
        ("target_limit", "desk-1", "20/s, in the answer to request r3"),
        ("target_limit", "desk-1", "none, in the answer to request r4"),
    ]


def test_a_send_tells_the_limit_that_was_known(core):
    tell(core, 2.5)
    later = NOW + 9 * SECOND
    assert "limit 2.5/s told 9.0 s ago" in reason(core, later)


def test_an_unreadable_limit_is_logged_and_changes_nothing(core):
    tell(core, 2.5)
    notes(core)
    gateways.begin(core, "/read/1", NOW + 9 * SECOND, request_id="r2")
    signals = targetsignals.TargetSignals(limit=None, unreadable=("Server-Limit: x",))
    core.forwarding.note_signals("r2", signals, NOW + 9 * SECOND)
    assert notes(core) == [
        (
            "target_signal_unreadable",
            "desk-1",
            "Server-Limit: x, in the answer to request r2",
        )
    ]
    assert core.target_limits.count() == 1


@pytest.mark.parametrize("overtaken", [math.inf, 50.0])
def test_an_overtaken_answer_neither_ends_nor_raises_a_limit(core, overtaken):
    """An answer from before the limit arrives after the one that names it."""
    gateways.begin(core, "/read/1", NOW, request_id="old")
    tell(core, 2.0, NOW, NOW + SECOND)
    signals = targetsignals.TargetSignals(limit=overtaken)
    core.forwarding.note_signals("old", signals, NOW + 2 * SECOND)
    assert core.target_limits.count() == 1
    assert [detail for _, _, detail in notes(core)] == [
        "2/s, in the answer to request r1"
    ]


def test_a_limit_belongs_to_one_incarnation(core):
    tell(core, 2.0)
    restarted = gateways.make_target("desk-1", revision=2, born=7)
    core.step(NOW, [targetlist.TargetChanged(restarted)])
    assert "no limit" in reason(core, NOW)


def test_a_limit_outlasts_a_record_that_was_missing_for_a_while(core):
    """Records expire while the platform is away, and come back unchanged."""
    tell(core, 2.0)
    core.step(NOW, [targetlist.TargetsListed(())])
    core.state.drop_target("desk-1")
    back = targetlist.TargetsListed((gateways.make_target("desk-1"),))
    core.step(NOW + 2 * SECOND, [back])
    assert "limit 2/s" in reason(core, NOW + 3 * SECOND)


def tell_by_gossip(core, limit, told_at, now):
    incarnation = incarnations.TargetIncarnation("desk-1")
    told = gossip.TargetLimit(incarnation, limit, told_at)
    core.target_limits.merge((told,), now)


def first_sends(core, seconds):
    """Return the times of sends, in tenths of a second, while requests keep coming."""
    sent = []
    for tenth in range(int(seconds * 10)):
        at = NOW + tenth * SECOND / 10
        request_id = f"s{tenth}"
        command = gateways.begin(core, "/read/1", at, request_id=request_id)
        if isinstance(command, sends.Forward):
            sent.append(tenth)
            core.forwarding.close(request_id, at)
    return sent


def test_senders_that_learn_of_a_limit_at_once_spread_their_requests():
    """Guards against all senders sending at once, and again after each pause."""
    hosts = tuple(
        events.Host(f"entry-{n}", "entry", "dc-1", f"10.0.0.{n}:80", f"10.0.0.{n}:81")
        for n in range(4)
    )
    begun = []
    for host in hosts:
        core = gateways.make_gateway(me=host)
        core.step(NOW, [events.HostsListed(hosts)])
        core.state.pauses.started_at = NOW - 60 * SECOND
        core.step(NOW, [targetlist.TargetsListed((gateways.make_target("desk-1"),))])
        tell_by_gossip(core, 1.0, NOW, NOW)
        first, second, *_ = first_sends(core, 10.0)
        assert second - first == pytest.approx(4 / 0.9 * 10, abs=1)
        begun.append(first)
    begun.sort()
    assert begun == pytest.approx([11, 22, 33, 44], abs=1.5)


def test_a_peers_word_counts_if_it_is_later(core):
    tell(core, 2.0, NOW, NOW + SECOND)
    tell_by_gossip(core, math.inf, NOW, NOW + 2 * SECOND)
    assert core.target_limits.count() == 1
    tell_by_gossip(core, math.inf, NOW + 2 * SECOND, NOW + 2 * SECOND)
    assert core.target_limits.count() == 0


def test_peers_are_told_of_a_limit_and_of_its_end(core):
    tell(core, 2.0)
    told = core.target_limits.records_to_announce(NOW)
    assert [item.limit for item in told] == [2.0]
    tell(core, math.inf, NOW + SECOND, NOW + SECOND, "r2")
    told = core.target_limits.records_to_announce(NOW + 20 * SECOND)
    assert [item.limit for item in told] == [math.inf]
    assert core.target_limits.records_to_announce(NOW + 60 * SECOND) == ()


def test_what_is_known_of_targets_that_are_gone_is_forgotten(core):
    tell(core, 2.0)
    core.state.drop_target("desk-1")
    core.target_limits.tick(NOW + 30 * SECOND)
    assert core.target_limits.count() == 1
    core.target_limits.tick(NOW + 90 * SECOND)
    assert core.target_limits.count() == 0


def test_a_host_that_has_just_started_sends_to_no_limited_target(core):
    """It may not know the other hosts yet, and would consider itself the sender."""
    core.state.pauses.started_at = NOW
    tell(core, 2.0)
    assert first_sends(core, 2.5) == []


def test_a_message_tells_the_latest_limits_only(core):
    """Guards against messages that grow with the number of limited targets."""
    for number in range(200):
        incarnation = incarnations.TargetIncarnation(f"desk-{number}")
        told = gossip.TargetLimit(incarnation, 1.0, NOW + number * SECOND / 1000)
        core.target_limits.merge((told,), NOW)
    told = core.target_limits.records_to_announce(NOW)
    assert len(told) <= 64
    assert told[0].incarnation.name == "desk-199"


def test_hosts_that_hear_of_a_limit_and_are_no_senders_never_ask():
    """Guards against many hosts that ask for news which their peers already have."""
    hosts = tuple(
        events.Host(f"entry-{n}", "entry", "dc-1", f"10.0.0.{n}:80", f"10.0.0.{n}:81")
        for n in range(30)
    )
    senders = 0
    for host in hosts:
        core = gateways.make_gateway(me=host)
        core.step(NOW, [events.HostsListed(hosts)])
        core.state.pauses.started_at = NOW - 60 * SECOND
        core.step(NOW, [targetlist.TargetsListed((gateways.make_target("desk-1"),))])
        sent = 0
        for second in range(60):
            at = NOW + second * SECOND
            tell_by_gossip(core, 1.0, at, at)
            command = gateways.begin(core, "/read/1", at, deadline=at + 9 * SECOND)
            sent += isinstance(command, sends.Forward)
            core.forwarding.close("r1", at)
        senders += sent > 0
    assert senders == 4
