"""``python -m soak``: runs seeds one after the other and prints violations."""

import argparse
import asyncio
import pathlib
import sys
import time

from soak import play

_LOGS = pathlib.Path(".run") / "soak"


def main():
    """Run the seeds that the flags ask for; exit with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--count", type=int, default=1, help="number of seeds to run")
    parser.add_argument(
        "--seconds", type=float, default=25.0, help="seconds of faults per seed"
    )
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    options = parser.parse_args()
    broken = [
        seed
        for seed in range(options.seed, options.seed + options.count)
        if not _play(seed, options)
    ]
    print(f"{options.count} seeds run, {len(broken)} with violations: {broken}")
    sys.exit(1 if broken else 0)


def _play(seed, options):
    outcome = asyncio.run(
        play.play(
            seed,
            options.seconds,
            options.daemons,
            options.callers,
            crashes=True,
            signals=True,
            silences=True,
            restores=True,
            cuts=True,
            frailties=True,
            versions=True,
            deadly_parts=True,
        )
    )
    journal = outcome.journal
    print(
        f"seed {seed}: {len(journal.sent_requests)} requests, "
        f"{len(journal.runs)} runs, {len(journal.faults)} faults, "
        f"{len(journal.changes)} changes, {len(outcome.violations)} violations",
        flush=True,
    )
    for violation in outcome.violations[:10]:
        print(f"  {violation.promise}: {violation.request_id} {violation.detail}")
    if outcome.violations:
        _keep(seed, outcome)
    return not outcome.violations


def _keep(seed, outcome):
    """Write the daemons' logs, faults and violations of a failed seed to files."""
    folder = _LOGS / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    for name, lines in outcome.log_by_daemon.items():
        (folder / f"{name}.log").write_text("\n".join(lines))
    journal = outcome.journal
    records = (*journal.faults, *journal.changes, *journal.orders)
    text = "\n".join(str(record) for record in (*records, *outcome.violations))
    (folder / "faults.txt").write_text(text)
    print(f"  Logs, faults and violations are in {folder}")


if __name__ == "__main__":
    main()
