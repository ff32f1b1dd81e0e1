"""Lists of the platform's store that may be stale prove nothing."""

import standins


def test_a_change_is_in_force_while_lists_that_may_be_stale_are(play):
    """Guards against an old list taken for proof that no later change exists."""

    async def scenario(world):
        await world.add_target("desk-1")
        daemons = [await world.add_daemon()]
        world.store.is_stale = True
        changed = standins.make_manifest(2, keys=("new",))
        await world.store.put("config", "main", changed)
        # Whoever watches has to list again.
        world.store.forget_history()
        daemons.append(await world.add_daemon((daemons[0].ip,)))

        async def is_in_force(daemon):
            status, _, _ = await world.ask(daemon, "/once/1", "r1")
            return status == 401

        for daemon in daemons:
            await world.until(lambda daemon=daemon: is_in_force(daemon))
        assert world.store.kinds_asked_stale <= {"entries"}

    play(scenario)
