"""The events that follow an order to an engine."""

import asyncio

import pytest

from sesamespindle.decide import rollout
from sesamespindle.platform import orders


class Engines:
    """Engines that answer each order with one status, or None for no answer."""

    def __init__(self, status):
        self.status = status

    async def order_version(self, order):
        """Answer an order."""
        return self.status


class Driver:
    """A driver that keeps the events that it gets."""

    def __init__(self):
        self.handler_by_command = {}
        self.fed = []

    def on(self, command_type, handler):
        """Set the handler of commands of a type."""
        self.handler_by_command[command_type] = handler

    def feed(self, event):
        """Keep an event."""
        self.fed.append(event)


@pytest.mark.parametrize("status", [202, 200, 409, 412, None])
def test_only_an_accepted_order_is_reported_as_accepted(status):
    """An engine that accepts an order loads weights, even if it becomes unreachable.

    Any other answer, or none, doesn't show that it loads them.
    """

    async def run_order():
        driver = Driver()
        order_runner = orders.Orders(driver, None, Engines(status))
        order = rollout.OrderVersion("llm-0", "a:0", "m", 2, 1, 3)
        driver.handler_by_command[rollout.OrderVersion](order)
        await asyncio.gather(*order_runner._tasks)
        return driver.fed

    accepted = [rollout.OrderAccepted("llm-0", 3)]
    assert asyncio.run(run_order()) == (accepted if status == 202 else [])
