"""Tests of the decisions about brittle targets."""

import collections
import itertools
import math
import random

import gateways
import pytest
from gateways import NOW, SECOND, make_gateway, make_target
from hypothesis import given, settings
from hypothesis import strategies as st

from sesamespindle.decide import events, gossip, sends, targetlist, targetsignals

_SIGNALS = targetsignals.TargetSignals(brittle=6.0)
_NO_SIGNALS = targetsignals.TargetSignals()
# How many requests a simulated target has room for, and how long it runs each.
_ROOM = 6
_WORK_SECONDS = 0.2


@pytest.fixture
def core():
    made = make_gateway()
    listed = tuple(make_target(f"desk-{n}") for n in (1, 2))
    made.step(NOW, [targetlist.TargetsListed(listed)])
    return made


def say(core, rejections, at=NOW):
    core.brittle.merge((gossip.BrittleService("desk", rejections, at),))


def begin(core, number, at=NOW):
    return gateways.begin(
        core, "/read/1", at, request_id=f"r{number}", deadline=at + 20 * SECOND
    )


def test_a_request_beyond_the_part_of_this_host_is_refused_at_once(core):
    """Guards against a brittle target that gets all that one host has."""
    say(core, 2.0)
    sent = [begin(core, number) for number in range(4)]
    assert sum(isinstance(command, sends.Forward) for command in sent) == 4 - 2


def test_the_word_of_one_target_holds_for_its_service(core):
    first = begin(core, 1)
    row = core.state.targets.get(first.target)
    core.brittle.note_answer(row.incarnation, _SIGNALS, "r1", NOW, NOW)
    assert core.brittle.is_brittle("desk")


def test_an_overtaken_answer_does_not_end_it(core):
    """Guards against an answer from before that comes after the first word."""
    incarnation = core.state.targets.get("desk-1").incarnation
    later = NOW + SECOND
    core.brittle.note_answer(incarnation, _SIGNALS, "r1", NOW, later)
    core.brittle.note_answer(incarnation, _NO_SIGNALS, "r2", NOW, later)
    assert core.brittle.is_brittle("desk")
    core.brittle.note_answer(incarnation, _NO_SIGNALS, "r3", later, later)
    assert not core.brittle.is_brittle("desk")


def test_a_peers_older_word_changes_nothing(core):
    say(core, 6.0, at=NOW)
    say(core, math.inf, at=NOW - SECOND)
    assert core.brittle.is_brittle("desk")
    say(core, math.inf, at=NOW + SECOND)
    assert not core.brittle.is_brittle("desk")


def test_the_end_for_one_service_leaves_what_is_known_of_another(core):
    """Guards against a target that is sent to at once after it turned one away."""
    say(core, 1.0)
    core.brittle.merge((gossip.BrittleService("llm", 1.0, NOW),))
    begin(core, 1)
    begin(core, 2)
    core.brittle.merge((gossip.BrittleService("llm", math.inf, NOW + SECOND),))
    assert not isinstance(begin(core, 3), sends.Forward)


def test_a_fallen_target_gets_no_requests_since_the_others_are_full(core):
    """Guards against requests that are lost at a fallen target with room."""
    say(core, 1.0)
    fallen = begin(core, 1).target
    core.forwarding.ended("r1", sends.Ending.LOST, now=NOW)
    core.forwarding.close("r1", NOW)
    other = begin(core, 2)
    assert other.target != fallen
    assert not isinstance(begin(core, 3), sends.Forward)


def test_few_hosts_send_to_one_target(core):
    """Guards against a part of less than one request for each host."""
    for number in range(40):
        core.state.put_entry(gateways.make_entry(f"entry-{number}"))
    for rejections, most in ((1.0, 1), (2.0, 1), (6.0, 3), (100.0, 8)):
        say(core, rejections, at=NOW + rejections * SECOND)
        row = core.state.targets.get("desk-1")
        assert len(core.brittle.senders([row], "desk")) == most


@settings(max_examples=60, deadline=None)
@given(
    st.integers(1, 8),
    st.integers(1, 12),
    st.lists(st.tuples(st.floats(0.0, 0.2), st.booleans()), max_size=120),
)
def test_one_host_has_no_more_turned_away_than_the_target_bears(
    rejections, room, happenings
):
    """Guards against falls where this host alone sends and is answered at once."""
    core = make_gateway()
    core.step(NOW, [targetlist.TargetsListed((make_target("desk-1"),))])
    say(core, float(rejections))
    now, there, rejected = NOW, [], []
    for number, (pause, ends) in enumerate(happenings):
        now += pause * SECOND
        if ends and there:
            core.forwarding.served(there.pop(0), now)
        if number == len(happenings) // 2:
            room = max(1, room // 2)
        command = begin(core, number, now)
        while isinstance(command, sends.Forward) and len(there) >= room:
            rejected.append(now)
            turned_away = sends.Ending.TURNED_AWAY
            command = core.forwarding.ended(f"r{number}", turned_away, now=now)
        if isinstance(command, sends.Forward):
            there.append(f"r{number}")
        else:
            core.forwarding.close(f"r{number}", now)
    assert all(
        sum(at <= other < at + SECOND for other in rejected) <= rejections
        for at in rejected
    )


class Hosts:
    """Hosts that send as much as they may to one brittle target.

    Attributes
    ----------
    names : list of str
        The names of the hosts.
    rejected_at : list of datetime.datetime
        When the target turned a request away.
    """

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._now = NOW
        self._numbers = itertools.count()
        self.names = [f"entry-{number}" for number in range(1, 7)]
        self._core_by_name = {name: self._make(name) for name in self.names}
        for core in self._core_by_name.values():
            say(core, _SIGNALS.brittle)
        # What is learned when: the time, the host that learns, and of which one.
        self._news = []
        self._unreached = set()
        # When each request at the target ends, its host and its id.
        self._running = collections.deque()
        self.rejected_at = []

    @property
    def most_rejected(self):
        """The most requests that the target turned away in a second."""
        return max(
            sum(at <= other < at + SECOND for other in self.rejected_at)
            for at in self.rejected_at
        )

    def _make(self, name):
        me = events.Host(name, "entry", "dc-1", f"{name}:80", f"{name}:81")
        core = make_gateway(me=me)
        for peer in self.names:
            if peer != name:
                core.state.put_entry(gateways.make_entry(peer))
        core.step(NOW, [targetlist.TargetsListed((make_target("desk-1"),))])
        return core

    def turn(self, names, unreached):
        """Have hosts say that they reach the service or not; others learn it later."""
        for name in names:
            said_at = self._now + self._random.uniform(0.0, 0.3) * SECOND
            for learner in self.names:
                way = 0.0 if learner == name else self._random.uniform(0.0, 0.9)
                self._news.append((said_at + way * SECOND, learner, name, unreached))

    def run(self, seconds):
        """Let hosts send for some time."""
        until = self._now + seconds * SECOND
        while self._now < until:
            self._now += 0.01 * SECOND
            self._learn()
            self._end()
            for name, core in self._core_by_name.items():
                core.brittle.tick(self._now)
                if name not in self._unreached and self._random.random() < 0.2:
                    self._send(name, core)

    def _learn(self):
        due = [item for item in self._news if item[0] <= self._now]
        self._news = [item for item in self._news if item[0] > self._now]
        for _, learner, name, unreached in due:
            state = self._core_by_name[learner].state
            state.entries.get(name).unreached = unreached
            state.note_view_change()
            if learner == name:
                self._unreached ^= {name}

    def _end(self):
        while self._running and self._running[0][0] <= self._now:
            _, core, request_id = self._running.popleft()
            core.forwarding.served(request_id, self._now)

    def _send(self, name, core):
        number = next(self._numbers)
        command = begin(core, number, self._now)
        while isinstance(command, sends.Forward):
            if len(self._running) < _ROOM:
                ends_at = self._now + _WORK_SECONDS * SECOND
                self._running.append((ends_at, core, f"r{number}"))
                return
            self.rejected_at.append(self._now)
            turned_away = sends.Ending.TURNED_AWAY
            command = core.forwarding.ended(f"r{number}", turned_away, now=self._now)
        core.forwarding.close(f"r{number}", self._now)


@pytest.mark.parametrize("seed", range(8))
def test_hosts_that_replace_others_have_no_more_turned_away_than_is_borne(seed):
    """Guards against falls by senders of both views, as paths are cut and restored."""
    hosts = Hosts(seed)
    hosts.run(3.0)
    for _ in range(2):
        hosts.turn(hosts.names[:3], ("desk",))
        hosts.run(3.0)
        hosts.turn(hosts.names[:3], ())
        hosts.run(4.0)
    assert hosts.most_rejected <= _SIGNALS.brittle
