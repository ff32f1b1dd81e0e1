"""Limits on requests that targets name in their answers."""

import math

import gateways
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import commands, targetlist, targetsignals


@pytest.fixture
def core():
    made = gateways.make_gateway()
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
