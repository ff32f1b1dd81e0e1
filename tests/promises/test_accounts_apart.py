"""Isolation of client accounts from each other.

Without it, one account could read another's answers, learn its prompts from the speed
of the KV cache, use its tokens, or get its own prompts refused because of another's
load.
"""

import asyncio

import pytest
import pytest_bdd

from sesamespindle.lab import answers, caller, fleet

pytest_bdd.scenarios("accounts_apart.feature")

LONG_PROMPT = "The ministry's terms. " * 200
TOKENS = 8


@pytest.fixture
def running(shared_fleet):
    return shared_fleet


def caller_of(running, account):
    return caller.Caller(running.session, fleet.demo_key(account))


async def send(running, account, prompt):
    return await caller_of(running, account).complete(
        running.url("entry-1"), "glossary", prompt, TOKENS
    )


def cached(reply):
    return reply.value["usage"]["prompt_tokens_details"]["cached_tokens"]


@pytest_bdd.when("parliament and ministry-of-health send the same long prompt")
def send_the_same(running, go, seen):
    seen["first"] = go(send(running, "parliament", LONG_PROMPT))
    seen["second"] = go(send(running, "ministry-of-health", LONG_PROMPT))
    seen["repeat"] = go(send(running, "ministry-of-health", LONG_PROMPT))


@pytest_bdd.then("the second prompt reuses no cached token")
def nothing_reused(seen):
    assert cached(seen["first"]) == 0
    assert cached(seen["second"]) == 0


@pytest_bdd.then("a repeat of the second prompt reuses its cached tokens")
def own_reused(seen):
    assert cached(seen["repeat"]) > 1000


@pytest_bdd.when("parliament uses a resume token of interpreters")
def use_foreign_position(running, go, seen):
    async def run():
        owner = caller_of(running, "interpreters")
        url = running.url("entry-1")
        begun = await owner.stream(url, "glossary", "Own prompt.", TOKENS)
        stolen = caller.Streamed(position=begun.position)
        invented = caller.Streamed(position="x.1.y")
        other = caller_of(running, "parliament")
        prompt = ("glossary", "Own prompt.", TOKENS)
        seen["stolen"] = (await other.stream(url, *prompt, stolen)).refusal
        seen["unknown"] = (await other.stream(url, *prompt, invented)).refusal
        position = begun.position.replace(f".{TOKENS}.", ".3.")
        forged = caller.Streamed(position=position)
        seen["forged"] = (await owner.stream(url, *prompt, forged)).refusal
        rest = await owner.stream(
            url, *prompt, caller.Streamed(position=begun.position)
        )
        seen["owner"] = rest.whole and rest.refusal is None

    go(run())
    assert seen["forged"].value == seen["unknown"].value


@pytest_bdd.when("parliament uses a ticket of interpreters")
def use_foreign_ticket(running, go, seen):
    async def run():
        url = running.url("entry-1")
        owner = caller_of(running, "bookings-desk")
        ticket = await owner.ticket(url)
        other = caller_of(running, "convention-centre")
        call = ("bookings", "confirm", {"reference": "foreign-ticket"})
        seen["stolen"] = await other.call(url, *call, ticket)
        seen["unknown"] = await other.call(url, *call, "tkt_invented.00")
        seen["owner"] = (await owner.call(url, *call, ticket)).value["run"] == 1

    go(run())


@pytest_bdd.then(
    pytest_bdd.parsers.parse("it gets the same answer as for an unknown {thing}")
)
def same_as_unknown(seen, thing):
    assert seen["stolen"].status == seen["unknown"].status == 404
    assert seen["stolen"].value == seen["unknown"].value


@pytest_bdd.then("the rightful owner can still use it")
def owner_can(seen):
    assert seen["owner"]


@pytest_bdd.when("convention-centre and bookings-desk book with the same key")
def book_with_same_key(running, go, seen):
    async def book(account):
        return await caller_of(running, account).call(
            running.url("entry-2"),
            "bookings",
            "confirm",
            {"reference": f"hall-of-{account}"},
            "my-first-booking",
        )

    seen["replies"] = {
        account: go(book(account)) for account in ("convention-centre", "bookings-desk")
    }


@pytest_bdd.then("each gets the answer to its own booking")
def own_booking(seen):
    for account, reply in seen["replies"].items():
        assert reply.value["reference"] == f"hall-of-{account}"
        assert "Idempotent-Replayed" not in reply.headers


@pytest_bdd.when("a caller requests the timeline with its own key")
def ask_timeline(running, go, seen):
    admin_url = running.process_by_name["entry-1"].announced["admin_url"]
    asker = caller_of(running, "interpreters")
    seen["reply"] = go(asker.get(f"{admin_url}/timeline"))


@pytest_bdd.then("it is refused")
def timeline_refused(seen):
    assert seen["reply"].status == 401


@pytest_bdd.when("training sends 80 prompts at once while interpreters sends 20")
def flood(running, go, seen):
    async def run():
        floods = [send(running, "training", f"Flood {n}.") for n in range(80)]
        others = [send(running, "interpreters", f"Term {n}?") for n in range(20)]
        replies = await asyncio.gather(*floods, *others)
        seen["flood"], seen["others"] = replies[:80], replies[80:]
        seen["counts"] = [
            await running.counts(name) for name in running.names_of("engine")
        ]

    go(run())


@pytest_bdd.then("no prompt of interpreters is refused")
def none_refused(seen):
    for number, reply in enumerate(seen["others"]):
        assert reply.status == 200
        text = reply.value["choices"][0]["text"]
        assert text == answers.expected(f"Term {number}?", TOKENS)


@pytest_bdd.then("the engines never ran more than 8 prompts of training at once")
def limit_is_kept(seen):
    most = [count["most_by_account"].get("training", 0) for count in seen["counts"]]
    assert 0 < sum(most) <= 8 * len(most)
    assert max(most) <= 8


@pytest_bdd.then("every refused prompt is told when to retry")
def told_when(seen):
    refused = [reply for reply in seen["flood"] if reply.status != 200]
    assert refused
    for reply in refused:
        assert (reply.status, reply.outcome) == (429, "not_run")
        assert float(reply.headers["Retry-After"]) > 0
