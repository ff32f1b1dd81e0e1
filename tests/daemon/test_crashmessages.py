"""Crash records are the same after they are sent to another host."""

import datetime

import places

from sesamespindle.daemon import peermessages
from sesamespindle.decide import gossip, incarnations

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
FINGERPRINT = "0f" * 16
NEWS = gossip.CrashNews(
    (
        gossip.TargetCrash(
            incarnations.TargetIncarnation("llm-1", 7),
            "llm",
            NOW - 2 * SECOND,
            (FINGERPRINT,),
            True,
        ),
    ),
    (gossip.ClearedRequest(FINGERPRINT, NOW - SECOND),),
    (gossip.QuarantinedRequest(FINGERPRINT, NOW - 3 * SECOND, 4, 1, places.at(99, 2)),),
)


def test_crash_records_survive_a_round_trip():
    message = gossip.GossipMessage("entry-1", "dc-1", crash_news=NEWS)
    wire = peermessages.gossip_to_wire(message, 5, NOW)
    assert peermessages.gossip_from_wire(wire, NOW).crash_news == NEWS


def test_crash_times_are_sent_as_ages():
    """The clocks of two hosts differ by a minute, and with them the time of a crash.

    If times were sent as they are, the receiver would date the crash a minute wrong.
    """
    message = gossip.GossipMessage("entry-1", "dc-1", crash_news=NEWS)
    wire = peermessages.gossip_to_wire(message, 5, NOW)
    there = NOW - 60 * SECOND
    (crash,) = peermessages.gossip_from_wire(wire, there).crash_news.crashes
    assert there - crash.at == 2 * SECOND
