"""A prompt that crashes engines is quarantined before it has crashed all of them.

Each retry of such a prompt, at any entry, would crash one more engine, until none is
left for other prompts.
"""

import asyncio

import pytest
import pytest_bdd

from sesamespindle.lab import caller, fleet

pytest_bdd.scenarios("crashing_prompts.feature")

ACCOUNT = "training"
CRASHING_PROMPT = "crashes engines"
ENGINES = 5
_RETRY_INTERVAL_SECONDS = 0.05


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(engines=ENGINES, store_hosts=0, services=0, data_centres=1)


@pytest.fixture
def user(running_fleet):
    return caller.Caller(running_fleet.session, fleet.demo_key(ACCOUNT))


def running_engines(running_fleet):
    names = running_fleet.names_of("engine")
    return [name for name in names if running_fleet.process_by_name[name].running]


async def send_to_every_entry(running_fleet, user, prompt):
    urls = [running_fleet.url(name) for name in running_fleet.entry_names]
    return [await user.complete(url, "glossary", prompt, 5) for url in urls]


@pytest_bdd.when("a prompt that crashes engines is sent to every entry repeatedly")
def send_repeatedly(running_fleet, user, go, seen):
    async def run():
        for name in running_fleet.names_of("engine"):
            await running_fleet.fault(name, crashed_by=CRASHING_PROMPT)
        replies = []
        async with asyncio.timeout(30):
            while not replies or {reply.code for reply in replies} != {"quarantined"}:
                replies = await send_to_every_entry(
                    running_fleet, user, CRASHING_PROMPT
                )
                await asyncio.sleep(_RETRY_INTERVAL_SECONDS)
        return replies

    seen["replies"] = go(run())


@pytest_bdd.then("three engines have crashed")
def three_have_crashed(running_fleet):
    # A prompt is quarantined from its third crash on.
    assert len(running_engines(running_fleet)) == ENGINES - 3


@pytest_bdd.then("every entry refuses the prompt as not run")
def prompt_is_refused(running_fleet, seen):
    replies = seen["replies"]
    assert len(replies) == len(running_fleet.entry_names)
    assert {reply.status for reply in replies} == {503}
    assert {reply.outcome for reply in replies} == {"not_run"}


@pytest_bdd.then("other prompts are served")
def others_are_served(running_fleet, user, go):
    replies = go(send_to_every_entry(running_fleet, user, "Another prompt."))
    assert {reply.status for reply in replies} == {200}
