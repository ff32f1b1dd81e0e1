"""No fetch relies on a KV store that has restarted or dropped the part since."""

import dataclasses
import datetime
import heapq
import itertools
import random

import pytest

from sesamespindle.decide import (
    events,
    gossip,
    kvstores,
    routes,
    storerelay,
    storerows,
    world,
)

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
ENGINES = routes.Engines(("m",), 8, 100_000, 1000, 8e9)
ENGINE = world.TargetRow("e1", "llm", None, "dc-1", False, "e1:80")
PART_IDS = "abc"
HOSTS = 3
SPAN_SECONDS = 90.0
# The engines' clock is this far ahead of the hosts'.
CLOCK_LEAD_MS = 5_000_000.0


def at_time(seconds):
    return NOW + datetime.timedelta(seconds=seconds)


def engine_clock_ms(seconds):
    return at_time(seconds).timestamp() * 1000.0 + CLOCK_LEAD_MS


@dataclasses.dataclass
class Store:
    """A store that keeps, of each part, whether it is whole."""

    boot: int = 1
    whole_by_part: dict = dataclasses.field(default_factory=dict)
    changes: list = dataclasses.field(default_factory=list)

    def restart(self):
        self.boot += 1
        self.whole_by_part = {}
        self.changes = []

    def reserve(self, part_id):
        """Begin a save; return the start of the store, None if the save is lost."""
        if part_id in self.whole_by_part:
            return None
        self.whole_by_part[part_id] = False
        return self.boot

    def finish(self, part_id, boot):
        if boot == self.boot and part_id in self.whole_by_part:
            self.whole_by_part[part_id] = True
            self.changes.append(storerows.PartEvent("1", part_id, 100))

    def free(self, part_id):
        if self.whole_by_part.get(part_id):
            del self.whole_by_part[part_id]
            self.changes.append(storerows.PartEvent("1", part_id, 0))

    def answer(self, boot, position, now):
        """Return its changes after a position, or all of them after a restart."""
        since = position if boot == self.boot else 0
        return kvstores.StoreChanged(
            "s",
            self.boot,
            tuple(self.changes[since:]),
            False,
            engine_clock_ms(now),
            since,
            len(self.changes),
        )


class Play:
    """Some hosts and one store, in an order of things that a seed chooses."""

    def __init__(self, seed, all_follow):
        self._random = random.Random(seed)
        self._all_follow = all_follow
        self._numbers = itertools.count()
        self._queue = []
        self._now = 0.0
        self.store = Store()
        self.hosts = [make_host(number) for number in range(HOSTS)]
        self._frozen_until = [0.0] * HOSTS
        self.fetches = 0
        self.unwhole = []

    def run(self):
        for number in range(HOSTS):
            self._later(0.0, self._poll, number)
            self._later(0.3, self._gossip, number)
            self._later(5.0, self._ask, number)
        self._later(self._random.uniform(13.0, 20.0), self._restart)
        self._later(self._random.uniform(13.0, 20.0), self._free)
        while self._queue and self._now < SPAN_SECONDS:
            self._now, _, action, details = heapq.heappop(self._queue)
            action(*details)

    def _later(self, seconds, action, *details):
        entry = self._now + seconds, next(self._numbers), action, details
        heapq.heappush(self._queue, entry)

    def _is_frozen(self, number, action):
        """Put an action off while its host is frozen."""
        left = self._frozen_until[number] - self._now
        if left > 0.0:
            self._later(left, action, number)
        return left > 0.0

    def _poll(self, number):
        if self._is_frozen(number, self._poll):
            return
        if self._all_follow or number == 0:
            row = self.hosts[number].rows.get("s")
            answer = self.store.answer(row.boot, row.position, self._now)
            if self._random.random() < 0.1:
                answer = dataclasses.replace(
                    self.store.answer(0, 0, self._now), whole_list=True, clock_ms=None
                )
            delay = self._random.choice((0.01, 0.05, 1.0))
            self._later(delay, self.hosts[number].handle, answer, at_time(self._now))
            self._later(self._random.uniform(0.2, 1.2), self._poll, number)

    def _gossip(self, number):
        if self._is_frozen(number, self._gossip):
            return
        other = self._random.choice([n for n in range(HOSTS) if n != number])
        theirs = self.hosts[other].relay
        message = gossip.GossipMessage(
            f"entry-{other}",
            "dc-1",
            store_words=tuple(
                storerelay.word_of(row)
                for row in self.hosts[other].rows
                if row.status_at is not None
            ),
            store_news=theirs.updates_for(self._words(number)),
        )
        delay = self._random.choice((0.01, 0.3))
        merge = self.hosts[number].relay.merge
        self._later(delay, merge, message, at_time(self._now + delay))
        self._later(0.4, self._gossip, number)
        if self._random.random() < 0.02:
            self._frozen_until[number] = self._now + self._random.uniform(0.5, 6.0)

    def _words(self, number):
        return tuple(
            gossip.StoreWord("s", row.boot, row.position, row.status_at, False)
            for row in self.hosts[number].rows
            if row.status_at is not None
        )

    def _ask(self, number):
        if self._is_frozen(number, self._ask):
            return
        part = kvstores.Part(self._random.choice(PART_IDS), 100)
        parts = part, kvstores.Part("own", 10)
        now = at_time(self._now)
        plan = self.hosts[number].plan(ENGINES, ENGINE, None, "1", parts, now)
        if plan.fetch_from[0] is not None:
            wait = self._random.choice((0.0, 0.05, 0.5, 3.0))
            self._later(wait, self._fetch, part.part_id, plan.until_ms)
        if plan.save_to[0] is not None:
            self._later(0.01, self._save, part.part_id)
        self._later(self._random.uniform(0.02, 0.2), self._ask, number)

    def _fetch(self, part_id, until_ms):
        if engine_clock_ms(self._now + 0.02) > until_ms:
            return
        self.fetches += 1
        if self.store.whole_by_part.get(part_id) is False:
            self.unwhole.append((self._now, part_id, self.store.boot))

    def _save(self, part_id):
        boot = self.store.reserve(part_id)
        if boot is not None:
            written_after = self._random.uniform(0.1, 2.0)
            self._later(written_after, self.store.finish, part_id, boot)

    def _restart(self):
        self.store.restart()
        self._later(self._random.choice((1.0, 5.0, 20.0)), self._restart)

    def _free(self):
        part_id = self._random.choice(PART_IDS)
        self.store.free(part_id)
        self._later(self._random.uniform(1.0, 20.0), self._free)


def make_host(number):
    state = world.World(events.Host(f"entry-{number}", "entry", "dc-1", "u"))
    made = kvstores.KvStores(state)
    store = routes.KvStore("s:1", "dc-1", 4000, 8e9, datetime.timedelta(0), True)
    service = routes.Service("s", 0, None, store)
    made.adopt(routes.Configuration(1, service_by_name={"s": service}))
    return made


@pytest.mark.parametrize("all_follow", [True, False])
@pytest.mark.parametrize("seed", range(60))
def test_no_fetch_overlaps_a_save_of_another_start_of_the_store(seed, all_follow):
    """Requests go on with memory of a part that a restarted store still writes."""
    play = Play(seed, all_follow)
    play.run()
    assert play.unwhole == []
    assert play.fetches > 0
