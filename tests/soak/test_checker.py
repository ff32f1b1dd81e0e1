"""The soak's checker finds each kind of broken promise in constructed records."""

import dataclasses
import math

import pytest
from soak import checker, records, targets

_SENT = records.SentRequest(
    "r1",
    records.Kind.ONCE,
    "entry-1",
    1,
    "/once/r1",
    "acme",
    6000,
    20.0,
    20.1,
    200,
    b"desk-1 ran r1",
    "desk-1",
)
_RUN = records.Run("r1", "desk-1", "desk", "/once/r1", 20.05, 200, "acme", None, 5990)
_CHAT = dataclasses.replace(
    _SENT,
    kind=records.Kind.CHAT,
    path="/chat/r1",
    body=b"".join(
        targets.event("r1", number + 1) for number in range(targets.event_count("r1"))
    ),
    stamp="llm-1",
)
_CHAT_RUN = dataclasses.replace(
    _RUN, target="llm-1", service="llm", path="/chat/r1", weights=1, salt="1"
)
_PROBE = dataclasses.replace(
    _SENT, kind=records.Kind.PROBE, path="/probe-4/r1", version=4
)
_PROBE_RUN = dataclasses.replace(_RUN, path="/probe-4/r1")
_STOP = records.Fault(
    "SIGTERM", records.Area.DAEMON, "entry-1", 19.0, 24.0, planned=True
)


def _promises(**of_journal):
    return {item.promise for item in checker.check(records.Journal(**of_journal))}


def test_records_without_faults_break_no_promise():
    assert _promises(sent_requests=[_SENT], runs=[_RUN]) == set()
    assert _promises(sent_requests=[_CHAT], runs=[_CHAT_RUN]) == set()
    assert _promises(sent_requests=[_PROBE], runs=[_PROBE_RUN]) == set()


@pytest.mark.parametrize(
    ("promise", "changed", "runs"),
    [
        ("at most once", {}, [_RUN, _RUN]),
        ("not run is true", {"status": 503, "stamp": None}, [_RUN]),
        ("complete answer", {"body": b"desk-1 ran r2"}, [_RUN]),
        ("complete answer", {"stamp": None}, [_RUN]),
        ("complete answer", {}, []),
        ("failures are the target's", {"status": 502}, [_RUN]),
        ("proper requests are served", {"status": 404, "stamp": None}, []),
        ("the route's service", {}, [dataclasses.replace(_RUN, service="llm")]),
        ("path unchanged", {}, [dataclasses.replace(_RUN, path="/once/r2")]),
        (
            "account replaces the API key",
            {},
            [dataclasses.replace(_RUN, account="bank")],
        ),
        (
            "account replaces the API key",
            {},
            [dataclasses.replace(_RUN, key="key-of-acme")],
        ),
        ("remaining deadline", {}, [dataclasses.replace(_RUN, deadline_ms=9000)]),
    ],
)
def test_a_broken_promise_to_a_caller_is_found(promise, changed, runs):
    sent = dataclasses.replace(_SENT, **changed)
    assert promise in _promises(sent_requests=[sent], runs=runs)


@pytest.mark.parametrize(
    ("promise", "status", "body"),
    [
        ("complete stream", 200, targets.event("r1", 1)),
        ("complete stream", 200, _CHAT.body + targets.event("r1", 1)),
        ("events in order", None, targets.event("r1", 2)),
        ("events in order", None, targets.event("r2", 1)),
    ],
)
def test_a_stream_with_a_gap_or_of_another_request_is_found(promise, status, body):
    sent = dataclasses.replace(_CHAT, status=status, body=body)
    assert promise in _promises(sent_requests=[sent], runs=[_CHAT_RUN])


def test_a_request_cut_off_by_a_stop_is_found_unless_something_else_failed():
    cut = dataclasses.replace(_SENT, status=None, stamp=None)
    promise = "a stop cuts nothing off"
    assert promise in _promises(sent_requests=[cut], runs=[_RUN], faults=[_STOP])
    crash = records.Fault("crash", records.Area.TARGET, "desk-1", 18.0, 20.0)
    promises = _promises(sent_requests=[cut], runs=[_RUN], faults=[_STOP, crash])
    assert promise not in promises


def _cut_stream(sent_at, ended_at, request_id):
    sent = dataclasses.replace(
        _CHAT,
        request_id=request_id,
        path=f"/chat/{request_id}",
        sent_at=sent_at,
        ended_at=ended_at,
        status=None,
        body=targets.event(request_id, 1),
        deadline_ms=9500,
    )
    run = dataclasses.replace(
        _CHAT_RUN, request_id=request_id, path=sent.path, at=sent_at + 0.01
    )
    return sent, run


def _request_of_stream(is_long):
    return next(
        request_id
        for request_id in map(str, range(100))
        if (targets.event_seconds(request_id) > 0.4) == is_long
    )


@pytest.mark.parametrize(
    ("since_stop", "lasts", "is_long", "promises"),
    [
        # Sent after callers could know of the stop, accepted and cut in the middle.
        (
            3.02,
            4.7,
            True,
            {"a stop cuts nothing off", "requests accepted late are completed"},
        ),
        # Sent before callers could know, and still running in the last sixth of the
        # grace time.
        (2.9, 4.7, True, set()),
        # Cut off before the last sixth of the grace time.
        (2.9, 3.7, True, {"a stop cuts nothing off"}),
        # Short: it should have been complete long before.
        (2.9, 4.7, False, {"a stop cuts nothing off"}),
    ],
)
def test_a_stream_cut_in_its_middle_by_a_stop_is_found(
    since_stop, lasts, is_long, promises
):
    sent_at = _STOP.began + since_stop
    sent, run = _cut_stream(sent_at, sent_at + lasts, _request_of_stream(is_long))
    stop = dataclasses.replace(_STOP, ended=_STOP.began + 8.5)
    assert _promises(sent_requests=[sent], runs=[run], faults=[stop]) == promises
    crash = records.Fault("crash", records.Area.TARGET, "llm-1", 18.0, 20.0)
    assert _promises(sent_requests=[sent], runs=[run], faults=[stop, crash]) == set()


def test_a_failure_in_place_of_the_answer_to_a_late_request_is_found():
    late = dataclasses.replace(
        _SENT, sent_at=22.1, ended_at=22.2, status=502, stamp=None
    )
    run = dataclasses.replace(_RUN, at=22.15)
    promises = _promises(sent_requests=[late], runs=[run], faults=[_STOP])
    assert promises == {"requests accepted late are completed"}
    in_time = dataclasses.replace(late, sent_at=21.9)
    assert _promises(sent_requests=[in_time], runs=[run], faults=[_STOP]) == set()
    refused = dataclasses.replace(late, status=503)
    assert _promises(sent_requests=[refused], faults=[_STOP]) == set()


@pytest.mark.parametrize(("sent_at", "is_found"), [(16.9, False), (19.9, True)])
def test_a_request_to_a_leaving_target_may_only_be_late_if_a_cut_held_it_up(
    sent_at, is_found
):
    left = records.Change("leaving", 17.0, subject="desk-1")
    cut = records.Fault(
        records.CUT_FROM_TARGETS, records.Area.PATHS, "entry-1", 16.8, 20.0
    )
    sent = dataclasses.replace(_SENT, sent_at=sent_at)
    journal = records.Journal(
        sent_requests=[sent], runs=[_RUN], changes=[left], faults=[cut]
    )
    promises = {violation.promise for violation in checker.check(journal)}
    assert ("no requests to leaving targets" in promises) == is_found


def test_a_directory_that_names_a_leaving_daemon_is_found():
    """A directory names a leaving daemon although one that stays is available."""
    promise = {"directories omit leaving daemons"}
    answer = records.DirectoryAnswer("entry-1", 21.1, ("entry-1", "entry-2"))
    stays = records.DirectoryAnswer("entry-2", 1.0, ("entry-1", "entry-2"))
    assert _promises(directory_answers=[answer, stays], faults=[_STOP]) == promise
    early = dataclasses.replace(answer, asked_at=20.9)
    assert _promises(directory_answers=[early, stays], faults=[_STOP]) == set()
    right = dataclasses.replace(answer, named=("entry-2",))
    assert _promises(directory_answers=[right, stays], faults=[_STOP]) == set()
    assert (
        _promises(directory_answers=[answer, stays], faults=[_STOP], ready_at=17.0)
        == set()
    )


@pytest.mark.parametrize(
    ("subject", "area", "began", "ended", "planned", "is_found"),
    [
        # The other daemon, which stays, is unavailable, or hasn't been back for the 5 s
        # after which its peers must know it.
        ("entry-2", records.Area.DAEMON, 20.0, 28.0, True, False),
        ("entry-2", records.Area.DAEMON, 9.0, 17.0, True, False),
        # The other one was back in time, or began to leave only afterwards.
        ("entry-2", records.Area.DAEMON, 7.0, 16.0, True, True),
        ("entry-2", records.Area.DAEMON, 22.0, 30.0, True, True),
        # The daemon that answers started too recently to know its peers.
        ("entry-3", records.Area.DAEMON, 9.0, 17.0, True, False),
        # A store that fails keeps daemons from learning of each other. It doesn't if
        # its failure ended long enough before, nor does a fault of a target.
        ("", records.Area.STORE, 13.5, 14.0, False, False),
        ("", records.Area.STORE, 12.0, 13.0, False, True),
        ("desk-1", records.Area.TARGET, 17.0, 19.0, False, True),
    ],
)
def test_a_directory_may_name_a_leaving_daemon_only_if_it_knows_no_other(
    subject, area, began, ended, planned, is_found
):
    answer = records.DirectoryAnswer("entry-3", 21.5, ("entry-1",))
    stays = records.DirectoryAnswer("entry-2", 1.0, ("entry-2",))
    other = records.Fault("SIGTERM", area, subject, began, ended, planned=planned)
    stop = dataclasses.replace(_STOP, ended=27.0)
    faults = [stop, other]
    if subject == "entry-3":
        promises = _promises(directory_answers=[answer, stays], faults=faults)
    else:
        # The daemon that answers leaves too, so that only the other one could stay.
        own = dataclasses.replace(stop, subject="entry-3")
        promises = _promises(directory_answers=[answer, stays], faults=[*faults, own])
    assert ("directories omit leaving daemons" in promises) == is_found


def test_a_configuration_that_stays_active_too_long_is_found():
    promise = "active configuration"
    dropped = records.Change("configuration", 17.0, version=5)
    assert promise in _promises(
        sent_requests=[_PROBE], runs=[_PROBE_RUN], changes=[dropped]
    )
    unknown = dataclasses.replace(_PROBE, status=404, stamp=None)
    added = records.Change("configuration", 17.0, version=4)
    assert promise in _promises(sent_requests=[unknown], changes=[added])
    away = records.Fault("is_away", records.Area.STORE, "", 16.0, 18.0)
    promises = _promises(sent_requests=[unknown], changes=[added], faults=[away])
    assert promise not in promises


def test_a_daemon_that_returns_to_an_older_configuration_is_found():
    newer = dataclasses.replace(_PROBE, request_id="r0", version=5, ended_at=10.0)
    promises = _promises(sent_requests=[newer, _PROBE], runs=[_PROBE_RUN])
    assert "no return to an older configuration" in promises
    restarted = dataclasses.replace(_PROBE, incarnation=2)
    promises = _promises(sent_requests=[newer, restarted], runs=[_PROBE_RUN])
    assert "no return to an older configuration" not in promises


def test_late_requests_to_a_leaving_target_are_found():
    left = records.Change("leaving", 17.0, subject="desk-1")
    assert "no requests to leaving targets" in _promises(runs=[_RUN], changes=[left])


@pytest.mark.parametrize(
    ("promise", "later"),
    [
        ("one leaseholder", records.Order("llm-2", 22.0, "entry-2", 8)),
        ("one leaseholder", records.Order("llm-2", 30.0, "entry-2", 7)),
        ("epochs rise", records.Order("llm-1", 30.0, "entry-2", 6)),
    ],
)
def test_two_leaseholders_at_a_time_are_found(promise, later):
    first = records.Order("llm-1", 20.0, "entry-1", 7)
    assert promise in _promises(orders=[first, later])
    apart = records.Order("llm-1", 23.5, "entry-2", 8)
    assert _promises(orders=[first, apart]) == set()


def test_superseded_weights_are_found():
    named = records.Change("weights", 11.0, version=2)
    promises = _promises(runs=[_CHAT_RUN], changes=[named])
    assert promises == {"newest weights"}
    promises = _promises(changes=[named], final_weights_by_engine={"llm-1": 1})
    assert promises == {"all engines load the newest weights"}


def _is_late_run_found(*faults):
    """Return whether ``entry-1``'s run 11 s after an announcement breaks a promise."""
    named = records.Change("weights", 20.0, version=2)
    sent = dataclasses.replace(_CHAT, sent_at=31.0, ended_at=31.5)
    run = dataclasses.replace(_CHAT_RUN, at=31.0)
    recorded = {"sent_requests": [sent], "runs": [run], "changes": [named]}
    promises = _promises(**recorded, faults=list(faults))
    assert promises <= {"newest weights"}
    return bool(promises)


@pytest.mark.parametrize("subject", ["entry-1", "entry-2", ""])
@pytest.mark.parametrize("what", ["SIGTERM", "SIGKILL", "end all", "pause"])
def test_superseded_weights_are_found_after_daemons_failed(what, subject):
    """A daemon sends a prompt to an engine whose weights were superseded 11 s before.

    It missed the announcement because it had exited or was paused. It counts the
    time since the announcement from its own receipt of it, and has been back for 4 s
    as it sends the prompt.
    """
    fault = records.Fault(what, records.Area.DAEMON, subject, 20.5, 27.0)
    assert _is_late_run_found(fault)


@pytest.mark.parametrize(
    ("subject", "ended", "is_found"),
    [
        # Back for less or more than the 3 s of contact with the store after which the
        # time limit for weights applies to a daemon.
        ("entry-1", 28.2, False),
        ("entry-1", 27.8, True),
        # Another daemon failed, not the one that sent the prompt.
        ("entry-2", 28.2, True),
        # All daemons failed.
        ("", 28.2, False),
    ],
)
def test_superseded_weights_are_allowed_for_a_daemon_that_is_just_back(
    subject, ended, is_found
):
    for what in ("SIGKILL", "pause"):
        fault = records.Fault(what, records.Area.DAEMON, subject, 20.5, ended)
        assert _is_late_run_found(fault) == is_found


def test_superseded_weights_are_found_though_a_daemon_reloads_or_targets_fail():
    reload = records.Fault("reload", records.Area.DAEMON, "entry-1", 30.0, 30.1)
    crash = records.Fault("crash", records.Area.TARGET, "llm-2", 24.0, 26.0)
    lost = records.Fault("lose answers", records.Area.TARGET, "llm-1", 19.0, 40.0)
    assert _is_late_run_found(reload, crash, lost)


@pytest.mark.parametrize(
    ("what", "area", "subject", "began", "ended", "is_found"),
    [
        # The store counts as stable 3 s after its failure: from 22.4 or 22.6 s on. From
        # then on engines have 8 s for new weights, and the checker allows 0.5 s more
        # for the error of its clock; the run begins at 31 s.
        ("is_away", records.Area.STORE, "", 18.0, 19.4, True),
        ("is_away", records.Area.STORE, "", 18.0, 19.6, False),
        ("is_away", records.Area.STORE, "", 24.0, 25.0, False),
        # The fault began after the time for new weights was over. The run is allowed
        # only if the fault affects the daemon that sent it or its link to the target.
        ("link freeze", records.Area.TARGET, "llm-2", 28.6, 29.0, True),
        ("link freeze", records.Area.TARGET, "llm-1", 28.6, 29.0, False),
        ("is_away", records.Area.STORE, "", 28.6, 29.0, False),
        ("link freeze", records.Area.STORE, "entry-2", 28.6, 29.0, True),
        ("link freeze", records.Area.STORE, "entry-1", 28.6, 29.0, False),
        # During a fault of any link the time for new weights doesn't count.
        ("link freeze", records.Area.TARGET, "llm-2", 21.0, 22.4, True),
        ("link freeze", records.Area.TARGET, "llm-2", 21.0, 22.6, False),
        ("link freeze", records.Area.STORE, "entry-2", 21.0, 22.4, True),
        ("cut link", records.Area.STORE, "entry-2", 24.0, 24.0, False),
    ],
)
def test_superseded_weights_are_allowed_until_an_undisturbed_time_has_passed(
    what, area, subject, began, ended, is_found
):
    fault = records.Fault(what, area, subject, began, ended)
    assert _is_late_run_found(fault) == is_found


def test_superseded_weights_are_found_once_undisturbed_spans_add_up():
    """Undisturbed spans of 2 s or more add up; weights are due after 11 s of them."""
    named = records.Change("weights", 10.0, version=2)
    # Undisturbed from 10 to 14 s, from 14.5 to 18 s, and from 18.5 s on.
    link_faults = [
        records.Fault("link freeze", records.Area.TARGET, "llm-2", began, began + 0.5)
        for began in (14.0, 18.0)
    ]
    early = dataclasses.replace(_CHAT_RUN, at=22.4)
    assert _promises(runs=[early], changes=[named], faults=link_faults) == set()
    late = dataclasses.replace(_CHAT_RUN, at=22.6)
    promises = _promises(runs=[late], changes=[named], faults=link_faults)
    assert promises == {"newest weights"}
    # Spans of less than 2 s don't count: 14.5 to 16 s and 16.5 to 18 s.
    split = records.Fault("link freeze", records.Area.TARGET, "llm-2", 16.0, 16.5)
    promises = _promises(runs=[late], changes=[named], faults=[*link_faults, split])
    assert promises == set()


def test_kv_cache_that_is_shared_wrongly_is_found():
    for changed in ({"weights": 2}, {"account": "bank"}):
        other = dataclasses.replace(_CHAT_RUN, request_id="r2", **changed)
        assert _promises(runs=[_CHAT_RUN, other]) == {"KV cache is isolated"}


def test_refusals_after_the_recovery_time_and_exits_without_a_signal_are_found():
    refused = dataclasses.replace(_SENT, status=503, stamp=None)
    assert "recovery after faults" in _promises(
        sent_requests=[refused], recovered_at=5.0
    )
    assert _promises(exits=[("entry-1", 1)]) == {"daemons keep running"}


def _find_crashing(late_runs, *faults):
    crashes = [records.Crash("/chat/bad", f"llm-{n}", 10.0 + n) for n in range(3)]
    runs = [
        dataclasses.replace(_RUN, request_id="bad", path="/chat/bad", at=16.0 + 0.1 * n)
        for n in range(late_runs)
    ]
    return _promises(
        crashes=crashes,
        runs=runs,
        daemon_by_crash_attempt={"bad": "entry-1"},
        faults=list(faults),
    )


def test_a_request_that_goes_on_crashing_targets_is_found():
    assert _find_crashing(4) == {"requests that crash targets are stopped"}
    assert _find_crashing(3) == set()


def test_a_daemon_without_contact_may_not_know_what_crashes_targets():
    paused = records.Fault("pause", records.Area.DAEMON, "entry-1", 13.0, 15.9)
    elsewhere = records.Fault("pause", records.Area.DAEMON, "entry-2", 13.0, 15.9)
    assert _find_crashing(4, paused) == set()
    assert _find_crashing(4, elsewhere) == {"requests that crash targets are stopped"}


def _find_limited(*faults):
    arrivals = [
        records.Arrival("r1", "desk-1", 1, 10.0 + number * 0.25, 1.0)
        for number in range(40)
    ]
    return _promises(
        sent_requests=[_SENT], runs=[_RUN], arrivals=arrivals, faults=list(faults)
    )


def test_requests_above_a_targets_limit_are_found():
    assert _find_limited() == {"limits of targets are kept"}


def test_a_host_that_was_paused_or_a_disturbed_link_excuses_them():
    paused = records.Fault("pause", records.Area.DAEMON, "entry-1", 13.0, 15.9)
    elsewhere = records.Fault("pause", records.Area.DAEMON, "entry-2", 13.0, 15.9)
    link = records.Fault("link freeze", records.Area.TARGET, "desk-1", 13.0, 15.9)
    assert _find_limited(paused) == set()
    assert _find_limited(link) == set()
    assert _find_limited(elsewhere) == {"limits of targets are kept"}


def _find_held(since, **said):
    first = records.Arrival("r1", "desk-1", 1, 10.0, math.inf, **said)
    later = [
        records.Arrival("r1", "desk-1", 1, since + number * 0.1, math.inf)
        for number in range(3)
    ]
    return _promises(sent_requests=[_SENT], runs=[_RUN], arrivals=[first, *later])


def test_late_requests_to_a_target_that_said_it_leaves_are_found():
    promise = {"targets that leave get no requests"}
    assert _find_held(12.1, is_leaving=True) == promise
    assert _find_held(11.5, is_leaving=True) == set()


def test_requests_to_a_target_in_its_rest_are_found():
    assert _find_held(11.0, rest=3.0) == {"targets get the rest they ask for"}
    assert _find_held(10.1, rest=3.0) == set()
    assert _find_held(13.1, rest=3.0) == set()


def test_finds_callers_of_a_cut_daemon_that_are_not_served():
    cut = records.Fault(
        records.CUT_FROM_TARGETS, records.Area.PATHS, "entry-1", 10.0, 18.0
    )
    journal = records.Journal(faults=[cut])
    for number in range(30):
        request = dataclasses.replace(
            _SENT,
            request_id=f"c{number}",
            daemon=f"entry-{1 + number % 2}",
            sent_at=14.0,
            ended_at=14.5,
            status=200 if number % 2 else 502,
        )
        journal.sent_requests.append(request)
    promises = {violation.promise for violation in checker.check(journal)}
    assert "callers of cut daemons are served" in promises
    journal.faults.append(
        records.Fault("pause", records.Area.DAEMON, "entry-1", 13.0, 13.5)
    )
    promises = {violation.promise for violation in checker.check(journal)}
    assert "callers of cut daemons are served" not in promises


def test_finds_brittle_targets_that_fall_over_too_often():
    brittle = records.Fault(records.BRITTLE, records.Area.TARGET, "desk", 10.0, 18.0)
    journal = records.Journal(faults=[brittle])
    journal.falls += [("desk", at) for at in (13.0, 14.0)]
    assert checker.check(journal) == []
    journal.falls.append(("desk", 15.0))
    (violation,) = checker.check(journal)
    assert violation.promise == "few brittle targets fall over"


def test_finds_a_request_that_is_lost_at_a_silent_target():
    silent = records.Fault(records.SILENT, records.Area.TARGET, "desk-1", 20.0, 21.0)
    lost = dataclasses.replace(_SENT, status=502, stamp=None, ended_at=20.8)
    journal = records.Journal(faults=[silent], sent_requests=[lost])
    (violation,) = checker.check(journal)
    assert violation.promise == "a short silence loses nothing"


def _arrivals(repeated):
    """Return the arrivals of requests at a service, of which some come twice."""
    first = [
        records.Arrival(f"r{number}", "desk-1", 1, 20.0 + number / 100, math.inf)
        for number in range(100)
    ]
    again = [dataclasses.replace(item, at=item.at + 0.5) for item in first[:repeated]]
    return first + again


def test_more_repeats_than_the_budget_allows_break_a_promise():
    broken = "repeats stay within the budget"
    assert broken in _promises(arrivals=_arrivals(71))
    assert broken not in _promises(arrivals=_arrivals(70))
