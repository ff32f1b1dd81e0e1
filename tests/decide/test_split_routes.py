"""Streams of routes that have several services, whose software versions may differ."""

import dataclasses

import gateways
import pytest
from gateways import NOW, SECOND

from sesamespindle.decide import (
    commands,
    events,
    gateway,
    routehistory,
    routes,
    sends,
    streamorigins,
    streamversions,
    targetlist,
)

_SOFTWARE_BY_SERVICE = {"llm": "v1", "new": "v2"}
_AT = NOW + 4 * SECOND


def _configure(core, version, *services):
    """Have a route of resumable streams sent to some services alike."""
    made = gateways.make_configuration()
    shares = tuple(routes.Share(service, 1.0) for service in services)
    changed = tuple(
        dataclasses.replace(route, shares=shares)
        if route.repeats is routes.Repeats.RESUMABLE
        else route
        for route in made.routes
    )
    service_by_name = made.service_by_name | {"new": made.service_by_name["llm"]}
    configuration = dataclasses.replace(
        made, version=version, routes=changed, service_by_name=service_by_name
    )
    core.step(NOW, [gateway.ConfigurationRead(configuration)])


def _list(core, *services, software=""):
    listed = tuple(
        dataclasses.replace(
            gateways.make_target(f"{service}-1", service, versions={"m": 1}),
            software=software or _SOFTWARE_BY_SERVICE[service],
        )
        for service in services
    )
    core.step(NOW, [targetlist.TargetsListed(listed)])


def _make_core(*services):
    """Return a host in touch, with targets of both services and peers."""
    core = gateways.make_gateway(slack=1000.0)
    _configure(core, 2, *services)
    _list(core, "llm", "new")
    for name in ("entry-2", "entry-3"):
        core.state.put_entry(gateways.make_entry(name))
    core.stream_versions.merge((), NOW)
    for seconds in range(4):
        core.step(NOW + seconds * SECOND, [events.Tick()])
    return core


@pytest.fixture
def core():
    return _make_core("llm", "new")


def _begin(core, request_id, **changed):
    fields = {"model": "m", "deadline": _AT + 20 * SECOND} | changed
    return gateways.begin(core, "/chat/1", _AT, request_id=request_id, **fields)


def _stream(core, request_id):
    """Have a stream begin and its caller leave; return its version."""
    command = _begin(core, request_id)
    core.forwarding.stream_begun(request_id, now=_AT)
    core.forwarding.close(request_id, now=_AT)
    return core.state.targets.get(command.target).software


def _told(core):
    return [
        command.origin.software
        for command in core.step(_AT, [events.Tick()])
        if isinstance(command, streamorigins.TellOrigin)
    ]


def _take_up(core, number, origin):
    return _begin(
        core, f"b{number}", resumes=f"a{number}", last_event_id="3", origin=origin
    )


def test_a_stream_goes_on_at_no_service_of_another_version(core):
    """Guards against a stream that goes on at another service, of another version."""
    for number in range(20):
        began = _stream(core, f"a{number}")
        unknown = _take_up(core, number, None)
        assert isinstance(unknown, commands.Refuse)
        assert unknown.code is commands.Code.ORIGIN_UNKNOWN
        origin = core.origins.known(streamorigins.key_of("acme", f"a{number}"), _AT)
        command = _take_up(core, number, origin)
        assert core.state.targets.get(command.target).software == began


def test_keepers_are_told_of_streams_of_services_that_differ_in_version(core):
    """Guards against streams that are refused as no peer knows where they began."""
    began = [_stream(core, f"a{number}") for number in range(10)]
    assert set(began) == {"v1", "v2"}
    assert _told(core) == began


def test_keepers_are_told_of_earlier_streams_as_a_route_is_split():
    """Guards against streams that are refused as their route gets a second service."""
    core = _make_core("llm")
    for number in range(5):
        _stream(core, f"a{number}")
    _begin(core, "under-way")
    core.forwarding.stream_begun("under-way", now=_AT)
    assert _told(core) == []
    _configure(core, 3, "llm", "new")
    assert _told(core) == ["v1"] * 6


def test_a_stream_drawn_to_a_service_without_targets_is_bound_to_the_version():
    """Guards against a stream that is sent late, to targets which came meanwhile."""
    core = gateways.make_gateway(slack=1000.0)
    _configure(core, 2, "llm", "new")
    _list(core, "llm")
    core.stream_versions.merge((), NOW)
    core.step(_AT, [events.Tick()])
    for number in range(20):
        _take_up(core, number, None)
    flights = core.forwarding.flight_by_request.values()
    assert {flight.service for flight in flights} == {"llm", "new"}
    assert {flight.software for flight in flights} == {"v1"}


@pytest.mark.parametrize("is_carried", [True, False])
def test_a_stream_is_drawn_to_a_service_that_has_its_version(core, is_carried):
    """Guards against a refusal as the service of a stream isn't told, or has gone."""
    fields = {"resumes": "a0", "last_event_id": "3"}
    if is_carried:
        incarnation = core.state.entries.get(core.state.me.name).incarnation
        passport = sends.Passport("entry-2", incarnation, 0)
        fields |= {"passport": passport, "software": "v1"}
    else:
        fields["origin"] = streamorigins.Origin("gone", "v1")
    sent = [_begin(core, f"b{number}", **fields) for number in range(20)]
    assert {command.target for command in sent} == {"llm-1"}


def test_services_of_one_version_tell_and_ask_nothing():
    """Guards against messages and refusals where all services have one version."""
    core = gateways.make_gateway(slack=1000.0)
    _configure(core, 2, "llm", "new")
    _list(core, "llm", "new", software="v1")
    core.stream_versions.merge((), NOW)
    core.step(_AT, [events.Tick()])
    _stream(core, "a0")
    assert _told(core) == []
    assert isinstance(_take_up(core, 0, None), sends.Forward)


@pytest.fixture
def moved_core():
    """Provide a host at which a stream began before its route got another service."""
    core = _make_core("llm")
    assert _stream(core, "a0") == "v1"
    _configure(core, 3, "new")
    return core


def test_a_stream_goes_on_at_no_service_that_its_route_was_moved_to(moved_core):
    """Guards against a stream that goes on at the next service, of another version."""
    unknown = _take_up(moved_core, 0, None)
    assert isinstance(unknown, commands.Refuse)
    assert unknown.code is commands.Code.ORIGIN_UNKNOWN
    origin = moved_core.origins.known(streamorigins.key_of("acme", "a0"), _AT)
    gone = _take_up(moved_core, 1, origin)
    assert isinstance(gone, commands.Refuse)
    assert gone.code is commands.Code.VERSION_GONE
    assert isinstance(_begin(moved_core, "c0"), sends.Forward)


def test_keepers_are_told_of_earlier_streams_as_a_route_is_moved(moved_core):
    """Guards against streams of a moved route that each host but one refuses."""
    assert _told(moved_core) == ["v1"]
    assert moved_core.origins.sole(("new", "llm")) is None


def test_services_that_a_route_had_long_ago_do_not_matter(moved_core):
    """Guards against streams that are asked for, or refused, for good after a move."""
    at = _AT + streamversions.SEEN_FOR + SECOND
    moved_core.step(at, [events.Tick()])
    route = moved_core.forwarding.configuration.routes[-1]
    assert moved_core.origins.services(route, _AT) == ("new", "llm")
    assert moved_core.origins.services(route, at) == ("new",)


@pytest.mark.parametrize("prefix", ["/chat/", "/chat/1/", "/"])
def test_a_route_that_takes_over_paths_has_the_services_of_the_one_before(prefix):
    """Guards against streams that go on elsewhere as part of their route is moved."""
    before = _make_route("/chat/", "llm")
    after = _make_route(prefix, "new")
    history = routehistory.RouteHistory()
    history.note_change(_routes(before), _routes(after), NOW)
    assert history.services(after, NOW) == ("new", "llm")
    third = _make_route("/chat/", "third")
    history.note_change(_routes(after), _routes(third), NOW + SECOND)
    assert set(history.services(third, NOW + SECOND)) == {"third", "new", "llm"}
    other = _make_route("/other/", "llm")
    history.note_change(_routes(third), _routes(other), NOW + 2 * SECOND)
    assert history.services(other, NOW + 2 * SECOND) == ("llm",)


def test_a_route_has_no_services_of_another_route_with_some_of_its_paths():
    """Guards against streams that are asked for, or refused, at each change."""
    whole, part = _make_route("/", "llm"), _make_route("/chat/", "new")
    history = routehistory.RouteHistory()
    history.note_change(_routes(whole, part), _routes(whole, part), NOW)
    assert history.services(whole, NOW) == ("llm",)
    assert history.services(part, NOW) == ("new",)


def _make_route(prefix, service):
    route = gateways.make_configuration().routes[-1]
    shares = (routes.Share(service, 1.0),)
    return dataclasses.replace(route, prefix=prefix, shares=shares)


def _routes(*made):
    return routes.Configuration(version=1, routes=made)
