"""The lease as it is written to the platform's store and read back."""

import asyncio

import places
import pytest

from sesamespindle.decide import lease
from sesamespindle.platform import objects, orders, records


class Store:
    """A platform's store that keeps the content of the last write."""

    def __init__(self):
        self.spec = None

    async def write(self, kind, name, spec, replaces):
        """Keep the content of an object; return its new revision."""
        self.spec = spec
        return places.after(replaces)


class Driver:
    """A driver that keeps the events that it gets."""

    def __init__(self):
        self.handler_by_command = {}
        self.fed = asyncio.Queue()

    def on(self, command_type, handler):
        """Set the handler of commands of a type."""
        self.handler_by_command[command_type] = handler

    def feed(self, event):
        """Keep an event."""
        self.fed.put_nowait(event)


def read(spec):
    return records.read_lease(objects.StoredObject("rollout", places.at(7), spec))


@pytest.mark.parametrize("idle", [True, False])
def test_a_lease_is_read_as_it_was_written(idle):
    async def play():
        driver, store = Driver(), Store()
        orders.Orders(driver, store, None)
        record = lease.LeaseRecord("entry-1/5/10.0.0.1:70", 4, 9, idle)
        command = lease.WriteLease(record, places.at(6))
        driver.handler_by_command[lease.WriteLease](command)
        assert await driver.fed.get() == lease.LeaseWritten(record, places.at(7))
        assert read(store.spec) == record

    asyncio.run(play())


def test_a_lease_of_an_earlier_release_is_not_idle():
    """A record without the field has a holder that may give orders at any moment."""
    spec = {"holder": "entry-1/5", "epoch": 4, "renewals": 9}
    assert read(spec) == lease.LeaseRecord("entry-1/5", 4, 9, False)
