"""Requests that wait at their host for room, with real daemons."""

import asyncio
import contextlib
import json

import pytest


@pytest.fixture(autouse=True)
def queues_are_on(monkeypatch, tmp_path):
    """Switch the part on for the daemons of a test."""
    path = tmp_path / "parts.yaml"
    path.write_text("queues: on\n")
    monkeypatch.setenv("SESAMESPINDLE_PARTS", str(path))


@contextlib.asynccontextmanager
async def waiting_call(world, grace):
    """Yield daemon, target and the answer to come of a call that waits for room."""
    target = await world.add_target("desk-0")
    world.budget_seconds = 0.1
    daemon = await world.add_daemon(grace=grace)
    target.turns_away = True

    async def waits():
        return any("Waits for desk" in line for line in daemon.lines())

    async with asyncio.TaskGroup() as asking:
        answer = asking.create_task(world.ask(daemon, "/once/1", "r1"))
        await world.until(waits)
        yield daemon, target, answer


def test_a_call_that_all_targets_turned_away_is_served_once_one_has_room(play):
    """Guards against a refusal although a place is free a moment later."""

    async def scenario(world):
        async with waiting_call(world, 8) as (_, target, answer):
            target.turns_away = False
            status, _, _ = await answer
        assert status == 200
        assert len(target.runs) == 1

    play(scenario)


def test_a_host_that_is_stopped_answers_those_who_wait(play):
    """Guards against callers whose connection is closed without an answer."""

    async def scenario(world):
        async with waiting_call(world, 2) as (daemon, target, answer):
            daemon.terminate()
            status, headers, body = await answer
        assert status == 503
        assert json.loads(body)["Error"] == "shutting_down"
        assert "Retry-After" in headers
        assert target.runs == []

    play(scenario)
