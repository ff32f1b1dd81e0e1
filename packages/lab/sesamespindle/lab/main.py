"""The command line of the lab: demo, fleet, benchmarks and single stand-ins."""

import asyncio
import os
import pathlib
import signal
import sys
import time

import cyclopts
import uvloop

from sesamespindle.lab import (
    bench,
    capacity,
    demo,
    engine,
    fleet,
    guards,
    platform,
    proxy,
    service,
    standin,
    store_host,
    traces,
)

app = cyclopts.App(name="lab", help="Run stand-ins, fleets and measurements.")
standins = cyclopts.App(name="standin", help="Run one stand-in.")
app.command(standins)
_EXIT_FAILED = 1


@app.command(name="demo")
def run_demo():
    """Run a short demonstration on a fleet of its own."""
    show = _make_progress()
    try:
        uvloop.run(demo.run(fleet.Plan(), show))
    except (demo.DemoError, fleet.FleetError) as error:
        print(f"lab: {error}", file=sys.stderr)
        sys.exit(_EXIT_FAILED)


@app.command(name="fleet")
def run_fleet():
    """Run a fleet in the foreground until it is interrupted.

    The environment variables FLEET_ENTRIES and FLEET_ENGINES set the number of
    daemons and engines, FLEET_EXAMPLE the example to run.
    """
    example = pathlib.Path("examples") / os.environ.get("FLEET_EXAMPLE", "umoja")
    plan = fleet.Plan(
        example=example,
        entries=int(os.environ.get("FLEET_ENTRIES", "3")),
        engines=int(os.environ.get("FLEET_ENGINES", "3")),
    )
    show = _make_progress()

    async def run():
        stop_event = _stop_event()
        async with fleet.Fleet(plan, show) as running:
            path = running.write_description()
            show(f"The processes are listed in {path}. Press Ctrl+C to stop them.")
            for name, value in running.environment.items():
                show(f"export {name}={value}")
            await stop_event.wait()
            show("Stopping all processes.")

    uvloop.run(run())


@app.command(name="bench")
def run_bench(*examples: str, routing: str = ""):
    """Replay the examples' traces under several routing policies and compare them.

    Parameters
    ----------
    examples
        ``umoja`` or ``klantstem``; both by default.
    routing
        Replay under this policy only, without checking the outcomes that
        ``examples/outcomes`` states for each example.
    """
    routings = (routing,) if routing else bench.ROUTINGS
    outcomes_met = [
        uvloop.run(bench.run(example, routings, _make_progress()))
        for example in examples or traces.SHAPE_BY_NAME
    ]
    if not all(outcomes_met):
        print("Some stated outcomes were not met.")


@app.command(name="guards")
def run_guards(wanted: str = ""):
    """Remove each guard in turn and check that its test fails without it.

    A guard is a piece of code that prevents a certain failure; ``guards.yaml`` lists
    them.

    Parameters
    ----------
    wanted
        Check only the guards whose name contains this text.
    """
    if uvloop.run(guards.run(_make_progress(), wanted)):
        sys.exit(_EXIT_FAILED)


@app.command(name="capacity")
def run_capacity():
    """Measure costs at growing sizes and write the tables of docs/CAPACITY.md."""
    capacity.run(_make_progress())


@standins.command(name="platform")
def run_platform(
    port: int = 0,
    reads_per_second: int = 2000,
    writes_per_second: int = 500,
    host_lag: float = 0.3,
):
    """Run a stand-in for the platform."""
    stand_in = platform.Platform(reads_per_second, writes_per_second, host_lag)
    _serve(stand_in.application(), port)


@standins.command(name="engine")
def run_engine(
    version: str,
    port: int = 0,
    prefill_rate: float = 20_000.0,
    decode_interval: float = 0.005,
    cache_blocks: int = 2_000,
    max_running: int = 256,
    unread_window: float = 5.0,
):
    """Run a stand-in for a model engine."""
    model = engine.Model(
        version,
        prefill_rate,
        decode_interval,
        cache_blocks,
        max_running,
        unread_window=unread_window,
    )

    async def run():
        await standin.serve(engine.Engine(model).application(), port, _stop_event())

    uvloop.run(run())


@standins.command(name="store-host")
def run_store_host(
    port: int = 0,
    capacity_blocks: int = 50_000,
    block_bytes: int = 65_536,
    link_bytes_per_second: float = 500_000_000.0,
):
    """Run a stand-in for a store host, which keeps KV cache for the engines."""

    async def run():
        stand_in = store_host.StoreHost(
            capacity_blocks, block_bytes, link_bytes_per_second
        )
        await standin.serve(stand_in.application(), port, _stop_event())

    uvloop.run(run())


@standins.command(name="service")
def run_service(port: int = 0):
    """Run a stand-in for a plain service."""

    async def run():
        await standin.serve(service.Service().application(), port, _stop_event())

    uvloop.run(run())


@app.command(name="proxy")
def run_proxy(target: str):
    """Run a fault-injecting proxy in front of an address, given as HOST:PORT."""
    host, port = target.split(":")

    async def run():
        await proxy.Proxy(host, int(port)).serve(_stop_event())

    uvloop.run(run())


def _serve(application, port):
    async def run():
        await standin.serve(application, port, _stop_event())

    uvloop.run(run())


def _stop_event():
    """Return an event that SIGTERM and SIGINT set."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_event.set)
    return stop_event


def _make_progress():
    started_at = time.monotonic()

    def show(line):
        print(f"[{time.monotonic() - started_at:5.1f} s] {line}", flush=True)

    return show


def main():
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
