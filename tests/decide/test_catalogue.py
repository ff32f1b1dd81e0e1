"""Tests that outdated declarations and load reports are ignored."""

import datetime

from sesamespindle.decide import core, declared, events

START = datetime.datetime(2026, 12, 7, 9, tzinfo=datetime.UTC)
ME = events.Host("entry-1", "entry", "dc", "http://e", "e:1", "http://a", 1)


def declarations(concurrency):
    contract = declared.Contract("desk", concurrency, 2, 5, 1000, (), ())
    return declared.Declarations(contracts=(contract,))


def test_lower_revision_is_ignored():
    """A peer or a stale read delivers the revision before the active one.

    Adopted, it would let an account do what its contract no longer allows.
    """
    made = core.Core(ME)
    for revision, concurrency in ((1, 10), (3, 30), (2, 20), (3, 10)):
        adopted = events.DeclarationsAdopted(revision, declarations(concurrency))
        made.step(START, [adopted])
    assert made.state.revision == 3
    assert made.state.accounts.get("desk").contract.concurrency == 30


def test_older_load_report_is_ignored():
    """Two load reports arrive out of order, and the older one would hide a queue."""
    made = core.Core(ME)
    target = declared.Target("engine-1", "pool", "dc", True)
    pool = declared.Pool("pool", declared.TargetKind.ENGINE, 10)
    made.step(
        START,
        [
            events.DeclarationsAdopted(
                1, declared.Declarations(pools=(pool,), targets=(target,))
            )
        ],
    )
    later = START + datetime.timedelta(seconds=1)
    for as_of, backlog in ((later, 900), (START, 0)):
        report = events.LoadReported("engine-1", as_of, backlog, 1, 1000.0, "v1")
        made.step(later, [report])
    assert made.state.targets.get("engine-1").reported_backlog == 900
