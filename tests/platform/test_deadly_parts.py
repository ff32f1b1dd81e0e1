"""A prompt part that crashes engines is found and refused, whatever else comes with it.

Guards against engines that end one after the other under prompts of which no two are
alike: each has a fingerprint of its own, and only a part in common.
"""

import asyncio
import signal

import partfleet
import pytest

_DEADLY, _OTHER = "dead01", "dead02"
_SECONDS = 14.0
_CALM_SECONDS = 1.0


def assert_stopped(fleet, parts=(_DEADLY,)):
    """Check that few prompts with a part reach engines, and sound ones begin."""
    for part in parts:
        late = fleet.late_arrivals(part)
        assert len(late) <= partfleet.MOST_LATE_ARRIVALS, fleet.summary()
        since = fleet.known_at(part) + 2 * partfleet.CONTACT_SECONDS
        assert fleet.begun_share(since) >= partfleet.LEAST_BEGUN, fleet.summary()


async def _serve_on(fleet):
    await asyncio.sleep(_SECONDS)


async def _until_known(fleet):
    async with asyncio.timeout(_SECONDS):
        while fleet.known_at(_DEADLY) is None:
            await asyncio.sleep(0.05)


async def _stop_a_host(fleet):
    await asyncio.sleep(1.0)
    fleet.hosts[1].send_signal(signal.SIGSTOP)
    await asyncio.sleep(6.0)
    fleet.hosts[1].send_signal(signal.SIGCONT)
    await asyncio.sleep(_SECONDS - 6.0)


async def _kill_all_hosts(fleet):
    await _until_known(fleet)
    await asyncio.sleep(5.0)
    await fleet.restart_all()
    await asyncio.sleep(_SECONDS)


async def _end_engines_too(fleet):
    await fleet.end_by_themselves(5, 0.8)
    await asyncio.sleep(_SECONDS - 4.0)


async def _turn_a_host_away(fleet):
    fleet.world.store.turned_away.add(fleet.hosts[2].ip)
    await asyncio.sleep(_SECONDS / 2)
    fleet.world.store.turned_away.clear()
    await asyncio.sleep(_SECONDS / 2)


async def _restart_a_host(fleet):
    await _until_known(fleet)
    host = fleet.hosts[0]
    fleet.serving.remove(host)
    host.send_signal(signal.SIGKILL)
    await host.ended()
    await host.start()
    await fleet.world.until(lambda: fleet.world.is_ready(host))
    fleet.serving.append(host)
    await asyncio.sleep(_SECONDS)


@pytest.mark.parametrize(
    "happens",
    [
        _serve_on,
        _stop_a_host,
        _kill_all_hosts,
        _end_engines_too,
        _turn_a_host_away,
        _restart_a_host,
    ],
)
def test_a_deadly_part_ends_few_engines(play, happens):
    async def scenario(world):
        async with partfleet.fleet(world, (_DEADLY,)) as fleet:
            async with partfleet.running(fleet.send_sound(30)):
                await asyncio.sleep(_CALM_SECONDS)
                async with partfleet.running(fleet.send_deadly(_DEADLY, 4)):
                    await happens(fleet)
            assert_stopped(fleet)

    play(scenario)


def test_a_deadly_part_may_come_first(play):
    async def scenario(world):
        async with partfleet.fleet(world, (_DEADLY,)) as fleet:
            async with partfleet.running(fleet.send_sound(30)):
                await asyncio.sleep(_CALM_SECONDS)
                deadly = fleet.send_deadly(_DEADLY, 4, comes_first=True)
                async with partfleet.running(deadly):
                    await _serve_on(fleet)
            assert_stopped(fleet)

    play(scenario)


def test_a_deadly_part_that_comes_slowly(play):
    async def scenario(world):
        async with partfleet.fleet(world, (_DEADLY,)) as fleet:
            async with partfleet.running(fleet.send_sound(15)):
                await asyncio.sleep(_CALM_SECONDS)
                async with partfleet.running(fleet.send_deadly(_DEADLY, 1)):
                    await _serve_on(fleet)
            assert_stopped(fleet)

    play(scenario)


def test_two_deadly_parts_at_once(play):
    async def scenario(world):
        parts = (_DEADLY, _OTHER)
        async with partfleet.fleet(world, parts) as fleet:
            async with partfleet.running(fleet.send_sound(30)):
                await asyncio.sleep(_CALM_SECONDS)
                deadly = [fleet.send_deadly(part, 2) for part in parts]
                async with partfleet.running(*deadly):
                    await _serve_on(fleet)
            assert_stopped(fleet, parts)

    play(scenario)


def test_a_deadly_part_at_all_hosts_at_once(play):
    async def scenario(world):
        async with partfleet.fleet(world, (_DEADLY,)) as fleet:
            async with partfleet.running(fleet.send_sound(30)):
                await asyncio.sleep(_CALM_SECONDS)
                async with asyncio.TaskGroup() as sent:
                    for host in fleet.hosts:
                        sent.create_task(fleet.send_deadly_once(_DEADLY, host=host))
                async with partfleet.running(fleet.send_deadly(_DEADLY, 4)):
                    await _serve_on(fleet)
            assert_stopped(fleet)

    play(scenario)


def test_engines_that_end_by_themselves_get_nobody_refused(play):
    async def scenario(world):
        async with partfleet.fleet(world, ()) as fleet:
            async with partfleet.running(fleet.send_sound(30)):
                await asyncio.sleep(_CALM_SECONDS)
                await fleet.end_by_themselves(10, 0.6)
                await asyncio.sleep(2.0)
            assert fleet.begun_share(0.0) >= partfleet.LEAST_BEGUN, fleet.summary()
            for text in ("_quarantined", "Refused: suspected"):
                lines = fleet.lines(text)
                assert not lines, "\n".join(lines)

    play(scenario)
