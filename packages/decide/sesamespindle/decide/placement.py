"""Selects the target of a request by the expected value or delay of its answer.

Prompts go to the engine with the least expected cost, in shares of an answer's
value. Plain service calls go to the target with the least expected wait.
"""

import dataclasses
import datetime
import typing

from sesamespindle.decide import hashing, loadparts

# Prompt tokens that an otherwise idle engine prefills in a second; a little below
# the stated rate of 61,200. Only ratios matter.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# Seconds that each request waiting or running at an engine adds to the expected time
# to first token: a decode step of 3 to 4 ms and a share of a prefill.
SECONDS_PER_REQUEST = 0.004
# Wait in seconds that is expected at an engine which is loading weights, as it
# refuses all requests meanwhile.
_LOADING_WAIT_SECONDS = 3.0
# Share of an answer's value that a late first token costs. It is 0.8 for all prompts.
# Estimates of the time to first token are off by up to half. So the expected cost
# rises linearly from 0 at 0.5 times the latency goal to this share at 1.5 times.
_LATE_COST = 0.8
_LATE_START, _LATE_END = 0.5, 1.5
# Cost of each expected second to the first token, so that the faster of two engines
# is chosen where both meet the latency goal.
_COST_PER_SECOND = 0.1
# Share of an answer's value that it costs to prefill 1,000 tokens at another engine
# than the context's preferred one, which may hold them already. For a long context of
# 9,000 tokens that is a little more than a late first token costs; for a short one it
# is much less.
_RECOMPUTE_COST = 0.12
# An engine whose KV cache memory runs out preempts a run and recomputes its prompt:
# the answer is late and its prompt is prefilled twice. So known runs may fill this
# share of the memory; the rest covers prompts that peers sent and haven't announced
# yet.
_MEMORY_FILL_SHARE = 0.85
_FULL_MEMORY_COST = 0.6
# How long a prompt may wait at an engine with full memory until a run there ends.
# Most prompts that began too late had waited less than this; the longest observed
# wait was 3.2 s.
_MEMORY_WAIT_SECONDS = 3.0
# How long the pending work that a peer announced is counted.
_PEER_WORK_LIFETIME = datetime.timedelta(seconds=1.5)
# Seconds that a failed call costs, about as many as a whole second attempt takes. They
# are multiplied by the target's failure rate.
_FAILURE_SECONDS = 1.0
# Seconds that a call to another data centre takes longer. The request and the answer
# each cross the link between the data centres, so it is about twice the link's latency.
_CROSSING_SECONDS = 0.003
# Service time that is assumed until one has been observed at a target.
_DEFAULT_SERVICE_SECONDS = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class Effort:
    """What one engine has to do before a prompt's first token.

    Attributes
    ----------
    prefill_tokens : int
        Tokens that the engine is expected to prefill.
    transfer_seconds : float
        The expected time to import the KV cache of the other tokens that the engine
        doesn't hold, from stores or from another engine.
    """

    prefill_tokens: int
    transfer_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """The properties of a prompt that the choice of an engine depends on.

    Attributes
    ----------
    held_tokens : int
        Tokens of KV cache memory that the prompt needs until its run ends.
    capacity : int
        Tokens that an engine's KV cache memory holds.
    goal_seconds : float
        The latency goal: the time to first token within which an answer has its
        full value. With 0 or less, lateness costs nothing.
    effort_at : callable
        Takes a `world.TargetRow` and returns the `Effort` at that engine.
    """

    held_tokens: int
    capacity: int
    goal_seconds: float
    effort_at: typing.Callable


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """Work of an engine that this daemon and its peers have sent there.

    Attributes
    ----------
    tokens : int
        Prompt tokens of the requests whose first token hasn't come.
    held_tokens : int
        Tokens of KV cache memory that all the requests need until they end.
    """

    tokens: int
    held_tokens: int


def usable(rows, now):
    """Return the targets that may get new work.

    Targets that are missing from the platform's list are returned only if there
    are no others.
    """
    candidates = [row for row in rows if row.usable(now)]
    listed = [row for row in candidates if row.missing_since is None]
    return listed or candidates


def preferred_engine(rows, affinity):
    """Return the preferred engine of a context, or None if `rows` is empty.

    Every entry host with the same rows gets the same engine, by rendezvous hashing.

    Parameters
    ----------
    rows : list of world.TargetRow
        The engines of a service.
    affinity : str
        The key of the context.
    """
    row_by_name = {row.name: row for row in rows}
    name = hashing.first(affinity, row_by_name)
    return row_by_name.get(name)


def ranked(rows, key):
    """Return targets in the order of their rendezvous weight for a key.

    Guards against all hosts choosing the same one of many equal engines. While a
    context's preferred engine is unavailable, they would all take the first engine of
    the list, and it would get far more prompts than the others. With an order that
    depends on the key, different contexts spread over all engines.
    """
    row_by_name = {row.name: row for row in rows}
    return [row_by_name[name] for name in hashing.rank(key, row_by_name)]


def choose_engine(rows, work, now, version_cost, preferred_row=None):
    """Return the engine with the least expected cost, or None if `rows` is empty.

    The cost is in shares of the answer's value. It adds up superseded weights,
    lateness, failures, full memory, and a prefill away from the preferred engine.

    Parameters
    ----------
    rows : list of world.TargetRow
        Engines that may be used; the first of equal ones is chosen.
    work : Work
        The prompt.
    now : datetime.datetime
        The current time.
    version_cost : callable
        Takes a row and returns the share of the answer's value that is lost because
        the engine runs superseded weights.
    preferred_row : world.TargetRow or None
        The preferred engine of the prompt's context.
    """

    def cost(row):
        effort = work.effort_at(row)
        waiting = pending(row, now)
        seconds = _expected_seconds(row, effort, waiting, now)
        total = version_cost(row) + _late_cost(seconds, work.goal_seconds)
        total += row.failure_rate + _COST_PER_SECOND * seconds
        if _fills_memory(waiting, work):
            total += _FULL_MEMORY_COST
        if row is not preferred_row:
            total += _RECOMPUTE_COST * effort.prefill_tokens / 1000.0
        return total

    return min(rows, key=cost, default=None)


def _expected_seconds(row, effort, waiting, now):
    """Return the expected seconds to a prompt's first token at an engine."""
    seconds = _reading_seconds(row, effort.prefill_tokens, now)
    seconds += effort.transfer_seconds + _queue_seconds(row, waiting, now)
    if row.loading_until is not None and now < row.loading_until:
        seconds += _LOADING_WAIT_SECONDS
    return seconds


def latest_begin(row, work, now):
    """Return the latest time at which a run at an engine is expected to begin.

    The length of the queue doesn't show that memory is full, so the wait for free
    memory is added where the prompt would fill it.
    """
    waiting = pending(row, now)
    seconds = _expected_seconds(row, work.effort_at(row), waiting, now)
    if _fills_memory(waiting, work):
        seconds += _MEMORY_WAIT_SECONDS
    return now + datetime.timedelta(seconds=seconds)


def has_free_memory(row, work, now):
    """Return whether an engine has free memory for a prompt, by what is known here."""
    return not _fills_memory(pending(row, now), work)


def _fills_memory(waiting, work):
    """Return whether a prompt would exceed the share of memory that may be filled."""
    return waiting.held_tokens + work.held_tokens > _MEMORY_FILL_SHARE * work.capacity


def _late_cost(seconds, goal_seconds):
    """Return the expected cost of a late first token, as a share of the value."""
    if goal_seconds <= 0:
        return 0.0
    share = (seconds / goal_seconds - _LATE_START) / (_LATE_END - _LATE_START)
    return _LATE_COST * min(max(share, 0.0), 1.0)


def choose_service_target(rows, data_centre, now, service_seconds=None):
    """Return the target of a plain service with the least expected wait, or None.

    Parameters
    ----------
    rows : list of world.TargetRow
        Targets that may be used.
    data_centre : str
        The data centre of this host; targets elsewhere cost a crossing.
    now : datetime.datetime
        The current time.
    service_seconds : float, optional
        How long a call of the service takes, for targets of which it isn't known.
    """

    def cost(row):
        service = service_seconds or _DEFAULT_SERVICE_SECONDS
        if row.service_time is not None:
            service = row.service_time.total_seconds()
        if row.learned is not None:
            service *= row.learned.speed(now) / loadparts.USUAL_SPEED
        load = max(row.running_here, row.reported_load)
        seconds = service * (1.0 + load / max(row.slots, 1))
        if row.data_centre != data_centre:
            seconds += _CROSSING_SECONDS
        return seconds + row.failure_rate * _FAILURE_SECONDS

    return min(rows, key=cost, default=None)


def pending(row, now):
    """Return the `Pending` work of an engine.

    The load that the engine reports lags and leaves out requests on their way to
    it. So the requests that this daemon and its peers have sent are counted instead.
    """
    tokens = 0
    for work in row.sent_by_request.values():
        tokens += work.tokens
    held_tokens = sum(row.held_by_request.values())
    oldest = now - _PEER_WORK_LIFETIME
    for work in row.peer_work_by_entry.values():
        if work.at > oldest:
            tokens += work.tokens
            held_tokens += work.held_tokens
    return Pending(tokens, held_tokens)


def queue_seconds(row, now):
    """Return the expected wait in seconds for the requests sent before."""
    return _queue_seconds(row, pending(row, now), now)


def _queue_seconds(row, waiting, now):
    prefill_seconds = _reading_seconds(row, waiting.tokens, now)
    return prefill_seconds + row.reported_load * SECONDS_PER_REQUEST


def _reading_seconds(row, tokens, now):
    """Return how long an engine reads tokens, by what is learned of it, if anything."""
    if row.learned is None:
        return tokens / PREFILL_TOKENS_PER_SECOND
    return row.learned.reading_seconds(tokens, PREFILL_TOKENS_PER_SECOND, now)
