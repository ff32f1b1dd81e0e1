"""Choosing a target by the expected cost of its answer."""

import collections
import datetime

from sesamespindle.decide import placement, world

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)


def make_row(name, **changed):
    row = world.TargetRow(name, "llm", None, "dc-1", False, f"{name}:80", listed=True)
    for attribute, value in changed.items():
        setattr(row, attribute, value)
    return row


def make_work(prefill_tokens=1000, held_tokens=1000):
    return placement.Work(
        held_tokens,
        100_000,
        0.4,
        lambda row: placement.Effort(prefill_tokens),
    )


def choose(rows, cost_by_name=None, preferred_row=None, **work):
    costs = cost_by_name or {}
    return placement.choose_engine(
        rows,
        make_work(**work),
        NOW,
        lambda row: costs.get(row.name, 0.0),
        preferred_row,
    )


def sent(tokens, held_tokens=0):
    return world.SentWork(NOW, tokens, held_tokens)


def test_chooses_the_preferred_engine_of_a_context():
    rows = [make_row("a"), make_row("b")]
    assert choose(rows, preferred_row=rows[1]) is rows[1]


def test_leaves_a_preferred_engine_that_would_be_late():
    """Prompts of one context queue at its preferred engine while others idle.

    The preferred engine has more than a second of prefill to do first. To prefill
    the context elsewhere costs less than a late first token.
    """
    busy = make_row("a", sent_by_request={"r": sent(60_000)})
    idle = make_row("b")
    assert choose([busy, idle], preferred_row=busy) is idle


def test_counts_what_peers_have_sent():
    rows = [make_row("a", peer_work_by_entry={"e": sent(60_000)}), make_row("b")]
    assert choose(rows) is rows[1]


def test_superseded_weights_in_time_beat_new_ones_too_late():
    """New weights are announced and only two of five engines have loaded them.

    If all prompts went to those two, their first tokens would come a second late.
    The other three engines would idle, though answers on the superseded weights
    still have most of their value.
    """
    crowded = make_row("new", sent_by_request={"r": sent(60_000)})
    old = make_row("old")
    assert choose([crowded, old], {"old": 0.3}) is old
    assert choose([make_row("new"), old], {"old": 0.3}).name == "new"


def test_does_not_fill_an_engines_memory():
    """An engine's memory runs out while its queue is short.

    It would preempt a run and recompute its prompt.
    """
    full = make_row("a", peer_work_by_entry={"e": sent(0, 80_000)})
    assert (
        choose([full, make_row("b")], preferred_row=full, held_tokens=12_000).name
        == "b"
    )


def test_missing_targets_are_used_only_if_no_other_is_left():
    missing = make_row("a", missing_since=NOW)
    listed = make_row("b")
    assert placement.usable([missing, listed], NOW) == [listed]
    assert placement.usable([missing], NOW) == [missing]


def test_a_plain_target_with_less_to_do_goes_first():
    rows = [make_row("a", reported_load=6, slots=6), make_row("b", slots=6)]
    assert placement.choose_service_target(rows, "dc-1", NOW) is rows[1]


def test_contexts_without_their_preferred_engine_spread_over_all_engines():
    """The preferred engines of some contexts are unavailable.

    If all hosts took the first of the other engines, that one would get the prompts
    of all the unavailable ones, observed at a quarter of the engines, while others
    idled.
    """
    rows = [make_row(f"llm-{number}") for number in range(12)]
    chosen = collections.Counter(
        choose(placement.ranked(rows, f"context-{number}")).name
        for number in range(600)
    )
    assert len(chosen) == 12
    assert max(chosen.values()) < 2 * 600 / 12
