"""The work at the engines that this host keeps, counted for all hosts.

The load that this answers: a host sees one in twenty to eighty of the prompts of its
fleet. Long ones pile up at an engine until its memory runs out, as none of the hosts
knows what the others have sent there.
"""

import dataclasses
import datetime
import enum

from sesamespindle.decide import incarnations, placement, speeds

# Runs of all hosts together may hold this share of an engine's memory. The rest is for
# what is sent without a keeper's word, and for two keepers in a partition.
GRANTED_SHARE = 0.85
# For how long nothing less urgent is granted after an urgent prompt was declined for
# memory. Its host tries again within this time.
_KEPT_FREE_FOR = datetime.timedelta(milliseconds=300)
# More entries at one engine are not counted but declined; engines have fewer slots.
_MOST_ENTRIES = 1000
# An end that arrives before its question is remembered for this time.
_OVERTAKEN_FOR = datetime.timedelta(seconds=1)
# A ledger without entries is dropped after this time.
_KEPT_EMPTY_FOR = datetime.timedelta(seconds=30)
# An engine's stated load counts for this long.
_LOAD_VALID_FOR = datetime.timedelta(seconds=1)
# What a run occupies a slot for, where too few have ended to tell.
_RUN_SECONDS = 3.0
# Weight of the newest run in the average of run times.
_NEWEST_WEIGHT = 0.1


class Reason(enum.IntEnum):
    """What a keeper answers; the numbers are part of the messages between hosts."""

    GRANTED = 0
    # The memory of the engine is taken.
    MEMORY = 1
    # The memory that is free is kept for a more urgent prompt.
    URGENCY = 2
    # The first token would be late.
    LATE = 3
    # The keeper knows a later life of the engine.
    REPLACED = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """A question for room at an engine.

    Attributes
    ----------
    host : str
        The peer address of the host that asks.
    request : int
        Stands for the request and its send, a number of 64 bits.
    tokens, held_tokens : int
        The tokens to read, and those to hold until the run ends.
    capacity, slots : int
        What the engine's memory holds in tokens, and how many runs it can have.
    urgency : int
        As engines sort by; 0 is the most urgent.
    wait : datetime.timedelta
        The longest time to the first token that is in time.
    left : datetime.timedelta
        The time to the request's deadline.
    """

    host: str
    request: int
    incarnation: incarnations.TargetIncarnation
    tokens: int
    held_tokens: int
    capacity: int
    slots: int
    urgency: int
    wait: datetime.timedelta
    left: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A keeper's answer.

    Attributes
    ----------
    wait : datetime.timedelta
        The expected time to the first token.
    speed : int
        The engine's present speed, in percent of the time that work usually takes.
    age : datetime.timedelta or None
        How long ago the engine last stated its load; None if the keeper knows none.
    """

    reason: Reason
    wait: datetime.timedelta
    speed: int
    age: datetime.timedelta | None


class Stage(enum.IntEnum):
    """What a host tells of a prompt; the numbers are part of messages."""

    BEGUN = 0
    ENDED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Tell:
    """What a host tells the keeper of a prompt that it has asked for or sent.

    Attributes
    ----------
    waited : datetime.timedelta
        The time from the send to the first token, if it has begun.
    load, speed : int or None
        What the engine stated with its answer; None if it stated nothing.
    """

    host: str
    request: int
    incarnation: incarnations.TargetIncarnation
    stage: Stage
    tokens: int
    held_tokens: int
    left: datetime.timedelta
    waited: datetime.timedelta = datetime.timedelta(0)
    load: int | None = None
    speed: int | None = None


@dataclasses.dataclass(slots=True)
class _Entry:
    """A prompt at an engine; `before` are the tokens that were to be read first."""

    tokens: int
    held_tokens: int
    expires_at: datetime.datetime
    granted_at: datetime.datetime
    before: int = 0
    has_begun: bool = False


class _Ledger:
    """The work at one incarnation of an engine."""

    def __init__(self, born, now):
        self.born = born
        self.entry_by_key = {}
        # When ends arrived whose questions hadn't, by key, oldest first.
        self._ended_at_by_key = {}
        self.learned = speeds.Learned()
        self.used_at = now
        self._load = 0
        self._load_at = None
        self._run_seconds = _RUN_SECONDS
        # Until when memory is kept for whom: urgency, key and time; None for nobody.
        self._kept_for = None

    def ask(self, ask, now):
        """Return the `Answer` to a question; what is granted is counted."""
        self.expire(now)
        self.used_at = now
        key = ask.host, ask.request
        self.entry_by_key.pop(key, None)
        unread = self._unread()
        wait = self._wait(ask, unread, now)
        reason = self._judge(ask, key, wait, now)
        has_ended = self._ended_at_by_key.pop(key, None) is not None
        if reason is Reason.GRANTED and not has_ended:
            self._lift(key)
            self.entry_by_key[key] = _Entry(
                ask.tokens, ask.held_tokens, now + ask.left, now, unread
            )
        age = now - self._load_at if self._load_at is not None else None
        return Answer(reason, wait, self.learned.speed(now), age)

    def take(self, tell, now):
        """Count what a host tells of a prompt, and what the engine stated to it."""
        self.expire(now)
        self.used_at = now
        key = tell.host, tell.request
        self.learned.note_speed(tell.speed, now)
        if tell.load is not None:
            self._load, self._load_at = tell.load, now
        if tell.stage is Stage.ENDED:
            self._end(key, now)
            return
        entry = self.entry_by_key.get(key)
        if entry is None and len(self.entry_by_key) < _MOST_ENTRIES:
            # It was sent without the keeper's word.
            entry = _Entry(tell.tokens, tell.held_tokens, now + tell.left, now)
            self.entry_by_key[key] = entry
        elif entry is not None and not entry.has_begun:
            self.learned.note_reading(entry.tokens, entry.before, tell.waited, now)
        if entry is not None:
            entry.has_begun = True

    def held_tokens(self):
        """Return the tokens that all counted prompts hold."""
        return sum(entry.held_tokens for entry in self.entry_by_key.values())

    def expire(self, now):
        """Remove entries whose deadline has passed, as their end may be lost."""
        over = [
            key for key, entry in self.entry_by_key.items() if entry.expires_at <= now
        ]
        for key in over:
            del self.entry_by_key[key]
        while self._ended_at_by_key:
            key, ended_at = next(iter(self._ended_at_by_key.items()))
            if now - ended_at < _OVERTAKEN_FOR:
                break
            del self._ended_at_by_key[key]

    def _unread(self):
        return sum(
            entry.tokens for entry in self.entry_by_key.values() if not entry.has_begun
        )

    def _wait(self, ask, unread, now):
        """Return the expected time to the first token of a prompt."""
        rate = placement.PREFILL_TOKENS_PER_SECOND
        seconds = self.learned.reading_seconds(unread + ask.tokens, rate, now)
        running = len(self.entry_by_key)
        if self._load_at is not None and now - self._load_at <= _LOAD_VALID_FOR:
            running = max(running, self._load)
        seconds += running * placement.SECONDS_PER_REQUEST
        slots = max(ask.slots, 1)
        if running >= slots:
            seconds += self._run_seconds * (running - slots + 1) / slots
        return datetime.timedelta(seconds=seconds)

    def _judge(self, ask, key, wait, now):
        if self._lacks_memory(ask):
            self._keep_free(ask, key, now)
            return Reason.MEMORY
        if self._is_kept_from(ask, key, now):
            return Reason.URGENCY
        return Reason.LATE if wait > ask.wait else Reason.GRANTED

    def _lacks_memory(self, ask):
        """Return whether a prompt exceeds the share; one that is alone never does."""
        if not self.entry_by_key:
            return False
        if len(self.entry_by_key) >= _MOST_ENTRIES:
            return True
        held = self.held_tokens() + ask.held_tokens
        return held > GRANTED_SHARE * ask.capacity

    def _keep_free(self, ask, key, now):
        """Grant nothing less urgent for a moment.

        Guards against an urgent long prompt that is declined again and again, while
        shorter and less urgent ones of other hosts take each bit of memory that runs
        leave.
        """
        kept = self._kept_for
        if kept is None or now >= kept[2] or ask.urgency <= kept[0]:
            self._kept_for = ask.urgency, key, now + _KEPT_FREE_FOR

    def _is_kept_from(self, ask, key, now):
        if self._kept_for is None:
            return False
        urgency, kept_key, until = self._kept_for
        return now < until and urgency < ask.urgency and kept_key != key

    def _lift(self, key):
        if self._kept_for is not None and self._kept_for[1] == key:
            self._kept_for = None

    def _end(self, key, now):
        self._lift(key)
        entry = self.entry_by_key.pop(key, None)
        if entry is None and len(self._ended_at_by_key) < _MOST_ENTRIES:
            # Guards against memory that is held until the deadline of a caller who
            # left, as datagrams overtake each other. Each send has a number of its own.
            self._ended_at_by_key.pop(key, None)
            self._ended_at_by_key[key] = now
        if entry is not None and entry.has_begun:
            seconds = (now - entry.granted_at).total_seconds()
            self._run_seconds += (seconds - self._run_seconds) * _NEWEST_WEIGHT


class Ledgers:
    """The ledgers of the engines that hosts ask this one about."""

    def __init__(self):
        self._ledger_by_engine = {}

    def ask(self, ask, now):
        """Return the `Answer` to an `Ask`."""
        ledger = self._ledger(ask.incarnation, now)
        if ledger is None:
            return Answer(Reason.REPLACED, datetime.timedelta(0), 100, None)
        return ledger.ask(ask, now)

    def take(self, tell, now):
        """Count a `Tell`; one of an earlier life of its engine is dropped."""
        ledger = self._ledger(tell.incarnation, now)
        if ledger is not None:
            ledger.take(tell, now)

    def tick(self, now):
        """Drop entries that have expired, and ledgers that nobody asks about."""
        for engine, ledger in list(self._ledger_by_engine.items()):
            ledger.expire(now)
            is_old = now - ledger.used_at > _KEPT_EMPTY_FOR
            if is_old and not ledger.entry_by_key:
                del self._ledger_by_engine[engine]

    def count(self):
        """Return the number of engines that are kept here."""
        return len(self._ledger_by_engine)

    def held_tokens(self):
        """Return the tokens that are held at all engines that are kept here."""
        return sum(ledger.held_tokens() for ledger in self._ledger_by_engine.values())

    def _ledger(self, incarnation, now):
        """Return the ledger of an engine's life; None if a later one is known.

        Guards against work of a life that has ended being counted at the next one.
        """
        ledger = self._ledger_by_engine.get(incarnation.name)
        if ledger is None or ledger.born < incarnation.born:
            ledger = _Ledger(incarnation.born, now)
            self._ledger_by_engine[incarnation.name] = ledger
        return ledger if ledger.born == incarnation.born else None
