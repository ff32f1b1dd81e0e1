"""The record by which a host that starts finds its peers and is found by them."""

import dataclasses
import random
import types

import places
import pytest

from sesamespindle.daemon import driver, eventlog
from sesamespindle.decide import events, revisions
from sesamespindle.platform import entries, objects
from sesamespindle.wire import clock, platform

ME = events.Host("entry-1", "entry", "dc-1", "10.1.0.1:80", "10.1.0.1:81", "", 7)


class _Core:
    """Decision logic that records the names in each list of hosts that it gets."""

    def __init__(self, is_leaving=False):
        self.listed_names = []
        self.state = types.SimpleNamespace(leaving=is_leaving)

    def step(self, now, happened):
        self.listed_names += [[host.name for host in item.hosts] for item in happened]
        return []


class _Client:
    """The platform's objects; as many calls fail as `failures` says."""

    def __init__(self, *hosts):
        self.spec_by_name = {host.name: _spec(host) for host in hosts}
        self.calls = []
        self.failures = 0

    def _call(self, text):
        self.calls.append(text)
        if self.failures:
            self.failures -= 1
            raise platform.PlatformUnavailableError("The platform is unavailable.")

    async def list(self, kind, allow_stale=False):
        self._call("old list" if allow_stale else "list")
        items = [
            objects.StoredObject(name, places.at(1), spec)
            for name, spec in self.spec_by_name.items()
        ]
        return objects.Listing(tuple(items), places.at(1))

    async def get(self, kind, name):
        self._call("get")
        if name not in self.spec_by_name:
            return None
        return objects.StoredObject(name, places.at(1), self.spec_by_name[name])

    async def write(self, kind, name, spec, replaces):
        self._call("create" if replaces == revisions.NEVER else "replace")
        if name in self.spec_by_name and replaces == revisions.NEVER:
            raise platform.ConflictError(None)
        self.spec_by_name[name] = spec
        return 2


def _spec(host):
    return {
        "data_centre": host.data_centre,
        "url": host.url,
        "peer_address": host.peer_address,
        "incarnation": host.incarnation,
    }


OTHER = dataclasses.replace(ME, name="entry-2", url="10.1.0.2:80")


def make_record(client, core):
    now = clock.SystemClock()
    log = eventlog.EventLog(ME.name, eventlog.HybridClock(now), 1)
    feeding_driver = driver.Driver(core, now, log)
    return entries.EntryRecord(feeding_driver, client, ME, random.Random(1))


def run(go, client):
    """Have a host announce itself; return its decision logic."""
    core = _Core()
    go(make_record(client, core).announce())
    return core


def test_a_new_host_writes_its_record_and_then_lists_all_hosts_again(go):
    """Guards against hosts that know only themselves.

    If all hosts start for the first time, the first list of each is empty. The others'
    records are in the list only once they have been written.
    """
    client = _Client()
    core = run(go, client)
    assert client.calls == ["old list", "create", "list"]
    assert core.listed_names[-1] == ["entry-1"]


def test_a_host_that_restarts_makes_one_call(go):
    """Guards against needless calls while callers wait.

    After a power failure of all hosts their records are still stored. If each host
    wrote its record again, that would take four calls more.
    """
    before = dataclasses.replace(ME, incarnation=3)
    client = _Client(before, OTHER)
    core = run(go, client)
    assert client.calls == ["old list"]
    assert core.listed_names == [["entry-1", "entry-2"]]


@pytest.mark.parametrize("change", [{"url": "10.9.0.1:80"}, {"peer_address": "x:1"}])
def test_a_host_at_another_address_replaces_its_record(go, change):
    client = _Client(dataclasses.replace(ME, **change))
    run(go, client)
    assert client.calls == ["old list", "create", "get", "replace", "list"]
    assert client.spec_by_name["entry-1"] == _spec(ME)


@pytest.mark.parametrize("failures", [1, 2])
def test_calls_are_repeated_until_the_platform_is_available(go, failures):
    client = _Client()
    client.failures = failures
    run(go, client)
    assert client.calls == ["old list"] * (1 + failures) + ["create", "list"]


def test_a_record_that_the_store_has_lost_is_written_again(go):
    """Guards against hosts that start after a restore and don't find this one."""
    client = _Client(OTHER)
    go(make_record(client, _Core()).restore(1))
    assert client.calls == ["get", "create"]
    assert client.spec_by_name["entry-1"] == _spec(ME)


def test_a_record_that_the_store_still_has_stays(go):
    client = _Client(ME)
    go(make_record(client, _Core()).restore(1))
    assert client.calls == ["get"]


def test_a_host_that_leaves_does_not_write_its_record_again(go):
    client = _Client(OTHER)
    go(make_record(client, _Core(is_leaving=True)).restore(1))
    assert client.calls == ["get"]
