"""Quarantine records of requests that crash targets, with real daemons."""

import standins

from sesamespindle.decide import fingerprints

HEADERS = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
BAD = b"crash"
KIND = "quarantine"
# The fingerprint for the account `acme`, by the key that daemons on the platform share.
FINGERPRINT = fingerprints.Fingerprints("platform").of(
    "acme", fingerprints.of_content(b"POST", b"/chat/1", BAD)
)
RECORD = {"decided_at_ms": 1_780_000_000_000, "crashes": 3, "tries": 2}


async def ask_bad(world, daemon, request_id):
    status, headers, body = await world.ask(
        daemon, "/chat/1", request_id, body=BAD, **HEADERS
    )
    return status, headers.get("Retry-After"), body


def test_a_host_that_starts_refuses_quarantined_requests(play):
    """Guards against crashes by a quarantined request after all hosts restarted."""

    async def scenario(world):
        engine = await world.add_target("llm-1", "llm")
        await world.store.put(KIND, FINGERPRINT, RECORD)
        daemon = await world.add_daemon()
        status, retry_after, body = await ask_bad(world, daemon, "r1")
        assert (status, b"quarantined" in body) == (503, True)
        assert 60 <= float(retry_after) <= 90
        assert engine.runs == []
        status, _, _ = await world.ask(daemon, "/chat/1", "r2", **HEADERS)
        assert status == 200

    play(scenario)


def test_a_request_is_served_after_an_operator_removes_its_record(play):
    async def scenario(world):
        await world.add_target("llm-1", "llm")
        await world.store.put(KIND, FINGERPRINT, RECORD)
        daemon = await world.add_daemon()
        assert (await ask_bad(world, daemon, "r0"))[0] == 503
        await world.store.remove(KIND, FINGERPRINT)
        numbers = iter(range(1, 1000))

        async def is_served():
            return (await ask_bad(world, daemon, f"r{next(numbers)}"))[0] == 200

        await world.until(is_served)

    play(scenario)


def test_a_record_that_cannot_be_read_is_ignored(play):
    """Guards against a record that ends a host or has it refuse good requests."""

    async def scenario(world):
        await world.add_target("llm-1", "llm")
        await world.store.put(KIND, FINGERPRINT, {"decided_at_ms": "soon"})
        await world.store.put(KIND, "mine", RECORD)
        daemon = await world.add_daemon()
        assert (await ask_bad(world, daemon, "r1"))[0] == 200

    play(scenario)


def test_a_quarantine_is_written_and_shown_in_metrics_and_logs(play):
    """Guards against a quarantine that is lost when all hosts restart.

    A request is quarantined when three engines have crashed under it. Its record must
    then be in the platform's store.
    """

    async def scenario(world):
        engines = [await world.add_target(f"llm-{n}", "llm") for n in range(4)]
        for engine in engines:
            engine.crashed_by = BAD
        daemon = await world.add_daemon()
        answers = []

        async def is_written():
            answers.append(await ask_bad(world, daemon, f"r{len(answers)}"))
            status = await standins.status_of(
                f"http://{world.store.address}/v1/objects/{KIND}/{FINGERPRINT}"
            )
            return status == 200

        await world.until(is_written)
        assert sum(len(engine.crashes) for engine in engines) == 3
        first, *rest = answers
        assert first[0] == 502
        assert {status for status, _, _ in rest} <= {502, 503}
        url = f"http://{daemon.ip}:9105/metrics"
        async with world.session.get(url) as response:
            text = await response.text()
        assert "sesamespindle_requests_quarantined 1" in text
        assert any("target_crashed" in line for line in daemon.lines())

    play(scenario)


def test_a_host_that_the_platform_refuses_gets_records_from_peers(play):
    """Guards against a host that lets a quarantined request through.

    The platform refuses the calls of a host that starts.
    """

    async def scenario(world):
        await world.add_target("llm-1", "llm")
        await world.store.put(KIND, FINGERPRINT, RECORD)
        first = await world.add_daemon()
        world.store.turned_away.add(world.next_ip())
        second = await world.add_daemon(seeds=(first.ip,))
        numbers = iter(range(1, 1000))

        async def is_refused():
            answer = await ask_bad(world, second, f"r{next(numbers)}")
            return answer[0] == 503 and b"quarantined" in answer[2]

        await world.until(is_refused)

    play(scenario)
