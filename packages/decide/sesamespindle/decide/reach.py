"""Which services this host reaches, found out by what it hears and by probes.

A target that doesn't answer may be lost, or this host may have lost its path there. The
two look alike from here. So a failure is a doubt at first, and a round of probes to the
target and to others of its service shows how far the doubt goes. A host that reaches no
target of a service says so to its peers, and never that the targets have ended.
"""

import collections
import dataclasses
import datetime

from sesamespindle.decide import commands, incarnations

# How long a target may take to answer a probe. Sound ones take some milliseconds.
ANSWER_TIME = datetime.timedelta(milliseconds=400)
# Other targets of the service that a round probes beside a doubted one. If none of them
# answers either, the service counts as unreached.
_PROBED_BESIDE = 2
# Targets that are probed first if nothing was sent or heard for a while.
_PROBED_IF_STALE = 1
# The pause before an unreached service is probed again, with jitter up to half more.
_RECHECK_AFTER = datetime.timedelta(milliseconds=300)
# The same for an unreached target of a service that is reached; it doubles each time.
_MAX_TARGET_DOUBLINGS = 4
# Unreached targets of reached services that are probed in one tick at most.
_MAX_RECHECKED = 4
# A request has been at a target for this long, and nothing was heard from any target
# of its service meanwhile: probe. Targets rarely take longer for their first byte.
_QUIET_AFTER = datetime.timedelta(seconds=1)
# A host that heard nothing for this long knows too little to risk a request.
_STALE_AFTER = datetime.timedelta(milliseconds=1500)
# How long a service that is reached again is still said to be unreached. It doubles
# with each time in the last `_FLAPS_COUNTED`, so that a path which comes and goes
# doesn't send callers away and back each time.
_FIRST_HOLD = datetime.timedelta(milliseconds=500)
_MAX_HOLD_DOUBLINGS = 4
_FLAPS_COUNTED = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReach:
    """Ask an incarnation of a target for any answer, over a new connection."""

    incarnation: incarnations.TargetIncarnation
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetProbed:
    """The end of a `ProbeReach`.

    Attributes
    ----------
    answered : bool
        Whether anything came back in time.
    was_refused : bool
        Whether the connection was refused or broken.
    """

    incarnation: incarnations.TargetIncarnation
    answered: bool
    was_refused: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CheckWanted:
    """A request is about to be sent to one of some services."""

    services: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RoundDecided:
    """A round of probes has shown whether this host reaches a service."""

    service: str


@dataclasses.dataclass(slots=True)
class _ServiceReach:
    """What this host knows of its paths to one service.

    Attributes
    ----------
    pending : set of incarnations.TargetIncarnation
        The targets of the current round whose probes have not ended.
    probed : int
        The number of targets in the current round.
    has_answer : bool
        Whether a target of the current round answered.
    unreached_since : datetime.datetime or None
        When a round of probes first had no answer; None if the service is reached.
    recheck_at : datetime.datetime or None
        When an unreached service is probed again.
    held_until : datetime.datetime or None
        Until when a service that is reached again is still said to be unreached.
    cut_at : collections.deque of datetime.datetime
        When the service was last found unreached.
    carried_at : datetime.datetime or None
        When a target of the service last answered a request that a peer carried.
    """

    pending: set = dataclasses.field(default_factory=set)
    probed: int = 0
    has_answer: bool = False
    unreached_since: datetime.datetime | None = None
    recheck_at: datetime.datetime | None = None
    held_until: datetime.datetime | None = None
    cut_at: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_HOLD_DOUBLINGS + 1)
    )
    carried_at: datetime.datetime | None = None


class Reach:
    """Decides which services and targets this host reaches.

    Nothing is probed while targets answer. Only probes end a doubt, each over a new
    connection, as open connections may live on where new ones fail.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._reach_by_service = {}
        # Probes of targets alone, beside the rounds of their services.
        self._probed_alone = set()
        self._heard_at_by_service = {}
        # Since when a request waits at a target without a byte from there.
        self._asked_at_by_incarnation = {}
        # The names of the targets that are doubted.
        self._doubted_names = set()

    def handle(self, event, now):
        """Handle one of this module's events; return whether the event was one."""
        match event:
            case TargetProbed():
                self._note_probed(event, now)
            case CheckWanted():
                self._check_if_stale(event.services, now)
            case _:
                return False
        return True

    # What happens to requests.

    def note_sent(self, row, now):
        """Record that a request was sent to a target."""
        self._asked_at_by_incarnation.setdefault(row.incarnation, now)

    def note_released(self, row):
        """Record that a request no longer waits at a target."""
        if not row.running_here:
            self._asked_at_by_incarnation.pop(row.incarnation, None)

    def note_heard(self, row, now):
        """Record that a target sent something."""
        row.heard_at = self._heard_at_by_service[row.pool] = now
        self._asked_at_by_incarnation.pop(row.incarnation, None)

    def note_failure(self, row, now):
        """Doubt a target that could not be reached or did not answer."""
        self._doubt(row, now)
        reach = self._reach(row.pool)
        if reach.pending:
            self._probe_alone(row)
        elif reach.unreached_since is None:
            self._start_round(row.pool, [row])

    def note_carried(self, service, now):
        """Record that a target answered a request which a peer carried there."""
        self._reach(service).carried_at = now

    # What follows from it.

    def is_unreached(self, service):
        """Return whether no target of a service answered the last round of probes."""
        reach = self._reach_by_service.get(service)
        return reach is not None and reach.unreached_since is not None

    def is_doubtful(self, service):
        """Return whether a service is unreached, or a round has no answer yet."""
        reach = self._reach_by_service.get(service)
        if reach is None:
            return False
        return reach.unreached_since is not None or (
            bool(reach.pending) and not reach.has_answer
        )

    def unreached_for(self, service, now):
        """Return for how long a service has been unreached; zero if it is reached."""
        reach = self._reach_by_service.get(service)
        if reach is None or reach.unreached_since is None:
            return datetime.timedelta(0)
        return now - reach.unreached_since

    def heard_since(self, service, since):
        """Return whether a target of a service was heard after a time."""
        heard_at = self._heard_at_by_service.get(service)
        return heard_at is not None and heard_at > since

    def reached_targets(self, rows):
        """Return the targets that aren't doubted; all of them if each one is."""
        return [row for row in rows if row.doubted_at is None] or rows

    def _check_if_stale(self, services, now):
        """Start a round of probes for services if this host heard nothing lately.

        Guards against a request that is lost on a path which was cut while this host
        had nothing to send; one that may run only once can't be sent again.
        """
        if self.is_stale(now):
            for service in services:
                reach = self._reach(service)
                if not reach.pending and reach.unreached_since is None:
                    self._start_round(service, [], _PROBED_IF_STALE)

    def is_stale(self, now):
        """Return whether this host has heard from no target lately."""
        heard_at = max(self._heard_at_by_service.values(), default=None)
        return heard_at is None or now - heard_at >= _STALE_AFTER

    def is_checking(self, services):
        """Return whether a round of one of the services has no answer yet."""
        return any(
            self.is_doubtful(service) and not self.is_unreached(service)
            for service in services
        )

    def is_isolated(self, entry):
        """Return whether an entry host says that it reaches no service at all."""
        return bool(entry.unreached) and set(entry.unreached) >= self._services()

    # Probes.

    def tick(self, now):
        """Probe what is due, and update what this host says of itself."""
        for service, reach in self._reach_by_service.items():
            if reach.unreached_since is None or reach.pending:
                continue
            if now >= reach.recheck_at:
                self._start_round(service, [])
        self._check_quiet(now)
        self._recheck_targets(now)
        self._declare(now)

    def _reach(self, service):
        if service not in self._reach_by_service:
            self._reach_by_service[service] = _ServiceReach()
        return self._reach_by_service[service]

    def _services(self):
        """Return the services that have targets."""
        return {row.pool for row in self._state.targets if row.stays and row.url}

    def _targets(self, service):
        rows = self._state.targets.where("pool", service)
        return [row for row in rows if row.stays and row.url]

    def _start_round(self, service, rows, size=_PROBED_BESIDE + 1):
        reach = self._reach(service)
        names = {row.name for row in rows}
        others = [row for row in self._targets(service) if row.name not in names]
        count = min(size - len(rows), len(others))
        rows = [*rows, *self._state.random.sample(others, count)]
        reach.pending = {row.incarnation for row in rows}
        reach.probed, reach.has_answer = len(rows), False
        for row in rows:
            self._state.emit(ProbeReach(row.incarnation, row.url))

    def _probe_alone(self, row):
        incarnation = row.incarnation
        if incarnation in self._reach(row.pool).pending | self._probed_alone:
            return
        self._probed_alone.add(incarnation)
        self._state.emit(ProbeReach(incarnation, row.url))

    def _check_quiet(self, now):
        """Probe a service if requests wait there and none of its targets is heard.

        Guards against connections that stay open and carry nothing: no request fails,
        and callers wait until their time is over.
        """
        for incarnation, asked_at in list(self._asked_at_by_incarnation.items()):
            row = self._state.target_in(incarnation)
            if row is None:
                del self._asked_at_by_incarnation[incarnation]
                continue
            since = now - _QUIET_AFTER
            if asked_at > since or self.heard_since(row.pool, since):
                continue
            self._asked_at_by_incarnation[incarnation] = now
            reach = self._reach(row.pool)
            if not reach.pending and reach.unreached_since is None:
                self._start_round(row.pool, [row])

    def _recheck_targets(self, now):
        due = []
        for name in list(self._doubted_names):
            row = self._state.targets.get(name)
            if row is None or row.doubted_at is None:
                self._doubted_names.discard(name)
            elif row.recheck_at is not None and now >= row.recheck_at:
                due.append(row)
        due = [row for row in due if not self.is_unreached(row.pool)]
        for row in due[:_MAX_RECHECKED]:
            self._probe_alone(row)

    def _doubt(self, row, now):
        if row.doubted_at is None:
            row.doubted_at = now
        self._doubted_names.add(row.name)

    def _note_probed(self, event, now):
        row = self._state.target_in(event.incarnation)
        answered = event.answered or _was_only_late(row, event, now)
        if row is not None:
            self._note_target(row, answered, now)
        self._probed_alone.discard(event.incarnation)
        for service, reach in list(self._reach_by_service.items()):
            if event.incarnation in reach.pending:
                reach.pending.discard(event.incarnation)
                self._note_round(service, reach, answered, now)

    def _note_target(self, row, answered, now):
        if answered:
            self.note_heard(row, now)
            row.doubted_at = row.recheck_at = None
            row.failed_probes = 0
            return
        self._doubt(row, now)
        doublings = min(row.failed_probes, _MAX_TARGET_DOUBLINGS)
        row.recheck_at = now + self._pause() * 2**doublings
        row.failed_probes += 1

    def _note_round(self, service, reach, answered, now):
        if answered:
            reach.has_answer = True
            self._state.emit(RoundDecided(service))
            if reach.unreached_since is not None:
                self._note_reached(service, reach, now)
        elif not reach.pending and not reach.has_answer:
            reach.recheck_at = now + self._pause()
            if reach.unreached_since is not None:
                return
            if reach.probed <= min(_PROBED_BESIDE, len(self._targets(service)) - 1):
                self._start_round(service, [])
            else:
                self._note_unreached(service, reach, now)

    def _pause(self):
        return _RECHECK_AFTER * (1.0 + 0.5 * self._state.random.random())

    def _note_unreached(self, service, reach, now):
        reach.unreached_since = now
        reach.cut_at.append(now)
        self._state.emit(RoundDecided(service))
        self._state.emit(commands.Note("service_unreached", service))
        # Where one service can't be reached, it is worth to ask for the others.
        for other in self._services():
            other_reach = self._reach(other)
            if other_reach.unreached_since is None and not other_reach.pending:
                self._start_round(other, [])
        self._declare(now)

    def _note_reached(self, service, reach, now):
        cut_for = (now - reach.unreached_since).total_seconds()
        lately = sum(now - at < _FLAPS_COUNTED for at in reach.cut_at)
        reach.held_until = now + _FIRST_HOLD * 2 ** max(lately - 1, 0)
        reach.unreached_since = reach.recheck_at = None
        self._state.emit(
            commands.Note("service_reached", service, f"after {cut_for:.2f} s")
        )
        for row in self._targets(service):
            row.doubted_at = row.recheck_at = row.ejected_until = None
            row.failures = row.failed_probes = 0
            if _was_served_meanwhile(row, reach):
                row.refused_at = None

    def _declare(self, now):
        """Say in this host's own record which services it doesn't reach."""
        unreached = tuple(
            sorted(
                service
                for service, reach in self._reach_by_service.items()
                if reach.unreached_since is not None
                or (reach.held_until is not None and now < reach.held_until)
            )
        )
        me = self._state.entries.get(self._state.me.name)
        if me is not None and me.unreached != unreached:
            me.unreached = unreached
            self._state.note_view_change()
            self._state.must_start_round = True


def _was_served_meanwhile(row, reach):
    """Return whether a peer reached the service after the target refused this host.

    Then the target didn't refuse since it had ended, and it needs no warm-up.
    """
    return (
        row.refused_at is not None
        and reach.carried_at is not None
        and reach.carried_at > row.refused_at
    )


def _was_only_late(row, event, now):
    """Return whether a target sent something else while its probe waited.

    Guards against a busy host or target that is too late for a probe, so that the host
    gives up a service which it reaches.
    """
    if row is None or row.heard_at is None or event.was_refused:
        return False
    return now - row.heard_at < ANSWER_TIME
