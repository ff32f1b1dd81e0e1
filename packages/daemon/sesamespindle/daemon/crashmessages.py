"""Conversion of `gossip.CrashNews` to protobuf and back.

Clocks of hosts aren't compared: messages carry ages, in seconds at the time of sending.
"""

import datetime

from sesamespindle.daemon import messageentries
from sesamespindle.decide import gossip, incarnations, revisions
from sesamespindle.wire import peers_pb2


def to_wire(news, now):
    """Return the crash fields of a protobuf gossip message, by field name.

    Parameters
    ----------
    news : gossip.CrashNews
        Target crashes, and requests that are cleared or quarantined.
    now : datetime.datetime
        The time of sending, which ages count back from.

    Returns
    -------
    fields : dict of str to list
    """
    convert_each = messageentries.convert_each
    return {
        "crashes": convert_each(_crash_to_wire, news.crashes, now),
        "cleared": convert_each(_cleared_to_wire, news.cleared, now),
        "quarantined": convert_each(_quarantined_to_wire, news.quarantined, now),
    }


def from_wire(message, sent_at):
    """Return the crash records of a protobuf gossip message.

    Parameters
    ----------
    message : peers_pb2.GossipMessage
        The message.
    sent_at : datetime.datetime
        When it was sent, by this host's clock; ages count back from here.

    Returns
    -------
    news : gossip.CrashNews
    """
    convert_each = messageentries.convert_each
    return gossip.CrashNews(
        tuple(convert_each(_crash_from_wire, message.crashes, sent_at)),
        tuple(convert_each(_cleared_from_wire, message.cleared, sent_at)),
        tuple(convert_each(_quarantined_from_wire, message.quarantined, sent_at)),
    )


def _crash_to_wire(crash, now):
    return peers_pb2.TargetCrash(
        target=crash.incarnation.name,
        born=crash.incarnation.born,
        service=crash.service,
        seconds_ago=_age_seconds(crash.at, now),
        suspects=[bytes.fromhex(item) for item in crash.suspects],
        is_refuted=crash.is_refuted,
    )


def _crash_from_wire(message, sent_at):
    return gossip.TargetCrash(
        incarnations.TargetIncarnation(message.target, message.born),
        message.service,
        _time_of(sent_at, message),
        tuple(item.hex() for item in message.suspects),
        message.is_refuted,
    )


def _cleared_to_wire(item, now):
    return peers_pb2.ClearedRequest(
        fingerprint=bytes.fromhex(item.fingerprint),
        seconds_ago=_age_seconds(item.at, now),
    )


def _cleared_from_wire(message, sent_at):
    return gossip.ClearedRequest(message.fingerprint.hex(), _time_of(sent_at, message))


def _quarantined_to_wire(item, now):
    return peers_pb2.QuarantinedRequest(
        fingerprint=bytes.fromhex(item.fingerprint),
        seconds_ago=_age_seconds(item.decided_at, now),
        crashes=item.crashes,
        tries=item.tries,
        revision=item.revision.number,
        era=item.revision.era,
    )


def _quarantined_from_wire(message, sent_at):
    return gossip.QuarantinedRequest(
        message.fingerprint.hex(),
        _time_of(sent_at, message),
        message.crashes,
        message.tries,
        revisions.Revision(message.era, message.revision),
    )


def _age_seconds(at, now):
    return (now - at).total_seconds()


def _time_of(sent_at, message):
    return sent_at - datetime.timedelta(seconds=message.seconds_ago)
