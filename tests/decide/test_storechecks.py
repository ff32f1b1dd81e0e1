"""How late a host may learn of a change, whatever happens to its peers."""

import datetime
import random

import pytest
import storefleet

from sesamespindle.decide import storechecks

SECOND = datetime.timedelta(seconds=1)
BOUND = storefleet.BOUND_SECONDS
KINDS = (storefleet.CONFIGURATION, storefleet.TARGETS)


def play(fleet, source, seconds):
    """Change random kinds at random times, then let all hosts learn of the last one."""
    until = fleet.now + seconds
    while fleet.now < until:
        fleet.run(source.uniform(0.05, 1.5))
        fleet.change(source.choice(KINDS))
    fleet.run(BOUND + 0.1)
    return fleet.lateness


def worst_seconds(lost_tries):
    return storechecks.worst_lateness(BOUND * SECOND, lost_tries).total_seconds()


@pytest.mark.parametrize("bound", [1.2, 2.0, 3.0, 4.0, 13.0])
def test_the_worst_lateness_is_below_the_bound_with_one_lost_try(bound):
    assert storechecks.worst_lateness(bound * SECOND) < bound * SECOND


@pytest.mark.parametrize("seed", range(6))
def test_changes_are_known_in_time_with_random_phases_and_losses(seed):
    """Guards against changes that are late on hosts whose peers can't help them."""
    source = random.Random(seed)
    fleet = storefleet.Fleet(seed, hosts=9, lost_tries=source.choice((0.0, 0.5, 1.0)))
    fleet.run(1.0)
    for host in source.sample(fleet.hosts, 3):
        host.is_cut_off = True
    lateness = play(fleet, source, 8.0)
    assert len(lateness) > 4
    assert max(lateness) <= worst_seconds(1)


@pytest.mark.parametrize("seed", range(3))
def test_changes_are_known_in_time_when_the_hosts_that_check_stop(seed):
    """Guards against hosts that wait for a stopped host's proofs."""
    source = random.Random(seed)
    fleet = storefleet.Fleet(seed, hosts=12, lost_tries=0.5)
    fleet.run(1.0)
    for host in fleet.hosts:
        if host.core.store_checks.role() is not storechecks.Role.OTHER:
            host.is_stopped = True
    assert max(play(fleet, source, 5.0)) <= worst_seconds(1)


def test_hosts_that_reach_no_peer_know_changes_in_time():
    fleet = storefleet.Fleet(1, hosts=9, lost_tries=1.0)
    for host in fleet.hosts:
        host.is_cut_off = True
    assert max(play(fleet, random.Random(1), 6.0)) <= worst_seconds(1)


@pytest.mark.parametrize(("hosts", "data_centres"), [(9, 3), (40, 5)])
def test_few_hosts_of_a_fleet_ask_the_store(hosts, data_centres):
    fleet = storefleet.Fleet(2, hosts, data_centres)
    fleet.run(2.0)
    before = fleet.store.reads
    fleet.run(4.0)
    assert (fleet.store.reads - before) / 4.0 <= 2.0 * data_centres / BOUND


def test_a_proof_in_a_delayed_request_does_not_make_knowledge_seem_fresh():
    """Guards against a host that takes over a proof that waited in its socket."""
    fleet = storefleet.Fleet(1, hosts=2, data_centres=1)
    late, early = fleet.hosts
    fleet.run(1.0)
    late.is_cut_off = True
    fleet.run(0.2)
    before = late.known.age(storefleet.CONFIGURATION, fleet.time())
    message = early.core.membership._brief_message()
    fleet._receive(early, late, message, fleet.now)
    assert late.known.age(storefleet.CONFIGURATION, fleet.time()) >= before


def test_a_check_that_never_ends_does_not_hold_up_the_next_one():
    fleet = storefleet.Fleet(1, hosts=1)
    started = []
    fleet.check = lambda host, command: started.append(fleet.now)
    fleet.run(8.0)
    assert len(started) >= 3


def test_a_host_asks_again_after_a_failed_check_though_peers_send_proofs():
    """Guards against hosts that take the store for unavailable long after an outage."""
    fleet = storefleet.Fleet(1, hosts=6)
    check, failed, asked_again = fleet.check, set(), set()

    def fail_once(host, command):
        if host.me.name in failed:
            asked_again.add(host.me.name)
            check(host, command)
        else:
            failed.add(host.me.name)
            fleet.after(0.01, host.feed, storechecks.CheckEnded(False))

    fleet.check = fail_once
    for host in fleet.hosts:
        host.feed(storechecks.CheckWanted((storefleet.CONFIGURATION,)))
    assert len(failed) == len(fleet.hosts)
    fleet.run(1.0)
    assert asked_again == failed


def test_a_host_checks_at_once_if_it_may_have_missed_a_change():
    fleet = storefleet.Fleet(1, hosts=1)
    fleet.run(0.7)
    reads = fleet.store.reads
    fleet.hosts[0].feed(storechecks.CheckWanted((storefleet.TARGETS,)))
    fleet.run(0.05)
    assert fleet.store.reads == reads + 1


def test_only_recent_knowledge_justifies_a_refusal():
    fleet = storefleet.Fleet(1, hosts=1)
    host = fleet.hosts[0]
    assert host.core.store_checks.may_refuse(fleet.time())
    assert not host.core.store_checks.may_refuse(fleet.time() + BOUND * SECOND)


def test_a_slow_store_gets_more_time_after_each_failed_check():
    """Guards against checks that all fail at a store whose answers take long."""
    fleet = storefleet.Fleet(1, hosts=1)
    limits = []

    def fail(host, command):
        limits.append(command.answer_timeout.total_seconds())
        fleet.after(0.01, host.feed, storechecks.CheckEnded(False))

    fleet.check = fail
    fleet.run(6.0)
    assert limits[:4] == [0.7, 1.4, 2.8, 2.8]


@pytest.mark.parametrize("seed", range(6))
def test_changes_are_known_in_time_though_the_store_comes_back_older(seed):
    """Guards against lower revisions that are late on hosts or prove old knowledge."""
    source = random.Random(seed)
    fleet = storefleet.Fleet(seed, hosts=9, lost_tries=source.choice((0.0, 0.5, 1.0)))
    fleet.run(1.0)
    for host in source.sample(fleet.hosts, 3):
        host.is_cut_off = True
    until = fleet.now + 8.0
    while fleet.now < until:
        fleet.run(source.uniform(0.05, 1.5))
        if source.random() < 0.4:
            fleet.restore(source.randrange(40))
        fleet.change(source.choice(KINDS))
    fleet.run(BOUND + 0.1)
    assert fleet.store.era > 0
    assert max(fleet.lateness) <= worst_seconds(1)


@pytest.mark.parametrize(("hosts", "data_centres"), [(9, 3), (40, 5)])
def test_few_hosts_read_everything_again_as_the_store_comes_back(hosts, data_centres):
    """Guards against all hosts of a fleet listing everything at one moment."""
    fleet = storefleet.Fleet(3, hosts, data_centres)
    fleet.run(2.0)
    before = fleet.store.reads
    fleet.restore()
    fleet.run(BOUND)
    steady = 2.0 * data_centres
    kinds = len(KINDS)
    assert fleet.store.reads - before <= steady + (1 + kinds) * 2 * (1 + data_centres)
    assert {host.known.revision(KINDS[0]).era for host in fleet.hosts} == {1}
