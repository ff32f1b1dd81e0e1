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
LEFT = 150


@pytest.fixture(scope="module")
def running(start_fleet):
    return start_fleet(
        engines=1,
        store_hosts=0,
        services=0,
        data_centres=1,
        engine_options=["--unread-window", "1.0", "--decode-interval", "0.02"],
        settings={"policy": {"suspect_after": "1500 ms", "grant_lifetime": "3 s"}},
    )


async def send_without_end(running, numbers):
    """Send one prompt after another, each to the next entry, until cancelled."""
    user = caller.Caller(running.session, fleet.demo_key(ACCOUNT))
    while True:
        number = next(numbers)
        entry = running.entry_names[number % len(running.entry_names)]
        await user.complete(running.url(entry), "glossary", f"Prompt {number}.", 20)
        await asyncio.sleep(0.02)


async def until_full(running):
    async def is_full():
        counts = await running.counts(ENGINE)
        return counts["running_by_account"].get(ACCOUNT, 0) == LIMIT

    await running.until(is_full)


@pytest_bdd.when(
    "training sends prompts continuously while entries are killed and replaced"
)
def rush(running, go, seen):
    async def run():
        numbers = itertools.count()
        sending = [
            asyncio.create_task(send_without_end(running, numbers))
            for _ in range(CALLERS)
        ]
        await until_full(running)
        for name in ("entry-1", "entry-2"):
            await running.process_by_name[name].kill()
            await running.start_entry(name, "kgl-1")
            await running.wait_ready()
        await until_full(running)
        seen["is_full"] = True
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        seen["counts"] = await running.counts(ENGINE)

    go(run())


async def send_and_leave(running, numbers):
    """Send one prompt after another and disconnect during each answer."""
    user = caller.Caller(running.session, fleet.demo_key(ACCOUNT))
    while True:
        number = next(numbers)
        entry = running.entry_names[number % len(running.entry_names)]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.1 + 0.01 * (number % 20)):
                await user.complete(
                    running.url(entry), "glossary", f"Left {number}.", 20
                )


@pytest_bdd.when("callers of training disconnect before their answers are whole")
def leave_early(running, go, seen):
    async def run():
        before = (await running.counts(ENGINE)).get("received", 0)
        numbers = itertools.count()
        sending = [
            asyncio.create_task(send_and_leave(running, numbers))
            for _ in range(CALLERS)
        ]

        async def many_were_sent():
            counts = await running.counts(ENGINE)
            return counts.get("received", 0) >= before + LEFT

        await running.until(many_were_sent)
        seen["counts"] = await running.counts(ENGINE)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)

    go(run())


@pytest_bdd.then("the engine never ran more than 8 of its prompts at once")
def limit_was_kept(seen):
    assert seen["counts"]["most_by_account"][ACCOUNT] == LIMIT


@pytest_bdd.then("the account can use its whole contract again")
def is_full(seen):
    assert seen["is_full"]
