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
MIDWAY = 15
_numbers = itertools.count(1)


@pytest.fixture(scope="module")
def running(start_fleet):
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


class Reading:
    """One answer under test, and the engine that started it."""

    def __init__(self, running):
        self.running = running
        self.prompt = f"Prompt {next(_numbers)} asks for its own answer."
        self.caller = caller.Caller(running.session, fleet.demo_key("interpreters"))
        self.streamed = None
        self.reply = None
        self.engine = ""
        self.received_before = {}
        self.made_before = {}
        self.streams_before = set()
        self.began = False

    @property
    def expected(self):
        return answers.expected(self.prompt, TOKENS)

    async def stream(self, entry="entry-1", streamed=None, watch=None):
        self.streamed = await self.caller.stream(
            self.running.url(entry), "glossary", self.prompt, TOKENS, streamed, watch
        )

    async def read_whole(self):
        self.reply = await self.caller.complete(
            self.running.url("entry-1"), "glossary", self.prompt, TOKENS
        )

    async def note_received(self):
        for name in ENGINES:
            if self.running.process_by_name[name].running:
                counts = await self.running.counts(name)
                self.received_before[name] = counts.get("received", 0)
                self.made_before[name] = counts.get("made_tokens", 0)
                self.streams_before |= set(counts["sent_by_stream"])

    async def find_engine(self):
        """Return the engine that has received a prompt since `note_received`."""

        async def found():
            for name, before in self.received_before.items():
                counts = await self.running.counts(name)
                if counts.get("received", 0) > before:
                    self.engine = name
            return bool(self.engine)

        await self.running.until(found)
        return self.engine

    async def until_sent(self, count):
        """Wait until the engine has sent at least `count` tokens of this answer.

        An engine keeps the streams of earlier answers for a while after their end.
        They don't count.
        """

        async def sent():
            counts = await self.running.counts(self.engine)
            return any(
                tokens >= count
                for stream, tokens in counts["sent_by_stream"].items()
                if stream not in self.streams_before
            )

        await self.running.until(sent)

    async def made_since(self, names):
        total = 0
        for name in names:
            counts = await self.running.counts(name)
            total += counts.get("made_tokens", 0) - self.made_before[name]
        return total

    async def starts(self):
        total = 0
        for name, before in self.received_before.items():
            counts = await self.running.counts(name)
            total += counts.get("received", 0) - before
        return total


@pytest.fixture
def reading(running):
    return Reading(running)


async def fault_all(running, **faults):
    for name in ENGINES:
        await running.fault(name, **faults)


@pytest_bdd.given("a fleet whose engines are behind proxies")
def fleet_is_running(running, reading, go):
    async def settle():
        for name in ENGINES:
            if not running.process_by_name[name].running:
                await running.restart_target(name)
            await running.proxy_fault(name, mode="pass", delay=0.0)
        await fault_all(
            running,
            hold_prompts=False,
            hide_end_mark=0,
            double_pieces=False,
            shuffle_pieces=False,
            cut_after_pieces=0,
        )
        for name in running.entry_names:
            if not running.process_by_name[name].running:
                await running.start_entry(name, "kgl-1")
        await running.wait_ready()
        await reading.note_received()

    go(settle())


@pytest_bdd.when(
    pytest_bdd.parsers.parse("the engine is killed {moment} of a {form} answer")
)
def kill_engine(running, reading, go, moment, form):
    async def run():
        if moment == "before the first token":
            await fault_all(running, hold_prompts=True)
        if moment.startswith("after the last token"):
            await fault_all(running, hide_end_mark=1_000_000)
        begun = reading.stream() if form == "streamed" else reading.read_whole()
        sending = asyncio.create_task(begun)
        engine = await reading.find_engine()
        reading.began = moment != "before the first token"
        if moment == "mid-stream":
            await reading.until_sent(MIDWAY)
        if moment.startswith("after the last token"):
            await reading.until_sent(TOKENS)
        await running.process_by_name[engine].kill()
        for name in ENGINES:
            if name != engine:
                await running.fault(name, hold_prompts=False, hide_end_mark=0)
        await sending

    go(run())


@pytest_bdd.then("the caller receives the whole answer")
def answer_is_whole(reading):
    if reading.reply is not None:
        assert reading.reply.status == 200, reading.reply
        assert reading.reply.value["choices"][0]["text"] == reading.expected
    else:
        assert reading.streamed.refusal is None
        assert reading.streamed.text == reading.expected
        assert reading.streamed.whole


@pytest_bdd.then("the rest came from another engine")
def other_engine_went_on(reading, go):
    del reading.received_before[reading.engine]
    assert go(reading.starts()) == 1
    # The other engine generates only the rest. An answer generated from the start
    # could differ from the beginning that the caller already has.
    made = go(reading.made_since(reading.received_before))
    assert made < TOKENS if reading.began else made == TOKENS


@pytest_bdd.when(pytest_bdd.parsers.parse("an engine sends its pieces {how}"))
def misbehaving_pieces(running, reading, go, how):
    async def run():
        await fault_all(
            running,
            double_pieces="doubled" in how,
            shuffle_pieces="reordered" in how,
            cut_after_pieces=3 if how == "with cuts" else 0,
        )
        if how == "delayed":
            for name in ENGINES:
                await running.proxy_fault(name, delay=0.05)
        await reading.stream()

    go(run())


@pytest_bdd.when("the link to the engine freezes mid-stream and recovers")
def freeze_link(running, reading, go):
    async def run():
        sending = asyncio.create_task(reading.stream())
        engine = await reading.find_engine()
        await reading.until_sent(MIDWAY)
        already = len(await running.timeline("entry-1"))
        await running.proxy_fault(engine, mode="freeze")

        async def noticed():
            told = await running.timeline("entry-1")
            return any(event["kind"] == "resume" for event in told[already:])

        await running.until(noticed)
        await running.proxy_fault(engine, mode="pass")
        await sending

    go(run())


@pytest_bdd.then("the engines received the prompt only once")
def made_once(reading, go):
    assert go(reading.starts()) == 1


async def read_until_killed(running, reading, kill_engine_too):
    killed = asyncio.Event()

    async def kill_midway(streamed):
        if len(streamed.tokens) >= MIDWAY and not killed.is_set():
            killed.set()
            await running.process_by_name["entry-1"].kill()

    await reading.stream(watch=kill_midway)
    assert killed.is_set()
    assert not reading.streamed.whole
    if kill_engine_too:
        await running.process_by_name[await reading.find_engine()].kill()
    await reading.stream("entry-2", streamed=reading.streamed)


@pytest_bdd.when(
    "the entry is killed mid-stream and the caller resumes at another entry"
)
def kill_entry(running, reading, go):
    go(read_until_killed(running, reading, kill_engine_too=False))


@pytest_bdd.when(
    "the entry and the engine are killed and the caller resumes at another entry"
)
def kill_entry_and_engine(running, reading, go):
    go(read_until_killed(running, reading, kill_engine_too=True))


@pytest_bdd.then("the caller is told that the stream is lost")
def stream_is_lost(reading):
    refusal = reading.streamed.refusal
    assert (refusal.code, refusal.outcome) == ("stream_lost", "unknown")
    assert reading.expected.startswith(reading.streamed.text)


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{count:d} callers stream at once over faulty links"),
    target_fixture="crowd",
)
def stream_crowd(running, go, count):
    async def run():
        await fault_all(
            running, double_pieces=True, shuffle_pieces=True, cut_after_pieces=10
        )
        crowd = [Reading(running) for _ in range(count)]
        accounts = ("interpreters", "ministry-of-health", "parliament", "delegates")
        for number, reading in enumerate(crowd):
            key = fleet.demo_key(accounts[number % len(accounts)])
            reading.caller = caller.Caller(running.session, key)

        async def read(number, reading):
            entry = f"entry-{number % 3 + 1}"
            await reading.stream(entry)
            while reading.streamed.refusal is not None:
                assert reading.streamed.refusal.status == 429
                await asyncio.sleep(0.2)
                await reading.stream(entry)

        await asyncio.gather(*(read(number, item) for number, item in enumerate(crowd)))
        return crowd

    return go(run())


@pytest_bdd.then("each receives the whole answer to its own prompt")
def each_is_whole(crowd):
    assert len(crowd) == 200
    for reading in crowd:
        assert reading.streamed.text == reading.expected
        assert reading.streamed.whole
