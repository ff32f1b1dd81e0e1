"""One entry of a message between hosts can't end the message, a task or a host."""

import dataclasses
import datetime
import math

import gateways
import places
import pytest
from google.protobuf import descriptor

from sesamespindle.daemon import driver, eventlog, peermessages
from sesamespindle.decide import (
    announcements,
    commands,
    events,
    freshness,
    gossip,
    incarnations,
    storerows,
)
from sesamespindle.wire import peers_pb2

NOW = gateways.NOW
INCARNATION = incarnations.TargetIncarnation("llm-1", 5)
FINGERPRINT = "ab" * 16
# What may come from a caller, a target, a store or a host of another release.
BAD_VALUES = (
    -1,
    2**63,
    2**64,
    10**400,
    "\udcff",
    "",
    "\0",
    None,
    math.nan,
    math.inf,
    datetime.datetime.min.replace(tzinfo=datetime.UTC),
    datetime.datetime.max.replace(tzinfo=datetime.UTC),
)
LIVE = events.HostState.LIVE
MESSAGE = gossip.GossipMessage(
    "entry-2",
    "dc-1",
    digests=(gossip.MemberDigest("entry-2", 1, 2, 3),),
    data_centres=(gossip.DataCentreDigest("dc-1", 4, 5),),
    members=(gossip.Member("entry-2", "dc-1", "u:1", "p:1", "", 1, 2, LIVE, 3),),
    leaving_targets=(gossip.LeavingTarget(INCARNATION, "u:1"),),
    target_versions=(gossip.TargetVersion(INCARNATION, "m", 1, places.at(2)),),
    pending=(gossip.PendingWork(INCARNATION, 10, 20),),
    named=(announcements.Naming("m", 1, 0, NOW, True),),
    store_words=(gossip.StoreWord("store", 1, 2, NOW, False, 3.0),),
    store_news=(
        gossip.StoreNews("store", 1, 2, 3, False, (storerows.PartEvent("s", "p", 5),)),
    ),
    target_limits=(gossip.TargetLimit(INCARNATION, 1.5, NOW),),
    known=(freshness.KnownKind("config", places.at(7), 5, NOW),),
    brittle=(gossip.BrittleService("desk", 2.0, NOW),),
    software_seen=(gossip.SoftwareSeen("llm", "v1", NOW),),
    crash_news=gossip.CrashNews(
        (gossip.TargetCrash(INCARNATION, "llm", NOW, (FINGERPRINT,)),),
        (gossip.ClearedRequest(FINGERPRINT, NOW),),
        (gossip.QuarantinedRequest(FINGERPRINT, NOW, 2),),
    ),
)
LISTS = [
    field.name
    for field in dataclasses.fields(gossip.GossipMessage)
    if field.name != "wanted"
    and isinstance(getattr(MESSAGE, field.name), tuple)
    and getattr(MESSAGE, field.name)
]
NEWS = [field.name for field in dataclasses.fields(gossip.CrashNews)]


def spoiled(item):
    """Yield copies of an entry, each with a bad value in one of its fields."""
    for field in dataclasses.fields(item):
        value = getattr(item, field.name)
        if dataclasses.is_dataclass(value):
            for inner in spoiled(value):
                yield dataclasses.replace(item, **{field.name: inner})
            continue
        for bad in BAD_VALUES:
            yield dataclasses.replace(item, **{field.name: bad})
            if isinstance(value, tuple):
                yield dataclasses.replace(item, **{field.name: (bad,)})


def carried(message):
    """Return a message as the peer gets it that it is sent to."""
    raw = peermessages.gossip_to_wire(message, 1, NOW).SerializeToString()
    wire = peers_pb2.GossipMessage.FromString(raw)
    return peermessages.gossip_from_wire(wire, NOW, NOW)


@pytest.mark.parametrize("name", LISTS)
def test_an_entry_that_fits_no_message_is_left_out(name):
    """Guards against a host that ends as it tells its peers what a target wrote."""
    good = getattr(MESSAGE, name)
    for bad in spoiled(good[0]):
        message = dataclasses.replace(MESSAGE, **{name: (bad, *good)})
        received = carried(message)
        assert getattr(received, name)[-1:] == good
        assert received.sender == "entry-2"


@pytest.mark.parametrize("name", NEWS)
def test_news_of_crashes_that_fit_no_message_are_left_out(name):
    """Guards against a host that ends as it tells its peers of a crash."""
    good = getattr(MESSAGE.crash_news, name)
    for bad in spoiled(good[0]):
        news = dataclasses.replace(MESSAGE.crash_news, **{name: (bad, *good)})
        received = carried(dataclasses.replace(MESSAGE, crash_news=news))
        assert getattr(received.crash_news, name)[-1:] == good


def spoiled_on_the_wire():
    """Yield protobuf messages, each with an extreme value in one of its fields."""
    for name, nested in peers_pb2.GossipMessage.DESCRIPTOR.fields_by_name.items():
        if nested.message_type is None or nested.message_type.GetOptions().map_entry:
            continue
        for field in nested.message_type.fields:
            for value in _extremes(field):
                wire = peermessages.gossip_to_wire(MESSAGE, 1, NOW)
                place = getattr(wire, name)
                entry = place[0] if nested.is_repeated else place
                if field.is_repeated:
                    getattr(entry, field.name).append(value)
                else:
                    setattr(entry, field.name, value)
                yield wire


def _extremes(field):
    kinds = descriptor.FieldDescriptor
    match field.cpp_type:
        case kinds.CPPTYPE_UINT64:
            return (0, 2**63, 2**64 - 1)
        case kinds.CPPTYPE_UINT32:
            return (0, 2**32 - 1)
        case kinds.CPPTYPE_DOUBLE | kinds.CPPTYPE_FLOAT:
            return (-1.0, math.nan, math.inf, -math.inf, 1e300)
        case kinds.CPPTYPE_STRING if field.type == kinds.TYPE_BYTES:
            return (b"", b"\xff" * 99)
        case kinds.CPPTYPE_STRING:
            return ("", "\0", "of a later release", "x" * 5000)
        case _:
            return (True,)


def host(name):
    return events.Host(name, "entry", "dc-1", f"{name}:80", "p:1", incarnation=1)


def test_a_peer_of_another_release_or_a_broken_one_ends_no_host():
    """Guards against a host that ends as it passes on what a peer has told it."""
    now = NOW
    core = gateways.make_gateway()
    core.step(now, [events.HostsListed((host("entry-2"),))])
    sent = 0
    for number, wire in enumerate(spoiled_on_the_wire()):
        now += datetime.timedelta(milliseconds=100)
        message = peermessages.gossip_from_wire(wire, now, now)
        received = core.step(now, [gossip.GossipReceived(str(number), message)])
        answered = core.step(
            now, [gossip.GossipAnswered("p:1", message), events.Tick()]
        )
        for command in (*received, *answered):
            if isinstance(command, commands.GossipTo | commands.GossipReply):
                peermessages.gossip_to_wire(command.message, 1, now).SerializeToString()
                sent += 1
    assert sent > 100


class Clock:
    """A clock that stands still."""

    def now(self):
        return NOW


def test_a_clock_is_not_set_far_ahead_by_a_peer():
    """Guards against a stamp that no message can hold, which all hosts adopt."""
    clock = eventlog.HybridClock(Clock())
    clock.merge(2**64 - 1)
    stamp = clock.stamp()
    peers_pb2.GossipMessage(clock=stamp)
    clock.merge(stamp + 5)
    assert clock.stamp() == stamp + 6


class Core:
    """A core that answers each event with two commands."""

    state = None

    def step(self, now, happened):
        return [Fails(), Works()]


class Fails:
    """A command whose handler fails."""


class Works:
    """A command whose handler works."""


def test_a_command_that_fails_leaves_the_others_to_be_carried_out():
    """Guards against a tick that ends, and the host with it, by one command."""
    clock, done = Clock(), []
    log = eventlog.EventLog("entry-1", eventlog.HybridClock(clock), 1)
    fed = driver.Driver(Core(), clock, log)

    def fail(command):
        raise ValueError("Value out of range.")

    fed.on(Fails, fail)
    fed.on(Works, done.append)
    fed.feed()
    assert len(done) == 1
    assert fed.failed_commands == 1
