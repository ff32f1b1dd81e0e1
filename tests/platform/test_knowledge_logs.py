"""What the log of a real daemon says of the knowledge that a decision rests on."""

import json


def messages(daemon, text):
    found = [json.loads(line)["message"] for line in daemon.lines() if text in line]
    return [message for message in found if text in message]


def has_logged(daemon, text):
    """Return an asynchronous condition: whether a daemon has logged a text."""

    async def condition():
        return bool(messages(daemon, text))

    return condition


def test_a_refusal_says_by_which_version_from_where_and_how_old(play):
    """Guards against a refusal of which nobody can tell whether it was right."""

    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.add_daemon()
        status, _, _ = await world.ask(daemon, "/unknown/1", "r1")
        assert status == 404
        await world.until(has_logged(daemon, "Refused: no_route"))
        [line] = messages(daemon, "Refused: no_route")
        assert "Configuration 1 is active, from a listing" in line
        assert "complete up to revision" in line
        assert " s old." in line

    play(scenario)


def test_a_send_says_how_old_the_list_of_targets_is(play):
    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.add_daemon()
        status, _, _ = await world.ask(daemon, "/once/1", "r1")
        assert status == 200
        await world.until(has_logged(daemon, "Sent to target desk-1"))
        [line] = messages(daemon, "Sent to target desk-1")
        assert "Targets are known from" in line

    play(scenario)
