"""The soak's own servers."""

import asyncio

from soak import world


def test_a_targets_record_lists_the_weights_that_it_has_loaded():
    """Guards against a soak in which a host that starts takes all weights for old."""

    async def run():
        async with world.World(1, daemons=0) as fleet:
            engine = fleet.engines()[0]
            status = await engine._carry_out_order({"Version": 2})
            return status, fleet.store.spec("servers", engine.name)

    status, record = asyncio.run(run())
    assert status == 202
    assert record["Models"] == [{"Name": "m", "Version": 2}]
