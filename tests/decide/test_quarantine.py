"""Tests of which requests are quarantined and lifted, and where suspects may run."""

import datetime

import places
import pytest
from gateways import (
    NOW,
    SECOND,
    begin,
    make_configuration,
    make_gateway,
    make_route,
    make_target,
)

from sesamespindle.decide import (
    commands,
    events,
    fingerprints,
    gateway,
    gossip,
    incarnations,
    quarantinerecords,
    routes,
    sends,
    targetlist,
)

MINUTE = 60 * SECOND
BAD, OTHER, THIRD, FOURTH = "a" * 32, "b" * 32, "c" * 32, "d" * 32
# The fingerprint of a prompt part.
PART = "5" * 30


@pytest.fixture
def core():
    return make_core()


def make_core():
    made = make_gateway()
    listed = tuple(make_target(f"llm-{n}", "llm", born=1) for n in range(1, 8))
    made.step(NOW, [targetlist.TargetsListed(listed)])
    return made


def crash(core, number, *suspects, after=0.0):
    """Record a crash of a target under some requests, `after` seconds from `NOW`."""
    record = gossip.TargetCrash(
        incarnations.TargetIncarnation(f"llm-{number}", 1),
        "llm",
        NOW + after * SECOND,
        suspects,
    )
    core.crashes.merge([record], ())


def judge(core, after):
    """Tick `after` seconds from `NOW`; return the quarantine and the commands."""
    found = core.step(NOW + after * SECOND, [events.Tick()])
    return set(core.quarantine.records.record_by_fingerprint), found


def writes(found):
    return [
        item for item in found if isinstance(item, quarantinerecords.WriteQuarantine)
    ]


def crash_thrice(core):
    for number in (1, 2, 3):
        crash(core, number, BAD, after=0.6 * number)
    return judge(core, 2.5)


def code_of(core, fingerprint=BAD, after=3.0):
    refusal = core.quarantine.refusal((fingerprint,), NOW + after * SECOND)
    return refusal.code if refusal is not None else None


def test_three_crashes_quarantine_once_others_had_time_to_report(core):
    for number in (1, 2, 3):
        assert code_of(core, after=1.8) is None
        crash(core, number, BAD, after=0.6 * number)
    assert code_of(core, after=1.9) is commands.Code.SUSPECTED
    assert judge(core, 1.9)[0] == set()
    assert code_of(core, after=2.4) is commands.Code.QUARANTINED
    assert judge(core, 2.4)[0] == {BAD}


def test_a_refusal_says_not_run_and_spreads_retries(core):
    content = fingerprints.of_content(b"x")
    sent = begin(core, "/chat/1", model="m", content=content)
    fingerprint = core.forwarding.flight_by_request[sent.request_id].fingerprint
    for number in (1, 2, 3):
        crash(core, number, fingerprint, after=0.6 * number)
    judge(core, 2.5)
    later = NOW + 3 * SECOND
    again = [
        begin(core, "/chat/1", later, request_id=f"q{n}", model="m", content=content)
        for n in range(5)
    ]
    assert {item.code for item in again} == {commands.Code.QUARANTINED}
    assert {item.outcome for item in again} == {commands.Outcome.NOT_RUN}
    assert len({item.retry_after for item in again}) == 5


def test_an_attempt_ends_after_its_second_crash():
    """A route allows several attempts, and a request crashes a target in each."""
    core = make_core()
    route = make_route(
        "chat",
        "/chat/",
        routes.Repeats.RESUMABLE,
        True,
        shares=(routes.Share("llm", 1.0),),
        max_attempts=4,
    )
    configuration = make_configuration(2, routes=(route,))
    core.step(NOW, [gateway.ConfigurationRead(configuration)])
    content = fingerprints.of_content(b"x")
    sent = begin(core, "/chat/1", model="m", content=content)
    again = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert isinstance(again, sends.Forward)
    assert again.target != sent.target
    refused = core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    assert refused.outcome is commands.Outcome.UNKNOWN


def test_a_crash_that_several_hosts_saw_counts_once(core):
    """Several hosts announce the crash of one target, and repeat it."""
    for _ in range(3):
        crash(core, 1, BAD)
    crash(core, 1, BAD, OTHER)
    assert core.quarantine.possible_crash_count((BAD,)) == 1
    assert judge(core, 5.0)[0] == set()


def test_requests_that_ran_beside_the_cause_are_cleared(core):
    """A harmless request ran twice beside the cause and must not be refused."""
    crash(core, 1, BAD, OTHER, THIRD)
    crash(core, 2, BAD, OTHER, after=0.6)
    crash(core, 3, BAD, THIRD, after=1.2)
    assert judge(core, 2.0)[0] == {BAD}
    assert (
        core.quarantine.possible_crash_count((OTHER,))
        == core.quarantine.possible_crash_count((THIRD,))
        == 0
    )


def test_suspects_that_always_ran_together_are_told_apart_by_the_next_crash(core):
    """A harmless request ran beside the cause three times and must not be refused."""
    for number in (1, 2, 3):
        crash(core, number, BAD, OTHER, after=0.6 * number)
    assert judge(core, 2.5)[0] == set()
    assert code_of(core, after=2.5) is None
    crash(core, 4, BAD, after=3.0)
    assert judge(core, 3.6)[0] == {BAD}
    assert core.quarantine.possible_crash_count((OTHER,)) == 0


def test_suspects_that_crashed_two_targets_are_tried_apart(core):
    """If suspects share a target, its crash doesn't show which of them caused it."""
    for number in (1, 2):
        crash(core, number, BAD, OTHER, THIRD)
    rows = list(core.state.targets.where("pool", "llm"))
    chosen = [
        core.quarantine.permitted_targets((fingerprint,), rows, NOW)
        for fingerprint in (BAD, OTHER, THIRD)
    ]
    names = {row.name for found in chosen for row in found}
    assert [len(found) for found in chosen] == [1, 1, 1]
    assert len(names) == 3
    assert not names & {"llm-1", "llm-2"}


def test_all_hosts_try_a_suspect_at_one_target(core):
    """Copies of a request arrive at all hosts at once and could crash a target each."""
    other = make_core()
    other.state.random.random()
    for fingerprint in (BAD, OTHER, THIRD):
        places = set()
        for made in (core, other):
            crash(made, 1, fingerprint)
            rows = list(made.state.targets)
            places |= {
                row.name
                for row in made.quarantine.permitted_targets((fingerprint,), rows, NOW)
            }
        assert len(places) == 1


def test_correlated_crashes_quarantine_nobody(core):
    """Targets crash in groups three times, and a harmless request ran each time."""
    for number, (first, second) in enumerate(((1, 2), (3, 4), (5, 6))):
        crash(core, first, BAD, after=2.0 * number)
        crash(core, second, OTHER if number else THIRD, after=2.0 * number + 0.1)
    assert judge(core, 6.0)[0] == set()
    assert code_of(core, after=6.0) is None


def test_a_part_of_its_own_prompt_does_not_excuse_a_request(core):
    """Guards against a request that crashes a fourth target, sent again at once.

    Its three crashes lie within 30 ms, and the only other suspects are its own parts.
    """
    for number, after in ((1, 0.0), (2, 0.004), (3, 0.029)):
        crash(core, number, BAD, PART, after=after)
    assert judge(core, 1.0)[0] == {BAD}
    assert code_of(core, after=1.0) is commands.Code.QUARANTINED


def test_crashes_at_one_moment_beside_other_requests_quarantine_nobody(core):
    """Guards against a popular request that is refused after a loss of power."""
    for number, beside in ((1, OTHER), (2, THIRD), (3, FOURTH)):
        crash(core, number, BAD, beside, PART, after=0.01 * number)
    assert judge(core, 1.0)[0] == set()


def test_equal_requests_that_succeed_quarantine_nobody(core):
    """Targets crash by themselves under equal requests that succeed elsewhere."""
    for number in (1, 2, 3, 4):
        crash(core, number, BAD, after=2.0 * number)
        core.quarantine.record_success(BAD, NOW + (2.0 * number + 1.5) * SECOND)
    assert judge(core, 10.0)[0] == set()
    assert core.quarantine.possible_crash_count((BAD,)) == 0


def test_a_crash_after_a_good_run_counts(core):
    crash(core, 1, BAD)
    core.quarantine.record_success(BAD, NOW + 2 * SECOND)
    crash(core, 2, BAD, after=4.0)
    assert core.quarantine.possible_crash_count((BAD,)) == 1


def test_two_causes_at_once_are_both_found(core):
    for number in (1, 3, 5):
        crash(core, number, BAD, after=0.2 * number)
        crash(core, number + 1, OTHER, after=0.2 * number + 0.1)
    assert judge(core, 2.5)[0] == {BAD, OTHER}


def test_a_refuted_crash_counts_for_nobody(core):
    """Three targets behind a broken link seem dead to one host, but answer later."""
    for number in (1, 2, 3):
        crash(core, number, BAD, after=0.6 * number)
        core.crashes.record_answer(
            incarnations.TargetIncarnation(f"llm-{number}", 1), NOW + 10 * SECOND
        )
    assert judge(core, 12.0)[0] == set()


def test_a_clearing_that_goes_round_is_not_announced_again(core):
    """Each host receives a clearing with a slightly later time and would forward it."""
    crash(core, 1, BAD)
    core.quarantine.record_success(BAD, NOW + 2 * SECOND)
    core.state.must_announce_crashes = False
    record = gossip.ClearedRequest(BAD, NOW + 2.03 * SECOND)
    core.quarantine.merge(gossip.CrashNews(cleared=(record,)), NOW + 2.1 * SECOND)
    assert not core.state.must_announce_crashes


# State that outlasts a host.


def test_a_starting_host_receives_crashes_no_longer_announced(core):
    for number in (1, 2):
        crash(core, number, BAD)
    for _ in range(20):
        core.quarantine.note_round()
    assert core.quarantine.records_to_announce(False).crashes == ()
    started = make_core()
    started.quarantine.merge(core.quarantine.records_to_announce(True), NOW)
    assert started.quarantine.possible_crash_count((BAD,)) == 2


def test_a_quarantine_is_written_once_and_read_from_the_platform(core):
    """All hosts lose power after the decision, and the request arrives again."""
    _, found = crash_thrice(core)
    written = [item.record for item in writes(found)]
    assert [item.fingerprint for item in written] == [BAD]
    made = gossip.QuarantinedRequest(
        BAD, written[0].decided_at, 3, revision=places.at(9)
    )
    core.step(NOW + 2.6 * SECOND, [quarantinerecords.QuarantineWritten(made)])
    assert writes(judge(core, 9.0)[1]) == []
    started = make_core()
    started.step(NOW, [quarantinerecords.QuarantinesListed((made,), places.at(20))])
    assert code_of(started) is commands.Code.QUARANTINED


def test_another_host_writes_if_the_first_can_not(core):
    """The platform refuses the write of the host whose turn it is."""
    peers = tuple(
        events.Host(f"entry-{n}", "entry", "dc-1", f"10.0.0.{n}:80", f"10.0.0.{n}:81")
        for n in range(2, 6)
    )
    core.step(NOW, [events.HostsListed(peers)])
    _, found = crash_thrice(core)
    assert writes(found) == []
    for wait in range(1, len(peers) + 1):
        core.quarantine.tick(NOW + (2.5 + wait) * SECOND)
    assert len(writes(core.state.take_commands())) == 1


def test_an_unwritten_record_is_written_once_the_platform_is_back(core):
    crash_thrice(core)
    core.step(NOW + 3 * SECOND, [quarantinerecords.QuarantineWriteFailed(BAD)])
    assert writes(judge(core, 3.1)[1]) == []
    assert writes(judge(core, 5.0)[1])


def quarantined(core, tries=0, decided_at=NOW):
    record = gossip.QuarantinedRequest(
        BAD, decided_at, 3, tries, revision=places.at(9 + tries)
    )
    core.step(NOW, [quarantinerecords.QuarantineRead(record)])
    return record


def test_a_request_is_sent_again_after_an_operator_lifts_its_quarantine(core):
    record = quarantined(core)
    core.step(NOW + SECOND, [quarantinerecords.QuarantineLifted(BAD)])
    assert code_of(core) is None
    late = gossip.CrashNews(quarantined=(record,))
    core.quarantine.merge(late, NOW + 2 * SECOND)
    assert code_of(core) is None


def test_a_record_that_the_list_lacks_is_lifted(core):
    quarantined(core)
    core.step(NOW + SECOND, [quarantinerecords.QuarantinesListed((), places.at(20))])
    assert code_of(core) is None


def test_an_older_list_lifts_nothing(core):
    quarantined(core)
    core.step(NOW + SECOND, [quarantinerecords.QuarantinesListed((), places.at(8))])
    assert code_of(core) is commands.Code.QUARANTINED


def test_a_quarantined_request_gets_two_rare_trial_runs(core):
    """Without trials a fixed fault stays unnoticed; each trial may crash a target."""
    quarantined(core)
    assert writes(judge(core, 9 * 60)[1]) == []
    (wanted,) = writes(judge(core, 11 * 60)[1])
    assert wanted.is_trial
    tried = gossip.QuarantinedRequest(BAD, NOW, 3, 1, revision=places.at(10))
    core.step(NOW + 11 * MINUTE, [quarantinerecords.QuarantineWritten(tried, True)])
    assert code_of(core, after=11 * 60) is None
    assert code_of(core, after=11 * 60) is commands.Code.QUARANTINED
    assert writes(judge(core, 60 * 60)[1]) == []
    assert len(writes(judge(core, 3 * 60 * 60)[1])) == 1
    quarantined(core, tries=2)
    assert writes(judge(core, 1000 * 60 * 60)[1]) == []


@pytest.mark.parametrize("crashes, tries", [(3, 2), (4, 1), (5, 0), (9, 0)])
def test_trials_and_late_crashes_are_three_runs_at_most(core, crashes, tries):
    """A request that is quarantined only at its fifth crash must get no trial run."""
    for tried in range(3):
        record = gossip.QuarantinedRequest(
            BAD, NOW, crashes, tried, revision=places.at(9 + tried)
        )
        core.step(NOW, [quarantinerecords.QuarantineRead(record)])
        wanted = writes(judge(core, (tried + 1) * 24 * 60 * 60)[1])
        assert len(wanted) == (tried < tries)


def test_a_successful_trial_lifts_the_quarantine(core):
    quarantined(core)
    core.quarantine.record_success(BAD, NOW + 11 * MINUTE)
    assert code_of(core, after=11 * 60) is None
    found = core.step(NOW + 11 * MINUTE, [])
    assert quarantinerecords.RemoveQuarantine(BAD) in found


def test_records_of_crashes_and_quarantines_are_bounded(core):
    for number in range(2000):
        record = gossip.QuarantinedRequest(
            f"{number:032x}",
            NOW + datetime.timedelta(seconds=number),
            3,
            revision=places.at(9),
        )
        core.quarantine.handle(quarantinerecords.QuarantineRead(record), NOW)
    assert len(core.quarantine.records.record_by_fingerprint) == 1024
    for number in range(600):
        record = gossip.TargetCrash(
            incarnations.TargetIncarnation(f"x{number}"),
            "llm",
            NOW,
            (f"{number:032x}", BAD),
        )
        core.crashes.merge([record], ())
    assert len(core.crashes.records.crash_by_incarnation) == 128


def test_a_message_has_room_for_the_suspects_of_several_crashes():
    """Engines crash under many requests, and messages about it fill the links."""
    core = make_core()
    for number in range(20):
        others = tuple(f"{number:02x}{other:030x}" for other in range(60))
        crash(core, number, *others, BAD)
    announced = core.quarantine.records_to_announce(False).crashes
    assert sum(len(item.suspects) for item in announced) <= 400
    assert BAD in announced[0].suspects
    assert BAD in announced[-1].suspects
