"""Streams whose origin nobody knows, where one software version alone is recorded."""

import dataclasses
import itertools

import gateways
import places
import pytest
from gateways import NOW, SECOND
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespindle.decide import (
    events,
    freshness,
    revisions,
    sends,
    softwarerecords,
    streamorigins,
    streamversions,
    targetlist,
)

KIND = "software"
_HOSTS = 3


class Fleet:
    """Hosts that share a store, and forget what they know as they are lost.

    No host is told where a stream began, so each taking up rests on the records.
    """

    def __init__(self):
        self.now = NOW
        self.record = softwarerecords.SoftwareRecord("llm", ())
        self._revisions = itertools.count(1)
        self._requests = itertools.count()
        self.versions = ["v1"]
        self.hosts = [self._start(number) for number in range(_HOSTS)]

    def _start(self, number, reads=True):
        me = events.Host(f"entry-{number}", "entry", "dc-1", f"e{number}:80", "e:81")
        core = gateways.make_gateway(1e6, me, kinds=freshness.Kinds(software=KIND))
        core.stream_versions.merge((), self.now)
        if reads:
            self._read(core)
        self._list(core)
        return core

    def restart(self, number):
        """Lose a host and start it again."""
        self.hosts[number] = self._start(number)

    def _read(self, core):
        """Have a host read the records, which proves what they were just now."""
        revision = self.record.revision
        core.state.freshness.note_read(KIND, revision, 1, self.now, "a listing")
        core.step(self.now, [softwarerecords.SoftwareListed((self.record,))])

    def _list(self, core):
        listed = tuple(
            dataclasses.replace(
                gateways.make_target(
                    f"llm-{software}", "llm", revision=next(self._revisions)
                ),
                software=software,
            )
            for software in self.versions
        )
        core.step(self.now, [targetlist.TargetsListed(listed)])
        for row in list(core.state.targets):
            if row.software not in self.versions:
                core.state.drop_target(row.name)

    def pass_time(self, tenths):
        """Let time pass on all hosts."""
        for _ in range(tenths):
            self.now += 0.1 * SECOND
            for core in self.hosts:
                self._tick(core)

    def _tick(self, core):
        self._list(core)
        for command in core.step(self.now, [events.Tick()]):
            if isinstance(command, softwarerecords.WriteSoftware):
                self._write(core, command.record)

    def _write(self, core, record):
        if record.revision != self.record.revision:
            core.step(self.now, [softwarerecords.SoftwareRead(self.record)])
            return
        revision = places.at(next(self._revisions))
        self.record = dataclasses.replace(record, revision=revision)
        core.step(self.now, [softwarerecords.SoftwareRead(self.record)])

    def begin(self, number):
        """Begin a stream at a host; return its version, None if none began.

        A host whose targets are all of versions that aren't recorded waits for the
        record first.
        """
        core = self.hosts[number]
        if core.stream_versions.awaits_record("llm", self.now):
            self._tick(core)
            self._read(core)
        return self._send(core, None)

    def take_up(self, number):
        """Return the version at which a stream of unknown origin goes on, or None."""
        core = self.hosts[number]
        self._read(core)
        origin = core.origins.sole(("llm",))
        return self._send(core, origin) if origin is not None else None

    def _send(self, core, origin):
        request_id = f"r{next(self._requests)}"
        command = gateways.begin(
            core,
            "/chat/1",
            self.now,
            request_id=request_id,
            model="m",
            origin=origin,
            resumes="a0" if origin else "",
            last_event_id="3" if origin else "",
        )
        core.forwarding.close(request_id, now=self.now)
        if not isinstance(command, sends.Forward):
            return None
        return core.state.targets.get(command.target).software


@settings(max_examples=80, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["join", "leave", "kill", "kill all", "wait", "begin"]),
            st.integers(0, _HOSTS - 1),
            st.integers(0, 30),
        ),
        min_size=1,
        max_size=25,
    )
)
def test_what_is_recorded_never_names_another_version_than_began_a_stream(schedule):
    """Guards against streams of two versions as a host concludes what began them."""
    fleet = Fleet()
    fleet.pass_time(3)
    new = (f"v{number}" for number in itertools.count(2))
    began = set()
    for happens, number, tenths in schedule:
        match happens:
            case "join":
                fleet.versions.append(next(new))
            case "leave" if len(fleet.versions) > 1:
                fleet.versions.pop(number % len(fleet.versions))
            case "kill":
                fleet.restart(number)
            case "kill all":
                for each in range(_HOSTS):
                    fleet.restart(each)
            case "wait":
                fleet.pass_time(tenths)
            case "begin":
                began.add(fleet.begin(number))
        gone_on = fleet.take_up(number)
        assert gone_on is None or began <= {gone_on, None}


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.pass_time(3)
    return fleet


def test_a_stream_goes_on_after_a_second_version_came_while_no_host_lived(fleet):
    """Guards against streams that are refused although one version alone began any."""
    fleet.versions.append("v2")
    for number in range(_HOSTS):
        fleet.restart(number)
    assert fleet.take_up(0) == "v1"
    fleet.pass_time(35)
    assert fleet.begin(0) == "v1"
    assert fleet.take_up(0) == "v1"
    fleet.pass_time(10)
    assert fleet.take_up(0) is None


def test_a_version_that_begins_streams_as_the_last_one_is_recorded_first(fleet):
    """Guards against a version of which no host knows that starts a moment later."""
    fleet.versions = ["v2"]
    for core in fleet.hosts:
        fleet._list(core)
    assert fleet.begin(0) == "v2"
    assert fleet.record.versions == ("v1", "v2")
    fleet.versions = ["v1"]
    for number in range(_HOSTS):
        fleet.restart(number)
    assert fleet.take_up(1) is None


def test_a_version_begins_no_unrecorded_stream_beside_a_target_that_is_missing(fleet):
    """Guards against streams of a version whose record waits for one that has gone."""
    fleet.pass_time(60)
    fleet.versions = ["v1", "v2"]
    fleet.pass_time(5)
    for core in fleet.hosts:
        core.step(fleet.now, [targetlist.TargetRemoved("llm-v1")])
    core = fleet.hosts[0]
    assert core.stream_versions.awaits_record("llm", fleet.now)
    for command in core.step(fleet.now, [events.Tick()]):
        if isinstance(command, softwarerecords.WriteSoftware):
            fleet._write(core, command.record)
    assert fleet._send(core, None) == "v2"
    other = fleet.hosts[1]
    fleet._read(other)
    assert other.origins.sole(("llm",)) is None


def test_a_host_that_does_not_know_the_records_begins_no_stream_at_first(fleet):
    """Guards against streams that begin at a version which nobody takes for one."""
    fleet.versions = ["v1", "v2"]
    core = fleet._start(0, reads=False)
    assert core.stream_versions.awaits_record("llm", fleet.now)
    assert fleet._send(core, None) is None
    fleet._read(core)
    assert {fleet._send(core, None) for _ in range(20)} == {"v1"}


@pytest.mark.parametrize("revision", [places.at(99), revisions.NEVER])
def test_nothing_is_concluded_from_a_record_that_was_spoiled_or_removed(
    fleet, revision
):
    """Guards against a conclusion from what a record was before."""
    core = fleet.hosts[0]
    assert core.origins.sole(("llm",)) is not None
    spoiled = softwarerecords.SoftwareRecord("llm", (), revision)
    core.step(fleet.now, [softwarerecords.SoftwareRead(spoiled)])
    assert core.origins.sole(("llm",)) is None


def test_a_version_that_came_and_went_before_its_record_began_no_stream(fleet):
    fleet.versions.append("v2")
    fleet.pass_time(5)
    assert {fleet.begin(0) for _ in range(20)} == {"v1"}
    fleet.versions.remove("v2")
    for number in range(_HOSTS):
        fleet.restart(number)
    assert fleet.take_up(1) == "v1"


def test_keepers_are_told_of_streams_that_ended_before_a_second_version_came():
    """Guards against streams that are refused as their callers left a moment early."""
    core = gateways.make_gateway()
    for name in ("entry-2", "entry-3"):
        core.state.put_entry(gateways.make_entry(name))
    core.step(NOW, [targetlist.TargetsListed((_engine("llm-1", "v1"),))])
    core.step(NOW, [events.Tick()])
    for number in range(150):
        gateways.begin(core, "/chat/1", NOW, request_id=f"r{number}", model="m")
        core.forwarding.stream_begun(f"r{number}", now=NOW)
        core.forwarding.close(f"r{number}", now=NOW)
    second = (_engine("llm-1", "v1"), _engine("llm-2", "v2"))
    core.step(NOW + SECOND, [targetlist.TargetsListed(second)])
    told = []
    for tenths in range(3):
        commands = core.step(NOW + (1 + tenths / 10) * SECOND, [events.Tick()])
        told.append(
            [each for each in commands if isinstance(each, streamorigins.TellOrigin)]
        )
    assert [len(each) for each in told] == [100, 50, 0]
    assert {each.origin.software for each in told[0] + told[1]} == {"v1"}
    assert len({each.key for each in told[0] + told[1]}) == 150


def test_attempts_of_a_single_version_are_forgotten_in_time():
    """Guards against memory that grows where no second version ever comes."""
    core = gateways.make_gateway()
    core.step(NOW, [targetlist.TargetsListed((_engine("llm-1", "v1"),))])
    gateways.begin(core, "/chat/1", NOW, request_id="r1", model="m")
    core.forwarding.stream_begun("r1", now=NOW)
    key = streamorigins.key_of("acme", "r1")
    assert core.origins.known(key, NOW).software == "v1"
    later = NOW + streamversions.SEEN_FOR + SECOND
    core.step(later, [events.Tick()])
    assert core.origins.known(key, NOW) is None


def _engine(name, software):
    listed = gateways.make_target(name, "llm", versions={"m": 1})
    return dataclasses.replace(listed, software=software)


@pytest.mark.parametrize(
    "ending", [sends.Ending.REFUSED, sends.Ending.LOST, sends.Ending.TURNED_AWAY]
)
def test_a_stream_taken_up_at_the_only_version_is_sent_to_no_later_one(fleet, ending):
    """Guards against a retry that takes a stream which was taken up for a new one."""
    core = fleet.hosts[0]
    command = gateways.begin(
        core,
        "/chat/1",
        fleet.now,
        request_id="a1",
        model="m",
        resumes="a0",
        last_event_id="3",
        deadline=fleet.now + 60 * SECOND,
    )
    assert command.target == "llm-v1"
    fleet.versions = ["v2"]
    fleet.pass_time(3)
    command = core.forwarding.ended("a1", ending, now=fleet.now)
    assert not isinstance(command, sends.Forward) or command.target == "llm-v1"
