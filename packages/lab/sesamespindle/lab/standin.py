"""Shared code of the stand-ins: faults set over HTTP, and serving on loopback."""

import asyncio
import json
import socket

import aiohttp.web

_HOLD_POLL_SECONDS = 0.005


class Faults:
    """Faults that ``POST /faults`` sets with a JSON object of names and values.

    Parameters
    ----------
    **defaults
        The name of every fault, with the value that switches it off.
    """

    def __init__(self, **defaults):
        self._defaults = defaults
        self._value_by_name = dict(defaults)

    def __getitem__(self, name):
        return self._value_by_name[name]

    def consume(self, name):
        """Return whether a counted fault applies now; if so, count it down by one."""
        if self._value_by_name[name] <= 0:
            return False
        self._value_by_name[name] -= 1
        return True

    async def wait_while_set(self, name):
        """Wait until a fault that holds back answers is switched off."""
        while self._value_by_name[name]:
            await asyncio.sleep(_HOLD_POLL_SECONDS)

    def add_route(self, application):
        """Add the route through which faults are set."""
        application.router.add_post("/faults", self._set_faults)

    async def _set_faults(self, request):
        new_values = await request.json()
        unknown = sorted(new_values.keys() - self._defaults.keys())
        if unknown:
            return aiohttp.web.json_response(
                {"error": f"unknown faults: {', '.join(unknown)}"}, status=400
            )
        self._value_by_name.update(new_values)
        return aiohttp.web.json_response(self._value_by_name)


async def serve(application, port, stop_event):
    """Serve an application on loopback until the event `stop_event` is set.

    Print the URL as one line of JSON once it listens. Port 0 takes a free port.
    """
    listening_socket = socket.create_server(("127.0.0.1", port), backlog=1024)
    runner = aiohttp.web.AppRunner(
        application, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await aiohttp.web.SockSite(runner, listening_socket, backlog=1024).start()
    host, bound_port = listening_socket.getsockname()
    print(json.dumps({"url": f"http://{host}:{bound_port}"}), flush=True)
    await stop_event.wait()
    await runner.cleanup()


async def abort_connection(transport):
    """Abort a connection without an answer, as if the host died."""
    if transport is not None:
        transport.abort()
    await asyncio.sleep(0)
