"""Finds broken promises in the records of a soak.

It uses nothing but what callers, targets and the fault player have recorded.
"""

import collections
import dataclasses
import itertools
import re

import held
import limits
import repeats

from soak import records, targets

# The platform's bounds, as the daemons' settings have them, in seconds: the time in
# contact with the store after which bounds apply again, and the time in which a
# leaving target's traffic ends, a new configuration is active, a daemon no longer
# answers by an older configuration, and engines run new weights.
_CONTACT_SECONDS = 3.0
_DRAIN_SECONDS = 2.0
_CONFIGURATION_SECONDS = 2.0
_ROLLBACK_SECONDS = 0.25
_WEIGHTS_SECONDS = 8.0
# New weights are also due once undisturbed spans add up to _WEIGHTS_TOTAL_SECONDS; only
# spans of at least _WEIGHTS_MIN_SPAN_SECONDS count.
_WEIGHTS_MIN_SPAN_SECONDS = 2.0
_WEIGHTS_TOTAL_SECONDS = 11.0
# Seconds between the last order of one leaseholder and the first of the next.
_LEASE_SECONDS = 3.0
# Once a request has crashed _CRASH_LIMIT targets, at most _MAX_LATE_RUNS more runs of
# it may start late.
_CRASH_LIMIT, _MAX_LATE_RUNS = 3, 3
# The same for all requests with one part of a prompt that crashes targets.
_PART_CRASH_LIMIT = 5
# Seconds after the last fault from which on all requests must succeed.
_RECOVERY_SECONDS = 12.0
# Callers of cut daemons must be served at least this often in relation to the others',
# if more requests fail than _CUT_FAILURES and _CUT_FAILED_SHARE of all.
_CUT_SERVED_SHARE = 2 / 3
_CUT_FAILURES, _CUT_FAILED_SHARE = 10, 1 / 50
# How often the targets of a service may fall over in one time in which they are
# brittle; the soak has too few of them for the tenth that may fall besides.
_FALLS = 2
# Seconds that a daemon has to exit after SIGTERM.
_GRACE_SECONDS = 8.0
# For this many seconds after its SIGTERM, callers that can't know of it may still
# send requests to a daemon. Those of their streams that last into the last sixth of
# the grace time may be cut off.
_UNAWARE_CALLERS_SECONDS = 3.0
_LAST_SIXTH_SECONDS = _GRACE_SECONDS * 5 / 6
# From _UNLISTED_AFTER_SECONDS after its SIGTERM on, no directory may name a leaving
# daemon if another is available. Another one counts if it has been available for
# _KNOWN_AFTER_SECONDS: 4 s for its start and 1 s until its peers know it.
_UNLISTED_AFTER_SECONDS = 2.0
_KNOWN_AFTER_SECONDS = 5.0
# By how much the deadline sent to a target may exceed the caller's.
_DEADLINE_SLACK_MS = 500
# The error of the soak's own times, in seconds. The proxies, callers and targets that
# take them share one event loop, which is delayed by some tenths of a second on a
# busy machine.
_CLOCK_SLACK_SECONDS = 0.5
# A request that was cut off sooner than this after it was sent, in seconds, may have
# been in transit as the daemon closed the connection.
_IN_TRANSIT_SECONDS = 0.2
# Status codes which promise that no target has run the request.
_NOT_RUN = frozenset((408, 421, 429, 503))
_EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n")
_Area = records.Area
_Kind = records.Kind
# The kinds of request that callers send to each service.
_KINDS_BY_SERVICE = {"llm": (_Kind.CHAT,), "desk": (_Kind.ONCE, _Kind.READ)}

# Streams that are taken up again, of which at least half must go on.
_FEWEST_TAKEN_UP = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, the id of the request concerned, and the evidence."""

    promise: str
    request_id: str
    detail: str


def check(journal):
    """Return a list of a `Violation` for each broken promise in a journal."""
    runs_by_request = collections.defaultdict(list)
    for run in journal.runs:
        runs_by_request[run.request_id].append(run)
    violations = []
    for sent in journal.sent_requests:
        runs = runs_by_request[sent.request_id]
        violations += _check_answer(sent, runs)
        violations += _check_whether_run(sent, runs)
        violations += _check_sends(sent, runs)
        violations += _check_graceful_stop(sent, runs, journal)
        violations += _check_configuration(sent, journal)
    violations += _check_directory(journal)
    violations += _check_rollback(journal)
    violations += _check_leaving(journal)
    violations += _check_holders(journal.orders)
    violations += _check_weights(journal)
    violations += _check_salts(journal.runs)
    violations += _check_recovery(journal)
    violations += _check_crashing(journal)
    violations += _check_repeats(journal)
    violations += _check_signals(journal)
    violations += _check_cuts(journal)
    violations += _check_falls(journal)
    violations += _check_silences(journal)
    violations += _check_software(journal)
    violations += _check_taken_up(journal)
    violations += [
        Violation("daemons keep running", "", f"{daemon} exited by itself with {code}")
        for daemon, code in journal.exits
    ]
    return violations


def _check_answer(sent, runs):
    """Check that a success is the complete answer of a target that ran the request.

    Also check that a proper request isn't refused as unknown, and that a failure that
    names a target has the status which that target sent.
    """
    if sent.status in (401, 404) and sent.kind is not _Kind.PROBE:
        yield _violation("proper requests are served", sent, f"status {sent.status}")
    if sent.status != 200:
        stamped = sent.stamp is not None and sent.status is not None
        if stamped and sent.status not in {run.status for run in runs}:
            yield _violation("failures are the target's", sent, f"{sent.status}")
        return
    if sent.stamp not in {run.target for run in runs}:
        yield _violation("complete answer", sent, f"stamp {sent.stamp}, runs {runs}")
    elif sent.kind is not _Kind.CHAT:
        if sent.body != targets.plain_answer(sent.stamp, sent.request_id):
            yield _violation("complete answer", sent, repr(sent.body))
    else:
        if sent.body != _events(sent):
            yield _violation("complete stream", sent, repr(sent.body))


def _events(sent):
    """Return all events of a stream that its caller has yet to get."""
    numbers = range(sent.last_event, targets.event_count(sent.stream))
    return b"".join(targets.event(sent.stream, number + 1) for number in numbers)


def _check_software(journal):
    """Check that a stream goes on only at the software version that began it."""
    stream_by_request = {sent.request_id: sent.stream for sent in journal.sent_requests}
    runs_by_stream = collections.defaultdict(list)
    for run in journal.runs:
        if run.service == "llm":
            stream = stream_by_request.get(run.request_id, run.request_id)
            runs_by_stream[stream].append(run)
    for stream, runs in runs_by_stream.items():
        runs.sort(key=lambda run: run.at)
        for place, run in enumerate(runs):
            earlier = [
                item for item in runs[:place] if item.first_event < run.first_event
            ]
            if earlier and earlier[-1].software != run.software:
                detail = f"{earlier[-1].software}, then {run.software}"
                yield Violation("one version a stream", stream, detail)


def _check_taken_up(journal):
    """Check that most streams that are taken up go on."""
    taken_up = [sent for sent in journal.sent_requests if sent.resumes]
    refused = [sent for sent in taken_up if sent.status in _NOT_RUN]
    if len(taken_up) >= _FEWEST_TAKEN_UP and 2 * len(refused) > len(taken_up):
        detail = f"{len(refused)} of {len(taken_up)} refused"
        yield Violation("streams go on", "", detail)


def _check_whether_run(sent, runs):
    """Check that a ONCE request ran at most once, and that "not run" is true.

    Also check that a stream without a complete answer has its events in order.
    """
    if sent.kind is _Kind.ONCE and len(runs) > 1:
        yield _violation("at most once", sent, f"runs {runs}")
    if sent.status in _NOT_RUN and runs and sent.kind is _Kind.ONCE:
        yield _violation("not run is true", sent, f"{sent.status}, runs {runs}")
    if sent.kind is _Kind.CHAT and sent.status is None:
        received = _EVENT.findall(sent.body)
        expected = [
            (str(number + 1).encode(), f"{sent.stream}/{number + 1}".encode())
            for number in range(sent.last_event, sent.last_event + len(received))
        ]
        if received != expected:
            yield _violation("events in order", sent, repr(sent.body))


def _check_sends(sent, runs):
    """Check that targets get the unchanged path, the account and no API key.

    Also check the service, and that the deadline isn't later than the caller's.
    """
    for run in runs:
        service = "llm" if sent.kind is _Kind.CHAT else "desk"
        if run.service != service:
            yield _violation("the route's service", sent, f"ran at {run.target}")
        if run.path != sent.path:
            yield _violation("path unchanged", sent, run.path)
        if run.account != sent.account or run.key is not None:
            yield _violation(
                "account replaces the API key", sent, f"{run.account}, {run.key}"
            )
        limit = sent.deadline_ms + _DEADLINE_SLACK_MS
        if run.deadline_ms is None or run.deadline_ms > limit:
            yield _violation("remaining deadline", sent, f"{run.deadline_ms} ms")


def _check_graceful_stop(sent, runs, journal):
    """Check that a planned stop of a daemon, without other faults, cuts nothing off."""
    stopped = [
        fault
        for fault in journal.faults
        if fault.planned
        and fault.area is _Area.DAEMON
        and fault.subject == sent.daemon
        and fault.began <= sent.ended_at
        and fault.ended >= sent.sent_at
    ]
    unplanned = (fault for fault in journal.faults if not fault.planned)
    if not stopped or not _is_undisturbed(unplanned, sent.sent_at, sent.ended_at):
        return
    was_in_transit = not runs and sent.ended_at - sent.sent_at < _IN_TRANSIT_SECONDS
    sigterm_times = [fault.began for fault in stopped if fault.what == "SIGTERM"]
    outlasts = sigterm_times and _may_outlast(sent, runs, sigterm_times[0])
    if sent.status is None and not was_in_transit and not outlasts:
        detail = (
            f"sent {sent.sent_at:.3f}, ended {sent.ended_at:.3f}, {len(runs)} runs, "
            f"{stopped}"
        )
        yield _violation("a stop cuts nothing off", sent, detail)
    late = sigterm_times and sent.sent_at > sigterm_times[0] + _UNAWARE_CALLERS_SECONDS
    if late and runs and sent.status not in {run.status for run in runs}:
        detail = f"{sent.status}, sent {sent.sent_at - sigterm_times[0]:.2f} s after"
        yield _violation("requests accepted late are completed", sent, detail)


def _may_outlast(sent, runs, stopped_at):
    """Return whether a stream was sent in time and still ran as its host exited."""
    if sent.kind is not _Kind.CHAT or not runs:
        return False
    seconds = targets.event_count(sent.stream) * targets.event_seconds(sent.stream)
    sent_in_time = sent.sent_at <= stopped_at + _UNAWARE_CALLERS_SECONDS
    cut_at = min(sent.ended_at, runs[0].at + seconds)
    return sent_in_time and cut_at >= stopped_at + _LAST_SIXTH_SECONDS


def _check_directory(journal):
    """Check that no directory names a leaving daemon while another is available."""
    host_faults = [fault for fault in journal.faults if fault.area is not _Area.TARGET]
    unplanned = [fault for fault in host_faults if not fault.planned]
    daemon_faults = [fault for fault in host_faults if fault.area is _Area.DAEMON]
    names = {answer.daemon for answer in journal.directory_answers}
    for answer in journal.directory_answers:
        since = answer.asked_at - _KNOWN_AFTER_SECONDS
        is_new = any(
            fault.subject == answer.daemon and since < fault.ended <= answer.asked_at
            for fault in daemon_faults
        )
        if is_new or since < journal.ready_at:
            continue
        recent = [
            fault
            for fault in daemon_faults
            if fault.began <= answer.asked_at and fault.ended > since
        ]
        available = names - {fault.subject for fault in recent}
        leaving = {
            fault.subject
            for fault in recent
            if fault.what == "SIGTERM"
            and fault.began + _UNLISTED_AFTER_SECONDS < answer.asked_at < fault.ended
        }
        wrongly_named = leaving.intersection(answer.named)
        if (
            available
            and wrongly_named
            and _is_undisturbed(unplanned, since, answer.asked_at)
        ):
            detail = f"{answer} names {wrongly_named}, though {available} are available"
            yield Violation("directories omit leaving daemons", "", detail)


def _check_configuration(sent, journal):
    """Check that a configuration is active in time, if no fault delays it."""
    if sent.kind is not _Kind.PROBE:
        return
    changes = [change for change in journal.changes if change.what == "configuration"]
    due = [
        change
        for change in changes
        if change.at + _CONFIGURATION_SECONDS <= sent.sent_at
    ]
    if not due:
        return
    newest = max(due, key=lambda change: change.version)
    faults = _faults_affecting(journal, sent.daemon)
    if not _is_undisturbed(faults, sent.sent_at, sent.ended_at):
        return
    if sent.version < newest.version and sent.status == 200:
        detail = f"{sent.daemon} serves {sent.version}, {newest.version} is active"
        yield _violation("active configuration", sent, detail)
    last = max(changes, key=lambda change: change.version)
    if sent.version == newest.version == last.version and sent.status == 404:
        detail = f"{sent.daemon} does not know {sent.version}"
        yield _violation("active configuration", sent, detail)


def _check_rollback(journal):
    """Check that a daemon's process never returns to an older configuration."""
    proven = collections.defaultdict(list)
    for sent in journal.sent_requests:
        if sent.kind is _Kind.PROBE and sent.status == 200:
            proven[sent.daemon, sent.incarnation].append(sent)
    for served in proven.values():
        for newer, older in itertools.permutations(served, 2):
            later = (
                older.sent_at
                > newer.ended_at + _ROLLBACK_SECONDS + _CLOCK_SLACK_SECONDS
            )
            if newer.version > older.version and later:
                detail = f"{older.version} after {newer.version} at {older.daemon}"
                yield _violation("no return to an older configuration", older, detail)


def _check_leaving(journal):
    """Check that a leaving target gets no request after the time to drain it.

    A request that was sent in time and held up by a cut of its daemon doesn't count.
    """
    sent_by_request = {sent.request_id: sent for sent in journal.sent_requests}
    for change in journal.changes:
        if change.what != "leaving":
            continue
        if not _is_undisturbed(_store_faults(journal), change.at, change.at):
            continue
        for run in journal.runs:
            late = run.at > change.at + _DRAIN_SECONDS + _CLOCK_SLACK_SECONDS
            if run.target != change.subject or not late:
                continue
            sent = sent_by_request.get(run.request_id)
            daemon = sent.daemon if sent is not None else ""
            was_in_time = sent is not None and (
                sent.sent_at < change.at + _DRAIN_SECONDS
            )
            if was_in_time and _was_held_up(journal, daemon, run):
                continue
            if _is_in_contact(journal.faults, daemon, run):
                detail = f"{run.target}, leaving for {run.at - change.at:.2f} s"
                yield Violation(
                    "no requests to leaving targets", run.request_id, detail
                )


def _was_held_up(journal, daemon, run):
    """Return whether a cut of a daemon's paths may have held up a request for a run."""
    cuts = [
        fault
        for fault in journal.faults
        if fault.area is _Area.PATHS and fault.subject == daemon
    ]
    return not _is_undisturbed(cuts, run.at, run.at)


def _check_holders(orders):
    """Check that only one leaseholder at a time gives orders, with rising epochs."""
    in_order = sorted(orders, key=lambda order: order.at)
    for earlier, later in itertools.pairwise(in_order):
        if later.epoch < earlier.epoch:
            yield Violation("epochs rise", "", f"{earlier}, then {later}")
        if later.holder == earlier.holder:
            continue
        if later.epoch == earlier.epoch or later.at - earlier.at < _LEASE_SECONDS:
            yield Violation("one leaseholder", "", f"{earlier}, then {later}")


def _check_weights(journal):
    """Check that no run starts late on superseded weights.

    Also check that all engines run the newest weights at the end.
    """
    announcements = [change for change in journal.changes if change.what == "weights"]
    daemon_by_request = {sent.request_id: sent.daemon for sent in journal.sent_requests}
    for change in announcements:
        for run in journal.runs:
            is_superseded = 0 < run.weights < change.version
            daemon = daemon_by_request.get(run.request_id, "")
            if (
                is_superseded
                and _are_weights_due(journal.faults, change.at, run.at)
                and _is_in_contact(journal.faults, daemon, run)
            ):
                detail = (
                    f"{run.at - change.at:.2f} s after, by {daemon}, {run}, {change}"
                )
                yield Violation("newest weights", run.request_id, detail)
    newest = max((change.version for change in announcements), default=1)
    for engine, version in journal.final_weights_by_engine.items():
        if version < newest:
            detail = f"{engine} ends with {version}, {newest} was announced"
            yield Violation("all engines load the newest weights", "", detail)


def _are_weights_due(faults, announced_at, until):
    """Return whether engines must run a weight version announced at a given time.

    The time that they have for it counts only while the store is stable and no link
    is disturbed. Failures of daemons and targets don't stop it.
    """
    spans = []
    since = announced_at
    for fault in sorted(faults, key=lambda fault: fault.began):
        if not _affects_store_or_link(fault):
            continue
        spans.append(min(fault.began, until) - since)
        # The store counts as stable again _CONTACT_SECONDS after its fault has ended,
        # a link at once.
        is_of_store = fault.area is _Area.STORE and not fault.subject
        settling_seconds = _CONTACT_SECONDS if is_of_store else 0.0
        since = max(since, fault.ended + settling_seconds)
    spans.append(until - since)
    total = sum(span for span in spans if span >= _WEIGHTS_MIN_SPAN_SECONDS)
    return (
        max(spans) > _WEIGHTS_SECONDS + _CLOCK_SLACK_SECONDS
        or total > _WEIGHTS_TOTAL_SECONDS + _CLOCK_SLACK_SECONDS
    )


def _affects_store_or_link(fault):
    return fault.area in (_Area.STORE, _Area.PATHS) or (
        fault.area is _Area.TARGET and "link" in fault.what
    )


def _is_in_contact(faults, daemon, run):
    """Return whether the daemon that sent a run was in contact with the store then.

    It was if, for _CONTACT_SECONDS before, its process ran, and the store and the
    daemon's links to the store and to the target worked. Failures of other daemons
    are no excuse.
    """
    own_faults = [
        fault
        for fault in faults
        if fault.subject in ("", daemon)
        and fault.area in (_Area.DAEMON, _Area.STORE)
        and fault.what != "reload"
    ]
    link_faults = [
        fault
        for fault in faults
        if fault.subject == run.target and _affects_store_or_link(fault)
    ]
    return _is_undisturbed(own_faults + link_faults, run.at, run.at)


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
            yield Violation("KV cache is isolated", run.request_id, detail)


def _check_recovery(journal):
    """Check that all requests succeed again _RECOVERY_SECONDS after the last fault.

    Targets fail some requests with status 500 at any time.
    """
    for sent in journal.sent_requests:
        if sent.sent_at < journal.recovered_at + _RECOVERY_SECONDS:
            continue
        if sent.kind is _Kind.PROBE and sent.status == 404:
            continue
        if sent.status not in (200, 500):
            yield _violation("recovery after faults", sent, f"status {sent.status}")


def _check_crashing(journal):
    """Check that hosts stop sending what crashes targets: a request, or a part."""
    part_ids = {run.deadly_part for run in journal.runs if run.deadly_part}
    crashes_by_path = collections.defaultdict(list)
    for crash in journal.crashes:
        crashes_by_path[crash.path].append(crash.at)
    for path, times in crashes_by_path.items():
        limit = _PART_CRASH_LIMIT if path in part_ids else _CRASH_LIMIT
        if len(times) < limit:
            continue
        known_at = sorted(times)[limit - 1] + _CONTACT_SECONDS
        late = [
            run
            for run in journal.runs
            if path in (run.path, run.deadly_part)
            and run.at > known_at + _CLOCK_SLACK_SECONDS
            and _is_in_contact(
                journal.faults, journal.daemon_by_crash_attempt[run.request_id], run
            )
        ]
        if len(late) > _MAX_LATE_RUNS:
            detail = (
                f"{len(times)} crashes, late: {[run.at - known_at for run in late]}"
            )
            yield Violation("requests that crash targets are stopped", path, detail)


def _check_repeats(journal):
    """Check that no service gets more repeats than the retry budget allows.

    A request that no caller is recorded for, as it is to crash a target, counts as sent
    when it first arrives.
    """
    arrivals = sorted(journal.arrivals, key=lambda item: item.at)
    for service, kinds in _KINDS_BY_SERVICE.items():
        sent_at_by_request = {
            sent.request_id: sent.sent_at
            for sent in journal.sent_requests
            if sent.kind in kinds
        }
        seen = repeats.Repeats()
        for arrival in arrivals:
            if arrival.target.partition("-")[0] == service:
                sent_at_by_request.setdefault(arrival.request_id, arrival.at)
                seen.note_arrival(arrival.request_id, arrival.at)
        for at in sorted(sent_at_by_request.values()):
            seen.note_sent(at)
        worst = seen.worst()
        if worst.is_broken:
            yield Violation("repeats stay within the budget", "", f"{service}: {worst}")


def _check_cuts(journal):
    """Check that callers of daemons which reach no target are served like the others.

    Only daemons in contact count, and a time in which some daemons are cut.
    """
    cuts = [fault for fault in journal.faults if fault.area is _Area.PATHS]
    for began in sorted({fault.began for fault in cuts}):
        ended = min(fault.ended for fault in cuts if fault.began == began)
        there, elsewhere = collections.Counter(), collections.Counter()
        for sent in journal.sent_requests:
            if not began + _CONTACT_SECONDS + _CLOCK_SLACK_SECONDS <= sent.sent_at:
                continue
            if sent.ended_at > ended or not _is_daemon_in_contact(journal, sent):
                continue
            is_cut = any(
                fault.subject == sent.daemon
                and fault.began <= sent.sent_at
                and sent.ended_at <= fault.ended
                for fault in cuts
            )
            (there if is_cut else elsewhere)[_is_served(sent)] += 1
        if not (there.total() and elsewhere.total()):
            continue
        share = there[True] / there.total()
        allowed = _CUT_FAILURES + _CUT_FAILED_SHARE * (there + elsewhere).total()
        if (
            share < _CUT_SERVED_SHARE * elsewhere[True] / elsewhere.total()
            and there[False] > allowed
        ):
            detail = f"cut at {began:.1f} s: {dict(there)}, elsewhere {dict(elsewhere)}"
            yield Violation("callers of cut daemons are served", "", detail)


def _check_falls(journal):
    """Check that hosts in contact let few brittle targets fall over."""
    daemon_faults = [
        fault
        for fault in journal.faults
        if fault.area in (_Area.DAEMON, _Area.STORE) and fault.what != "reload"
    ]
    for fault in journal.faults:
        if fault.what != records.BRITTLE:
            continue
        falls = [
            at
            for service, at in journal.falls
            if service == fault.subject
            and fault.began <= at <= fault.ended
            and _is_undisturbed(daemon_faults, at - 1.0, at)
        ]
        if len(falls) > _FALLS:
            detail = f"{fault.subject} fell at {falls}"
            yield Violation("few brittle targets fall over", "", detail)


def _check_silences(journal):
    """Check that no request is lost at a target that is silent for a second or so."""
    others = [fault for fault in journal.faults if fault.what != records.SILENT]
    silences = [fault for fault in journal.faults if fault.what == records.SILENT]
    for sent in journal.sent_requests:
        was_silent = any(
            fault.began <= sent.ended_at and sent.sent_at <= fault.ended
            for fault in silences
        )
        if not was_silent or _is_served(sent):
            continue
        if _is_undisturbed(others, sent.sent_at, sent.ended_at):
            yield _violation("a short silence loses nothing", sent, f"{sent.status}")


def _is_daemon_in_contact(journal, sent):
    faults = _faults_affecting(journal, sent.daemon)
    return _is_undisturbed(faults, sent.sent_at, sent.ended_at)


def _is_served(sent):
    return sent.status in (200, 500) or (
        sent.kind is _Kind.PROBE and sent.status == 404
    )


def _check_signals(journal):
    """Check that hosts do what targets ask for in their answers.

    A daemon that was stopped, paused or started meanwhile is excused, and so is a
    target whose link was disturbed: requests that a link held back arrive together.
    """
    daemon_by_request = journal.daemon_by_request()
    by_incarnation = collections.defaultdict(list)
    for arrival in journal.arrivals:
        if arrival.request_id in daemon_by_request:
            by_incarnation[arrival.target, arrival.born].append(arrival)

    def is_excused(daemon, since, until):
        own = [
            fault
            for fault in journal.faults
            if fault.area is _Area.DAEMON
            and fault.subject in ("", daemon)
            and fault.what != "reload"
        ]
        return not _is_undisturbed(own, since, until)

    for (target, _), arrivals in by_incarnation.items():
        if any(
            fault.subject == target and _affects_store_or_link(fault)
            for fault in journal.faults
        ):
            continue
        seen, answers = [], []
        for item in arrivals:
            host = daemon_by_request[item.request_id]
            seen.append(limits.Arrival(item.at, host))
            answers.append(
                limits.Answer(item.at, host, item.limit, item.is_leaving, item.rest)
            )
        yield from _check_target_signals(target, seen, answers, is_excused)


def _check_target_signals(target, arrivals, answers, is_excused):
    excess = limits.excess(arrivals, answers, is_excused)
    if excess > 0:
        detail = f"{target} got {excess:.1f} requests too many in a window"
        yield Violation("limits of targets are kept", "", detail)
    told_at = min((item.at for item in answers if item.is_leaving), default=0.0)
    for late in held.late(arrivals, answers):
        if not is_excused(late.host, told_at, late.at):
            detail = f"{late} reached {target}, which leaves"
            yield Violation("targets that leave get no requests", "", detail)
    for answer in answers:
        if is_excused(answer.host, answer.at, answer.at + answer.rest):
            continue
        count = held.most_in_a_rest(arrivals, [answer])
        if count > held.MOST_IN_A_REST:
            detail = f"{target} got {count} requests from {answer.host} in its rest"
            yield Violation("targets get the rest they ask for", "", detail)


def _faults_affecting(journal, daemon):
    """Return the faults that can keep a daemon from learning of a change."""
    return [
        fault
        for fault in journal.faults
        if fault.area in (_Area.DAEMON, _Area.STORE) and fault.subject in ("", daemon)
    ]


def _store_faults(journal):
    """Return the faults of the store itself, for all daemons."""
    return [
        fault
        for fault in journal.faults
        if fault.area is _Area.STORE and not fault.subject
    ]


def _is_undisturbed(faults, began, until):
    """Return whether no fault was active from _CONTACT_SECONDS before to the end."""
    return not any(
        fault.began < until and fault.ended > began - _CONTACT_SECONDS
        for fault in faults
    )


def _violation(promise, sent, detail):
    return Violation(promise, sent.request_id, f"{sent.kind.value}: {detail}")
