"""What a daemon that is told to leave still owes its callers."""

import asyncio
import signal

import pytest

from sesamespindle.lab import caller, fleet

SERVICE = "bookings-1"
# Longer than a leaving entry without work stays: 1.5 s of quiet, 0.3 s of farewell
# and the second that the HTTP library gives its handlers.
CALL_SECONDS = 4.0


@pytest.fixture(scope="module")
def running(start_fleet):
    return start_fleet(engines=0, store_hosts=0)


class Booking:
    """A call that the service takes `CALL_SECONDS` for."""

    def __init__(self, running, reference, key=""):
        self.running = running
        self.reference = reference
        self.key = key
        self.caller = caller.Caller(running.session, fleet.demo_key("bookings-desk"))

    async def mint(self, entry):
        """Take a ticket of an entry as the key."""
        self.key = await self.caller.ticket(self.running.url(entry))

    async def send(self, entry):
        return await self.caller.call(
            self.running.url(entry),
            "bookings",
            "confirm",
            {"reference": self.reference},
            self.key,
        )

    async def runs(self):
        counts = await self.running.counts(SERVICE)
        return counts["runs"].get(self.reference, 0)

    async def until_run(self):
        async def ran():
            return await self.runs() == 1

        await self.running.until(ran)


def test_a_call_passed_on_to_a_peer_is_answered_before_the_entry_ends(running, go):
    """A call under another entry's ticket, at an entry that is told to leave.

    A customer books under a ticket; the entry it comes to passes it on to the
    one that minted the ticket, and is replaced meanwhile. It counts only what
    it runs itself, believes that nothing is left to do, and ends: the
    connection breaks, though the booking is made.
    """

    async def run():
        await running.wait_ready()
        await running.fault(SERVICE, delay=CALL_SECONDS)
        booking = Booking(running, "passed-on")
        await booking.mint("entry-2")
        sending = asyncio.create_task(booking.send("entry-1"))
        await booking.until_run()
        leaving = running.process_by_name["entry-1"]
        leaving.send_signal(signal.SIGTERM)
        return await sending, await leaving.wait(), await booking.runs()

    reply, code, runs = go(run())
    assert (reply.status, reply.value.get("reference")) == (200, "passed-on")
    assert (code, runs) == (0, 1)
