"""A stand-in of an engine of a plain service."""

import asyncio
import collections

import fleet


class DeskEngine(fleet.Server):
    """An engine of a plain service, which runs each request for the same time.

    Attributes
    ----------
    ran : collections.Counter
        How often each request has run, by its id.
    """

    service = "desk"

    def __init__(self, name, record, work_seconds=0.2):
        super().__init__()
        self.name, self.record = name, record
        self.work_seconds = work_seconds
        self.ran = collections.Counter()

    def entry(self, state="ready"):
        """Return its record in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": 16,
            "State": state,
            "ColdRemainingMs": 0,
            "Seq": 1,
        }

    async def handle(self, words, headers, reader, writer):
        """Run a request."""
        await fleet.read_body(reader, headers)
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            identity = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name}
            writer.write(fleet.answer(421, identity))
            return True
        if words[1] == "/healthz":
            writer.write(fleet.answer(200, {"X-Instance-Id": self.name}))
            return True
        self.ran[attempt] += 1
        self.record.note(f"{self.name}: {attempt} RUNS, time {self.ran[attempt]}")
        await asyncio.sleep(self.work_seconds)
        proof = {"X-Attempt-Id": attempt, "X-Server-Stamp": f"{self.name}.{attempt}"}
        writer.write(fleet.answer(200, proof, f"ran {attempt}".encode()))
        return True


def service(**more):
    """Return the service of the engines for a manifest."""
    return {
        "Name": DeskEngine.service,
        "MaxConnections": 96,
        "HealthPath": "/healthz",
    } | more
