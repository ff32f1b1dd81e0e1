"""Updates of the shared tables from declarations, host lists and load reports."""

import dataclasses
import datetime

from sesamespindle.decide import commands, events, world

# How long a target is ejected after its first failure.
_FIRST_EJECTION = datetime.timedelta(milliseconds=500)
_MAX_EJECTION_DOUBLINGS = 5


class Catalogue:
    """Adopts declarations, listed hosts and load reports into the shared tables.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state

    def adopt(self, event):
        """Activate a revision of the declarations, if it is higher than the active one.

        Guards against a stale read of the platform, or a stale peer, that reverts a
        change, so that an account may do what its contract no longer allows. Other
        revisions are ignored, and revision numbers come only from the head: the one
        platform object that lists the active documents. Its number only rises.
        """
        state = self._state
        if event.revision <= state.revision:
            return
        state.revision = event.revision
        state.declarations = event.declarations
        self._adopt_accounts(event.declarations)
        self._adopt_targets(event.declarations)
        _replace_all(state.models, event.declarations.models)
        _replace_all(state.pools, event.declarations.pools)
        state.region_by_data_centre = {
            row.name: row.region for row in event.declarations.data_centres
        }
        state.emit(commands.Note("revision", str(event.revision)))

    def _adopt_accounts(self, declarations):
        accounts = self._state.accounts
        contract_by_account = {row.account: row for row in declarations.contracts}
        for name in [row.name for row in accounts]:
            if name not in contract_by_account:
                accounts.remove(name)
        for name, contract in contract_by_account.items():
            row = accounts.get(name)
            if row is None:
                accounts.add(world.AccountRow(name, contract))
            else:
                row.contract = contract

    def _adopt_targets(self, declarations):
        targets = self._state.targets
        pool_by_name = {pool.name: pool for pool in declarations.pools}
        declared_names = {target.name for target in declarations.targets}
        for name in [row.name for row in targets]:
            if name not in declared_names:
                targets.remove(name)
        for target in declarations.targets:
            kind = pool_by_name[target.pool].kind
            row = targets.get(target.name)
            if row is not None and (row.pool, row.kind) == (target.pool, kind):
                row.checks_fencing = target.checks_fencing
                row.data_centre = target.data_centre
                continue
            targets.add(
                world.TargetRow(
                    target.name,
                    target.pool,
                    kind,
                    target.data_centre,
                    target.checks_fencing,
                )
            )

    def list_hosts(self, event, now):
        """Adopt the platform's list of hosts, which may lag."""
        state = self._state
        state.knows_entries = True
        listed_names = set()
        for host in event.hosts:
            listed_names.add(host.name)
            if host.role == "entry":
                self._list_entry(host, now)
            else:
                self._list_target(host)
        for row in state.targets:
            if row.name not in listed_names:
                row.listed = False

    def list_entries(self, hosts, now):
        """Adopt a list of entry hosts; targets don't change."""
        self._state.knows_entries = True
        for host in hosts:
            self._list_entry(host, now)

    def _list_target(self, host):
        row = self._state.targets.get(host.name)
        if row is None:
            return
        if row.url != host.url:
            row.url = host.url
            row.leaving = False
            row.ejected_until = None
            row.failures = 0
        row.listed = host.state is not events.HostState.DEAD
        if host.state is events.HostState.LEAVING:
            self.leave(host.name)

    def _list_entry(self, host, now):
        """Add an entry, or a later incarnation of one, that isn't in the table yet.

        A row of the same or a later incarnation stays as it is: gossip keeps it up to
        date, and is more recent than the platform's list.
        """
        entries = self._state.entries
        known = entries.get(host.name)
        if known is not None and known.incarnation >= host.incarnation:
            return
        self._state.put_entry(
            world.EntryRow(
                host.name,
                host.data_centre,
                host.url,
                host.peer_address,
                host.admin_url,
                host.incarnation,
                host.state,
                heard_at=now,
            )
        )

    def leave(self, name):
        """Mark a target as leaving, so that it gets no new work."""
        row = self._state.targets.get(name)
        if row is None or row.leaving:
            return
        row.leaving = True
        self._state.emit(commands.Note("target_leaving", name))

    def report_load(self, event):
        """Adopt a load report, unless a later one was adopted before.

        Guards against reports that arrive out of order, so that the older one hides a
        queue at the target.
        """
        row = self._state.targets.get(event.target)
        if row is None:
            return
        if row.reported_at is not None and event.as_of < row.reported_at:
            return
        row.reported_at = event.as_of
        row.reported_backlog = event.backlog_tokens
        row.prefill_rate = max(event.prefill_rate, 1.0)
        row.version = event.version


def note_failure(state, row, now):
    """Eject a target that has just failed; the time doubles with each failure."""
    row.failures += 1
    doublings = min(row.failures - 1, _MAX_EJECTION_DOUBLINGS)
    row.ejected_until = now + _FIRST_EJECTION * 2**doublings
    state.emit(commands.Note("target_failed", row.name, f"{row.failures} in a row"))


def note_success(row):
    """Reset a target's failures and end its ejection."""
    row.failures = 0
    row.ejected_until = None


def _replace_all(table, rows):
    names = {row.name for row in rows}
    for name in [row.name for row in table]:
        if name not in names:
            table.remove(name)
    for row in rows:
        table.add(row)


def own_entry_row(me):
    """Return the entry row of this daemon, from its `events.Host`."""
    fields = dataclasses.asdict(me)
    del fields["role"]
    return world.EntryRow(**fields)
