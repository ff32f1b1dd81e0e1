"""All hosts together keep to the retry budget, and each repeat is paid for once."""

import collections
import itertools
import random

import gateways
import pytest
import repeats

from sesamespindle.decide import (
    budgets,
    commands,
    events,
    kvstores,
    ledgers,
    loadparts,
    sends,
    targetlist,
    world,
)

NOW, SECOND = gateways.NOW, gateways.SECOND


class Hosts:
    """The budgets of several hosts, of which each knows some others.

    Each request is sent again as often as its host allows, and once by itself.
    """

    def __init__(self, count, seed=1, slack=repeats.SLACK):
        self.random = random.Random(seed)
        self.rule = budgets.BudgetRule(repeats.RATIO, slack)
        self.seen = repeats.Repeats()
        self.names = [f"entry-{number}" for number in range(count)]
        self.budget_by_host = {}
        self.state_by_host = {}
        self.now = NOW
        self.sent_again = collections.Counter()
        self._numbers = itertools.count()
        for name in self.names:
            self.start(name, ran_for=60 * SECOND)

    def start(self, name, ran_for=0 * SECOND, known=None):
        """Start a host, or a new life of it, that knows all hosts or just some."""
        me = events.Host(name, "entry", "dc-1", f"{name}:80", f"{name}:81")
        state = world.World(me, started_at=self.now - ran_for)
        state.knows_entries = True
        for other in self.names if known is None else known:
            state.put_entry(gateways.make_entry(other))
        self.state_by_host[name] = state
        self.budget_by_host[name] = budgets.SharedBudgets(self.rule, state)

    def note_state(self, name, state):
        """Let all other hosts consider a host to be in a state from now on."""
        for known_by in self.state_by_host.values():
            row = known_by.entries.get(name)
            row.state, row.heard_at = state, self.now
            known_by.note_view_change()

    def ask(self, host):
        """Let a request come that is to be sent again as often as is allowed."""
        number = next(self._numbers)
        seconds = (self.now - NOW).total_seconds()
        budget = self.budget_by_host[host]
        budget.earn("desk", self.now)
        self.seen.note_sent(seconds)
        self.seen.note_arrival(f"r{number}", seconds)
        while budget.spend("desk", self.now):
            self.seen.note_arrival(f"r{number}", seconds)
            self.sent_again[host] += 1

    def serve(self, seconds, per_second, happens=lambda: None):
        """Let requests come at random times to random hosts."""
        ends = self.now + seconds * SECOND
        while self.now < ends:
            self.now += self.random.expovariate(per_second) * SECOND
            happens()
            self.ask(self.random.choice(self.names))

    def assert_kept(self):
        """Check the rule in all windows."""
        worst = self.seen.worst()
        assert not worst.is_broken, worst


@pytest.mark.parametrize("per_second", [0.5, 3.0, 60.0])
@pytest.mark.parametrize("seed", range(5))
def test_hosts_that_are_killed_again_and_again_share_one_budget(seed, per_second):
    """Guards against targets that get the slack once for each life of a host."""
    hosts = Hosts(8, seed)

    def kill_some():
        if hosts.random.random() < 0.5 / per_second:
            for name in hosts.random.sample(hosts.names, hosts.random.randint(1, 8)):
                hosts.start(name)

    hosts.serve(40.0, per_second, kill_some)
    hosts.assert_kept()


def test_a_new_life_has_its_share_once_a_window_has_passed():
    hosts = Hosts(8)
    hosts.start("entry-0")
    hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] == 0
    hosts.now += 10 * SECOND
    hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] == 5


def test_a_host_that_knows_nobody_yet_has_no_share():
    """Guards against a host that takes the share of all others for its own."""
    hosts = Hosts(8)
    hosts.start("entry-0", ran_for=60 * SECOND, known=("entry-0",))
    hosts.state_by_host["entry-0"].knows_entries = False
    hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] == 0


def test_hosts_that_hear_each_other_no_more_take_no_larger_share():
    """Guards against each side of a cut that uses the slack of all."""
    hosts = Hosts(8)
    for name in hosts.names[1:]:
        hosts.note_state(name, events.HostState.DEAD)
    hosts.now += 60 * SECOND
    hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] == 5


def test_those_who_have_left_are_counted_for_a_window():
    """Guards against hosts that share anew what those that leave have just used."""
    hosts = Hosts(8)
    for name in hosts.names[4:]:
        hosts.note_state(name, events.HostState.LEFT)
    hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] == 5
    hosts.now += 11 * SECOND
    hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] == 5 + 10


@pytest.mark.parametrize("hosts_and_slack", [(370, 430.0), (41, 50.0), (77, 194.0)])
def test_hosts_whose_share_is_small_still_send_again(hosts_and_slack):
    """Guards against many hosts of which none ever sends a request again."""
    count, slack = hosts_and_slack
    hosts = Hosts(count, slack=slack)
    for _ in range(10):
        hosts.ask("entry-0")
    assert hosts.sent_again["entry-0"] >= 2


class Host:
    """One host whose prompts wait for room, and are asked for at engines' keepers."""

    def __init__(self, slack):
        self.core = gateways.make_gateway(slack)
        parts = (loadparts.Part.QUEUES, loadparts.Part.KEEPERS)
        choice = dict.fromkeys(parts, loadparts.Choice.ON)
        self.core.state.load_parts = loadparts.LoadParts(False, choice)
        names = tuple(f"llm-{number}" for number in range(1, 6))
        listed = tuple(gateways.make_target(name, "llm") for name in names)
        self.core.step(NOW, [targetlist.TargetsListed(listed)])
        self.now = NOW

    def begin(self):
        """Begin a prompt that is large enough to be asked for."""
        prompt = (kvstores.Part("a", 6_000), kvstores.Part("b", 6_000))
        return gateways.begin(self.core, "/chat/1", model="m", prompt=prompt)

    def answer(self, reason):
        """Let the keeper answer; return what follows."""
        said = ledgers.Answer(reason, SECOND / 10, 100, SECOND / 5)
        return self.core.forwarding.keeper_answered("r1", said, now=self.now)

    def end(self, ending):
        """Let the send end; return what follows."""
        return self.core.forwarding.ended("r1", ending, now=self.now)

    def turn_away(self):
        """Let the engine turn the send away; return what follows."""
        return self.end(sends.Ending.TURNED_AWAY)

    def until_woken(self):
        """Let ticks pass until the request that waits goes on; return how it does."""
        for _ in range(20):
            self.now += SECOND / 10
            emitted = self.core.step(self.now, [events.Tick()])
            if any(isinstance(item, sends.Resume) for item in emitted):
                return self.core.forwarding.resumed("r1", now=self.now)
        raise AssertionError("It still waits")

    def repeat_after_wait(self):
        """Let a prompt be turned away, wait, and be sent again; return the send."""
        assert isinstance(self.begin(), sends.AskKeeper)
        assert isinstance(self.answer(ledgers.Reason.GRANTED), sends.Forward)
        following = self.turn_away()
        while isinstance(following, sends.AskKeeper):
            following = self.answer(ledgers.Reason.MEMORY)
        assert isinstance(following, sends.Wait)
        assert isinstance(self.until_woken(), sends.AskKeeper)
        return self.answer(ledgers.Reason.GRANTED)


@pytest.fixture
def host():
    """Return a host that may send one request again."""
    return Host(slack=1.5)


def test_a_payment_for_a_send_that_a_keeper_was_asked_for_buys_no_second_one(host):
    """Guards against two repeats for each token where requests wait for an answer."""
    assert isinstance(host.repeat_after_wait(), sends.Forward)
    assert isinstance(host.turn_away(), sends.Wait)
    assert isinstance(host.until_woken(), commands.Refuse)


def test_a_payment_is_left_for_the_next_send_if_nothing_arrives(host):
    """Guards against a token that is spent although no target got a repeat for it."""
    assert isinstance(host.repeat_after_wait(), sends.Forward)
    following = host.end(sends.Ending.REFUSED)
    assert isinstance(following, sends.AskKeeper)
    assert isinstance(host.answer(ledgers.Reason.GRANTED), sends.Forward)


def test_what_a_request_paid_and_never_sent_is_there_for_others(host):
    """Guards against a budget that is spent by callers who leave while they wait."""
    assert isinstance(host.begin(), sends.AskKeeper)
    assert isinstance(host.answer(ledgers.Reason.GRANTED), sends.Forward)
    assert isinstance(host.end(sends.Ending.TURNED_AWAY), sends.AskKeeper)
    host.core.forwarding.close("r1", host.now)
    assert isinstance(host.repeat_after_wait(), sends.Forward)
