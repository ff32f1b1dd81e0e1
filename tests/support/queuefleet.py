"""Simulates one host before plain targets that turn away what they have no slot for."""

import dataclasses
import datetime
import itertools
import random

import gateways
import simulation

from sesamespindle.decide import (
    commands,
    events,
    gateway,
    loadparts,
    routes,
    sends,
    targetlist,
    world,
)

SLOTS = 6
RUN_SECONDS = 0.045
# The shortest `Retry-After`, as on the platform.
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=150)
_LINK_SECONDS = 0.001
_TICK_SECONDS = 0.1
# Callers honour no more than this share of the time that they have left.
_HONOURED_SHARE = 1 / 3


@dataclasses.dataclass(slots=True)
class Asked:
    """What a caller wants, in all its tries.

    Attributes
    ----------
    seconds : float
        When it wants the answer, counted from `began`, at the latest.
    honours : bool
        Whether it waits for as long as it is told before it returns.
    """

    account: str
    route: str
    began: float
    seconds: float = 2.0
    honours: bool = True
    tries: int = 0
    tried_at: float = 0.0
    served_at: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A refusal, how many slots were free then, and for how long it was held."""

    refuse: commands.Refuse
    free: int
    held: float


class Fleet(simulation.Simulation):
    """A host with waiting requests, targets, callers that return.

    Attributes
    ----------
    asked : list of Asked
        Everything that was asked for.
    refused : list of Refused
        The refusals.
    rejected, sent, repeats : int
        How many sends targets turned away, how many there were, and how many of those
        came after another of the same request.
    """

    def __init__(self, is_on, targets=3, seed=1, slack=50.0, returns=3):
        super().__init__()
        self.random = random.Random(seed)
        self.asked, self.refused = [], []
        self.rejected = self.sent = self.repeats = self.on_the_way = 0
        self._returns = returns
        self._ids = itertools.count()
        self._asked_by_id = {}
        self.running_by_target = {f"desk-{n}": 0 for n in range(targets)}
        self.slots = SLOTS
        self.core = gateways.make_gateway(slack)
        self.core.state.policy = world.Policy(retry_after=MIN_RETRY_AFTER)
        choice = loadparts.Choice.ON if is_on else loadparts.Choice.OFF
        self.core.state.load_parts = loadparts.LoadParts(
            choice_by_part={loadparts.Part.QUEUES: choice}
        )
        configuration = gateways.make_configuration(
            2,
            routes=tuple(
                gateways.make_route(
                    f"r{rank}", f"/r{rank}/", routes.Repeats.ONCE, rank=rank
                )
                for rank in range(3)
            ),
            account_by_key={
                name: routes.Account(name) for name in ("a", "b", "c", "d", "e")
            },
        )
        self.core.step(gateways.NOW, [gateway.ConfigurationRead(configuration)])
        self.list_targets(self.running_by_target)
        self.after(0.0, self._tick)

    def list_targets(self, names):
        """Let the platform list all targets, but just these as staying."""
        targets = tuple(
            gateways.make_target(name, leaving=name not in names)
            for name in self.running_by_target
        )
        self._do(self.core.step(self.time(), [targetlist.TargetsListed(targets)]))

    @property
    def capacity(self):
        """The requests a second that the targets take."""
        return len(self.running_by_target) * self.slots / RUN_SECONDS

    def offer(self, account, route, per_second, lasts, **changed):
        """Ask at random times, at a rate, from now on."""
        at = 0.0
        while (at := at + self.random.expovariate(per_second)) < lasts:
            self.after(at, self._ask, account, route, changed)

    def share(self, account=None, route=None, since=0.0):
        """Return the share served of what an account asked on a route."""
        asked = [
            item
            for item in self.asked
            if account in (None, item.account)
            and route in (None, item.route)
            and item.began >= since
        ]
        return sum(item.served_at is not None for item in asked) / len(asked)

    def free(self):
        """Return how many slots are free for which nothing is on its way."""
        running = sum(self.running_by_target.values())
        return len(self.running_by_target) * self.slots - running - self.on_the_way

    def _tick(self):
        self._do(self.core.step(self.time(), [events.Tick()]))
        self.after(_TICK_SECONDS, self._tick)

    def _ask(self, account, route, changed):
        asked = Asked(account, route, self.now, **changed)
        self.asked.append(asked)
        self._try(asked)

    def _try(self, asked):
        left = asked.began + asked.seconds - self.now
        if left <= 0.0:
            return
        asked.tries += 1
        asked.tried_at = self.now
        request_id = f"q{next(self._ids)}"
        self._asked_by_id[request_id] = asked
        request = gateways.make_request(
            f"/{asked.route}/1",
            request_id,
            asked.account,
            deadline=self.time() + left * gateways.SECOND,
        )
        command = self.core.forwarding.begin(request, now=self.time())
        self._follow(request_id, command)

    def _follow(self, request_id, command):
        match command:
            case sends.Forward():
                self.sent += 1
                self.repeats += command.attempt > 1
                self.on_the_way += 1
                self.after(_LINK_SECONDS, self._reach, request_id, command.target)
            case sends.Wait():
                left = (command.until - self.time()).total_seconds()
                self.after(max(left, 0.0), self._stop_waiting, request_id)
            case commands.Refuse():
                self._refuse(request_id, command)
        self._do(self.core.step(self.time(), []))

    def _do(self, happened):
        for command in happened:
            if isinstance(command, sends.Resume):
                self._resume(command.request_id)

    def _stop_waiting(self, request_id):
        if request_id in self.waiting():
            self._resume(request_id)

    def waiting(self):
        """Return the ids of the requests that wait."""
        room = self.core.forwarding.waiting_room
        return [
            request_id
            for queue in room._queue_by_service.values()
            for request_id in queue.waiter_by_request
        ]

    def _resume(self, request_id):
        if request_id in self._asked_by_id:
            command = self.core.forwarding.resumed(request_id, now=self.time())
            self._follow(request_id, command)

    def leave(self, request_id):
        """Let a caller leave."""
        self._asked_by_id.pop(request_id)
        self.core.forwarding.close(request_id, self.time())
        self._do(self.core.step(self.time(), []))

    def _refuse(self, request_id, refuse):
        asked = self._asked_by_id.pop(request_id)
        held = self.now - asked.tried_at
        self.refused.append(Refused(refuse, self.free(), held))
        left = asked.began + asked.seconds - self.now
        self.core.forwarding.close(request_id, self.time())
        if asked.tries > self._returns and asked.honours:
            return
        after = min(refuse.retry_after.total_seconds(), left * _HONOURED_SHARE)
        self.after(after if asked.honours else 0.01, self._try, asked)

    def _reach(self, request_id, target):
        self.on_the_way -= 1
        if self.running_by_target[target] >= self.slots:
            self.rejected += 1
            self.after(_LINK_SECONDS, self._turned_away, request_id)
            return
        self.running_by_target[target] += 1
        seconds = RUN_SECONDS * self.random.uniform(0.8, 1.2)
        self.after(seconds, self._answer, request_id, target)

    def _turned_away(self, request_id):
        if request_id in self._asked_by_id:
            ending = sends.Ending.TURNED_AWAY
            command = self.core.forwarding.ended(request_id, ending, now=self.time())
            self._follow(request_id, command)

    def _answer(self, request_id, target):
        self.running_by_target[target] -= 1
        asked = self._asked_by_id.pop(request_id, None)
        if asked is None:
            return
        asked.served_at = self.now
        forwarding = self.core.forwarding
        forwarding.first_byte(request_id, self.time())
        forwarding.served(request_id, self.time())
        forwarding.close(request_id, self.time())
        self._do(self.core.step(self.time(), []))
