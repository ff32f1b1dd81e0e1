"""What hosts tell each other of the platform's objects, on the wire."""

import datetime

import places
import pytest

from sesamespindle.daemon import peermessages
from sesamespindle.decide import events, freshness, gossip
from sesamespindle.wire import peers_pb2

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


def sent(known):
    message = gossip.GossipMessage("entry-1", "dc-1", known=(known,))
    return peermessages.gossip_to_wire(message, 1, NOW)


def test_a_proof_in_an_answer_counts_back_from_the_start_of_the_exchange():
    wire = sent(freshness.KnownKind("config", places.at(7, 2), 5, NOW - SECOND))
    later = NOW + 9 * SECOND
    [known] = peermessages.gossip_from_wire(wire, later, NOW - SECOND / 2).known
    assert known == freshness.KnownKind(
        "config", places.at(7, 2), 5, NOW - 1.5 * SECOND
    )


def test_a_proof_in_a_request_does_not_count():
    """Guards against knowledge that seems fresh, as a request waited in a socket."""
    wire = sent(freshness.KnownKind("config", places.at(7, 2), 5, NOW))
    [known] = peermessages.gossip_from_wire(wire, NOW + 9 * SECOND).known
    assert known == freshness.KnownKind("config", places.at(7, 2), 5, None)


def test_knowledge_without_a_proof_is_told_without_a_time():
    wire = sent(freshness.KnownKind("config", places.at(7, 2), 5, None))
    [known] = peermessages.gossip_from_wire(wire, NOW, NOW).known
    assert known.proved_at is None


def test_a_datagram_with_encoded_message_is_read_by_earlier_releases():
    wire = sent(freshness.KnownKind("config", places.at(7, 2), 5, NOW))
    raw = wire.SerializeToString()
    frame = peers_pb2.GossipFrame(round=3, is_answer=True, message=raw)
    whole = peers_pb2.GossipDatagram(round=3, is_answer=True, message=wire)
    assert peers_pb2.GossipDatagram.FromString(frame.SerializeToString()) == whole


@pytest.mark.parametrize("capacity", [0, 250])
def test_a_member_tells_what_it_can_carry(capacity):
    live = events.HostState.LIVE
    member = gossip.Member(
        "entry-1", "dc-1", "u", "p", "", 1, 2, live, 3, capacity=capacity
    )
    message = gossip.GossipMessage("entry-1", "dc-1", members=(member,))
    wire = peermessages.gossip_to_wire(message, 1, NOW)
    [read] = peermessages.gossip_from_wire(wire, NOW).members
    assert read == member
