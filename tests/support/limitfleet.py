"""Simulates hosts that gossip, before engines that name limits in their answers."""

import collections
import dataclasses
import itertools
import math

import crashfleet
import gateways
import limits

from sesamespindle.decide import commands, kvstores, sends, targetsignals

# The number of different first parts of prompts, which requests share.
_CONTEXTS = 60


@dataclasses.dataclass(slots=True)
class Seen:
    """What one incarnation of an engine saw."""

    arrivals: list = dataclasses.field(default_factory=list)
    answers: list = dataclasses.field(default_factory=list)


class Fleet(crashfleet.Fleet):
    """Hosts, engines with limits, and callers.

    Attributes
    ----------
    limit_by_engine : dict of str to float
        The limit that each engine names now; engines without one name none.
    seen_by_incarnation : dict
        What each engine saw, by its name and incarnation.
    served : int
        How many requests were answered.
    refused : list of commands.Refuse
        The refusals.
    """

    def __init__(self, seed, hosts=9, engines=5, data_centres=("dc-1", "dc-2")):
        self.limit_by_engine = {}
        self.seen_by_incarnation = collections.defaultdict(Seen)
        self.served = 0
        self.refused = []
        self.group_of = lambda name: 0
        self.sends = 0
        self._removed = set()
        self._request_ids = itertools.count()
        # When each host was started again, or cut off from its peers, by its name.
        self.restarted_at = {}
        super().__init__(seed, hosts, engines, data_centres)
        for core in self.core_by_name.values():
            core.state.pauses.started_at = self.time() - 60 * gateways.SECOND

    # Hosts.

    def restart_host(self, name):
        """Restart a host, which keeps nothing from before."""
        self.restarted_at.setdefault(name, []).append(self.now)
        self.start_host(name, int(name.rpartition("-")[2]))

    def remove_host(self, name):
        """End a host for good, without notice."""
        self.cut_hosts.add(name)
        self._removed.add(name)

    def _names(self):
        return [name for name in super()._names() if name not in self._removed]

    def split(self, group_of):
        """Let only hosts of one group reach each other; `group_of` takes a name."""
        self.group_of = group_of

    def _deliver(self, sender, receiver, event):
        if self.group_of(sender) == self.group_of(receiver):
            super()._deliver(sender, receiver, event)

    # Callers.

    def ask_steadily(self, per_second, until):
        """Send requests to random hosts at random times."""
        self.ask_once()
        if self.now < until:
            pause = self.random.expovariate(per_second)
            self.after(pause, self.ask_steadily, per_second, until)

    def ask_once(self, name=None):
        """Send one request to a host, a random one by default."""
        name = name or self.random.choice(self._names())
        request_id = f"r{next(self._request_ids)}"
        context = kvstores.Part(f"c{self.random.randrange(_CONTEXTS)}", 800)
        request = gateways.make_request(
            "/chat/1",
            request_id,
            deadline=self.time() + 10 * gateways.SECOND,
            model="m",
            prompt=(context, kvstores.Part("own", 200)),
        )
        core = self.core_by_name[name]
        self._follow(name, core, core.forwarding.begin(request, now=self.time()))

    def _follow(self, name, core, command):
        self._feed(name)
        match command:
            case sends.Forward():
                self.sends += 1
                self.after(0.002, self._reach, name, core, command)
            case commands.Refuse():
                self.refused.append(command)
                core.forwarding.close(command.request_id, self.time())

    def _reach(self, name, core, forward):
        engine = self.engine_by_name[forward.target]
        if not engine.is_up or engine.incarnation != forward.born:
            ending = sends.Ending.WRONG_TARGET if engine.is_up else sends.Ending.REFUSED
            self._end(name, core, forward.request_id, ending)
            return
        incarnation = engine.name, engine.incarnation
        arrival = limits.Arrival(self.now, name)
        self.seen_by_incarnation[incarnation].arrivals.append(arrival)
        after = self.random.uniform(0.02, 0.6)
        self.after(after, self._answer, name, core, forward, incarnation)

    def _answer(self, name, core, forward, incarnation):
        engine = self.engine_by_name[forward.target]
        if (engine.name, engine.incarnation) != incarnation or not engine.is_up:
            self._end(name, core, forward.request_id, sends.Ending.LOST)
            return
        limit = self.limit_by_engine.get(engine.name, math.inf)
        answer = limits.Answer(self.now, name, limit)
        self.seen_by_incarnation[incarnation].answers.append(answer)
        self.after(0.002, self._pass_on, name, core, forward, limit)

    def _pass_on(self, name, core, forward, limit):
        if core is not self.core_by_name[name]:
            return
        signals = targetsignals.TargetSignals(limit=limit)
        core.forwarding.note_signals(forward.request_id, signals, self.time())
        core.forwarding.first_byte(forward.request_id, self.time())
        core.forwarding.served(forward.request_id, self.time())
        core.forwarding.close(forward.request_id, self.time())
        self.served += 1
        self._feed(name)

    def _end(self, name, core, request_id, ending):
        if core is not self.core_by_name[name]:
            return
        if request_id in core.forwarding.flight_by_request:
            command = core.forwarding.ended(request_id, ending, now=self.time())
            self._follow(name, core, command)

    # Results.

    def excess(self):
        """Return how far any window of any engine lies above what is allowed."""
        return max(
            limits.excess(seen.arrivals, seen.answers, self._was_restarted)
            for seen in self.seen_by_incarnation.values()
        )

    def _was_restarted(self, host, since, until):
        return any(since <= at <= until for at in self.restarted_at.get(host, ()))

    def arrivals(self, engine, since, until):
        """Return how many requests reached an engine in a span of time."""
        return sum(
            since <= arrival.at < until
            for (name, _), seen in self.seen_by_incarnation.items()
            if name == engine
            for arrival in seen.arrivals
        )
