"""Clients that take a stream up in unusual ways get events of one version alone."""

import asyncio

import aiohttp
import pytest
import standins
import versionfleet

_STREAMS = 12
_READ_EVENTS = 2
# Of the clients that come twice at once, at least this share goes on.
_LEAST_SHARE = 0.9


async def _ask(fleet, host, attempt, most_events=None, **headers):
    """Return the status of a stream, and the versions of its events."""
    sent = {
        "Host": "a.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "9000",
        "X-Api-Key": standins.KEY,
        "X-Model": "m",
        "X-Prompt-Prefix": f"c1:100,{attempt.encode().hex()}:10",
    } | headers
    versions, status = [], 0
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                host.url("/chat/1"), headers=sent, data=attempt.encode()
            ) as response,
        ):
            status = response.status
            async for line in response.content:
                if line.startswith(b"data:") and status == 200:
                    versions.append(line[5:].strip().decode())
                if most_events is not None and len(versions) >= most_events:
                    response.close()
                    break
    except (aiohttp.ClientError, OSError):
        pass
    return status, versions


async def _begin(fleet, number):
    host = fleet.hosts[number % len(fleet.hosts)]
    attempt = f"first{number}"
    status, versions = await _ask(fleet, host, attempt, _READ_EVENTS)
    assert status == 200
    return attempt, versions[0]


async def _start(world):
    fleet = versionfleet.Fleet(world, breaks=False)
    for software in ("v1.1", "v1.2", "v1.1", "v1.2"):
        await fleet.add_engine(software, breaks=False)
    await fleet.add_hosts(3)
    return fleet


def test_clients_that_come_twice_at_once_go_on_at_one_version(play):
    async def scenario(world):
        fleet = await _start(world)
        goes_on = []
        for number in range(_STREAMS):
            attempt, version = await _begin(fleet, number)
            resumes = {"Resumes": attempt, "Last-Event-Id": str(_READ_EVENTS)}
            others = (fleet.hosts[(number + 1) % 3], fleet.hosts[(number + 2) % 3])
            ends = await asyncio.gather(
                *(
                    _ask(fleet, host, f"again{number}.{place}", **resumes)
                    for place, host in enumerate(others)
                )
            )
            for status, versions in ends:
                assert set(versions) <= {version}
                goes_on.append(status == 200 and bool(versions))
        assert sum(goes_on) >= _LEAST_SHARE * len(goes_on)

    play(scenario)


@pytest.mark.parametrize("resumes", ["", "unknown", "x" * 4000, "a b, c", "../config"])
def test_a_stream_whose_beginning_is_not_known_goes_on_at_no_other_version(
    play, resumes
):
    async def scenario(world):
        fleet = await _start(world)
        for number in range(4):
            await _begin(fleet, number)
            host = fleet.hosts[(number + 1) % 3]
            status, versions = await _ask(
                fleet,
                host,
                f"again{number}",
                **{"Resumes": resumes, "Last-Event-Id": str(_READ_EVENTS)},
            )
            assert status != 200
            assert not versions

    play(scenario)
