"""Finds broken promises in the records of a soak.

It uses nothing but what callers, targets and the fault player have recorded.
"""

import collections
import dataclasses
import itertools
import re

from soak import records, targets

# The platform's bounds, as the daemons' settings have them, in seconds: the time in
# contact with the store after which bounds apply again, and the time in which a
# leaving target's traffic ends, a new configuration is active, a daemon no longer
# answers by an older configuration, and engines run new weights.
_CONTACT = 3.0
_DRAIN = 2.0
_CONFIGURATION = 2.0
_ROLLBACK = 0.25
_WEIGHTS = 8.0
# New weights are also due once undisturbed spans add up to _WEIGHTS_IN_ALL seconds;
# only spans of at least _WEIGHTS_SPAN seconds count.
_WEIGHTS_SPAN = 2.0
_WEIGHTS_IN_ALL = 11.0
# Seconds between the last order of one leaseholder and the first of the next.
_LEASE = 3.0
# Once a request has crashed _CRASHES targets, at most _MOST_RETRIES more runs of it
# may start late.
_CRASHES, _MOST_RETRIES = 3, 3
# Seconds after the last fault from which on all requests must succeed.
_RECOVER = 12.0
# Seconds that a daemon has to exit after SIGTERM.
_GRACE = 8.0
# For this many seconds after its SIGTERM, callers that can't know of it may still
# send requests to a daemon. Those of their streams that last into the last sixth of
# the grace time may be cut off.
_TAKEN_BLINDLY = 3.0
_LAST_SIXTH = _GRACE * 5 / 6
# From _TOLD_WITHIN seconds after its SIGTERM on, no directory may name a leaving
# daemon if another is available. Another one counts if it has been available for
# _KNOWN_WITHIN seconds: 4 s for its start and 1 s until its peers know it.
_TOLD_WITHIN = 2.0
_KNOWN_WITHIN = 5.0
# By how much the deadline sent to a target may exceed the caller's.
_DEADLINE_SLACK_MS = 500
# The error of the soak's own times, in seconds. The proxies, callers and targets that
# take them share one event loop, which is delayed by some tenths of a second on a
# busy machine.
_SLACK = 0.5
# A request that was cut off sooner than this after it was sent, in seconds, may have
# been in transit as the daemon closed its idle connection.
_CROSSED = 0.2
# Status codes which promise that no target has run the request.
_NOT_RUN = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n")
_Area = records.Area
_Kind = records.Kind


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, the id of the request concerned, and the evidence."""

    promise: str
    request: str
    detail: str


def check(journal):
    """Return a list of a `Violation` for each broken promise in a journal."""
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
    found += _check_directory(journal)
    found += _check_rollback(journal)
    found += _check_leaving(journal)
    found += _check_holders(journal.orders)
    found += _check_weights(journal)
    found += _check_salts(journal.runs)
    found += _check_recovery(journal)
    found += _check_crashing(journal)
    found += [
        Violation("the daemon stays up", "", f"{daemon} exited by itself with {code}")
        for daemon, code in journal.exits
    ]
    return found


def _check_answer(asked, runs):
    """Check that a success is the complete answer of a target that ran the request.

    Also check that a proper request isn't refused as unknown, and that a failure that
    names a target has the status which that target sent.
    """
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
    """Check that a ONCE request ran at most once, and that "not run" is true.

    Also check that a stream without a complete answer has its events in order.
    """
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
    """Check that targets get the unchanged path, the account and no API key.

    Also check the service, and that the deadline isn't later than the caller's.
    """
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
    """Check that a planned stop of a daemon, without other faults, cuts nothing off."""
    stopped = [
        fault
        for fault in journal.faults
        if fault.planned
        and fault.area is _Area.DAEMON
        and fault.subject == asked.daemon
        and fault.began <= asked.ended_at
        and fault.ended >= asked.sent_at
    ]
    unplanned = (fault for fault in journal.faults if not fault.planned)
    if not stopped or not _calm(unplanned, asked.sent_at, asked.ended_at):
        return
    crossed = not runs and asked.ended_at - asked.sent_at < _CROSSED
    terms = [fault.began for fault in stopped if fault.what == "SIGTERM"]
    outlasts = terms and _may_outlast(asked, runs, terms[0])
    if asked.status is None and not crossed and not outlasts:
        yield _broken("a stop cuts nothing off", asked, f"{stopped[0]}, {len(runs)}")
    late = terms and asked.sent_at > terms[0] + _TAKEN_BLINDLY
    if late and runs and asked.status not in {run.status for run in runs}:
        detail = f"{asked.status}, sent {asked.sent_at - terms[0]:.2f} s after"
        yield _broken("what is taken late is finished", asked, detail)


def _may_outlast(asked, runs, stopped_at):
    """Return whether a stream was sent in time and still ran as its host exited."""
    if asked.kind is not _Kind.CHAT or not runs:
        return False
    seconds = targets.event_count(asked.request) * targets.event_seconds(asked.request)
    sent_in_time = asked.sent_at <= stopped_at + _TAKEN_BLINDLY
    cut_at = min(asked.ended_at, runs[0].at + seconds)
    return sent_in_time and cut_at >= stopped_at + _LAST_SIXTH


def _check_directory(journal):
    """Check that no directory names a leaving daemon while another is available."""
    struck = [fault for fault in journal.faults if fault.area is not _Area.TARGET]
    unplanned = [fault for fault in struck if not fault.planned]
    at_daemons = [fault for fault in struck if fault.area is _Area.DAEMON]
    names = {told.daemon for told in journal.told}
    for told in journal.told:
        since = told.asked_at - _KNOWN_WITHIN
        new = any(
            fault.subject == told.daemon and since < fault.ended <= told.asked_at
            for fault in at_daemons
        )
        if new or since < journal.ready_at:
            continue
        lately = [
            fault
            for fault in at_daemons
            if fault.began <= told.asked_at and fault.ended > since
        ]
        there = names - {fault.subject for fault in lately}
        leaving = {
            fault.subject
            for fault in lately
            if fault.what == "SIGTERM"
            and fault.began + _TOLD_WITHIN < told.asked_at < fault.ended
        }
        wrong = leaving.intersection(told.named)
        if there and wrong and _calm(unplanned, since, told.asked_at):
            detail = f"{told} names {wrong}, though {there} are available"
            yield Violation("directories name who stays", "", detail)


def _check_configuration(asked, journal):
    """Check that a configuration is active in time, if no fault delays it."""
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
        detail = f"{asked.daemon} serves {asked.version}, {newest.version} is active"
        yield _broken("configuration in force", asked, detail)
    last = max(changes, key=lambda change: change.version)
    if asked.version == newest.version == last.version and asked.status == 404:
        detail = f"{asked.daemon} does not know {asked.version}"
        yield _broken("configuration in force", asked, detail)


def _check_rollback(journal):
    """Check that a daemon's process never returns to an older configuration."""
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
    """Check that a leaving target gets no request after the time to drain it."""
    for change in journal.changes:
        if change.what != "leaving":
            continue
        for run in journal.runs:
            late = run.at > change.at + _DRAIN + _SLACK
            if run.target != change.subject or not late:
                continue
            if _calm(journal.faults, change.at, run.at):
                detail = f"{run.target}, leaving for {run.at - change.at:.2f} s"
                yield Violation("leaving targets", run.request, detail)


def _check_holders(orders):
    """Check that only one leaseholder at a time gives orders, with rising epochs."""
    in_order = sorted(orders, key=lambda order: order.at)
    for earlier, later in itertools.pairwise(in_order):
        if later.epoch < earlier.epoch:
            yield Violation("epochs rise", "", f"{earlier}, then {later}")
        if later.holder == earlier.holder:
            continue
        if later.epoch == earlier.epoch or later.at - earlier.at < _LEASE:
            yield Violation("one holder", "", f"{earlier}, then {later}")


def _check_weights(journal):
    """Check that no run starts late on superseded weights.

    Also check that all engines run the newest weights at the end.
    """
    named = [change for change in journal.changes if change.what == "weights"]
    daemon_by_request = {asked.request: asked.daemon for asked in journal.asked}
    for change in named:
        for run in journal.runs:
            old = 0 < run.weights < change.version
            daemon = daemon_by_request.get(run.request, "")
            if (
                old
                and _are_weights_due(journal.faults, change.at, run.at)
                and _is_in_touch(journal.faults, daemon, run)
            ):
                detail = (
                    f"{run.at - change.at:.2f} s after, by {daemon}, {run}, {change}"
                )
                yield Violation("newest weights", run.request, detail)
    newest = max((change.version for change in named), default=1)
    for engine, version in journal.final_weights_by_engine.items():
        if version < newest:
            detail = f"{engine} ends with {version}, {newest} was announced"
            yield Violation("all engines follow", "", detail)


def _are_weights_due(faults, named_at, until):
    """Return whether engines must run a weight version announced at a given time.

    The time that they have for it counts only while the store is stable and no link
    is disturbed. Failures of daemons and targets don't stop it.
    """
    lengths = []
    since = named_at
    for fault in sorted(faults, key=lambda fault: fault.began):
        if not _harms_store_or_link(fault):
            continue
        lengths.append(min(fault.began, until) - since)
        # The store counts as stable again _CONTACT seconds after its fault has ended,
        # a link at once.
        is_of_store = fault.area is _Area.STORE and not fault.subject
        settles = _CONTACT if is_of_store else 0.0
        since = max(since, fault.ended + settles)
    lengths.append(until - since)
    in_all = sum(length for length in lengths if length >= _WEIGHTS_SPAN)
    return max(lengths) > _WEIGHTS + _SLACK or in_all > _WEIGHTS_IN_ALL + _SLACK


def _harms_store_or_link(fault):
    return fault.area is _Area.STORE or (
        fault.area is _Area.TARGET and "link" in fault.what
    )


def _is_in_touch(faults, daemon, run):
    """Return whether the daemon that sent a run was in contact with the store then.

    It was if, for _CONTACT seconds before, its process ran, and the store and the
    daemon's links to the store and to the target worked. Failures of other daemons
    are no excuse.
    """
    own = [
        fault
        for fault in faults
        if fault.subject in ("", daemon)
        and fault.area in (_Area.DAEMON, _Area.STORE)
        and fault.what != "reload"
    ]
    held_up = [
        fault
        for fault in faults
        if fault.subject == run.target and _harms_store_or_link(fault)
    ]
    return _calm(own + held_up, run.at, run.at)


def _check_salts(runs):
    """Check that no cache salt is used twice where KV cache must not be shared.

    A salt belongs to one weight version, and either to the isolated account or to
    the others.
    """
    seen = {}
    for run in runs:
        if not run.weights:
            continue
        # The account "bank" is isolated; all others may share KV cache.
        owner = run.weights, run.account == "bank"
        if seen.setdefault(run.salt, owner) != owner:
            detail = f"salt {run.salt} of {seen[run.salt]} also of {owner}"
            yield Violation("KV cache kept apart", run.request, detail)


def _check_recovery(journal):
    """Check that all requests succeed again _RECOVER seconds after the last fault.

    Targets fail some requests with status 500 at any time.
    """
    for asked in journal.asked:
        if asked.sent_at < journal.recovered_at + _RECOVER:
            continue
        if asked.kind is _Kind.PROBE and asked.status == 404:
            continue
        if asked.status not in (200, 500):
            yield _broken("recovers", asked, f"status {asked.status}")


def _check_crashing(journal):
    """Check that hosts stop sending a request that crashes targets."""
    crashes_by_path = collections.defaultdict(list)
    for crash in journal.crashes:
        crashes_by_path[crash.path].append(crash.at)
    for path, times in crashes_by_path.items():
        if len(times) < _CRASHES:
            continue
        known_at = sorted(times)[_CRASHES - 1] + _CONTACT
        late = [
            run
            for run in journal.runs
            if run.path == path
            and run.at > known_at + _SLACK
            and _is_in_touch(
                journal.faults, journal.daemon_by_crashing[run.request], run
            )
        ]
        if len(late) > _MOST_RETRIES:
            detail = (
                f"{len(times)} crashes, late: {[run.at - known_at for run in late]}"
            )
            yield Violation("what crashes targets is stopped", path, detail)


def _striking(journal, daemon):
    """Return the faults that can keep a daemon from learning of a change."""
    return [
        fault
        for fault in journal.faults
        if fault.area in (_Area.DAEMON, _Area.STORE) and fault.subject in ("", daemon)
    ]


def _calm(faults, began, until):
    """Return whether no fault was active from _CONTACT seconds before to the end."""
    return not any(
        fault.began < until and fault.ended > began - _CONTACT for fault in faults
    )


def _broken(promise, asked, detail):
    return Violation(promise, asked.request, f"{asked.kind.value}: {detail}")
