"""Simulates the decision logic of many hosts in front of engines that turn cold.

A cold engine has just started and can handle only a few requests a second.
Hosts learn of targets and of each other only what a test sends them, when it does.
"""

import collections
import itertools
import random

import gateways
import simulation

from sesamespindle.decide import (
    commands,
    events,
    gateway,
    kvstores,
    sends,
    targetlist,
)

# How long an engine stays cold, in seconds.
COLD_FOR = 3.0
# The requests per second that a cold engine can handle, from all hosts together.
PER_SECOND = 8.8
# The most requests that a cold engine may get in any second: 1.5 times the rate that it
# can handle, and five more.
MOST_IN_A_SECOND = PER_SECOND * 1.5 + 5
# The bounds of the time that a request runs.
_RUN_SECONDS = (0.05, 0.6)
# The number of different first parts of prompts, which requests share.
_CONTEXTS = 400


class Engine:
    """An engine, with the times at which requests reached it while it was cold."""

    def __init__(self, name):
        self.name = name
        self.revision = 1
        self.born = 1
        self.cold_until = -1.0
        self.arrived_cold = []

    def record(self, now):
        """Return the engine's record on the platform as of now."""
        cold_for = max(0.0, self.cold_until - now) * gateways.SECOND
        return gateways.make_target(
            self.name,
            "llm",
            revision=self.revision,
            born=self.born,
            cold_for=cold_for,
        )


class Fleet(simulation.Simulation):
    """Hosts that know each other and all engines, and callers that send requests.

    Parameters
    ----------
    seed : int
        The seed of all random choices.
    hosts, engines : int
        The number of hosts and of engines.

    Attributes
    ----------
    sent_by_engine : collections.Counter
        How many requests reached each engine.
    refused : list of str
        The codes of refused requests.
    """

    def __init__(self, seed, hosts, engines):
        super().__init__()
        self.random = random.Random(seed)
        self.sent_by_engine = collections.Counter()
        self.refused = []
        self._revision = itertools.count(10)
        self._ids = itertools.count()
        self._hosts = [self._host(number) for number in range(hosts)]
        self.engines = [Engine(f"llm-{number}") for number in range(engines)]
        self.cores = []
        for number in range(hosts):
            self.cores.append(None)
            self.start_host(number)

    # Hosts.

    def _host(self, number):
        address = f"10.0.{number // 200}.{number % 200}"
        data_centre = f"dc-{number % 3}"
        return events.Host(
            f"entry-{number}", "entry", data_centre, f"{address}:80", f"{address}:81"
        )

    def start_host(self, number, knows=None):
        """Start or restart a host, which keeps nothing from before.

        Parameters
        ----------
        number : int
            The host's number.
        knows : int, optional
            How many hosts it knows; all by default. With 0 it hasn't received any list
            of hosts.
        """
        terms = gateway.PlatformLimits(gateways.budgets.BudgetRule(0.2, 50.0))
        core = gateway.Gateway(self._hosts[number], terms, seed=number)
        # Hosts send nothing to cold targets until they have run for some time. Those
        # of the start of the simulation count as having run for a minute.
        started = self.time() - (60.0 if self.now == 0 else 0.0) * gateways.SECOND
        core.state.pauses.started_at = started
        self.cores[number] = core
        configuration = gateways.make_cold_configuration(
            COLD_FOR * gateways.SECOND, PER_SECOND
        )
        listed = tuple(engine.record(self.now) for engine in self.engines)
        core.step(
            self.time(),
            [
                gateway.ConfigurationRead(configuration),
                targetlist.TargetsListed(listed),
            ],
        )
        if knows is None:
            self._feed(number, events.HostsListed(tuple(self._hosts)))
        elif knows:
            known = tuple(self.random.sample(self._hosts, knows))
            self._feed(number, events.HostsListed(known))

    def split(self, part_of):
        """Partition the hosts: those of different parts consider each other dead.

        Parameters
        ----------
        part_of : callable
            Takes a host's number and returns its part.
        """
        for number, core in enumerate(self.cores):
            for other, host in enumerate(self._hosts):
                row = core.state.entries.get(host.name)
                if row is not None and part_of(other) != part_of(number):
                    row.state = events.HostState.DEAD
            core.state.note_view_change()

    def _feed(self, number, *happened):
        self.cores[number].step(self.time(), happened)

    # Engines.

    def turn_cold(self, engine, news_after, is_new_incarnation=False):
        """Turn an engine cold now, and send its record to each host a while later.

        Parameters
        ----------
        engine : Engine
            The engine.
        news_after : tuple of float
            The least and the greatest delay of the record, in seconds.
        is_new_incarnation : bool
            Whether the engine has restarted.
        """
        engine.revision = next(self._revision)
        engine.born += is_new_incarnation
        engine.cold_until = self.now + COLD_FOR
        record = engine.record(self.now)
        for number in range(len(self.cores)):
            self.after(
                self.random.uniform(*news_after),
                self._feed,
                number,
                targetlist.TargetChanged(record),
            )

    # Callers.

    def ask_steadily(self, every, until):
        """Send requests at random times.

        Parameters
        ----------
        every : float
            The mean time between two requests, in seconds.
        until : float
            When to stop, in seconds since the start of the simulation.
        """
        self._ask()
        if self.now < until:
            pause = self.random.expovariate(1.0 / every)
            self.after(pause, self.ask_steadily, every, until)

    def _ask(self):
        core = self.random.choice(self.cores)
        context = kvstores.Part(f"c{self.random.randrange(_CONTEXTS)}", 800)
        request = gateways.make_request(
            "/chat/1",
            f"r{next(self._ids)}",
            deadline=self.time() + 10 * gateways.SECOND,
            model="m",
            prompt=(context, kvstores.Part("own", 200)),
        )
        match core.forwarding.begin(request, now=self.time()):
            case sends.Forward() as forward:
                self._arrive(core, forward)
            case commands.Refuse() as refuse:
                self.refused.append(refuse.code)

    def _arrive(self, core, forward):
        engine = self.engines[int(forward.target.rpartition("-")[2])]
        self.sent_by_engine[engine.name] += 1
        if self.now < engine.cold_until:
            engine.arrived_cold.append(self.now)
        self.after(
            self.random.uniform(*_RUN_SECONDS), self._serve, core, forward.request_id
        )

    def _serve(self, core, request_id):
        core.forwarding.first_byte(request_id, self.time())
        core.forwarding.served(request_id, self.time())
        core.forwarding.close(request_id, self.time())

    # Results.

    def most_in_a_second(self):
        """Return the greatest number of requests to one cold engine within a second."""
        return max((_most(engine.arrived_cold) for engine in self.engines), default=0)

    def arrived_cold(self):
        """Return how many requests reached cold engines."""
        return sum(len(engine.arrived_cold) for engine in self.engines)


def _most(times):
    """Return the greatest number of ascending times that lie within one second."""
    first = most = 0
    for last, time in enumerate(times):
        while time - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
