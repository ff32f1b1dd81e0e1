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
def running(start_fleet):
    return start_fleet(
        store_hosts=0,
        services=0,
        engine_options=["--decode-interval", "0.02"],
        settings={"policy": {"suspect_after": "1500 ms", "grant_lifetime": "3 s"}},
    )


async def settle(running):
    await running.fault("platform", away=False, hosts_frozen=False)
    for name in running.entry_names:
        if not running.process_by_name[name].running:
            await running.start_entry(name, "kgl-1")
    for name in running.names_of("engine"):
        if running.process_by_name[name].running:
            await running.process_by_name[name].kill()
        await running.restart_target(name)
    await running.wait_ready()


@pytest_bdd.when(pytest_bdd.parsers.parse("an engine {leaves} while {state}"))
def engine_leaves(running, go, seen, leaves, state):
    async def run():
        await settle(running)
        seen["engine"] = "glossary-2"
        await running.fault(
            "platform", away="unavailable" in state, hosts_frozen="frozen" in state
        )
        if leaves == "is drained by an operator":
            code, output = await running.cli("drain", seen["engine"])
            assert code == 0, output
        else:
            await running.fault(seen["engine"], leaving=True)

    go(run())


@pytest_bdd.then("every entry soon stops sending it new work")
def no_new_work(running, go, seen):
    async def known_everywhere():
        for name in running.entry_names:
            status = await running.status(name)
            row = next(
                item for item in status["targets"] if item["name"] == seen["engine"]
            )
            if row["usable"]:
                return False
        return True

    async def run():
        await running.until(known_everywhere)
        before = await running.counts(seen["engine"])
        user = caller.Caller(running.session, fleet.demo_key("interpreters"))
        replies = await asyncio.gather(
            *(
                user.complete(running.url(name), "glossary", f"{name} {number}", 2)
                for name in running.entry_names
                for number in range(10)
            )
        )
        after = await running.counts(seen["engine"])
        return replies, before.get("received", 0), after.get("received", 0)

    replies, before, after = go(run())
    assert [reply.value for reply in replies if reply.status != 200] == []
    assert after == before


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "an entry with 20 answers in flight is told to leave {how}"
    )
)
def entry_leaves(running, go, seen, how):
    async def run():
        await settle(running)
        user = caller.Caller(running.session, fleet.demo_key("interpreters"))
        under_way = asyncio.Event()

        async def note(streamed):
            under_way.set()

        url = running.url("entry-1")
        sending = [
            asyncio.create_task(
                user.stream(url, "glossary", f"Answer {number}.", TOKENS, watch=note)
            )
            for number in range(20)
        ]
        await under_way.wait()
        await running.fault("platform", away="unavailable" in how)
        leaving = running.process_by_name["entry-1"]
        leaving.send_signal(signal.SIGTERM)
        if how == "twice":
            leaving.send_signal(signal.SIGTERM)

        async def left_out():
            for name in ("entry-2", "entry-3"):
                reply = await user.get(f"{running.url(name)}/v1/entries")
                if "entry-1" in [entry["name"] for entry in reply.value["entries"]]:
                    return False
            return True

        await running.until(left_out)
        seen["left_out"] = True
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
def left_out(seen):
    assert seen["left_out"]


@pytest_bdd.then("its process exits by itself")
def ended(seen):
    assert seen["code"] == 0
