"""Requests that no target has room for now wait at their host, in one order."""

import collections
import dataclasses
import datetime

from sesamespindle.decide import (
    backlog,
    commands,
    fulltargets,
    loadparts,
    sends,
    waitqueue,
)

# The most requests that wait for one service at this host.
_MAX_WAITING = 256
# After so many requests without room the others aren't tried before the next occasion.
_MAX_FAILED_TRIES = 3
# How long a request waits for the retry budget.
_WAITS_FOR_BUDGET = datetime.timedelta(milliseconds=250)
# The refusals that mean that no target has room now, but may have it soon.
_LACK_OF_ROOM = frozenset(
    (
        commands.Code.OVERLOADED,
        commands.Code.NO_TARGET,
        commands.Code.RESTING,
        commands.Code.LIMITED,
    )
)
# Those of them whose `Retry-After` follows from the backlog.
_BY_BACKLOG = frozenset((commands.Code.OVERLOADED, commands.Code.NO_TARGET))


class WaitingRoom:
    """Holds requests until a target has room, and says who goes first.

    Answers the load of services that are full for moments, and of callers who compete
    for too little room. The order is the rank, which targets sort by too, then the
    account that had least tokens of late, then the arrival. Ranks are strict, so that
    a more urgent kind isn't served less often than a less urgent one; who can't be
    served in time behind them is told at once. Within a rank, and by lower ranks, no
    request is passed by more than a bounded number of later ones.

    Parameters
    ----------
    state : world.World
        The shared tables.
    send : callable
        Takes a flight and the time, and returns its send, its final answer or, if no
        target has room, what `lacks_room` returned.
    refuse : callable
        Takes a flight, a code and the time, and returns its final answer.
    pay : callable
        Takes a flight and the time, and returns whether its next send is within the
        retry budget, from which it is taken.
    """

    def __init__(self, state, send, refuse, pay):
        self._state = state
        self._send = send
        self._refuse = refuse
        self._pay = pay
        self._full = fulltargets.FullTargets(state)
        self._queue_by_service = collections.defaultdict(waitqueue.Queue)
        self._decided_by_request = {}
        self._arrivals = 0
        # The request that begins just now, whose caller isn't told to wait yet.
        self._arriving = None
        self._refused_by_reason = collections.Counter()

    # New requests, and what happens to sends.

    def begin(self, flight, rank, now):
        """Return what to do with a new request if others wait before it, else None."""
        queue = self._queue_by_service.get(flight.service)
        if queue is None or not queue.ahead(rank) or not self._may_wait(flight):
            return None
        waiter = self._add(queue, flight, rank, commands.Code.OVERLOADED, now)
        self._arriving = waiter
        self.wake(flight.service, now)
        self._arriving = None
        decided = self.take_decided(waiter.request_id)
        return decided or self._judge_new(queue, waiter, now)

    def lacks_room(self, flight, rank, code, now):
        """Return the wait of a request that no target has room for.

        Parameters
        ----------
        flight : flights.Flight
            The request.
        rank : int
            The urgency of its sends, 0 first.
        code : commands.Code
            Why no target has room.
        now : datetime.datetime
            The current time.

        Returns
        -------
        command : sends.Wait, commands.Refuse or None
            None if it must not wait.
        """
        if not self._may_wait(flight) or code not in _LACK_OF_ROOM:
            return None
        if flight.until - now < waitqueue.MIN_TIME_LEFT or not self._has_target(
            flight.service
        ):
            return None
        queue = self._queue_by_service[flight.service]
        waiter = queue.waiter_by_request.get(flight.request.request_id)
        if waiter is not None:
            waiter.code = code
            return _wait(waiter, "")
        waiter = self._add(queue, flight, rank, code, now)
        return self._judge_new(queue, waiter, now)

    def with_room(self, rows, now):
        """Return the targets, out of some, that may take one more request."""
        return self._full.with_room(rows, now) if self._is_on() else rows

    def note_sent(self, flight, now):
        """Count a send for its account."""
        if self._is_on():
            queue = self._queue_by_service[flight.service]
            queue.asking_by_request.pop(flight.request.request_id, None)
            queue.charge(flight, 1, now)

    def note_ending(self, flight, row, ending, now):
        """Record how a send ended that brought no answer."""
        if not self._is_on() or ending is not sends.Ending.TURNED_AWAY:
            return
        self._queue_by_service[flight.service].charge(flight, -1, now)
        flight.rejections += 1
        if row is not None:
            self._full.note_rejected(row, now)

    def note_through(self, flight, now):
        """Record that the answer to a request has begun."""
        if self._is_on():
            self._queue_by_service[flight.service].rate.note(now)

    def note_served(self, flight, now):
        """Record that a request has its whole answer, so that its place is free.

        Others are woken as the request is closed, which follows at once.
        """
        if self._is_on():
            self._full.note_served(flight.incarnation, now)

    # Requests that wait.

    def wake(self, service, now):
        """Send as many of the waiting requests as targets have room for, in order."""
        queue = self._queue_by_service.get(service)
        tried, asked = set(), 0
        while queue is not None and len(tried) + asked < _MAX_FAILED_TRIES:
            waiter = queue.first(tried, now)
            if waiter is None or queue.is_held_by_question(now):
                return
            # Targets count repeats that they turn away too.
            if not self._pay(waiter.flight, now):
                tried.add(waiter.line)
                continue
            command = self._send(waiter.flight, now)
            if not isinstance(command, sends.Wait):
                # A keeper may decline, so that a question is no send yet.
                asked += isinstance(command, sends.AskKeeper)
                self._decide(queue, waiter, command, now)
                continue
            tried.add(waiter.line)
            if waiter.holds_line(now):
                return

    def tick(self, now):
        """Send or refuse requests that wait, by what has changed meanwhile."""
        self._full.tick(now)
        for service, queue in self._queue_by_service.items():
            queue.shares.tick(now)
            if queue.waiter_by_request:
                self.wake(service, now)
                self._refuse_late(queue, now)

    def take_decided(self, request_id):
        """Return what was decided of a request that has waited; None if nothing."""
        return self._decided_by_request.pop(request_id, None)

    def leave(self, flight, now):
        """Take out a request that doesn't wait any more.

        Returns
        -------
        code : commands.Code or None
            Why no target had room for it; None if it didn't wait.
        """
        self.take_decided(flight.request.request_id)
        queue = self._queue_by_service.get(flight.service)
        if queue is None:
            return None
        waiter = queue.waiter_by_request.get(flight.request.request_id)
        if waiter is None:
            return None
        queue.remove(waiter, now)
        return waiter.code

    def close(self, flight, now):
        """Take out a request that has its final answer, or whose caller has left.

        Returns
        -------
        is_unsent : bool
            Whether something was decided of it that isn't carried out any more.
        """
        is_unsent = self.take_decided(flight.request.request_id) is not None
        self.leave(flight, now)
        queue = self._queue_by_service.get(flight.service)
        if queue is not None:
            queue.asking_by_request.pop(flight.request.request_id, None)
        return is_unsent

    def schedule_return(self, refuse, flight, rank, now):
        """Return a refusal with the time after which its caller may return."""
        if not self._is_on():
            return refuse
        self._refused_by_reason[refuse.code, rank] += 1
        if refuse.code not in _BY_BACKLOG or refuse.retry_after is None:
            return refuse
        queue = self._queue_by_service[flight.service]
        retry_after = queue.returns.plan(
            backlog.Returning(rank, queue.ahead(rank), flight.until - now),
            queue.rate.interval(now),
            self._state.policy.retry_after,
            self._state.random,
            now,
        )
        return dataclasses.replace(refuse, retry_after=retry_after)

    def waiting_by_label(self):
        """Return how many requests wait, by service, with the labels of the metric."""
        return {
            f'service="{service}"': len(queue.waiter_by_request)
            for service, queue in self._queue_by_service.items()
        }

    def refused_by_label(self):
        """Return how many requests were refused without room, by code and rank."""
        return {
            f'code="{code}",rank="{rank}"': count
            for (code, rank), count in self._refused_by_reason.items()
        }

    # Details.

    def _is_on(self):
        return self._state.load_parts.is_on(loadparts.Part.QUEUES)

    def _may_wait(self, flight):
        """Return whether a request may wait here; one of a peer waits at the peer."""
        departure = self._state.departure
        is_over = departure is not None and departure.is_over
        return self._is_on() and flight.request.passport is None and not is_over

    def _has_target(self, service):
        return any(row.stays for row in self._state.targets.where("pool", service))

    def _add(self, queue, flight, rank, code, now):
        if flight.waiter is None:
            self._arrivals += 1
            flight.waiter = waitqueue.Waiter(flight, rank, self._arrivals, now, code)
        # One that waits again keeps its place, and who has passed it, as a question
        # that a keeper declines is no send.
        waiter = flight.waiter
        waiter.code = code
        queue.add(waiter, now)
        flight.forgiven_sends = flight.rejections
        return waiter

    def _judge_new(self, queue, waiter, now):
        """Return the wait of a new request, or its refusal if waiting is of no use."""
        place = queue.place(waiter)
        interval = queue.rate.interval(now)
        count = len(queue.waiter_by_request)
        if count > _MAX_WAITING:
            last = queue.last()
            if last is waiter:
                return self._refuse_waiter(queue, waiter, now)
            self._give_up(queue, last, now)
        if waiter.is_too_late(place, interval, now):
            return self._refuse_waiter(queue, waiter, now)
        expected = "unknown"
        if interval is not None:
            expected = f"{(interval * (place + 1)).total_seconds() * 1000:.0f} ms"
        return _wait(
            waiter,
            f"{waiter.code}: place {place + 1} of {count}, rank {waiter.rank}, "
            f"expected wait {expected}",
        )

    def _refuse_late(self, queue, now):
        """Refuse the requests that can't be served in time by what waits before them.

        Guards against callers that wait in vain until their time is over.
        """
        interval = queue.rate.interval(now)
        place = 0
        for waiter in queue.in_order():
            is_unpaid = waiter.flight.owes_retry
            waits_in_vain = is_unpaid and now - waiter.since >= _WAITS_FOR_BUDGET
            if waits_in_vain or waiter.is_too_late(place, interval, now):
                self._give_up(queue, waiter, now)
            else:
                place += 1

    def _decide(self, queue, waiter, command, now):
        queue.remove(waiter, now)
        if isinstance(command, sends.Forward):
            queue.note_passed_by(waiter)
            waiter.flight.waiter = None
        elif isinstance(command, sends.AskKeeper):
            queue.asking_by_request[waiter.request_id] = waiter
        self._decided_by_request[waiter.request_id] = command
        if waiter is not self._arriving:
            self._state.emit(sends.Resume(waiter.request_id))

    def _give_up(self, queue, waiter, now):
        """Refuse a request that waits."""
        command = self._refuse_waiter(queue, waiter, now)
        self._decide(queue, waiter, command, now)

    def _refuse_waiter(self, queue, waiter, now):
        command = self._refuse(waiter.flight, waiter.code, now)
        queue.remove(waiter, now)
        return command


def _wait(waiter, reason):
    until = waiter.flight.until - waitqueue.MIN_TIME_LEFT
    return sends.Wait(waiter.request_id, until, waiter.flight.service, reason)
