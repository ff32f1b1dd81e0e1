"""What targets say of themselves in the headers of their answers."""

import math

import multidict
import pytest

from sesamespindle.decide import routes, sends
from sesamespindle.platform import dialect, signalheaders


def read(*headers, status=200):
    headers = multidict.CIMultiDictProxy(multidict.CIMultiDict(headers))
    return signalheaders.read(status, headers)


def test_an_answer_without_signals():
    signals = read(("X-Server-Load", "busy"))
    assert (signals.load, signals.weight_version) == (None, None)
    assert signals.limit == math.inf
    assert signals.unreadable == ()


def test_load_and_weight_version():
    signals = read(("X-Server-Load", "3,2,8"), ("x-weight-versions", "4"))
    assert (signals.load, signals.weight_version) == (5, 4)


@pytest.mark.parametrize(
    "value",
    ["?", "", "-1", "+1", " 1 ", "1_0", "1.0", "\u0661", "\xb2", "1" * 24, str(2**63)],
)
def test_a_bad_weight_version_is_named_and_means_none(value):
    """Guards against a version that no message to other hosts can hold."""
    signals = read(("X-Weight-Versions", value))
    assert signals.weight_version is None
    assert signals.unreadable == (f"X-Weight-Versions: {value}",)


@pytest.mark.parametrize(
    ("value", "load", "speed", "is_readable"),
    [
        ("3,2,8", 5, None, True),
        ("3,2,8,100", 5, 100, True),
        ("3,2,8,250,7", 5, 250, True),
        ("3,2,8,fast", 5, None, False),
        ("3,2,8,-1", 5, None, False),
        ("3,2,8,0", 5, None, False),
        ("3,2,8," + "9" * 40, 5, None, False),
        ("3,2,x,250", 5, 250, False),
        ("?,2,8,250", None, 250, True),
    ],
)
def test_load_with_speed(value, load, speed, is_readable):
    """Guards against an answer that is lost to a figure that can't be read."""
    signals = read(("X-Server-Load", value))
    assert (signals.load, signals.speed) == (load, speed)
    assert (signals.unreadable_load == "") == is_readable
    assert signals.unreadable == ()


@pytest.mark.parametrize(
    ("value", "limit"), [("1.7", 1.7), ("12", 12.0), (" 0 ", 0.0), ("0.25", 0.25)]
)
def test_a_limit(value, limit):
    assert read(("server-limit", value)).limit == limit


@pytest.mark.parametrize(
    "value",
    [
        "",
        "nan",
        "inf",
        "-inf",
        "-1",
        "+1",
        "1e300",
        "1.",
        ".5",
        "1,7",
        "soon",
        "\u0661",
    ],
)
def test_a_bad_limit_changes_nothing_and_is_named(value):
    signals = read(("Server-Limit", value))
    assert signals.limit is None
    assert signals.unreadable == (f"Server-Limit: {value}",)


def test_a_limit_that_comes_twice_is_bad():
    signals = read(("Server-Limit", "1"), ("Server-Limit", "5"))
    assert signals.limit is None
    assert signals.unreadable == ("Server-Limit: 1, 5",)


def test_a_limit_with_more_digits_than_a_number_holds_limits_nothing():
    assert read(("Server-Limit", "9" * 400)).limit == math.inf


@pytest.mark.parametrize(("values", "is_leaving"), [("1", True), ("0", False)])
def test_a_target_that_leaves(values, is_leaving):
    assert read(("server-leaving", values)).is_leaving == is_leaving
    assert read(("server-leaving", values), ("server-leaving", values)).is_leaving == (
        is_leaving
    )


@pytest.mark.parametrize("value", ["", "yes", "01", "1.0", "-1"])
def test_a_bad_word_of_leaving_is_named_and_means_nothing(value):
    signals = read(("Server-Leaving", value))
    assert not signals.is_leaving
    assert signals.unreadable == (f"Server-Leaving: {value}",)


@pytest.mark.parametrize(
    ("status", "value", "seconds"),
    [
        (503, "3", 3.0),
        (429, "0.25", 0.25),
        (503, "0", None),
        (200, "3", None),
        (500, "3", None),
        # A rest that never ends would lose the target for good.
        (503, "99999999999999999999", 3600.0),
    ],
)
def test_a_rest(status, value, seconds):
    rest = read(("Retry-After", value), status=status).rest
    assert (rest and rest.total_seconds()) == seconds


@pytest.mark.parametrize(
    "value", ["nan", "-3", "1e3", "Thu, 03 Dec 2026 10:00:00 GMT", "3 s", ""]
)
def test_a_bad_rest_is_named_and_means_none(value):
    signals = read(("Retry-After", value), status=503)
    assert signals.rest is None
    assert signals.unreadable == (f"Retry-After: {value}",)


@pytest.mark.parametrize(
    ("status", "headers", "is_heard"),
    [
        (200, {"X-Attempt-Id": "r1"}, True),
        (200, {"X-Attempt-Id": "r0"}, False),
        (503, {"X-Attempt-Id": "r1", "X-Not-Executed": "1"}, True),
        (421, {"X-Attempt-Id": "r1"}, False),
        (421, {"X-Attempt-Id": "r1", "X-Instance-Id": "other-2"}, False),
        (421, {"X-Attempt-Id": "r1", "X-Instance-Id": "llm-1"}, True),
    ],
)
def test_only_the_targets_own_answer_to_this_request_is_heard(
    status, headers, is_heard
):
    """Another target at the address, or a late answer, would name a limit for it."""
    forward = sends.Forward(
        "r1", 1, "llm-1", "10.1.0.1:80", None, 5, None, routes.Repeats.ONCE, True
    )
    headers = multidict.CIMultiDict(headers | {"Server-Limit": "1.5"})
    signals = dialect.Dialect().signals(forward, status, headers)
    assert (signals is not None) == is_heard
