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
def running_fleet(start_fleet):
    return start_fleet(
        entries=1,
        engines=1,
        store_hosts=0,
        services=0,
        engine_options=["--decode-interval", "0.02"],
    )


def stream_prompt(running_fleet, tokens, watch=None):
    user = caller.Caller(running_fleet.session, fleet.demo_key("interpreters"))
    return user.stream(
        running_fleet.url("entry-1"), "glossary", PROMPT, tokens, watch=watch
    )


def reused_tokens(streamed):
    return streamed.usage["prompt_tokens_details"]["cached_tokens"]


@pytest_bdd.when("an engine swaps its weights while an answer is in flight")
def swap_weights(running_fleet, go, seen):
    async def run():
        first_token_received = asyncio.Event()

        async def note_token(streamed):
            first_token_received.set()

        in_flight = asyncio.create_task(
            stream_prompt(running_fleet, TOKENS, note_token)
        )
        await first_token_received.wait()
        await running_fleet.post(ENGINE, "/version", {"version": "2026-12"})

        async def is_reported():
            status = await running_fleet.status("entry-1")
            versions = {item["name"]: item["version"] for item in status["targets"]}
            return versions[ENGINE] == "2026-12"

        await running_fleet.until(is_reported)
        seen["new"] = await stream_prompt(running_fleet, 4)
        seen["repeat"] = await stream_prompt(running_fleet, 4)
        seen["in_flight"] = await in_flight

    go(run())


@pytest_bdd.then("the answer in flight is whole")
def answer_is_whole(seen):
    assert seen["in_flight"].text == answers.expected(PROMPT, TOKENS)
    assert seen["in_flight"].whole


@pytest_bdd.then("a new request with the same context reuses nothing")
def nothing_reused(seen):
    assert seen["new"].whole
    assert reused_tokens(seen["new"]) == 0


@pytest_bdd.then("its repeat reuses the new version's blocks")
def repeat_reuses(seen):
    assert reused_tokens(seen["repeat"]) > 1000
