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
MARK = "crashes engines"
ENGINES = 5
_PAUSE_SECONDS = 0.05


@pytest.fixture(scope="module")
def running(start_fleet):
    return start_fleet(engines=ENGINES, store_hosts=0, services=0, data_centres=1)


@pytest.fixture
def user(running):
    return caller.Caller(running.session, fleet.demo_key(ACCOUNT))


def living(running):
    names = running.names_of("engine")
    return [name for name in names if running.process_by_name[name].running]


async def ask_everywhere(running, user, prompt):
    urls = [running.url(name) for name in running.entry_names]
    return [await user.complete(url, "glossary", prompt, 5) for url in urls]


@pytest_bdd.when("a prompt that crashes engines is sent to every entry repeatedly")
def repeat(running, user, go, seen):
    async def run():
        for name in running.names_of("engine"):
            await running.fault(name, crashed_by=MARK)
        replies = []
        async with asyncio.timeout(30):
            while not replies or {reply.code for reply in replies} != {"quarantined"}:
                replies = await ask_everywhere(running, user, MARK)
                await asyncio.sleep(_PAUSE_SECONDS)
        return replies

    seen["replies"] = go(run())


@pytest_bdd.then("three engines have crashed")
def three_ended(running):
    assert len(living(running)) == ENGINES - 3


@pytest_bdd.then("every entry refuses the prompt as not run")
def refused(running, seen):
    replies = seen["replies"]
    assert len(replies) == len(running.entry_names)
    assert {reply.status for reply in replies} == {503}
    assert {reply.outcome for reply in replies} == {"not_run"}


@pytest_bdd.then("other prompts are served")
def others_are_served(running, user, go):
    replies = go(ask_everywhere(running, user, "Another prompt."))
    assert {reply.status for reply in replies} == {200}
