"""A call runs at most once, and a caller who is told "not run" can rely on it.

A retry after a broken connection, a killed entry or a lost answer could book twice, or
a caller could be told "not run" about a booking that ran.
"""

import asyncio
import itertools
import signal
import time

import pytest
import pytest_bdd

from sesamespindle.lab import caller, fleet

pytest_bdd.scenarios("at_most_once.feature")

SERVICE = "bookings-1"
CALL_SECONDS = 2.0
_reference_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(
        engines=0,
        store_hosts=0,
        proxied=frozenset({SERVICE}),
        settings={
            "policy": {
                "call_timeout": f"{CALL_SECONDS} s",
                "suspect_after": "1500 ms",
                "grant_lifetime": "3 s",
            },
            "platform_timeout": "10 s",
        },
    )


class Booking:
    """One booking under test: its reference, its key and the replies to it.

    Attributes
    ----------
    key : str
        Idempotency key of the call: the caller's own key or a ticket.
    reply : caller.Reply or None
        Reply to the first send.
    replies : list
        Replies to the sends to several entries, or a second booking of the scenario.
    repeat : caller.Reply or None
        Reply to the last repeat with the same key.
    """

    def __init__(self, running_fleet):
        self.running_fleet = running_fleet
        self.reference = f"booking-{next(_reference_numbers)}"
        self.key = f"key-of-{self.reference}"
        self.caller = caller.Caller(
            running_fleet.session, fleet.demo_key("bookings-desk")
        )
        self.reply = None
        self.replies = []
        self.repeat = None

    async def send(self, entry="entry-1"):
        return await self.caller.call(
            self.running_fleet.url(entry),
            "bookings",
            "confirm",
            {"reference": self.reference, "padding": "x" * 100_000},
            self.key,
        )

    async def runs(self):
        """Return how often the service ran this booking, by its own count."""
        counts = await self.running_fleet.counts(SERVICE)
        return counts["runs"].get(self.reference, 0)

    async def wait_until_claimed(self, writes_before):
        """Wait until the platform counts more claim writes than `writes_before`."""

        async def claimed():
            counts = await self.running_fleet.counts("platform")
            return counts.get("claims", 0) > writes_before

        await self.running_fleet.until(claimed)

    async def wait_until_run(self):
        async def ran():
            return await self.runs() == 1

        await self.running_fleet.until(ran)

    async def claim_writes(self):
        """Return how many writes of claims the platform has counted."""
        return (await self.running_fleet.counts("platform")).get("claims", 0)


@pytest.fixture
def booking(running_fleet):
    return Booking(running_fleet)


async def kill_and_replace(running_fleet, name):
    data_centre = (await running_fleet.status(name))["data_centre"]
    await running_fleet.process_by_name[name].kill()
    return data_centre


@pytest_bdd.given("a fleet whose service is behind a proxy")
def fleet_is_running(running_fleet, go):
    async def reset_fleet():
        await running_fleet.fault(
            "platform", away=False, hold_claims=False, lose_answers=0
        )
        await running_fleet.fault(SERVICE, hold=False)
        await running_fleet.proxy_fault(SERVICE, mode="pass", cut_after_bytes=0)
        for name in running_fleet.entry_names:
            if not running_fleet.process_by_name[name].running:
                await running_fleet.start_entry(name, "kgl-1")
        await running_fleet.wait_ready()

    go(reset_fleet())


@pytest_bdd.when(
    "the entry is killed between claim and dispatch of a booking with a key"
)
def kill_after_claim(running_fleet, booking, go):
    async def run():
        writes_before = await booking.claim_writes()
        await running_fleet.fault("platform", hold_claims=True)
        sending = asyncio.create_task(booking.send())
        await booking.wait_until_claimed(writes_before)
        await running_fleet.process_by_name["entry-1"].kill()
        await running_fleet.fault("platform", hold_claims=False)
        booking.reply = await sending

    go(run())


@pytest_bdd.when(
    "the entry is killed between dispatch and answer of a booking with a key"
)
def kill_after_dispatch(running_fleet, booking, go):
    async def run():
        await running_fleet.fault(SERVICE, hold=True)
        sending = asyncio.create_task(booking.send())
        await booking.wait_until_run()
        await running_fleet.process_by_name["entry-1"].kill()
        await running_fleet.fault(SERVICE, hold=False)
        booking.reply = await sending

    go(run())


@pytest_bdd.when("the entry is killed after the answer of a booking with a key")
def kill_after_answer(running_fleet, booking, go):
    async def run():
        writes_before = await booking.claim_writes()
        booking.reply = await booking.send()
        # Two writes count as claims: the claim itself and its settlement.
        await booking.wait_until_claimed(writes_before + 1)
        await running_fleet.process_by_name["entry-1"].kill()

    go(run())


@pytest_bdd.when("the booking is repeated with the same key at another entry")
def repeat_elsewhere(running_fleet, booking, go):
    async def entry_is_dead():
        status = await running_fleet.status("entry-2")
        states = {item["name"]: item["state"] for item in status["entries"]}
        return states.get("entry-1") != "live"

    async def run():
        await running_fleet.until(entry_is_dead)
        booking.repeat = await booking.send("entry-2")
        while booking.repeat.code == "still_running":
            booking.repeat = await booking.send("entry-2")

    go(run())


@pytest_bdd.then(pytest_bdd.parsers.parse("the repeat is answered with {answer}"))
def repeat_is_answered(booking, answer):
    if answer == "the first run":
        assert booking.repeat.value == booking.reply.value
        assert booking.repeat.headers["Idempotent-Replayed"] == "true"
    else:
        assert (booking.repeat.code, booking.repeat.outcome) == (answer, "unknown")


@pytest_bdd.then(
    pytest_bdd.parsers.parse("the service ran the booking {count:d} times")
)
def service_ran(booking, go, count):
    assert go(booking.runs()) == count


@pytest_bdd.when(
    "the entry is frozen past the call's deadline before the claim is answered"
)
def freeze_past_deadline(running_fleet, booking, go):
    async def run():
        writes_before = await booking.claim_writes()
        await running_fleet.fault("platform", hold_claims=True)
        sending = asyncio.create_task(booking.send())
        await booking.wait_until_claimed(writes_before)
        entry = running_fleet.process_by_name["entry-1"]
        entry.send_signal(signal.SIGSTOP)
        stopped_at = time.monotonic()
        await running_fleet.fault("platform", hold_claims=False)

        async def deadline_has_passed():
            return time.monotonic() > stopped_at + CALL_SECONDS

        await running_fleet.until(deadline_has_passed)
        entry.send_signal(signal.SIGCONT)
        booking.reply = await sending

    go(run())


@pytest_bdd.when(pytest_bdd.parsers.parse("the link to the service is cut {where}"))
def cut_link(running_fleet, booking, go, where):
    async def run():
        match where:
            case "before the request":
                await running_fleet.proxy_fault(SERVICE, mode="refuse")
            case "inside the request":
                await running_fleet.proxy_fault(SERVICE, cut_after_bytes=50_000)
            case "after the request":
                await running_fleet.fault(SERVICE, cut_after=1)
            case "inside the answer":
                await running_fleet.fault(SERVICE, cut_inside=1)
        booking.reply = await booking.send()

    go(run())


@pytest_bdd.then(
    pytest_bdd.parsers.parse("the booking is answered with {code} and {outcome}")
)
def booking_is_answered(booking, code, outcome):
    assert (booking.reply.code, booking.reply.outcome) == (code, outcome)


@pytest_bdd.when("the platform's answer to the claim is lost")
def lose_claim_answer(running_fleet, booking, go):
    async def run():
        await running_fleet.fault("platform", lose_answers=1)
        booking.reply = await booking.send()

    go(run())


@pytest_bdd.when("the platform's answer to the claim is lost in an outage")
def lose_claim_answer_in_outage(running_fleet, booking, go):
    async def run():
        writes_before = await booking.claim_writes()
        await running_fleet.fault("platform", hold_claims=True)
        sending = asyncio.create_task(booking.send())
        await booking.wait_until_claimed(writes_before)
        await running_fleet.fault(
            "platform", away=True, lose_answers=1, hold_claims=False
        )
        booking.reply = await sending

    go(run())


@pytest_bdd.when(
    "the platform is available again and the booking is repeated until answered"
)
def repeat_until_answered(running_fleet, booking, go):
    async def run():
        await running_fleet.fault("platform", away=False, lose_answers=0)

        async def answered():
            booking.repeat = await booking.send("entry-2")
            return booking.repeat.status == 200

        await running_fleet.until(answered)

    go(run())


@pytest_bdd.then("the booking is answered by the service")
def answered_by_service(booking):
    assert (booking.reply.status, booking.reply.value["run"]) == (200, 1)


@pytest_bdd.when("the same booking is sent to all entries at once")
def send_everywhere(running_fleet, booking, go):
    async def run():
        sending = (booking.send(name) for name in running_fleet.entry_names)
        booking.replies = await asyncio.gather(*sending)

    go(run())


@pytest_bdd.then(
    "every answer is the first run's or says that the booking is still running"
)
def answers_are_of_one_run(booking):
    assert len(booking.replies) == 3
    answered = [reply for reply in booking.replies if reply.status == 200]
    others = [reply for reply in booking.replies if reply.status != 200]
    assert answered
    assert {reply.value["run"] for reply in answered} == {1}
    assert {(reply.code, reply.outcome) for reply in others} <= {
        ("still_running", "unknown")
    }


@pytest_bdd.when(
    "the platform is unavailable and one booking has a ticket and one a key"
)
def book_without_platform(running_fleet, booking, go):
    async def run():
        await running_fleet.fault("platform", away=True)
        ticketed = Booking(running_fleet)
        ticketed.key = await ticketed.caller.ticket(running_fleet.url("entry-1"))
        ticketed.reply = await ticketed.send("entry-1")
        booking.replies = [ticketed]
        booking.reply = await booking.send("entry-1")

    go(run())


@pytest_bdd.then(
    "the booking with the ticket ran once, and the other was refused as not run"
)
def only_ticket_booking_ran(booking, go):
    (ticketed,) = booking.replies
    assert ticketed.reply.status == 200
    assert go(ticketed.runs()) == 1
    assert (booking.reply.code, booking.reply.outcome) == ("platform_away", "not_run")
    assert float(booking.reply.headers["Retry-After"]) > 0
    assert go(booking.runs()) == 0


@pytest_bdd.when("a booking with a ticket is sent to all entries at once")
def send_ticket_everywhere(running_fleet, booking, go):
    async def run():
        booking.key = await booking.caller.ticket(running_fleet.url("entry-2"))
        sending = (booking.send(name) for name in running_fleet.entry_names)
        booking.replies = await asyncio.gather(*sending)

    go(run())


async def kill_entry_during_ticket_call(running_fleet, booking):
    booking.key = await booking.caller.ticket(running_fleet.url("entry-1"))
    await running_fleet.fault(SERVICE, hold=True)
    sending = asyncio.create_task(booking.send("entry-1"))
    await booking.wait_until_run()
    await running_fleet.process_by_name["entry-1"].kill()
    await running_fleet.fault(SERVICE, hold=False)
    booking.reply = await sending


@pytest_bdd.when("the entry is killed while a booking with a ticket runs")
def kill_entry_that_minted_ticket(running_fleet, booking, go):
    go(kill_entry_during_ticket_call(running_fleet, booking))


@pytest_bdd.when(
    "the platform becomes unavailable and the entry that minted a ticket is killed"
)
def kill_during_outage(running_fleet, booking, go):
    async def run():
        await running_fleet.fault("platform", away=True)
        await kill_entry_during_ticket_call(running_fleet, booking)

    go(run())


@pytest_bdd.then(
    "a repeat of its booking is unknown, and a booking with a new ticket runs once"
)
def tickets_work_in_outage(running_fleet, booking, go):
    async def run():
        booking.repeat = await booking.send("entry-2")
        fresh = Booking(running_fleet)
        fresh.key = await fresh.caller.ticket(running_fleet.url("entry-2"))
        reply = await fresh.send("entry-3")
        return reply.status, await fresh.runs()

    assert go(run()) == (200, 1)
    assert (booking.repeat.code, booking.repeat.outcome) == ("entry_gone", "unknown")
    assert go(booking.runs()) == 1
