"""Which software versions began streams, in the platform's store."""

import asyncio
import datetime

import places
import pytest

from sesamespindle.decide import originrecords, streamorigins
from sesamespindle.platform import objects, originlog, records
from sesamespindle.wire import platform

ORIGIN = streamorigins.Origin("llm", "v1")
KEYS = b"attempt1attempt2"
SEGMENT = originrecords.OriginSegment({ORIGIN: KEYS})
# The time limit of a call that sets none.
TIMEOUT = datetime.timedelta(milliseconds=700)
NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)


class Client:
    """A client of a store that has some objects, and may refuse a write.

    Attributes
    ----------
    written : list of (str, revisions.Revision)
        The names of the objects that were written, and the revisions to replace.
    lists : int
        How often all objects were listed.
    is_silent : bool
        Whether a list waits for `answers`.
    """

    def __init__(self, *items):
        self._items = items
        self.error = None
        self.written = []
        self.lists = 0
        self.is_silent = False
        self.answers = asyncio.Event()

    async def repeated(self, call, try_timeout):
        return await call(None)

    async def list(self, kind, session=None, timeout=TIMEOUT):
        self.lists += 1
        if self.is_silent:
            await self._until_answering(timeout)
        return objects.Listing(self._items, places.at(9))

    async def _until_answering(self, timeout):
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self.answers.wait()
        except TimeoutError as error:
            raise platform.PlatformUnavailableError("silent") from error

    async def write(self, kind, name, spec, replaces):
        self.written.append((name, replaces))
        if self.error is not None:
            raise self.error
        return places.at(10 + len(self.written))


class Driver:
    """A driver that keeps what is fed, with a clock and a store that answers."""

    def __init__(self):
        self.core = self.store_checks = self.clock = self
        self.fed = []
        self.time = NOW
        self.answered = True

    def on(self, kind, handler):
        self.handler = handler

    def feed(self, event):
        self.fed.append(event)

    def now(self):
        return self.time

    def is_store_answering(self):
        return self.answered


def stored(name, number, spec=None):
    spec = records.origins_spec(SEGMENT) if spec is None else spec
    return objects.StoredObject(name, places.at(number), spec)


async def write(log, driver, *numbers):
    for number in numbers:
        driver.handler(originrecords.WriteOrigins(number, SEGMENT))
        for task in tuple(log._tasks):
            await task


def test_a_segment_keeps_its_object_and_the_next_takes_another(go):
    async def scenario():
        client = Client(
            stored("dc-1.0", 5), stored("dc-2.1", 6), stored("dc-1.\xb2", 7)
        )
        driver = Driver()
        async with originlog.OriginLog(driver, client, "dc-1") as log:
            await write(log, driver, 0, 0, 1)
        names = [name for name, _ in client.written]
        assert names == ["dc-1.1", "dc-1.1", "dc-1.2"]
        assert client.written[1][1] == places.at(11)
        assert client.lists == 1

    go(scenario())


@pytest.mark.parametrize(
    "error", [platform.ConflictError(None), platform.PlatformUnavailableError("away")]
)
def test_a_write_that_fails_is_told_and_all_is_found_out_anew(go, error):
    """Guards against a recorder that overwrites what another host has written."""

    async def scenario():
        client, driver = Client(), Driver()
        async with originlog.OriginLog(driver, client, "dc-1") as log:
            client.error = error
            await write(log, driver, 0)
            client.error = None
            await write(log, driver, 0)
        not_written, written = driver.fed
        assert isinstance(not_written, originrecords.OriginsNotWritten)
        assert isinstance(written, originrecords.OriginsWritten)
        assert client.lists == 2

    go(scenario())


def test_what_is_recorded_is_read_once_a_second_at_most(go):
    """Guards against a store that is asked for each caller of a lost fleet."""

    async def scenario():
        bad = {"began": [{"service": "llm", "software": "v1", "keys": "?"}]}
        client = Client(stored("dc-2.3", 4), stored("dc-1.4", 5, bad))
        driver = Driver()
        async with originlog.OriginLog(driver, client, "dc-1") as log:
            assert await log.find(b"attempt2") == ORIGIN
            assert await log.find(b"ttempt1a") is None
            assert await log.find(b"unknown1") is None
            assert client.lists == 1
            driver.time += datetime.timedelta(seconds=1)
            assert await log.find(b"unknown1") is None
            assert client.lists == 2

    go(scenario())


def test_a_host_that_has_read_nothing_reads_though_a_check_failed(go):
    """Guards against hosts at a slow store that refuse all streams at their start."""

    async def scenario():
        client, driver = Client(stored("dc-2.3", 4)), Driver()
        driver.answered = False
        async with originlog.OriginLog(driver, client, "dc-1") as log:
            assert await log.find(b"attempt2") == ORIGIN
            driver.time += datetime.timedelta(seconds=1)
            assert await log.find(b"unknown1") is None
        assert client.lists == 1

    go(scenario())


def test_a_reading_outlasts_those_who_wait_for_it(go):
    """Guards against a store of which each answer comes after its caller has gone."""

    async def scenario():
        client, driver = Client(stored("dc-2.3", 4)), Driver()
        client.is_silent = True
        async with originlog.OriginLog(driver, client, "dc-1") as log:
            assert await log.find(b"attempt2") is None
            driver.time += datetime.timedelta(seconds=2)
            assert await log.find(b"attempt2") is None
            client.answers.set()
            for task in tuple(log._tasks):
                await task
            assert await log.find(b"attempt2") == ORIGIN
        assert client.lists == 1

    go(scenario())
