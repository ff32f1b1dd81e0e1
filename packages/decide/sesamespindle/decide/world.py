"""The state that all parts of one daemon's decision logic share."""

import collections
import dataclasses
import datetime
import random

from sesamespindle.decide import (
    announcements,
    commands,
    declared,
    departure,
    eras,
    events,
    freshness,
    gossip,
    hashing,
    incarnations,
    loadparts,
    pauses,
    retries,
    revisions,
    routes,
    speeds,
    tables,
)

# The weight version that a target was seen to run is announced in this many gossip
# rounds. All hosts of a data centre have received it after about five, as each host
# forwards it.
VERSION_ROUNDS = 10
# A target's record that was refuted is ignored for this long. The record of a crashed
# target expires after three heartbeats of 1.2 s. If a refuted record is listed for
# longer, another writer renews it, in contradiction to the answer of the target at the
# address. Then requests are sent to the address again to find out which is right.
_REFUTED_FOR = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Limits that operators may set for a process.

    Attributes
    ----------
    queue_patience : datetime.timedelta
        A request is refused if its expected or actual wait for a slot is longer.
    first_token_patience : datetime.timedelta
        A prompt is refused if its expected time to first token is longer.
    resume_attempts : int
        How often the connection to one stream is resumed after it was lost.
    max_attempts : int
        How often one request is started at targets; resumes don't count.
    call_timeout : datetime.timedelta
        The longest time that a plain service may take to answer.
    retry_after : datetime.timedelta
        The retry delay that callers are given if no better one is known.
    routing : str
        A value of `routing.Routing`.
    grant_lifetime : datetime.timedelta
        How long an entry may use a slice of an account's limit. It is longer than
        `suspect_after`, so that an owner suspects an unreachable entry, and reserves
        the fallback share for it, before the slice of that entry expires.
    suspect_after : datetime.timedelta
        How long an entry must be silent to be suspected. After twice this time it is
        considered dead.
    """

    queue_patience: datetime.timedelta = datetime.timedelta(seconds=2)
    first_token_patience: datetime.timedelta = datetime.timedelta(seconds=30)
    resume_attempts: int = 4
    max_attempts: int = 4
    call_timeout: datetime.timedelta = datetime.timedelta(seconds=30)
    retry_after: datetime.timedelta = datetime.timedelta(seconds=1)
    routing: str = "expected_first_token"
    grant_lifetime: datetime.timedelta = datetime.timedelta(seconds=7)
    suspect_after: datetime.timedelta = datetime.timedelta(seconds=5)


@dataclasses.dataclass(slots=True)
class Usage:
    """An account's use of one limit at this host.

    Attributes
    ----------
    running : int
        The requests that run now.
    holding_time : datetime.timedelta
        How long a request usually occupies a slot.
    """

    running: int = 0
    holding_time: datetime.timedelta = datetime.timedelta(seconds=1)


def _no_usage():
    return {resource: Usage() for resource in events.Resource}


@dataclasses.dataclass(slots=True)
class AccountRow:
    """A client account: its contract and its use of the limits at this host."""

    name: str
    contract: declared.Contract
    usage_by_resource: dict[events.Resource, Usage] = dataclasses.field(
        default_factory=_no_usage
    )


@dataclasses.dataclass(slots=True)
class SentWork:
    """Prompts sent to a target that has not returned their first token.

    Attributes
    ----------
    at : datetime.datetime
        When they were sent.
    tokens : int
        The prompt tokens to prefill.
    held_tokens : int
        The tokens of KV cache that the requests occupy until they end.
    """

    at: datetime.datetime
    tokens: int
    held_tokens: int = 0


@dataclasses.dataclass(slots=True)
class TargetRow:
    """One incarnation of a target: what is declared, listed, reported and observed.

    Guards against a target that restarts under its name and is treated by the state
    that it had before: it would get prompts for a KV cache that it lost, stay ejected
    for earlier failures, or get no work as it was leaving. All of this state is in the
    row, and each incarnation has a row of its own.
    """

    name: str
    pool: str
    kind: declared.TargetKind
    data_centre: str
    checks_fencing: bool
    url: str = ""
    listed: bool = False
    leaving: bool = False
    ejected_until: datetime.datetime | None = None
    failures: int = 0
    running_here: int = 0
    version: str = ""
    reported_at: datetime.datetime | None = None
    reported_backlog: int = 0
    prefill_rate: float = 20_000.0
    sent_by_request: dict[str, SentWork] = dataclasses.field(default_factory=dict)
    # The fields below are used for targets that the platform lists by incarnation.
    # `born` is the start time of the incarnation, in milliseconds since the epoch.
    born: int = 0
    slots: int = 1
    # The version of its software, not of its weights; empty if it isn't known.
    software: str = ""
    revision: revisions.Revision = revisions.NEVER
    # The latest revision of the target's record that listed an older weight version
    # than the revision before it.
    fell_at_revision: revisions.Revision = revisions.NEVER
    missing_since: datetime.datetime | None = None
    # Whether its record may have lapsed while the platform was unavailable.
    may_have_lapsed: bool = False
    # Whether its data centre is evacuated.
    evacuated: bool = False
    # Until when the target warms up and gets few requests, the revision of its record
    # that said so, and when this host last sent it a request during the warm-up.
    cold_until: datetime.datetime | None = None
    cold_revision: revisions.Revision = revisions.NEVER
    cold_sent_at: datetime.datetime | None = None
    # When this host last received anything from the target, since when it doubts that
    # it reaches the target, when it probes it again, and how often that failed.
    heard_at: datetime.datetime | None = None
    doubted_at: datetime.datetime | None = None
    recheck_at: datetime.datetime | None = None
    failed_probes: int = 0
    # When a connection to its address was last refused.
    refused_at: datetime.datetime | None = None
    # The name of the target whose later record has the same address; empty if none.
    superseded_by: str = ""
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    listed_version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    # Gossip rounds in which its weight versions are still announced.
    version_rounds: int = 0
    # The weight version that it probably runs, after it refused requests for the one
    # that it was known to run.
    guessed_version: int | None = None
    # The latest version that it was said to run and that was never announced.
    disbelieved_version: int | None = None
    loading_until: datetime.datetime | None = None
    reported_load: int = 0
    service_time: datetime.timedelta | None = None
    failure_rate: float = 0.0
    # The tokens of the prompt parts (shared prefix segments) that the target prefilled
    # for this daemon, by salt and part id, least recently used first.
    cached_parts: dict[tuple, int] = dataclasses.field(default_factory=dict)
    cached_tokens: int = 0
    # The tokens of KV cache that requests from this host occupy, by request id.
    held_by_request: dict[str, int] = dataclasses.field(default_factory=dict)
    # The work that peers have sent to the target and announced, by the peer's name.
    peer_work_by_entry: dict[str, SentWork] = dataclasses.field(default_factory=dict)
    # What was learned of its speed; None where `loadparts.Part.KEEPERS` is off.
    learned: speeds.Learned | None = None

    @property
    def incarnation(self):
        """The incarnation of the target that this row describes."""
        return incarnations.TargetIncarnation(self.name, self.born)

    def learn_version(self, model, version):
        """Record a weight version that the target was seen to run; it only rises."""
        if version > self.version_by_model.get(model, 0):
            self._set_version(model, version)

    def adopt_versions(self, version_by_model, revision):
        """Adopt the weight versions of the target's own record.

        Guards against an engine that has gone back to older weights and is considered
        up to date for good. This happens if the engine carries out a load order late
        that was given before its restart: its count of orders matches again, and only
        a later record of the engine shows the older weights. So the versions of its
        record may fall, unlike those that hosts observe. They don't fall by the first
        record of an era, as the store may have come back with an older one.

        Parameters
        ----------
        version_by_model : dict of str to int
            The weight version of each model that the record lists.
        revision : revisions.Revision
            The revision of the record.
        """
        before = self.listed_version_by_model
        if revision.era > self.revision.era:
            version_by_model = {
                model: max(version, before.get(model, 0))
                for model, version in version_by_model.items()
            }
        self.listed_version_by_model = version_by_model
        for model, version in version_by_model.items():
            if version < before.get(model, 0):
                self.fell_at_revision = revision
                self._set_version(model, version)
            self.learn_version(model, version)

    def doubt_version(self, model, version):
        """Go back to the version of the target's record, as it doesn't run this one.

        Guards against a target that is lost for good: a version that was seen only
        rises, so that one which was told wrongly would be expected of it in vain.
        """
        listed = self.listed_version_by_model.get(model, 1)
        if self.version_by_model.get(model) == version and listed < version:
            self._set_version(model, listed)

    def _set_version(self, model, version):
        self.version_by_model[model] = version
        self.guessed_version = None
        self.version_rounds = VERSION_ROUNDS

    def note_cached(self, salt, parts, capacity):
        """Record prompt parts that the target caches, and drop those used longest ago.

        Parameters
        ----------
        salt : str
            The cache salt that the parts are cached under.
        parts : sequence
            Prompt parts with `part_id` and `tokens`.
        capacity : int
            The KV cache capacity of the target, in tokens.
        """
        for part in parts:
            key = salt, part.part_id
            self.cached_tokens -= self.cached_parts.pop(key, 0)
            self.cached_parts[key] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached_tokens > capacity and self.cached_parts:
            oldest = next(iter(self.cached_parts))
            self.cached_tokens -= self.cached_parts.pop(oldest)

    @property
    def stays(self):
        """Whether the target is listed and is neither leaving nor evacuated."""
        return self.listed and not self.leaving and not self.evacuated

    def usable(self, now):
        """Return whether the target may get new work: it stays and isn't ejected."""
        if not self.stays or not self.url:
            return False
        return self.ejected_until is None or now >= self.ejected_until

    def backlog(self, now):
        """Return the number of prompt tokens that probably wait at the target.

        The load report lags. So the tokens that this host sent after it are added, and
        those that the target has prefilled since, by its prefill rate, are subtracted.
        """
        if self.reported_at is None:
            return sum(work.tokens for work in self.sent_by_request.values())
        elapsed = (now - self.reported_at).total_seconds()
        remaining = max(0.0, self.reported_backlog - elapsed * self.prefill_rate)
        added = sum(
            work.tokens
            for work in self.sent_by_request.values()
            if work.at > self.reported_at
        )
        return remaining + added


@dataclasses.dataclass(slots=True)
class EntryRow:
    """An entry host, known from the platform's list, from gossip, or from both.

    Attributes
    ----------
    unreached : tuple of str
        The services of which the host reaches no target, as it says itself.
    capacity : int
        What the host can carry, in thousandths of a core; 0 if it isn't known.
    """

    name: str
    data_centre: str
    url: str
    peer_address: str
    admin_url: str
    incarnation: int
    state: events.HostState
    heartbeat: int = 0
    heard_at: datetime.datetime | None = None
    revision: int = 0
    unreached: tuple[str, ...] = ()
    capacity: int = 0


class World:
    """The state of one daemon, and the commands of the current step.

    Parameters
    ----------
    me : events.Host
        This daemon's own entry host.
    policy : Policy, optional
        The operators' limits; the defaults if None.
    seed : int
        The seed of the only source of randomness.
    started_at : datetime.datetime, optional
        When the process was started.
    """

    def __init__(self, me, policy=None, seed=0, started_at=None):
        self.me = me
        self.policy = policy or Policy()
        self.random = random.Random(seed)
        self.revision = 0
        self.declarations = declared.Declarations()
        # How this host leaves; None until it does.
        self.departure: departure.Departure | None = None
        # Whether the other entries are known, from the platform's list or from a peer.
        self.knows_entries = False
        # When an entry was last seen to have been replaced by a new incarnation.
        self.replaced_at = None
        self.accounts: tables.Table[AccountRow] = tables.Table("name")
        self.models: tables.Table[declared.Model] = tables.Table("name", "pool")
        self.pools: tables.Table[declared.Pool] = tables.Table("name")
        self.targets: tables.Table[TargetRow] = tables.Table("name", "pool", "kind")
        self.entries: tables.Table[EntryRow] = tables.Table("name", "data_centre")
        self.budget_by_pool = collections.defaultdict(retries.RetryBudget)
        # The services of the configuration; empty until there is a configuration.
        self.service_names: frozenset[str] = frozenset()
        # The reduced load that targets get while they warm up, by service.
        self.cold_start_by_service: dict[str, routes.ColdStart] = {}
        # The data centres whose targets get no requests.
        self.evacuated_data_centres: frozenset[str] = frozenset()
        # When the platform's store was last available again; None if it never was away.
        self.platform_back_at: datetime.datetime | None = None
        # The revision of a refuted record, and when it was refuted, by incarnation.
        self._refuted_by_incarnation = {}
        self.region_by_data_centre: dict[str, str] = {}
        # Which parts for hard load the deployment calls for.
        self.load_parts = loadparts.LoadParts()
        self.eras = eras.Eras()
        self.freshness = freshness.Freshness(self.eras)
        self.announcements = announcements.Announcements()
        self.pauses = pauses.Pauses(started_at)
        # The latest known release of the lease by its holder.
        self.lease_release: gossip.LeaseRelease | None = None
        # Whether work was sent that must be announced before the next gossip round.
        self.must_announce_pending = False
        # Whether something has changed that peers must hear at the next tick.
        self.must_start_round = False
        # Whether a crash, a clearing or a quarantine must be announced before the next
        # gossip round.
        self.must_announce_crashes = False
        # Rises with every change of the entries or their states.
        self.view = 0
        # Counts the placements by round-robin routing.
        self.turn = 0
        self._emitted = []
        self._live_entries = None
        self._owner_by_account = {}

    def target_in(self, incarnation):
        """Return the row of a target's incarnation, or None if it isn't current."""
        row = self.targets.get(incarnation.name) if incarnation is not None else None
        return row if row is not None and row.born == incarnation.born else None

    def drop_target(self, name):
        """Remove a target; one that it superseded is used again."""
        self.targets.remove(name)
        for other in self.targets:
            if other.superseded_by == name:
                other.listed, other.superseded_by = True, ""

    def refute_target(self, row, now):
        """Remove a target after another one answered at its address.

        The record may stay in the platform's list for some heartbeats. It is ignored
        for `_REFUTED_FOR`.
        """
        self.drop_target(row.name)
        self._refuted_by_incarnation = {
            incarnation: refuted
            for incarnation, refuted in self._refuted_by_incarnation.items()
            if now - refuted[1] <= _REFUTED_FOR
        }
        self._refuted_by_incarnation[row.incarnation] = row.revision, now
        self.emit(commands.Note("target_replaced", row.name, row.url))

    def is_refuted(self, incarnation, revision, now):
        """Return whether a target's record was refuted recently.

        Guards against a crashed target that gets requests again: its record is still
        listed for some heartbeats and would add the target back. A record of a later
        revision or incarnation isn't refuted.
        """
        never = revisions.NEVER, now
        refuted_revision, at = self._refuted_by_incarnation.get(incarnation, never)
        return now - at <= _REFUTED_FOR and revision <= refuted_revision

    def was_refuted_before(self, incarnation, revision, now):
        """Return whether a target's record was refuted recently, in an earlier era."""
        never = revisions.NEVER, now
        refuted_revision, at = self._refuted_by_incarnation.get(incarnation, never)
        is_earlier = revisions.NEVER != refuted_revision < revision
        return (
            is_earlier
            and refuted_revision.era < revision.era
            and now - at <= _REFUTED_FOR
        )

    @property
    def leaving(self):
        """Whether this host is leaving."""
        return self.departure is not None

    def emit(self, command):
        """Add a command to those that the current step returns."""
        self._emitted.append(command)

    def take_commands(self):
        """Return the commands emitted since the last call."""
        emitted, self._emitted = self._emitted, []
        return emitted

    def put_entry(self, row):
        """Add an entry, or replace its row."""
        known = self.entries.get(row.name)
        if known is not None and _identity_of(known) == _identity_of(row):
            known.heartbeat = row.heartbeat
            known.heard_at = row.heard_at
            known.revision = row.revision
            return
        self.entries.add(row)
        self.note_view_change()

    def note_view_change(self):
        """Invalidate what is cached of the entries and their states."""
        self.view += 1
        self._live_entries = None
        self._owner_by_account.clear()

    def owner(self, account):
        """Return the entry row of the owner of an account's limits, or None.

        The owner is the live entry that rendezvous hashing prefers for the account.
        """
        if account not in self._owner_by_account:
            rows_by_name = {row.name: row for row in self.live_entries()}
            name = hashing.first(account, rows_by_name)
            self._owner_by_account[account] = rows_by_name.get(name)
        return self._owner_by_account[account]

    def note_incarnation(self, name, incarnation, now):
        """Record that an entry was replaced, if its incarnation has risen.

        It doesn't count if the earlier incarnation announced that it had left, as then
        nothing of it runs any more.
        """
        known = self.entries.get(name)
        if known is None or known.state is events.HostState.LEFT:
            return
        if 0 < known.incarnation < incarnation:
            self.replaced_at = now

    def live_entries(self):
        """Return the entries in state `LIVE`, including this one."""
        if self._live_entries is None:
            self._live_entries = [
                entry for entry in self.entries if entry.state is events.HostState.LIVE
            ]
        return self._live_entries

    def reaching_entries(self):
        """Return the live entries that reach all services, by their own word.

        If no entry does, it is the services that are lost, and all are returned.
        """
        rows = [row for row in self.live_entries() if not row.unreached]
        return rows or self.live_entries()

    def is_cut(self):
        """Return whether other live entries reach what this host doesn't."""
        me = self.entries.get(self.me.name)
        return me.unreached and any(not row.unreached for row in self.live_entries())

    def distance(self, data_centre):
        """Return how far a data centre is from this host's.

        Returns
        -------
        distance : int
            0 for the same data centre, 1 for another one of the region, 2 for another
            region.
        """
        if data_centre == self.me.data_centre:
            return 0
        region = self.region_by_data_centre.get(data_centre)
        here = self.region_by_data_centre.get(self.me.data_centre)
        return 1 if region == here else 2


def _identity_of(row):
    return (
        row.incarnation,
        row.state,
        row.url,
        row.peer_address,
        row.data_centre,
        row.unreached,
    )
