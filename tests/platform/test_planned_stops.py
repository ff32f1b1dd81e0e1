"""What callers get of a host that is stopped in calm while they go on asking it."""

import asyncio
import dataclasses
import itertools

import aiohttp
import pytest
import standins

_GRACE_SECONDS = 6
_CALLERS = 16
# Targets work for as long as this by turns; the longest is over half of the grace time.
_WORK_SECONDS = (0.02, 0.3, 0.3, 1.5, 3.5)
# How long after its SIGTERM a host may take requests that may not be done by its end.
_TOLD_SECONDS = 3.0
_PATHS = {"unsafe": "/once/1", "safe": "/read/1"}


class SlowTarget(standins.Target):
    """A target that works on requests for different times, on several at once."""

    def __init__(self, *args):
        super().__init__(*args)
        self._work = itertools.cycle(_WORK_SECONDS)

    async def _answer(self, headers, writer):
        await asyncio.sleep(next(self._work))
        await super()._answer(headers, writer)


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """One request, and the status that its caller got; None if it was cut."""

    attempt: str
    sent_at: float
    status: int | None


class Callers:
    """Callers that ask one host again and again until it is gone.

    Attributes
    ----------
    asked : list of Asked
        All requests that the host may have read.
    """

    def __init__(self, daemon, path):
        self._daemon = daemon
        self._path = path
        self.asked = []

    async def ask(self, number):
        """Ask until the host refuses connections, every other caller on a kept one."""
        loop = asyncio.get_running_loop()
        connector = aiohttp.TCPConnector(force_close=number % 2 == 0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            for turn in itertools.count():
                attempt = f"r{number}.{turn}"
                sent_at = loop.time()
                try:
                    status = await self._ask_once(session, attempt)
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError:
                    status = None
                self.asked.append(Asked(attempt, sent_at, status))
                await asyncio.sleep(0.01)

    async def _ask_once(self, session, attempt):
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "9000",
            "X-Api-Key": standins.KEY,
        }
        async with session.post(
            self._daemon.url(self._path), headers=headers, data=b"b"
        ) as response:
            await response.read()
            return response.status


@pytest.mark.parametrize("kind", _PATHS)
def test_a_planned_stop_cuts_no_request_that_it_has_taken(play, kind):
    """Guards against bookings that are passed on late in the grace time, and cut."""

    async def scenario(world):
        targets = []
        for number in range(3):
            address = f"127.0.0.1:{standins.free_ports(1)[0]}"
            target = SlowTarget(f"desk-{number}", address, "desk")
            targets.append(await world.list_target(target))
        daemon = await world.add_daemon(grace=_GRACE_SECONDS)
        callers = Callers(daemon, _PATHS[kind])
        asking = [asyncio.create_task(callers.ask(n)) for n in range(_CALLERS)]

        async def is_steady():
            return len(callers.asked) > 4 * _CALLERS

        await world.until(is_steady)
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        daemon.terminate()
        assert await daemon.ended() == 0
        assert loop.time() - stopped_at < _GRACE_SECONDS
        await asyncio.gather(*asking)

        ran = {run["x-attempt-id"] for target in targets for run in target.runs}
        cut = [a for a in callers.asked if a.status is None and a.attempt in ran]
        assert not cut
        refused = [a for a in callers.asked if a.status == 503 and a.attempt in ran]
        assert not refused
        late = [a for a in callers.asked if a.sent_at > stopped_at + _TOLD_SECONDS]
        assert {a.status for a in late} <= {200, 503, None}, late
        assert late

    play(scenario)
