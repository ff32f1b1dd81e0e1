"""Engines never run more prompts of an account than its contract allows.

Entries share an account's limit in slices. A slice that is granted again too early, or
a slot that is reused too early, lets the engine run more prompts than the limit.
"""

import asyncio
import contextlib
import itertools

import pytest
import pytest_bdd

from sesamespindle.lab import caller, fleet

pytest_bdd.scenarios("limits.feature")

ACCOUNT = "training"
LIMIT = 8
CALLERS = 24
ENGINE = "glossary-1"
# The engine's counts are read after it has received this many prompts whose callers
# disconnect early.
DISCONNECTED_PROMPTS = 150


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(
        engines=1,
        store_hosts=0,
        services=0,
        data_centres=1,
        engine_options=["--unread-window", "1.0", "--decode-interval", "0.02"],
        settings={"policy": {"suspect_after": "1500 ms", "grant_lifetime": "3 s"}},
    )


async def send_continuously(running_fleet, numbers):
    """Send one prompt after another, each to the next entry, until cancelled."""
    user = caller.Caller(running_fleet.session, fleet.demo_key(ACCOUNT))
    while True:
        number = next(numbers)
        entry = running_fleet.entry_names[number % len(running_fleet.entry_names)]
        await user.complete(
            running_fleet.url(entry), "glossary", f"Prompt {number}.", 20
        )
        await asyncio.sleep(0.02)


async def wait_until_limit_reached(running_fleet):
    async def limit_is_reached():
        counts = await running_fleet.counts(ENGINE)
        return counts["running_by_account"].get(ACCOUNT, 0) == LIMIT

    await running_fleet.until(limit_is_reached)


@pytest_bdd.when(
    "training sends prompts continuously while entries are killed and replaced"
)
def overload(running_fleet, go, seen):
    async def run():
        numbers = itertools.count()
        sending = [
            asyncio.create_task(send_continuously(running_fleet, numbers))
            for _ in range(CALLERS)
        ]
        await wait_until_limit_reached(running_fleet)
        for name in ("entry-1", "entry-2"):
            await running_fleet.process_by_name[name].kill()
            await running_fleet.start_entry(name, "kgl-1")
            await running_fleet.wait_ready()
        await wait_until_limit_reached(running_fleet)
        seen["is_full"] = True
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        seen["counts"] = await running_fleet.counts(ENGINE)

    go(run())


async def send_and_disconnect(running_fleet, numbers):
    """Send one prompt after another and disconnect during each answer."""
    user = caller.Caller(running_fleet.session, fleet.demo_key(ACCOUNT))
    while True:
        number = next(numbers)
        entry = running_fleet.entry_names[number % len(running_fleet.entry_names)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1 + 0.01 * (number % 20)):
                await user.complete(
                    running_fleet.url(entry), "glossary", f"Left {number}.", 20
                )


@pytest_bdd.when("callers of training disconnect before their answers are whole")
def disconnect_early(running_fleet, go, seen):
    async def run():
        before = (await running_fleet.counts(ENGINE)).get("received", 0)
        numbers = itertools.count()
        sending = [
            asyncio.create_task(send_and_disconnect(running_fleet, numbers))
            for _ in range(CALLERS)
        ]

        async def many_were_sent():
            counts = await running_fleet.counts(ENGINE)
            return counts.get("received", 0) >= before + DISCONNECTED_PROMPTS

        await running_fleet.until(many_were_sent)
        seen["counts"] = await running_fleet.counts(ENGINE)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    go(run())


@pytest_bdd.then("the engine never ran more than 8 of its prompts at once")
def limit_was_kept(seen):
    assert seen["counts"]["most_by_account"][ACCOUNT] == LIMIT


@pytest_bdd.then("the account can use its whole contract again")
def limit_is_reached(seen):
    assert seen["is_full"]
