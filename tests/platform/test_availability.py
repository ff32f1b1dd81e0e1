"""When hosts take the platform's store to have recovered from an outage."""

import datetime

import gateways
import places
import pytest

from sesamespindle.daemon import driver, eventlog
from sesamespindle.platform import availability
from sesamespindle.wire import clock

HOSTS = 3


class Host:
    """A host's decision logic, and what it knows of the platform's outages."""

    def __init__(self, now):
        log = eventlog.EventLog("entry-1", eventlog.HybridClock(now), 1)
        self.driver = driver.Driver(gateways.make_gateway(), now, log)
        self.availability = availability.Availability(self.driver)

    @property
    def back_at(self):
        return self.driver.core.state.platform_back_at

    def see_outage(self):
        self.availability.note_unavailable("targets", TimeoutError())
        self.availability.note_answer(places.at(7))


class Ring:
    """Hosts that each ask the next one what it knows, again and again."""

    def __init__(self):
        self.clock = clock.ManualClock(gateways.NOW)
        self.hosts = [Host(self.clock) for _ in range(HOSTS)]

    def advance(self, seconds):
        self.clock.advance(datetime.timedelta(seconds=seconds))

    def go_round(self, transit_seconds):
        for number, host in enumerate(self.hosts):
            asked_at = self.clock.now()
            self.advance(transit_seconds)
            told = self.hosts[(number + 1) % HOSTS].availability.last_recovery()
            self.advance(transit_seconds)
            host.availability.adopt_recovery(told, asked_at)


@pytest.mark.parametrize("transit_seconds", [0.0, 0.01, 0.3])
def test_a_recovery_gets_no_younger_among_hosts_that_tell_each_other(transit_seconds):
    """Each host notes a recovery that it hears of as one of now, and tells that on."""
    ring = Ring()
    ring.hosts[0].see_outage()
    recovered_at = ring.clock.now()
    for _ in range(20):
        ring.go_round(transit_seconds)
        ring.advance(0.4)
        known = [host.back_at for host in ring.hosts if host.back_at is not None]
        assert max(known) <= recovered_at


def test_all_hosts_learn_of_a_recovery_that_one_has_seen():
    ring = Ring()
    ring.hosts[0].see_outage()
    for _ in range(HOSTS):
        ring.go_round(0.01)
    assert all(host.back_at is not None for host in ring.hosts)


def test_a_later_recovery_replaces_an_earlier_one():
    ring = Ring()
    ring.hosts[0].see_outage()
    ring.go_round(0.0)
    ring.advance(2.0)
    ring.hosts[1].see_outage()
    later = ring.clock.now()
    for _ in range(HOSTS):
        ring.go_round(0.0)
    assert [host.back_at for host in ring.hosts] == [later] * HOSTS


@pytest.mark.parametrize("age", [float("nan"), float("inf"), -1.0, 2.6])
def test_a_recovery_of_an_impossible_or_old_age_is_ignored(age):
    host = Ring().hosts[0]
    host.availability.adopt_recovery(availability.Recovery(age), gateways.NOW)
    assert host.back_at is None
