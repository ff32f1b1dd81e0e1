"""The requests that wait for one service, in order."""

import dataclasses
import datetime

from sesamespindle.decide import accountshares, backlog, commands, flights

# No target answers in less time than this before the deadline.
MIN_TIME_LEFT = datetime.timedelta(milliseconds=20)
# A request that this many later ones have passed goes before all of its rank, and
# none of lower ranks passes it any more.
_MAX_PASSES = 32
# A request that isn't passed any more, but finds no room, holds the others up no longer
# than this.
_HOLDS_LINE_FOR = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits.

    Attributes
    ----------
    rank : int
        The urgency of its sends, 0 first.
    number : int
        Its place among all arrivals.
    code : commands.Code
        Why no target has room for it.
    passes : int
        How many later requests of its rank or a lower one went before it.
    held_since : datetime.datetime or None
        Since when it holds up the others.
    """

    flight: flights.Flight
    rank: int
    number: int
    since: datetime.datetime
    code: commands.Code
    passes: int = 0
    held_since: datetime.datetime | None = None

    @property
    def request_id(self):
        """The id of the request."""
        return self.flight.request.request_id

    @property
    def account(self):
        """The name of its account, or an empty string."""
        return _account(self.flight)

    @property
    def line(self):
        """The key of the line in which it stands."""
        return self.rank, self.account

    @property
    def is_overdue(self):
        """Whether it isn't passed any more."""
        return self.passes >= _MAX_PASSES

    def is_too_late(self, place, interval, now):
        """Return whether it can't be served in time by what waits before it.

        Parameters
        ----------
        place : int
            How many requests wait before it.
        interval : datetime.timedelta or None
            The mean time between two that get through; None if unknown.
        now : datetime.datetime
            The current time.
        """
        if interval is None:
            return False
        return now + interval * (place + 1) > self.flight.until - MIN_TIME_LEFT

    def holds_line(self, now):
        """Return whether it holds up the others, as it is overdue without room."""
        if not self.is_overdue:
            return False
        self.held_since = self.held_since or now
        return now - self.held_since < _HOLDS_LINE_FOR


class Queue:
    """What waits for one service, and what is known of how it gets through.

    The requests of one account and rank form a line, first come first. Only the first
    of each line is compared with others, so that the cost grows with the accounts.
    """

    def __init__(self):
        self._line_by_key = {}
        self.waiter_by_request = {}
        # Those of which a keeper of an engine is asked just now; they don't wait.
        self.asking_by_request = {}
        self.shares = accountshares.AccountShares()
        self.rate = backlog.Rate()
        self.returns = backlog.Returns()

    def charge(self, flight, count, now):
        """Count sends of a request for its account; a negative number takes back."""
        self.shares.charge(_account(flight), count * _tokens(flight), now)

    def add(self, waiter, now):
        """Add a request at its place in its line."""
        self.asking_by_request.pop(waiter.request_id, None)
        self.waiter_by_request[waiter.request_id] = waiter
        line = self._line_by_key.setdefault(waiter.line, {})
        line[waiter.request_id] = waiter
        after = [other for other in line.values() if other.number > waiter.number]
        for other in after:
            line[other.request_id] = line.pop(other.request_id)
        self.rate.note_busy(True, now)

    def remove(self, waiter, now):
        """Remove a request that need not wait any more."""
        if self.waiter_by_request.pop(waiter.request_id, None) is None:
            return
        line = self._line_by_key[waiter.line]
        del line[waiter.request_id]
        if not line:
            del self._line_by_key[waiter.line]
        self.rate.note_busy(bool(self.waiter_by_request), now)

    def first(self, tried, now):
        """Return the request to be sent first, or None.

        Parameters
        ----------
        tried : set
            The lines to leave out.
        now : datetime.datetime
            The current time.
        """
        heads = [
            next(iter(line.values()))
            for key, line in self._line_by_key.items()
            if key not in tried
        ]
        return min(heads, key=lambda waiter: self._key(waiter, now), default=None)

    def last(self):
        """Return the request that is to give way if there are too many."""
        worst = max(rank for rank, _ in self._line_by_key)
        lines = [line for (rank, _), line in self._line_by_key.items() if rank == worst]
        return next(reversed(max(lines, key=len).values()))

    def ahead(self, rank):
        """Return how many requests of a rank or a better one wait."""
        return sum(
            len(line) for (other, _), line in self._line_by_key.items() if other <= rank
        )

    def place(self, waiter):
        """Return how many requests are sent before one that waits, about."""
        own_line = self._line_by_key[waiter.line].values()
        length = sum(other.number <= waiter.number for other in own_line)
        before = -1
        for (other, _), line in self._line_by_key.items():
            if other < waiter.rank:
                before += len(line)
            elif other == waiter.rank:
                before += min(len(line), length)
        return before

    def in_order(self):
        """Return all requests, with the accounts of a rank in turn."""
        placed = [
            (waiter.rank, place, waiter.number, waiter)
            for line in self._line_by_key.values()
            for place, waiter in enumerate(line.values())
        ]
        return [waiter for *_, waiter in sorted(placed, key=lambda row: row[:3])]

    def note_passed_by(self, sent):
        """Record that a request is sent before others that came before it."""
        heads = [next(iter(line.values())) for line in self._line_by_key.values()]
        for waiter in (*heads, *self.asking_by_request.values()):
            if waiter.number < sent.number and waiter.rank <= sent.rank:
                waiter.passes += 1

    def is_held_by_question(self, now):
        """Return whether all others wait for the answer to a question for one."""
        return any(waiter.holds_line(now) for waiter in self.asking_by_request.values())

    def _key(self, waiter, now):
        if waiter.is_overdue:
            return (waiter.rank, 0, 0.0, waiter.number)
        tokens = self.shares.tokens(waiter.account, now)
        return (waiter.rank, 1, tokens, waiter.number)


def _account(flight):
    return flight.account.name if flight.account is not None else ""


def _tokens(flight):
    """Return what a request takes of its service: tokens, or 1 for a call."""
    return max(1, flight.request.held_tokens)
