"""Simulates hosts that check the platform's store and tell each other what they know.

The store counts all changes by one revision. Reads, messages and hosts fail as a test
says; hosts are the real decision logic with a virtual clock.
"""

import dataclasses
import itertools
import random

import gateways
import places
import simulation

from sesamespindle.decide import (
    budgets,
    commands,
    eras,
    events,
    freshness,
    gateway,
    gossip,
    storechecks,
    world,
)

CONFIGURATION, TARGETS = "config", "servers"
BOUND_SECONDS = 2.0
_BOUND = BOUND_SECONDS * gateways.SECOND
KINDS = freshness.Kinds(
    {CONFIGURATION: _BOUND, TARGETS: _BOUND}, CONFIGURATION, TARGETS
)
_DELAY_SECONDS = (0.001, 0.01)
_READ_SECONDS = (0.004, 0.03)


def digest_of(revision):
    """Return the digest of a kind that was changed last at a revision; it rises."""
    return (revision.era << 32) + revision.number


class Store:
    """The store's revision, and that of the last change of each kind."""

    def __init__(self):
        self.era = 0
        self.number = 1
        self.changed_by_kind = dict.fromkeys(KINDS.bound_by_kind, self.revision)
        self.reads = 0

    def restore(self, lost):
        """Come back from a copy that lacks the last changes, in the next era.

        What was lost is written again at once, so that each kind has changed.
        """
        self.era += 1
        self.number = max(1, self.number - lost)
        for kind in self.changed_by_kind:
            self.change(kind)

    @property
    def revision(self):
        """The place of the last change of any kind."""
        return places.at(self.number, self.era)

    def change(self, kind):
        """Change an object of a kind."""
        self.number += 1
        self.changed_by_kind[kind] = self.revision


class Host:
    """A host, with what it knows of the store.

    Attributes
    ----------
    is_cut_off : bool
        Whether it exchanges nothing with its peers.
    is_stopped : bool
        Whether it doesn't run.
    """

    def __init__(self, fleet, core, me):
        self.fleet = fleet
        self.core = core
        self.me = me
        self.is_cut_off = False
        self.is_stopped = False

    @property
    def known(self):
        return self.core.state.freshness

    def read(self, kind, revision, proved_at):
        """Read a kind up to a revision; its digest is that of the last change."""
        changed = digest_of(self.fleet.store.changed_by_kind[kind])
        if self.known.note_read(kind, revision, changed, proved_at, "a check"):
            self.core.membership.request_round()

    def feed(self, *happened):
        """Take a step and carry out the resulting commands."""
        if self.is_stopped:
            return []
        emitted = self.core.step(self.fleet.time(), happened)
        for command in emitted:
            match command:
                case storechecks.CheckStore():
                    self.fleet.check(self, command)
                case commands.GossipTo():
                    self.fleet.send(self, command)
                case commands.ReadAgain():
                    self.fleet.catch_up(self, command)
        return emitted


class Fleet(simulation.Simulation):
    """Hosts in some data centres that all know the store's first revision.

    Parameters
    ----------
    seed : int
        The seed of all random choices, among them the phases of the hosts' ticks.
    hosts, data_centres : int
        The number of hosts, and of data centres that they alternate between.
    lost_tries : float
        The share of checks whose first try gets no answer.
    """

    def __init__(self, seed, hosts, data_centres=3, lost_tries=0.0):
        super().__init__()
        self.random = random.Random(seed)
        self.store = Store()
        self.lost_tries = lost_tries
        self.messages = 0
        self.lateness = []
        self._ids = itertools.count()
        self.hosts = [self._host(number, data_centres) for number in range(hosts)]
        self.host_by_address = {host.me.peer_address: host for host in self.hosts}
        for host in self.hosts:
            self._introduce(host)
            self.after(self.random.uniform(0.0, 0.1), self._tick, host)

    def _host(self, number, data_centres):
        address = f"10.0.{number // 200}.{number % 200}"
        me = events.Host(
            f"entry-{number}",
            "entry",
            f"dc-{number % data_centres}",
            f"{address}:80",
            f"{address}:81",
            "",
            1,
        )
        terms = gateway.PlatformLimits(budgets.BudgetRule(0.2, 50.0), kinds=KINDS)
        core = gateway.Gateway(me, terms, seed=number)
        return Host(self, core, me)

    def _introduce(self, host):
        for other in self.hosts:
            if other is not host:
                row = world.EntryRow(
                    other.me.name,
                    other.me.data_centre,
                    other.me.url,
                    other.me.peer_address,
                    "",
                    1,
                    events.HostState.LIVE,
                    heard_at=self.time(),
                )
                host.core.state.put_entry(row)
        host.core.state.knows_entries = True
        for kind in KINDS.bound_by_kind:
            host.read(kind, self.store.revision, self.time())

    def _tick(self, host):
        host.feed(events.Tick())
        self.after(0.1, self._tick, host)

    # The store.

    def check(self, host, command):
        """Answer a check after the time of one or two tries, and of the catch-up."""
        began = self.time()
        delay = self.random.uniform(*_READ_SECONDS)
        if self.random.random() < self.lost_tries:
            delay += command.try_timeout.total_seconds()
        self.after(delay, self._answer_check, host, command, began)

    def _answer_check(self, host, command, began):
        self.store.reads += 1
        if host.is_stopped:
            return
        host.feed(eras.EraSeen(self.store.era))
        behind = []
        for kind in KINDS.bound_by_kind:
            if host.known.revision(kind) >= self.store.revision:
                host.known.prove(kind, self.store.revision, began)
            elif kind in command.kinds:
                behind.append(kind)
        delay = self.random.uniform(*_READ_SECONDS) if behind else 0.0
        self.after(delay, self._end_check, host, behind, self.time())

    def _end_check(self, host, behind, began):
        for kind in behind:
            self.store.reads += 1
            host.read(kind, self.store.revision, began)
        host.feed(storechecks.CheckEnded(True))

    def catch_up(self, host, command):
        """Let a host get what a peer announced from that peer."""
        peer = self.host_by_address[command.peer_address]
        if peer.is_stopped or peer.is_cut_off or host.is_cut_off:
            return
        self.after(self.random.uniform(*_DELAY_SECONDS), self._adopt, host, peer)

    def _adopt(self, host, peer):
        for kind, theirs in peer.known.knowledge_by_kind.items():
            if theirs.revision > host.known.revision(kind):
                host.known.note_read(kind, theirs.revision, theirs.digest, None, "peer")
                host.core.membership.request_round()

    # Messages between hosts.

    def send(self, host, command):
        """Deliver a message and its answer."""
        peer = self.host_by_address.get(command.peer_address)
        self.messages += 1
        if peer is None or host.is_cut_off or peer.is_cut_off:
            return
        delay = self.random.uniform(*_DELAY_SECONDS)
        self.after(delay, self._receive, host, peer, command.message, self.time())

    def _receive(self, host, peer, message, began):
        if peer.is_stopped:
            return
        # A request's proofs don't count.
        known = tuple(
            freshness.KnownKind(item.kind, item.revision, item.digest, None)
            for item in message.known
        )
        received = gossip.GossipReceived(
            str(next(self._ids)), _with_known(message, known)
        )
        for emitted in peer.feed(received):
            if isinstance(emitted, commands.GossipReply):
                delay = self.random.uniform(*_DELAY_SECONDS)
                self.after(delay, self._answer, host, peer, emitted.message, began)

    def _answer(self, host, peer, message, began):
        # The age counts back from the time of the request.
        waited = self.time() - began
        known = tuple(
            freshness.KnownKind(
                item.kind,
                item.revision,
                item.digest,
                item.proved_at - waited if item.proved_at is not None else None,
            )
            for item in message.known
        )
        answered = gossip.GossipAnswered(
            peer.me.peer_address, _with_known(message, known)
        )
        host.feed(answered)

    # What a test sees.

    def restore(self, lost=30):
        """Bring the store back older now, and measure when each host knows of it."""
        self.store.restore(lost)
        self._measure(
            CONFIGURATION, self.store.changed_by_kind[CONFIGURATION], self.now
        )

    def change(self, kind):
        """Change a kind now, and measure how late each host knows of it."""
        self.store.change(kind)
        self._measure(kind, self.store.revision, self.now)

    def _measure(self, kind, revision, began):
        late = [
            host
            for host in self.hosts
            if not host.is_stopped
            and host.known.knowledge_by_kind[kind].digest < digest_of(revision)
        ]
        if late:
            self.after(0.01, self._measure, kind, revision, began)
        else:
            self.lateness.append(self.now - began)


def _with_known(message, known):
    return dataclasses.replace(message, known=known)
