"""Tests of which software versions may serve a stream, and who knows of them."""

import dataclasses
import datetime

import gateways
import pytest
from gateways import NOW, SECOND, make_gateway
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespindle.decide import (
    commands,
    events,
    gateway,
    gossip,
    sends,
    storechecks,
    streamorigins,
    streamversions,
    targetlist,
)

_LONG = streamversions.SEEN_FOR + SECOND
_PEERS = ("entry-2", "entry-3", "entry-4", "entry-5")


def make_engine(name, software, **changed):
    listed = gateways.make_target(name, "llm", versions={"m": 1}, **changed)
    return dataclasses.replace(listed, software=software)


def list_engines(core, *versions, at=NOW, revision=1):
    engines = tuple(
        make_engine(f"llm-{number + 1}", software, revision=revision)
        for number, software in enumerate(versions)
    )
    core.step(at, [targetlist.TargetsListed(engines)])


def tick(core, at):
    core.step(at, [events.Tick()])


def add_peers(core, names=_PEERS):
    for number, name in enumerate(names):
        data_centre = "dc-1" if number % 2 else "dc-2"
        core.state.put_entry(gateways.make_entry(name, data_centre))


@pytest.fixture
def core():
    """Return a host that has known two versions for a while, and heard its peers."""
    made = make_gateway()
    list_engines(made, "v1", "v2")
    add_peers(made)
    made.stream_versions.merge((), NOW)
    for seconds in range(4):
        tick(made, NOW + seconds * SECOND)
    return made


def begin(core, at=NOW + 4 * SECOND, **changed):
    fields = {"model": "m", "deadline": at + 20 * SECOND} | changed
    return gateways.begin(core, "/chat/1", at, **fields)


def software_of(core, command):
    assert isinstance(command, sends.Forward), command
    return core.state.targets.get(command.target).software


def take_up(core, origin, at=NOW + 4 * SECOND, **changed):
    fields = {"resumes": "a0", "last_event_id": "3", "origin": origin} | changed
    return begin(core, at, **fields)


@pytest.mark.parametrize("software", ["v1", "v2"])
def test_a_stream_goes_on_at_the_version_that_began_it(core, software):
    """Guards against streams that hold events of two versions."""
    origin = streamorigins.Origin("llm", software)
    for number in range(20):
        command = take_up(core, origin, request_id=f"r{number}")
        assert software_of(core, command) == software


@pytest.mark.parametrize(
    "changed", [{}, {"resumes": ""}, {"last_event_id": ""}, {"resumes": "\0" * 3000}]
)
def test_a_stream_of_unknown_origin_is_refused_as_not_run(core, changed):
    """Guards against a guess where a wrong one mixes two versions."""
    command = take_up(core, None, **changed)
    assert command.code is commands.Code.ORIGIN_UNKNOWN
    assert command.outcome is commands.Outcome.NOT_RUN
    assert command.retry_after is not None


def test_a_caller_returns_later_while_the_store_does_not_answer(core):
    """Guards against tries that are all used up before the store can tell."""
    shortly = dataclasses.replace(core.state.policy, retry_after=0.2 * SECOND)
    core.state.policy = shortly
    assert take_up(core, None).retry_after < SECOND
    core.step(NOW + 4 * SECOND, [storechecks.CheckEnded(False)])
    command = take_up(core, None, request_id="r2")
    assert SECOND <= command.retry_after <= 1.5 * SECOND
    core.step(NOW + 4 * SECOND, [storechecks.CheckEnded(True)])
    assert take_up(core, None, request_id="r3").retry_after < SECOND


def test_a_stream_whose_version_is_gone_is_refused_as_not_run(core):
    """Guards against callers that wait for targets which can't come back."""
    command = take_up(core, streamorigins.Origin("llm", "v0"))
    assert command.code is commands.Code.VERSION_GONE
    assert command.outcome is commands.Outcome.NOT_RUN


def test_a_fleet_of_one_version_tells_and_asks_nothing():
    """Guards against a price where nothing can be mixed."""
    core = make_gateway()
    add_peers(core)
    core.stream_versions.merge((), NOW)
    list_engines(core, "v1", "v1")
    tick(core, NOW)
    assert not core.stream_versions.records_to_announce(NOW)
    assert not core.origins.matters(("llm",))
    assert isinstance(take_up(core, None, at=NOW), sends.Forward)
    told = serve(core, "r1", at=NOW)
    assert not told


def serve(core, request_id, at=NOW + 4 * SECOND):
    """Let a stream's first event reach its caller; return what keepers are told."""
    core.forwarding.stream_begun(request_id, now=at)
    return [
        command
        for command in core.step(at, [])
        if isinstance(command, streamorigins.TellOrigin)
    ]


def test_the_first_event_of_a_stream_is_told_to_keepers_in_two_data_centres(core):
    """Guards against streams of which nobody knows once their host is gone."""
    command = begin(core)
    (told,) = serve(core, "r1")
    assert told.origin.software == software_of(core, command)
    centres = {
        row.data_centre
        for row in core.state.live_entries()
        if row.peer_address in told.addresses
    }
    assert len(told.addresses) == 2
    assert centres == {"dc-1", "dc-2"}
    assert set(told.addresses) <= set(core.origins.addresses_to_ask(told.key))
    assert core.origins.known(told.key, NOW + 5 * SECOND) == told.origin


def test_a_stream_that_was_taken_up_may_be_named_itself(core):
    """Guards against a caller that names its latest attempt, not its first."""
    take_up(core, streamorigins.Origin("llm", "v2"), request_id="r2")
    (told,) = serve(core, "r2")
    assert told.key == streamorigins.key_of("acme", "r2")
    assert told.origin.software == "v2"


def test_another_accounts_attempt_is_unknown(core):
    begin(core)
    serve(core, "r1")
    later = NOW + 5 * SECOND
    assert core.origins.known(streamorigins.key_of("acme", "r1"), later)
    assert core.origins.known(streamorigins.key_of("other", "r1"), later) is None


def test_streams_under_way_are_told_as_a_second_version_appears():
    """Guards against streams that began while the service had one version."""
    core = make_gateway()
    add_peers(core)
    list_engines(core, "v1")
    tick(core, NOW)
    begin(core, NOW)
    assert not serve(core, "r1", NOW)
    list_engines(core, "v1", "v2", at=NOW + SECOND, revision=2)
    told = [
        command
        for command in core.step(NOW + SECOND, [events.Tick()])
        if isinstance(command, streamorigins.TellOrigin)
    ]
    assert [command.origin.software for command in told] == ["v1"]


def test_streams_under_way_for_long_are_told_as_a_second_version_appears():
    """Guards against streams that began longer ago than attempts are remembered."""
    core = make_gateway()
    add_peers(core)
    list_engines(core, "v1")
    tick(core, NOW)
    begin(core, NOW, deadline=NOW + 2 * _LONG)
    serve(core, "r1", NOW)
    tick(core, NOW + _LONG)
    list_engines(core, "v1", "v2", at=NOW + _LONG, revision=2)
    told = [
        command
        for command in core.step(NOW + _LONG, [events.Tick()])
        if isinstance(command, streamorigins.TellOrigin)
    ]
    assert [command.origin.software for command in told] == ["v1"]


def test_a_new_version_begins_no_streams_until_all_hosts_can_know_of_it():
    """Guards against streams whose next host knows of one version alone."""
    core = make_gateway()
    list_engines(core, "v1")
    for seconds in range(4):
        tick(core, NOW + seconds * SECOND)
    at = NOW + 4 * SECOND
    list_engines(core, "v1", "v2", at=at, revision=2)
    early = {software_of(core, begin(core, at, request_id=f"a{n}")) for n in range(20)}
    assert early == {"v1"}
    tick(core, at + 3 * SECOND)
    late = {
        software_of(core, begin(core, at + 3 * SECOND, request_id=f"b{n}"))
        for n in range(40)
    }
    assert late == {"v1", "v2"}


def test_a_host_that_has_just_started_begins_no_streams_at_a_newer_version():
    """Guards against streams of a version that appears a second after a host starts."""
    core = make_gateway()
    list_engines(core, "v1")
    tick(core, NOW)
    list_engines(core, "v1", "v2", "v2", "v2", at=NOW + SECOND, revision=2)
    for number in range(10):
        command = begin(core, NOW + 1.5 * SECOND, request_id=f"r{number}")
        assert software_of(core, command) == "v1"


def test_a_new_version_begins_streams_at_once_if_no_other_is_left():
    core = make_gateway()
    list_engines(core, "v1")
    tick(core, NOW)
    core.step(NOW, [targetlist.TargetsListed((make_engine("llm-9", "v2"),))])
    for row in list(core.state.targets):
        if row.name != "llm-9":
            core.state.drop_target(row.name)
    assert software_of(core, begin(core, NOW)) == "v2"


def test_a_host_that_has_heard_no_peer_yet_continues_no_stream():
    """Guards against a host that has just started, where a version was replaced."""
    core = make_gateway()
    list_engines(core, "v2")
    add_peers(core)
    tick(core, NOW)
    assert take_up(core, None, at=NOW).code is commands.Code.ORIGIN_UNKNOWN
    record = gossip.SoftwareSeen("llm", "v1", NOW - 30 * SECOND)
    core.stream_versions.merge((record,), NOW)
    assert core.origins.matters(("llm",))
    assert take_up(core, None, at=NOW).code is commands.Code.ORIGIN_UNKNOWN


def test_a_replaced_version_is_forgotten_and_not_kept_alive_by_echoes():
    """Guards against a fleet that goes on paying for a version long gone."""
    core = make_gateway()
    list_engines(core, "v1", "v2")
    tick(core, NOW)
    core.state.drop_target("llm-1")
    at = NOW
    while at - NOW < _LONG:
        at += 5 * SECOND
        echoed = core.stream_versions.records_to_announce(at)
        core.stream_versions.merge(echoed, at)
        tick(core, at)
    assert not core.stream_versions.is_mixed("llm")
    assert not core.stream_versions.records_to_announce(at)


def test_a_version_is_not_forgotten_while_its_stream_is_under_way():
    """Guards against a stream that goes on elsewhere as its version is forgotten."""
    core, other = make_gateway(), make_gateway()
    for host in (core, other):
        list_engines(host, "v1", "v2")
        tick(host, NOW)
    _time_out_after(core, 3 * _LONG)
    command = begin(core, NOW, request_id="a0", deadline=NOW + 3 * _LONG)
    core.forwarding.first_byte("a0", now=NOW)
    core.forwarding.stream_begun("a0", now=NOW)
    for host in (core, other):
        host.state.drop_target(command.target)
    at = NOW
    while at - NOW < 2 * _LONG:
        at += SECOND
        for host, peer in ((core, other), (other, core)):
            tick(host, at)
            peer.stream_versions.merge(host.stream_versions.records_to_announce(at), at)
    core.forwarding.close("a0", now=at)
    for host in (core, other):
        again = take_up(host, None, at=at, request_id="b0")
        assert isinstance(again, commands.Refuse)
        assert again.code is commands.Code.ORIGIN_UNKNOWN
    while at - NOW < 4 * _LONG:
        at += SECOND
        tick(core, at)
    assert not core.stream_versions.is_mixed("llm")


def _time_out_after(core, timeout):
    """Have each route allow so much time."""
    made = gateways.make_configuration(version=2)
    changed = tuple(
        dataclasses.replace(route, timeout=timeout) for route in made.routes
    )
    core.step(
        NOW, [gateway.ConfigurationRead(dataclasses.replace(made, routes=changed))]
    )


def test_memory_of_origins_is_bounded_by_time_and_count(core, monkeypatch):
    """Guards against a flood of attempts that fills memory or pushes others out."""
    monkeypatch.setattr(streamorigins, "_MOST_KEPT", 10)
    origin = streamorigins.Origin("llm", "v1")
    keys = [streamorigins.key_of("acme", f"r{number}") for number in range(30)]
    for key in keys:
        core.step(NOW, [streamorigins.OriginTold(key, origin)])
    assert [core.origins.known(key, NOW) for key in keys[:10]] == [origin] * 10
    assert core.origins.known(keys[-1], NOW) is None
    assert core.origins.known(keys[0], NOW + _LONG) is None
    tick(core, NOW + _LONG)
    core.step(NOW + _LONG, [streamorigins.OriginTold(keys[-1], origin)])
    assert core.origins.known(keys[-1], NOW + _LONG) == origin


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["v1", "v2", "v3"]),
            st.integers(0, 30),
            st.booleans(),
        ),
        min_size=1,
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_no_schedule_of_versions_sends_a_stream_to_another_one(schedule, chance):
    """Guards against any order of changes, streams and returns that mixes two."""
    core = make_gateway(slack=1000.0, seed=chance.randrange(1000))
    core.stream_versions.merge((), NOW)
    at, began_by_request = NOW, {}
    for number, (software, milliseconds, returns) in enumerate(schedule):
        at += datetime.timedelta(milliseconds=100 * milliseconds)
        engines = [make_engine(f"llm-{number}", software, revision=number + 1)]
        core.step(at, [targetlist.TargetChanged(engines[0]), events.Tick()])
        request_id = f"r{number}"
        command = begin(core, at, request_id=request_id)
        if isinstance(command, sends.Forward):
            core.forwarding.stream_begun(request_id, now=at)
            began_by_request[request_id] = software_of(core, command)
            core.forwarding.close(request_id, now=at)
        if not returns or not began_by_request:
            continue
        resumed = chance.choice(sorted(began_by_request))
        origin = core.origins.known(streamorigins.key_of("acme", resumed), at)
        again = take_up(
            core, origin, at, resumes=resumed, request_id=f"{request_id}.again"
        )
        if isinstance(again, sends.Forward):
            assert software_of(core, again) == began_by_request[resumed]
        core.forwarding.close(f"{request_id}.again", now=at)


@pytest.fixture
def replaced():
    """Return a host before which a version of one second replaces the other."""
    made = make_gateway()
    list_engines(made, "v1", "v1")
    for seconds in range(4):
        tick(made, NOW + seconds * SECOND)
    list_engines(made, "v1", "v1", "v2", "v2", at=NOW + 4 * SECOND, revision=2)
    return made


def replace(core, at):
    """Have one engine of the older version say that it leaves, and the other go."""
    leaving = make_engine("llm-1", "v1", revision=3, leaving=True)
    removed = targetlist.TargetRemoved("llm-2")
    core.step(at, [targetlist.TargetChanged(leaving), removed])


def begun_at(core, at):
    return {software_of(core, begin(core, at, request_id=f"r{n}")) for n in range(20)}


def test_a_version_that_is_no_longer_listed_begins_no_streams(replaced):
    """Guards against streams that begin where they can neither end nor go on."""
    at = NOW + 5 * SECOND
    replace(replaced, at)
    assert begun_at(replaced, at) == {"v2"}


def test_a_stream_goes_on_at_a_target_that_is_no_longer_listed(replaced):
    """Guards against streams that are refused while a target of theirs still serves."""
    at = NOW + 5 * SECOND
    replace(replaced, at)
    command = take_up(replaced, streamorigins.Origin("llm", "v1"), at=at)
    assert command.target == "llm-2"


@pytest.mark.parametrize("is_back_first", [True, False])
def test_a_version_that_may_be_listed_again_begins_streams(replaced, is_back_first):
    """Guards against streams of a new version when a platform just back lists few."""
    at = NOW + 5 * SECOND
    if is_back_first:
        replaced.step(at, [targetlist.PlatformAvailable(at)])
    replace(replaced, at)
    if not is_back_first:
        replaced.step(at, [targetlist.PlatformAvailable(at)])
    assert begun_at(replaced, at) == {"v1"}
