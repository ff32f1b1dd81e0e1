"""Keeps to the limits on requests that targets name in their answers.

A target that is in need names how many requests a second it accepts from all hosts
together. The hosts share that without communication: the first ones of
`senders.SenderRanks` each send an equal part, evenly spaced.
"""

import dataclasses
import datetime
import math

from sesamespindle.decide import commands, gossip

# A target tolerates 1.5 times its limit and five more requests, in any window of this
# length.
_WINDOW_SECONDS = 4.0
# Each sender may send one request at once and its part after that. So n senders send at
# most n requests in a window, and this share of the `allowed` ones that the limit
# permits there. With the number of senders below that is 3 + 1.2 * allowed. The
# rest up to 5 + 1.5 * allowed is for hosts that know another list of hosts.
_RATE_SHARE = 0.9
_LEAST_SENDERS = 3
_SENDERS_PER_ALLOWED = 0.3
# A lower limit, such as 0, is treated as this one: a target that gets no request at
# all can't tell that its limit has ended.
_LEAST_PER_SECOND = 0.25
# The shortest silence about a limit after which a host that is no sender asks the
# target again, longer than a window.
_LEAST_SILENCE = datetime.timedelta(seconds=5)
# A peer may return from an interruption of this length and still hear that a limit has
# ended. After a longer one it has to ask the target.
_END_TOLD_FOR = datetime.timedelta(seconds=30)
# What is known of a target that is gone is kept for this long, as its record may be
# missing from the platform's list for a while.
_KEPT_FOR = datetime.timedelta(minutes=1)
# The most limits in one gossip message, the latest ones first.
_MAX_TOLD = 64


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of the limit of one incarnation of a target.

    Attributes
    ----------
    limit : float
        Requests per second from all hosts together; infinite after the limit ended.
    told_at : datetime.datetime
        When the target last told this or another host its limit, or that it has none.
    sent_at : datetime.datetime
        When the pause before this host's next request began: when it last sent one, or
        around the time at which it learned of the limit.
    """

    limit: float
    told_at: datetime.datetime
    sent_at: datetime.datetime

    @property
    def is_limited(self):
        """Whether the limit is in force."""
        return math.isfinite(self.limit)

    @property
    def per_second(self):
        """The requests per second that hosts share."""
        return max(self.limit, _LEAST_PER_SECOND)


class TargetLimits:
    """Decides to which targets with a limit this host may send.

    Parameters
    ----------
    state : world.World
        The shared tables.
    ranks : senders.SenderRanks
        Which hosts send to which target.
    """

    def __init__(self, state, ranks):
        self._state = state
        self._ranks = ranks
        self._known_by_incarnation = {}

    def permitted_targets(self, rows, now):
        """Return the targets, out of some, that may get a request from this host now.

        Parameters
        ----------
        rows : list of world.TargetRow
            The targets.
        now : datetime.datetime
            The current time.
        """
        if not self._known_by_incarnation:
            return rows
        return [row for row in rows if self._may_send(row.incarnation, now)]

    def is_limited(self, row):
        """Return whether a target names a limit, as far as this host knows."""
        known = self._known_by_incarnation.get(row.incarnation)
        return known is not None and known.is_limited

    def count(self):
        """Return how many targets name a limit, as far as this host knows."""
        return sum(known.is_limited for known in self._known_by_incarnation.values())

    def note_sent(self, row, now):
        """Note that a request was sent to a target."""
        known = self._known_by_incarnation.get(row.incarnation)
        if known is not None:
            known.sent_at = now

    def note_answer(self, incarnation, signals, request_id, sent_at, now):
        """Adopt what the answer to a request says of its target's limit.

        Guards against an answer that is overtaken by a later one, and would end or
        raise the limit that the later one has named. Only an answer to a request
        that was sent after the latest word of the target does so.

        Parameters
        ----------
        incarnation : incarnations.TargetIncarnation
            The target that answered.
        signals : targetsignals.TargetSignals
            What its answer says.
        request_id : str
            The request, for the log.
        sent_at : datetime.datetime
            When the request was sent to the target.
        now : datetime.datetime
            The current time.
        """
        source = f"in the answer to request {request_id}"
        for text in signals.unreadable:
            detail = f"{text}, {source}"
            self._state.emit(
                commands.Note("target_signal_unreadable", incarnation.name, detail)
            )
        known = self._known_by_incarnation.get(incarnation)
        limit = signals.limit
        if limit is None or (known is None and math.isinf(limit)):
            return
        if known is not None and limit >= known.limit and sent_at < known.told_at:
            return
        self._adopt(gossip.TargetLimit(incarnation, limit, now), source, now)

    def merge(self, told, now):
        """Adopt what a peer says, where it is the later word of a target.

        Parameters
        ----------
        told : tuple of gossip.TargetLimit
            The limits that the peer knows.
        now : datetime.datetime
            The current time.
        """
        for item in told:
            known = self._known_by_incarnation.get(item.incarnation)
            if known is None or item.told_at > known.told_at:
                self._adopt(item, "heard from a peer", now)

    def records_to_announce(self, now):
        """Return the `gossip.TargetLimit` records that peers are told."""
        told = [
            gossip.TargetLimit(incarnation, known.limit, known.told_at)
            for incarnation, known in self._known_by_incarnation.items()
            if known.is_limited or now - known.told_at <= _END_TOLD_FOR
        ]
        told.sort(key=lambda item: item.told_at, reverse=True)
        return tuple(told[:_MAX_TOLD])

    def tick(self, now):
        """Forget limits that have ended, and those of targets that are gone."""
        for incarnation, known in list(self._known_by_incarnation.items()):
            is_gone = self._state.target_in(incarnation) is None
            is_over = is_gone or not known.is_limited
            if is_over and now - known.told_at > _KEPT_FOR:
                del self._known_by_incarnation[incarnation]

    def describe(self, row, now):
        """Return a target's limit and how old the word of it is, for the log."""
        if not self.is_limited(row):
            return "no limit"
        known = self._known_by_incarnation[row.incarnation]
        age = (now - known.told_at).total_seconds()
        return f"limit {known.limit:g}/s told {age:.1f} s ago"

    def _adopt(self, told, source, now):
        """Adopt a limit; log it and tell peers soon if it has begun, changed or ended.

        Guards against senders that all begin at once, and again after each pause, as
        they learn of the limit at nearly the same time: each first waits for its part
        of a pause, by its rank.
        """
        known = self._known_by_incarnation.get(told.incarnation)
        was_limited = known is not None and known.is_limited
        if known is None:
            known = _Known(math.inf, told.told_at, now)
            self._known_by_incarnation[told.incarnation] = known
        if told.limit != known.limit:
            text = f"{told.limit:g}/s" if math.isfinite(told.limit) else "none"
            self._state.emit(
                commands.Note(
                    "target_limit", told.incarnation.name, f"{text}, {source}"
                )
            )
        known.limit, known.told_at = told.limit, told.told_at
        if known.is_limited != was_limited:
            self._state.must_start_round = True
            known.sent_at = now - self._head_start(told.incarnation, known)

    def _head_start(self, incarnation, known):
        """Return the part of its first pause that a sender doesn't wait for."""
        if not known.is_limited:
            return datetime.timedelta(0)
        senders = self._sender_count(known)
        rank = min(self._ranks.rank(incarnation), senders - 1)
        return _pause(known, senders) * (1.0 - (rank + 1) / senders)

    def _may_send(self, incarnation, now):
        """Return whether this host may send a request to a target now."""
        known = self._known_by_incarnation.get(incarnation)
        if known is None or not known.is_limited:
            return True
        if not self._ranks.is_settled(now):
            return False
        senders = self._sender_count(known)
        pause = _pause(known, senders)
        behind = self._ranks.rank(incarnation) - senders + 1
        if behind <= 0:
            return now - known.sent_at >= pause
        return self._must_ask(known, max(pause, _LEAST_SILENCE) * behind, now)

    def _sender_count(self, known):
        """Return how many hosts send to a target with a limit."""
        allowed = known.per_second * _WINDOW_SECONDS
        count = _LEAST_SENDERS + _SENDERS_PER_ALLOWED * allowed
        return int(min(count, self._ranks.count()))

    def _must_ask(self, known, silence, now):
        """Return whether a host that is no sender sends a request to learn the limit.

        Guards against a target that gets no requests any more, since all its senders
        are gone, and against a host that never learns that a limit has ended, since
        it can't reach the senders. The silence is longer for each host behind, so
        that of the hosts that reach each other only the first one asks.
        """
        return now - max(known.told_at, known.sent_at) >= silence


def _pause(known, senders):
    """Return the shortest time between two requests of one of so many senders."""
    return datetime.timedelta(seconds=senders / (_RATE_SHARE * known.per_second))
