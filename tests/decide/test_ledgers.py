"""What the keeper of an engine grants, and what it forgets."""

import datetime

import gateways
import pytest

from sesamespindle.decide import incarnations, ledgers

NOW, SECOND = gateways.NOW, gateways.SECOND
ENGINE = incarnations.TargetIncarnation("llm-1", 5)


@pytest.fixture
def known():
    return ledgers.Ledgers()


def make_ask(request=1, host="a:1", tokens=12_000, urgency=3, **changed):
    fields = {"incarnation": ENGINE, "capacity": 100_000, "slots": 64}
    fields |= {"wait": 10 * SECOND, "left": 20 * SECOND}
    fields |= {"held_tokens": tokens}
    return ledgers.Ask(
        host=host, request=request, tokens=tokens, urgency=urgency, **(fields | changed)
    )


def ask(known, now=NOW, **changed):
    return known.ask(make_ask(**changed), now).reason


def tell(known, stage, now=NOW, request=1, host="a:1", incarnation=ENGINE, **changed):
    fields = {"tokens": 12_000, "held_tokens": 12_000, "left": 20 * SECOND}
    told = ledgers.Tell(host, request, incarnation, stage, **(fields | changed))
    known.take(told, now)


def fill(known, now=NOW):
    """Ask for one prompt after the other until one is declined; return how many."""
    for number in range(100, 200):
        if ask(known, now, request=number, host=f"h{number}") != ledgers.Reason.GRANTED:
            return number - 100
    return 100


def test_all_hosts_together_stay_within_the_share(known):
    """Guards against hosts that fill an engine's memory as none sees the others."""
    assert fill(known) == 7
    assert known.held_tokens() == 84_000
    tell(known, ledgers.Stage.ENDED, request=100, host="h100")
    assert ask(known) is ledgers.Reason.GRANTED


def test_a_question_asked_twice_counts_once(known):
    """Guards against a datagram that comes twice and holds memory twice."""
    for _ in range(20):
        assert ask(known) is ledgers.Reason.GRANTED
    assert known.held_tokens() == 12_000


def test_an_end_that_overtakes_its_question_leaves_no_memory_held(known):
    """Guards against memory held until the deadline of a caller who has left."""
    tell(known, ledgers.Stage.ENDED)
    assert ask(known, NOW + 0.01 * SECOND) is ledgers.Reason.GRANTED
    assert known.held_tokens() == 0
    tell(known, ledgers.Stage.BEGUN, NOW + 0.1 * SECOND)
    assert known.held_tokens() == 12_000


def test_an_end_that_came_long_before_changes_no_later_question(known):
    tell(known, ledgers.Stage.ENDED)
    ask(known, NOW + 2 * SECOND)
    assert known.held_tokens() == 12_000


def test_a_prompt_beyond_the_share_runs_alone(known):
    """Guards against a prompt that no engine is ever granted for."""
    assert ask(known, tokens=95_000) is ledgers.Reason.GRANTED
    assert ask(known, request=2, tokens=100) is ledgers.Reason.MEMORY


def test_nothing_less_urgent_takes_what_an_urgent_prompt_waits_for(known):
    """Guards against an urgent long prompt that shorter ones keep out for good."""
    fill(known)
    tell(known, ledgers.Stage.ENDED, request=100, host="h100")
    assert ask(known, tokens=14_000, urgency=1) is ledgers.Reason.MEMORY
    less = {"request": 2, "tokens": 100}
    assert ask(known, urgency=2, **less) is ledgers.Reason.URGENCY
    assert ask(known, urgency=1, request=3, tokens=100) is ledgers.Reason.GRANTED
    later = NOW + datetime.timedelta(milliseconds=301)
    assert ask(known, later, urgency=2, **less) is ledgers.Reason.GRANTED


def test_memory_is_no_longer_kept_once_the_urgent_prompt_runs_elsewhere(known):
    """Guards against room that stays empty for a prompt that doesn't come."""
    fill(known)
    assert ask(known, urgency=0) is ledgers.Reason.MEMORY
    tell(known, ledgers.Stage.ENDED)
    assert ask(known, request=2, tokens=100) is ledgers.Reason.GRANTED


def test_an_entry_never_told_of_ends_with_its_deadline(known):
    """Guards against memory that a lost message takes for good."""
    assert fill(known) == 7
    later = NOW + 20 * SECOND
    known.tick(later)
    assert known.held_tokens() == 0
    assert fill(known, later) == 7


def test_an_engines_new_life_has_a_new_ledger(known):
    """Guards against work of an engine that has ended keeping its next life empty."""
    fill(known)
    born_later = incarnations.TargetIncarnation("llm-1", 6)
    assert ask(known, incarnation=born_later) is ledgers.Reason.GRANTED
    assert ask(known, request=2) is ledgers.Reason.REPLACED
    tell(known, ledgers.Stage.BEGUN, request=9)
    assert known.held_tokens() == 12_000


def test_a_prompt_that_was_sent_unasked_is_counted_once_it_has_begun(known):
    """Guards against room granted twice after a keeper was silent."""
    tell(known, ledgers.Stage.BEGUN)
    assert known.held_tokens() == 12_000
    tell(known, ledgers.Stage.ENDED)
    assert known.held_tokens() == 0


def test_a_late_prompt_is_declined_with_the_wait(known):
    ask(known, tokens=50_000, request=7)
    answer = known.ask(make_ask(wait=SECOND / 2), NOW)
    assert answer.reason is ledgers.Reason.LATE
    assert answer.wait > SECOND


def test_a_slow_engine_is_late_as_long_as_it_is_slow(known):
    """Guards against prompts in time that go to an engine which is slow just now."""
    tell(known, ledgers.Stage.BEGUN, speed=250, load=1, tokens=10, held_tokens=10)
    wait = {"wait": SECOND * 0.4}
    assert ask(known, request=2, **wait) is ledgers.Reason.LATE
    later = NOW + SECOND / 2
    assert ask(known, later, request=2, **wait) is ledgers.Reason.GRANTED


@pytest.mark.parametrize("claimed", [0, 4_000_000_000])
def test_a_host_that_claims_wrong_room_breaks_nothing(known, claimed):
    """Guards against a wrong claim that keeps an engine empty for longer than a run."""
    ask(known, host="liar:1", tokens=claimed)
    ask(known, request=2)
    tell(known, ledgers.Stage.ENDED, host="liar:1")
    assert fill(known) in (6, 7)


def test_entries_are_bounded(known):
    """Guards against memory of the host that grows with what one peer sends."""
    for number in range(1100):
        ask(known, request=number, tokens=1, wait=9000 * SECOND)
    assert known.held_tokens() == 1000
