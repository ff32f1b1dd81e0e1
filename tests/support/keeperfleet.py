"""Simulates hosts that gossip, before engines whose memory long prompts fill."""

import collections
import dataclasses
import itertools
import math

import crashfleet
import gateways

from sesamespindle.decide import (
    commands,
    gateway,
    kvstores,
    loadparts,
    routes,
    sends,
    targetsignals,
)

CAPACITY = 100_000
_RATE = 50_000.0
_RUN_SECONDS = (0.6, 1.8)
_DELAY_SECONDS = (0.0005, 0.003)
_PATIENCE_SECONDS = 0.025


@dataclasses.dataclass(slots=True)
class Memory:
    """What one engine has, and the most that all hosts together sent there.

    Attributes
    ----------
    wanted : int
        The tokens of all prompts that were sent there and haven't ended, but for
        those of a host that lies.
    peak : int
        The most that `wanted` has been.
    speed : int
        How long work takes now, in percent of the usual.
    """

    waiting: list = dataclasses.field(default_factory=list)
    wanted: int = 0
    peak: int = 0
    held: int = 0
    running: int = 0
    speed: int = 100
    is_reading: bool = False


class Fleet(crashfleet.Fleet):
    """Hosts that ask keepers or don't, engines with memory, and callers.

    Attributes
    ----------
    first_token_by_request : dict of str to float
        How long each request took to its first token, in seconds.
    refused : list of commands.Refuse
        The refusals.
    lost_share : float
        The share of messages to and from keepers that are lost.
    """

    def __init__(self, seed, has_keepers, hosts=26, engines=10):
        self._choice = loadparts.Choice.ON if has_keepers else loadparts.Choice.OFF
        self.memory_by_engine = collections.defaultdict(Memory)
        self.first_token_by_request = {}
        self.refused = []
        self.asked_count = 0
        self.sent_by_engine = collections.Counter()
        self.questions = 0
        self.lost_share = 0.0
        self.group_of = lambda name: 0
        self.ended_hosts = set()
        self.asked_at_by_request = {}
        self.path_by_request = {}
        self.liar = ""
        self.transform_ask = lambda host, ask: ask
        self._request_ids = itertools.count()
        super().__init__(seed, hosts, engines)

    def start_host(self, name, number):
        """Start a host, by a configuration with enough connections."""
        super().start_host(name, number)
        core = self.core_by_name[name]
        core.state.pauses.started_at = self.time() - 60 * gateways.SECOND
        core.state.load_parts = loadparts.LoadParts(
            False, {loadparts.Part.KEEPERS: self._choice}
        )
        known = gateways.make_configuration(2)
        services = known.service_by_name | {
            "llm": dataclasses.replace(
                known.service_by_name["llm"], max_connections=5000
            )
        }
        urgent = gateways.make_route(
            "now",
            "/now/",
            routes.Repeats.RESUMABLE,
            True,
            rank=0,
            shares=(routes.Share("llm", 1.0),),
        )
        changed = gateways.make_configuration(
            2, service_by_name=services, routes=(*known.routes, urgent)
        )
        self._feed(name, gateway.ConfigurationRead(changed))

    # Messages to keepers.

    def _carry_out(self, name, command):
        if not isinstance(command, sends.TellKeeper):
            super()._carry_out(name, command)
        elif (keeper := self._host_at(command.address)) == name:
            self.core_by_name[name].ledgers.take(command.tell, self.time())
        elif self._arrives(name, keeper):
            delay = self.random.uniform(*_DELAY_SECONDS)
            ledger = self.core_by_name[keeper].ledgers
            self.after(delay, lambda: ledger.take(command.tell, self.time()))

    def _host_at(self, address):
        return f"entry-{address.partition(':')[0].rpartition('.')[2]}"

    def _arrives(self, sender, receiver):
        is_lost = self.random.random() < self.lost_share
        is_cut = self.group_of(sender) != self.group_of(receiver)
        return not (is_lost or is_cut or receiver in self.ended_hosts)

    def _deliver(self, sender, receiver, event):
        ended = {sender, receiver} & self.ended_hosts
        if not ended and self.group_of(sender) == self.group_of(receiver):
            super()._deliver(sender, receiver, event)

    def _ask(self, name, command):
        self.questions += 1
        keeper = self._host_at(command.address)
        ask = self.transform_ask(name, command.ask)
        if keeper == name:
            answer = self.core_by_name[name].ledgers.ask(ask, self.time())
            self._answered(name, command, answer)
            return
        there = self.random.uniform(*_DELAY_SECONDS)
        back = self.random.uniform(*_DELAY_SECONDS)
        if not self._arrives(name, keeper):
            self.after(_PATIENCE_SECONDS, self._answered, name, command, None)
            return
        self.after(there, self._keep, name, keeper, command, ask, back)

    def _keep(self, name, keeper, command, ask, back):
        answer = self.core_by_name[keeper].ledgers.ask(ask, self.time())
        if self._arrives(keeper, name):
            self.after(back, self._answered, name, command, answer)
        else:
            self.after(_PATIENCE_SECONDS, self._answered, name, command, None)

    def _answered(self, name, command, answer):
        forwarding = self.core_by_name[name].forwarding
        is_open = command.request_id in forwarding.flight_by_request
        if name in self.ended_hosts or not is_open:
            return
        next_command = forwarding.keeper_answered(
            command.request_id, answer, now=self.time()
        )
        self._follow(name, next_command)

    # Callers.

    def ask_steadily(self, per_second, until, **asked):
        """Send long prompts to random hosts at random times."""
        self.ask_once(**asked)
        if self.now < until:
            pause = self.random.expovariate(per_second)
            self.after(pause, lambda: self.ask_steadily(per_second, until, **asked))

    def ask_once(self, name=None, tokens=12_000, path="/chat/1"):
        """Send one prompt with one of few contexts, most often the first."""
        name = name or self.random.choice(
            [name for name in self._names() if name not in self.ended_hosts]
        )
        request_id = f"r{next(self._request_ids)}"
        context = min(int(self.random.expovariate(0.8)), 9)
        request = gateways.make_request(
            path,
            request_id,
            deadline=self.time() + 10 * gateways.SECOND,
            model="m",
            prompt=(
                kvstores.Part(f"c{context}", tokens // 10),
                kvstores.Part(f"own-{request_id}", tokens - tokens // 10),
            ),
        )
        self.asked_count += 1
        self.asked_at_by_request[request_id] = self.now
        self.path_by_request[request_id] = name, path
        core = self.core_by_name[name]
        self._follow(name, core.forwarding.begin(request, now=self.time()))
        return request_id

    def _follow(self, name, command):
        self._feed(name)
        match command:
            case sends.AskKeeper():
                self._ask(name, command)
            case sends.Forward():
                self.after(0.002, self._reach, name, command)
            case commands.Refuse():
                self.refused.append(command)
                self._close(name, command.request_id)

    def _close(self, name, request_id):
        self.core_by_name[name].forwarding.close(request_id, self.time())
        self._feed(name)

    # Engines: one reads a prompt at a time, as long as its memory has room.

    def _reach(self, name, forward):
        core = self.core_by_name[name]
        flight = core.forwarding.flight_by_request[forward.request_id]
        tokens = flight.request.held_tokens
        memory = self.memory_by_engine[forward.target]
        memory.wanted += 0 if name == self.liar else tokens
        memory.peak = max(memory.peak, memory.wanted)
        self.sent_by_engine[forward.target] += 1
        order = forward.urgency, next(self._request_ids)
        memory.waiting.append((order, name, forward, tokens))
        memory.waiting.sort()
        self._read_next(memory)

    def _read_next(self, memory):
        if memory.is_reading or not memory.waiting:
            return
        _, name, forward, tokens = memory.waiting[0]
        if memory.held + tokens > CAPACITY:
            return
        memory.waiting.pop(0)
        memory.held += tokens
        memory.is_reading = True
        seconds = tokens / _RATE * memory.speed / 100
        self.after(seconds, self._begin_run, memory, name, forward, tokens)

    def _begin_run(self, memory, name, forward, tokens):
        memory.is_reading = False
        memory.running += 1
        core = self.core_by_name[name]
        if name not in self.ended_hosts:
            load = memory.running + len(memory.waiting)
            signals = targetsignals.TargetSignals(load=load, speed=memory.speed)
            now = self.time()
            core.forwarding.note_signals(forward.request_id, signals, now)
            core.forwarding.first_byte(forward.request_id, now)
            self._feed(name)
        took = self.now - self.asked_at_by_request[forward.request_id]
        self.first_token_by_request[forward.request_id] = took
        after = self.random.uniform(*_RUN_SECONDS)
        self.after(after, self._end_run, memory, name, forward, tokens)
        self._read_next(memory)

    def _end_run(self, memory, name, forward, tokens):
        memory.held -= tokens
        memory.wanted -= 0 if name == self.liar else tokens
        memory.running -= 1
        if name not in self.ended_hosts:
            core = self.core_by_name[name]
            core.forwarding.served(forward.request_id, self.time())
            self._close(name, forward.request_id)
        self._read_next(memory)

    def _tick(self, name):
        if name not in self.ended_hosts:
            super()._tick(name)

    # Results.

    def peak_share(self):
        """Return the most that any engine's prompts wanted, in shares of its memory."""
        return max(memory.peak for memory in self.memory_by_engine.values()) / CAPACITY

    def share_in_time(self, seconds=1.0, path=""):
        """Return the share of all prompts whose first token came within a time.

        With a path, only prompts of that route are counted. Those at hosts that have
        ended, or that lie, are left out.
        """
        asked = [
            request_id
            for request_id, (host, asked_path) in self.path_by_request.items()
            if path in asked_path and host not in {self.liar, *self.ended_hosts}
        ]
        times = [self.first_token_by_request.get(name, math.inf) for name in asked]
        return sum(took <= seconds for took in times) / len(asked)

    def first_live(self):
        """Return the name of the first host that hasn't ended."""
        return next(n for n in self.core_by_name if n not in self.ended_hosts)

    def lie(self, liar, factor):
        """Let one host claim a multiple of the tokens that its prompts hold."""
        self.liar = liar

        def transform(host, ask):
            held = ask.held_tokens * (factor if host == liar else 1)
            return dataclasses.replace(ask, held_tokens=held)

        self.transform_ask = transform

    def split(self, group_of):
        """Let only hosts of one group reach each other; `group_of` takes a name."""
        self.group_of = group_of

    def leave(self, name, request_id):
        """Let a caller leave."""
        self._close(name, request_id)

    def counts(self):
        """Return the results of questions, of all hosts together."""
        total = collections.Counter()
        for core in self.core_by_name.values():
            total.update(core.asking.count_by_result)
        return total

    def keeper_of(self, engine, name="entry-0"):
        """Return the name of an engine's keeper, as a host sees it."""
        core = self.core_by_name[name]
        row = core.state.targets.get(engine)
        return core.asking.keeper(row).name

    def held_by_ledgers(self):
        """Return the tokens that all ledgers count."""
        for core in self.core_by_name.values():
            core.ledgers.tick(self.time())
        return sum(core.ledgers.held_tokens() for core in self.core_by_name.values())
