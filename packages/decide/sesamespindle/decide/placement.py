"""Which target gets a request: the one with the least expected time to its answer."""

import dataclasses
import datetime
import typing

from sesamespindle.decide import hashing

# Prompt tokens that an engine reads in a second while it does nothing else; a
# little under what the users state for theirs (61,200). Only ratios matter.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# What one more request that waits or runs adds at an engine, in seconds: a
# decode step of 3 to 4 ms and a part of a prompt.
_LOAD_SECONDS = 0.004
# An engine that turns all requests away while it loads counts as this wait.
_SWITCHING_SECONDS = 3.0
# What a late first token costs of an answer's worth; the users state 0.8 for
# all their prompts. Estimates are off by half, so the loss begins at half of
# the latency goal and is whole at one and a half.
_LATE_LOSS = 0.8
_LATE_FROM, _LATE_AT = 0.5, 1.5
# The loss for each second of waiting below that, so that the faster of two
# timely engines is taken.
_LOSS_PER_SECOND = 0.1
# What reading a thousand tokens away from a context's home costs of an answer's
# worth: the home may hold them already. A long context of 9,000 tokens loses
# a little more by it than by a late first token, a short one much less.
_READ_AGAIN_LOSS = 0.12
# An engine whose memory runs out throws a run out and reads its prompt again,
# which is late then and paid twice. Memory is filled up to this part by what is
# known of runs; the rest covers sends that peers have not told of yet.
_MEMORY_FILLED = 0.85
_MEMORY_LOSS = 0.6
# How long a prompt may wait for memory where it is filled: until a run there
# ends. Most were under it of those that began too late; the longest was 3.2 s.
_MEMORY_SECONDS = 3.0
# What a peer told of its sends counts for this long.
_PEER_WORK_KEPT = datetime.timedelta(seconds=1.5)
# One failure in `n` costs about a whole second try.
_FAILURE_SECONDS = 1.0
# The price of leaving the data centre: about two crossings.
_CROSSING_SECONDS = 0.003
_USUAL_SERVICE_SECONDS = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class Effort:
    """What a prompt costs at one engine.

    Attributes
    ----------
    read_tokens : int
        Tokens that the engine is expected to read.
    transfer_seconds : float
        The expected time to bring the rest from stores.
    """

    read_tokens: int
    transfer_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What placing needs to know of a prompt.

    Attributes
    ----------
    held_tokens : int
        Tokens of memory that it needs until it ends.
    capacity : int
        Tokens that an engine's memory holds.
    goal_seconds : float
        The time to first token within which an answer is worth all it can be.
    effort_at : callable
        Returns the `Effort` at an engine.
    """

    held_tokens: int
    capacity: int
    goal_seconds: float
    effort_at: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """What known requests take of an engine.

    Attributes
    ----------
    tokens : int
        Prompt tokens of those that were not seen to begin.
    held_tokens : int
        Tokens of memory that all need until they end.
    """

    tokens: int
    held_tokens: int


def usable(rows, now):
    """Return the rows that may get new work, missing ones only if no other may."""
    candidates = [row for row in rows if row.usable(now)]
    listed = [row for row in candidates if row.missing_since is None]
    return listed or candidates


def home(rows, affinity):
    """Return the row where a context belongs, the same on every entry host."""
    row_by_name = {row.name: row for row in rows}
    name = hashing.first(affinity, row_by_name)
    return row_by_name.get(name)


def ranked(rows, key):
    """Return rows in the order in which a key's requests prefer them.

    Guards against hosts that all take the same one of many equal engines: the first
    of the list, where a context's home is away.
    """
    row_by_name = {row.name: row for row in rows}
    return [row_by_name[name] for name in hashing.rank(key, row_by_name)]


def choose_engine(rows, work, now, loss_of, home_row=None):
    """Return the engine at which a prompt's answer is expected to be worth most.

    Parameters
    ----------
    rows : list of world.TargetRow
        Engines that may be used; the first of equal ones is taken.
    work : Work
        The request.
    loss_of : callable
        Returns the share of the run's worth that a row's old weights cost.
    home_row : world.TargetRow or None
        Where prompts of this context usually go.
    """

    def cost(row):
        effort = work.effort_at(row)
        waiting = pending(row, now)
        seconds = _expected_seconds(row, effort, waiting, now)
        loss = loss_of(row) + _late_loss(seconds, work.goal_seconds)
        loss += row.failure_rate + _LOSS_PER_SECOND * seconds
        if _fills_memory(waiting, work):
            loss += _MEMORY_LOSS
        if row is not home_row:
            loss += _READ_AGAIN_LOSS * effort.read_tokens / 1000.0
        return loss

    return min(rows, key=cost, default=None)


def _expected_seconds(row, effort, waiting, now):
    """Return the expected time to first token at an engine."""
    seconds = effort.read_tokens / PREFILL_TOKENS_PER_SECOND
    seconds += effort.transfer_seconds + _queue_seconds(row, waiting)
    if row.switching_until is not None and now < row.switching_until:
        seconds += _SWITCHING_SECONDS
    return seconds


def latest_begin(row, work, now):
    """Return when a run at an engine is expected to have begun at the latest.

    The queue tells nothing of memory that is full, so the wait for it is added.
    """
    waiting = pending(row, now)
    seconds = _expected_seconds(row, work.effort_at(row), waiting, now)
    if _fills_memory(waiting, work):
        seconds += _MEMORY_SECONDS
    return now + datetime.timedelta(seconds=seconds)


def has_room(row, work, now):
    """Return whether an engine's memory holds a prompt too, as far as is known."""
    return not _fills_memory(pending(row, now), work)


def _fills_memory(waiting, work):
    """Return whether a prompt would fill an engine's memory, as far as is known."""
    return waiting.held_tokens + work.held_tokens > _MEMORY_FILLED * work.capacity


def _late_loss(seconds, goal_seconds):
    """Return the share of the worth that is lost by lateness, as expected."""
    if goal_seconds <= 0:
        return 0.0
    part = (seconds / goal_seconds - _LATE_FROM) / (_LATE_AT - _LATE_FROM)
    return _LATE_LOSS * min(max(part, 0.0), 1.0)


def choose_plain(rows, data_centre, now):
    """Return the target of a plain service with the least expected wait."""

    def cost(row):
        service = _USUAL_SERVICE_SECONDS
        if row.service_time is not None:
            service = row.service_time.total_seconds()
        load = max(row.running_here, row.reported_load)
        seconds = service * (1.0 + load / max(row.slots, 1))
        if row.data_centre != data_centre:
            seconds += _CROSSING_SECONDS
        return seconds + row.failure_rate * _FAILURE_SECONDS

    return min(rows, key=cost, default=None)


def pending(row, now):
    """Return the `Pending` of an engine.

    The engine's own count lags and misses what is on its way, so what this
    daemon and its peers have sent is counted instead.
    """
    tokens = held_tokens = 0
    for work in row.sent_by_request.values():
        tokens += work.tokens
    for held in row.held_by_request.values():
        held_tokens += held
    oldest = now - _PEER_WORK_KEPT
    for work in row.peer_work_by_entry.values():
        if work.at > oldest:
            tokens += work.tokens
            held_tokens += work.held_tokens
    return Pending(tokens, held_tokens)


def queue_seconds(row, now):
    """Return the expected wait for what was sent before."""
    return _queue_seconds(row, pending(row, now))


def _queue_seconds(row, waiting):
    read_seconds = waiting.tokens / PREFILL_TOKENS_PER_SECOND
    return read_seconds + row.reported_load * _LOAD_SECONDS
