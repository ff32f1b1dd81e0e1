"""Fleets of hosts before engines that long prompts fill, with keepers and without."""

import keeperfleet
import pytest

from sesamespindle.decide import ledgers

# Seven tenths of the prompts that the engines can read.
_PER_SECOND = 28.0
# The share of prompts that has to begin in time where the engines can serve all.
_AIM = 0.95


def play(seed, has_keepers=True, prepare=lambda fleet: None, seconds=4.0):
    """Return a fleet after a burst of long prompts with skewed contexts."""
    fleet = keeperfleet.Fleet(seed, has_keepers)
    fleet.run(2)
    prepare(fleet)
    fleet.ask_steadily(_PER_SECOND, fleet.now + seconds)
    fleet.run(seconds + 12)
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_hosts_together_never_exceed_an_engines_memory(seed):
    """Guards against long prompts that pile up at few engines while others idle."""
    fleet = play(seed)
    assert fleet.peak_share() <= ledgers.GRANTED_SHARE
    assert fleet.share_in_time() >= _AIM
    assert fleet.held_by_ledgers() == 0


def test_without_the_part_no_keeper_is_asked():
    """Guards against a deployment that doesn't ask for keepers and pays for them."""
    fleet = play(1, has_keepers=False)
    assert fleet.questions == 0
    assert not fleet.counts()
    cores = fleet.core_by_name.values()
    assert all(row.learned is None for core in cores for row in core.state.targets)
    assert all(core.ledgers.count() == 0 for core in cores)


def test_an_engine_that_is_slow_for_a_moment_gets_less_meanwhile():
    """Guards against prompts that wait at an engine which is slow just now."""

    def slow_down(fleet):
        for engine in list(fleet.engine_by_name)[:3]:
            fleet.memory_by_engine[engine].speed = 250

    fleet = play(4, prepare=slow_down)
    sent = fleet.sent_by_engine
    slow = [sent[engine] for engine in list(fleet.engine_by_name)[:3]]
    others = [sent[engine] for engine in list(fleet.engine_by_name)[3:]]
    assert sum(slow) / 3 < sum(others) / 7
    assert fleet.peak_share() <= ledgers.GRANTED_SHARE


def test_urgent_prompts_begin_no_later_than_less_urgent_ones():
    """Guards against urgent prompts that less urgent ones of other hosts keep out."""

    def ask_urgent(fleet):
        fleet.ask_steadily(_PER_SECOND, fleet.now + 4, path="/now/1")

    fleet = play(5, prepare=ask_urgent)
    share_by_path = {path: fleet.share_in_time(path=path) for path in ("now", "chat")}
    assert share_by_path["now"] >= share_by_path["chat"]
    assert fleet.peak_share() <= ledgers.GRANTED_SHARE


def test_a_keeper_that_is_killed_holds_no_request_up():
    """Guards against prompts that wait for a host that has ended."""

    def kill_later(fleet):
        fleet.after(1.0, lambda: fleet.ended_hosts.add(fleet.keeper_of("llm-0")))

    fleet = play(6, prepare=kill_later, seconds=6.0)
    assert fleet.counts()["unanswered"] > 0
    assert fleet.share_in_time() >= _AIM
    assert fleet.keeper_of("llm-0", fleet.first_live()) not in fleet.ended_hosts


def test_lost_answers_cost_accuracy_alone():
    """Guards against prompts that are held up or lost with a datagram."""

    def lose(fleet):
        fleet.lost_share = 0.2

    fleet = play(7, prepare=lose)
    assert len(fleet.first_token_by_request) + len(fleet.refused) == fleet.asked_count
    assert fleet.share_in_time() >= _AIM
    assert fleet.peak_share() <= 2 * ledgers.GRANTED_SHARE


def test_a_partition_has_two_keepers_that_grant_no_more_than_twice():
    """Guards against hosts that wait for, or rely on, a keeper of the other side."""

    def split(fleet):
        fleet.split(lambda name: int(name.rpartition("-")[2]) % 2)

    fleet = play(8, prepare=split, seconds=6.0)
    assert len(fleet.first_token_by_request) + len(fleet.refused) == fleet.asked_count
    assert fleet.peak_share() <= 2 * ledgers.GRANTED_SHARE
    without = play(8, has_keepers=False, prepare=split, seconds=6.0)
    assert fleet.share_in_time() > without.share_in_time()


@pytest.mark.parametrize("factor", [0, 10])
def test_a_host_that_claims_wrong_tokens_breaks_nothing(factor):
    """Guards against one wrong host that keeps others from engines, or fills them."""
    fleet = play(9, prepare=lambda fleet: fleet.lie("entry-1", factor))
    assert len(fleet.first_token_by_request) + len(fleet.refused) == fleet.asked_count
    assert fleet.share_in_time() >= _AIM
    assert fleet.peak_share() <= ledgers.GRANTED_SHARE


def test_a_caller_that_leaves_during_the_question_holds_no_memory():
    """Guards against memory that is held until the deadline of a caller who left."""
    fleet = keeperfleet.Fleet(10, True)
    fleet.run(2)
    name = next(name for name in fleet.core_by_name if name != "entry-0")
    request_id = fleet.ask_once(name)
    fleet.leave(name, request_id)
    fleet.run(0.1)
    assert fleet.held_by_ledgers() == 0
