"""Every caller receives the whole answer to its own prompt.

Engines and entries that die, broken links and pieces that arrive twice or out of order
could leave tokens out, repeat them or mix them with another answer's tokens.
"""

import asyncio
import itertools

import pytest
import pytest_bdd

from sesamespindle.lab import answers, caller, fleet

pytest_bdd.scenarios("whole_answers.feature")

ENGINES = ("glossary-1", "glossary-2", "glossary-3")
TOKENS = 60
MIDWAY_TOKENS = 15
_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(
        store_hosts=0,
        services=0,
        proxied=frozenset(ENGINES),
        engine_options=["--decode-interval", "0.01"],
        settings={
            "engine_silence": "700 ms",
            "policy": {"suspect_after": "1500 ms", "grant_lifetime": "3 s"},
        },
    )


class AnswerUnderTest:
    """One answer under test, and the engine that started it.

    Attributes
    ----------
    streamed : caller.Streamed or None
        The answer as far as it was received, if it is streamed.
    reply : caller.Reply or None
        The reply, if the answer is not streamed.
    engine : str
        Name of the engine that `find_engine` found.
    received_before, tokens_made_before : dict
        Prompts received and tokens made by engine, as of `record_counts`.
    streams_before : set of str
        Streams that the engines knew at `record_counts`.
    had_started : bool
        Whether the engine may have sent tokens before it was killed.
    """

    def __init__(self, running_fleet):
        self.running_fleet = running_fleet
        self.prompt = f"Prompt {next(_numbers)} asks for its own answer."
        self.caller = caller.Caller(
            running_fleet.session, fleet.demo_key("interpreters")
        )
        self.streamed = None
        self.reply = None
        self.engine = ""
        self.received_before = {}
        self.tokens_made_before = {}
        self.streams_before = set()
        self.had_started = False

    @property
    def expected(self):
        return answers.expected(self.prompt, TOKENS)

    async def stream(self, entry="entry-1", streamed=None, watch=None):
        self.streamed = await self.caller.stream(
            self.running_fleet.url(entry),
            "glossary",
            self.prompt,
            TOKENS,
            streamed,
            watch,
        )

    async def request_whole(self):
        self.reply = await self.caller.complete(
            self.running_fleet.url("entry-1"), "glossary", self.prompt, TOKENS
        )

    async def record_counts(self):
        """Record the counts of the running engines before the answer starts."""
        for name in ENGINES:
            if self.running_fleet.process_by_name[name].running:
                counts = await self.running_fleet.counts(name)
                self.received_before[name] = counts.get("received", 0)
                self.tokens_made_before[name] = counts.get("made_tokens", 0)
                self.streams_before |= set(counts["sent_by_stream"])

    async def find_engine(self):
        """Return the engine that has received a prompt since `record_counts`."""

        async def found():
            for name, before in self.received_before.items():
                counts = await self.running_fleet.counts(name)
                if counts.get("received", 0) > before:
                    self.engine = name
            return bool(self.engine)

        await self.running_fleet.until(found)
        return self.engine

    async def wait_until_sent(self, count):
        """Wait until the engine has sent at least `count` tokens of this answer.

        An engine keeps the streams of earlier answers for a while after their end.
        They don't count.
        """

        async def sent():
            counts = await self.running_fleet.counts(self.engine)
            return any(
                tokens >= count
                for stream, tokens in counts["sent_by_stream"].items()
                if stream not in self.streams_before
            )

        await self.running_fleet.until(sent)

    async def tokens_made_since(self, names):
        """Return how many tokens these engines made since `record_counts`."""
        total = 0
        for name in names:
            counts = await self.running_fleet.counts(name)
            total += counts.get("made_tokens", 0) - self.tokens_made_before[name]
        return total

    async def prompts_received(self):
        """Return how many prompts the engines received since `record_counts`."""
        total = 0
        for name, before in self.received_before.items():
            counts = await self.running_fleet.counts(name)
            total += counts.get("received", 0) - before
        return total


@pytest.fixture
def answer(running_fleet):
    return AnswerUnderTest(running_fleet)


async def fault_all_engines(running_fleet, **faults):
    for name in ENGINES:
        await running_fleet.fault(name, **faults)


@pytest_bdd.given("a fleet whose engines are behind proxies")
def fleet_is_running(running_fleet, answer, go):
    async def reset_fleet():
        for name in ENGINES:
            if not running_fleet.process_by_name[name].running:
                await running_fleet.restart_target(name)
            await running_fleet.proxy_fault(name, mode="pass", delay=0.0)
        await fault_all_engines(
            running_fleet,
            hold_prompts=False,
            hide_end_mark=0,
            double_pieces=False,
            shuffle_pieces=False,
            cut_after_pieces=0,
        )
        for name in running_fleet.entry_names:
            if not running_fleet.process_by_name[name].running:
                await running_fleet.start_entry(name, "kgl-1")
        await running_fleet.wait_ready()
        await answer.record_counts()

    go(reset_fleet())


@pytest_bdd.when(
    pytest_bdd.parsers.parse("the engine is killed {moment} of a {form} answer")
)
def kill_engine(running_fleet, answer, go, moment, form):
    async def run():
        if moment == "before the first token":
            await fault_all_engines(running_fleet, hold_prompts=True)
        if moment.startswith("after the last token"):
            await fault_all_engines(running_fleet, hide_end_mark=1_000_000)
        request = answer.stream() if form == "streamed" else answer.request_whole()
        sending = asyncio.create_task(request)
        engine = await answer.find_engine()
        answer.had_started = moment != "before the first token"
        if moment == "mid-stream":
            await answer.wait_until_sent(MIDWAY_TOKENS)
        if moment.startswith("after the last token"):
            await answer.wait_until_sent(TOKENS)
        await running_fleet.process_by_name[engine].kill()
        for name in ENGINES:
            if name != engine:
                await running_fleet.fault(name, hold_prompts=False, hide_end_mark=0)
        await sending

    go(run())


@pytest_bdd.then("the caller receives the whole answer")
def answer_is_whole(answer):
    if answer.reply is not None:
        assert answer.reply.status == 200, answer.reply
        assert answer.reply.value["choices"][0]["text"] == answer.expected
    else:
        assert answer.streamed.refusal is None
        assert answer.streamed.text == answer.expected
        assert answer.streamed.whole


@pytest_bdd.then("the rest came from another engine")
def other_engine_resumed(answer, go):
    del answer.received_before[answer.engine]
    assert go(answer.prompts_received()) == 1
    # The other engine generates only the rest. An answer generated from the start
    # could differ from the beginning that the caller already has.
    made = go(answer.tokens_made_since(answer.received_before))
    assert made < TOKENS if answer.had_started else made == TOKENS


@pytest_bdd.when(pytest_bdd.parsers.parse("an engine sends its pieces {how}"))
def send_faulty_pieces(running_fleet, answer, go, how):
    async def run():
        await fault_all_engines(
            running_fleet,
            double_pieces="doubled" in how,
            shuffle_pieces="reordered" in how,
            cut_after_pieces=3 if how == "with cuts" else 0,
        )
        if how == "delayed":
            for name in ENGINES:
                await running_fleet.proxy_fault(name, delay=0.05)
        await answer.stream()

    go(run())


@pytest_bdd.when("the link to the engine freezes mid-stream and recovers")
def freeze_link(running_fleet, answer, go):
    async def run():
        sending = asyncio.create_task(answer.stream())
        engine = await answer.find_engine()
        await answer.wait_until_sent(MIDWAY_TOKENS)
        events_before = len(await running_fleet.timeline("entry-1"))
        await running_fleet.proxy_fault(engine, mode="freeze")

        async def has_resumed():
            events = await running_fleet.timeline("entry-1")
            return any(event["kind"] == "resume" for event in events[events_before:])

        await running_fleet.until(has_resumed)
        await running_fleet.proxy_fault(engine, mode="pass")
        await sending

    go(run())


@pytest_bdd.then("the engines received the prompt only once")
def prompt_received_once(answer, go):
    assert go(answer.prompts_received()) == 1


async def read_until_killed(running_fleet, answer, kill_engine_too):
    """Kill the entry mid-stream, and resume the stream at another entry."""
    killed = asyncio.Event()

    async def kill_midway(streamed):
        if len(streamed.tokens) >= MIDWAY_TOKENS and not killed.is_set():
            killed.set()
            await running_fleet.process_by_name["entry-1"].kill()

    await answer.stream(watch=kill_midway)
    assert killed.is_set()
    assert not answer.streamed.whole
    if kill_engine_too:
        await running_fleet.process_by_name[await answer.find_engine()].kill()
    await answer.stream("entry-2", streamed=answer.streamed)


@pytest_bdd.when(
    "the entry is killed mid-stream and the caller resumes at another entry"
)
def kill_entry(running_fleet, answer, go):
    go(read_until_killed(running_fleet, answer, kill_engine_too=False))


@pytest_bdd.when(
    "the entry and the engine are killed and the caller resumes at another entry"
)
def kill_entry_and_engine(running_fleet, answer, go):
    go(read_until_killed(running_fleet, answer, kill_engine_too=True))


@pytest_bdd.then("the caller is told that the stream is lost")
def stream_is_lost(answer):
    refusal = answer.streamed.refusal
    assert (refusal.code, refusal.outcome) == ("stream_lost", "unknown")
    assert answer.expected.startswith(answer.streamed.text)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{count:d} callers stream at once over faulty links"),
    target_fixture="crowd",
)
def stream_crowd(running_fleet, go, count):
    async def run():
        await fault_all_engines(
            running_fleet, double_pieces=True, shuffle_pieces=True, cut_after_pieces=10
        )
        crowd = [AnswerUnderTest(running_fleet) for _ in range(count)]
        accounts = ("interpreters", "ministry-of-health", "parliament", "delegates")
        for number, answer in enumerate(crowd):
            key = fleet.demo_key(accounts[number % len(accounts)])
            answer.caller = caller.Caller(running_fleet.session, key)

        async def stream_until_accepted(number, answer):
            # Some of the callers are refused with 429 and retry until accepted.
            entry = f"entry-{number % 3 + 1}"
            await answer.stream(entry)
            while answer.streamed.refusal is not None:
                assert answer.streamed.refusal.status == 429
                await asyncio.sleep(0.2)
                await answer.stream(entry)

        await asyncio.gather(
            *(stream_until_accepted(number, item) for number, item in enumerate(crowd))
        )
        return crowd

    return go(run())


@pytest_bdd.then("each receives the whole answer to its own prompt")
def each_is_whole(crowd):
    assert len(crowd) == 200
    for answer in crowd:
        assert answer.streamed.text == answer.expected
        assert answer.streamed.whole
