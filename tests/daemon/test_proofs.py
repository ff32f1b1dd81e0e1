"""Proofs that requests wait for."""

import asyncio
import datetime

import gateways
import places
import pytest

from sesamespindle.daemon import driver, eventlog, proofs
from sesamespindle.decide import freshness, storechecks
from sesamespindle.wire import clock

KIND = "software"
SECOND = datetime.timedelta(seconds=1)


class Store:
    """Answers the checks of a host, or not, and counts them."""

    def __init__(self, core, answers=True):
        self._core = core
        self._answers = answers
        self._clock = clock.SystemClock()
        log = eventlog.EventLog("entry-1", eventlog.HybridClock(self._clock), 1)
        self._driver = driver.Driver(core, self._clock, log)
        self.proofs = proofs.Proofs(self._driver)
        self._driver.on(storechecks.CheckStore, self._check)
        self._ends = set()
        self.checks = 0

    def _check(self, command):
        self.checks += 1
        end = asyncio.create_task(self._end(self._clock.now()))
        self._ends.add(end)
        end.add_done_callback(self._ends.discard)

    async def _end(self, began):
        if self._answers:
            self._core.state.freshness.prove(KIND, places.at(9), began)
        self._driver.feed(storechecks.CheckEnded(self._answers))

    async def prove_all(self, count, since):
        waiting = (self.proofs.prove(KIND, since) for _ in range(count))
        return await asyncio.gather(*waiting)

    def now(self):
        return self._clock.now()


@pytest.fixture
def make_store():
    """Return a function that makes a store whose records a host has once read."""

    def make(**changed):
        kinds = freshness.Kinds({KIND: 5 * SECOND, "configuration": 2 * SECOND})
        core = gateways.make_gateway(kinds=kinds)
        store = Store(core, **changed)
        earlier = store.now() - SECOND
        core.state.freshness.note_read(KIND, places.at(9), 1, earlier, "a listing")
        return store

    return make


def test_a_proof_from_before_the_request_does_not_count(go, make_store):
    """Guards against a conclusion from records that have changed since."""
    store = make_store()
    assert go(store.prove_all(1, store.now())) == [True]
    assert store.checks == 1
    assert go(store.prove_all(1, store.now() - 2 * SECOND)) == [True]
    assert store.checks == 1


def test_requests_that_wait_share_one_check(go, make_store):
    """Guards against a call to the store for each of many callers who return."""
    store = make_store()
    assert go(store.prove_all(50, store.now())) == [True] * 50
    assert store.checks == 1


def test_a_store_that_fails_proves_nothing(go, make_store):
    store = make_store(answers=False)
    assert go(store.prove_all(3, store.now())) == [False] * 3


def test_callers_who_come_back_one_after_the_other_have_few_checks_made(go, make_store):
    """Guards against calls to the store that grow with the callers who come back."""
    store = make_store()

    async def come_back():
        began = store.now()
        while store.now() - began < SECOND:
            assert await store.prove_all(1, store.now()) == [True]
        return (store.now() - began) / SECOND

    seconds = go(come_back())
    assert store.checks <= 10 * seconds + 1
