"""Quarantine records while the platform's store has come back from an older copy."""

import gateways
import places
import pytest

from sesamespindle.decide import eras, events, gossip, quarantinerecords

NOW, SECOND = gateways.NOW, gateways.SECOND
BAD = "a" * 32


def make_core(others=()):
    """Return a gateway that has read a record in the store's first era."""
    core = gateways.make_gateway()
    peers = tuple(
        events.Host(name, "entry", "dc-1", f"{name}:80", f"{name}:81")
        for name in others
    )
    core.step(NOW, [eras.EraSeen(1), events.HostsListed(peers)])
    core.state.freshness.note_read("quarantine", places.at(60, 1), 1, NOW, "a listing")
    core.step(NOW, [quarantinerecords.QuarantineRead(record())])
    return core


def record(number=60, era=1, tries=0):
    return gossip.QuarantinedRequest(BAD, NOW, 3, tries, places.at(number, era))


def list_again(core, at, *records, number=40):
    core.step(at, [eras.EraSeen(2)])
    listed = quarantinerecords.QuarantinesListed(records, places.at(number, 2))
    return core.step(at, [listed])


def tick(core, at):
    return [
        command
        for command in core.step(at, [events.Tick()])
        if isinstance(command, quarantinerecords.WriteQuarantine)
    ]


def is_quarantined(core):
    return BAD in core.quarantine.records.record_by_fingerprint


def test_a_record_that_was_lost_stays_and_is_written_again_once():
    """Guards against a request that crashes targets again once its record is lost."""
    core = make_core()
    list_again(core, NOW + SECOND)
    assert is_quarantined(core)
    [write] = tick(core, NOW + SECOND)
    assert write.record.revision == places.at(0)
    written = gossip.QuarantinedRequest(BAD, NOW, 3, 0, places.at(44, 2))
    core.step(NOW + SECOND, [quarantinerecords.QuarantineWritten(written)])
    assert tick(core, NOW + 5 * SECOND) == []


def test_hosts_write_a_lost_record_again_in_turn():
    """Guards against a write by every host of the fleet at one moment."""
    names = [f"entry-{number}" for number in range(2, 9)]
    core = make_core(names)
    assert core.quarantine.records._rank(BAD) > 0
    list_again(core, NOW + SECOND)
    assert tick(core, NOW + SECOND) == []
    assert any(tick(core, NOW + wait * SECOND) for wait in range(2, 10))


def test_what_peers_read_in_an_earlier_era_does_not_count_as_written():
    core = make_core()
    list_again(core, NOW + SECOND)
    stale = gossip.CrashNews(quarantined=(record(),))
    core.quarantine.merge(stale, NOW + SECOND)
    assert tick(core, NOW + SECOND)


def test_the_count_of_trials_does_not_fall_with_an_older_record():
    """Guards against more trial runs of a request than are allowed in all."""
    core = make_core()
    core.step(NOW, [quarantinerecords.QuarantineRead(record(70, tries=1))])
    list_again(core, NOW + SECOND, record(30, era=2, tries=0))
    assert core.quarantine.records.record_by_fingerprint[BAD].tries == 1


@pytest.mark.parametrize("is_removed", [True, False])
def test_a_lifted_quarantine_is_removed_again(is_removed):
    """Guards against a lifted record that hosts which start later believe."""
    core = make_core()
    core.step(NOW + SECOND, [quarantinerecords.QuarantineLifted(BAD)])
    listed = () if is_removed else (record(30, era=2),)
    found = list_again(core, NOW + 2 * SECOND, *listed)
    assert not is_quarantined(core)
    removed = quarantinerecords.RemoveQuarantine(BAD) in found
    assert removed is not is_removed
