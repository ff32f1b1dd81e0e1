"""Judges a soak by what callers and targets recorded, and nothing else."""

import collections
import dataclasses
import itertools
import re

from soak import records, targets

# The platform's bounds as the daemons' settings have them, in seconds.
_CONTACT = 3.0
_DRAIN = 2.0
_CONFIGURATION = 2.0
_ROLLBACK = 0.25
_WEIGHTS = 8.0
_LEASE = 3.0
_RECOVER = 12.0
_DEADLINE_SLACK_MS = 500
# What the soak's own clock may be off by: proxies and callers share one loop
# with it, which stands still for some tenths of a second on a busy machine.
_SLACK = 0.5
# A request that was cut sooner than this after it was sent may have crossed the
# end of its connection.
_CROSSED = 0.2
_NOT_RUN = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n")
_Area = records.Area
_Kind = records.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken, and by what it shows."""

    promise: str
    request: str
    detail: str


def check(journal):
    """Return the `Violation` of every promise that a journal shows broken."""
    runs_by_request = collections.defaultdict(list)
    for run in journal.runs:
        runs_by_request[run.request].append(run)
    found = []
    for asked in journal.asked:
        runs = runs_by_request[asked.request]
        found += _check_answer(asked, runs)
        found += _check_whether_run(asked, runs)
        found += _check_sends(asked, runs)
        found += _check_graceful_stop(asked, runs, journal)
        found += _check_configuration(asked, journal)
    found += _check_rollback(journal)
    found += _check_leaving(journal)
    found += _check_holders(journal.orders)
    found += _check_weights(journal)
    found += _check_salts(journal.runs)
    found += _check_recovery(journal)
    found += [
        Violation("the daemon stays up", "", f"{daemon} ended by itself with {code}")
        for daemon, code in journal.exits
    ]
    return found


def _check_answer(asked, runs):
    """Check that a success is the whole answer of a target that ran it."""
    if asked.status in (401, 404) and asked.kind is not _Kind.PROBE:
        yield _broken("proper requests are served", asked, f"status {asked.status}")
    if asked.status != 200:
        stamped = asked.stamp is not None and asked.status is not None
        if stamped and asked.status not in {run.status for run in runs}:
            yield _broken("failures are the target's", asked, f"{asked.status}")
        return
    if asked.stamp not in {run.target for run in runs}:
        yield _broken("whole answer", asked, f"stamp {asked.stamp}, runs {runs}")
    elif asked.kind is not _Kind.CHAT:
        if asked.body != targets.plain_answer(asked.stamp, asked.request):
            yield _broken("whole answer", asked, repr(asked.body))
    else:
        count = targets.event_count(asked.request)
        if asked.body != _events(asked.request, count):
            yield _broken("whole stream", asked, repr(asked.body))


def _events(request, count):
    return b"".join(targets.event(request, number + 1) for number in range(count))


def _check_whether_run(asked, runs):
    """Check that it ran at most once, and that "not run" is true."""
    if asked.kind is _Kind.ONCE and len(runs) > 1:
        yield _broken("at most once", asked, f"runs {runs}")
    if asked.status in _NOT_RUN and runs and asked.kind is _Kind.ONCE:
        yield _broken("not run is true", asked, f"{asked.status}, runs {runs}")
    if asked.kind is _Kind.CHAT and asked.status is None:
        received = _EVENT.findall(asked.body)
        expected = [
            (str(number + 1).encode(), f"{asked.request}/{number + 1}".encode())
            for number in range(len(received))
        ]
        if received != expected:
            yield _broken("events in order", asked, repr(asked.body))


def _check_sends(asked, runs):
    """Check that targets get the request as it was, its account and no key."""
    for run in runs:
        service = "llm" if asked.kind is _Kind.CHAT else "desk"
        if run.service != service:
            yield _broken("the route's service", asked, f"ran at {run.target}")
        if run.path != asked.path:
            yield _broken("path unchanged", asked, run.path)
        if run.account != asked.account or run.key is not None:
            yield _broken("account for key", asked, f"{run.account}, {run.key}")
        limit = asked.deadline_ms + _DEADLINE_SLACK_MS
        if run.deadline_ms is None or run.deadline_ms > limit:
            yield _broken("time that is left", asked, f"{run.deadline_ms} ms")


def _check_graceful_stop(asked, runs, journal):
    """Check that a stop alone cuts no request off that was passed on."""
    if asked.status is not None:
        return
    stopped = [
        fault
        for fault in journal.faults
        if fault.planned
        and fault.area is _Area.DAEMON
        and fault.subject == asked.daemon
        and fault.began <= asked.ended_at
        and fault.ended >= asked.sent_at
    ]
    crossed = not runs and asked.ended_at - asked.sent_at < _CROSSED
    unplanned = (fault for fault in journal.faults if not fault.planned)
    if not stopped or crossed:
        return
    if _calm(unplanned, asked.sent_at, asked.ended_at):
        yield _broken("a stop cuts nothing off", asked, f"{stopped[0]}, {len(runs)}")


def _check_configuration(asked, journal):
    """Check that a version is in force after its time in calm."""
    if asked.kind is not _Kind.PROBE:
        return
    changes = [change for change in journal.changes if change.what == "configuration"]
    due = [change for change in changes if change.at + _CONFIGURATION <= asked.sent_at]
    if not due:
        return
    newest = max(due, key=lambda change: change.version)
    faults = _striking(journal, asked.daemon)
    if not _calm(faults, newest.at, asked.ended_at):
        return
    if asked.version < newest.version and asked.status == 200:
        detail = f"{asked.daemon} serves {asked.version}, {newest.version} is in force"
        yield _broken("configuration in force", asked, detail)
    last = max(changes, key=lambda change: change.version)
    if asked.version == newest.version == last.version and asked.status == 404:
        detail = f"{asked.daemon} does not know {asked.version}"
        yield _broken("configuration in force", asked, detail)


def _check_rollback(journal):
    """Check that one life of a daemon never goes back to an older version."""
    proven = collections.defaultdict(list)
    for asked in journal.asked:
        if asked.kind is _Kind.PROBE and asked.status == 200:
            proven[asked.daemon, asked.life].append(asked)
    for served in proven.values():
        for newer, older in itertools.permutations(served, 2):
            later = older.sent_at > newer.ended_at + _ROLLBACK + _SLACK
            if newer.version > older.version and later:
                detail = f"{older.version} after {newer.version} at {older.daemon}"
                yield _broken("configuration never back", older, detail)


def _check_leaving(journal):
    """Check that a target that leaves gets nothing more after its time."""
    for change in journal.changes:
        if change.what != "leaving":
            continue
        for run in journal.runs:
            late = run.at > change.at + _DRAIN + _SLACK
            if run.target != change.subject or not late:
                continue
            if _calm(journal.faults, change.at, run.at):
                detail = f"{run.target} {run.at - change.at:.2f} s after it left"
                yield Violation("leaving targets", run.request, detail)


def _check_holders(orders):
    """Check that one holder at a time gives orders, and epochs only rise."""
    in_order = sorted(orders, key=lambda order: order.at)
    for earlier, later in itertools.pairwise(in_order):
        if later.epoch < earlier.epoch:
            yield Violation("epochs rise", "", f"{earlier}, then {later}")
        if later.holder == earlier.holder:
            continue
        if later.epoch == earlier.epoch or later.at - earlier.at < _LEASE:
            yield Violation("one holder", "", f"{earlier}, then {later}")


def _check_weights(journal):
    """Check that no run begins on old weights late, and all engines follow."""
    named = [change for change in journal.changes if change.what == "weights"]
    for change in named:
        for run in journal.runs:
            old = 0 < run.weights < change.version
            late = run.at > change.at + _WEIGHTS + _SLACK
            if old and late and _calm(journal.faults, change.at, run.at):
                yield Violation("newest weights", run.request, f"{run}, {change}")
    newest = max((change.version for change in named), default=1)
    for engine, version in journal.final_weights_by_engine.items():
        if version < newest:
            detail = f"{engine} ends with {version}, {newest} was named"
            yield Violation("all engines follow", "", detail)


def _check_salts(runs):
    """Check that no salt is of two weight versions or on both sides of a wall."""
    seen = {}
    for run in runs:
        if not run.weights:
            continue
        # "bank" is isolated; all others may share.
        owner = run.weights, run.account == "bank"
        if seen.setdefault(run.salt, owner) != owner:
            detail = f"salt {run.salt} of {seen[run.salt]} also of {owner}"
            yield Violation("KV cache kept apart", run.request, detail)


def _check_recovery(journal):
    """Check that all is served again some time after the last fault."""
    for asked in journal.asked:
        if asked.sent_at < journal.recovered_at + _RECOVER:
            continue
        if asked.kind is _Kind.PROBE and asked.status == 404:
            continue
        if asked.status not in (200, 500):
            yield _broken("recovers", asked, f"status {asked.status}")


def _striking(journal, daemon):
    """Return the faults that keep a daemon from learning of a change."""
    return [
        fault
        for fault in journal.faults
        if fault.area in (_Area.DAEMON, _Area.STORE) and fault.subject in ("", daemon)
    ]


def _calm(faults, began, until):
    """Return whether no fault was in force from a while before to an end."""
    return not any(
        fault.began < until and fault.ended > began - _CONTACT for fault in faults
    )


def _broken(promise, asked, detail):
    return Violation(promise, asked.request, f"{asked.kind.value}: {detail}")
