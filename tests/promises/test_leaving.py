"""A leaving engine gets no new work, and a leaving entry cuts off no answer.

Entries that don't learn that an engine is leaving keep sending it prompts, which are
cut off when it stops. An entry that exits too early cuts off the answers it forwards.
"""

import asyncio
import signal

import pytest
import pytest_bdd

from sesamespindle.lab import answers, caller, fleet

pytest_bdd.scenarios("leaving.feature")

TOKENS = 200


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(
        store_hosts=0,
        services=0,
        engine_options=["--decode-interval", "0.02"],
        settings={"policy": {"suspect_after": "1500 ms", "grant_lifetime": "3 s"}},
    )


async def reset_fleet(running_fleet):
    await running_fleet.fault("platform", away=False, hosts_frozen=False)
    for name in running_fleet.entry_names:
        if not running_fleet.process_by_name[name].running:
            await running_fleet.start_entry(name, "kgl-1")
    for name in running_fleet.names_of("engine"):
        if running_fleet.process_by_name[name].running:
            await running_fleet.process_by_name[name].kill()
        await running_fleet.restart_target(name)
    await running_fleet.wait_ready()


@pytest_bdd.when(pytest_bdd.parsers.parse("an engine {leaves} while {state}"))
def engine_leaves(running_fleet, go, seen, leaves, state):
    async def run():
        await reset_fleet(running_fleet)
        seen["engine"] = "glossary-2"
        await running_fleet.fault(
            "platform", away="unavailable" in state, hosts_frozen="frozen" in state
        )
        if leaves == "is drained by an operator":
            code, output = await running_fleet.cli("drain", seen["engine"])
            assert code == 0, output
        else:
            await running_fleet.fault(seen["engine"], leaving=True)

    go(run())


@pytest_bdd.then("every entry soon stops sending it new work")
def no_new_work(running_fleet, go, seen):
    async def is_unusable_everywhere():
        for name in running_fleet.entry_names:
            status = await running_fleet.status(name)
            row = next(
                item for item in status["targets"] if item["name"] == seen["engine"]
            )
            if row["usable"]:
                return False
        return True

    async def run():
        await running_fleet.until(is_unusable_everywhere)
        before = await running_fleet.counts(seen["engine"])
        user = caller.Caller(running_fleet.session, fleet.demo_key("interpreters"))
        replies = await asyncio.gather(
            *(
                user.complete(
                    running_fleet.url(name), "glossary", f"{name} {number}", 2
                )
                for name in running_fleet.entry_names
                for number in range(10)
            )
        )
        after = await running_fleet.counts(seen["engine"])
        return replies, before.get("received", 0), after.get("received", 0)

    replies, before, after = go(run())
    assert [reply.value for reply in replies if reply.status != 200] == []
    assert after == before


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "an entry with 20 answers in flight is told to leave {how}"
    )
)
def entry_leaves(running_fleet, go, seen, how):
    async def run():
        await reset_fleet(running_fleet)
        user = caller.Caller(running_fleet.session, fleet.demo_key("interpreters"))
        first_token_received = asyncio.Event()

        async def note_token(streamed):
            first_token_received.set()

        url = running_fleet.url("entry-1")
        sending = [
            asyncio.create_task(
                user.stream(
                    url, "glossary", f"Answer {number}.", TOKENS, watch=note_token
                )
            )
            for number in range(20)
        ]
        await first_token_received.wait()
        await running_fleet.fault("platform", away="unavailable" in how)
        leaving = running_fleet.process_by_name["entry-1"]
        leaving.send_signal(signal.SIGTERM)
        if how == "twice":
            leaving.send_signal(signal.SIGTERM)

        async def is_unlisted():
            for name in ("entry-2", "entry-3"):
                reply = await user.get(f"{running_fleet.url(name)}/v1/entries")
                if "entry-1" in [entry["name"] for entry in reply.value["entries"]]:
                    return False
            return True

        await running_fleet.until(is_unlisted)
        seen["is_unlisted"] = True
        seen["streams"] = await asyncio.gather(*sending)
        seen["code"] = await leaving.wait()

    go(run())


@pytest_bdd.then("every answer is whole")
def answers_are_whole(seen):
    for number, streamed in enumerate(seen["streams"]):
        assert streamed.refusal is None
        assert streamed.text == answers.expected(f"Answer {number}.", TOKENS)
        assert streamed.whole


@pytest_bdd.then("the other entries no longer list it")
def is_unlisted(seen):
    assert seen["is_unlisted"]


@pytest_bdd.then("its process exits by itself")
def exits_by_itself(seen):
    assert seen["code"] == 0
