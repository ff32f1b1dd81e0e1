"""Records of the software versions that services have had lately."""

import dataclasses

import gateways
import places
import pytest

from sesamespindle.decide import (
    budgets,
    events,
    freshness,
    gateway,
    softwarerecords,
    targetlist,
)

NOW, SECOND = gateways.NOW, gateways.SECOND
KIND = "software"
# From when a version that joins a recorded one is written by a host that has started.
JOINED = NOW + 4 * SECOND


def make_host(name="entry-1"):
    me = events.Host(name, "entry", "dc-1", f"{name}:80", f"{name}:81")
    terms = gateway.PlatformLimits(
        budgets.BudgetRule(0.2, 50.0), kinds=freshness.Kinds(software=KIND)
    )
    core = gateway.Gateway(me, terms)
    core.step(NOW, [gateway.ConfigurationRead(gateways.make_configuration())])
    core.step(NOW, [events.Tick()])
    return core


def list_versions(core, *versions, now=NOW):
    """List engines with these versions of their software."""
    targets = tuple(
        dataclasses.replace(
            gateways.make_target(f"llm-{number}", "llm"), software=version
        )
        for number, version in enumerate(versions, 1)
    )
    core.step(now, [targetlist.TargetsListed(targets)])


def read(core, *records, now=NOW):
    core.state.freshness.note_read(KIND, places.at(9), 1, now, "a listing")
    core.step(now, [softwarerecords.SoftwareListed(records)])


def record(*versions, number=3):
    return softwarerecords.SoftwareRecord("llm", versions, places.at(number))


def writes(core, now):
    commands = core.step(now, [events.Tick()])
    return [
        command.record
        for command in commands
        if isinstance(command, softwarerecords.WriteSoftware)
    ]


def begins_at(core, now):
    """Return the versions at which a new stream may begin."""
    begun = gateways.begin(core, "/chat/1", now, request_id="r1", model="m")
    flight = core.forwarding.flight_by_request[begun.request_id]
    flight.software = ""
    rows = list(core.state.targets)
    permitted = core.stream_versions.permitted_targets(rows, flight, now)
    core.forwarding.close("r1", now=now)
    return {row.software for row in permitted}


def test_a_version_that_is_not_recorded_is_written_at_its_revision():
    core = make_host()
    read(core, record("v1.1"))
    list_versions(core, "v1.1", "v1.2")
    assert writes(core, JOINED) == [record("v1.1", "v1.2")]
    assert writes(core, JOINED + 0.5 * SECOND) == []


def test_a_version_that_joins_another_is_recorded_only_before_it_begins_streams():
    """Guards against hosts that start and can't tell what began streams of before."""
    core = make_host()
    read(core, record("v1.1"))
    list_versions(core, "v1.1", "v1.2")
    for tenths in range(40):
        now = NOW + 0.1 * tenths * SECOND
        assert writes(core, now) == []
        assert core.stream_versions.sole_version("llm") == "v1.1"
        assert begins_at(core, now) == {"v1.1"}
    assert writes(core, JOINED) == [record("v1.1", "v1.2")]
    assert begins_at(core, JOINED) == {"v1.1"}
    core.step(JOINED, [softwarerecords.SoftwareRead(record("v1.1", "v1.2", number=4))])
    assert core.stream_versions.sole_version("llm") is None
    assert begins_at(core, JOINED) == {"v1.1", "v1.2"}


def test_a_host_that_has_run_for_a_while_records_a_new_version_sooner():
    """Guards against new targets that get no streams for longer than it takes."""
    core = make_host()
    read(core, record("v1.1"))
    list_versions(core, "v1.1")
    assert writes(core, NOW) == []
    later = NOW + 10 * SECOND
    list_versions(core, "v1.1", "v1.2", now=later)
    assert writes(core, later + 1.9 * SECOND) == []
    assert writes(core, later + 2 * SECOND) == [record("v1.1", "v1.2")]


def test_a_version_is_recorded_at_once_if_no_recorded_one_is_left():
    """Guards against streams that wait for a version which can't come back."""
    core = make_host()
    read(core, record("v1.1"))
    list_versions(core, "v1.2")
    assert core.stream_versions.awaits_record("llm", NOW)
    assert writes(core, NOW) == [record("v1.1", "v1.2")]
    core.step(NOW, [softwarerecords.SoftwareRead(record("v1.1", "v1.2", number=4))])
    assert not core.stream_versions.awaits_record("llm", NOW)
    assert begins_at(core, NOW) == {"v1.2"}


def test_nothing_is_written_before_the_records_are_known():
    """Guards against a host that starts and drops a version that it doesn't know."""
    core = make_host()
    list_versions(core, "v1.2")
    assert writes(core, NOW + 5 * SECOND) == []
    assert not core.stream_versions.is_informed(NOW)


def test_a_version_is_dropped_only_a_minute_after_it_was_last_known():
    """Guards against streams that callers take up after all hosts have started anew."""
    core = make_host()
    read(core, record("v1.1", "v1.2"))
    list_versions(core, "v1.2")
    for seconds in range(60):
        assert writes(core, NOW + seconds * SECOND) == []
    assert core.stream_versions.is_mixed("llm")
    dropped = [writes(core, NOW + seconds * SECOND) for seconds in (61, 62)]
    assert [record("v1.2")] in dropped


def test_one_host_after_the_other_writes_if_none_succeeds():
    """Guards against a record that is never written as its writer has no store."""
    written_at = []
    for name in ("entry-1", "entry-2"):
        core = make_host(name)
        other = {"entry-1": "entry-2", "entry-2": "entry-1"}[name]
        core.state.put_entry(gateways.make_entry(other, "dc-2"))
        read(core, record("v1.1"))
        list_versions(core, "v1.1", "v1.2")
        at = next(
            number for number in range(60) if writes(core, NOW + 0.1 * number * SECOND)
        )
        written_at.append(at)
    assert sorted(written_at) == [40, 50]


def test_a_write_that_failed_is_repeated():
    core = make_host()
    read(core, record("v1.1"))
    list_versions(core, "v1.1", "v1.2")
    assert writes(core, JOINED)
    core.step(JOINED, [softwarerecords.SoftwareWriteFailed("llm")])
    assert writes(core, JOINED + 0.9 * SECOND) == []
    assert writes(core, JOINED + 1.1 * SECOND) == [record("v1.1", "v1.2")]


def test_a_record_that_another_host_wrote_first_is_taken_over():
    """Guards against two writers that drop each other's version."""
    core = make_host()
    read(core, record("v1.1"))
    list_versions(core, "v1.1", "v1.2")
    assert writes(core, JOINED)
    theirs = record("v1.1", "v1.3", number=4)
    core.step(JOINED, [softwarerecords.SoftwareRead(theirs)])
    merged = record("v1.1", "v1.2", "v1.3", number=4)
    assert writes(core, JOINED) == [merged]


@pytest.mark.parametrize("versions", [(), ("v1.1",)])
def test_a_new_version_begins_streams_once_it_is_recorded(versions):
    """Guards against streams of a version that hosts which start know nothing of."""
    core = make_host()
    read(core, record(*versions))
    list_versions(core, "v1.1", "v1.2")
    later = NOW + 5 * SECOND
    assert begins_at(core, later) == (set(versions) or {"v1.1", "v1.2"})
