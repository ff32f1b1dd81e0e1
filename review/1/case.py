"""A late second copy of a refusal is taken for the refusal of the request's next send.

Of two engines one is full for moments and the other for longer. The first is faulty
for 5.5 s: of at most one in twenty of its answers it sends a second copy, late, at the
point where the answer to the next request on the connection is expected.
"""

import asyncio
import collections
import pathlib

import fleet

REQUESTS_PER_SECOND = 25
SECONDS = 9.0
# One request in so many comes as the engines are full: the first turns it away once,
# the second each time.
FULL_FOR_EVERY = 10
WORK_SECONDS = 0.005
# The dose of the site file for `garble`: 0.05 of the answers, for 5.5 s, at 0.6 of the
# engines; here it is one engine of two.
FAULTY_SHARE = 0.05
FAULTY_FROM, FAULTY_SECONDS = 2.0, 5.5


class Engine(fleet.Server):
    """An engine of a plain service."""

    def __init__(self, name, record, runs, is_faulty, stays_full):
        super().__init__()
        self.name, self.record, self.runs = name, record, runs
        self.is_faulty, self.stays_full = is_faulty, stays_full
        self.dose = fleet.Dose(FAULTY_SHARE, FAULTY_SECONDS)
        self._refused = set()

    def entry(self):
        """Return its record in the store."""
        return {
            "Service": "desk",
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Seq": 1,
        }

    async def _serve(self, reader, writer):
        writer.extra = b""
        await super()._serve(reader, writer)

    async def handle(self, words, headers, reader, writer):
        """Turn a request away, or run it."""
        await fleet.read_body(reader, headers)
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            identity = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
            writer.write(fleet.answer(421, identity))
            return True
        if words[1] == "/healthz":
            writer.write(fleet.answer(200, {"X-Instance-Id": self.name}))
            return True
        if writer.extra:
            self.record.note(f"{self.name}: sends the second copy, late")
            writer.write(writer.extra)
            writer.extra = b""
        self.dose.note_answer(self.record.now())
        is_full = int(attempt, 16) % FULL_FOR_EVERY == 0
        if is_full and (self.stays_full or attempt not in self._refused):
            self._refuse(attempt, writer)
            return True
        self.runs[attempt] += 1
        self.record.note(f"{self.name}: {attempt} RUNS, time {self.runs[attempt]}")
        await asyncio.sleep(WORK_SECONDS)
        proof = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"{self.name}.{attempt}"}
        writer.write(fleet.answer(200, proof, f"ran {attempt}".encode()))
        return True

    def _refuse(self, attempt, writer):
        self._refused.add(attempt)
        headers = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
        refusal = fleet.answer(503, headers, b"full")
        self.record.note(f"{self.name}: {attempt} turned away as full, not run")
        writer.write(refusal)
        if self.is_faulty and self.dose.take(self.record.now()):
            writer.extra = refusal
            self.record.note(
                f"{self.name}: spoils it, number {self.dose.spoiled} of "
                f"{self.dose.answers} since the fault began"
            )


async def play(record, has_trouble):
    """Send requests at a steady rate; return the breaches."""
    runs = collections.Counter()
    status_by_attempt = {}
    async with fleet.Fleet(record) as system:
        engines = [
            Engine("i-desk-1", record, runs, has_trouble, False),
            Engine("i-desk-2", record, runs, False, True),
        ]
        routes = [fleet.route("/once/", "unsafe", "desk", MaxAttempts=1)]
        services = [{"Name": "desk", "MaxConnections": 96, "HealthPath": "/healthz"}]
        await system.store.put("config", "main", fleet.manifest(routes, services))
        for engine in engines:
            await engine.listen()
            await system.store.put("servers", engine.name, engine.entry())
        await system.add_daemons(1)
        await asyncio.sleep(4.0)
        for engine in engines:
            engine.dose.begin(record.now() + FAULTY_FROM)
        await _send(system.daemons[0], record, status_by_attempt)
        await asyncio.sleep(0.5)
        for engine in engines:
            engine.stop()
    if not any(status == 200 for status in status_by_attempt.values()):
        raise fleet.CannotRunError("Nothing was served.")
    breaches = [f"TWICE {name} ran {n} times" for name, n in runs.items() if n > 1]
    breaches += [
        f"REFUSED {name} was answered {status} and has run"
        for name, status in status_by_attempt.items()
        if status in (408, 421, 429, 503) and runs[name]
    ]
    return breaches


async def _send(daemon, record, status_by_attempt):
    async def send(attempt):
        record.note(f"client: {attempt} sent")
        got = await fleet.ask(daemon.front, "/once/1", attempt, deadline_ms=1500)
        record.note(f"client: {attempt} answered {got.status}")
        status_by_attempt[attempt] = got.status

    async with asyncio.TaskGroup() as group:
        for number in range(int(SECONDS * REQUESTS_PER_SECOND)):
            group.create_task(send(f"{number + 1:016x}"))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)


fleet.main(play, pathlib.Path(__file__).parent)
