"""A late second copy of a 421 to one request is taken for the refusal of another.

Engines get new weights. A host that doesn't know yet that an engine has them names the
old version, and gets a 421. Three of five engines are faulty for 5.5 s: of at most one
in twenty of their answers they send a second copy, late, at the point where the answer
to the next request on the connection is expected. It bears the id of its own request.
"""

import asyncio
import collections
import pathlib

import engines
import fleet

REQUESTS_PER_SECOND = 60
SECONDS = 24.0
HOSTS, ENGINES, FAULTY = 3, 5, 3
# The dose of the site file for `garble`.
FAULTY_SHARE = 0.05
FAULTY_SECONDS = 5.5
# How long before the naming of new weights the fault begins.
FAULTY_BEFORE = 3.5
# When new weights are named, in seconds from the start of traffic.
NAMED_AT = (5.0, 12.0, 19.0)


class Engine(engines.ModelEngine):
    """A model engine that may be faulty."""

    def __init__(self, name, record, runs):
        super().__init__(name, record, runs)
        self.dose = fleet.Dose(FAULTY_SHARE, FAULTY_SECONDS)

    async def _prompt(self, attempt, headers, writer):
        self.dose.note_answer(self.record.now())
        await super()._prompt(attempt, headers, writer)

    def spoil(self, sent):
        """Return the second copy of a 421."""
        if b" 421 " not in sent[:16] or not self.dose.take(self.record.now()):
            return b""
        self.record.note(
            f"{self.name}: spoils it, number {self.dose.spoiled} of "
            f"{self.dose.answers} since the fault began"
        )
        return sent


async def play(record, has_trouble):
    """Send prompts while weights are named; return the breaches."""
    runs = collections.Counter()
    status_by_attempt = {}
    async with fleet.Fleet(record) as system:
        fleet_engines = [
            Engine(f"i-llm-{number}", record, runs) for number in range(ENGINES)
        ]
        routes = [
            fleet.route("/terms/", "streaming", "llm", MaxAttempts=1, Sticky=True)
        ]
        services = [engines.service()]
        await system.store.put("config", "main", fleet.manifest(routes, services))
        await system.store.put("versions", engines.MODEL, _version(1))
        for engine in fleet_engines:
            await engine.listen()
            await system.store.put("servers", engine.name, engine.entry())
        await system.add_daemons(HOSTS)
        await asyncio.sleep(4.0)
        async with asyncio.TaskGroup() as group:
            group.create_task(_send(system.daemons, record, status_by_attempt))
            group.create_task(
                _name_versions(system, record, fleet_engines, has_trouble)
            )
        await asyncio.sleep(0.5)
        for engine in fleet_engines:
            engine.stop()
    if list(status_by_attempt.values()).count(200) < len(status_by_attempt) / 2:
        raise fleet.CannotRunError("Less than half was served.")
    breaches = [f"TWICE {name} ran {n} times" for name, n in runs.items() if n > 1]
    breaches += [
        f"REFUSED {name} was answered {status} and has run"
        for name, status in status_by_attempt.items()
        if status in (408, 421, 429, 503) and runs[name]
    ]
    return breaches


def _version(number):
    return {"Model": engines.MODEL, "Version": number}


async def _name_versions(system, record, fleet_engines, has_trouble):
    start = record.now()
    for number, at in enumerate(NAMED_AT, 2):
        await asyncio.sleep(start + at - FAULTY_BEFORE - record.now())
        for engine in fleet_engines[:FAULTY] if has_trouble else ():
            engine.dose.begin(record.now())
        await asyncio.sleep(start + at - record.now())
        record.note(f"operator: names version {number}")
        await system.store.put("versions", engines.MODEL, _version(number))


async def _send(daemons, record, status_by_attempt):
    async def send(number, attempt):
        daemon = daemons[number % len(daemons)]
        record.note(f"client: {attempt} sent to {daemon.name}")
        got = await fleet.ask(
            daemon.front,
            "/terms/1",
            attempt,
            deadline_ms=12000,
            X_Model=engines.MODEL,
            X_Token_Count="60,3",
            X_Prompt_Prefix=f"c{number % 7:x}:40,{number:x}:20",
        )
        record.note(f"client: {attempt} answered {got.status}, whole {got.is_whole}")
        status_by_attempt[attempt] = got.status

    async with asyncio.TaskGroup() as group:
        for number in range(int(SECONDS * REQUESTS_PER_SECOND)):
            group.create_task(send(number, f"{number + 1:016x}"))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)


fleet.main(play, pathlib.Path(__file__).parent)
