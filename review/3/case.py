"""A spoiled number in an answer's header ends the host that reads it.

One of two model engines is faulty for 5.5 s: of at most one in twenty of its answers it
spoils the number in X-Weight-Versions. Meanwhile other clients make calls to a plain
service on kept connections.
"""

import asyncio
import collections
import pathlib

import desk
import engines
import fleet

HOSTS = 2
KEPT_CLIENTS_PER_HOST = 8
SECONDS = 20.0
PROMPTS_PER_SECOND = 20
# The dose of the site file for `garble`: 0.05 of the answers, for 5.5 s, at 0.6 of the
# engines; here it is one engine of two.
FAULTY_SHARE = 0.05
FAULTY_FROM, FAULTY_SECONDS = 4.0, 5.5
SPOILED_VERSION = "1" * 24
RESTART_SECONDS = 0.3
# LOST is broken by more than so many calls.
ALLOWED_LOST = 3


class Engine(engines.ModelEngine):
    """A model engine that may be faulty."""

    def __init__(self, name, record, runs, is_faulty):
        super().__init__(name, record, runs)
        self.dose = fleet.Dose(FAULTY_SHARE, FAULTY_SECONDS)
        self._is_faulty = is_faulty

    def version_text(self):
        """Return the number that it puts into X-Weight-Versions."""
        now = self.record.now()
        self.dose.note_answer(now)
        if not self._is_faulty or not self.dose.take(now):
            return super().version_text()
        self.record.note(
            f"{self.name}: spoils X-Weight-Versions, number {self.dose.spoiled} of "
            f"{self.dose.answers} since the fault began"
        )
        return SPOILED_VERSION


async def play(record, has_trouble):
    """Play it; return the breaches."""
    runs = collections.Counter()
    async with fleet.Fleet(record) as system:
        model_engines = [
            Engine("i-llm-1", record, runs, has_trouble),
            Engine("i-llm-2", record, runs, False),
        ]
        desk_engines = [desk.DeskEngine(f"i-desk-{n}", record) for n in (1, 2)]
        routes = [
            fleet.route("/terms/", "streaming", "llm", MaxAttempts=1, Sticky=True),
            fleet.route("/once/", "unsafe", "desk", MaxAttempts=1),
        ]
        services = [engines.service(), desk.service()]
        await system.store.put("config", "main", fleet.manifest(routes, services))
        version = {"Model": engines.MODEL, "Version": 1}
        await system.store.put("versions", engines.MODEL, version)
        for engine in [*model_engines, *desk_engines]:
            await engine.listen()
            await system.store.put("servers", engine.name, engine.entry())
        await system.add_daemons(HOSTS)
        clients = [
            fleet.KeptClient(host.front, "/once/1", f"call-{host.name}-{number}")
            for host in system.daemons
            for number in range(KEPT_CLIENTS_PER_HOST)
        ]
        ends = collections.Counter()
        tasks = [asyncio.create_task(client.run(record)) for client in clients]
        tasks += [
            asyncio.create_task(_restart(host, ends, record)) for host in system.daemons
        ]
        await asyncio.sleep(4.0)
        for engine in model_engines:
            engine.dose.begin(record.now() + FAULTY_FROM)
        await _send_prompts(system.daemons, record)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for engine in [*model_engines, *desk_engines]:
            engine.stop()
    if not runs:
        raise fleet.CannotRunError("No prompt was run.")
    breaches = []
    ran = {attempt for engine in desk_engines for attempt in engine.ran}
    unanswered = [name for client in clients for name in client.unanswered]
    lost = [name for name in unanswered if name in ran]
    if len(lost) > ALLOWED_LOST:
        breaches.append(
            f"LOST: {len(lost)} calls ran at sound engines, and their kept connections "
            f"were closed without an answer; processes ended: {dict(ends)}"
        )
    return breaches


async def _restart(host, ends, record):
    """Start a host's process again whenever it has ended, as the platform does."""
    while True:
        exit_code = await host.wait()
        ends[host.name] += 1
        record.note(
            f"{host.name} has ended by itself, time {ends[host.name]}, code {exit_code}"
        )
        await asyncio.sleep(RESTART_SECONDS)
        await host.start()


async def _send_prompts(hosts, record):
    async with asyncio.TaskGroup() as group:
        for number in range(int(SECONDS * PROMPTS_PER_SECOND)):
            host = hosts[number % len(hosts)]
            group.create_task(_send_prompt(host, f"prompt-{number}", record))
            await asyncio.sleep(1 / PROMPTS_PER_SECOND)


async def _send_prompt(host, attempt, record):
    record.note(f"client: {attempt} sent to {host.name}")
    got = await fleet.ask(
        host.front,
        "/terms/1",
        attempt,
        deadline_ms=3000,
        X_Model=engines.MODEL,
        X_Token_Count="120,3",
        X_Prompt_Prefix=f"c{int(attempt[7:]) % 9}:100,{attempt[7:]}a:20",
    )
    record.note(f"client: {attempt} by {host.name}: {got.status}, whole {got.is_whole}")


fleet.main(play, pathlib.Path(__file__).parent)
