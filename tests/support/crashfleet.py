"""A simulation of several hosts' decision logic and of engines that requests crash.

Hosts exchange gossip with a delay, and the platform stores what they write.
"""

import dataclasses
import datetime
import itertools
import random

import gateways
import places
import simulation

from sesamespindle.decide import (
    commands,
    crashes,
    events,
    fingerprints,
    gateway,
    gossip,
    quarantinerecords,
    reach,
    revisions,
    sends,
    targetlist,
)

_TICK = 0.1
# The range of seconds that a message between hosts takes, and of those after which a
# change on the platform is seen by a host.
_MESSAGE_DELAY_SECONDS = (0.002, 0.03)
_PLATFORM_DELAY_SECONDS = (0.05, 0.3)
# The range of seconds after which a bad request crashes its engine.
_CRASH_DELAY_SECONDS = (0.03, 0.17)
_RESTART_SECONDS = (1.0, 3.0)
_RUN_SECONDS = (0.1, 1.5)
# For how long hosts have run at the start of a play.
_RAN_BEFORE_SECONDS = 60
_DEADLINE_SECONDS = 12.0
# How often a caller retries if it is refused or gets no complete answer, and the range
# of seconds that it waits first.
_CALLER_RETRIES = 1
_CALLER_RETRY_DELAY = (0.1, 0.4)


@dataclasses.dataclass(slots=True)
class Engine:
    """An engine, in its current incarnation, numbered by `incarnation`."""

    name: str
    incarnation: int = 1
    is_up: bool = True
    # The request, host and attempt of each run.
    runs: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Asked:
    """A caller's request, and the code of its result."""

    request_id: str
    content: bytes
    is_bad: bool
    retries_left: int
    code: str = ""


class Fleet(simulation.Simulation):
    """Hosts, engines, callers and the platform.

    Attributes
    ----------
    crashes : list of (float, str)
        When engines crashed, and the content of the request that caused it; empty if
        none did.
    bad_runs : list of (float, bytes)
        When bad requests reached engines.
    asked : list of Asked
        All requests that have their final answer.
    """

    def __init__(self, seed, hosts=5, engines=5, data_centres=("dc-1",)):
        super().__init__()
        self.random = random.Random(seed)
        self.crashes = []
        self.bad_runs = []
        self.asked = []
        self.platform_is_away = False
        self.cut_hosts = set()
        self._ids = itertools.count(1)
        self._revision = itertools.count(100)
        self._quarantined = {}
        self._reply_by_exchange = {}
        self.engine_by_name = {f"llm-{n}": Engine(f"llm-{n}") for n in range(engines)}
        self._data_centres = data_centres
        self.core_by_name = {}
        for number in range(hosts):
            self.start_host(f"entry-{number}", number)
        for name in self.core_by_name:
            self.after(self.random.uniform(0, _TICK), self._tick, name)

    # Hosts.

    def start_host(self, name, number):
        """Start a host, or restart it with empty memory."""
        me = self._host(name, number)
        terms = gateway.PlatformLimits(gateways.budgets.BudgetRule(0.2, 50.0))
        is_new_life = name in self.core_by_name
        ran_for = (0 if is_new_life else _RAN_BEFORE_SECONDS) * gateways.SECOND
        started_at = self.time() - ran_for
        core = gateway.Gateway(me, terms, seed=number, started_at=started_at, key="key")
        self.core_by_name[name] = core
        core.number = number
        self._feed(name, gateway.ConfigurationRead(gateways.make_configuration()))
        peers = tuple(self._host(other, n) for n, other in enumerate(self._names()))
        self._feed(name, events.HostsListed(peers))
        self._feed(name, targetlist.TargetsListed(self._listed_targets()))
        if not self.platform_is_away:
            records = tuple(self._quarantined.values())
            self._feed(
                name, quarantinerecords.QuarantinesListed(records, places.at(10**6))
            )

    def _names(self):
        return list(self.core_by_name)

    def _host(self, name, number):
        data_centre = self._data_centres[number % len(self._data_centres)]
        incarnation = 1000 + int(self.now * 1000)
        address = f"10.0.0.{number}"
        return events.Host(
            name,
            "entry",
            data_centre,
            f"{address}:80",
            f"{address}:81",
            "",
            incarnation,
        )

    def _tick(self, name):
        self._feed(name, events.Tick())
        self.after(_TICK, self._tick, name)

    def _feed(self, name, *happened):
        core = self.core_by_name[name]
        for command in core.step(self.time(), happened):
            self._carry_out(name, command)

    def _carry_out(self, name, command):
        match command:
            case commands.GossipTo():
                self._send_gossip(name, command)
            case commands.GossipReply():
                sender, address = self._reply_by_exchange.pop(command.exchange_id)
                answered = gossip.GossipAnswered(address, command.message)
                self._deliver(name, sender, answered)
            case crashes.ProbeTarget():
                self.after(0.003, self._probe, name, command)
            case crashes.AskOpinions():
                self.after(0.01, self._give_opinions, name, command)
            case reach.ProbeReach():
                self.after(0.003, self._probe_reach, name, command)
            case quarantinerecords.WriteQuarantine():
                self.after(0.01, self._write, name, command)
            case quarantinerecords.RemoveQuarantine():
                self._quarantined.pop(command.fingerprint, None)
                self._announce_change(
                    quarantinerecords.QuarantineLifted(command.fingerprint)
                )

    def _deliver(self, sender, receiver, event):
        if sender not in self.cut_hosts and receiver not in self.cut_hosts:
            after = self.random.uniform(*_MESSAGE_DELAY_SECONDS)
            self.after(after, self._feed, receiver, event)

    def _send_gossip(self, name, command):
        number = int(command.peer_address.partition(":")[0].rpartition(".")[2])
        exchange_id = f"x{next(self._ids)}"
        self._reply_by_exchange[exchange_id] = name, command.peer_address
        received = gossip.GossipReceived(exchange_id, command.message)
        self._deliver(name, f"entry-{number}", received)

    def _probe(self, name, command):
        engine = self.engine_by_name[command.incarnation.name]
        if not engine.is_up:
            self._feed(name, crashes.TargetRefusesConnections(command.incarnation))

    def _give_opinions(self, name, command):
        is_up = self.engine_by_name[command.incarnation.name].is_up
        verdict = crashes.Verdict.LIVES if is_up else crashes.Verdict.ENDED
        others = (verdict,) * len(command.peers)
        heard = crashes.OpinionsHeard(command.incarnation, verdict, others)
        self._feed(name, heard)

    def _probe_reach(self, name, command):
        engine = self.engine_by_name[command.incarnation.name]
        self._feed(name, reach.TargetProbed(command.incarnation, engine.is_up))

    # The platform.

    def _write(self, name, command):
        record = command.record
        known = self._quarantined.get(record.fingerprint)
        if self.platform_is_away:
            self._feed(
                name, quarantinerecords.QuarantineWriteFailed(record.fingerprint)
            )
        elif (known.revision if known else revisions.NEVER) != record.revision:
            self._feed(name, quarantinerecords.QuarantineRead(known))
        else:
            made = dataclasses.replace(record, revision=places.at(next(self._revision)))
            self._quarantined[record.fingerprint] = made
            self._feed(
                name, quarantinerecords.QuarantineWritten(made, command.is_trial)
            )
            self._announce_change(quarantinerecords.QuarantineRead(made))

    def _announce_change(self, event):
        for name in self._names():
            self.after(
                self.random.uniform(*_PLATFORM_DELAY_SECONDS), self._feed, name, event
            )

    def remembered(self):
        """Return the number of quarantine records that the platform has."""
        return len(self._quarantined)

    # Engines.

    def _listed_targets(self):
        return tuple(
            gateways.make_target(
                engine.name, "llm", revision=engine.incarnation, born=engine.incarnation
            )
            for engine in self.engine_by_name.values()
            if engine.is_up
        )

    def crash(self, engine, content=b""):
        """Crash an engine, and restart it after a while."""
        if not engine.is_up:
            return
        self.crashes.append((self.now, content))
        engine.is_up = False
        runs, engine.runs = engine.runs, []
        for asked, name, attempt in runs:
            self.after(
                self.random.uniform(0, 0.01),
                self._lose_connection,
                asked,
                name,
                attempt,
            )
        self.after(self.random.uniform(*_RESTART_SECONDS), self._restart_engine, engine)

    def _restart_engine(self, engine):
        engine.is_up = True
        engine.incarnation += 1
        target = gateways.make_target(
            engine.name, "llm", revision=engine.incarnation, born=engine.incarnation
        )
        self._announce_change(targetlist.TargetChanged(target))

    # Requests.

    def ask(self, content, is_bad=False, retries_left=_CALLER_RETRIES):
        """Send a request to a random host."""
        asked = Asked(f"r{next(self._ids)}", content, is_bad, retries_left)
        name = self.random.choice(self._names())
        request = gateways.make_request(
            "/chat/1",
            asked.request_id,
            deadline=self.time() + datetime.timedelta(seconds=_DEADLINE_SECONDS),
            model="m",
            content=fingerprints.of_content(content),
        )
        core = self.core_by_name[name]
        self._handle_result(
            asked, name, core.forwarding.begin(request, now=self.time())
        )

    def _handle_result(self, asked, name, command):
        self._feed(name)
        match command:
            case sends.Forward():
                self.after(0.003, self._arrive, asked, name, command)
            case commands.Refuse():
                self._end(asked, name, command.code, command.retry_after)
            case sends.PassOn():
                self._end(asked, name, "failed", None)

    def _arrive(self, asked, name, forward):
        engine = self.engine_by_name[forward.target]
        if not engine.is_up:
            self._end_send(asked, name, sends.Ending.REFUSED)
        elif engine.incarnation != forward.born:
            self._end_send(asked, name, sends.Ending.WRONG_TARGET)
        else:
            engine.runs.append((asked, name, forward.attempt))
            if asked.is_bad:
                self.bad_runs.append((self.now, asked.content))
                after = self.random.uniform(*_CRASH_DELAY_SECONDS)
                self.after(
                    after,
                    self._crash_in_incarnation,
                    engine,
                    engine.incarnation,
                    asked.content,
                )
            else:
                after = self.random.uniform(*_RUN_SECONDS)
                self.after(after, self._serve, asked, name, engine, engine.incarnation)

    def _crash_in_incarnation(self, engine, incarnation, content):
        if engine.incarnation == incarnation:
            self.crash(engine, content)

    def _serve(self, asked, name, engine, incarnation):
        if engine.incarnation != incarnation or not engine.is_up:
            return
        engine.runs = [run for run in engine.runs if run[0] is not asked]
        core = self.core_by_name[name]
        if asked.request_id not in core.forwarding.flight_by_request:
            return
        core.forwarding.first_byte(asked.request_id, self.time())
        core.forwarding.served(asked.request_id, self.time())
        self._end(asked, name, "served", None)

    def _lose_connection(self, asked, name, attempt):
        self._end_send(asked, name, sends.Ending.LOST)

    def _end_send(self, asked, name, ending):
        core = self.core_by_name[name]
        if asked.request_id not in core.forwarding.flight_by_request:
            return
        command = core.forwarding.ended(asked.request_id, ending, now=self.time())
        self._handle_result(asked, name, command)

    def _end(self, asked, name, code, retry_after):
        self.core_by_name[name].forwarding.close(asked.request_id, self.time())
        asked.code = str(code)
        self.asked.append(asked)
        if asked.retries_left and asked.code != "served":
            pause = self.random.uniform(*_CALLER_RETRY_DELAY)
            if retry_after is not None:
                pause = min(retry_after.total_seconds(), _DEADLINE_SECONDS / 3)
            self.after(
                pause, self.ask, asked.content, asked.is_bad, asked.retries_left - 1
            )

    # Callers.

    def repeat(self, content, every, until):
        """Send the same bad request again and again, until a time."""
        self.ask(content, is_bad=True)
        if self.now < until:
            pause = self.random.uniform(0.5 * every, 1.5 * every)
            self.after(pause, self.repeat, content, every, until)

    def ask_others(self, every, until, bodies=0):
        """Send harmless requests until a time.

        Their bodies are all different, or taken from so many if `bodies` is given.
        """
        number = next(self._ids)
        self.ask(f"other {number % bodies if bodies else number}".encode())
        if self.now < until:
            pause = self.random.uniform(0.5 * every, 1.5 * every)
            self.after(pause, self.ask_others, every, until, bodies)

    def late_runs(self, contact, content):
        """Return when a bad request reached engines after all hosts should know of it.

        They should know `contact` seconds after its third crash.
        """
        ended = [at for at, under in self.crashes if under == content]
        if len(ended) < 3:
            return []
        known = ended[2] + contact
        return [at for at, run in self.bad_runs if run == content and at > known]

    def codes(self, is_bad):
        """Return the result codes of all bad requests, or of all others."""
        return [item.code for item in self.asked if item.is_bad == is_bad]
