"""Choosing the target of a prompt by its expected time to first token."""

import dataclasses
import enum

from sesamespindle.decide import hashing

_SECONDS_BY_DISTANCE = (0.0, 0.002, 0.03)
# A context's home target is kept unless another is better by this much, so
# that every entry finds a returning context without having to ask.
_HOME_ADVANTAGE_SECONDS = 0.05
_HOME_ADVANTAGE_SHARE = 0.5


class Routing(enum.StrEnum):
    """Ways to choose a target; all but the first are there to be compared."""

    EXPECTED_FIRST_TOKEN = "expected_first_token"
    ROUND_ROBIN = "round_robin"
    AFFINITY = "affinity"
    LEAST_LOAD = "least_load"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A target, and the seconds after which the first token is expected."""

    target: object
    expected_seconds: float
    reused_tokens: int


def choose(state, row, contexts, now, avoid=(), narrow=None):
    """Return the best place for a prompt, or None where no target is usable.

    Parameters
    ----------
    row : prompts.PromptRow
        The prompt. Where it has a version, only targets of that weight
        version are taken.
    avoid : collection of str
        Names of targets that are taken only if there is no other.
    narrow : callable, optional
        Returns those of some targets that may be taken.
    """
    usable = [
        target
        for target in state.targets.where("pool", row.pool)
        if target.usable(now) and _version_fits(target, row)
    ]
    candidates = [target for target in usable if target.name not in avoid] or usable
    if narrow is not None:
        candidates = narrow(candidates)
    if not candidates:
        return None
    reused_by_target = contexts.reusable_tokens(row.ids, now)
    places = [
        _estimate(state, target, row, reused_by_target.get(target.name, 0), now)
        for target in candidates
    ]
    match state.policy.routing:
        case Routing.EXPECTED_FIRST_TOKEN:
            return _earliest(row, places, reused_by_target)
        case Routing.ROUND_ROBIN:
            state.turn += 1
            return places[state.turn % len(places)]
        case Routing.AFFINITY:
            return _home(row, places, {})
        case Routing.LEAST_LOAD:
            return min(
                places,
                key=lambda place: (
                    place.target.backlog(now),
                    place.target.running_here,
                ),
            )


def _earliest(row, places, reused_by_target):
    """Return the place with the earliest first token, or the context's home."""
    best = min(places, key=lambda place: place.expected_seconds)
    home = _home(row, places, reused_by_target)
    compute_seconds = row.tokens / best.target.prefill_rate
    slack = _HOME_ADVANTAGE_SECONDS + _HOME_ADVANTAGE_SHARE * compute_seconds
    if home and home.expected_seconds <= best.expected_seconds + slack:
        return home
    return best


def choose_service(state, pool, now, avoid=(), narrow=None):
    """Return the usable target of a service pool with the fewest calls."""
    candidates = [
        target
        for target in state.targets.where("pool", pool)
        if target.usable(now) and target.name not in avoid
    ]
    if narrow is not None:
        candidates = narrow(candidates)
    return min(
        candidates,
        key=lambda target: (
            state.distance(target.data_centre),
            target.running_here,
            target.name,
        ),
        default=None,
    )


def _version_fits(target, row):
    return not row.version or not target.version or target.version == row.version


def _estimate(state, target, row, reused_tokens, now):
    reused_tokens = min(reused_tokens, row.tokens)
    work = target.backlog(now) + row.tokens - reused_tokens
    distance = _SECONDS_BY_DISTANCE[state.distance(target.data_centre)]
    return Place(target, distance + work / target.prefill_rate, reused_tokens)


def _home(row, places, reused_by_target):
    """Return the place that every entry would pick for this context."""
    if reused_by_target:
        return None
    place_by_name = {place.target.name: place for place in places}
    return place_by_name[hashing.first(row.home_key, place_by_name)]
