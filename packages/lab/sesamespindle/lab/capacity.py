"""Generation of the tables of docs/CAPACITY.md.

The costs of the decision logic and its memory are measured at growing fleet sizes, and
the load of one daemon at the target size is computed from them.
"""

import asyncio
import dataclasses
import datetime
import pathlib
import re

import psutil

from sesamespindle.decide import contexts, events, hashing
from sesamespindle.lab import fleet, processes, slopes

TARGET = slopes.Size(entries=370, data_centres=20, targets=1100, accounts=1800)
SIZES = (
    slopes.Size(entries=3, data_centres=1, targets=10, accounts=10),
    slopes.Size(entries=9, data_centres=3, targets=100, accounts=100),
    slopes.Size(entries=27, data_centres=3, targets=300, accounts=600),
    TARGET,
)
PAGE = pathlib.Path("docs/CAPACITY.md")
# Load of the whole fleet at the target size.
CONTEXTS = 140_000
REQUESTS_PER_SECOND = 7600
# The number of entries that serve one account.
ENTRIES_PER_ACCOUNT = 3
CONFIG_CHANGES_PER_DAY = 700
# Budget of a daemon for control work: a share of a core, memory above that of the
# imports, and bytes per second.
CPU_BUDGET = 0.017
MEMORY_BUDGET_MB = 32
BYTES_BUDGET = 20_000
# Gossip rounds per second: with two peers in the data centre and one outside, each
# once per second.
GOSSIP_ROUNDS = 3
# Ticks per second.
TICKS = 5
# Renewals per second of one slice.
RENEWALS = 1 / 3
# Transport overhead of one message.
_RPC_OVERHEAD_BYTES = 150
_RPC_SECONDS_RUNS = 2000
_LIVE_SIZES = (3, 9, 27)
_SETTLE_SECONDS = 5.0
_LIVE_SECONDS = 10.0
# Idempotency keys per hour and daemon, and for how many hours its state is computed.
_KEYS_PER_DAEMON_HOUR = 3600
_KEY_HOURS = 2
_DAY = 86_400


@dataclasses.dataclass(frozen=True)
class Live:
    """The average resource use of the idle daemons of a real fleet.

    Attributes
    ----------
    entries : int
        The number of daemons.
    resident_mb : float
        Resident memory of a daemon, in MB.
    core_share : float
        Processor time of a daemon, as a share of one core.
    """

    entries: int
    resident_mb: float
    core_share: float


def measure_logic(show):
    """Measure the decision logic at each size of `SIZES`.

    Returns
    -------
    list of tuple
        The size and the `slopes.Cost` of a prompt, of a tick, of a slice request at
        the account's owner, and of a gossip round.
    """
    rows = []
    for size in SIZES:
        show(
            f"Measuring the decision logic: {size.entries} entries, "
            f"{size.targets} targets."
        )
        benchmark = slopes.DecisionBenchmark(size)
        rows.append(
            (
                size,
                benchmark.prompt_cost(),
                benchmark.tick_cost(),
                benchmark.slice_cost(),
                benchmark.gossip_cost(),
            )
        )
    return rows


def measure_memory(show):
    """Return a list of (description, number of items, total size in bytes)."""
    rows = []
    for size in SIZES:
        show(f"Measuring the memory of all tables: {size.accounts} accounts.")
        size_bytes = slopes.allocated_bytes(
            lambda size=size: slopes.DecisionBenchmark(size)
        )
        rows.append(
            (f"all tables at {size.entries} entries", size.accounts, size_bytes)
        )
    for count in (1_000, 5_000, 20_000):
        show(f"Measuring the memory of {count} contexts.")
        size_bytes = slopes.allocated_bytes(lambda count=count: _fill_contexts(count))
        rows.append(("contexts", count, size_bytes))
    for count in (100, 1_000, 10_000):
        show(f"Measuring the memory of {count} idempotency keys.")
        size_bytes = slopes.allocated_bytes(lambda count=count: _fill_keys(count))
        rows.append(("keys with an answer of 1 KB", count, size_bytes))
    return rows


async def measure_live(show):
    """Return a `Live` for each fleet size of `_LIVE_SIZES`, measured on processes."""
    rows = []
    for entries in _LIVE_SIZES:
        show(f"Measuring {entries} idle daemons for {_LIVE_SECONDS:.0f} s.")
        plan = fleet.Plan(
            folder=pathlib.Path(".run/capacity"),
            entries=entries,
            data_centres=3,
            engines=3,
        )
        async with fleet.Fleet(plan) as running:
            daemon_processes = [
                psutil.Process(running.process_by_name[name].pid)
                for name in running.entry_names
            ]
            await asyncio.sleep(_SETTLE_SECONDS)
            before = [_cpu_seconds(item) for item in daemon_processes]
            await asyncio.sleep(_LIVE_SECONDS)
            used = [
                _cpu_seconds(item) - start
                for item, start in zip(daemon_processes, before, strict=True)
            ]
            resident = [item.memory_info().rss / 1e6 for item in daemon_processes]
        rows.append(
            Live(
                entries,
                sum(resident) / entries,
                sum(used) / entries / _LIVE_SECONDS,
            )
        )
    return rows


async def measure_bare_process():
    """Return the resident memory, in MB, of a process with only the imports."""
    code = (
        "import sesamespindle.daemon.main, psutil;"
        "print(psutil.Process().memory_info().rss / 1e6)"
    )
    child = await asyncio.create_subprocess_exec(
        processes.sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await child.communicate()
    return float(output)


def write_page(logic, memory, live, bare_mb):
    """Write the measured tables into the page, each between its comment markers."""
    text = PAGE.read_text("utf-8")
    tables = {
        "logic": _logic_table(logic),
        "memory": _memory_table(memory),
        "live": _live_table(live, bare_mb),
        "target": _target_table(logic, memory, live),
        "platform": _platform_table(),
    }
    for name, table in tables.items():
        pattern = rf"(<!-- {name} -->\n).*?(<!-- /{name} -->)"
        text = re.sub(
            pattern, lambda m, t=table: m[1] + t + "\n" + m[2], text, flags=re.S
        )
    PAGE.write_text(text, "utf-8")


def _fill_contexts(count):
    table = contexts.Contexts()
    now = datetime.datetime(2026, 12, 7, tzinfo=datetime.UTC)
    for number in range(count):
        ids = hashing.chain(number.to_bytes(8, "big"), f"{number} " * 3000)
        table.learn(ids, f"engine-{number % 1100}", now)
    return table


def _fill_keys(count):
    benchmark = slopes.DecisionBenchmark(SIZES[0])
    table = benchmark.core.calls
    now = benchmark.now
    for number in range(count):
        event = events.CallArrived(
            f"r{number}", "account-0", "bookings", now, events.KeyKind.TICKET,
            f"tkt_{number:0200d}", f"{number:064x}",
        )  # fmt: skip
        table.remember(
            event,
            events.StoredAnswer(
                200, "application/json", b"x" * 1000 + str(number).encode()
            ),
            now,
        )
    return benchmark


def _cpu_seconds(process):
    times = process.cpu_times()
    return times.user + times.system


def _logic_table(logic):
    lines = [
        "| entries | targets | accounts | prompt, us | tick, us | ask, us "
        "| gossip round, us | gossip round, bytes |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for size, prompt, tick, renewal, gossip in logic:
        lines.append(
            f"| {size.entries} | {size.targets} | {size.accounts} "
            f"| {prompt.microseconds:.0f} | {tick.microseconds:.0f} "
            f"| {renewal.microseconds:.0f} | {gossip.microseconds:.0f} "
            f"| {gossip.message_bytes:.0f} |"
        )
    return "\n".join(lines)


def _memory_table(memory):
    lines = ["| what | count | KB in all | bytes each |", "| --- | --- | --- | --- |"]
    for what, count, size_bytes in memory:
        lines.append(
            f"| {what} | {count} | {size_bytes / 1e3:.0f} | {size_bytes / count:.0f} |"
        )
    return "\n".join(lines)


def _live_table(live, bare_mb):
    lines = [
        "| what | resident, MB | share of a core, idle |",
        "| --- | --- | --- |",
        f"| interpreter and libraries, imported only | {bare_mb:.0f} | |",
    ]
    for row in live:
        lines.append(
            f"| a daemon among {row.entries} | {row.resident_mb:.0f} "
            f"| {row.core_share:.2%} |"
        )
    return "\n".join(lines)


def _target_table(logic, memory, live):
    """Return the table of a daemon's control work and state at the target size."""
    _, prompt, tick, renewal, gossip = logic[-1]
    accounts_here = TARGET.accounts * ENTRIES_PER_ACCOUNT / TARGET.entries
    # Slice requests per second: an account has a slice of each of two resources,
    # prompts and calls.
    slice_requests = accounts_here * 2 * RENEWALS
    # Each daemon takes part in the rounds that it starts and in as many that its
    # peers start. The cost of a round already includes the work of both daemons.
    gossip_bytes = GOSSIP_ROUNDS * 2 * (gossip.message_bytes + 2 * _RPC_OVERHEAD_BYTES)
    slice_bytes = 2 * slice_requests * (renewal.message_bytes + 2 * _RPC_OVERHEAD_BYTES)
    gossip_share = GOSSIP_ROUNDS * gossip.microseconds / 1e6
    roles = [
        ("gossip member", gossip_share, gossip_bytes),
        ("ticks of all systems", TICKS * tick.microseconds / 1e6, 0.0),
        ("account owner and slice holder",
         2 * slice_requests * renewal.microseconds / 1e6, slice_bytes),
    ]  # fmt: skip
    lines = [
        "| role | share of a core | bytes/s | mechanism |",
        "| --- | --- | --- | --- |",
    ]
    mechanisms = (
        "digests inside the data centre, one digest for each other",
        "systems over tables, five times a second",
        "slices by rendezvous, renewed at half their life",
    )
    for (role, share, size), mechanism in zip(roles, mechanisms, strict=True):
        lines.append(f"| {role} | {share:.2%} | {size:.0f} | {mechanism} |")
    total = sum(share for _, share, _ in roles)
    size = sum(size for _, _, size in roles)
    lines.append(
        f"| all of these | {total:.2%} of {CPU_BUDGET:.1%} "
        f"| {size:.0f} of {BYTES_BUDGET} | decision logic alone, without RPC cost |"
    )
    requests = REQUESTS_PER_SECOND / TARGET.entries
    lines.append(
        f"| deciding on prompts, {requests:.1f} a second "
        f"| {requests * prompt.microseconds / 1e6:.2%} | | not control work |"
    )
    tables = next(
        size_bytes for what, _, size_bytes in memory if f"{TARGET.entries} " in what
    )
    by_context = [
        size_bytes / count for what, count, size_bytes in memory if what == "contexts"
    ][-1]
    by_key = [
        size_bytes / count
        for what, count, size_bytes in memory
        if what.startswith("keys")
    ][-1]
    contexts_here = CONTEXTS * ENTRIES_PER_ACCOUNT / TARGET.entries
    keys = _KEYS_PER_DAEMON_HOUR * _KEY_HOURS
    state = (tables + by_context * contexts_here + by_key * keys) / 1e6
    lines.append("")
    lines.append(
        f"State at that size: {tables / 1e6:.1f} MB of tables, "
        f"{by_context * contexts_here / 1e6:.1f} MB for {contexts_here:.0f} contexts, "
        f"{by_key * keys / 1e6:.1f} MB for {keys} keys; {state:.1f} MB "
        f"of {MEMORY_BUDGET_MB} MB above the fixed cost."
    )
    rise = live[-1].core_share - live[0].core_share
    lines.append("")
    lines.append(
        f"Measured on real idle daemons: {live[0].core_share:.2%} of a core among "
        f"{live[0].entries}, {live[-1].core_share:.2%} among {live[-1].entries} "
        f"({rise:+.2%}), gRPC and the reading of loads and lists included."
    )
    return "\n".join(lines)


def _platform_table():
    """Return the table of calls to the platform per second at the target size.

    The rates are computed from the intervals of the mechanisms, not measured.
    """
    # Two watchers per data centre, each with a watch of 10 s.
    watches = TARGET.data_centres * 2 / 10
    # One daemon of the fleet checks every 3.3 s, a quarter of the time for a change.
    checks = 1 / 3.3
    lists = 50
    documents = CONFIG_CHANGES_PER_DAY / _DAY
    lines = [
        "| calls | a second | mechanism |",
        "| --- | --- | --- |",
        f"| waiting watches | {watches:.1f} | two a data centre, 10 s each |",
        f"| checks of the declarations' head | {checks:.1f} "
        "| one host of the fleet, every 3.3 s; the others ask it |",
        f"| host list, mostly unchanged | {lists} | bounded whatever the fleet |",
        f"| reads after a change | {documents * TARGET.data_centres * 2 * 2:.1f} "
        "| the watchers; others learn from peers |",
        f"| writes of declarations | {documents * 2:.2f} | one head, one document |",
    ]
    return "\n".join(lines)


def run(show):
    """Run all measurements and write the tables of docs/CAPACITY.md."""
    logic = measure_logic(show)
    memory = measure_memory(show)
    live = asyncio.run(measure_live(show))
    bare_mb = asyncio.run(measure_bare_process())
    write_page(logic, memory, live, bare_mb)
    show(f"Tables written to {PAGE}.")
