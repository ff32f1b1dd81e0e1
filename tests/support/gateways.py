"""Helpers that build a gateway with a small configuration, and requests to it."""

import dataclasses
import datetime

import places

from sesamespindle.decide import (
    budgets,
    events,
    flights,
    gateway,
    gossip,
    routes,
    targetlist,
    world,
)

NOW = datetime.datetime(2026, 3, 1, 9, 0, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)


def make_route(name, prefix, repeats, streaming=False, **changed):
    fields = {
        "timeout": 10 * SECOND,
        "latency_goal": SECOND,
        "max_attempts": 2,
        "rank": 1,
        "shares": (routes.Share("desk", 1.0),),
    }
    fields |= changed
    return routes.Route(name, "a.example", prefix, repeats, streaming, **fields)


def make_configuration(version=1, **changed):
    engines = routes.Engines(("m",), 8, 100_000, 1000, 1e9)
    store = routes.KvStore("10.0.0.9:1", "dc-1", 10_000, 1e9, 0 * SECOND, True)
    fields = {
        "routes": (
            make_route("once", "/once/", routes.Repeats.ONCE),
            make_route("read", "/read/", routes.Repeats.IDEMPOTENT),
            make_route(
                "chat",
                "/chat/",
                routes.Repeats.RESUMABLE,
                True,
                shares=(routes.Share("llm", 1.0),),
            ),
        ),
        "service_by_name": {
            "desk": routes.Service("desk", 100),
            "llm": routes.Service("llm", 100, engines),
            "store": routes.Service("store", 0, None, store),
        },
        "account_by_key": {"key-1": routes.Account("acme")},
        "needs_keys": True,
    }
    return routes.Configuration(version, **(fields | changed))


def make_target(
    name,
    service="desk",
    leaving=False,
    revision=1,
    era=0,
    versions=None,
    born=None,
    cold_for=0 * SECOND,
    data_centre="dc-1",
):
    return targetlist.ListedTarget(
        name,
        service,
        f"10.1.0.{name.rpartition('-')[2]}:80",
        data_centre,
        8,
        leaving,
        versions or {},
        places.at(revision, era),
        born,
        cold_for,
    )


def make_entry(name, data_centre="dc-1", **changed):
    fields = {"url": f"{name}:80", "peer_address": f"{name}:81", "admin_url": ""}
    fields |= {"incarnation": 1, "state": events.HostState.LIVE}
    return world.EntryRow(name, data_centre, **(fields | changed))


def make_brittle(service, rejections, told_at):
    return gossip.BrittleService(service, rejections, told_at)


def make_cold_configuration(lasts=3 * SECOND, per_second=8.8):
    """Return a configuration in which targets of every service start cold.

    A cold target can handle only a few requests a second, here `per_second`.
    """
    made = make_configuration()
    cold_start = routes.ColdStart(lasts, per_second)
    service_by_name = {
        name: dataclasses.replace(service, cold_start=cold_start, max_connections=2000)
        for name, service in made.service_by_name.items()
    }
    return dataclasses.replace(made, service_by_name=service_by_name)


def make_gateway(slack=50.0, me=None, seed=7, kinds=None, runs_for=60 * SECOND):
    """Return a gateway that has run for some time and knows the other hosts."""
    me = me or events.Host("entry-1", "entry", "dc-1", "10.0.0.1:80", "10.0.0.1:81")
    terms = gateway.PlatformLimits(budgets.BudgetRule(0.2, slack))
    if kinds is not None:
        terms = dataclasses.replace(terms, kinds=kinds)
    made = gateway.Gateway(me, terms, seed=seed, started_at=NOW - runs_for)
    made.state.knows_entries = True
    made.step(NOW, [gateway.ConfigurationRead(make_configuration())])
    return made


def make_request(path, request_id="r1", key="key-1", **changed):
    fields = {"deadline": NOW + 20 * SECOND}
    return flights.Request(request_id, "a.example", path, key, **(fields | changed))


def begin(core, path, now=NOW, **changed):
    return core.forwarding.begin(make_request(path, **changed), now=now)
