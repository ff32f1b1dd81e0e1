"""Explaining a request from its id, with log lines in the daemons' format."""

import json

import pytest

from sesamespindle.cli import explain

AT = "2026-03-01T09:00:0{}+00:00"


def line(second, host, request, message, part="relay"):
    value = {
        "time": AT.format(second),
        "level": "INFO",
        "host": host,
        "part": part,
        "request": request,
        "message": message,
    }
    return json.dumps(value)


@pytest.fixture
def logs(tmp_path):
    """Return the logs of two hosts, one with text that a process manager adds."""
    first = [
        line(2, "entry-1", "abc123", "Sent to target llm-1, attempt 1."),
        "restarted by the process manager",
        line(1, "entry-1", "-", "target_leaving llm-1. listed", "decide"),
        line(3, "entry-1", "abc123", "The send to target llm-1 ended: lost. Next: x."),
        line(3, "entry-1", "other", "Refused: overloaded, not_run."),
    ]
    second = [line(9, "entry-2", "-", "The platform does not answer.", "platform")]
    paths = [tmp_path / "one.log", tmp_path / "two.log"]
    paths[0].write_text("12.5 entry-1 " + "\n".join(first))
    paths[1].write_text("\n".join(second))
    return paths


def test_decisions_are_shown_in_order_with_the_cause(logs):
    found = explain.explain(explain.read(logs), "abc")
    assert [item.message[:4] for item in found.decisions] == ["Sent", "The "]
    assert [item.message for item in found.nearby] == ["target_leaving llm-1. listed"]
    assert "broke before the answer was complete" in found.cause


def test_unknown_request_is_reported(logs):
    found = explain.explain(explain.read(logs), "nobody")
    assert str(found) == "No line of any log names request nobody."


def test_crashes_that_led_to_a_refusal_are_shown_from_all_hosts(tmp_path):
    fingerprint = "0f" * 16
    crash = f"target_crashed llm-1. 2 requests under way: {'1e' * 16}, {fingerprint}"
    quarantine = f"request_quarantined {fingerprint}. heard"
    refused = "Refused: quarantined, not_run. Targets crash under this request, 3 so "
    lines = [
        line(1, "entry-2", "-", crash, "decide"),
        line(2, "entry-3", "-", quarantine, "decide"),
        line(
            2,
            "entry-3",
            "-",
            f"request_quarantined {'1e' * 16}. heard",
            "decide",
        ),
        line(9, "entry-1", "abc", f"{refused}far. Its fingerprint is {fingerprint}."),
    ]
    path = tmp_path / "all.log"
    path.write_text("\n".join(lines))
    found = explain.explain(explain.read([path]), "abc")
    assert [item.message for item in found.crashes] == [crash, quarantine]
    assert found.cause.startswith("Targets crash under this request")
    assert "Crashes under it, on all hosts:" in str(found)


def test_refusal_under_load_is_explained(logs):
    found = explain.explain(explain.read(logs), "other")
    assert found.cause == "All targets were too busy to answer in time."


def test_end_of_the_host_is_distinguished_from_a_caller_disconnect(tmp_path):
    """A host that stops during an answer must not be logged as a caller's disconnect.

    The HTTP server library reports both in the same way, so the log would otherwise
    say in both cases that the caller has left.
    """
    path = tmp_path / "one.log"
    path.write_text(
        "\n".join(
            (
                line(1, "entry-1", "abc123", "Sent to target llm-1, attempt 1."),
                line(8, "entry-1", "abc123", "Cut off by the end of this host: x."),
            )
        )
    )
    found = explain.explain(explain.read([path]), "abc123")
    assert "grace time ended" in found.cause


def test_withdrawal_from_a_target_is_explained(tmp_path):
    path = tmp_path / "one.log"
    ended = (
        "The send to target llm-1 ended: withdrawn, not begun on version 1, "
        "7200 ms after version 2 was announced. Next: target_failed, unknown."
    )
    path.write_text(line(1, "entry-1", "abc123", ended))
    found = explain.explain(explain.read([path]), "abc123")
    assert "too old" in found.cause


def test_a_taken_up_stream_leads_back_to_the_attempt_that_began_it(tmp_path):
    """Guards against a cause that stands in the log of another attempt alone."""
    path = tmp_path / "one.log"
    taken_up = "Takes up the stream begun as abc123, at software version v1 (asked)."
    path.write_text(
        "\n".join(
            (
                line(1, "entry-1", "abc123", "Sent to target llm-1, attempt 1."),
                line(2, "entry-2", "def456", taken_up),
                line(3, "entry-2", "def456", "Refused: version_gone, not_run. x"),
            )
        )
    )
    found = explain.explain(explain.read([path]), "def456")
    assert "Sent to target llm-1" in str(found)
    assert "No target is left" in found.cause
