"""Tests of what a probe of a target reports to the decision logic."""

import asyncio

import pytest

from sesamespindle.daemon import connections, targetprobe
from sesamespindle.decide import crashes, incarnations

INCARNATION = incarnations.TargetIncarnation("llm-1")


class _Driver:
    """Keeps the carriers of commands, and the events that it is fed."""

    def __init__(self):
        self.carrier_by_kind = {}
        self.fed = asyncio.Queue()

    def on(self, kind, carrier):
        self.carrier_by_kind[kind] = carrier

    def feed(self, event):
        self.fed.put_nowait(event)


@pytest.mark.parametrize(
    ("failure", "reported"),
    [
        (ConnectionRefusedError(), crashes.TargetRefusesConnections(INCARNATION)),
        (TimeoutError(), crashes.ProbeUndecided(INCARNATION)),
        (OSError(), crashes.ProbeUndecided(INCARNATION)),
    ],
)
def test_a_probe_that_fails_is_reported(go, monkeypatch, failure, reported):
    """Guards against a slow probe that is taken for one that shows life."""

    async def fail(address):
        raise failure

    monkeypatch.setattr(connections, "connect", fail)

    async def scenario():
        driver = _Driver()
        async with targetprobe.TargetProbe(driver, None):
            probe = crashes.ProbeTarget(INCARNATION, "127.0.0.1:1")
            driver.carrier_by_kind[crashes.ProbeTarget](probe)
            return await driver.fed.get()

    assert go(scenario()) == reported
