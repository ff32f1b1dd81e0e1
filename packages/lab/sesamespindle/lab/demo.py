"""A short demonstration of context reuse and of idempotent calls.

It sends a prompt with a long context, empties the engines' caches and sends the same
context again, which must be imported from the store host. Then it makes a booking
twice with the same idempotency key, which must run once.
"""

from sesamespindle.cli import sending
from sesamespindle.lab import answers, fleet

_ACCOUNT = "interpreters"
_BOOKING_ACCOUNT = "bookings-desk"
_MODEL = "glossary"
_TERMS = 1500
_ANSWER_TOKENS = 24


class DemoError(Exception):
    """Raised when a step of the demonstration does not give the expected result."""

    code = "demo"


async def run(plan, show):
    """Start a fleet and run the demonstration on it.

    Parameters
    ----------
    plan : fleet.Plan
        The fleet to start.
    show : callable
        Receives each line of progress.

    Raises
    ------
    DemoError
        If a step does not give the expected result.
    """
    async with fleet.Fleet(plan, show) as running:
        await _return_to_context(running, show)
        await _book_once(running, show)
        page = plan.folder / "timeline.html"
        code, output = await running.cli("timeline", "--page", str(page))
        if code:
            raise DemoError(output)
        show(f"Timeline of all daemons written to {page}.")
        show("Stopping all processes.")
    show("Done.")


def _glossary():
    terms = (
        f"term {number} is rendered as umwandiko {number};" for number in range(_TERMS)
    )
    return " ".join(terms)


async def _return_to_context(running, show):
    """Send a long context twice, emptying the engines' caches in between."""
    key = fleet.demo_key(_ACCOUNT)
    prompt = f"{_glossary()} How is term 17 rendered?"
    first = await _send(running, key, prompt)
    _show_answer(show, "First prompt", first)
    await running.until(lambda: _is_stored(running, first))
    for name in running.names_of("engine"):
        await running.post(name, "/evict", {})
    show("The engines' caches have been emptied.")
    again = await _send(running, key, prompt)
    _show_answer(show, "Same context again", again)
    if again.usage["prompt_tokens_details"]["imported_tokens"] == 0:
        raise DemoError("No KV cache was imported for the context that was sent again.")


async def _is_stored(running, sent):
    """Return whether a store host has committed a segment of KV cache."""
    for name in running.names_of("store_host"):
        counts = await running.counts(name)
        if counts.get("link_bytes", 0) and counts.get("committed", 0):
            return True
    return False


async def _send(running, key, prompt):
    entry = await _choose_entry(running, key)
    sent = await sending.send_prompt(
        running.session, entry, key, _MODEL, prompt, _ANSWER_TOKENS
    )
    rendered = f"<|user|>{prompt}<|end|><|assistant|>"
    if sent.text != answers.expected(rendered, _ANSWER_TOKENS):
        raise DemoError("The answer is not the complete answer to its prompt.")
    return sent


async def _choose_entry(running, key):
    urls = [running.url(name) for name in running.entry_names]
    return await sending.choose_entry(running.session, urls, key)


def _show_answer(show, title, sent):
    details = sent.usage["prompt_tokens_details"]
    reused = details["cached_tokens"]
    computed = sent.usage["prompt_tokens"] - reused
    show(
        f"{title}: entry {sent.entry}, target {sent.target}, "
        f"{reused} tokens reused ({details['imported_tokens']} of them fetched "
        f"from the store host), {max(0, computed)} computed, first token after "
        f"{sent.first_token_seconds * 1000:.0f} ms, {sent.outcome}."
    )


async def _book_once(running, show):
    """Make one booking, and repeat it with the same idempotency key."""
    key = fleet.demo_key(_BOOKING_ACCOUNT)
    entry = await _choose_entry(running, key)
    body = {"reference": "plenary-2026-12-07", "interpreters": 4}
    for title in ("Booking", "Same booking again"):
        answer, replayed = await sending.send_call(
            running.session, entry, key, "bookings", "confirm", body, "plenary-1"
        )
        show(
            f"{title}: entry {entry['name']}, run {answer['run']}, "
            + ("stored answer of the first run." if replayed else "answered.")
        )
    (service,) = running.names_of("service")
    runs = (await running.counts(service))["runs"][body["reference"]]
    show(f"The service ran the booking {runs} time(s).")
    if runs != 1:
        raise DemoError("The service did not run the booking exactly once.")
