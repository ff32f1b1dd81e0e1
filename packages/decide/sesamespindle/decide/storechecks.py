"""Decides when a host asks the platform's store whether it has missed a change.

The store counts all changes by one revision. If that hasn't risen since a kind of
object was read, nothing of that kind has changed. One cheap read therefore proves that
all that a host knows is complete, as of the time at which the read began. Hosts tell
each other the times of their proofs, so that in a large fleet few of them ask the
store. The first host in an order that all find alike asks the store, the first host of
each data centre asks that one, and the others ask the first of their data centre.
"""

import dataclasses
import datetime
import enum

from sesamespindle.decide import commands, hashing, retries


class Role(enum.Enum):
    """The place of a host in the order in which hosts check the store."""

    FIRST = "first of the fleet"
    SECOND = "second of the fleet"
    FIRST_OF_DATA_CENTRE = "first of its data centre"
    OTHER = "other"


# The age of a proof at which a host checks the store itself, as a share of the time
# within which a change must be in force. Hosts that are later in the order check only
# if gossip hasn't brought them a newer proof before.
_CHECK_SHARE_BY_ROLE = {
    Role.FIRST: 0.25,
    Role.SECOND: 0.45,
    Role.FIRST_OF_DATA_CENTRE: 0.5,
    Role.OTHER: 0.6,
}
# The age of a proof at which a host asks another one for a newer proof, likewise.
_ASK_SHARE_BY_ROLE = {
    Role.SECOND: 0.3,
    Role.FIRST_OF_DATA_CENTRE: 0.3,
    Role.OTHER: 0.4,
}
# The hosts that read everything again as soon as the store has come back from an older
# copy. The others get it from them, or read it when a check is due all the same.
_FIRST_AFTER_RESTORE = frozenset((Role.FIRST, Role.FIRST_OF_DATA_CENTRE))
# The shortest time between two such requests.
_ASK_INTERVAL = datetime.timedelta(seconds=0.2)
# A read without an answer for this share of the time is repeated on a new connection.
_TRY_SHARE = 0.125
# Knowledge older than this share of the time can't justify that a request is refused.
_REFUSAL_SHARE = 0.9
# The refusals that a later configuration might turn into a service.
_BY_KNOWLEDGE = frozenset((commands.Code.NO_ROUTE, commands.Code.UNKNOWN_KEY))
# The shortest time after which a caller is to come back that was refused because the
# store doesn't answer.
_UNPROVED_RETRY_AFTER = datetime.timedelta(seconds=1)
# The longest time between two ticks, and the longest that a healthy store takes to
# answer a read.
TICK = datetime.timedelta(seconds=0.1)
ANSWER = datetime.timedelta(seconds=0.1)
# How long a read may take at first, and how often this is doubled at most.
_ANSWER_TIMEOUT = datetime.timedelta(seconds=0.7)
_MAX_DOUBLINGS = 2
# A check that hasn't ended after this long no longer holds up the next one.
_CHECK_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class CheckStore:
    """Find out from the store whether anything of some kinds has changed.

    A `CheckEnded` must follow.

    Attributes
    ----------
    kinds : tuple of str
        The kinds whose proof is too old.
    try_timeout : datetime.timedelta
        A read without an answer for this long is repeated on a new connection.
    answer_timeout : datetime.timedelta
        A read without an answer for this long is lost.
    """

    kinds: tuple[str, ...]
    try_timeout: datetime.timedelta
    answer_timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CheckEnded:
    """A check of the store has ended.

    Attributes
    ----------
    answered : bool
        Whether the store has answered all reads.
    """

    answered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CheckSettled:
    """A check has ended, and requests that wait for its result may go on."""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckWanted:
    """The store must be checked now, as this host may have missed a change.

    Attributes
    ----------
    kinds : tuple of str
        The kinds that may have changed; the configuration if empty.
    """

    kinds: tuple[str, ...] = ()


def check_after(bound, role):
    """Return the age of a proof at which a host checks the store itself.

    Parameters
    ----------
    bound : datetime.timedelta
        How long after its acknowledgement a change must be in force.
    role : Role
        The host's place in the order.
    """
    return bound * _CHECK_SHARE_BY_ROLE[role]


def try_timeout(bound):
    """Return after how long a read without an answer is repeated."""
    return bound * _TRY_SHARE


def worst_lateness(bound, lost_tries=1):
    """Return how late after its acknowledgement a change may be known on any host.

    A host's proof is from time T; the change is acknowledged right after T. Even if no
    peer tells the host anything, it begins a check at T + 0.6 bound, or one tick later.
    Each try whose answer is lost costs another 0.125 bound. Then the store answers with
    its revision, and once more with the changes. For a bound of 2 s and one lost try:
    1.2 + 0.1 + 0.25 + 0.1 + 0.1 = 1.75 s. It doesn't depend on the number of hosts, on
    peers, or on what other hosts do. Nor does a store that comes back from an older
    copy make it later: the time of a proof that lapses by that still counts for when
    the next check begins, and the answer that tells of the new era is one of it.

    Parameters
    ----------
    bound : datetime.timedelta
        How long after its acknowledgement a change must be in force.
    lost_tries : int
        How many reads of one check get no answer.
    """
    begins = check_after(bound, Role.OTHER) + TICK
    return begins + lost_tries * try_timeout(bound) + 2 * ANSWER


class StoreChecks:
    """Has the store checked before what this host knows becomes too old.

    Guards against changes that are late on all hosts alike, because each takes the
    silence of a dead watch for the absence of changes. Every host limits the age of its
    own knowledge, so nothing that happens to other hosts can make it late.

    Parameters
    ----------
    state : world.World
        The shared tables.
    kinds : freshness.Kinds
        The kinds of object, and the time limits for their changes.
    """

    def __init__(self, state, kinds):
        self._state = state
        self._kinds = kinds
        self._role = Role.OTHER
        self._role_view = None
        # The peer address of the host that is asked for proofs, or None.
        self._source = None
        self._asked_at = None
        self._began_at = None
        self._failures = 0
        self._not_before = None
        self._wanted = frozenset()
        self._stale = set()

    def handle(self, event, now):
        """Handle one of this module's events; return whether it was one."""
        match event:
            case CheckEnded():
                self._end(event, now)
            case CheckWanted():
                self._wanted |= set(event.kinds or (self._kinds.configuration,))
                self._begin_if_due(now)
            case _:
                return False
        return True

    def tick(self, now):
        """Begin a check if one is due; log which knowledge is too old."""
        self._begin_if_due(now)
        self._log_stale(now)

    def may_refuse(self, now):
        """Return whether the configuration is known recently enough to refuse by it."""
        kind = self._kinds.configuration
        bound = self._kinds.bound_by_kind.get(kind)
        if bound is None:
            return True
        age = self._state.freshness.age(kind, now)
        return age is not None and age <= bound * _REFUSAL_SHARE

    def is_doubtful(self, command, now):
        """Return whether a command refuses a request by knowledge that is too old."""
        is_refusal = isinstance(command, commands.Refuse)
        return is_refusal and command.code in _BY_KNOWLEDGE and not self.may_refuse(now)

    def refuse_unproved(self, refuse):
        """Return the refusal of a request that may be allowed by a later change."""
        return commands.Refuse(
            refuse.request_id,
            commands.Code.STALE_CONFIGURATION,
            commands.Outcome.NOT_RUN,
            f"{refuse.message} But this host can't find out whether its configuration "
            "is current.",
            retries.with_jitter(_UNPROVED_RETRY_AFTER, self._state.random),
        )

    def is_store_answering(self):
        """Return whether the last check of the store got its answers."""
        return self._failures == 0

    def role(self):
        """Return this host's `Role`, by rendezvous hashing over the live hosts."""
        if self._role_view != self._state.view:
            self._role_view = self._state.view
            self._choose_role()
        return self._role

    def proof_source(self, now):
        """Return the address of the host to ask for a proof now; None to ask nobody."""
        share = _ASK_SHARE_BY_ROLE.get(self.role())
        if share is None or self._source is None:
            return None
        if self._asked_at is not None and now - self._asked_at < _ASK_INTERVAL:
            return None
        for kind, bound in self._kinds.bound_by_kind.items():
            proved_at = self._last_proof(kind)
            if proved_at is not None and now - proved_at >= bound * share:
                self._asked_at = now
                return self._source
        return None

    def _last_proof(self, kind):
        """Return when a kind was last proved complete, in this era or an earlier one.

        Returns
        -------
        proved_at : datetime.datetime or None
            None if it never was.
        """
        known = self._state.freshness.knowledge_by_kind.get(kind)
        if known is None:
            return None
        return known.proved_at or known.lapsed_at

    def _choose_role(self):
        """Choose this host's role, and the host that it asks for proofs."""
        me = self._state.me
        row_by_name = {row.name: row for row in self._state.live_entries()}
        ranked = hashing.rank("store checks", row_by_name)
        first_here = next(
            (
                name
                for name in ranked
                if row_by_name[name].data_centre == me.data_centre
            ),
            None,
        )
        source = first_here
        self._role = Role.OTHER
        if ranked[:1] == [me.name]:
            self._role, source = Role.FIRST, None
        elif ranked[1:2] == [me.name]:
            self._role, source = Role.SECOND, ranked[0]
        elif first_here == me.name:
            self._role, source = Role.FIRST_OF_DATA_CENTRE, ranked[0]
        self._source = row_by_name[source].peer_address if source else None

    def _begin_if_due(self, now):
        """Begin a check if knowledge is too old, or if the last check has failed.

        Guards against hosts that take the store for unavailable long after an outage,
        and so don't watch it: with the proofs of peers no check of theirs is due.
        """
        if self._began_at is not None and now - self._began_at < _CHECK_TIMEOUT:
            return
        if self._not_before is not None and now < self._not_before:
            return
        due = tuple(
            kind for kind in self._kinds.bound_by_kind if self._is_due(kind, now)
        )
        if not due and self._failures:
            due = (self._kinds.configuration,)
        if not due:
            return
        self._wanted = frozenset()
        self._began_at = now
        shortest = min(self._kinds.bound_by_kind[kind] for kind in due)
        # A store that is only slow answers if it gets longer after each failure.
        answer = _ANSWER_TIMEOUT * 2 ** min(self._failures, _MAX_DOUBLINGS)
        self._state.emit(CheckStore(due, try_timeout(shortest), answer))

    def _is_due(self, kind, now):
        """Return whether a kind must be checked; one that was never read is listed."""
        known = self._state.freshness.knowledge_by_kind.get(kind)
        if known is None:
            return False
        proved_at = self._last_proof(kind)
        if kind in self._wanted or proved_at is None:
            return True
        if known.proved_at is None and self.role() in _FIRST_AFTER_RESTORE:
            return True
        bound = self._kinds.bound_by_kind[kind]
        return now - proved_at >= check_after(bound, self.role())

    def _end(self, ended, now):
        self._began_at = None
        self._state.emit(CheckSettled())
        if ended.answered:
            self._failures = 0
            self._not_before = None
            return
        self._failures += 1
        pause = retries.outage_backoff(self._failures, self._state.random)
        self._not_before = now + pause

    def _log_stale(self, now):
        """Log once when knowledge becomes too old, and when it is recent again."""
        for kind, bound in self._kinds.bound_by_kind.items():
            proved_at = self._last_proof(kind)
            is_stale = proved_at is not None and now - proved_at > bound
            if is_stale and kind not in self._stale:
                self._stale.add(kind)
                detail = self._state.freshness.describe(kind, now)
                self._state.emit(commands.Note("knowledge_stale", kind, detail))
            elif not is_stale and kind in self._stale:
                self._stale.discard(kind)
                self._state.emit(commands.Note("knowledge_fresh", kind))
