"""What a host answers while its process ends, with its relay and a simulated target."""

import datetime

import aiohttp
import places
import pytest
import relays
import standins

from sesamespindle.decide import budgets, events, gateway, routes, targetlist
from sesamespindle.wire import clock

SECOND = datetime.timedelta(seconds=1)
REQUEST_HEADERS = {"Host": "a.example", "X-Deadline-Ms": "900"}


def make_core(target, now):
    """Return a gateway that knows one target and a route to it."""
    me = events.Host("entry-1", "entry", "dc-1", "10.0.0.1:80", "10.0.0.1:81")
    core = gateway.Gateway(me, gateway.PlatformLimits(budgets.BudgetRule(0.2, 50.0)))
    route = routes.Route(
        "read",
        "a.example",
        "/read/",
        routes.Repeats.IDEMPOTENT,
        False,
        timeout=10 * SECOND,
        latency_goal=SECOND,
        max_attempts=2,
        rank=1,
        shares=(routes.Share("desk", 1.0),),
    )
    configuration = routes.Configuration(
        1,
        routes=(route,),
        service_by_name={"desk": routes.Service("desk", 100)},
        account_by_key={},
        needs_keys=False,
    )
    listed = targetlist.ListedTarget(
        target.name, "desk", target.address, "dc-1", 8, False, {}, places.at(1)
    )
    core.step(
        now,
        [
            gateway.ConfigurationRead(configuration),
            targetlist.TargetsListed((listed,)),
            events.LeaveRequested(now + 7.5 * SECOND),
        ],
    )
    return core


@pytest.fixture
def play(go):
    """Return a function that runs a scenario with the relay of a leaving host."""

    async def with_relay(scenario):
        system_clock = clock.SystemClock()
        async with standins.World() as world:
            target = await world.add_target("desk-1")
            core = make_core(target, system_clock.now())
            async with relays.serve(core, system_clock) as served:
                await scenario(served.relay, target, served.url("/read/1"))

    return lambda scenario: go(with_relay(scenario))


async def ask(url, request_id):
    headers = REQUEST_HEADERS | {"X-Attempt-Id": request_id}
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers, data=b"b") as response,
    ):
        return response.status


def test_a_request_that_arrives_while_the_host_ends_is_refused_and_not_sent(play):
    """A short request arrives while a leaving host ends early, before its ports close.

    Guards against a caller that gets 502 for a booking that has run. The request's
    deadline is before the latest end of the host. A host that goes by that alone
    accepts the request, sends it without any time left and abandons it at once, so
    nobody knows whether it has run.
    """

    async def scenario(leaving_relay, target, url):
        leaving_relay.end()
        assert await ask(url, "r1") == 503
        assert target.runs == []

    play(scenario)


def test_a_request_that_fails_while_the_host_ends_is_not_retried(play):
    """A target answers with a failure in the moment in which the host ends.

    Guards against a retry that would be abandoned at once. It would run although
    nobody gets its answer, and the failure of the target, which could be relayed,
    would be lost.
    """

    async def scenario(leaving_relay, target, url):
        target.status = 500
        original_ended = leaving_relay._forwarding.ended

        def end_then_decide(*args, **kwargs):
            leaving_relay.end()
            return original_ended(*args, **kwargs)

        leaving_relay._forwarding.ended = end_then_decide
        status = await ask(url, "r1")
        assert len(target.runs) <= 1
        assert status in (500, 502)

    play(scenario)
