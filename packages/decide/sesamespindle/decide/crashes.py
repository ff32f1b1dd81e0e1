"""Detection of target crashes, with the requests that were in flight at each."""

import dataclasses
import datetime
import enum

from sesamespindle.decide import crashrecords, incarnations

# How long after a connection broke the end of the target's incarnation may still be
# confirmed. A crashed target has restarted and is listed again after some seconds.
_CONFIRMATION_TIMEOUT = datetime.timedelta(seconds=6)
# Connection attempts that check whether a target's incarnation has ended. The second
# is for a target that closes its connections before it closes its listening port.
_MAX_PROBES = 2
# The pause before an incarnation is probed again whose probe was undecided, as it took
# longer to connect than a probe waits. It doubles each time, up to the second number.
_REPROBE_AFTER = datetime.timedelta(seconds=0.1)
_MAX_REPROBE_DOUBLINGS = 5
# Peers that are asked whether a target which refuses connections has ended.
_OPINIONS = 3
# Other targets of its service that show whether a host has lost its paths. A request
# that crashes targets is quarantined from the third on, so that two of them may have
# crashed unknown to this host, and one may be slow.
_BESIDE = 4
# A request whose caller disconnected at most this long before the crash may have caused
# it, so it counts as a suspect too.
_ABANDONED_SHORTLY_BEFORE = datetime.timedelta(seconds=1)
# The evidence of a crash that another host announced.
_PEER = "a peer's record"


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Check whether an incarnation of a target still accepts connections."""

    incarnation: incarnations.TargetIncarnation
    address: str


class Verdict(enum.Enum):
    """A host's opinion of a target that refuses another host's connections."""

    # It refuses this host too, which reaches another target of the service.
    ENDED = "ended"
    # It accepts connections from here.
    LIVES = "lives"
    # This host may have lost its paths, or does not answer.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class AskOpinions:
    """Ask this host and some peers whether a target's incarnation has ended."""

    incarnation: incarnations.TargetIncarnation
    address: str
    peers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OpinionsHeard:
    """The end of an `AskOpinions`.

    Attributes
    ----------
    own : Verdict
        That of this host.
    others : tuple of Verdict
        Those of the peers that were asked.
    """

    incarnation: incarnations.TargetIncarnation
    own: Verdict
    others: tuple[Verdict, ...]

    @property
    def shows_end(self):
        """Whether the incarnation has ended, by more than one host's view.

        A host without peers has only its own.
        """
        if Verdict.LIVES in self.others or self.own is not Verdict.ENDED:
            return False
        return Verdict.ENDED in self.others or not self.others


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRefusesConnections:
    """The address of a target's incarnation refused a connection."""

    incarnation: incarnations.TargetIncarnation


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeUndecided:
    """A `ProbeTarget` showed nothing: it was not refused, and nothing accepted it."""

    incarnation: incarnations.TargetIncarnation


@dataclasses.dataclass(slots=True)
class _BrokenRuns:
    """Runs whose connections broke at an incarnation that may have ended.

    Attributes
    ----------
    at : datetime.datetime
        When the first connection broke.
    fingerprints : set of str
        Those of the runs that were under way then.
    sent_later : set of str
        Those of runs that were sent after it.
    """

    service: str
    address: str
    at: datetime.datetime
    fingerprints: set[str] = dataclasses.field(default_factory=set)
    sent_later: set[str] = dataclasses.field(default_factory=set)
    probes: int = 0
    # How many probes were undecided, and when the next one after them is due.
    undecided: int = 0
    probe_at: datetime.datetime | None = None
    # Whether peers were asked and have not answered yet.
    is_asked: bool = False


class Crashes:
    """Distinguishes crashes from broken links, and records the requests in flight.

    A crash takes two things: a connection broke while a request was in flight, and the
    target's incarnation ended. It has ended when it refuses the connections of several
    hosts that reach others of its service, when another incarnation is at its address,
    or when the target list has another in its place. It
    isn't counted as a crash if the target was draining or off the target list, or if
    this host was paused while the request was in flight.

    Parameters
    ----------
    state : world.World
        The shared tables.
    restarts_keep_name : bool
        Whether targets restart under the same name and don't report a start time.
        Their incarnations are then numbered by how many are known to have ended.

    Attributes
    ----------
    records : crashrecords.CrashRecords
        The crashes that this host knows.
    """

    def __init__(self, state, restarts_keep_name=False):
        self._state = state
        self._restarts_keep_name = restarts_keep_name
        self.records = crashrecords.CrashRecords(state)
        self._broken_runs_by_incarnation = {}
        # When callers disconnected from runs, by incarnation and fingerprint.
        self._abandoned_at_by_incarnation = {}

    def handle(self, event, now):
        """Handle one of this module's events; return whether the event was one."""
        match event:
            case TargetRefusesConnections():
                self.note_refusal(event.incarnation)
            case ProbeUndecided():
                self._note_undecided(event.incarnation, now)
            case OpinionsHeard():
                self._note_opinions(event)
            case _:
                return False
        return True

    def incarnation_of(self, row):
        """Return the `incarnations.TargetIncarnation` that a target has now."""
        if not self._restarts_keep_name:
            return row.incarnation
        return incarnations.TargetIncarnation(
            row.name, self.records.ended_count(row.name)
        )

    def _current_row(self, incarnation):
        """Return the row of a target's incarnation, or None if it isn't current."""
        row = self._state.targets.get(incarnation.name)
        return (
            row if row is not None and self.incarnation_of(row) == incarnation else None
        )

    def record_broken_run(self, fingerprint, incarnation, sent_at, now):
        """Record a run whose connection broke before its answer was complete.

        Guards against requests that are suspected although they were not in flight in
        a crash. While this host was paused, targets may have ended for other reasons.
        A target that drains cuts off its long runs when it ends. Some targets are taken
        off the target list before they end. Runs in these cases are not recorded.

        Parameters
        ----------
        fingerprint : str
            Of the request or of a part of its prompt. Nothing is recorded if it is
            empty, that is, not known.
        incarnation : incarnations.TargetIncarnation
            The incarnation that the run was sent to.
        sent_at, now : datetime.datetime
            When the run was sent, and the current time.
        """
        if not fingerprint or self._state.pauses.paused_since(sent_at):
            return
        known = self.records.crash_by_incarnation.get(incarnation)
        if known is not None:
            if sent_at <= known.at:
                self.records.add_suspects(known, {fingerprint})
            return
        row = self._current_row(incarnation)
        if row is None or row.leaving or row.missing_since is not None:
            return
        broken = self._broken_runs_by_incarnation.get(incarnation)
        if broken is None:
            broken = _BrokenRuns(row.pool, row.url, now)
            self._broken_runs_by_incarnation[incarnation] = broken
            self._probe(incarnation, broken)
        was_under_way = sent_at <= broken.at
        runs = broken.fingerprints if was_under_way else broken.sent_later
        runs.add(fingerprint)

    def record_abandoned_run(self, fingerprint, incarnation, now):
        """Record a run that was abandoned by its caller or by this host."""
        if fingerprint:
            self._abandoned_at_by_incarnation.setdefault(incarnation, {})[
                fingerprint
            ] = now

    def record_answer(self, incarnation, sent_at):
        """Record that an incarnation answered a request.

        Guards against a broken link that is taken for a crash, so that the requests on
        that link become suspects. The incarnation is alive if it answers a request that
        was sent after the link broke. An answer to a request sent before the break
        proves nothing, as it may have been received but not yet handled by this host
        when the target crashed.

        Parameters
        ----------
        sent_at : datetime.datetime
            When the answered request was sent.
        """
        broken = self._broken_runs_by_incarnation.get(incarnation)
        if broken is not None and sent_at > broken.at:
            del self._broken_runs_by_incarnation[incarnation]
        crash = self.records.crash_of(incarnation)
        if crash is not None and sent_at > crash.at + crashrecords.CLOCK_TOLERANCE:
            self.records.refute(crash)

    def note_refusal(self, incarnation):
        """Ask a few peers whether an incarnation that refuses connections has ended.

        Guards against a host that has lost its paths and makes all hosts believe that
        targets crashed: the requests that were in flight there would be suspects. A
        refusal looks the same from here as the end of the target.
        """
        broken = self._broken_runs_by_incarnation.get(incarnation)
        if broken is None or broken.is_asked:
            return
        broken.is_asked = True
        peers = [
            row.peer_address
            for row in self._state.reaching_entries()
            if row.name != self._state.me.name and row.peer_address
        ]
        asked = self._state.random.sample(peers, min(_OPINIONS, len(peers)))
        self._state.emit(AskOpinions(incarnation, broken.address, tuple(asked)))

    def _note_undecided(self, incarnation, now):
        """Let an incarnation be probed again, after a pause.

        Guards against a crash that isn't known for as long as the target is down: both
        probes were sent while a connection took longer than a probe waits.
        """
        broken = self._broken_runs_by_incarnation.get(incarnation)
        if broken is not None:
            doublings = min(broken.undecided, _MAX_REPROBE_DOUBLINGS)
            broken.probe_at = now + _REPROBE_AFTER * 2**doublings
            broken.undecided += 1

    def _note_opinions(self, event):
        broken = self._broken_runs_by_incarnation.get(event.incarnation)
        if broken is None:
            return
        broken.is_asked = False
        if event.shows_end:
            count = event.others.count(Verdict.ENDED)
            self.record_end(event.incarnation, f"refused here and at {count} peers")

    def record_end(self, incarnation, evidence):
        """Record that an incarnation has ended; it is a crash if runs broke there.

        Parameters
        ----------
        incarnation : incarnations.TargetIncarnation
            The incarnation.
        evidence : str
            What shows its end, for the log.
        """
        broken = self._broken_runs_by_incarnation.pop(incarnation, None)
        if broken is None:
            return
        abandoned_at = self._abandoned_at_by_incarnation.pop(incarnation, {})
        suspects = broken.fingerprints | {
            fingerprint
            for fingerprint, at in abandoned_at.items()
            if broken.at - at <= _ABANDONED_SHORTLY_BEFORE
        }
        crash = crashrecords.Crash(incarnation, broken.service, broken.at, suspects)
        self.records.record(crash, evidence)

    def possible_crash_times(self, fingerprint):
        """Return when a request or part may have crashed targets.

        These are the targets at which a run of it broke and whose end is not yet
        confirmed.

        Returns
        -------
        times : list of datetime.datetime
        """
        return [
            broken.at
            for broken in self._broken_runs_by_incarnation.values()
            if fingerprint in broken.fingerprints | broken.sent_later
            and self.records.is_after_success(fingerprint, broken.at)
        ]

    def tick(self, now):
        """Confirm or dismiss possible crashes, and drop outdated records.

        A possible crash is confirmed by the target list. It is dismissed if the target
        drains or the time for confirmation is over, and probed again otherwise.
        """
        self.records.forget_old(now)
        for incarnation, broken in list(self._broken_runs_by_incarnation.items()):
            row = self._current_row(incarnation)
            if row is None or row.superseded_by:
                self.record_end(incarnation, "the target list")
            elif row.leaving or now - broken.at > _CONFIRMATION_TIMEOUT:
                del self._broken_runs_by_incarnation[incarnation]
            else:
                self._probe_if_due(incarnation, broken, now)
        self._abandoned_at_by_incarnation = {
            incarnation: at_by_request
            for incarnation, at_by_request in self._abandoned_at_by_incarnation.items()
            if now - max(at_by_request.values()) <= _ABANDONED_SHORTLY_BEFORE
        }

    def _probe_if_due(self, incarnation, broken, now):
        if broken.probe_at is not None and now >= broken.probe_at:
            broken.probe_at = None
            broken.probes -= 1
        self._probe(incarnation, broken)

    def _probe(self, incarnation, broken):
        if broken.probes < _MAX_PROBES:
            broken.probes += 1
            self._state.emit(ProbeTarget(incarnation, broken.address))

    def addresses_beside(self, incarnation):
        """Return the addresses of other targets, if possible of the same service.

        They show whether this host reaches any target. One that has crashed shows
        nothing, and one that is in doubt little.
        """
        rows = [row for row in self._state.targets if self._may_answer(row)]
        others = [row for row in rows if row.name != incarnation.name]
        ended = self._state.targets.get(incarnation.name)
        pool = ended.pool if ended is not None else None
        others = [row for row in others if row.pool == pool] or others
        self._state.random.shuffle(others)
        others.sort(key=lambda row: row.doubted_at is not None)
        return tuple(row.url for row in others[:_BESIDE])

    def _may_answer(self, row):
        return row.listed and row.url and not self.records.has_crashed(row.incarnation)

    # Gossip with peers.

    def merge(self, crashes, cleared):
        """Merge records received from a peer; this is idempotent."""
        for record in cleared:
            self.records.clear(record.fingerprint, record.at)
        for record in crashes:
            self.record_end(record.incarnation, _PEER)
            self.records.merge(record, _PEER)
