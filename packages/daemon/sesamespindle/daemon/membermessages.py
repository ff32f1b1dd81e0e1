"""Conversion of what gossip tells of members and targets to protobuf and back.

None of it has a time, so the time of sending, which all conversions get, isn't used.
"""

from sesamespindle.daemon import messageentries
from sesamespindle.decide import events, gossip, incarnations, revisions
from sesamespindle.wire import peers_pb2


def digest_to_wire(item, now):
    """Return the protobuf form of a member's heartbeat."""
    return peers_pb2.MemberDigest(
        name=item.name,
        incarnation=item.incarnation,
        heartbeat=item.heartbeat,
        revision=item.revision,
    )


def digest_from_wire(item, sent_at):
    """Return a member's heartbeat of a protobuf message."""
    return gossip.MemberDigest(
        item.name,
        messageentries.bounded_counter(item.incarnation),
        messageentries.bounded_counter(item.heartbeat),
        item.revision,
    )


def data_centre_to_wire(item, now):
    """Return the protobuf form of the digest of a data centre."""
    return peers_pb2.DataCentreDigest(
        name=item.name, digest=item.digest, pulse=item.pulse
    )


def data_centre_from_wire(item, sent_at):
    """Return the digest of a data centre of a protobuf message."""
    pulse = messageentries.bounded_counter(item.pulse)
    return gossip.DataCentreDigest(item.name, item.digest, pulse)


def leaving_to_wire(item, now):
    """Return the protobuf form of a target that leaves."""
    return peers_pb2.LeavingTarget(
        name=item.incarnation.name, url=item.url, born=item.incarnation.born
    )


def leaving_from_wire(item, sent_at):
    """Return a target that leaves of a protobuf message."""
    incarnation = incarnations.TargetIncarnation(item.name, item.born)
    return gossip.LeavingTarget(incarnation, item.url)


def version_to_wire(item, now):
    """Return the protobuf form of a target's weight version."""
    return peers_pb2.TargetVersion(
        target=item.incarnation.name,
        model=item.model,
        version=item.version,
        born=item.incarnation.born,
        revision=item.revision.number,
        era=item.revision.era,
    )


def version_from_wire(item, sent_at):
    """Return a target's weight version of a protobuf message."""
    return gossip.TargetVersion(
        incarnations.TargetIncarnation(item.target, item.born),
        item.model,
        item.version,
        revisions.Revision(item.era, item.revision),
    )


def pending_to_wire(item, now):
    """Return the protobuf form of pending work at a target."""
    return peers_pb2.PendingWork(
        target=item.incarnation.name,
        tokens=item.tokens,
        held_tokens=item.held_tokens,
        born=item.incarnation.born,
    )


def pending_from_wire(item, sent_at):
    """Return pending work at a target of a protobuf message."""
    incarnation = incarnations.TargetIncarnation(item.target, item.born)
    return gossip.PendingWork(
        incarnation,
        messageentries.bounded_tokens(item.tokens),
        messageentries.bounded_tokens(item.held_tokens),
    )


def member_to_wire(item, now):
    """Return the protobuf form of the record of a member."""
    return peers_pb2.Member(
        name=item.name,
        data_centre=item.data_centre,
        url=item.url,
        peer_address=item.peer_address,
        admin_url=item.admin_url,
        incarnation=item.incarnation,
        heartbeat=item.heartbeat,
        state=item.state.value,
        revision=item.revision,
        unreached=item.unreached,
        capacity=item.capacity,
    )


def member_from_wire(item, sent_at):
    """Return the record of a member of a protobuf message."""
    return gossip.Member(
        item.name,
        item.data_centre,
        item.url,
        item.peer_address,
        item.admin_url,
        messageentries.bounded_counter(item.incarnation),
        messageentries.bounded_counter(item.heartbeat),
        events.HostState(item.state),
        item.revision,
        tuple(item.unreached),
        item.capacity,
    )
