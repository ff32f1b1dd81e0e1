"""Following KV stores that hold only a limited number of requests at once."""

import asyncio
import datetime
import random

import pytest

from sesamespindle.daemon import driver, eventlog
from sesamespindle.decide import catalogue, events, kvstores, routes, storerows, world
from sesamespindle.platform import storefeed
from sesamespindle.wire import clock


@pytest.mark.parametrize("hosts", [1, 12])
def test_hosts_within_a_stores_limit_follow_at_full_pace(hosts):
    pace = storefeed.choose_pace(hosts, max_requests=12)
    assert pace == storefeed.Pace(wait_ms=1000, pause_seconds=0.2)


@pytest.mark.parametrize("hosts", [13, 24, 80, 119])
@pytest.mark.parametrize("answer_seconds", [0.02, 1.0])
def test_requests_of_many_hosts_stay_within_a_stores_limit(hosts, answer_seconds):
    """Guards against a store that is busy refusing requests.

    Eighty hosts follow a store that holds twelve requests at once. If refused hosts ask
    again at once, they are refused again, and each request is charged as a probe.
    """
    max_requests = 12
    pace = storefeed.choose_pace(hosts, max_requests)
    assert pace.wait_ms >= 200
    open_seconds = min(answer_seconds, pace.wait_ms / 1000)
    share = open_seconds / (open_seconds + pace.pause_seconds)
    assert hosts * share <= max_requests * 1.05


def test_a_refused_follower_waits_longer_each_time_up_to_a_bound():
    source = random.Random(1)
    pauses = [storefeed.refused_pause(count, source) for count in range(1, 8)]
    assert pauses[0] < 1.0
    assert pauses == sorted(pauses)
    # A store that hasn't answered for 2.5 s would count as unavailable.
    assert pauses[-1] < 2.0


class _Core:
    """Decision logic that records events; as the only host it follows all stores."""

    def __init__(self, rows):
        self.state = world.World(events.Host("entry-1", "entry", "dc-1", "u"))
        self.state.put_entry(catalogue.own_entry_row(self.state.me))
        self.state.knows_entries = True
        self.stores = kvstores.KvStores(self.state)
        for row in rows:
            self.stores.rows.add(row)
        self.taken = []

    def step(self, now, happened):
        self.taken += happened
        return []


class _Stores:
    """Stores that answer lists at once, and record the requests."""

    def __init__(self):
        self.asked = []

    async def store_list(self, name, address):
        self.asked.append(("list", address))
        part = storerows.PartEvent("1", "a", 100)
        return kvstores.StoreChanged(name, 1, (part,), True), 7

    async def store_changes(self, name, address, position, wait_ms):
        self.asked.append(("changes", position))
        await asyncio.Event().wait()


def test_stores_are_listed_before_callers_are_admitted(go):
    """Guards against prefills of prompts whose parts the stores still hold.

    All hosts have restarted, and callers have waited for them. Without a list of the
    stored parts no host would have any part fetched.
    """

    async def run():
        store = routes.KvStore("s:1", "dc-1", 10, 1e9, datetime.timedelta(0), True)
        row = storerows.StoreRow("s", store)
        core, stores, now = _Core([row]), _Stores(), clock.SystemClock()
        log = eventlog.EventLog("entry-1", eventlog.HybridClock(now), 1)
        feeding_driver = driver.Driver(core, now, log)
        feed = storefeed.StoreFeed(feeding_driver, stores, random.Random(1))
        async with feed:
            feed._follow_all(kvstores.StoresConfigured((row,)))
            assert not feed.all_answered.is_set()
            await feed.all_answered.wait()
            assert stores.asked == [("list", "s:1")]
            assert core.taken[0].parts == (storerows.PartEvent("1", "a", 100),)

    go(run())
