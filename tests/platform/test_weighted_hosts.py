"""Callers are told of hosts by weight where the deployment calls for it."""

import re

import pytest

_CHOICES = {"on": "1000", "off": "0"}


@pytest.mark.parametrize("choice", _CHOICES)
def test_hosts_tell_what_they_can_carry_only_where_it_is_called_for(
    play, choice, tmp_path, monkeypatch
):
    """Guards against other deployments whose hosts tell each other more than before."""
    parts = tmp_path / "parts.yaml"
    parts.write_text(f"weighted_hosts: {choice}\n")
    monkeypatch.setenv("SESAMESPINDLE_PARTS", str(parts))

    async def scenario(world):
        await world.add_target("desk-1")
        first = await world.add_daemon()
        second = await world.add_daemon((first.ip,))

        async def names_both():
            async with world.session.get(first.directory_url()) as answer:
                return len((await answer.json())["Addresses"]) == 2

        async def has_logged():
            return any("Callers are told of 2 hosts" in line for line in first.lines())

        await world.until(names_both)
        await world.until(has_logged)
        async with world.session.get(f"http://{second.ip}:9105/metrics") as answer:
            [told] = re.findall(r"own_capacity\S* (\d+)", await answer.text())
        assert told == _CHOICES[choice]

    play(scenario)
