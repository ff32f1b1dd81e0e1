"""Conversion of the decision logic's peer messages to protobuf and back.

Clocks of hosts aren't compared. Messages carry ages, in seconds at the time of sending,
and the receiver converts them to times of its own clock.
"""

import dataclasses
import datetime
import math

from sesamespindle.daemon import crashmessages
from sesamespindle.decide import (
    announcements,
    events,
    freshness,
    gossip,
    incarnations,
    kvstores,
    revisions,
)
from sesamespindle.wire import peers_pb2


@dataclasses.dataclass(frozen=True, slots=True)
class KnownState:
    """What a daemon already has, so that a peer sends only the rest.

    Attributes
    ----------
    revision : int
        The active revision of the declarations.
    digests : list of str
        What it has, in the form that the peer's `make_update` expects: the digests of
        its documents for `watchers.DeclarationsWatcher`.
    """

    revision: int
    digests: list


@dataclasses.dataclass(frozen=True, slots=True)
class StateUpdate:
    """What a daemon sends to a peer that fetches declarations from it.

    Attributes
    ----------
    revision : int
        The active revision of the declarations.
    head : bytes
        JSON in the form that the peer's `adopt_update` expects: for
        `watchers.DeclarationsWatcher` the head, which lists the documents of the
        revision.
    documents : dict of str to bytes
        The documents that the peer doesn't have, as JSON by digest.
    """

    revision: int
    head: bytes
    documents: dict


def gossip_to_wire(message, stamp, now):
    """Return the protobuf form of a gossip message.

    Parameters
    ----------
    message : gossip.GossipMessage
        The message.
    stamp : int
        The sender's hybrid logical clock; see `eventlog.HybridClock`.
    now : datetime.datetime
        The time of sending, which ages count back from.

    Returns
    -------
    message : peers_pb2.GossipMessage
    """
    return peers_pb2.GossipMessage(
        sender=message.sender,
        data_centre=message.data_centre,
        digests=[
            peers_pb2.MemberDigest(
                name=item.name, incarnation=item.incarnation, heartbeat=item.heartbeat
            )
            for item in message.digests
        ],
        data_centres=[
            peers_pb2.DataCentreDigest(
                name=item.name, digest=item.digest, pulse=item.pulse
            )
            for item in message.data_centres
        ],
        members=[_member_to_wire(item) for item in message.members],
        wanted=message.wanted,
        leaving_targets=[
            peers_pb2.LeavingTarget(
                name=item.incarnation.name, url=item.url, born=item.incarnation.born
            )
            for item in message.leaving_targets
        ],
        revision=message.revision,
        clock=stamp,
        seen={item.kind: item.revision for item in message.seen},
        target_versions=[
            peers_pb2.TargetVersion(
                target=item.incarnation.name,
                model=item.model,
                version=item.version,
                born=item.incarnation.born,
                revision=item.revision.number,
                era=item.revision.era,
            )
            for item in message.target_versions
        ],
        lease_release=_lease_release_to_wire(message.lease_release, now),
        pending=[
            peers_pb2.PendingWork(
                target=item.incarnation.name,
                tokens=item.tokens,
                held_tokens=item.held_tokens,
                born=item.incarnation.born,
            )
            for item in message.pending
        ],
        brief=message.brief,
        named=[_naming_to_wire(item, now) for item in message.named],
        store_words=[_store_word_to_wire(item, now) for item in message.store_words],
        store_news=[_store_news_to_wire(item) for item in message.store_news],
        target_limits=[_limit_to_wire(item, now) for item in message.target_limits],
        brittle=[_brittle_to_wire(item, now) for item in message.brittle],
        software_seen=[_software_to_wire(item, now) for item in message.software_seen],
        known=[_known_to_wire(item, now) for item in message.known],
        store_era=message.store_era,
        **crashmessages.to_wire(message.crash_news, now),
    )


def gossip_from_wire(message, now, sent_after=None):
    """Return the gossip message of a protobuf message.

    Parameters
    ----------
    message : peers_pb2.GossipMessage
        The protobuf message.
    now : datetime.datetime
        When the message is processed. The age of a lease release counts back from
        here: it is safe if the holder's last action seems later than it was.
    sent_after : datetime.datetime, optional
        For an answer, when its gossip round started; the answer was sent after that.
        All other ages count back from here if it is given, otherwise from `now`.
        If this process is paused, `now` can be much later than the sending, and
        version announcements would seem later than they were.

    Returns
    -------
    message : gossip.GossipMessage
    """
    return gossip.GossipMessage(
        message.sender,
        message.data_centre,
        tuple(
            gossip.MemberDigest(item.name, item.incarnation, item.heartbeat)
            for item in message.digests
        ),
        tuple(
            gossip.DataCentreDigest(item.name, item.digest, item.pulse)
            for item in message.data_centres
        ),
        tuple(_member_from_wire(item) for item in message.members),
        tuple(message.wanted),
        tuple(
            gossip.LeavingTarget(
                incarnations.TargetIncarnation(item.name, item.born), item.url
            )
            for item in message.leaving_targets
        ),
        message.revision,
        tuple(gossip.SeenRevision(*item) for item in message.seen.items()),
        tuple(
            gossip.TargetVersion(
                incarnations.TargetIncarnation(item.target, item.born),
                item.model,
                item.version,
                revisions.Revision(item.era, item.revision),
            )
            for item in message.target_versions
        ),
        _lease_release_from_wire(message, now),
        tuple(
            gossip.PendingWork(
                incarnations.TargetIncarnation(item.target, item.born),
                item.tokens,
                item.held_tokens,
            )
            for item in message.pending
        ),
        message.brief,
        tuple(_naming_from_wire(item, sent_after or now) for item in message.named),
        tuple(
            _store_word_from_wire(item, sent_after or now)
            for item in message.store_words
        ),
        tuple(_store_news_from_wire(item) for item in message.store_news),
        crashmessages.from_wire(message, sent_after or now),
        tuple(
            _limit_from_wire(item, sent_after or now) for item in message.target_limits
        ),
        tuple(_known_from_wire(item, sent_after) for item in message.known),
        message.store_era,
        tuple(_brittle_from_wire(item, sent_after or now) for item in message.brittle),
        tuple(
            _software_from_wire(item, sent_after or now)
            for item in message.software_seen
        ),
    )


def _known_to_wire(known, now):
    """Return what is known of a kind of object, with the age of its proof."""
    seconds_ago = None
    if known.proved_at is not None:
        seconds_ago = (now - known.proved_at).total_seconds()
    return peers_pb2.KnownKind(
        kind=known.kind,
        revision=known.revision.number,
        era=known.revision.era,
        version=known.version,
        digest=known.digest,
        seconds_ago=seconds_ago,
    )


def _known_from_wire(message, sent_after):
    """Return what a peer knows of a kind; its proof only if it is from an answer.

    A request may have waited in a socket while this process was paused, so nobody knows
    when it was sent, and its proof may be older than it seems.
    """
    proved_at = None
    if sent_after is not None and message.HasField("seconds_ago"):
        proved_at = sent_after - datetime.timedelta(seconds=message.seconds_ago)
    revision = revisions.Revision(message.era, message.revision)
    return freshness.KnownKind(
        message.kind, revision, message.digest, proved_at, message.version
    )


def _lease_release_to_wire(release, now):
    """Return the release with the age of the holder's last action; None for None."""
    if release is None:
        return None
    quiet_seconds = (now - release.last_act_at).total_seconds()
    return peers_pb2.LeaseRelease(epoch=release.epoch, quiet_seconds=quiet_seconds)


def _lease_release_from_wire(message, now):
    if not message.HasField("lease_release"):
        return None
    quiet_for = datetime.timedelta(seconds=message.lease_release.quiet_seconds)
    return gossip.LeaseRelease(message.lease_release.epoch, now - quiet_for)


def _naming_to_wire(naming, now):
    """Return the announcement of a weight version, with its age."""
    return peers_pb2.Naming(
        model=naming.model,
        version=naming.version,
        replaces=naming.replaces,
        seconds_ago=(now - naming.at).total_seconds(),
        is_sure=naming.is_sure,
    )


def _naming_from_wire(message, sent_at):
    return announcements.Naming(
        message.model,
        message.version,
        message.replaces,
        sent_at - datetime.timedelta(seconds=message.seconds_ago),
        message.is_sure,
    )


def _store_word_to_wire(store_word, now):
    """Return the known position of a KV store, with the age of its last check.

    The engines' clock, if known, is sent as its reading in milliseconds at `now`.
    """
    clock_ms = None
    if store_word.clock_lead is not None:
        clock_ms = now.timestamp() * 1000.0 + store_word.clock_lead
    return peers_pb2.StoreWord(
        store=store_word.store,
        boot=store_word.boot,
        position=store_word.position,
        seconds_ago=(now - store_word.checked_at).total_seconds(),
        is_silent=store_word.is_silent,
        clock_ms=clock_ms,
    )


def _store_word_from_wire(message, sent_at):
    clock_lead = None
    if message.HasField("clock_ms"):
        clock_lead = message.clock_ms - sent_at.timestamp() * 1000.0
    return gossip.StoreWord(
        message.store,
        message.boot,
        message.position,
        sent_at - datetime.timedelta(seconds=message.seconds_ago),
        message.is_silent,
        clock_lead,
    )


def _store_news_to_wire(news):
    return peers_pb2.StoreNews(
        store=news.store,
        boot=news.boot,
        since=news.since,
        position=news.position,
        whole_list=news.whole_list,
        salts=[part.salt for part in news.parts],
        part_ids=[part.part_id for part in news.parts],
        tokens=[part.tokens for part in news.parts],
    )


def _store_news_from_wire(message):
    rows = zip(message.salts, message.part_ids, message.tokens, strict=True)
    return gossip.StoreNews(
        message.store,
        message.boot,
        message.since,
        message.position,
        message.whole_list,
        tuple(kvstores.PartEvent(*row) for row in rows),
    )


def _software_to_wire(item, now):
    """Return a software version of a service, with the time since it was seen."""
    return peers_pb2.SoftwareSeen(
        service=item.service,
        software=item.software,
        seconds_ago=(now - item.seen_at).total_seconds(),
    )


def _software_from_wire(message, sent_at):
    seen_at = sent_at - datetime.timedelta(seconds=message.seconds_ago)
    return gossip.SoftwareSeen(message.service, message.software, seen_at)


def _brittle_to_wire(item, now):
    """Return how brittle a service is, with the time since a target reported it."""
    return peers_pb2.BrittleService(
        service=item.service,
        rejections=item.rejections if math.isfinite(item.rejections) else None,
        seconds_ago=(now - item.told_at).total_seconds(),
    )


def _brittle_from_wire(message, sent_at):
    told_at = sent_at - datetime.timedelta(seconds=message.seconds_ago)
    rejections = message.rejections if message.HasField("rejections") else math.inf
    return gossip.BrittleService(message.service, rejections, told_at)


def _limit_to_wire(item, now):
    """Return a target's limit, with the time since the target told it."""
    return peers_pb2.TargetLimit(
        target=item.incarnation.name,
        born=item.incarnation.born,
        per_second=item.limit if math.isfinite(item.limit) else None,
        seconds_ago=(now - item.told_at).total_seconds(),
    )


def _limit_from_wire(message, sent_at):
    return gossip.TargetLimit(
        incarnations.TargetIncarnation(message.target, message.born),
        message.per_second if message.HasField("per_second") else math.inf,
        sent_at - datetime.timedelta(seconds=message.seconds_ago),
    )


def asks_to_wire(asks):
    """Return the protobuf forms of `events.SliceAsk` records, as a list."""
    return [
        peers_pb2.SliceAsk(
            account=ask.account,
            resource=ask.resource,
            in_use=ask.in_use,
            wanted=ask.wanted,
            held=ask.held,
            grant=ask.grant,
        )
        for ask in asks
    ]


def asks_from_wire(asks):
    """Return the `events.SliceAsk` records of protobuf messages, as a tuple."""
    return tuple(
        events.SliceAsk(
            ask.account,
            events.Resource(ask.resource),
            ask.in_use,
            ask.wanted,
            ask.held,
            ask.grant,
        )
        for ask in asks
    )


def grants_to_wire(grants):
    """Return the protobuf forms of `events.SliceGrant` records, as a list."""
    return [
        peers_pb2.SliceGrant(
            account=grant.account,
            resource=grant.resource,
            slots=grant.slots,
            grant=grant.grant,
        )
        for grant in grants
    ]


def grants_from_wire(grants):
    """Return the `events.SliceGrant` records of protobuf messages, as a tuple."""
    return tuple(
        events.SliceGrant(
            grant.account, events.Resource(grant.resource), grant.slots, grant.grant
        )
        for grant in grants
    )


def _member_to_wire(item):
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


def _member_from_wire(item):
    return gossip.Member(
        item.name,
        item.data_centre,
        item.url,
        item.peer_address,
        item.admin_url,
        item.incarnation,
        item.heartbeat,
        events.HostState(item.state),
        item.revision,
        tuple(item.unreached),
        item.capacity,
    )
