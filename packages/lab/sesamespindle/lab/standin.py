"""What all stand-ins share: faults by HTTP, and telling where they listen."""

import asyncio
import json
import socket

import aiohttp.web

_HOLD_STEP_SECONDS = 0.005


class Faults:
    """Faults that are switched by ``POST /faults`` with a JSON object.

    Parameters
    ----------
    **defaults
        Every fault by name, with the value that means "none".
    """

    def __init__(self, **defaults):
        self._defaults = defaults
        self._value_by_name = dict(defaults)

    def __getitem__(self, name):
        return self._value_by_name[name]

    def take(self, name):
        """Return whether a counted fault strikes now, and count it down."""
        if self._value_by_name[name] <= 0:
            return False
        self._value_by_name[name] -= 1
        return True

    async def held(self, name):
        """Wait for as long as a holding fault is switched on."""
        while self._value_by_name[name]:
            await asyncio.sleep(_HOLD_STEP_SECONDS)

    def add_route(self, application):
        """Add the door through which faults are switched."""
        application.router.add_post("/faults", self._switch)

    async def _switch(self, request):
        wanted = await request.json()
        unknown = sorted(wanted.keys() - self._defaults.keys())
        if unknown:
            return aiohttp.web.json_response(
                {"error": f"unknown faults: {', '.join(unknown)}"}, status=400
            )
        self._value_by_name.update(wanted)
        return aiohttp.web.json_response(self._value_by_name)


async def serve(application, port, stop_asked):
    """Serve an application on loopback until it is told to stop.

    Prints where it listens as one line of JSON.
    """
    listening = socket.create_server(("127.0.0.1", port), backlog=1024)
    runner = aiohttp.web.AppRunner(
        application, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
    )
    await runner.setup()
    await aiohttp.web.SockSite(runner, listening, backlog=1024).start()
    host, bound = listening.getsockname()
    print(json.dumps({"url": f"http://{host}:{bound}"}), flush=True)
    await stop_asked.wait()
    await runner.cleanup()


async def until_cut(transport):
    """Cut a connection without a word, as a host that dies does."""
    if transport is not None:
        transport.abort()
    await asyncio.sleep(0)
