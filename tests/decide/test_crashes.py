"""Tests that crashes are distinguished from broken links, drains and pauses."""

import datetime

import pytest
from gateways import NOW, SECOND, make_gateway, make_target

from sesamespindle.decide import crashes, events, incarnations, targetlist

INCARNATION = incarnations.TargetIncarnation("llm-1")
SOON = NOW + datetime.timedelta(milliseconds=20)


@pytest.fixture
def core():
    made = make_gateway()
    listed = tuple(make_target(f"llm-{n}", "llm") for n in (1, 2))
    made.step(NOW, [targetlist.TargetsListed(listed)])
    return made


def break_off(core, *fingerprints, at=NOW, sent_at=NOW):
    for fingerprint in fingerprints:
        core.crashes.record_broken_run(fingerprint, INCARNATION, sent_at, at)


def confirmed_end(others=(crashes.Verdict.ENDED,), own=crashes.Verdict.ENDED):
    """Return the events of a refusal, and of what hosts say of it."""
    return [
        crashes.TargetRefusesConnections(INCARNATION),
        crashes.OpinionsHeard(INCARNATION, own, others),
    ]


def suspects(core):
    return [
        crash.suspects for crash in core.crashes.records.crash_by_incarnation.values()
    ]


def test_interrupted_runs_are_suspects_once_their_target_refuses_connections(core):
    break_off(core, "aa", "bb")
    probes = core.step(NOW, [])
    assert probes == [crashes.ProbeTarget(INCARNATION, "10.1.0.1:80")]
    assert suspects(core) == []
    core.step(SOON, confirmed_end())
    assert suspects(core) == [{"aa", "bb"}]


def test_a_run_whose_end_is_noticed_late_is_a_suspect_too(core):
    break_off(core, "aa")
    core.step(SOON, confirmed_end())
    break_off(core, "bb", at=SOON)
    assert suspects(core) == [{"aa", "bb"}]


def test_a_run_sent_after_its_target_had_ended_is_no_suspect(core):
    """Guards against sound runs blamed for the end of a target they came too late to.

    What listens at its address accepts them, and closes their connections.
    """
    break_off(core, "aa")
    break_off(core, "bb", sent_at=SOON, at=SOON + 0.01 * SECOND)
    assert core.crashes.possible_crash_times("bb") == [NOW]
    successor = make_target("llm-9-1", "llm", revision=2)
    later = NOW + SECOND
    core.step(later, [targetlist.TargetChanged(successor), events.Tick()])
    break_off(core, "cc", sent_at=SOON, at=later)
    assert suspects(core) == [{"aa"}]


def test_a_run_sent_after_a_link_broke_is_a_suspect_if_its_target_answered(core):
    """Guards against a crash that counts for nobody, as a link had broken before."""
    break_off(core, "aa")
    core.crashes.record_answer(INCARNATION, SOON)
    break_off(core, "bb", sent_at=SOON, at=SOON + 0.01 * SECOND)
    core.step(NOW + SECOND, confirmed_end())
    assert suspects(core) == [{"bb"}]


def test_a_restarted_target_has_crashed(core):
    break_off(core, "aa")
    restarted = make_target("llm-1", "llm", revision=2, born=7)
    core.step(SOON, [targetlist.TargetChanged(restarted), events.Tick()])
    assert suspects(core) == [{"aa"}]


def test_a_target_with_a_successor_at_its_address_has_crashed(core):
    break_off(core, "aa")
    successor = make_target("llm-9-1", "llm", revision=2)
    core.step(SOON, [targetlist.TargetChanged(successor), events.Tick()])
    assert suspects(core) == [{"aa"}]


def test_a_broken_link_is_no_crash(core):
    """A link breaks while its target keeps running; no run must become a suspect."""
    break_off(core, "aa")
    core.crashes.record_answer(INCARNATION, SOON)
    core.step(SOON, confirmed_end())
    assert suspects(core) == []


def test_an_answer_to_a_request_before_the_break_refutes_no_crash(core):
    """An answer is still waiting here when its target crashes, and proves nothing."""
    break_off(core, "aa", at=SOON)
    core.crashes.record_answer(INCARNATION, NOW)
    core.step(SOON, confirmed_end())
    assert suspects(core) == [{"aa"}]


def test_a_target_that_leaves_has_not_crashed(core):
    """A target ends after its drain and cuts off a long run; this is no crash."""
    leaving = make_target("llm-1", "llm", leaving=True, revision=2)
    core.step(NOW, [targetlist.TargetChanged(leaving)])
    break_off(core, "aa")
    core.step(SOON, confirmed_end())
    assert suspects(core) == []


def test_a_target_that_was_taken_off_the_list_has_not_crashed(core):
    """A target never reports that it leaves; its record is removed before it ends."""
    core.step(NOW, [targetlist.TargetRemoved("llm-1")])
    break_off(core, "aa")
    core.step(SOON, confirmed_end())
    assert suspects(core) == []


def test_a_paused_host_suspects_no_request(core):
    """Targets end for other reasons during a pause of this host."""
    later = NOW + 5 * SECOND
    core.step(later, [])
    break_off(core, "aa", at=later)
    core.step(later, confirmed_end())
    assert suspects(core) == []


def test_a_run_abandoned_just_before_the_crash_is_a_suspect(core):
    """An impatient caller abandons a request shortly before it crashes the target."""
    core.crashes.record_abandoned_run("cc", INCARNATION, NOW - 0.5 * SECOND)
    core.crashes.record_abandoned_run("dd", INCARNATION, NOW - 2 * SECOND)
    break_off(core, "aa")
    core.step(SOON, confirmed_end())
    assert suspects(core) == [{"aa", "cc"}]


def test_a_crash_is_refuted_by_a_later_answer(core):
    """A broken link refuses connections as a dead target does, and recovers."""
    break_off(core, "aa")
    core.step(SOON, confirmed_end())
    core.crashes.record_answer(INCARNATION, NOW + 3 * SECOND)
    assert core.crashes.records.crash_by_incarnation[INCARNATION].is_refuted


def test_an_incarnation_is_probed_twice_and_then_left_to_the_list(core):
    break_off(core, "aa")
    moments = [NOW + number * 0.1 * SECOND for number in range(1, 5)]
    found = [core.step(moment, [events.Tick()]) for moment in moments]
    probes = [item for step in found for item in step if _is_probe(item)]
    assert len(probes) == 2
    assert len(core.crashes.possible_crash_times("aa")) == 1
    core.step(NOW + 0.9 * SECOND, [events.Tick()])
    for number in range(1, 8):
        core.step(NOW + number * 0.95 * SECOND, [events.Tick()])
    assert len(core.crashes.possible_crash_times("aa")) == 0


def test_an_incarnation_whose_probes_time_out_is_probed_again(core):
    """Guards against a crash that isn't known, as both probes of it were slow."""
    break_off(core, "aa")
    core.step(NOW, [])
    core.step(NOW + 0.1 * SECOND, [events.Tick()])
    late = NOW + 0.35 * SECOND
    core.step(late, [crashes.ProbeUndecided(INCARNATION)] * 2)
    found = core.step(late + 0.3 * SECOND, [events.Tick()])
    assert [item for item in found if _is_probe(item)] == [
        crashes.ProbeTarget(INCARNATION, "10.1.0.1:80")
    ]
    core.step(late + 0.4 * SECOND, confirmed_end())
    assert suspects(core) == [{"aa"}]


def test_probes_that_time_out_are_bounded(core):
    """Guards against a host whose paths are slow and that probes without end."""
    break_off(core, "aa")
    found = core.step(NOW, [])
    count = 0
    for number in range(1, 80):
        ended = [crashes.ProbeUndecided(INCARNATION) for _ in filter(_is_probe, found)]
        count += len(ended)
        found = core.step(NOW + number * 0.1 * SECOND, [*ended, events.Tick()])
    assert 3 <= count <= 8
    assert core.crashes.possible_crash_times("aa") == []


@pytest.mark.parametrize(
    ("own", "others"),
    [
        ("ENDED", ("LIVES",)),
        ("ENDED", ("ENDED", "LIVES")),
        ("ENDED", ("UNKNOWN", "UNKNOWN")),
        ("UNKNOWN", ("ENDED",)),
        ("UNKNOWN", ()),
        ("LIVES", ("ENDED",)),
    ],
)
def test_a_refusal_that_may_be_of_one_host_is_no_crash(core, own, others):
    """Guards against a host that has lost its paths and tells of crashes."""
    verdicts = tuple(crashes.Verdict[other] for other in others)
    break_off(core, "aa")
    core.step(SOON, confirmed_end(verdicts, crashes.Verdict[own]))
    assert suspects(core) == []
    assert len(core.crashes.possible_crash_times("aa")) == 1


def test_a_host_without_peers_goes_by_its_own_opinion(core):
    break_off(core, "aa")
    core.step(SOON, confirmed_end(()))
    assert suspects(core) == [{"aa"}]


def list_targets(core, service, count):
    listed = tuple(make_target(f"{service}-{n}", service) for n in range(1, count + 1))
    core.step(NOW, [targetlist.TargetsListed(listed)])
    return {core.state.targets.get(target.name).url for target in listed}


def test_a_host_that_knows_of_no_crash_asks_a_living_target_beside_the_third(core):
    """Guards against a third crash that isn't known, as all asked beside it crashed."""
    urls = list_targets(core, "llm", 5)
    beside = core.crashes.addresses_beside(INCARNATION)
    assert set(beside) == urls - {core.state.targets.get("llm-1").url}


def test_a_crashed_target_is_not_asked_beside_another(core):
    list_targets(core, "llm", 2)
    break_off(core, "aa")
    core.step(SOON, confirmed_end())
    other = incarnations.TargetIncarnation("llm-2")
    assert core.crashes.addresses_beside(other) == ()


def _is_probe(command):
    return isinstance(command, crashes.ProbeTarget)
