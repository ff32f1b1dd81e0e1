"""The HTTP API for operators."""

import dataclasses
import hmac

import aiohttp.web

from sesamespindle.decide import events


class Admin:
    """Serves the status and event log of this daemon, and drains it or its targets.

    Requests need the admin key as bearer token.

    Parameters
    ----------
    parts : sesamespindle.daemon.assembly.Parts
        The daemon's parts.
    """

    def __init__(self, parts):
        self._parts = parts
        self._driver = parts.driver
        self._key = parts.settings.admin_key.get_secret_value()

    def application(self):
        """Return the aiohttp application."""
        application = aiohttp.web.Application(middlewares=[self._check_key])
        route = application.router
        route.add_get("/status", self._status)
        route.add_get("/timeline", self._timeline)
        route.add_post("/drain", self._drain)
        route.add_post("/targets/{target}/drain", self._drain_target)
        return application

    @aiohttp.web.middleware
    async def _check_key(self, request, handler):
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(given.encode(), self._key.encode()):
            return aiohttp.web.json_response({"error": "unknown key"}, status=401)
        return await handler(request)

    async def _status(self, request):
        state = self._driver.core.state
        return aiohttp.web.json_response(
            {
                "name": state.me.name,
                "data_centre": state.me.data_centre,
                "incarnation": state.me.incarnation,
                "revision": state.revision,
                "leaving": self._parts.leaving,
                "in_flight": self._driver.in_flight,
                "entries": [_entry_value(row) for row in state.entries],
                "targets": [
                    _target_value(row, self._driver.clock.now())
                    for row in state.targets
                ],
                "accounts": [_account_value(row) for row in state.accounts],
                "quarantined": [
                    {"fingerprint": record.fingerprint, "crashes": record.crashes}
                    for record in self._driver.core.quarantine.records.all()
                ],
                "slices": [_slice_value(row) for row in self._driver.core.slices.held],
            }
        )

    async def _timeline(self, request):
        after = int(request.query.get("after", "0"))
        entries = self._driver.event_log.after(after)
        return aiohttp.web.json_response(
            {"events": [dataclasses.asdict(entry) for entry in entries]}
        )

    async def _drain(self, request):
        self._parts.stop_requested.set()
        return aiohttp.web.json_response({"leaving": True})

    async def _drain_target(self, request):
        name = request.match_info["target"]
        if name not in self._driver.core.state.targets:
            return aiohttp.web.json_response({"error": "no such target"}, status=404)
        self._driver.feed(events.TargetLeaving(name))
        return aiohttp.web.json_response({"leaving": True})


def _entry_value(row):
    return {
        "name": row.name,
        "data_centre": row.data_centre,
        "url": row.url,
        "admin_url": row.admin_url,
        "incarnation": row.incarnation,
        "state": row.state.value,
        "revision": row.revision,
    }


def _target_value(row, now):
    return {
        "name": row.name,
        "pool": row.pool,
        "data_centre": row.data_centre,
        "url": row.url,
        "usable": row.usable(now),
        "leaving": row.leaving,
        "running_here": row.running_here,
        "version": row.version,
    }


def _account_value(row):
    return {
        "name": row.name,
        "concurrency": row.contract.concurrency,
        "call_concurrency": row.contract.call_concurrency,
        "priority": row.contract.priority,
        "running_here": {
            resource.name.lower(): usage.running
            for resource, usage in row.usage_by_resource.items()
        },
    }


def _slice_value(row):
    account, resource = row.key
    return {
        "account": account,
        "resource": resource.name.lower(),
        "slots": row.slots,
        "expires_at": row.expires_at.isoformat() if row.expires_at else None,
    }
