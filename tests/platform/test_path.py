"""Requests from end to end, with a real daemon and simulated targets and store."""

import asyncio

import standins


def test_a_request_goes_through_unchanged_but_for_the_systems_headers(play):
    async def scenario(world):
        target = await world.add_target("desk-1")
        daemon = await world.add_daemon()
        status, headers, body = await world.ask(
            daemon, "/once/a%2Fb?x=%20", "r1", **{"X-Hold": "mine", "X-Tenant": "bank"}
        )
        assert (status, body) == (200, b"desk-1 ran r1")
        assert headers["X-Server-Stamp"] == "s"
        run = target.runs[0]
        assert run["x-tenant"] == "acme"
        assert run["x-expect-instance"] == "desk-1"
        assert int(run["x-deadline-ms"]) <= 9000
        assert "x-api-key" not in run
        assert "x-hold" not in run

    play(scenario)


def test_a_stream_is_relayed_event_by_event(play):
    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        target.release.clear()
        daemon = await world.add_daemon()
        headers = {
            "Host": "a.example",
            "X-Attempt-Id": "r1",
            "X-Api-Key": standins.KEY,
            "X-Model": "m",
            "X-Prompt-Prefix": "aa:100,bb:10",
        }
        async with world.session.post(
            daemon.url("/chat/1"), headers=headers
        ) as response:
            first = await response.content.readuntil(b"\n\n")
            assert first == b"id: 1\ndata: token\n\n"
            target.release.set()
            rest = await response.content.read()
        assert rest.count(b"id: ") == 2
        assert target.runs[0]["x-expect-version"] == "1"

    play(scenario)


def test_a_stream_is_resumed_at_another_engine_when_its_engine_dies(play):
    """An engine dies in the middle of a stream that may be resumed.

    The caller must get each event once and in order, so another engine is asked for
    the events after the last complete one.
    """

    async def scenario(world):
        engines = [await world.add_target(f"llm-{n}", "llm") for n in (1, 2)]
        for engine in engines:
            engine.release.clear()
        world.budget_seconds = 0.1
        daemon = await world.add_daemon()
        headers = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
        request_task = asyncio.create_task(
            world.ask(daemon, "/chat/1", "r1", **headers)
        )
        await world.until(lambda: _any_has_run(engines))
        dying = next(engine for engine in engines if engine.runs)
        other = next(engine for engine in engines if not engine.runs)
        other.release.set()
        await world.until(lambda: _reset_connections(dying))
        status, _, body = await request_task
        assert status == 200
        assert [line for line in body.splitlines() if line.startswith(b"id")] == [
            b"id: 1",
            b"id: 2",
            b"id: 3",
        ]
        assert other.runs[0]["last-event-id"] == "1"

    play(scenario)


async def _any_has_run(targets):
    return any(target.runs for target in targets)


async def _reset_connections(target):
    """Reset the connections of a target once there are any; return whether it did.

    The target gets 50 ms to send its first event.
    """
    if not target.writers:
        return False
    await asyncio.sleep(0.05)
    for writer in target.writers:
        writer.transport.abort()
    return True


def test_a_booking_is_not_retried_when_its_answer_is_lost(play):
    """A target runs a booking, and its connection is reset before the answer.

    Guards against a retry, which might run the booking twice, and against a status that
    says that it has not run.
    """

    async def scenario(world):
        targets = [await world.add_target(f"desk-{n}") for n in (1, 2)]
        for target in targets:
            target.loses_answers = True
        daemon = await world.add_daemon()
        status, _, _ = await world.ask(daemon, "/once/1", "r1")
        assert status == 502
        assert sum(len(target.runs) for target in targets) == 1

    play(scenario)


def test_a_large_answer_without_a_length_is_relayed_completely(play):
    async def scenario(world):
        target = await world.add_target("desk-1")
        target.unframed_bytes = 900_000
        daemon = await world.add_daemon()
        status, _, body = await world.ask(daemon, "/once/1", "r1")
        assert (status, len(body)) == (200, 900_000)

    play(scenario)


def test_a_truncated_answer_without_a_length_does_not_look_complete(play):
    """The connection is reset in the middle of an answer that has no length.

    Such an answer ends when its connection closes, and a reset looks like a close.
    Guards against a truncated answer that is relayed as a complete one.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.unframed_bytes = 100
        target.resets_unframed = True
        daemon = await world.add_daemon()
        status, _, _ = await world.ask(daemon, "/once/1", "r1")
        assert status == 502

    play(scenario)


def test_two_requests_of_one_id_are_not_both_run(play):
    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        target.release.clear()
        daemon = await world.add_daemon()
        headers = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
        first = asyncio.create_task(world.ask(daemon, "/chat/1", "r1", **headers))
        await target.began.wait()
        assert (await world.ask(daemon, "/chat/1", "r1", **headers))[0] == 502
        target.release.set()
        assert (await first)[0] == 200
        assert len(target.runs) == 1

    play(scenario)


def test_an_unrequested_second_answer_reaches_no_caller(play):
    """A target sends a second answer on a connection that is kept open.

    Guards against the next caller on that connection getting it. Targets echo the id of
    the request, and a connection on which unrequested bytes arrive isn't reused.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        target.second_answer = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nX-Server-Stamp: s\r\n"
            b"Content-Length: 3\r\n\r\nold"
        )
        daemon = await world.add_daemon()
        for number in range(5):
            status, _, body = await world.ask(daemon, "/read/1", f"r{number}")
            assert (status, body) == (200, f"desk-1 ran r{number}".encode())

    play(scenario)


def test_a_target_at_a_reused_address_runs_nothing_for_its_predecessor(play):
    """A target is gone, and a target of another service has its address now.

    The platform still lists the old one. The new one must not run the request, which
    goes to the remaining target of the service instead.
    """

    async def scenario(world):
        await world.add_target("desk-1")
        new = await world.add_target("other-1", "other")
        stale = standins.Target("desk-2", new.address)
        await world.store.put("servers", "desk-2", stale.entry())
        daemon = await world.add_daemon()
        for number in range(4):
            status, _, body = await world.ask(daemon, "/once/1", f"r{number}")
            assert (status, body) == (200, f"desk-1 ran r{number}".encode())
        assert new.runs == []

    play(scenario)


def test_a_leaving_target_gets_no_new_request(play):
    async def scenario(world):
        targets = [await world.add_target(f"desk-{n}") for n in (1, 2)]
        daemon = await world.add_daemon()
        await world.store.put("servers", "desk-1", targets[0].entry("draining"))
        await world.until(lambda: _has_logged(daemon, "target_leaving desk-1"))
        for number in range(6):
            await world.ask(daemon, "/read/1", f"r{number}")
        assert targets[0].runs == []

    play(scenario)


def test_a_booking_uses_no_connection_to_an_earlier_incarnation(play):
    """A target loses power and starts again with the same name and address.

    A kept connection to its earlier incarnation still looks open. Guards against a
    booking that is sent over it and lost: it doesn't run, but nobody can know that.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        daemon = await world.add_daemon()
        assert (await world.ask(daemon, "/once/1", "r1"))[0] == 200
        target.begin_incarnation(is_seen=False)
        await world.store.put("servers", "desk-1", target.entry())
        await world.until(lambda: _has_logged(daemon, "target_restarted desk-1"))
        status, _, body = await world.ask(daemon, "/once/1", "r2")
        assert (status, body) == (200, b"desk-1 ran r2")

    play(scenario)


def test_a_target_that_drained_and_started_again_is_used(play):
    async def scenario(world):
        target = await world.add_target("desk-1")
        daemon = await world.add_daemon()
        await world.store.put("servers", "desk-1", target.entry("draining"))
        await world.until(lambda: _has_logged(daemon, "target_leaving desk-1"))
        target.begin_incarnation()
        await world.store.put("servers", "desk-1", target.entry())
        await world.until(lambda: _has_logged(daemon, "target_restarted desk-1"))
        assert (await world.ask(daemon, "/once/1", "r1"))[0] == 200

    play(scenario)


_MALFORMED_FIELDS = (
    {"Service": ["desk"]},
    {"Service": 7},
    {"Address": None},
    {"Address": "nowhere"},
    {"State": "resting"},
    {"Slots": float("inf")},
    {"Slots": -1},
    {"Zone": ["dc-1"]},
    {"born": "today"},
)


def test_malformed_records_are_ignored_and_valid_ones_are_used(play):
    """Another writer adds malformed records of targets and overwrites valid ones.

    Guards against a host that uses them as targets, or that fails on one of them and
    keeps an outdated list of targets for as long as that record exists.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        template = standins.Target("desk-9", "127.0.0.1:9")
        for number, malformed in enumerate(_MALFORMED_FIELDS):
            await world.store.put(
                "servers", f"a-{number}", template.entry() | malformed
            )
        daemon = await world.add_daemon()
        second_target = await world.add_target("desk-2")
        await world.until(lambda: _has_logged(daemon, "target_listed desk-2"))
        await world.store.put(
            "servers", "desk-2", second_target.entry() | {"Service": 7}
        )
        await world.until(lambda: _has_logged(daemon, "target_set_aside desk-2"))
        for number in range(8):
            assert (await world.ask(daemon, "/once/1", f"r{number}"))[0] == 200
        assert len(target.runs) == 8
        await world.store.put("servers", "desk-2", second_target.entry())
        await world.store.put("servers", "desk-1", target.entry("draining"))
        await world.until(lambda: _has_logged(daemon, "target_leaving desk-1"))
        assert (await world.ask(daemon, "/once/1", "r9"))[0] == 200
        assert len(second_target.runs) == 1

    play(scenario)


async def _has_logged(daemon, text):
    return any(text in line for line in daemon.lines())


def test_a_new_configuration_becomes_active_and_an_unreadable_one_does_not(play):
    """An operator writes a configuration that this version of the program can't read.

    The daemon logs the place of the fault and keeps the last configuration that it
    could read.
    """

    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.add_daemon()
        await world.store.put("config", "main", {"Version": 2, "Routes": [{}]})
        await world.until(lambda: _has_logged(daemon, "Routes.0.Host"))
        assert (await world.ask(daemon, "/once/1", "r1"))[0] == 200
        changed = standins.make_manifest(3, keys=("new",))
        await world.store.put("config", "main", changed)
        await world.until(lambda: _has_logged(daemon, "configuration 3"))
        assert (await world.ask(daemon, "/once/1", "r2"))[0] == 401
        status, _, _ = await world.ask(daemon, "/once/1", "r3", **{"X-Api-Key": "new"})
        assert status == 200
        assert (await world.ask(daemon, "/none/1", "r4"))[0] == 404

    play(scenario)


def test_requests_are_served_while_the_store_is_unavailable(play):
    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.add_daemon()
        world.store.is_away = True
        await world.store.put("servers", "desk-9", {})
        await world.until(lambda: _has_logged(daemon, "The platform does not answer"))
        assert (await world.ask(daemon, "/once/1", "r1"))[0] == 200

    play(scenario)


def test_a_store_with_malformed_answers_counts_as_unavailable(play):
    """Something between host and store answers 200 with other content.

    Guards against a host that takes it for an empty list and loses all its targets. The
    host logs the malformed answer, serves with the state that it has, and recovers.
    """

    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.add_daemon()
        world.store.speaks_nonsense = True
        await world.store.put("servers", "desk-9", {})
        await world.until(lambda: _has_logged(daemon, "an answer that can't be read"))
        assert (await world.ask(daemon, "/once/1", "r1"))[0] == 200
        world.store.speaks_nonsense = False
        await world.store.put("config", "main", standins.make_manifest(2, keys=()))
        await world.until(lambda: _has_logged(daemon, "configuration 2"))

    play(scenario)


def test_a_host_that_cannot_reach_the_store_learns_from_its_peers(play):
    """The store serves one host and resets the connections of the other one.

    A key is revoked meanwhile. The host without the store must refuse it too, and can
    learn of the change only from its peer.
    """

    async def scenario(world):
        await world.add_target("desk-1")
        first = await world.add_daemon()
        second = await world.add_daemon(seeds=(first.ip,))
        await world.until(lambda: _lists_both_hosts(world, first))
        world.store.turned_away.add(second.ip)
        await world.store.put("config", "main", standins.make_manifest(2, keys=()))
        await world.until(lambda: _has_logged(second, "configuration 2"))
        assert (await world.ask(second, "/once/1", "r1"))[0] == 401

    play(scenario)


async def _lists_both_hosts(world, daemon):
    async with world.session.get(daemon.directory_url()) as response:
        return len((await response.json())["Addresses"]) == 2


def test_a_stopped_daemon_finishes_requests_in_flight(play):
    """A host gets SIGTERM while a stream is in flight.

    It reports at once that it isn't ready, completes the stream, and exits by itself
    with status 0.
    """

    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        target.release.clear()
        daemon = await world.add_daemon()
        headers = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
        request_task = asyncio.create_task(
            world.ask(daemon, "/chat/1", "r1", **headers)
        )
        await target.began.wait()
        daemon.terminate()
        await world.until(lambda: _not_ready(world, daemon))
        target.release.set()
        status, _, body = await request_task
        assert (status, body.count(b"id: ")) == (200, 3)
        assert await daemon.ended() == 0

    play(scenario)


async def _not_ready(world, daemon):
    return not await world.is_ready(daemon)


def test_a_disconnected_caller_cancels_its_request_at_the_target(play):
    async def scenario(world):
        target = await world.add_target("llm-1", "llm")
        target.release.clear()
        daemon = await world.add_daemon()
        headers = {"X-Model": "m", "X-Prompt-Prefix": "aa:100,bb:10"}
        request_task = asyncio.create_task(
            world.ask(daemon, "/chat/1", "r1", **headers)
        )
        await target.began.wait()
        request_task.cancel()
        await asyncio.gather(request_task, return_exceptions=True)
        await world.until(lambda: _all_connections_closed(target))

    play(scenario)


async def _all_connections_closed(target):
    return all(reader.at_eof() for reader in target.readers)


async def _accepts_connections(daemon):
    try:
        _, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


def test_a_caller_that_connects_while_a_host_loads_is_answered(play):
    """All hosts restart after a power failure, and a caller tries again at once.

    Guards against a caller that uses up its attempts and gets no answer, as each host
    resets its connection while loading, or refuses it for want of a configuration.
    """

    async def scenario(world):
        await world.add_target("desk-1")
        daemon = await world.start_daemon()
        await world.until(lambda: _accepts_connections(daemon))
        assert not await world.is_ready(daemon)
        status, _, body = await world.ask(daemon, "/once/1", "r1")
        assert (status, body) == (200, b"desk-1 ran r1")

    play(scenario)


def test_a_host_without_a_configuration_refuses_instead_of_keeping_callers_waiting(
    play,
):
    """A host starts while the platform is unavailable, and it has no peers.

    Guards against callers that are accepted early and then wait in vain. They are told
    that their request has not run and when to retry.
    """

    async def scenario(world):
        world.store.is_away = True
        daemon = await world.start_daemon()
        await world.until(lambda: _accepts_connections(daemon))
        status, headers, _ = await world.ask(daemon, "/once/1", "r1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0

    play(scenario)


def test_hosts_that_do_not_watch_learn_of_changes_from_those_that_do(play):
    """Only two hosts of a data centre watch the store.

    The others ask the store for nothing. A new configuration must become active there
    too, and they must send nothing more to a leaving target.
    """

    async def scenario(world):
        target = await world.add_target("desk-1")
        await world.add_target("desk-2")
        first = await world.add_daemon()
        seeds = (first.ip,)
        daemons = [first, *[await world.add_daemon(seeds) for _ in range(3)]]

        async def two_hosts_watch():
            return world.store.waiting_by_kind["config"] == 2

        await world.until(two_hosts_watch)
        for daemon in daemons:
            assert (await world.ask(daemon, "/once/1", f"a{daemon.name}"))[0] == 200
        await world.store.put("config", "main", standins.make_manifest(2, keys=()))
        for daemon in daemons:
            await world.until(lambda daemon=daemon: _refuses_key(world, daemon))
        await world.store.put("config", "main", standins.make_manifest(3))
        await world.store.put("servers", "desk-1", target.entry("draining"))
        for daemon in daemons:
            await world.until(
                lambda daemon=daemon: _log_contains(daemon, "target_leaving")
            )
        target.runs.clear()
        for daemon in daemons:
            await world.until(lambda daemon=daemon: _serves(world, daemon))
        assert target.runs == []

    play(scenario)


def test_hosts_watch_again_after_the_store_was_away(play):
    """Guards against changes that come late for good, as nobody watches any more."""

    async def scenario(world):
        await world.add_target("desk-1")
        first = await world.add_daemon()
        for _ in range(3):
            await world.add_daemon((first.ip,))

        async def two_hosts_watch():
            return world.store.waiting_by_kind["config"] == 2

        async def all_have_noticed():
            lines = [
                any("does not answer about" in line for line in daemon.lines())
                for daemon in world.daemons
            ]
            return all(lines)

        await world.until(two_hosts_watch)
        world.store.is_away = True
        await world.until(all_have_noticed)
        world.store.is_away = False
        await world.until(two_hosts_watch)

    play(scenario)


async def _refuses_key(world, daemon):
    return (await world.ask(daemon, "/once/1", f"b{daemon.name}"))[0] == 401


async def _serves(world, daemon):
    return (await world.ask(daemon, "/once/1", f"c{daemon.name}"))[0] == 200


async def _log_contains(daemon, text_part):
    return any(text_part in line for line in daemon.lines())


def test_every_fault_of_a_bad_settings_file_is_reported(go, tmp_path):
    async def run():
        path = tmp_path / "settings"
        path.write_text("NodeName=a\nno value\nBounds.GraceS=soon\n")
        child = await asyncio.create_subprocess_exec(
            standins.sys.executable,
            "-m",
            "sesamespindle.platform.launch",
            stderr=asyncio.subprocess.PIPE,
            env=standins.os.environ | {"SESAMESPINDLE_NODE_FILE": str(path)},
        )
        _, errors = await child.communicate()
        return child.returncode, errors.decode()

    code, errors = go(run())
    assert code == 2
    assert ":2:1: no_value" in errors
    assert ":3:1: float_parsing: Bounds.GraceS" in errors
    assert "Listen" in errors


def test_malformed_requests_reach_no_target(play):
    async def scenario(world):
        target = await world.add_target("desk-1")
        daemon = await world.add_daemon()
        reader, writer = await asyncio.open_connection(daemon.ip, daemon.front_port)
        writer.write(
            b"POST /once/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /read/1 HTTP/1.1\r\n\r\n"
        )
        answer = await reader.readline()
        assert b" 400 " in answer
        assert target.runs == []
        writer.close()

    play(scenario)


def test_a_large_body_is_relayed_completely(play):
    async def scenario(world):
        target = await world.add_target("desk-1")
        daemon = await world.add_daemon()
        large_body = b"x" * 900_000
        headers = {"Host": "a.example", "X-Attempt-Id": "r1", "X-Api-Key": standins.KEY}
        async with world.session.post(
            daemon.url("/once/1"), data=large_body, headers=headers
        ) as response:
            assert response.status == 200
        assert target.body == large_body

    play(scenario)
