"""Tests of the lines that a daemon logs as JSON."""

import json

import loguru
import pytest

from sesamespindle.daemon import logs


class _Lines(list):
    """Collects lines in place of `logs.BoundedLines`."""

    add = list.append


@pytest.fixture
def lines():
    return _Lines()


@pytest.fixture
def json_lines(lines):
    return logs.JsonLines('host "1"', lines)


@pytest.fixture
def logger(json_lines):
    """Return a logger that logs to nothing but the lines."""
    sink = loguru.logger.add(json_lines.add_record, format="{message}", catch=False)
    yield loguru.logger.bind(part="relay", request="r-1")
    loguru.logger.remove(sink)


def test_lines_about_requests_look_like_all_others(lines, json_lines, logger):
    """Guards against lines that the tools for logs don't find."""
    message = 'Größe "4" \\ of {}\n'
    logger.info(message)
    json_lines.add_info("relay", "r-1", message)
    first, second = map(json.loads, lines)
    assert list(first) == list(second)
    times = first.pop("time"), second.pop("time")
    assert first == second
    assert first["message"] == message
    assert first["host"] == 'host "1"'
    assert len(times[0]) == len(times[1])
    assert times[0][-6:] == times[1][-6:]


def test_an_error_is_named_in_its_line(lines, logger):
    """Guards against failures that leave no trace of their cause."""
    try:
        raise ValueError('"broken"')
    except ValueError:
        logger.exception("It failed.")
    assert json.loads(lines[0])["exception"] == "ValueError('\"broken\"')"


def test_a_message_without_values_is_logged_as_it_is(lines, json_lines, monkeypatch):
    """Guards against braces in a message that are taken for places of values."""
    monkeypatch.setattr(logs, "_json_lines", json_lines)
    logs.note_request("relay", "r-1", "Sent {} to {}.", "{x}", 2)
    logs.note_request("relay", "r-1", "{as it is}")
    messages = [json.loads(line)["message"] for line in lines]
    assert messages == ["Sent {x} to 2.", "{as it is}"]


def test_long_ids_and_messages_are_cut(lines, json_lines):
    """Guards against lines that wait to be written and hold what callers send."""
    json_lines.add_info("relay", "r" * 60_000, "m" * 60_000)
    assert len(lines[0]) < 9000
    line = json.loads(lines[0])
    assert line["request"] == "r" * 200
