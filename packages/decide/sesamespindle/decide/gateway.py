"""The decision logic of an entry host on a platform that publishes a target list."""

import dataclasses
import datetime

from sesamespindle.decide import (
    asking,
    brittle,
    budgets,
    cachesalts,
    candidates,
    carriers,
    catalogue,
    coldtargets,
    commands,
    contact,
    crashes,
    directory,
    eras,
    evacuations,
    events,
    fingerprints,
    forwarding,
    freshness,
    gossip,
    heldtargets,
    keepers,
    kvstores,
    learning,
    lease,
    ledgers,
    membership,
    originrecords,
    promptplacement,
    quarantine,
    reach,
    rollout,
    routes,
    senders,
    softwarerecords,
    storechecks,
    streamorigins,
    streamversions,
    targetlimits,
    targetlist,
    weights,
    world,
)

# How long a host that starts keeps its first configuration back until a peer has told
# which version is the latest. A peer that lives answers within some milliseconds.
_PEERS_ASKED_FOR = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Limits that the platform requires every host to keep.

    Attributes
    ----------
    budget : budgets.BudgetRule
        The retry budget of each service, for the whole fleet.
    lease_time : datetime.timedelta
        The least time between the last order to engines by one lease holder and the
        first order by the next.
    max_superseded_age : datetime.timedelta
        Time after the announcement of a weight version from which no run may
        begin on an older one.
    contact_time : datetime.timedelta
        Grace period after a host's start in which such limits don't apply to it,
        as it has yet to receive the current state.
    kinds : freshness.Kinds
        The platform's names for the kinds of object.
    """

    budget: budgets.BudgetRule
    lease_time: datetime.timedelta = datetime.timedelta(seconds=3)
    max_superseded_age: datetime.timedelta = datetime.timedelta(seconds=8)
    contact_time: datetime.timedelta = datetime.timedelta(seconds=3)
    kinds: freshness.Kinds = dataclasses.field(default_factory=freshness.Kinds)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The host has received a version of the configuration.

    It comes from the platform or from a peer.
    """

    configuration: routes.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class BecameReady:
    """The host can serve requests, for the first time since its start."""


class Gateway:
    """Makes all decisions of one daemon on the platform; does no input or output.

    Parameters
    ----------
    me : events.Host
        This daemon's own entry host.
    terms : Terms
        The platform's limits.
    policy : world.Policy, optional
        The timeouts and limits that operators set.
    seed : int
        The seed of all random choices.
    seeds : tuple of str
        Addresses of the first peers to contact.
    started_at : datetime.datetime, optional
        When the process was started.
    key : str
        The secret that all daemons share, for the fingerprints of requests.
    carry_port : int
        The port at which hosts accept requests that they carry for peers; 0 for none.
    """

    def __init__(
        self,
        me,
        terms,
        policy=None,
        seed=0,
        seeds=(),
        started_at=None,
        key="",
        carry_port=0,
    ):
        self.state = world.World(me, policy, seed, started_at)
        self._kinds = terms.kinds
        self._has_seeds = bool(seeds)
        # The first configuration until peers were asked, and since when it is known.
        self._first_configuration = None
        self._first_read_at = None
        # The URL stays empty until this host can serve; see `_announce_when_ready`.
        self.state.put_entry(catalogue.own_entry_row(dataclasses.replace(me, url="")))
        self.weights = weights.Weights(
            self.state, terms.max_superseded_age, terms.contact_time
        )
        self.stores = kvstores.KvStores(self.state)
        self.salts = cachesalts.CacheSalts()
        self.crashes = crashes.Crashes(self.state)
        self.quarantine = quarantine.Quarantine(self.state, self.crashes)
        ranks = senders.SenderRanks(self.state, terms.contact_time)
        self.target_limits = targetlimits.TargetLimits(self.state, ranks)
        self.held_targets = heldtargets.HeldTargets(self.state)
        prompt_placement = promptplacement.PromptPlacement(
            self.state, self.weights, self.stores, self.salts
        )
        self.reach = reach.Reach(self.state)
        self.brittle = brittle.BrittleTargets(self.state)
        self.store_checks = storechecks.StoreChecks(self.state, terms.kinds)
        self.stream_versions = streamversions.StreamVersions(
            self.state,
            bool(seeds),
            contact.Contact(self.state, terms.kinds.targets, self._is_reachable),
            softwarerecords.SoftwareRecords(self.state, terms.kinds.software),
        )
        self.origins = streamorigins.StreamOrigins(
            self.state,
            self.stream_versions,
            originrecords.OriginRecords(self.state, bool(terms.kinds.software)),
            self.store_checks,
        )
        self.carriers = carriers.Carriers(
            self.state, self.reach, self.brittle, self._is_reachable, carry_port
        )
        self.ledgers = ledgers.Ledgers()
        self.learning = learning.Learning(self.state)
        self.asking = asking.Asking(self.state, keepers.Keepers(self.state))
        self.budgets = budgets.SharedBudgets(terms.budget, self.state)
        self.forwarding = forwarding.Forwarding(
            self.state,
            self.weights,
            self.budgets,
            self.crashes,
            self.quarantine,
            fingerprints.Fingerprints(key),
            prompt_placement,
            self.target_limits,
            self.held_targets,
            candidates.Candidates(
                self.state,
                coldtargets.ColdTargets(self.state, self.crashes, ranks),
                self.target_limits,
                self.held_targets,
                prompt_placement,
                self.quarantine,
                self.reach,
                self.stream_versions,
                self.brittle,
            ),
            self.reach,
            self.carriers,
            self.brittle,
            self.origins,
            self.asking,
            self.learning,
        )
        self.membership = membership.Membership(
            self.state,
            seeds,
            store_relay=self.stores.relay,
            quarantine=self.quarantine,
            target_limits=self.target_limits,
            brittle_targets=self.brittle,
            stream_versions=self.stream_versions,
            store_checks=self.store_checks,
        )
        self.lease = lease.Lease(
            self.state, terms.lease_time, self.membership.is_reachable
        )
        self.rollout = rollout.Rollout(self.state, self.weights, self.lease)
        self._targets = targetlist.TargetList(self.state)
        self._evacuations = evacuations.Evacuations(self.state)
        self._entries = catalogue.Catalogue(self.state)
        self._components = (
            self.store_checks,
            self.stream_versions,
            self._targets,
            self._evacuations,
            self.weights,
            self.stores,
            self.lease,
            self.rollout,
            self.crashes,
            self.quarantine,
            self.reach,
            self.origins,
        )

    def step(self, now, happened):
        """Process events in order and return the resulting commands.

        Parameters
        ----------
        now : datetime.datetime
            The current time by the daemon's clock.
        happened : iterable
            Events of `events`, of this module and of the gateway's components.

        Returns
        -------
        commands : list
            Commands of the same modules, to be carried out in this order.

        Raises
        ------
        TypeError
            If no component handles an event.
        """
        self.state.pauses.note_step(now)
        for event in happened:
            self._handle(event, now)
        self.membership.gossip_crashes(now)
        self._activate_first(now)
        self._announce_when_ready(now)
        return self.state.take_commands()

    def is_ready(self):
        """Return whether this host can serve requests.

        It needs a configuration and at least one target, and must not be leaving.
        """
        return (
            self.forwarding.configuration is not None
            and len(self.state.targets) > 0
            and not self.state.leaving
        )

    def describe_configuration(self, now):
        """Return by which configuration this host decides now, for the log."""
        configuration = self.forwarding.configuration
        if configuration is None:
            return "No configuration is active."
        known = self.state.freshness.describe(self._kinds.configuration, now)
        return f"Configuration {configuration.version} is active, {known}."

    def describe_targets(self, now):
        """Return how recent the list of targets is, for the log."""
        known = self.state.freshness.describe(self._kinds.targets, now)
        return f"Targets are known {known}."

    def addresses(self, data_centre, now, caller=None):
        """Return the addresses of the entry hosts that a caller should use.

        Parameters
        ----------
        data_centre : str
            Where the caller is.
        now : datetime.datetime
            The current time.
        caller : str, optional
            The caller's address; without it the answer is the one for all callers.
        """

        def reachable(name):
            return self.membership.is_reachable(name, now)

        return directory.choose_addresses(
            self.state, data_centre, reachable, self.reach.is_isolated, caller
        )

    def _is_reachable(self, data_centre, now, span=None):
        return self.membership.is_reachable(data_centre, now, span)

    def _handle(self, event, now):
        match event:
            case events.Tick():
                self._tick(now)
            case ConfigurationRead():
                self._read_configuration(event.configuration, now)
            case events.HostsListed():
                self._entries.list_entries(event.hosts, now)
            case eras.EraSeen():
                self._note_era(event.era, now)
            case gossip.GossipReceived():
                self._note_era(event.message.store_era, now)
                self.weights.merge(event.message.named, now)
                self.membership.receive(event, now)
            case gossip.GossipAnswered():
                self._note_era(event.message.store_era, now)
                self.weights.merge(event.message.named, now)
                self.membership.receive_reply(event, now)
            case events.LeaveRequested():
                self.membership.leave(event, now)
                self.lease.release_for_good(now)
            case events.ShutdownStarted():
                self.membership.end()
            case events.DepartureFinished():
                self.membership.announce_departure(now)
            case _:
                if not any(
                    component.handle(event, now) for component in self._components
                ):
                    raise TypeError(
                        f"No component of the gateway handles the event {event!r}."
                    )

    def _note_era(self, era, now):
        """Have everything read again if the store has come back from an older copy.

        Guards against knowledge that a store with older content seems to prove, and
        against changes that seem to be late since their revisions count lower.
        """
        before = self.state.eras.current
        if not self.state.eras.note(era, now):
            return
        self.state.emit(eras.EraRaised(era))
        if not self.state.freshness.knowledge_by_kind:
            return
        self.state.eras.note_restored(now)
        self.state.freshness.void_proofs()
        restored = eras.StoreRestored(era)
        for component in self._components:
            component.handle(restored, now)
        self.state.emit(
            commands.Note("store_restored", f"era {era}", f"after era {before}")
        )
        self.state.emit(restored)
        self.membership.request_round()

    def _read_configuration(self, configuration, now):
        """Activate a configuration; keep the first one back until peers were asked.

        Guards against a host that starts just after the platform's store has come back
        from an older copy, and routes by a version that its peers have replaced.
        """
        if self.forwarding.configuration is not None:
            self._activate(configuration, now)
            return
        first = self._first_configuration
        if first is None:
            self._first_read_at = now
            self.membership.start_round(now)
        if first is None or configuration.version > first.version:
            self._first_configuration = configuration

    def _activate_first(self, now):
        first = self._first_configuration
        if first is not None and self._may_activate_first(now):
            self._first_configuration = None
            self._activate(first, now)

    def _may_activate_first(self, now):
        """Return whether no peer can have a higher version, as far as can be known.

        A peer that has just started too knows no more than the store, so only those
        that already work by a version count.
        """
        if self.state.eras.current == 0:
            return True
        if now - self._first_read_at >= _PEERS_ASKED_FOR:
            return True
        told = self.state.freshness.told_version(self._kinds.configuration)
        if told:
            return self._first_configuration.version >= told
        is_alone = self.state.knows_entries and len(self.state.entries) == 1
        return is_alone and not self._has_seeds

    def _activate(self, configuration, now):
        """Make a configuration the active one, unless its version is not higher.

        Guards against a stale read, or a peer that is behind, undoing a change.
        Requests would be routed and checked by the old configuration again. The
        active version only rises within one incarnation of the process.
        """
        current = self.forwarding.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.origins.note_change(current, configuration, now)
        self.forwarding.configuration = configuration
        self.state.freshness.note_in_force(
            self._kinds.configuration, configuration.version
        )
        self.state.service_names = frozenset(configuration.service_by_name)
        self.state.cold_start_by_service = configuration.cold_start_by_service
        self.stores.adopt(configuration)
        self.salts.adopt(configuration)
        self.state.emit(commands.Note("configuration", str(configuration.version)))
        self.membership.start_round(now)

    def _tick(self, now):
        if self.forwarding.configuration is None:
            # The platform may refuse to answer this host, but peers may have a
            # configuration.
            self.membership.start_round(now)
        self.weights.tick(now)
        self.crashes.tick(now)
        self.quarantine.tick(now)
        self.target_limits.tick(now)
        self.held_targets.tick(now)
        self.membership.tick(now)
        self.store_checks.tick(now)
        self._targets.tick(now)
        self._evacuations.tick(now)
        self.lease.tick(now)
        self.rollout.tick(now)
        self.brittle.tick(now)
        self.stream_versions.tick(now)
        self.origins.tick(self.forwarding.flight_by_request.values(), now)
        self.reach.tick(now)
        self.forwarding.tick(now)
        self.asking.tick(now)
        self.ledgers.tick(now)
        if self.lease.is_held(now):
            self.stores.frees.free_unused(self._salt_kept_for, now)

    def _announce_when_ready(self, now):
        """Publish this host's URL to peers and callers once it can serve requests.

        Guards against callers being directed to a host that has just started and
        has no configuration, because the platform refuses to answer it. The host
        would refuse all their requests. A host without a URL is in no list that
        callers get.
        """
        me = self.state.entries.get(self.state.me.name)
        if me.url or not self.is_ready():
            return
        me.url = self.state.me.url
        self.state.note_view_change()
        self.state.emit(commands.Note("ready", me.name))
        self.state.emit(BecameReady())
        self.membership.start_round(now)

    def _salt_kept_for(self, salt):
        """Return for how long an unused salt is kept; None if it may be in use."""
        running = [
            known
            for row in self.state.targets
            for known in row.version_by_model.values()
        ]
        return self.salts.kept_for(salt, min(running, default=None))
