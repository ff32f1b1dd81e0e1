"""Which target gets a request: the one with the least expected time to its answer."""

import dataclasses
import datetime

from sesamespindle.decide import hashing

# Prompt tokens that an engine reads in a second while it does nothing else; a
# little under what the users state for theirs (61,200). Only ratios matter.
PREFILL_TOKENS_PER_SECOND = 50_000.0
# What one more request that waits or runs adds at an engine, in seconds: a
# decode step of 3 to 4 ms and a part of a prompt.
_LOAD_SECONDS = 0.004
# A run whose worth is lost to old weights counts as a wait of this length, and
# so does an engine that turns all requests away while it loads.
_OLD_WEIGHTS_SECONDS = 3.0
# One failure in `n` costs about a whole second try.
_FAILURE_SECONDS = 1.0
# The price of leaving the data centre: about two crossings.
_CROSSING_SECONDS = 0.003
_USUAL_SERVICE_SECONDS = 0.04


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What placing needs to know of a request.

    Attributes
    ----------
    shared_tokens : int
        Prompt tokens that an engine or store may already hold.
    own_tokens : int
        Prompt tokens that no other request has.
    affinity : str
        What requests with the same shared context have in common, or empty.
    transfer_seconds : float or None
        Expected time to bring the shared context from a store, if one has it.
    """

    shared_tokens: int = 0
    own_tokens: int = 0
    affinity: str = ""
    transfer_seconds: float | None = None


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


def choose_engine(rows, work, now, loss_of, entries=1):
    """Return the engine with the least expected time to first token.

    Parameters
    ----------
    rows : list of world.TargetRow
        Engines that may be used.
    work : Work
        The request.
    loss_of : callable
        Returns the share of the run's worth that a row's old weights cost.
    entries : int
        Daemons that send; each knows only its own sends for sure.
    """
    home_row = home(rows, work.affinity) if work.affinity else None

    def cost(row):
        at_home = row is home_row
        seconds = _prefill_seconds(row, work, at_home)
        seconds += _queue_seconds(row, entries)
        seconds += row.failure_rate * _FAILURE_SECONDS
        seconds += loss_of(row) * _OLD_WEIGHTS_SECONDS
        if row.switching_until is not None and now < row.switching_until:
            seconds += _OLD_WEIGHTS_SECONDS
        return seconds

    return min(rows, key=cost, default=None)


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


def expected_wait(row, entries):
    """Return how long a new request is expected to wait at an engine."""
    return datetime.timedelta(seconds=_queue_seconds(row, entries))


def _prefill_seconds(row, work, at_home):
    tokens = work.own_tokens
    seconds = tokens / PREFILL_TOKENS_PER_SECOND
    if at_home:
        return seconds
    read = work.shared_tokens / PREFILL_TOKENS_PER_SECOND
    if work.transfer_seconds is not None:
        read = min(read, work.transfer_seconds)
    return seconds + read


def _queue_seconds(row, entries):
    """Return the expected wait for what was sent before.

    The engine's own count lags and misses what is on its way, and this daemon
    sees only its own sends; the other daemons send as much on average.
    """
    mine = sum(work.tokens for work in row.sent_by_request.values())
    pending = mine * min(entries, 2) / PREFILL_TOKENS_PER_SECOND
    return pending + row.reported_load * _LOAD_SECONDS
