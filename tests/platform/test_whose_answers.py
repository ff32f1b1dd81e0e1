"""An answer is taken only for the send that it belongs to."""

import asyncio
import collections
import copy
import random

import pytest
import standins

# The statuses that promise a caller that its request has not run.
_NOT_RUN = (408, 421, 429, 503)


class LateTarget(standins.Target):
    """A target that refuses requests, and sends second copies of refusals late.

    Attributes
    ----------
    refused_once : set of str
        The ids of requests of which it refuses the first send.
    late_at : str
        The id of the request at whose arrival it sends the copies.
    runs_by_attempt : collections.Counter
        How often each request has run.
    """

    def __init__(self, name, address, service, refused_once, late_at):
        super().__init__(name, address, service)
        self.refused_once = refused_once
        self.late_at = late_at
        self.runs_by_attempt = collections.Counter()
        self._copies_by_writer = collections.defaultdict(bytes)

    async def _answer(self, headers, writer):
        attempt = headers["x-attempt-id"]
        if attempt == self.late_at:
            writer.write(self._copies_by_writer.pop(writer, b""))
        if attempt in self.refused_once:
            self.refused_once.discard(attempt)
            refusal = self.refusal(headers)
            self._copies_by_writer[writer] += refusal
            writer.write(refusal)
            return
        self.runs_by_attempt[attempt] += 1
        await super()._answer(headers, writer)

    def refusal(self, headers):
        """Return a refusal: of the weight version as an engine, or else as full."""
        if self.service == "llm":
            return standins.make_answer(421, headers, {"X-Instance-Id": self.name})
        return standins.make_answer(503, headers, {"X-Not-Executed": "1"})


def manifest():
    """Return a manifest with a route of streams that may not be resumed."""
    value = standins.make_manifest()
    once = copy.deepcopy(value["Routes"][-1])
    once |= {"Name": "tell", "PathPrefix": "/tell/", "Resumable": False}
    value["Routes"].append(once)
    return value


async def ask(world, daemon, path, attempt):
    """Send a request that may run once; return its status."""
    prompt = {"X-Model": "m", "X-Prompt-Prefix": "c1:100,1:10"}
    headers = prompt if path.startswith("/tell") else {}
    status, _, _ = await world.ask(daemon, path, attempt, **headers)
    return status


@pytest.mark.parametrize(("service", "path"), [("llm", "/tell/1"), ("desk", "/once/1")])
def test_a_late_refusal_of_one_request_is_not_that_of_another(play, service, path):
    """Guards against a call that runs twice as another's refusal is taken for its."""

    async def scenario(world):
        await world.store.put("config", "main", manifest())
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        target = LateTarget("t-1", address, service, {"a"}, "b")
        await world.list_target(target)
        daemon = await world.add_daemon()
        await ask(world, daemon, path, "a")
        status = await ask(world, daemon, path, "b")
        assert target.runs_by_attempt["b"] == 1
        assert status not in _NOT_RUN
        assert await ask(world, daemon, path, "c") == 200

    play(scenario)


def test_a_late_refusal_of_an_earlier_send_is_not_that_of_the_next(play):
    """Guards against a call that runs twice as its first refusal comes once more."""

    async def scenario(world):
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        target = LateTarget("desk-1", address, "desk", {"a"}, "a")
        await world.list_target(target)
        world.budget_seconds = 0.1
        daemon = await world.add_daemon()
        status = await ask(world, daemon, "/once/1", "a")
        assert (status, target.runs_by_attempt["a"]) == (200, 1)

    play(scenario)


class CarelessTarget(standins.Target):
    """A target that refuses calls at random, and sends any answer again at random.

    Attributes
    ----------
    runs_by_attempt : collections.Counter
        How often each call has run, at all such targets that share it.
    """

    def __init__(self, name, address, chance, runs_by_attempt):
        super().__init__(name, address)
        self.runs_by_attempt = runs_by_attempt
        self._chance = chance
        self._copies_by_writer = collections.defaultdict(list)

    async def _answer(self, headers, writer):
        copies = self._copies_by_writer[writer]
        await asyncio.sleep(0.002 * self._chance.random())
        if copies and self._chance.random() < 0.5:
            writer.write(copies.pop(0))
        answer = self._refusal_or_run(headers)
        writer.write(answer)
        if self._chance.random() < 0.3:
            copies.append(answer)

    def _refusal_or_run(self, headers):
        if self._chance.random() < 0.5:
            status = self._chance.choice((429, 503))
            return standins.make_answer(status, headers, {"X-Not-Executed": "1"})
        attempt = headers["x-attempt-id"]
        self.runs_by_attempt[attempt] += 1
        body = attempt.encode()
        return standins.make_answer(200, headers, {"X-Server-Stamp": "s"}, body)


@pytest.mark.parametrize("seed", range(3))
def test_no_call_runs_twice_whatever_comes_late(play, seed):
    """Guards against any answer that is taken for that of another send."""

    async def scenario(world):
        chance, runs = random.Random(seed), collections.Counter()
        address = f"127.0.0.1:{standins.free_ports(1)[0]}"
        await world.list_target(CarelessTarget("desk-1", address, chance, runs))
        daemon = await world.add_daemon()
        answers = {}

        async def call(worker):
            for number in range(100):
                attempt = f"{worker}.{number}"
                status, _, body = await world.ask(daemon, "/once/1", attempt)
                answers[attempt] = status, body

        await asyncio.gather(*(call(worker) for worker in range(2)))
        assert max(runs.values()) == 1
        for attempt, (status, body) in answers.items():
            assert status not in _NOT_RUN or not runs[attempt], attempt
            assert status != 200 or body == attempt.encode()
        assert sum(status == 200 for status, _ in answers.values()) > 50

    play(scenario)
