"""What the decision logic hears of an order to an engine."""

import asyncio

import pytest

from sesamespindle.decide import rollout
from sesamespindle.platform import orders


class Servers:
    """Engines that answer each order with one status, or None for no answer."""

    def __init__(self, status):
        self.status = status

    async def order_version(self, order):
        """Answer an order."""
        return self.status


class Driver:
    """Starts commands, and keeps what comes of them."""

    def __init__(self):
        self.carry_out_by_kind = {}
        self.fed = []

    def on(self, kind, carry_out):
        """Have commands of a kind carried out."""
        self.carry_out_by_kind[kind] = carry_out

    def feed(self, event):
        """Keep an event."""
        self.fed.append(event)


@pytest.mark.parametrize("status", [202, 200, 409, 412, None])
def test_only_an_accepted_order_is_told_as_running(status):
    """An engine that accepts an order loads from then on, also if it is cut off.

    Any other answer, or none, says nothing of a load.
    """

    async def play():
        driver = Driver()
        carried_out = orders.Orders(driver, None, Servers(status))
        order = rollout.OrderVersion("llm-0", "a:0", "m", 2, 1, 3)
        driver.carry_out_by_kind[rollout.OrderVersion](order)
        await asyncio.gather(*carried_out._tasks)
        return driver.fed

    accepted = [rollout.OrderAccepted("llm-0", 3)]
    assert asyncio.run(play()) == (accepted if status == 202 else [])
