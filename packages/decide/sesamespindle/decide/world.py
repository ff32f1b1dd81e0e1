"""The tables that all systems of one daemon's decision logic share."""

import collections
import dataclasses
import datetime
import random

from sesamespindle.decide import (
    commands,
    declared,
    departure,
    events,
    gossip,
    hashing,
    lives,
    namings,
    pauses,
    retries,
    routes,
    tables,
)

# A version that a target was seen to run is told in so many rounds of gossip: all of
# a data centre have heard it after some five, and each tells it on.
VERSION_ROUNDS = 10
# A record that was refuted is passed over for this long. Those of crashed targets
# lapse after three heartbeats of 1.2 s; after that it would be another writer's
# word against the target's own, and the target is asked again.
_REFUTED_FOR = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Numbers that operators may set for a process.

    Attributes
    ----------
    queue_patience : datetime.timedelta
        The longest that a request is expected to wait for a slot.
    first_token_patience : datetime.timedelta
        The longest expected time to first token that is still tried.
    resume_attempts : int
        How often a lost link to one stream is taken up again.
    max_attempts : int
        Starts of one request at targets, resumes not counted.
    call_timeout : datetime.timedelta
        The longest that a plain service may take.
    retry_after : datetime.timedelta
        When to come back, where nothing better is known.
    routing : str
        One of `routing.Routing`.
    grant_lifetime : datetime.timedelta
        How long an entry may use a slice of an account's limit. Longer than
        `suspect_after`, so that an owner knows who may be without one.
    suspect_after : datetime.timedelta
        Silence after which an entry is suspected; after twice that it is dead.
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
    """What an account uses here of one limit, and how long it usually holds it."""

    running: int = 0
    holding_time: datetime.timedelta = datetime.timedelta(seconds=1)


def _no_usage():
    return {resource: Usage() for resource in events.Resource}


@dataclasses.dataclass(slots=True)
class AccountRow:
    """A client account: its contract and what it uses here."""

    name: str
    contract: declared.Contract
    usage_by_resource: dict[events.Resource, Usage] = dataclasses.field(
        default_factory=_no_usage
    )


@dataclasses.dataclass(slots=True)
class SentWork:
    """Prompt tokens sent to a target whose first token hasn't come.

    Attributes
    ----------
    held_tokens : int
        Tokens of memory that the requests need until they end.
    """

    at: datetime.datetime
    tokens: int
    held_tokens: int = 0


@dataclasses.dataclass(slots=True)
class TargetRow:
    """One life of a target: what is declared, listed, reported and seen of it.

    Guards against a target that started again under its name and is still taken
    for what it was: placed by what it held, shunned for its failures, left alone
    as leaving. All of that stands in its row, and each life has a row of its own.
    """

    name: str
    pool: str
    kind: declared.TargetKind
    data_centre: str
    checks_fencing: bool
    url: str = ""
    listed: bool = False
    leaving: bool = False
    shunned_until: datetime.datetime | None = None
    failures: int = 0
    running_here: int = 0
    version: str = ""
    reported_at: datetime.datetime | None = None
    reported_backlog: int = 0
    prefill_rate: float = 20_000.0
    sent_by_request: dict[str, SentWork] = dataclasses.field(default_factory=dict)
    # What follows is kept of targets that the platform lists by incarnation.
    born: int = 0
    slots: int = 1
    revision: int = 0
    # The record's revision that last listed older weights than the one before it.
    fell_at_revision: int = 0
    missing_since: datetime.datetime | None = None
    # Whether its data centre is evacuated.
    evacuated: bool = False
    # Until when it bears few requests, the record's revision that told so, and when
    # this host last sent it one meanwhile.
    cold_until: datetime.datetime | None = None
    cold_revision: int = 0
    cold_sent_at: datetime.datetime | None = None
    # When nobody listened at its address.
    refused_at: datetime.datetime | None = None
    # The name of a target whose later record has the same address, or empty.
    superseded_by: str = ""
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    listed_version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    # Rounds of gossip in which its versions are still told, as they are news.
    version_rounds: int = 0
    # What it is thought to run after it refused what it was known to run.
    guessed_version: int | None = None
    switching_until: datetime.datetime | None = None
    reported_load: int = 0
    service_time: datetime.timedelta | None = None
    failure_rate: float = 0.0
    # Parts of prompts that this daemon had it read, least recently used first.
    read_parts: dict[tuple, int] = dataclasses.field(default_factory=dict)
    read_tokens: int = 0
    # Tokens of memory that requests from here need, by the request's id.
    held_by_request: dict[str, int] = dataclasses.field(default_factory=dict)
    # What peers have sent and told of, by the peer's name.
    peer_work_by_entry: dict[str, SentWork] = dataclasses.field(default_factory=dict)

    @property
    def life(self):
        """The `lives.Life` that this row is about."""
        return lives.Life(self.name, self.born)

    def learn_version(self, model, version):
        """Take in a version that the target was seen to run; it only rises."""
        if version > self.version_by_model.get(model, 0):
            self._set_version(model, version)

    def adopt_versions(self, version_by_model, revision):
        """Take in the versions of the target's own record.

        Guards against an engine that is taken for up to date for good: an order of
        before its restart is carried out late, its count of orders fits again, and
        the engine goes back to older weights. Only its own later record shows that.
        """
        before = self.listed_version_by_model
        self.listed_version_by_model = version_by_model
        for model, version in version_by_model.items():
            if version < before.get(model, 0):
                self.fell_at_revision = revision
                self._set_version(model, version)
            self.learn_version(model, version)

    def _set_version(self, model, version):
        self.version_by_model[model] = version
        self.guessed_version = None
        self.version_rounds = VERSION_ROUNDS

    def note_read(self, salt, parts, capacity):
        """Remember that the target holds parts now, and forget the oldest."""
        for part in parts:
            key = salt, part.part_id
            self.read_tokens -= self.read_parts.pop(key, 0)
            self.read_parts[key] = part.tokens
            self.read_tokens += part.tokens
        while self.read_tokens > capacity and self.read_parts:
            oldest = next(iter(self.read_parts))
            self.read_tokens -= self.read_parts.pop(oldest)

    @property
    def stays(self):
        """Whether the target is there, and is not to be emptied."""
        return self.listed and not self.leaving and not self.evacuated

    def usable(self, now):
        """Return whether the target may get new work."""
        if not self.stays or not self.url:
            return False
        return self.shunned_until is None or now >= self.shunned_until

    def backlog(self, now):
        """Return the prompt tokens that are expected to wait there.

        The report lags, so what was sent since it was taken is added, and
        what the target has worked off since then is taken away.
        """
        if self.reported_at is None:
            return sum(work.tokens for work in self.sent_by_request.values())
        since = (now - self.reported_at).total_seconds()
        left = max(0.0, self.reported_backlog - since * self.prefill_rate)
        added = sum(
            work.tokens
            for work in self.sent_by_request.values()
            if work.at > self.reported_at
        )
        return left + added


@dataclasses.dataclass(slots=True)
class EntryRow:
    """An entry host, by the list, by gossip, or by both."""

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


class World:
    """The state of one daemon, and the commands of the step under way.

    Parameters
    ----------
    me : events.Host
        This daemon's own entry host.
    policy : Policy
        The numbers in force.
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
        # How this host leaves, once it does.
        self.departure: departure.Departure | None = None
        # Whether the platform's list or a peer has told of the other entries.
        self.knows_entries = False
        # When an entry was last seen to be replaced by a new incarnation.
        self.replaced_at = None
        self.accounts: tables.Table[AccountRow] = tables.Table("name")
        self.models: tables.Table[declared.Model] = tables.Table("name", "pool")
        self.pools: tables.Table[declared.Pool] = tables.Table("name")
        self.targets: tables.Table[TargetRow] = tables.Table("name", "pool", "kind")
        self.entries: tables.Table[EntryRow] = tables.Table("name", "data_centre")
        self.budget_by_pool = collections.defaultdict(retries.RetryBudget)
        # The services that the configuration names; empty until there is one.
        self.service_names: frozenset[str] = frozenset()
        # What targets bear that have just started, by the service.
        self.cold_start_by_service: dict[str, routes.ColdStart] = {}
        # The data centres whose targets are to get nothing.
        self.evacuated_data_centres: frozenset[str] = frozenset()
        # The record's revision and when it was refuted, by the target's life.
        self._refuted_by_life = {}
        self.region_by_data_centre: dict[str, str] = {}
        # The latest change seen, and the revision up to which all are known,
        # by kind of object.
        self.seen_by_kind: dict[str, int] = {}
        self.covered_by_kind: dict[str, int] = {}
        self.namings = namings.Namings()
        self.pauses = pauses.Pauses(started_at)
        # The latest lease that its holder has given up, as heard.
        self.lease_release: gossip.LeaseRelease | None = None
        # Whether work was sent that peers are to hear of before the next round.
        self.tells_pending = False
        # Whether peers are to hear of a crash, and what follows, before the next round.
        self.tells_crashes = False
        # Rises with every change of the entries or their states.
        self.view = 0
        # Counts the places given in turn, where routing goes in turn.
        self.turn = 0
        self._out = []
        self._live_entries = None
        self._owner_by_account = {}

    def target_in(self, life):
        """Return the row of a target in a life of it, or None once that is over."""
        row = self.targets.get(life.name) if life is not None else None
        return row if row is not None and row.born == life.born else None

    def drop_target(self, name):
        """Take a target out; one that it superseded is used again."""
        self.targets.remove(name)
        for other in self.targets:
            if other.superseded_by == name:
                other.listed, other.superseded_by = True, ""

    def refute_target(self, row, now):
        """Take out a target that isn't at its address, as who is there has said.

        Its record may stand in the list for some heartbeats yet.
        """
        self.drop_target(row.name)
        self._refuted_by_life = {
            life: refuted
            for life, refuted in self._refuted_by_life.items()
            if now - refuted[1] <= _REFUTED_FOR
        }
        self._refuted_by_life[row.life] = row.revision, now
        self.emit(commands.Note("target_replaced", row.name, row.url))

    def is_refuted(self, life, revision, now):
        """Return whether a record is one that was shown to be wrong lately."""
        refuted, at = self._refuted_by_life.get(life, (0, now))
        return now - at <= _REFUTED_FOR and revision <= refuted

    @property
    def leaving(self):
        """Whether this host leaves."""
        return self.departure is not None

    def emit(self, command):
        """Add a command to those that the step returns."""
        self._out.append(command)

    def take_commands(self):
        """Return the commands emitted since the last call."""
        out, self._out = self._out, []
        return out

    def put_entry(self, row):
        """Add an entry, or replace what was known of it."""
        known = self.entries.get(row.name)
        if known is not None and _standing(known) == _standing(row):
            known.heartbeat = row.heartbeat
            known.heard_at = row.heard_at
            known.revision = row.revision
            return
        self.entries.add(row)
        self.note_view_change()

    def note_view_change(self):
        """Forget what was worked out from the entries and their states."""
        self.view += 1
        self._live_entries = None
        self._owner_by_account.clear()

    def owner(self, account):
        """Return the entry row of an account's owner, or None."""
        if account not in self._owner_by_account:
            rows_by_name = {row.name: row for row in self.live_entries()}
            name = hashing.first(account, rows_by_name)
            self._owner_by_account[account] = rows_by_name.get(name)
        return self._owner_by_account[account]

    def note_incarnation(self, name, incarnation, now):
        """Remember that an entry was replaced, if a higher incarnation shows it.

        An incarnation that said it had left has nothing running any more.
        """
        known = self.entries.get(name)
        if known is None or known.state is events.HostState.LEFT:
            return
        if 0 < known.incarnation < incarnation:
            self.replaced_at = now

    def live_entries(self):
        """Return the entries that may be given to callers, this one included."""
        if self._live_entries is None:
            self._live_entries = [
                entry for entry in self.entries if entry.state is events.HostState.LIVE
            ]
        return self._live_entries

    def distance(self, data_centre):
        """Return the rank of a data centre's distance: 0, 1 or 2."""
        if data_centre == self.me.data_centre:
            return 0
        region = self.region_by_data_centre.get(data_centre)
        here = self.region_by_data_centre.get(self.me.data_centre)
        return 1 if region == here else 2


def _standing(row):
    return row.incarnation, row.state, row.url, row.peer_address, row.data_centre
