"""What a check of the declarations' head proves."""

import datetime

from sesamespindle.daemon import auth, driver, eventlog, watchers
from sesamespindle.decide import core, events
from sesamespindle.wire import clock, head, platform

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


class _Store:
    """A platform whose head a test sets."""

    def __init__(self):
        self.revision = 0

    async def get(self, kind, name):
        value = head.Head(self.revision).to_json_value()
        return platform.Object(self.revision, value)


async def ages_after(revisions):
    """Return the age of the proof after a check that reads each of the revisions."""
    store, now = _Store(), clock.ManualClock(NOW)
    me = events.Host("entry-1", "entry", "dc-1", "entry-1:80", "entry-1:81", "", 1)
    decided = core.Core(me)
    log = eventlog.EventLog("entry-1", eventlog.HybridClock(now), 1)
    watcher = watchers.DeclarationsWatcher(
        driver.Driver(decided, now, log), auth.Keyring(), store, store, None
    )
    ages = []
    for store.revision in revisions:
        now.advance(SECOND)
        await watcher._check()
        ages.append(decided.state.freshness.age(core.DECLARATIONS, now.now()))
    return ages


def test_a_check_that_reads_the_active_head_proves_it(go):
    assert go(ages_after([3, 3, 4])) == [0 * SECOND, 0 * SECOND, 0 * SECOND]


def test_a_stale_read_of_an_older_head_proves_nothing(go):
    """Guards against a stale read that makes outdated declarations seem current."""
    assert go(ages_after([3, 2])) == [0 * SECOND, SECOND]
