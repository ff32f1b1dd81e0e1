"""Short soaks with fixed seeds, in which engines of several versions break off."""

import asyncio

import pytest
from soak import checker, play, records


@pytest.mark.parametrize("seed", (91, 92))
def test_promises_hold_while_versions_serve_side_by_side(seed):
    outcome = asyncio.run(
        play.play(seed, 0.0, restarts=False, announcements=False, versions=True)
    )
    assert outcome.violations == []
    sent = outcome.journal.sent_requests
    assert sum(bool(item.resumes) for item in sent) >= 12
    assert len({run.software for run in outcome.journal.runs}) > 1


def _make_run(request_id, at, first_event, software):
    return records.Run(
        request_id,
        f"llm-{software}",
        "llm",
        "/chat/1",
        at,
        200,
        "acme",
        None,
        1,
        first_event,
        software=software,
    )


def _make_sent(request_id, status, resumes=""):
    return records.SentRequest(
        request_id,
        records.Kind.CHAT,
        "entry-1",
        1,
        f"/chat/{request_id}",
        "acme",
        1000,
        1.0,
        2.0,
        status,
        resumes=resumes,
        last_event=1,
    )


@pytest.mark.parametrize("software", ["v1", "v2"])
def test_a_stream_of_two_versions_is_a_violation(software):
    journal = records.Journal()
    journal.sent_requests += [_make_sent("a", None), _make_sent("b", 200, "a")]
    journal.runs += [_make_run("a", 1.0, 1, "v1"), _make_run("b", 2.0, 4, software)]
    found = list(checker._check_software(journal))
    assert bool(found) == (software == "v2")


@pytest.mark.parametrize("status", [200, 503])
def test_streams_that_are_all_refused_are_a_violation(status):
    journal = records.Journal()
    journal.sent_requests += [_make_sent(f"b{n}", status, "a") for n in range(20)]
    assert bool(list(checker._check_taken_up(journal))) == (status == 503)
