"""Records of target crashes, with the requests that were in flight at each."""

import collections
import dataclasses
import datetime

from sesamespindle.decide import commands, fingerprints, gossip, incarnations

# Two hosts' timestamps of one event may differ by this much: gossip carries the age of
# an event, and each host converts it to a time by its own clock.
CLOCK_TOLERANCE = datetime.timedelta(seconds=1)
# How many of the latest crashes are remembered, and for how long. A request that
# crashes targets may come again after minutes.
MAX_CRASHES = 128
_RETENTION = datetime.timedelta(hours=1)
# A request or part is a repeated suspect from this many crashes on.
_REPEATED_FROM = 2
# A part that ran well isn't the cause of crashes so soon after. Sound requests share
# parts, and have runs under way wherever targets crash.
_PASS_HOLDS_FOR = datetime.timedelta(seconds=1)
# The parts that are known to have run well here, the latest ones.
_MAX_PASSED = 4096
# The suspects of one crash. Callers choose how many parts their prompts list.
_MAX_SUSPECTS = 512
# A crash is announced in this many gossip rounds, for the same reason as a weight
# version; see `world.VERSION_ROUNDS`.
_ANNOUNCED_ROUNDS = 10
# Limits of one gossip message: the number of crashes, the number of cleared requests,
# and the suspects of all its crashes together, at 18 bytes each. A host may use 20 KB/s
# for control traffic.
_MAX_ANNOUNCED = 32
_MAX_ANNOUNCED_SUSPECTS = 400


@dataclasses.dataclass(slots=True)
class Crash:
    """An incarnation of a target that ended while requests were in flight.

    Attributes
    ----------
    incarnation : incarnations.TargetIncarnation
        The incarnation.
    service : str
        The pool or service that the target belongs to.
    at : datetime.datetime
        When its first connection broke.
    suspects : set of str
        The fingerprints of the requests in flight, and of the parts of those prompts
        whose answers had not begun; of this host, and announced by others.
    is_refuted : bool
        Whether the incarnation answered later, so that it had not ended.
    rounds : int
        Gossip rounds in which the crash is still announced.
    """

    incarnation: incarnations.TargetIncarnation
    service: str
    at: datetime.datetime
    suspects: set[str]
    is_refuted: bool = False
    rounds: int = _ANNOUNCED_ROUNDS


@dataclasses.dataclass(slots=True)
class _SuccessfulRun:
    """The latest successful run of a suspect.

    Attributes
    ----------
    rounds : int
        Gossip rounds in which it is still announced.
    """

    at: datetime.datetime
    rounds: int = _ANNOUNCED_ROUNDS


class CrashRecords:
    """The known crashes, by target and by the requests that may have caused them.

    Parameters
    ----------
    state : world.World
        The shared tables.

    Attributes
    ----------
    crash_by_incarnation : dict of incarnations.TargetIncarnation to Crash
        All known crashes, in the order in which they were recorded.
    revision : int
        Rises whenever a crash, a suspect or what refutes or clears one is recorded.
    """

    def __init__(self, state):
        self._state = state
        self.revision = 0
        self.crash_by_incarnation = {}
        # How many incarnations of a target are known to have ended, by target name.
        self._ended_count_by_name = {}
        self._incarnations_by_fingerprint = {}
        # Fingerprints that are suspects of `_REPEATED_FROM` crashes or more.
        self._repeated = set()
        self._successful_run_by_fingerprint = {}
        # When parts last ran well at this host, by fingerprint.
        self._passed_at_by_part = collections.OrderedDict()

    def record_success(self, fingerprint, at):
        """Record a successful run: it did not cause the crashes before.

        Of a part it is announced only if a crash counts against that, as many requests
        share parts.

        Parameters
        ----------
        at : datetime.datetime
            When the run ended well, or when that with a part began to answer.
        """
        if not fingerprints.is_of_part(fingerprint):
            if fingerprint in self._incarnations_by_fingerprint:
                self.clear(fingerprint, at)
            return
        crashes = self.crashes_against(fingerprint)
        if crashes:
            self.clear(fingerprint, at)
        if len(crashes) >= _REPEATED_FROM:
            self._state.emit(commands.Note("part_cleared", fingerprint))
        self._passed_at_by_part[fingerprint] = at
        self._passed_at_by_part.move_to_end(fingerprint)
        if len(self._passed_at_by_part) > _MAX_PASSED:
            self._passed_at_by_part.popitem(last=False)

    def clear(self, fingerprint, at):
        """Stop counting crashes up to a time against a request.

        Guards against hosts that announce one clearing to each other without end. Each
        host converts the announced age to a time a few milliseconds later than the one
        before, so the clearing looks new each time. A time within the tolerance of the
        known one is taken for the same clearing and is not announced again, unless a
        crash still counts that it clears.
        """
        is_new = at - CLOCK_TOLERANCE > self.cleared_at(fingerprint, at - _RETENTION)
        crashes = self.crashes_against(fingerprint)
        if is_new or any(crash.at <= at for crash in crashes):
            self._successful_run_by_fingerprint[fingerprint] = _SuccessfulRun(at)
            self.revision += 1
            self._state.must_announce_crashes = True

    def cleared_at(self, fingerprint, default):
        """Return when a request last ran successfully or was cleared.

        Parameters
        ----------
        default : datetime.datetime or None
            Returned if the request was never cleared.
        """
        served = self._successful_run_by_fingerprint.get(fingerprint)
        passed_at = self._passed_at_by_part.get(fingerprint)
        times = [at for at in (served and served.at, passed_at) if at is not None]
        return max(times, default=default)

    def crashes_against(self, fingerprint):
        """Return the crashes that count against a request, in no particular order.

        Refuted crashes and those before its last successful run don't count.
        """
        incarnations = self._incarnations_by_fingerprint.get(fingerprint)
        if not incarnations:
            return []
        since = self._counts_since(fingerprint)
        crashes = [self.crash_by_incarnation[each] for each in incarnations]
        return [
            crash
            for crash in crashes
            if not crash.is_refuted and (since is None or crash.at > since)
        ]

    def is_after_success(self, fingerprint, at):
        """Return whether the last successful run shows nothing of a crash at a time."""
        since = self._counts_since(fingerprint)
        return since is None or at > since

    def _counts_since(self, fingerprint):
        """Return the time up to which crashes don't count, or None."""
        cleared_at = self.cleared_at(fingerprint, None)
        if cleared_at is None or not fingerprints.is_of_part(fingerprint):
            return cleared_at
        return cleared_at + _PASS_HOLDS_FOR

    def repeated_suspects(self):
        """Return the fingerprints that were in flight in two crashes or more."""
        return self._repeated

    def crash_of(self, incarnation):
        """Return the unrefuted `Crash` that ended an incarnation, or None."""
        crash = self.crash_by_incarnation.get(incarnation)
        return crash if crash is not None and not crash.is_refuted else None

    def ended_count(self, name):
        """Return how many incarnations of a target are known to have ended."""
        return self._ended_count_by_name.get(name, 0)

    def has_crashed(self, incarnation):
        """Return whether an incarnation of a target is known to have crashed."""
        return self.crash_of(incarnation) is not None

    def record(self, crash, evidence):
        """Record a crash; `evidence` says for the log what shows it."""
        crash.suspects = _bounded(crash.suspects)
        self.crash_by_incarnation[crash.incarnation] = crash
        name, ended_count = crash.incarnation.name, crash.incarnation.born + 1
        self._ended_count_by_name[name] = max(
            ended_count, self._ended_count_by_name.get(name, 0)
        )
        self._index_suspects(crash, crash.suspects, evidence)
        while len(self.crash_by_incarnation) > MAX_CRASHES:
            self._forget(next(iter(self.crash_by_incarnation.values())))

    def add_suspects(self, crash, suspects):
        """Add requests and parts that were in flight in a known crash."""
        added = _bounded(suspects - crash.suspects, _MAX_SUSPECTS - len(crash.suspects))
        if added:
            crash.suspects |= added
            self._index_suspects(crash, added, "known before")

    def _index_suspects(self, crash, suspects, evidence):
        for fingerprint in suspects:
            crashed_incarnations = self._incarnations_by_fingerprint.setdefault(
                fingerprint, set()
            )
            crashed_incarnations.add(crash.incarnation)
            if len(crashed_incarnations) >= _REPEATED_FROM:
                self._repeated.add(fingerprint)
        self._announce(crash)
        self._log_crash(crash, suspects, evidence)

    def _announce(self, crash):
        self.revision += 1
        crash.rounds = _ANNOUNCED_ROUNDS
        self._state.must_announce_crashes = True

    def refute(self, crash):
        """Note that a target answered after its supposed crash."""
        crash.is_refuted = True
        self._announce(crash)
        self._state.emit(commands.Note("crash_refuted", crash.incarnation.name))

    def forget_old(self, now):
        """Drop outdated crashes and clearings.

        Crashes are checked in the order in which they were recorded, up to the first
        that is recent enough to keep.
        """
        while self.crash_by_incarnation:
            oldest = next(iter(self.crash_by_incarnation.values()))
            if now - oldest.at < _RETENTION:
                break
            self._forget(oldest)
        for fingerprint, served in list(self._successful_run_by_fingerprint.items()):
            if now - served.at >= _RETENTION:
                del self._successful_run_by_fingerprint[fingerprint]

    def _forget(self, crash):
        del self.crash_by_incarnation[crash.incarnation]
        name = crash.incarnation.name
        if all(incarnation.name != name for incarnation in self.crash_by_incarnation):
            self._ended_count_by_name.pop(name, None)
        for fingerprint in crash.suspects:
            crashed_incarnations = self._incarnations_by_fingerprint[fingerprint]
            crashed_incarnations.discard(crash.incarnation)
            if len(crashed_incarnations) < _REPEATED_FROM:
                self._repeated.discard(fingerprint)
            if not crashed_incarnations:
                del self._incarnations_by_fingerprint[fingerprint]

    # Gossip with peers.

    def records_to_announce(self, whole):
        """Return the records to send to a peer.

        Parameters
        ----------
        whole : bool
            Whether to send all that is known, as to a peer that has just started, and
            not only what is still announced.

        Returns
        -------
        crashes : tuple of gossip.TargetCrash
        cleared : tuple of gossip.ClearedRequest
        """
        crashes = [
            crash
            for crash in self.crash_by_incarnation.values()
            if whole or crash.rounds
        ]
        cleared = [
            gossip.ClearedRequest(fingerprint, served.at)
            for fingerprint, served in self._successful_run_by_fingerprint.items()
            if whole or served.rounds
        ]
        records = tuple(self._crash_records(crashes[-_MAX_ANNOUNCED:]))
        return records, tuple(cleared[-_MAX_ANNOUNCED:])

    def _crash_records(self, crashes):
        """Yield the records of crashes, latest first, until the message is full.

        Suspects of several crashes come first, as the request that causes the crashes
        is one of them.
        """
        free = _MAX_ANNOUNCED_SUSPECTS
        for crash in reversed(crashes):
            suspects = sorted(
                crash.suspects, key=lambda item: item not in self._repeated
            )
            suspects = suspects[:free]
            free -= len(suspects)
            if suspects:
                yield gossip.TargetCrash(
                    crash.incarnation,
                    crash.service,
                    crash.at,
                    tuple(suspects),
                    crash.is_refuted,
                )

    def note_round(self):
        """Count a gossip round in which the recent records were announced."""
        for item in (
            *self.crash_by_incarnation.values(),
            *self._successful_run_by_fingerprint.values(),
        ):
            item.rounds = max(0, item.rounds - 1)

    def merge(self, received, evidence):
        """Merge the `gossip.TargetCrash` of a peer; this is idempotent."""
        known = self.crash_by_incarnation.get(received.incarnation)
        if known is None:
            known = Crash(
                received.incarnation,
                received.service,
                received.at,
                set(received.suspects),
            )
            self.record(known, evidence)
        else:
            self.add_suspects(known, set(received.suspects))
        if received.is_refuted and not known.is_refuted:
            self.refute(known)

    def _log_crash(self, crash, suspects, evidence):
        parts = sorted(filter(fingerprints.is_of_part, suspects))
        whole = sorted(suspects.difference(parts))
        self._state.emit(
            commands.Note(
                "target_crashed",
                crash.incarnation.name,
                f"{len(whole)} requests under way: {', '.join(whole)}; "
                f"{len(parts)} parts not begun: {', '.join(parts)}; end: {evidence}",
            )
        )


def _bounded(suspects, most=_MAX_SUSPECTS):
    """Return at most so many of some suspects, whole requests first."""
    if len(suspects) <= most:
        return suspects
    return set(sorted(suspects, key=fingerprints.is_of_part)[: max(most, 0)])
