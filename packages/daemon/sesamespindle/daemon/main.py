"""The command line program that runs the daemon of an entry host."""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import sys

import aiomisc
import cyclopts

from sesamespindle.daemon import assembly, logs, signals
from sesamespindle.declare import findings, settings

_EXIT_BAD_SETTINGS = 2
_ANNOUNCED = ("name", "data_centre", "url", "peer_address", "admin_url", "incarnation")

app = cyclopts.App(
    name="sesamespindled", help="Run the daemon of an entry host.", version="0.1.0"
)


@app.default
def run(config: pathlib.Path):
    """Run the daemon until SIGTERM or SIGINT makes it leave.

    Parameters
    ----------
    config
        The YAML file with the settings of this host.
    """
    try:
        loaded = settings.load(config, os.environ)
    except findings.FindingsError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    logs.set_up(loaded.log, loaded.name)
    stop_requested = asyncio.Event()
    daemon = assembly.Daemon(loaded, _announce, stop_requested)
    grace = loaded.shutdown_grace.total_seconds()
    entrypoint = aiomisc.entrypoint(
        daemon,
        log_config=False,
        pool_size=1,
        shutdown_timeout=grace * 2,
        catch_signals=(signal.SIGUSR2,),
    )
    # Entering the entrypoint opens the ports. The handlers are installed before that,
    # so that a signal makes the daemon leave in order as soon as a port is open.
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.on_signal(entrypoint.loop, number, stop_requested.set)
    with entrypoint as loop:
        loop.run_until_complete(stop_requested.wait())


def _announce(me):
    """Print the daemon's name, addresses and incarnation as one line of JSON."""
    fields = dataclasses.asdict(me)
    print(json.dumps({name: fields[name] for name in _ANNOUNCED}), flush=True)


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
