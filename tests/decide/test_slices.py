"""Tests that slices of a limit never allow more than the contract does."""

import datetime
import random

import hypothesis
import hypothesis.stateful
import pytest
from hypothesis import strategies

from sesamespindle.decide import commands, core, declared, events, gossip, hashing

START = datetime.datetime(2026, 12, 7, 9, tzinfo=datetime.UTC)
LIMIT = 5
ACCOUNTS = ("desk", "hall")
NAMES = ("entry-1", "entry-2", "entry-3", "entry-4")
ENGINE_KEEPS = datetime.timedelta(seconds=5)
# The default time after which a silent entry is considered dead is twice this.
LONGEST_PAUSE = datetime.timedelta(seconds=5)

DECLARATIONS = declared.Declarations(
    contracts=tuple(
        declared.Contract(account, LIMIT, 2, 5, 1000, (), ()) for account in ACCOUNTS
    ),
    models=(declared.Model("words", "pool", "v1", 100_000),),
    pools=(declared.Pool("pool", declared.TargetKind.ENGINE, 100),),
    targets=(declared.Target("engine-1", "pool", "dc", True),),
    data_centres=(declared.DataCentre("dc", "region"),),
)
ENGINE = events.Host("engine-1", "engine", "dc", "http://engine-1")


class Fleet:
    """The decision logic of several daemons, with the messages between them.

    Gossip messages arrive at once. Messages about slices wait in `wire` until they are
    delivered, in any order, or lost.
    """

    def __init__(self, names=NAMES):
        self.now = START
        self.core_by_name = {}
        self.running_by_name = {}
        self.lingering = []
        self.paused_until = {}
        self.wire = []
        self.exchanges = {}
        self.numbers = iter(range(1, 1_000_000))
        for name in names:
            self.boot(name)

    def boot(self, name):
        incarnation = int(self.now.timestamp() * 1000)
        me = events.Host(name, "entry", "dc", name, name, name, incarnation)
        self.core_by_name[name] = core.Core(me, seed=incarnation)
        self.running_by_name[name] = {}
        hosts = [events.Host(other, "entry", "dc", other, other) for other in NAMES]
        self.feed(
            name,
            events.DeclarationsAdopted(1, DECLARATIONS),
            events.HostsListed((ENGINE, *hosts)),
        )

    def feed(self, name, *happened):
        for command in self.core_by_name[name].step(self.now, happened):
            self.carry_out(name, command)

    def carry_out(self, name, command):
        match command:
            case commands.GossipTo(peer_address=peer, message=message):
                self.gossip(name, peer, message)
            case commands.AskSlices():
                content = (
                    name,
                    self.incarnation(name),
                    command.sequence,
                    self.now,
                    command.asks,
                )
                self.post(command.peer_address, "ask", content)
            case commands.AskHoldings(entry=entry, accounts=accounts):
                self.post(entry, "want", (name, self.incarnation(name), accounts))
            case commands.GrantSlices(exchange_id=exchange, grants=grants):
                asker, asked_at, asks = self.exchanges.pop(exchange)
                self.post(asker, "grant", (asked_at, asks, grants))
            case commands.TellHoldings():
                content = (
                    name,
                    self.incarnation(name),
                    command.holdings,
                    command.settled,
                )
                owner, accounts = self.exchanges.pop(command.exchange_id)
                self.post(owner, "told", (*content[:2], accounts, *content[2:]))
            case commands.SendPrompt(request_id=request_id, attempt=attempt):
                self.running_by_name[name][request_id] = attempt

    def incarnation(self, name):
        return self.core_by_name[name].state.me.incarnation

    def is_up(self, name):
        return name in self.core_by_name and name not in self.paused_until

    def gossip(self, name, peer, message):
        if not self.is_up(peer):
            return
        exchange = str(next(self.numbers))
        made = self.core_by_name[peer].step(
            self.now, [gossip.GossipReceived(exchange, message)]
        )
        for command in made:
            if isinstance(command, commands.GossipReply):
                self.feed(name, gossip.GossipAnswered(peer, command.message))
            else:
                self.carry_out(peer, command)

    def post(self, receiver, kind, content):
        self.wire.append((receiver, kind, content))

    def deliver(self, index):
        receiver, kind, content = self.wire.pop(index)
        if receiver not in self.core_by_name:
            return
        if receiver in self.paused_until:
            # The message waits in the socket until the process resumes.
            self.wire.append((receiver, kind, content))
            return
        exchange = str(next(self.numbers))
        match kind:
            case "ask":
                asker, incarnation, sequence, asked_at, asks = content
                self.exchanges[exchange] = (asker, asked_at, asks)
                self.feed(
                    receiver,
                    events.SlicesAsked(exchange, asker, incarnation, sequence, asks),
                )
            case "want":
                self.exchanges[exchange] = (content[0], content[2])
                self.feed(receiver, events.HoldingsAsked(exchange, *content))
            case "grant":
                self.feed(receiver, events.SlicesGranted(*content))
            case "told":
                self.feed(receiver, events.HoldingsReported(*content))

    def deliver_kind(self, kind, receiver=""):
        """Deliver the waiting messages of one kind, to one receiver or to all."""
        for index, item in reversed(list(enumerate(self.wire))):
            if item[1] == kind and receiver in ("", item[0]):
                self.deliver(index)

    def deliver_all(self):
        for _ in range(1000):
            open_indices = [
                index
                for index, (receiver, _, _) in enumerate(self.wire)
                if receiver not in self.paused_until
            ]
            if not open_indices:
                return
            self.deliver(open_indices[0])
        raise AssertionError("the messages never end")

    def pass_time(self, duration):
        end = self.now + duration
        while self.now < end:
            self.now += datetime.timedelta(milliseconds=200)
            self.lingering = [item for item in self.lingering if item[0] > self.now]
            for name in list(self.core_by_name):
                if name in self.paused_until and self.now >= self.paused_until[name]:
                    del self.paused_until[name]
                if self.is_up(name):
                    self.feed(name, events.Tick())

    def send(self, name, account="desk"):
        number = next(self.numbers)
        deadline = self.now + datetime.timedelta(minutes=5)
        self.feed(
            name,
            events.PromptArrived(
                f"{account}/{number}", account, "words", "text", 1, 1, deadline
            ),
        )

    def finish(self, name):
        running = self.running_by_name[name]
        if running:
            request_id, attempt = running.popitem()
            self.feed(
                name,
                events.AttemptEnded(request_id, attempt, events.Ending.COMPLETED),
            )

    def kill(self, name):
        del self.core_by_name[name]
        self.paused_until.pop(name, None)
        # Nobody reads its streams any more; the engine drops them after a while.
        until = self.now + ENGINE_KEEPS
        lingering = self.running_by_name.pop(name)
        self.lingering += [(until, request_id) for request_id in lingering]
        self.wire = [item for item in self.wire if item[0] != name]

    def at_engine(self, account="desk"):
        request_ids = [request_id for _, request_id in self.lingering]
        for running in self.running_by_name.values():
            request_ids += running
        return sum(item.startswith(f"{account}/") for item in request_ids)


class SlicesMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Entries die, join, pause and lose messages while callers come and go."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.fleet.pass_time(datetime.timedelta(seconds=2))

    names = strategies.sampled_from(NAMES)

    @hypothesis.stateful.rule(
        name=names,
        account=strategies.sampled_from(ACCOUNTS),
        count=strategies.integers(1, 8),
    )
    def send(self, name, account, count):
        if self.fleet.is_up(name):
            for _ in range(count):
                self.fleet.send(name, account)

    @hypothesis.stateful.rule(name=names)
    def finish(self, name):
        if self.fleet.is_up(name):
            self.fleet.finish(name)

    @hypothesis.stateful.rule()
    def deliver_everything(self):
        self.fleet.deliver_all()

    @hypothesis.stateful.rule(index=strategies.integers(0, 30))
    def deliver_one(self, index):
        if self.fleet.wire:
            self.fleet.deliver(index % len(self.fleet.wire))

    @hypothesis.stateful.rule(index=strategies.integers(0, 30))
    def lose_one(self, index):
        if self.fleet.wire:
            self.fleet.wire.pop(index % len(self.fleet.wire))

    @hypothesis.stateful.rule(ticks=strategies.integers(1, 30))
    def pass_time(self, ticks):
        self.fleet.pass_time(datetime.timedelta(milliseconds=200) * ticks)

    @hypothesis.stateful.rule(name=names)
    def kill_or_boot(self, name):
        if name in self.fleet.core_by_name:
            self.fleet.kill(name)
        else:
            self.fleet.boot(name)

    @hypothesis.stateful.rule(name=names, ticks=strategies.integers(1, 25))
    def pause(self, name, ticks):
        if self.fleet.is_up(name):
            pause = datetime.timedelta(milliseconds=200) * ticks
            self.fleet.paused_until[name] = self.fleet.now + min(pause, LONGEST_PAUSE)

    @hypothesis.stateful.invariant()
    def limit_is_kept(self):
        for account in ACCOUNTS:
            assert self.fleet.at_engine(account) <= LIMIT


def test_limit_is_kept_whatever_happens():
    """Many callers arrive while entries die, join and pause, and messages get lost.

    Two owners of an account could grant its limit at once, or an owner could grant it
    again after a pause, so that the targets get more than the contract allows.
    """
    hypothesis.stateful.run_state_machine_as_test(
        SlicesMachine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=120,
            stateful_step_count=40,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


@pytest.mark.parametrize("dead", NAMES)
def test_full_use_returns_after_an_entry_died(dead):
    """An entry dies while it uses all slots of an account.

    Once its slices have expired, other entries must get them. Otherwise the account
    never gets the whole limit of its contract again.
    """
    fleet = Fleet()
    fleet.pass_time(datetime.timedelta(seconds=2))
    for _ in range(LIMIT):
        fleet.send(dead)
        fleet.deliver_all()
    assert fleet.at_engine() == LIMIT
    fleet.kill(dead)
    fleet.pass_time(datetime.timedelta(seconds=10))
    alive = [name for name in NAMES if name != dead]
    source = random.Random(1)
    for _ in range(30):
        fleet.send(source.choice(alive))
        fleet.pass_time(datetime.timedelta(milliseconds=400))
        fleet.deliver_all()
    assert fleet.at_engine() == LIMIT


def test_slices_of_an_idle_entry_can_be_used_elsewhere():
    """The callers of an entry that holds the whole limit change to another entry."""
    fleet = Fleet()
    fleet.pass_time(datetime.timedelta(seconds=2))
    for _ in range(LIMIT):
        fleet.send("entry-1")
        fleet.deliver_all()
    for _ in range(LIMIT):
        fleet.finish("entry-1")
    for _ in range(12):
        fleet.send("entry-2")
        fleet.pass_time(datetime.timedelta(seconds=1))
        fleet.deliver_all()
    assert len(fleet.running_by_name["entry-2"]) >= LIMIT - 1


def test_new_owner_learns_which_slices_are_in_use():
    """An account's owner dies while another entry uses the whole limit.

    The next owner is asked by a third entry before it knows the slices that the second
    holds. Granted at once, they would allow twice the limit at the targets.
    """
    fleet = Fleet()
    fleet.pass_time(datetime.timedelta(seconds=2))
    owner, next_owner, holder, third = hashing.rank("desk", NAMES)
    for _ in range(LIMIT):
        fleet.send(holder)
        fleet.deliver_all()
    assert fleet.at_engine() == LIMIT
    fleet.kill(owner)
    fleet.pass_time(datetime.timedelta(milliseconds=5400))
    assert fleet.core_by_name[third].state.owner("desk").name == next_owner
    fleet.wire.clear()
    fleet.send(third)
    fleet.deliver_kind("ask")
    fleet.deliver_kind("grant")
    assert fleet.at_engine() <= LIMIT


def test_smaller_grant_counts_only_when_acknowledged():
    """An idle entry's slice is renewed with fewer slots, and the grant is lost.

    The entry still uses the larger slice when its callers come back, while the owner
    has granted the difference to another entry.
    """
    fleet = Fleet()
    fleet.pass_time(datetime.timedelta(seconds=2))
    _, _, idle, other = hashing.rank("desk", NAMES)
    for _ in range(LIMIT):
        fleet.send(idle)
        fleet.deliver_all()
    for _ in range(LIMIT):
        fleet.finish(idle)
    fleet.pass_time(datetime.timedelta(seconds=4))
    fleet.deliver_kind("ask")
    fleet.wire.clear()
    for _ in range(LIMIT):
        fleet.send(other)
    fleet.deliver_kind("ask")
    fleet.deliver_kind("grant", receiver=other)
    for _ in range(LIMIT):
        fleet.send(idle)
    assert 0 < fleet.at_engine() <= LIMIT


def test_equal_demand_uses_the_whole_limit():
    """Three entries have more callers of one account than its limit allows.

    If their shares are rounded down, each gets 1 slot of a limit of 5, and two slots
    stay unused while all three entries refuse callers.
    """
    fleet = Fleet()
    fleet.pass_time(datetime.timedelta(seconds=2))
    busy = NAMES[:3]
    for _ in range(20):
        for name in busy:
            fleet.send(name)
        fleet.pass_time(datetime.timedelta(milliseconds=400))
        fleet.deliver_all()
    assert fleet.at_engine() == LIMIT
    for _ in range(20):
        for name in busy:
            if fleet.running_by_name[name]:
                fleet.finish(name)
            fleet.send(name)
        fleet.pass_time(datetime.timedelta(milliseconds=400))
        fleet.deliver_all()
    assert fleet.at_engine() == LIMIT
