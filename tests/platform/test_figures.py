"""Figures of others, each in the range that messages between hosts can hold."""

import math

import pytest
import standins

from sesamespindle.declare import findings
from sesamespindle.platform import figures, manifest, servers

BAD_COUNTS = [-1, 2**63, 10**400, 1.0, math.nan, math.inf, True, "7", None, []]


@pytest.mark.parametrize("value", BAD_COUNTS)
def test_a_count_that_cannot_be_right_is_none(value):
    """Guards against a follower of a KV store that ends by what the store tells."""
    with pytest.raises(ValueError, match="count"):
        figures.count(value)


@pytest.mark.parametrize(
    "item",
    [
        [1, "+", 5, "p", 10, "m"],
        [1, "+", "s", None, 10, "m"],
        *([1, "+", "s", "p", value, "m"] for value in BAD_COUNTS),
    ],
)
def test_a_change_of_a_kv_store_that_fits_no_message_is_no_answer(item):
    """Guards against changes that no other host ever learns of."""
    with pytest.raises((ValueError, TypeError)):
        servers._decode_part(item)


@pytest.mark.parametrize("value", [math.nan, math.inf, 10**400, "7", None, True])
def test_a_clock_that_cannot_be_right_is_none(value):
    assert figures.finite(value) is None


@pytest.mark.parametrize(
    "changed",
    [
        {"Version": 2**64},
        {"Version": -1},
        {"Limits": {"IdleTimeoutMs": math.inf}},
        {"Limits": {"IdleTimeoutMs": 1e300}},
        {"Limits": {"MaxBodyBytes": 2**70}},
        {"Services": [{"Name": "desk", "ColdStartS": 1e300, "ColdPerS": 1}]},
        {"Services": [{"Name": "desk", "MaxConnections": 10**30}]},
    ],
)
def test_a_configuration_beyond_all_ranges_is_refused(changed):
    """Guards against hosts that end as they read a configuration, at each start."""
    with pytest.raises(findings.FindingsError):
        manifest.decode(standins.make_manifest(**changed))


@pytest.mark.parametrize(
    ("field", "value"),
    [("TimeoutMs", math.nan), ("TimeoutMs", 1e300), ("TargetLatencyMs", -1.0)],
)
def test_a_route_beyond_all_ranges_is_refused(field, value):
    """Guards against hosts that end as they read a configuration, at each start."""
    changed = standins.make_manifest()
    changed["Routes"][0][field] = value
    with pytest.raises(findings.FindingsError):
        manifest.decode(changed)
