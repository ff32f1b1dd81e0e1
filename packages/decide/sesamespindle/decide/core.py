"""The decision logic of a daemon, as a state machine from events to commands.

This one serves entries whose targets, contracts and pools an operator declares;
`gateway` serves entry hosts on a platform that lists its own targets.
"""

import datetime

from sesamespindle.decide import (
    admission,
    calls,
    catalogue,
    crashes,
    events,
    fingerprints,
    freshness,
    gossip,
    hashing,
    membership,
    prompts,
    quarantine,
    sliceholder,
    sliceowner,
    storechecks,
    world,
)

# The declarations count as one kind of object; its revision is theirs.
DECLARATIONS = "declarations"
# How long after its acknowledgement a change must be active on every entry.
_ACTIVE_WITHIN = datetime.timedelta(seconds=13)


class Core:
    """All decisions of one daemon; it does no input or output itself.

    Parameters
    ----------
    me : events.Host
        This daemon's own entry host.
    policy : world.Policy, optional
        The timeouts and limits to apply.
    seed : int
        The seed of all random choices.
    seeds : tuple of str
        Addresses of the first peers to contact while the platform is unavailable.
    key : str
        The secret that all daemons share, for the fingerprints of requests.
    """

    def __init__(self, me, policy=None, seed=0, seeds=(), key=""):
        self.state = world.World(me, policy, seed)
        self.state.put_entry(catalogue.own_entry_row(me))
        self._now = None
        self._catalogue = catalogue.Catalogue(self.state)
        self.slices = sliceholder.SliceHolder(self.state, self._usage)
        self.slice_owner = sliceowner.SliceOwner(self.state, self.slices)
        self._admission_by_resource = {
            resource: admission.Admission(self.state, resource, self.slices)
            for resource in events.Resource
        }
        # Declared targets restart under the same name and report no start time.
        self.crashes = crashes.Crashes(self.state, restarts_keep_name=True)
        # This platform stores no quarantine records; the hosts keep them in memory.
        self.quarantine = quarantine.Quarantine(
            self.state, self.crashes, stored_on_platform=False
        )
        self.prompts = prompts.Prompts(
            self.state,
            self._admission_by_resource[events.Resource.PROMPTS],
            self.crashes,
            self.quarantine,
            fingerprints.Fingerprints(key),
        )
        self.calls = calls.Calls(
            self.state,
            self._admission_by_resource[events.Resource.CALLS],
            self.crashes,
            self.quarantine,
            fingerprints.Fingerprints(key),
        )
        self.store_checks = storechecks.StoreChecks(
            self.state,
            freshness.Kinds({DECLARATIONS: _ACTIVE_WITHIN}, DECLARATIONS),
        )
        self.membership = membership.Membership(
            self.state,
            seeds,
            raises_incarnation=False,
            probes_at_start=False,
            quarantine=self.quarantine,
            store_checks=self.store_checks,
        )

    def step(self, now, happened):
        """Process events in order and return the resulting commands.

        Parameters
        ----------
        now : datetime.datetime
            The current time by the daemon's clock.
        happened : iterable
            The events, most of them records of `events`.

        Returns
        -------
        commands : list
            Records of `commands`, to be carried out in this order.
        """
        self._now = now
        self.state.pauses.note_step(now)
        for event in happened:
            self._handle(event, now)
        self.membership.gossip_crashes(now)
        return self.state.take_commands()

    def choose_entries(self, account, count):
        """Return the entries that an account's callers should use, best first.

        Rendezvous hashing gives each account its own few entries in each data
        centre. A burst of requests from one account then loads few entries, and
        each entry serves few accounts. Entries of the nearest data centre come
        first; those of the others follow as a fallback if it is lost.

        Parameters
        ----------
        account : str
            The account's name.
        count : int
            The most entries to return.

        Returns
        -------
        entries : list of world.EntryRow
            Live entries in reachable data centres.
        """
        live = [
            row
            for row in self.state.live_entries()
            if self.membership.is_reachable(row.data_centre, self._now)
        ]
        row_by_name = {row.name: row for row in live}
        ranked = [row_by_name[name] for name in hashing.rank(account, row_by_name)]
        ranked.sort(key=lambda row: self.state.distance(row.data_centre))
        return ranked[:count]

    def is_watcher(self):
        """Return whether this daemon is the one that watches the platform.

        The others of its data centre receive changes by gossip.
        """
        return self.membership.is_watcher()

    def models_of(self, account):
        """Return the `declared.Model` records that an account may use."""
        row = self.state.accounts.get(account)
        if row is None:
            return []
        return [model for model in self.state.models if prompts.may_use(row, model)]

    def _handle(self, event, now):
        match event:
            case events.PromptArrived():
                self.prompts.arrive(event, now)
            case events.CallArrived():
                self.calls.arrive(event, now)
            case events.FirstToken():
                self.prompts.first_token(event, now)
            case events.AttemptEnded():
                self.prompts.end_attempt(event, now)
                self.calls.end_attempt(event, now)
            case events.CallAnswered():
                self.calls.answered(event, now)
            case events.ClaimTaken():
                self.calls.claim_taken(event, now)
            case events.ClaimFound():
                self.calls.claim_found(event, now)
            case events.ClaimFailed():
                self.calls.claim_failed(event, now)
            case events.CallerLeft():
                self.prompts.leave(event.request_id, now)
            case events.Tick():
                self._tick(now)
            case _:
                self._handle_external(event, now)

    def _handle_external(self, event, now):
        """Process an event that comes from the platform, a target or a peer."""
        match event:
            case events.LoadReported():
                self._catalogue.report_load(event)
            case events.TargetLeaving():
                self._catalogue.leave(event.name)
            case events.HostsListed():
                self._catalogue.list_hosts(event, now)
            case events.DeclarationsAdopted():
                self._catalogue.adopt(event)
                self.membership.start_round(now)
            case gossip.GossipReceived():
                self.membership.receive(event, now)
            case gossip.GossipAnswered():
                self.membership.receive_reply(event, now)
            case events.LeaveRequested():
                self.membership.leave(event, now)
            case events.SlicesAsked():
                self.slice_owner.handle_asks(event, now)
            case events.SlicesGranted():
                self.slices.handle_grants(event, now)
                self.prompts.drain(now)
                self.calls.drain(now)
            case events.DepartureFinished():
                self.membership.announce_departure(now)
            case events.HoldingsAsked():
                self.slices.report_holdings(event, now)
            case events.HoldingsReported():
                self.slice_owner.handle_holdings(event, now)
            case _:
                if not self.store_checks.handle(event, now):
                    self.crashes.handle(event, now)

    def _tick(self, now):
        self.crashes.tick(now)
        self.quarantine.tick(now)
        self.membership.tick(now)
        self.store_checks.tick(now)
        self.slice_owner.tick(now)
        self.slices.tick(now)
        self.prompts.tick(now)
        self.calls.tick(now)

    def _usage(self, account, resource):
        """Return how many requests of an account run here, and how many are queued."""
        row = self.state.accounts.get(account)
        if row is None:
            return 0, 0
        waiting = self._admission_by_resource[resource].waiting(account)
        return row.usage_by_resource[resource].running, waiting
