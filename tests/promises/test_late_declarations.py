"""Declarations are active at every entry in time, whatever its connections do."""

import asyncio
import re
import shutil

import pytest

# The users' target: a change is active everywhere within this many seconds.
ACTIVE_WITHIN_SECONDS = 13.0


@pytest.fixture(scope="module")
def running_fleet(start_fleet):
    return start_fleet(
        engines=0, store_hosts=0, services=0, data_centres=1, proxy_platform=True
    )


async def revisions(running_fleet):
    return {
        (await running_fleet.status(name))["revision"]
        for name in running_fleet.entry_names
    }


async def apply(running_fleet, folder):
    arguments = ("apply", str(folder), "--base", f"{folder}.base")
    code, output = await running_fleet.cli(*arguments)
    assert code == 0, output


def test_a_change_is_active_in_time_after_platform_connections_fell_silent(
    running_fleet, go, tmp_path
):
    """Guards against entries that take a silent watch for the absence of changes."""

    async def run():
        folder = tmp_path / "declarations"
        shutil.copytree(running_fleet.plan.example, folder)
        await apply(running_fleet, folder)
        before = max(await revisions(running_fleet))

        async def is_settled():
            return await revisions(running_fleet) == {before}

        await running_fleet.until(is_settled)
        contracts = folder / "contracts.yaml"
        text = contracts.read_text()
        pattern = r"(name: training\nconcurrency: )\d+"
        contracts.write_text(re.sub(pattern, r"\g<1>5", text))
        await running_fleet.proxy_fault("platform", silence=True)
        await apply(running_fleet, folder)
        acknowledged = asyncio.get_running_loop().time()
        while await revisions(running_fleet) != {before + 1}:
            late = asyncio.get_running_loop().time() - acknowledged
            assert late <= ACTIVE_WITHIN_SECONDS
            await asyncio.sleep(0.05)

    go(run())
