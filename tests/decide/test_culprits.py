"""Tests of which prompt parts are found to crash targets, and which are not."""

import gateways
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import (
    commands,
    events,
    fingerprints,
    gossip,
    incarnations,
    kvstores,
    sends,
    targetlist,
)

DEADLY, SOUND, THIRD = "d" * 30, "5" * 30, "e" * 30
REQUESTS = tuple(f"{number:032x}" for number in range(1, 9))


@pytest.fixture
def core():
    made = gateways.make_gateway()
    listed = tuple(
        gateways.make_target(f"llm-{n}", "llm", born=1) for n in range(1, 10)
    )
    made.step(NOW, [targetlist.TargetsListed(listed)])
    return made


def crash(core, number, *suspects, after):
    incarnation = incarnations.TargetIncarnation(f"llm-{number}", 1)
    at = NOW + after * SECOND
    core.crashes.merge([gossip.TargetCrash(incarnation, "llm", at, suspects)], ())


def crash_apart(core, count, *parts, pause=0.6, requests=REQUESTS):
    """Crash targets one after the other, each under another request with some parts."""
    for number in range(1, count + 1):
        crash(core, number, requests[number], *parts, after=pause * number)


def judge(core, after=10.0):
    core.step(NOW + after * SECOND, [events.Tick()])
    return set(core.quarantine.records.record_by_fingerprint)


def begin(core, number, now, *parts):
    prompt = tuple(kvstores.Part(part, 10) for part in (*parts, f"own{number}"))
    return gateways.begin(
        core,
        "/chat/1",
        now,
        request_id=f"r{number}",
        model="m",
        prompt=prompt,
        content=fingerprints.of_content(str(number).encode()),
    )


def test_a_part_under_which_targets_crash_is_refused_whatever_comes_with_it(core):
    crash_apart(core, 3, DEADLY)
    assert judge(core) == set()
    crash_apart(core, 4, DEADLY)
    assert judge(core) == {DEADLY}
    later = NOW + 11 * SECOND
    assert core.quarantine.refusal((REQUESTS[7], SOUND), later) is None
    refusal = core.quarantine.refusal((REQUESTS[7], SOUND, DEADLY), later)
    assert refusal.code is commands.Code.QUARANTINED
    assert DEADLY in refusal.message


def test_crashes_at_one_moment_refuse_no_part(core):
    """A loss of power ends all targets while each has requests with one part."""
    for number in range(1, 9):
        crash(core, number, REQUESTS[number - 1], SOUND, after=0.04 * number)
    assert SOUND not in judge(core)


def test_a_part_that_sound_requests_share_is_not_refused(core):
    """Each request that crashes a target bears a part that is served elsewhere."""
    core.quarantine.record_success(SOUND, NOW)
    crash_apart(core, 4, SOUND, DEADLY)
    assert judge(core) == {DEADLY}


@pytest.mark.parametrize("parts", [(SOUND, DEADLY), (THIRD, DEADLY)])
def test_of_parts_that_never_ran_well_the_later_one_is_refused(core, parts):
    """Nothing is known of either, and many requests share the first one."""
    crash_apart(core, 5, *parts)
    assert judge(core) == set()
    core.quarantine.refusal((REQUESTS[7], *parts), NOW + 10 * SECOND)
    assert judge(core) == {parts[1]}


def test_an_early_part_waits_for_the_later_one_that_ran_in_all_its_crashes_but_one(
    core,
):
    """A sound request with the first part was under way in a crash beside."""
    core.quarantine.refusal((REQUESTS[7], SOUND, DEADLY), NOW)
    crash_apart(core, 3, SOUND, DEADLY)
    crash(core, 4, REQUESTS[4], SOUND, after=2.4)
    core.quarantine.refusal((REQUESTS[7], SOUND, DEADLY), NOW + 5 * SECOND)
    assert judge(core, 5.0) == set()
    crash(core, 5, REQUESTS[5], SOUND, DEADLY, after=6.0)
    assert judge(core) == {DEADLY}


@pytest.mark.parametrize("causes", [set(), {DEADLY}])
def test_a_part_of_requests_sent_to_targets_that_had_ended_is_not_refused(core, causes):
    """Guards against sound prompts refused as each came to a target just after its end.

    The targets end by themselves, or by a part that is under way at each.
    """
    for number in range(1, 6):
        incarnation = incarnations.TargetIncarnation(f"llm-{number}", 1)
        ended_at = NOW + 0.6 * number * SECOND
        sent_at = ended_at + 0.2 * SECOND
        core.step(ended_at, [events.Tick()])
        for key in (REQUESTS[number], *causes):
            core.crashes.record_broken_run(key, incarnation, ended_at, ended_at)
        core.step(sent_at, [events.Tick()])
        for key in (f"{number:032d}", SOUND):
            core.crashes.record_broken_run(key, incarnation, sent_at, sent_at)
        core.crashes.record_end(incarnation, "test")
    assert judge(core) == causes
    assert core.quarantine.possible_crash_count((SOUND,)) == 0


def test_a_part_is_not_blamed_for_crashes_soon_after_it_ran_well(core):
    core.quarantine.record_success(SOUND, NOW)
    for number in (1, 2, 3):
        crash(core, number, REQUESTS[number], SOUND, after=0.3 * number)
    assert core.quarantine.possible_crash_count((SOUND,)) == 0
    crash(core, 4, REQUESTS[4], SOUND, after=1.1)
    crash(core, 5, REQUESTS[5], SOUND, after=1.4)
    assert core.quarantine.possible_crash_count((SOUND,)) == 1


def test_a_part_that_ran_well_since_waits_for_one_that_did_not(core):
    """The deadly part ran in all but one of the crashes of a part that is shared."""
    core.quarantine.record_success(SOUND, NOW - 5 * SECOND)
    crash_apart(core, 3, DEADLY, SOUND)
    core.quarantine.refusal((REQUESTS[7], DEADLY, SOUND), NOW + 3 * SECOND)
    crash(core, 4, REQUESTS[4], SOUND, after=2.4)
    assert judge(core) == set()


def test_parts_that_only_one_request_bears_are_not_refused(core):
    """A whole request crashes its targets, and its parts belong to sound ones too."""
    crash_apart(core, 4, SOUND, requests=[REQUESTS[0]] * 8)
    assert judge(core) == {REQUESTS[0]}
    crash(core, 9, REQUESTS[0], SOUND, after=12.0)
    assert judge(core, 13.0) == {REQUESTS[0]}


def test_a_part_is_found_though_one_of_its_requests_was_refused_before(core):
    """A request came three times, and others with the same part come after it."""
    crash_apart(core, 3, DEADLY, requests=[REQUESTS[0]] * 8)
    assert judge(core, 3.0) == {REQUESTS[0]}
    crash(core, 4, REQUESTS[1], DEADLY, after=4.0)
    assert DEADLY not in judge(core, 5.0)
    crash(core, 5, REQUESTS[2], DEADLY, after=6.0)
    assert DEADLY in judge(core)


def test_a_part_of_two_requests_that_crash_targets_is_not_refused(core):
    crash_apart(core, 3, SOUND, requests=[REQUESTS[0]] * 8)
    assert judge(core, 3.0) == {REQUESTS[0]}
    for number in (4, 5, 6):
        crash(core, number, REQUESTS[1], SOUND, after=float(number))
    assert judge(core) == {REQUESTS[0], REQUESTS[1]}


def test_a_part_is_not_refused_as_a_second_request_with_it_begins_to_crash_targets(
    core,
):
    crash_apart(core, 3, SOUND, requests=[REQUESTS[0]] * 8)
    assert judge(core, 3.0) == {REQUESTS[0]}
    crash(core, 4, REQUESTS[0], SOUND, after=4.0)
    crash(core, 5, REQUESTS[1], REQUESTS[2], SOUND, after=5.0)
    crash(core, 6, REQUESTS[1], REQUESTS[3], SOUND, after=6.0)
    assert judge(core) == {REQUESTS[0]}


def test_two_parts_are_told_apart_though_one_crash_ended_runs_of_both(core):
    core.quarantine.record_success(SOUND, NOW)
    for number in range(1, 5):
        crash(core, number, REQUESTS[number], SOUND, DEADLY, after=0.6 * number)
        crash(core, number + 4, REQUESTS[-number], SOUND, THIRD, after=0.6 * number)
    crash(core, 9, REQUESTS[0], SOUND, DEADLY, THIRD, after=3.0)
    assert judge(core) == {DEADLY, THIRD}


def test_a_run_with_the_part_that_begins_well_later_lifts_its_quarantine(core):
    crash_apart(core, 4, DEADLY)
    assert judge(core) == {DEADLY}
    core.quarantine.record_success(DEADLY, NOW + 1 * SECOND)
    assert judge(core, 11.0) == {DEADLY}
    core.quarantine.record_success(DEADLY, NOW + 20 * SECOND)
    assert judge(core, 21.0) == set()


def test_a_prompt_may_be_retried_after_a_crash_that_its_parts_ran_in_before(core):
    """Targets end by themselves while prompts of one session are under way."""
    crash(core, 9, REQUESTS[0], SOUND, after=-2.0)
    begin(core, 1, NOW, "aa")
    again = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert isinstance(again, sends.Forward)


def test_prompts_with_a_suspected_part_go_to_one_target(core):
    begin(core, 0, NOW, "aa")
    (part,) = core.forwarding.flight_by_request["r0"].parts
    crash(core, 1, REQUESTS[0], part, after=-1.0)
    rows = list(core.state.targets.where("pool", "llm"))
    assert core.quarantine.permitted_targets((part,), rows, NOW) == rows
    crash(core, 2, REQUESTS[1], part, after=-0.5)
    assert len(core.quarantine.permitted_targets((part,), rows, NOW)) == 1


def test_parts_of_a_run_that_has_long_begun_are_no_suspects(core):
    sent = begin(core, 1, NOW, "aa")
    flight = core.forwarding.flight_by_request["r1"]
    core.forwarding.first_byte("r1", NOW)
    later = NOW + SECOND
    core.forwarding.answer_broken("r1", later)
    row = core.state.targets.get(sent.target)
    core.crashes.record_end(row.incarnation, "test")
    (found,) = core.crashes.records.crash_by_incarnation.values()
    assert found.suspects == {flight.fingerprint}


def test_the_answer_of_a_peer_clears_no_suspect(core):
    """A peer that carried a request answers that its run was lost."""
    begin(core, 1, NOW, "aa")
    flight = core.forwarding.flight_by_request["r1"]
    for number in (1, 2):
        crash(core, number, flight.fingerprint, *flight.parts, after=0.6 * number)
    flight.sent_at = None
    later = NOW + 3 * SECOND
    core.forwarding.first_byte("r1", later)
    core.forwarding.served("r1", later)
    assert core.quarantine.possible_crash_count((flight.fingerprint,)) == 2
    assert core.quarantine.possible_crash_count(flight.parts) == 1


def test_sound_requests_are_served_while_reports_of_another_ones_crash_are_awaited(
    core,
):
    """Guards against a part refused for crashes that a refused request explains."""
    crash_apart(core, 3, SOUND, requests=[REQUESTS[0]] * 8)
    assert judge(core, 3.0) == {REQUESTS[0]}
    crash(core, 4, REQUESTS[0], SOUND, after=4.0)
    assert core.quarantine.refusal((REQUESTS[7], SOUND), NOW + 4.1 * SECOND) is None


def test_a_part_that_may_be_the_cause_is_held_back_until_all_have_reported(core):
    crash_apart(core, 4, DEADLY)
    refusal = core.quarantine.refusal((REQUESTS[7], DEADLY), NOW + 2.5 * SECOND)
    assert refusal.code is commands.Code.SUSPECTED
