"""Conversion of the decision logic's peer messages to protobuf and back.

Clocks of hosts aren't compared. Messages carry ages, in seconds at the time of sending,
and the receiver converts them to times of its own clock.
"""

import dataclasses
import datetime
import functools
import math

from sesamespindle.daemon import crashmessages, membermessages, messageentries
from sesamespindle.decide import (
    announcements,
    events,
    freshness,
    gossip,
    incarnations,
    revisions,
    storerows,
)
from sesamespindle.wire import peers_pb2

_NO_CRASHES = gossip.CrashNews()


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
    fields = {
        name: to_wire(items, now)
        for name, (to_wire, _) in _CODECS.items()
        if (items := getattr(message, name))
    }
    convert_each = messageentries.convert_each
    fields["known"] = convert_each(_known_to_wire, message.known, now)
    if message.lease_release is not None:
        released = [message.lease_release]
        for item in convert_each(_lease_release_to_wire, released, now):
            fields["lease_release"] = item
    if message.crash_news != _NO_CRASHES:
        fields |= crashmessages.to_wire(message.crash_news, now)
    return peers_pb2.GossipMessage(
        sender=message.sender,
        data_centre=message.data_centre,
        wanted=message.wanted,
        revision=message.revision,
        clock=stamp,
        seen={item.kind: item.revision for item in message.seen},
        brief=message.brief,
        store_era=message.store_era,
        adopts_heartbeats=message.adopts_heartbeats,
        **fields,
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
    sent_at = sent_after or now
    fields = {
        name: tuple(from_wire(items, sent_at))
        for name, (_, from_wire) in _CODECS.items()
        if (items := getattr(message, name))
    }
    if message.known:
        fields["known"] = tuple(
            messageentries.convert_each(_known_from_wire, message.known, sent_after)
        )
    if message.HasField("lease_release"):
        released = [message.lease_release]
        for item in messageentries.convert_each(
            _lease_release_from_wire, released, now
        ):
            fields["lease_release"] = item
    if message.crashes or message.cleared or message.quarantined:
        fields["crash_news"] = crashmessages.from_wire(message, sent_at)
    return gossip.GossipMessage(
        sender=message.sender,
        data_centre=message.data_centre,
        wanted=tuple(message.wanted),
        revision=message.revision,
        seen=tuple(gossip.SeenRevision(*item) for item in message.seen.items()),
        brief=message.brief,
        store_era=message.store_era,
        adopts_heartbeats=message.adopts_heartbeats,
        **fields,
    )


def _each(convert):
    """Return a function that converts a list of items, each with one time."""
    return functools.partial(messageentries.convert_each, convert)


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
    """Return the release with the age of the holder's last action."""
    quiet_seconds = (now - release.last_act_at).total_seconds()
    return peers_pb2.LeaseRelease(epoch=release.epoch, quiet_seconds=quiet_seconds)


def _lease_release_from_wire(message, now):
    quiet_for = datetime.timedelta(seconds=message.quiet_seconds)
    return gossip.LeaseRelease(message.epoch, now - quiet_for)


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
        answered_ms=store_word.answered_ms,
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
        _answered_ms(message),
    )


def _answered_ms(message):
    """Return when a store answered by the engines' clock, None if that isn't known."""
    if not message.HasField("answered_ms") or not math.isfinite(message.answered_ms):
        return None
    return message.answered_ms


def _store_news_to_wire(news, now):
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


def _store_news_from_wire(message, sent_at):
    rows = zip(message.salts, message.part_ids, message.tokens, strict=True)
    return gossip.StoreNews(
        message.store,
        message.boot,
        message.since,
        message.position,
        message.whole_list,
        tuple(storerows.PartEvent(*row) for row in rows),
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


# For each field with a list of records: how to convert a list to the wire, given the
# time of sending, and back, given that time by this host's clock.
_CODECS = {
    "digests": (
        _each(membermessages.digest_to_wire),
        _each(membermessages.digest_from_wire),
    ),
    "data_centres": (
        _each(membermessages.data_centre_to_wire),
        _each(membermessages.data_centre_from_wire),
    ),
    "members": (
        _each(membermessages.member_to_wire),
        _each(membermessages.member_from_wire),
    ),
    "leaving_targets": (
        _each(membermessages.leaving_to_wire),
        _each(membermessages.leaving_from_wire),
    ),
    "target_versions": (
        _each(membermessages.version_to_wire),
        _each(membermessages.version_from_wire),
    ),
    "pending": (
        _each(membermessages.pending_to_wire),
        _each(membermessages.pending_from_wire),
    ),
    "named": (_each(_naming_to_wire), _each(_naming_from_wire)),
    "store_words": (_each(_store_word_to_wire), _each(_store_word_from_wire)),
    "store_news": (_each(_store_news_to_wire), _each(_store_news_from_wire)),
    "target_limits": (_each(_limit_to_wire), _each(_limit_from_wire)),
    "brittle": (_each(_brittle_to_wire), _each(_brittle_from_wire)),
    "software_seen": (_each(_software_to_wire), _each(_software_from_wire)),
}
