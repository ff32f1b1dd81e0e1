"""The decision logic of an entry host on a platform that lists its own targets."""

import dataclasses
import datetime

from sesamespindle.decide import (
    budgets,
    catalogue,
    coldtargets,
    commands,
    crashes,
    directory,
    evacuations,
    events,
    fingerprints,
    forwarding,
    gossip,
    kvstores,
    lease,
    membership,
    quarantine,
    rollout,
    routes,
    targetlist,
    weights,
    world,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """What the platform promises and asks for.

    Attributes
    ----------
    budget : budgets.BudgetRule
        Repeated sends.
    lease_time : datetime.timedelta
        How far apart the orders of two holders must lie.
    weights_within : datetime.timedelta
        Time from naming weights until no run begins on older ones.
    contact_time : datetime.timedelta
        How long a host that has started isn't held to such times.
    """

    budget: budgets.BudgetRule
    lease_time: datetime.timedelta = datetime.timedelta(seconds=3)
    weights_within: datetime.timedelta = datetime.timedelta(seconds=8)
    contact_time: datetime.timedelta = datetime.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """A version of the configuration, from the platform or a peer."""

    configuration: routes.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class BecameReady:
    """The host can serve for the first time; callers may be answered."""


class Gateway:
    """Everything that a daemon on the platform decides.

    Parameters
    ----------
    me : events.Host
        This daemon's own entry host.
    terms : Terms
        The platform's figures.
    policy : world.Policy, optional
        The numbers in force.
    seed : int
        The seed of all random choices.
    seeds : tuple of str
        Peer addresses to begin with.
    started_at : datetime.datetime, optional
        When the process was started.
    key : str
        The secret that all daemons share.
    """

    def __init__(
        self, me, terms, policy=None, seed=0, seeds=(), started_at=None, key=""
    ):
        self.state = world.World(me, policy, seed, started_at)
        # Peers and callers are told of this host once it can serve.
        self.state.put_entry(catalogue.me_as_entry(dataclasses.replace(me, url="")))
        self.weights = weights.Weights(
            self.state, terms.weights_within, terms.contact_time
        )
        self.stores = kvstores.KvStores(self.state)
        self.crashes = crashes.Crashes(self.state)
        self.quarantine = quarantine.Quarantine(self.state, self.crashes)
        self._cold_targets = coldtargets.ColdTargets(
            self.state, self.crashes, terms.contact_time
        )
        self.forwarding = forwarding.Forwarding(
            self.state,
            self.weights,
            self.stores,
            budgets.SharedBudgets(terms.budget),
            self.crashes,
            self.quarantine,
            fingerprints.Fingerprints(key),
            self._cold_targets,
        )
        self.membership = membership.Membership(
            self.state,
            seeds,
            store_relay=self.stores.relay,
            quarantine=self.quarantine,
        )
        self.lease = lease.Lease(
            self.state, terms.lease_time, self.membership.is_reachable
        )
        self.rollout = rollout.Rollout(self.state, self.weights, self.lease)
        self._targets = targetlist.TargetList(self.state)
        self._entries = catalogue.Catalogue(self.state)
        self._systems = (
            self._targets,
            evacuations.Evacuations(self.state),
            self.weights,
            self.stores,
            self.lease,
            self.rollout,
            self.crashes,
            self.quarantine,
        )

    def step(self, now, happened):
        """Take events in, in their order, and return the commands they lead to."""
        self.state.pauses.note_step(now)
        for event in happened:
            self._take(event, now)
        self.membership.tell_crashes(now)
        self._announce_when_ready(now)
        return self.state.take_commands()

    def is_ready(self):
        """Return whether requests can be served here."""
        return (
            self.forwarding.configuration is not None
            and len(self.state.targets) > 0
            and not self.state.leaving
        )

    def addresses(self, data_centre, now):
        """Return the addresses of entry hosts for a caller in a data centre."""

        def reachable(name):
            return self.membership.is_reachable(name, now)

        return directory.choose_addresses(self.state, data_centre, reachable)

    def _take(self, event, now):
        match event:
            case events.Tick():
                self._tick(now)
            case ConfigurationRead():
                self._adopt(event.configuration, now)
            case events.HostsListed():
                self._entries.list_entries(event.hosts, now)
            case gossip.GossipReceived():
                self.weights.hear(event.message.named, now)
                self.membership.receive(event, now)
            case gossip.GossipAnswered():
                self.weights.hear(event.message.named, now)
                self.membership.answered(event, now)
            case events.LeaveAsked():
                self.membership.leave(event, now)
                self.lease.give_back(now)
            case events.Ends():
                self.membership.end()
            case events.HasLeft():
                self.membership.has_left(now)
            case _:
                if not any(system.take(event, now) for system in self._systems):
                    raise TypeError(f"No system takes {event!r}.")

    def _adopt(self, configuration, now):
        """Put a configuration in force, unless a later one is.

        Guards against an old read, or a peer that is behind, taking a change
        back: the version only rises within one life of the process.
        """
        current = self.forwarding.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.forwarding.configuration = configuration
        self.state.service_names = frozenset(configuration.service_by_name)
        self.state.cold_start_by_service = configuration.cold_start_by_service
        self.stores.adopt(configuration)
        self.state.emit(commands.Note("configuration", str(configuration.version)))
        self.membership.spread(now)

    def _tick(self, now):
        if self.forwarding.configuration is None:
            # A host that the platform turns away asks peers at every tick.
            self.membership.spread(now)
        self.weights.tick(now)
        self.crashes.tick(now)
        self.quarantine.tick(now)
        self.membership.tick(now)
        self._targets.tick(now)
        self.lease.tick(now)
        self.rollout.tick(now)
        self.forwarding.tick(now)
        if self.lease.is_held(now):
            self.stores.free_replaced(self._salt_is_kept, now)

    def _announce_when_ready(self, now):
        """Have callers sent here from when requests can be served, not before.

        Guards against a host that has just started, knows no configuration
        because the platform turns it away, and refuses all that callers send.
        """
        me = self.state.entries.get(self.state.me.name)
        if me.url or not self.is_ready():
            return
        me.url = self.state.me.url
        self.state.note_view_change()
        self.state.emit(commands.Note("ready", me.name))
        self.state.emit(BecameReady())
        self.membership.spread(now)

    def _salt_is_kept(self, salt):
        """Return whether a salt may belong to weights that a target runs."""
        version, _, _ = salt.partition(".")
        if not version.isdigit():
            return False
        running = [
            known
            for row in self.state.targets
            for known in row.version_by_model.values()
        ]
        return not running or int(version) >= min(running)
