"""Graceful shutdown: what a daemon that leaves still does for its callers."""

import asyncio
import signal

import pytest

from sesamespindle.lab import caller, fleet

SERVICE = "bookings-1"
# Longer than an idle entry takes to leave: 1.5 s until it counts as idle, 0.3 s for its
# last gossip and the second that the HTTP library gives its handlers.
CALL_SECONDS = 4.0


@pytest.fixture(scope="module")
def running(start_fleet):
    return start_fleet(engines=1, store_hosts=0)


class Booking:
    """A call that books something at a service.

    Parameters
    ----------
    running : fleet.Fleet
        The fleet that serves the call.
    reference : str
        Identifies the booking, so that its runs can be counted.
    key : str
        The idempotency key or ticket.
    """

    def __init__(self, running, reference, key=""):
        self.running = running
        self.reference = reference
        self.key = key
        self.caller = caller.Caller(running.session, fleet.demo_key("bookings-desk"))

    async def mint(self, entry):
        """Get a ticket from an entry and use it as the key."""
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

    async def wait_until_run(self):
        async def ran():
            return await self.runs() == 1

        await self.running.until(ran)


def test_a_leaving_entry_waits_for_a_call_that_it_forwarded_to_a_peer(running, go):
    """An entry that leaves drops the answer of a call that it has forwarded to a peer.

    The call's ticket was minted by the peer, so the entry forwards the call and then
    leaves. If it counts only calls that it runs itself, it ends at once: the caller's
    connection breaks although the booking is made.
    """

    async def run():
        await running.wait_ready()
        await running.fault(SERVICE, delay=CALL_SECONDS)
        booking = Booking(running, "passed-on")
        await booking.mint("entry-2")
        sending = asyncio.create_task(booking.send("entry-1"))
        await booking.wait_until_run()
        leaving = running.process_by_name["entry-1"]
        leaving.send_signal(signal.SIGTERM)
        return await sending, await leaving.wait(), await booking.runs()

    reply, code, runs = go(run())
    assert (reply.status, reply.value.get("reference")) == (200, "passed-on")
    assert (code, runs) == (0, 1)


def test_a_leaving_entry_refuses_calls_that_may_outlast_it(running, go):
    """An entry that leaves accepts calls that don't finish within its grace time.

    The entry still waits for the answer of an earlier call. New calls arrive directly,
    forwarded by a peer, and to be forwarded to a peer. The service is slow, so when the
    grace time ends these calls would be cut off, and whether they ran is unknown.
    """

    async def run():
        await running.start_entry("entry-4", "kgl-1", shutdown_grace="6 s")
        await running.fault(SERVICE, delay=CALL_SECONDS)
        in_flight, direct, forwarded_to_it, forwarded_by_it = (
            Booking(running, reference)
            for reference in ("first", "direct", "to-it", "by-it")
        )
        leaving = running.process_by_name["entry-4"]

        async def is_known():
            status = await running.status("entry-2")
            return "entry-4" in [
                item["name"] for item in status["entries"] if item["state"] == "live"
            ]

        async def is_leaving():
            reply = await direct.caller.get(f"{running.url('entry-4')}/readyz")
            return reply.value["leaving"]

        await running.wait_ready(["entry-4"])
        await running.until(is_known)
        await forwarded_to_it.mint("entry-4")
        await forwarded_by_it.mint("entry-2")
        sending = asyncio.create_task(in_flight.send("entry-4"))
        await in_flight.wait_until_run()
        leaving.send_signal(signal.SIGTERM)
        await running.until(is_leaving)
        await running.fault(SERVICE, hold=True)
        replies = await asyncio.gather(
            direct.send("entry-4"),
            forwarded_to_it.send("entry-2"),
            forwarded_by_it.send("entry-4"),
        )
        first = await sending
        code = await leaving.wait()
        await running.fault(SERVICE, hold=False)
        late = (direct, forwarded_to_it, forwarded_by_it)
        return first, replies, [await booking.runs() for booking in late], code

    first, replies, runs, code = go(run())
    assert (first.status, code) == (200, 0)
    assert [(reply.code, reply.outcome) for reply in replies] == [
        ("shutting_down", "not_run")
    ] * 3
    assert replies[0].headers.get("Connection") == "close"
    assert runs == [0, 0, 0]


def test_a_leaving_entry_closes_connections_after_streamed_answers(running, go):
    """A caller keeps using its connection to a leaving entry until the process ends.

    If a streamed answer doesn't tell the caller to close the connection, as other
    answers and refusals do, its next request fails when the process ends.
    """

    async def run():
        await running.start_entry("entry-5", "kgl-1")
        await running.wait_ready(["entry-5"])
        in_flight = Booking(running, "holds-it")
        leaving = running.process_by_name["entry-5"]

        async def is_leaving():
            reply = await in_flight.caller.get(f"{running.url('entry-5')}/readyz")
            return reply.value["leaving"]

        before = await stream_headers(running, "entry-5")
        await running.fault(SERVICE, hold=True)
        sending = asyncio.create_task(in_flight.send("entry-5"))
        await in_flight.wait_until_run()
        leaving.send_signal(signal.SIGTERM)
        await running.until(is_leaving)
        after = await stream_headers(running, "entry-5")
        await running.fault(SERVICE, hold=False)
        await sending
        return before, after, await leaving.wait()

    before, after, code = go(run())
    assert before.get("Connection") != "close"
    assert after.get("Connection") == "close"
    assert code == 0


async def stream_headers(running, entry):
    """Return the headers of a streamed answer that is read to its end."""
    async with running.session.post(
        f"{running.url(entry)}/v1/completions",
        json={"model": "glossary", "prompt": "x", "max_tokens": 2, "stream": True},
        headers={"Authorization": f"Bearer {fleet.demo_key('interpreters')}"},
    ) as response:
        assert response.status == 200
        assert (await response.text()).endswith("data: [DONE]\n\n")
        return response.headers
