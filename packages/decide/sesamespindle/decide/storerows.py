"""What a host knows of each KV store, and how long it may be used.

A prompt part is a segment of a prompt; all but a prompt's last part may be shared as a
prefix by other prompts. A store keeps the KV cache of a part under a salt, which stands
for the weights that computed it and for the accounts that share it.

A fetch names neither the start of a store that it relies on nor what the store held
then, and the store checks nothing. So what is known of a store is leased: it is used
for fetches that end within `LEASE` after the store's own answer, by the engines' clock,
and nobody has a part saved within `LEASE` after it learnt that the store holds less
than was known of it. A host may not have learnt that the store held a part at all, and
have it saved just after the store has lost it. So a part is fetched only once the store
has answered again after all saves that were planned without knowledge of it had begun.
"""

import dataclasses
import datetime

# How long after a store's answer a fetch may rely on it. A host that knows the store by
# gossip alone gets an answer up to 2.8 s late: a follower asks every 1.2 s, and four
# gossip rounds of 0.4 s propagate the answer through a data centre of 40 hosts.
LEASE = datetime.timedelta(seconds=4)
# The oldest answer of a store by which a part is saved there.
_SAVE_BY_ANSWER_WITHIN = datetime.timedelta(seconds=1)
# How long a planned save may take until its engine reserves the space.
_SAVE_TRANSIT = datetime.timedelta(seconds=0.3)
# A part is fetched once the store has answered this long after the answer that showed
# it: by then each save has begun that another host planned without knowing the part.
SETTLED_AFTER = _SAVE_BY_ANSWER_WITHIN + _SAVE_TRANSIT
_MILLISECOND = datetime.timedelta(milliseconds=1)
# A store that hasn't answered for this long isn't used: an engine that fetches from a
# dead store waits for some hundred milliseconds.
_UNAVAILABLE_AFTER = datetime.timedelta(seconds=2.5)
# The same for a store that this host knows of by gossip alone.
_RELAYED_UNAVAILABLE_AFTER = LEASE
# Number of changed parts of a store that are kept for peers. A peer that lacks older
# changes gets the whole list, which has some hundred parts.
_MAX_KEPT_PARTS = 400
# Share of a store's capacity that saves from here may fill. The rest covers saves that
# other daemons have begun and that this one doesn't know of yet.
_FILL_SHARE = 0.94


@dataclasses.dataclass(frozen=True, slots=True)
class PartEvent:
    """What a store holds of one part now.

    Attributes
    ----------
    salt : str
        What the part is stored under.
    part_id : str
        The part, as in `kvstores.Part`.
    tokens : int
        Tokens of the part that are stored; 0 if the store no longer has it.
    """

    salt: str
    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Parts of a store that changed after one position up to another."""

    since: int
    position: int
    parts: tuple[PartEvent, ...]


@dataclasses.dataclass(slots=True)
class StoreRow:
    """A KV store as this daemon knows it.

    Attributes
    ----------
    store : routes.KvStore
        Its entry in the configuration.
    boot : int
        Identifies the start of the store that the row is about.
    boot_known_at : datetime.datetime or None
        When this host learnt of that start.
    tokens_by_part : dict
        The tokens stored of each part, by salt and part id.
    known_ms_by_part : dict
        The engines' clock, in milliseconds, at an answer that showed a part, by salt
        and part id; none of parts in `undated`.
    undated : set
        Parts that only answers without a clock have shown, such as lists.
    removed_at_by_part : dict
        When this host learnt that the store has dropped a part, by salt and part id.
    saving_by_part : dict
        The tokens and the time of each save that is planned and not yet confirmed,
        by salt and part id.
    used : int
        Tokens of all stored parts.
    position : int
        The position, in the store's count of changes, up to which they are known.
    changes : list of Changes
        The latest changes without a gap, for peers that lack some of them.
    heard_at : datetime.datetime or None
        When the store last answered; None if it never did, or doesn't answer now.
    status_at : datetime.datetime or None
        When this host or a peer last found out whether the store answers.
    clock_lead : float or None
        Milliseconds by which the engines' clock is ahead of this host's.
    answered_ms : float or None
        The engines' clock, in milliseconds, at the latest answer of this start of the
        store whose changes are all known here; None if there was none that told it.
    is_followed : bool
        Whether this host asks the store itself.
    """

    name: str
    store: object
    boot: int = 0
    boot_known_at: datetime.datetime | None = None
    tokens_by_part: dict = dataclasses.field(default_factory=dict)
    known_ms_by_part: dict = dataclasses.field(default_factory=dict)
    undated: set = dataclasses.field(default_factory=set)
    removed_at_by_part: dict = dataclasses.field(default_factory=dict)
    saving_by_part: dict = dataclasses.field(default_factory=dict)
    used: int = 0
    position: int = 0
    changes: list = dataclasses.field(default_factory=list)
    heard_at: datetime.datetime | None = None
    status_at: datetime.datetime | None = None
    clock_lead: float | None = None
    answered_ms: float | None = None
    is_followed: bool = True

    def is_available(self, now):
        """Return whether the store answered recently enough to be used."""
        limit = _UNAVAILABLE_AFTER if self.is_followed else _RELAYED_UNAVAILABLE_AFTER
        return self.heard_at is not None and now - self.heard_at < limit

    def note_status(self, status_at, is_silent, clock_lead):
        """Note whether the store answered.

        Parameters
        ----------
        status_at : datetime.datetime
            When it answered, or was found not to answer.
        is_silent : bool
            Whether the store didn't answer.
        clock_lead : float or None
            As in the attribute; None to keep the known value.
        """
        self.status_at = status_at
        self.heard_at = None if is_silent else status_at
        if clock_lead is not None:
            self.clock_lead = clock_lead

    def clock_ms(self, at):
        """Return the engines' clock at a time, in whole ms; None if it isn't known."""
        if self.clock_lead is None:
            return None
        return int(at.timestamp() * 1000.0 + self.clock_lead)

    def renew_lease(self, answered_ms, now):
        """Note an answer of the known start of the store, with all its changes known.

        Guards against a store whose clock was wrong once, and ahead: no answer would
        count after that one, and its lease would not end.

        Parameters
        ----------
        answered_ms : float or None
            The engines' clock at the answer; None if the answer didn't tell it.
        now : datetime.datetime
            The current time.
        """
        if answered_ms is None:
            return
        known_ms = self.answered_ms
        if known_ms is None or not self.may_have_answered_at(known_ms, now):
            self.answered_ms = answered_ms
        else:
            self.answered_ms = max(known_ms, answered_ms)

    def date_parts(self, answered_ms):
        """Date what lists without a clock have shown by a later answer of the store.

        Guards against parts that are fetched too soon: a peer's word may be of an
        answer from before the list, so only this host's own next answer will do.
        """
        if answered_ms is not None:
            self.known_ms_by_part |= dict.fromkeys(self.undated, answered_ms)
            self.undated.clear()

    def is_outdated(self, boot, answered_ms):
        """Return whether an answer is from before the start that is known.

        Guards against an answer of a store that was read only after the store had
        restarted: the host would take the list of the earlier start for the current
        one, and have parts fetched that are being written.
        """
        if boot == self.boot or answered_ms is None or self.answered_ms is None:
            return False
        # A known answer that is far ahead had a wrong clock.
        return 0.0 < self.answered_ms - answered_ms <= LEASE / _MILLISECOND

    def may_have_answered_at(self, answered_ms, now):
        """Return whether an answer at a time isn't from the future, as far as known."""
        if answered_ms is None or self.clock_lead is None:
            return True
        return answered_ms <= self.clock_ms(now) + LEASE / _MILLISECOND

    def lease_end_ms(self):
        """Return by when fetches have to end, in ms of the engines' clock, or None."""
        if self.answered_ms is None:
            return None
        return int(self.answered_ms) + LEASE // _MILLISECOND

    def lease_left(self, now):
        """Return the seconds for which parts may still be fetched; 0 if none are."""
        if self.answered_ms is None or self.clock_lead is None:
            return 0.0
        return max(0.0, (self.lease_end_ms() - self.clock_ms(now)) / 1000.0)

    def may_save(self, key, now):
        """Return whether a part may be saved without spoiling a fetch.

        Guards against memory that is fetched while it is being written: a store that
        has restarted, or dropped the part, reserves its space at once, and a host that
        doesn't know this yet fetches it as a whole part. Such a host's lease has ended
        by now, as the store's last answer before that can't be later than this host's
        knowledge of it.
        """
        if self.boot_known_at is None or now - self.boot_known_at < LEASE:
            return False
        if self.lease_left(now) < (LEASE - _SAVE_BY_ANSWER_WITHIN).total_seconds():
            return False
        removed_at = self.removed_at_by_part.get(key)
        return removed_at is None or now - removed_at >= LEASE

    def may_fetch(self, key, seconds, now):
        """Return whether a held part may be fetched by a fetch that takes so long."""
        return self.is_settled(key) and seconds <= self.lease_left(now)

    def is_settled(self, key):
        """Return whether the store answered late enough after it had shown a part.

        Guards against a save by a host that didn't know of the part, which begins just
        after the store has restarted or dropped it: a fetch of the part would get what
        is being written. By the store's later answer that save had begun, and found
        the part there.
        """
        known_ms = self.known_ms_by_part.get(key)
        if known_ms is None or self.answered_ms is None:
            return False
        return self.answered_ms - known_ms >= SETTLED_AFTER / _MILLISECOND

    def apply(self, update, answered_ms, now):
        """Apply a whole list or changes that are no older than what is known.

        Parameters
        ----------
        update : kvstores.StoreChanged or gossip.StoreNews
            From the store itself or from a peer.
        answered_ms : float or None
            The engines' clock at the store's answer, in milliseconds.
        now : datetime.datetime
            The current time.
        """
        if update.boot != self.boot:
            self._forget()
            self.boot = update.boot
            self.boot_known_at = now
        elif update.whole_list:
            listed = {(part.salt, part.part_id) for part in update.parts}
            for key in self.tokens_by_part.keys() - listed:
                self.remove(key, now)
            self.changes.clear()
        else:
            self._keep_changes(update)
        self.position = update.position
        self.removed_at_by_part = {
            key: at for key, at in self.removed_at_by_part.items() if now - at < LEASE
        }
        for part in update.parts:
            key = part.salt, part.part_id
            self.saving_by_part.pop(key, None)
            if part.tokens > 0:
                self._put(key, part.tokens, answered_ms)
            else:
                self.remove(key, now)

    def remove(self, key, now):
        """Remove a part that the store has dropped.

        Parameters
        ----------
        key : (str, str)
            Salt and part id.
        now : datetime.datetime
            The current time.
        """
        self.used -= self.tokens_by_part.pop(key, 0)
        self.known_ms_by_part.pop(key, None)
        self.undated.discard(key)
        self.removed_at_by_part[key] = now

    def changes_since(self, position):
        """Return the changed parts since a position, or None if some aren't kept."""
        if not self.changes or self.changes[0].since > position:
            return None
        return tuple(
            part
            for change in self.changes
            if change.position > position
            for part in change.parts
        )

    def whole_list(self):
        """Return all parts that the store holds."""
        return tuple(
            PartEvent(salt, part_id, tokens)
            for (salt, part_id), tokens in self.tokens_by_part.items()
        )

    def has_free_capacity(self, tokens):
        """Return whether a part of so many tokens may be saved here."""
        saving = sum(count for count, _ in self.saving_by_part.values())
        return self.used + saving + tokens <= self.store.capacity * _FILL_SHARE

    def _forget(self):
        """Forget what the store held before its restart."""
        self.answered_ms = None
        self.tokens_by_part.clear()
        self.known_ms_by_part.clear()
        self.undated.clear()
        self.removed_at_by_part.clear()
        self.saving_by_part.clear()
        self.changes.clear()
        self.used = 0

    def _put(self, key, tokens, answered_ms):
        known_tokens = self.tokens_by_part.get(key, 0)
        if tokens > known_tokens and answered_ms is None:
            self.undated.add(key)
        elif tokens > known_tokens:
            self.known_ms_by_part[key] = answered_ms
        self.used += tokens - known_tokens
        self.tokens_by_part[key] = tokens

    def _keep_changes(self, update):
        if update.position <= self.position:
            return
        self.changes.append(Changes(update.since, update.position, update.parts))
        kept = sum(len(change.parts) for change in self.changes)
        while kept > _MAX_KEPT_PARTS:
            kept -= len(self.changes.pop(0).parts)
