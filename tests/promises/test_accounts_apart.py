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
def running_fleet(shared_fleet):
    return shared_fleet


def caller_of(running_fleet, account):
    return caller.Caller(running_fleet.session, fleet.demo_key(account))


async def send(running_fleet, account, prompt):
    return await caller_of(running_fleet, account).complete(
        running_fleet.url("entry-1"), "glossary", prompt, TOKENS
    )


def cached_tokens(reply):
    return reply.value["usage"]["prompt_tokens_details"]["cached_tokens"]


@pytest_bdd.when("parliament and ministry-of-health send the same long prompt")
def send_the_same(running_fleet, go, seen):
    seen["first"] = go(send(running_fleet, "parliament", LONG_PROMPT))
    seen["second"] = go(send(running_fleet, "ministry-of-health", LONG_PROMPT))
    seen["repeat"] = go(send(running_fleet, "ministry-of-health", LONG_PROMPT))


@pytest_bdd.then("the second prompt reuses no cached token")
def second_reuses_nothing(seen):
    assert cached_tokens(seen["first"]) == 0
    assert cached_tokens(seen["second"]) == 0


@pytest_bdd.then("a repeat of the second prompt reuses its cached tokens")
def repeat_reuses_tokens(seen):
    assert cached_tokens(seen["repeat"]) > 1000


@pytest_bdd.when("parliament uses a resume token of interpreters")
def use_foreign_resume_token(running_fleet, go, seen):
    async def run():
        owner = caller_of(running_fleet, "interpreters")
        url = running_fleet.url("entry-1")
        first_stream = await owner.stream(url, "glossary", "Own prompt.", TOKENS)
        stolen = caller.Streamed(position=first_stream.position)
        invented = caller.Streamed(position="x.1.y")
        other = caller_of(running_fleet, "parliament")
        prompt = ("glossary", "Own prompt.", TOKENS)
        seen["stolen"] = (await other.stream(url, *prompt, stolen)).refusal
        seen["unknown"] = (await other.stream(url, *prompt, invented)).refusal
        position = first_stream.position.replace(f".{TOKENS}.", ".3.")
        forged = caller.Streamed(position=position)
        seen["forged"] = (await owner.stream(url, *prompt, forged)).refusal
        rest = await owner.stream(
            url, *prompt, caller.Streamed(position=first_stream.position)
        )
        seen["owner"] = rest.whole and rest.refusal is None

    go(run())
    assert seen["forged"].value == seen["unknown"].value


@pytest_bdd.when("parliament uses a ticket of interpreters")
def use_foreign_ticket(running_fleet, go, seen):
    async def run():
        url = running_fleet.url("entry-1")
        owner = caller_of(running_fleet, "bookings-desk")
        ticket = await owner.ticket(url)
        other = caller_of(running_fleet, "convention-centre")
        call = ("bookings", "confirm", {"reference": "foreign-ticket"})
        seen["stolen"] = await other.call(url, *call, ticket)
        seen["unknown"] = await other.call(url, *call, "tkt_invented.00")
        seen["owner"] = (await owner.call(url, *call, ticket)).value["run"] == 1

    go(run())


@pytest_bdd.then(
    pytest_bdd.parsers.parse("it gets the same answer as for an unknown {thing}")
)
def is_answered_as_unknown(seen, thing):
    assert seen["stolen"].status == seen["unknown"].status == 404
    assert seen["stolen"].value == seen["unknown"].value


@pytest_bdd.then("the rightful owner can still use it")
def owner_can_use_it(seen):
    assert seen["owner"]


@pytest_bdd.when("convention-centre and bookings-desk book with the same key")
def book_with_same_key(running_fleet, go, seen):
    async def book(account):
        return await caller_of(running_fleet, account).call(
            running_fleet.url("entry-2"),
            "bookings",
            "confirm",
            {"reference": f"hall-of-{account}"},
            "my-first-booking",
        )

    seen["replies"] = {
        account: go(book(account)) for account in ("convention-centre", "bookings-desk")
    }


@pytest_bdd.then("each gets the answer to its own booking")
def each_gets_own_booking(seen):
    for account, reply in seen["replies"].items():
        assert reply.value["reference"] == f"hall-of-{account}"
        assert "Idempotent-Replayed" not in reply.headers


@pytest_bdd.when("a caller requests the timeline with its own key")
def request_timeline(running_fleet, go, seen):
    admin_url = running_fleet.process_by_name["entry-1"].announced["admin_url"]
    requester = caller_of(running_fleet, "interpreters")
    seen["reply"] = go(requester.get(f"{admin_url}/timeline"))


@pytest_bdd.then("it is refused")
def timeline_refused(seen):
    assert seen["reply"].status == 401


@pytest_bdd.when("training sends 80 prompts at once while interpreters sends 20")
def send_overload(running_fleet, go, seen):
    async def run():
        excess = [send(running_fleet, "training", f"Flood {n}.") for n in range(80)]
        others = [send(running_fleet, "interpreters", f"Term {n}?") for n in range(20)]
        replies = await asyncio.gather(*excess, *others)
        seen["flood"], seen["others"] = replies[:80], replies[80:]
        seen["counts"] = [
            await running_fleet.counts(name)
            for name in running_fleet.names_of("engine")
        ]

    go(run())


@pytest_bdd.then("no prompt of interpreters is refused")
def no_prompt_is_refused(seen):
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
def refusals_say_when_to_retry(seen):
    refused = [reply for reply in seen["flood"] if reply.status != 200]
    assert refused
    for reply in refused:
        assert (reply.status, reply.outcome) == (429, "not_run")
        assert float(reply.headers["Retry-After"]) > 0
