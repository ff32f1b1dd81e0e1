"""KV cache blocks of one weight version are not reused for another version.

After an engine has swapped its weights, reused blocks of the old weights would give
wrong answers, and nothing would show that they are wrong.
"""

import asyncio

import pytest
import pytest_bdd

from sesamespindle.lab import answers, caller, fleet

pytest_bdd.scenarios("weight_versions.feature")

ENGINE = "glossary-1"
PROMPT = "A context that returns. " * 200
TOKENS = 60


@pytest.fixture(scope="module")
def running(start_fleet):
    return start_fleet(
        entries=1,
        engines=1,
        store_hosts=0,
        services=0,
        engine_options=["--decode-interval", "0.02"],
    )


def read(running, tokens, watch=None):
    user = caller.Caller(running.session, fleet.demo_key("interpreters"))
    return user.stream(running.url("entry-1"), "glossary", PROMPT, tokens, watch=watch)


def reused(streamed):
    return streamed.usage["prompt_tokens_details"]["cached_tokens"]


@pytest_bdd.when("an engine swaps its weights while an answer is in flight")
def swap(running, go, seen):
    async def run():
        begun = asyncio.Event()

        async def note(streamed):
            begun.set()

        reading = asyncio.create_task(read(running, TOKENS, note))
        await begun.wait()
        await running.post(ENGINE, "/version", {"version": "2026-12"})

        async def is_reported():
            status = await running.status("entry-1")
            versions = {item["name"]: item["version"] for item in status["targets"]}
            return versions[ENGINE] == "2026-12"

        await running.until(is_reported)
        seen["new"] = await read(running, 4)
        seen["repeat"] = await read(running, 4)
        seen["under_way"] = await reading

    go(run())


@pytest_bdd.then("the answer in flight is whole")
def answer_is_whole(seen):
    assert seen["under_way"].text == answers.expected(PROMPT, TOKENS)
    assert seen["under_way"].whole


@pytest_bdd.then("a new request with the same context reuses nothing")
def nothing_reused(seen):
    assert seen["new"].whole
    assert reused(seen["new"]) == 0


@pytest_bdd.then("its repeat reuses the new version's blocks")
def repeat_reuses(seen):
    assert reused(seen["repeat"]) > 1000
