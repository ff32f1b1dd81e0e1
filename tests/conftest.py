"""Fixtures that all tests share: an event loop, and fleets of real processes."""

import asyncio
import pathlib

import pytest
import standins
import uvloop

from sesamespindle.lab import fleet

ROOT = pathlib.Path(__file__).parent.parent
# The folders whose files take longest, the longest first.
_LONGEST_FOLDERS = ("soak", "platform", "promises")


def pytest_collection_modifyitems(items):
    """Begin with the files that take longest, as workers idle beside the last ones."""
    folders = [*_LONGEST_FOLDERS, ""]

    def place(item):
        folder = item.path.parent.name
        return folders.index(folder if folder in _LONGEST_FOLDERS else "")

    items.sort(key=place)


@pytest.fixture(scope="session")
def loop_runner():
    """Provide the event loop that runs the coroutines of all tests."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        yield runner


@pytest.fixture
def go(loop_runner):
    """Provide a function that runs a coroutine to its end and returns its result."""
    return loop_runner.run


@pytest.fixture
def play(go):
    """Provide a function that runs a scenario, a coroutine function, in a new world."""

    def run(scenario):
        async def run_in_world():
            async with standins.World() as world:
                await scenario(world)

        go(run_in_world())

    return run


@pytest.fixture
def seen():
    """Provide a dictionary in which the steps of a scenario pass values on."""
    return {}


@pytest.fixture(scope="session")
def shared_fleet(loop_runner, tmp_path_factory):
    """Provide one fleet, shared by all tests that do not disturb it."""
    plan = fleet.Plan(
        example=ROOT / "examples" / "umoja", folder=tmp_path_factory.mktemp("shared")
    )
    new_fleet = fleet.Fleet(plan)
    loop_runner.run(new_fleet.__aenter__())
    yield new_fleet
    loop_runner.run(new_fleet.__aexit__(None, None, None))


@pytest.fixture(scope="module")
def start_fleet(loop_runner, tmp_path_factory):
    """Provide a function that starts a fleet, which is stopped after the module."""
    started = []

    def start(example="umoja", **plan_options):
        plan = fleet.Plan(
            example=ROOT / "examples" / example,
            folder=tmp_path_factory.mktemp("fleet"),
            **plan_options,
        )
        new_fleet = fleet.Fleet(plan)
        loop_runner.run(new_fleet.__aenter__())
        started.append(new_fleet)
        return new_fleet

    yield start
    for new_fleet in reversed(started):
        loop_runner.run(new_fleet.__aexit__(None, None, None))
