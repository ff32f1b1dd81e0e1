"""An answer is taken only for the send that it belongs to."""

import collections
import copy

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
