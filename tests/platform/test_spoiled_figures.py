"""Figures that can't be right, in answers of targets and requests of callers."""

import asyncio

import pytest
import standins

PROMPT = {"X-Model": "m", "X-Prompt-Prefix": "c1:100,1:10", "X-Token-Count": "110,3"}


async def add_hosts(world):
    """Start two hosts that tell each other what they know."""
    first = await world.add_daemon()
    return [first, await world.add_daemon(seeds=(first.ip,))]


async def greet_another(world, hosts):
    """Start one more host, and wait until the others have exchanged messages with it.

    A host that ended by a value did so as it made its next message.
    """
    new = await world.add_daemon(seeds=tuple(host.ip for host in hosts))

    async def has_met(host):
        assert host.is_running
        return any(f"entry_live {new.name}." in line for line in host.lines())

    for host in hosts:
        await world.until(lambda host=host: has_met(host))


@pytest.mark.parametrize("version", ["1" * 24, "9" * 5000, "\xb2", "-1"])
def test_a_spoiled_weight_version_ends_no_host(play, version):
    """Guards against hosts that end as they tell each other what a target wrote."""

    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        target.signals = {"X-Weight-Versions": version}
        hosts = await add_hosts(world)
        for number, host in enumerate(hosts):
            status, _, _ = await world.ask(host, "/chat/1", f"r{number}", **PROMPT)
            assert status == 200
        await greet_another(world, hosts)
        for host in hosts:
            assert any("target_signal_unreadable" in line for line in host.lines())

    play(scenario)


@pytest.mark.parametrize("limit", [2**64 - 1, 10**30, 2**31, "9" * 3000])
def test_a_prompt_without_a_limit_ends_no_host(play, limit):
    """Guards against hosts that end as they add up what callers allow answers."""

    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        hosts = await add_hosts(world)
        target.release.clear()
        headers = PROMPT | {"X-Token-Count": f"110,{limit}"}
        asked = [
            asyncio.create_task(world.ask(host, "/chat/1", f"r{number}", **headers))
            for number, host in enumerate(hosts)
        ]
        await target.began.wait()
        await greet_another(world, hosts)
        target.release.set()
        assert [(await answer)[0] for answer in asked] == [200, 200]
        assert {run["x-token-count"] for run in target.runs} == {f"110,{limit}"}

    play(scenario)


def test_a_prompt_that_no_engine_can_hold_is_refused_at_once(play):
    """Guards against prompts that wander from engine to engine until their deadline."""

    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        host = await world.add_daemon()
        headers = PROMPT | {"X-Prompt-Prefix": "c1:1001"}
        status, _, body = await world.ask(host, "/chat/1", "r1", **headers)
        assert (status, target.arrivals) == (503, [])
        assert b"prompt_too_large" in body

    play(scenario)


async def send_raw(host, headers):
    """Send a prompt with headers of any bytes; return the status."""
    lines = [
        b"POST /chat/1 HTTP/1.1",
        b"Host: a.example",
        b"X-Attempt-Id: r1",
        b"X-Api-Key: " + standins.KEY.encode(),
        b"X-Prompt-Prefix: c1:100,1:10",
        b"Content-Length: 0",
        b"Connection: close",
        *headers,
    ]
    reader, writer = await asyncio.open_connection(host.ip, host.front_port)
    writer.write(b"\r\n".join([*lines, b"", b""]))
    answer = await reader.read()
    writer.close()
    return int(answer.split()[1])


@pytest.mark.parametrize(
    ("header", "status"),
    [
        (b"X-Model: m\xe9", 503),
        (b"X-Other: \xff", 503),
        (b"X-Other: \xc3\xa9", 200),
    ],
)
def test_a_header_that_cannot_be_forwarded_unchanged_is_refused(play, header, status):
    """Guards against a prompt that runs at another model, as a byte was left out."""

    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        host = await world.add_daemon()
        model = [] if header.startswith(b"X-Model") else [b"X-Model: m"]
        assert await send_raw(host, [header, *model]) == status
        assert len(target.runs) == (status == 200)
        assert (await world.ask(host, "/chat/1", "r2", **PROMPT))[0] == 200

    play(scenario)
