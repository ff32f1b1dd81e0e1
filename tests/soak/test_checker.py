"""The soak's checker finds each kind of broken promise in made-up records."""

import dataclasses

import pytest
from soak import checker, records, targets

_ASKED = records.Asked(
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
    _ASKED,
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
    _ASKED, kind=records.Kind.PROBE, path="/probe-4/r1", version=4
)
_PROBE_RUN = dataclasses.replace(_RUN, path="/probe-4/r1")
_STOP = records.Fault(
    "SIGTERM", records.Area.DAEMON, "entry-1", 19.0, 24.0, planned=True
)


def _promises(**of_journal):
    return {item.promise for item in checker.check(records.Journal(**of_journal))}


def test_records_of_a_calm_time_break_nothing():
    assert _promises(asked=[_ASKED], runs=[_RUN]) == set()
    assert _promises(asked=[_CHAT], runs=[_CHAT_RUN]) == set()
    assert _promises(asked=[_PROBE], runs=[_PROBE_RUN]) == set()


@pytest.mark.parametrize(
    ("promise", "asked", "runs"),
    [
        ("at most once", {}, [_RUN, _RUN]),
        ("not run is true", {"status": 503, "stamp": None}, [_RUN]),
        ("whole answer", {"body": b"desk-1 ran r2"}, [_RUN]),
        ("whole answer", {"stamp": None}, [_RUN]),
        ("whole answer", {}, []),
        ("failures are the target's", {"status": 502}, [_RUN]),
        ("proper requests are served", {"status": 404, "stamp": None}, []),
        ("the route's service", {}, [dataclasses.replace(_RUN, service="llm")]),
        ("path unchanged", {}, [dataclasses.replace(_RUN, path="/once/r2")]),
        ("account for key", {}, [dataclasses.replace(_RUN, account="bank")]),
        ("account for key", {}, [dataclasses.replace(_RUN, key="key-of-acme")]),
        ("time that is left", {}, [dataclasses.replace(_RUN, deadline_ms=9000)]),
    ],
)
def test_a_broken_promise_to_a_caller_is_found(promise, asked, runs):
    made = dataclasses.replace(_ASKED, **asked)
    assert promise in _promises(asked=[made], runs=runs)


@pytest.mark.parametrize(
    ("promise", "status", "body"),
    [
        ("whole stream", 200, targets.event("r1", 1)),
        ("whole stream", 200, _CHAT.body + targets.event("r1", 1)),
        ("events in order", None, targets.event("r1", 2)),
        ("events in order", None, targets.event("r2", 1)),
    ],
)
def test_a_stream_with_a_gap_or_of_another_request_is_found(promise, status, body):
    made = dataclasses.replace(_CHAT, status=status, body=body)
    assert promise in _promises(asked=[made], runs=[_CHAT_RUN])


def test_a_request_cut_off_by_a_stop_is_found_unless_something_else_failed():
    cut = dataclasses.replace(_ASKED, status=None, stamp=None)
    promise = "a stop cuts nothing off"
    assert promise in _promises(asked=[cut], runs=[_RUN], faults=[_STOP])
    crash = records.Fault("crash", records.Area.TARGET, "desk-1", 18.0, 20.0)
    found = _promises(asked=[cut], runs=[_RUN], faults=[_STOP, crash])
    assert promise not in found


def test_an_old_configuration_is_found_after_its_time():
    promise = "configuration in force"
    dropped = records.Change("configuration", 17.0, version=5)
    assert promise in _promises(asked=[_PROBE], runs=[_PROBE_RUN], changes=[dropped])
    unknown = dataclasses.replace(_PROBE, status=404, stamp=None)
    added = records.Change("configuration", 17.0, version=4)
    assert promise in _promises(asked=[unknown], changes=[added])
    away = records.Fault("is_away", records.Area.STORE, "", 16.0, 18.0)
    found = _promises(asked=[unknown], changes=[added], faults=[away])
    assert promise not in found


def test_a_daemon_that_goes_back_to_an_older_configuration_is_found():
    newer = dataclasses.replace(_PROBE, request="r0", version=5, ended_at=10.0)
    found = _promises(asked=[newer, _PROBE], runs=[_PROBE_RUN])
    assert "configuration never back" in found
    restarted = dataclasses.replace(_PROBE, life=2)
    found = _promises(asked=[newer, restarted], runs=[_PROBE_RUN])
    assert "configuration never back" not in found


def test_work_for_a_target_that_left_is_found():
    left = records.Change("leaving", 17.0, subject="desk-1")
    assert "leaving targets" in _promises(runs=[_RUN], changes=[left])


@pytest.mark.parametrize(
    ("promise", "later"),
    [
        ("one holder", records.Order("llm-2", 22.0, "entry-2", 8)),
        ("one holder", records.Order("llm-2", 30.0, "entry-2", 7)),
        ("epochs rise", records.Order("llm-1", 30.0, "entry-2", 6)),
    ],
)
def test_two_holders_are_found(promise, later):
    first = records.Order("llm-1", 20.0, "entry-1", 7)
    assert promise in _promises(orders=[first, later])
    apart = records.Order("llm-1", 23.5, "entry-2", 8)
    assert _promises(orders=[first, apart]) == set()


def test_old_weights_are_found():
    named = records.Change("weights", 11.0, version=2)
    found = _promises(runs=[_CHAT_RUN], changes=[named])
    assert found == {"newest weights"}
    found = _promises(changes=[named], final_weights_by_engine={"llm-1": 1})
    assert found == {"all engines follow"}


def test_kv_cache_that_is_shared_wrongly_is_found():
    for changed in ({"weights": 2}, {"account": "bank"}):
        other = dataclasses.replace(_CHAT_RUN, request="r2", **changed)
        assert _promises(runs=[_CHAT_RUN, other]) == {"KV cache kept apart"}


def test_what_does_not_recover_and_what_ends_by_itself_is_found():
    refused = dataclasses.replace(_ASKED, status=503, stamp=None)
    assert "recovers" in _promises(asked=[refused], recovered_at=5.0)
    assert _promises(exits=[("entry-1", 1)]) == {"the daemon stays up"}
