"""Replay of a trace against a fleet of real processes."""

import asyncio
import dataclasses
import time

from sesamespindle.lab import caller, fleet, traces

_LINK_SAMPLE_SECONDS = 0.5
_MAX_ATTEMPTS = 4


@dataclasses.dataclass
class Outcome:
    """The result of one arrival of the trace.

    Attributes
    ----------
    arrival : traces.Arrival
        The request of the trace.
    never_seen_tokens : int
        Prompt tokens that no earlier prompt of the context had.
    answered : bool
        Whether a complete answer was received.
    code : str
        The error code of the last refusal.
    attempts : int
        Attempts until it was answered or abandoned.
    first_token_seconds : float
        Seconds to the first token. For a call, and for a prompt that took several
        attempts, seconds from the first attempt to the end of the answer.
    reused_tokens, imported_tokens, computed_tokens : int
        Prompt tokens from the engine's cache, from a store host, and prefilled.
    target : str
        The target that answered.
    late_seconds : float
        Seconds after its due time at which the replay sent it.
    """

    arrival: traces.Arrival
    never_seen_tokens: int
    answered: bool = False
    code: str = ""
    attempts: int = 0
    first_token_seconds: float = 0.0
    reused_tokens: int = 0
    imported_tokens: int = 0
    computed_tokens: int = 0
    target: str = ""
    late_seconds: float = 0.0


@dataclasses.dataclass
class LinkSample:
    """The use of a store host's link in one sampling interval.

    Attributes
    ----------
    store_host : str
        The name of the store host.
    at : float
        Seconds from the start of the replay.
    share : float
        The share of the link's rate that was in use, 1 if all of it.
    """

    store_host: str
    at: float
    share: float


@dataclasses.dataclass
class Run:
    """The results of a replay.

    Attributes
    ----------
    name : str
        The routing policy.
    outcomes : list of Outcome
        One for each arrival.
    links : list of LinkSample
        The use of all store hosts' links.
    target_requests : int
        Requests that the engines received.
    seconds : float
        The duration of the replay.
    """

    name: str
    outcomes: list
    links: list
    target_requests: int
    seconds: float


class Replay:
    """Sends the arrivals of a trace at their due times.

    Parameters
    ----------
    running : fleet.Fleet
        The fleet to send to.
    arrivals : list of traces.Arrival
        The trace.
    speed : float
        Seconds of the trace's time per second of the replay.
    link_bytes_per_second : float
        The rate of each store host's link.
    """

    def __init__(self, running, arrivals, speed, link_bytes_per_second):
        self._running = running
        self._arrivals = arrivals
        self._speed = speed
        self._link_rate = link_bytes_per_second
        self._links = []
        self._entries_by_account = {}
        self._client_by_account = {}

    async def run(self, name, show):
        """Replay the trace and return the results as a `Run`."""
        for account in sorted({item.account for item in self._arrivals}):
            await self._fetch_entries(account)
        never_seen_tokens = traces.never_seen_tokens(self._arrivals)
        outcomes = [
            Outcome(arrival, tokens)
            for arrival, tokens in zip(self._arrivals, never_seen_tokens, strict=True)
        ]
        before = await self._received()
        started_at = time.monotonic()
        sampling = asyncio.create_task(self._sample_links(started_at))
        try:
            async with asyncio.TaskGroup() as group:
                for number, outcome in enumerate(outcomes):
                    due_at = started_at + outcome.arrival.at / self._speed
                    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                    group.create_task(self._send(outcome, due_at))
                    if number % 100 == 99:
                        show(f"{name}: {number + 1} of {len(outcomes)} sent.")
        finally:
            sampling.cancel()
        received = await self._received() - before
        seconds = time.monotonic() - started_at
        return Run(name, outcomes, self._links, received, seconds)

    async def _fetch_entries(self, account):
        """Fetch the account's list of entries, as its callers do."""
        client = caller.Caller(self._running.session, fleet.demo_key(account))
        url = self._running.url(self._running.entry_names[0])
        reply = await client.get(f"{url}/v1/entries")
        self._client_by_account[account] = client
        self._entries_by_account[account] = [
            entry["url"] for entry in reply.value["entries"]
        ]

    async def _send(self, outcome, due_at):
        outcome.late_seconds = time.monotonic() - due_at
        started_at = time.monotonic()
        while not outcome.answered and outcome.attempts < _MAX_ATTEMPTS:
            outcome.attempts += 1
            wait = await self._send_once(outcome, started_at)
            await asyncio.sleep(wait)

    async def _send_once(self, outcome, started_at):
        """Send one attempt; return the seconds to wait before the next one."""
        arrival = outcome.arrival
        client = self._client_by_account[arrival.account]
        url = self._entries_by_account[arrival.account][0]
        if arrival.kind == "call":
            ticket = await client.ticket(url)
            body = {"reference": arrival.context}
            reply = await client.call(url, arrival.target, "confirm", body, ticket)
            outcome.answered = reply.status == 200
            outcome.first_token_seconds = time.monotonic() - started_at
            return 0.0
        streamed = await client.stream(
            url, arrival.target, traces.text(arrival), arrival.answer_tokens
        )
        if streamed.refusal is not None:
            outcome.code = streamed.refusal.code
            return streamed.refusal.value["error"]["retry_after"] or 0.0
        outcome.answered = streamed.whole
        seconds_to_end = time.monotonic() - started_at
        outcome.first_token_seconds = streamed.first_token_seconds
        if outcome.attempts > 1:
            outcome.first_token_seconds = seconds_to_end
        _record_usage(outcome, streamed)
        return 0.0

    async def _received(self):
        names = self._running.names_of("engine")
        counts = [await self._running.counts(name) for name in names]
        return sum(count.get("received", 0) for count in counts)

    async def _sample_links(self, started_at):
        names = self._running.names_of("store_host")
        used_before = {name: await self._link_bytes(name) for name in names}
        while True:
            await asyncio.sleep(_LINK_SAMPLE_SECONDS)
            for name in names:
                used_now = await self._link_bytes(name)
                share = (used_now - used_before[name]) / (
                    self._link_rate * _LINK_SAMPLE_SECONDS
                )
                used_before[name] = used_now
                at = time.monotonic() - started_at
                self._links.append(LinkSample(name, at, share))

    async def _link_bytes(self, name):
        return (await self._running.counts(name)).get("link_bytes", 0)


def _record_usage(outcome, streamed):
    details = streamed.usage.get("prompt_tokens_details", {})
    outcome.imported_tokens = details.get("imported_tokens", 0)
    outcome.reused_tokens = details.get("cached_tokens", 0) - outcome.imported_tokens
    cached_tokens = details.get("cached_tokens", 0)
    outcome.computed_tokens = max(0, outcome.arrival.prompt_tokens - cached_tokens)
    outcome.target = streamed.target
