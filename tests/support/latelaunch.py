"""Launches a daemon that has loaded its modules only just before its planned end.

The order to stop must come while it loads. The callers' sockets are open before that.
"""

import asyncio
import importlib
import runpy

# How long before its planned end the daemon starts. It waits for longer than that until
# it can serve, as long as it has heard nothing from the store.
_BEFORE_END_SECONDS = 0.2
_import_module = importlib.import_module


def _import_late(name, package=None):
    imported = _import_module(name, package)
    if name == "sesamespindle.platform.main":
        _start_late()
    return imported


def _start_late():
    assembly = _import_module("sesamespindle.platform.assembly")
    departure = _import_module("sesamespindle.decide.departure")
    start = assembly.Daemon.start

    async def start_late(daemon):
        grace = daemon._settings.grace
        ordered_at = departure.asked_at(
            daemon._ran_unordered_at, daemon._order_handled_at(), grace
        )
        ends_at = departure.latest_end(ordered_at, grace)
        left = (ends_at - daemon._clock.now()).total_seconds()
        await asyncio.sleep(left - _BEFORE_END_SECONDS)
        await start(daemon)

    assembly.Daemon.start = start_late


importlib.import_module = _import_late
runpy.run_module("sesamespindle.platform.launch", run_name="__main__")
