"""Selects the target of a prompt by the expected time to its first token.

The preferred target of a context is found by rendezvous hashing, so every entry host
finds the same one.
"""

import dataclasses
import enum

from sesamespindle.decide import hashing

# Seconds on the way to a target in the same data centre, in another one of the same
# region, and in another region; the index is `World.distance`.
_SECONDS_BY_DISTANCE = (0.0, 0.002, 0.03)
# A prompt goes to its context's preferred target unless another is faster by more than
# these seconds plus this share of the prompt's prefill time. So every entry host finds
# the context again when its next prompt arrives, without having to ask others.
_PREFERRED_SLACK_SECONDS = 0.05
_PREFERRED_SLACK_SHARE = 0.5


class Routing(enum.StrEnum):
    """Ways to choose a target.

    All but the first exist for comparison with it.
    """

    EXPECTED_FIRST_TOKEN = "expected_first_token"
    ROUND_ROBIN = "round_robin"
    AFFINITY = "affinity"
    LEAST_LOAD = "least_load"


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A possible target of a prompt.

    Attributes
    ----------
    target : world.TargetRow
        The target.
    expected_seconds : float
        The expected time to first token.
    reused_tokens : int
        Tokens of the prompt that the target is expected not to prefill again.
    """

    target: object
    expected_seconds: float
    reused_tokens: int


def choose(state, row, contexts, now, avoid=(), permitted_targets=None):
    """Return the best place for a prompt, or None where no target is usable.

    Parameters
    ----------
    state : world.World
        The shared tables.
    row : prompts.PromptRow
        The prompt. If it has a weight version, targets that are known to run another
        version are left out.
    contexts : contexts.Contexts
        Where the contexts of earlier prompts are expected.
    now : datetime.datetime
        The current time.
    avoid : collection of str
        Names of targets that are used only if there is no other.
    permitted_targets : callable, optional
        Takes a list of targets and returns those that may be used.
    """
    usable = [
        target
        for target in state.targets.where("pool", row.pool)
        if target.usable(now) and _version_matches(target, row)
    ]
    candidates = [target for target in usable if target.name not in avoid] or usable
    if permitted_targets is not None:
        candidates = permitted_targets(candidates)
    if not candidates:
        return None
    reused_by_target = contexts.reusable_tokens(row.ids, now)
    places = [
        _estimate(state, target, row, reused_by_target.get(target.name, 0), now)
        for target in candidates
    ]
    match state.policy.routing:
        case Routing.EXPECTED_FIRST_TOKEN:
            return _fastest_or_preferred(row, places, reused_by_target)
        case Routing.ROUND_ROBIN:
            state.turn += 1
            return places[state.turn % len(places)]
        case Routing.AFFINITY:
            return _preferred(row, places, {})
        case Routing.LEAST_LOAD:
            return min(
                places,
                key=lambda place: (
                    place.target.backlog(now),
                    place.target.running_here,
                ),
            )


def _fastest_or_preferred(row, places, reused_by_target):
    """Return the fastest place, or the preferred one if it is fast enough."""
    best = min(places, key=lambda place: place.expected_seconds)
    preferred = _preferred(row, places, reused_by_target)
    compute_seconds = row.tokens / best.target.prefill_rate
    slack = _PREFERRED_SLACK_SECONDS + _PREFERRED_SLACK_SHARE * compute_seconds
    if preferred and preferred.expected_seconds <= best.expected_seconds + slack:
        return preferred
    return best


def choose_service(state, pool, now, avoid=(), permitted_targets=None):
    """Return the nearest usable target of a service pool, or None.

    Of equally near targets it is the one with the fewest calls from this host.

    Parameters
    ----------
    state : world.World
        The shared tables.
    pool : str
        The pool's name.
    now : datetime.datetime
        The current time.
    avoid : collection of str
        Names of targets that are left out.
    permitted_targets : callable, optional
        Takes a list of targets and returns those that may be used.
    """
    candidates = [
        target
        for target in state.targets.where("pool", pool)
        if target.usable(now) and target.name not in avoid
    ]
    if permitted_targets is not None:
        candidates = permitted_targets(candidates)
    return min(
        candidates,
        key=lambda target: (
            state.distance(target.data_centre),
            target.running_here,
            target.name,
        ),
        default=None,
    )


def _version_matches(target, row):
    return not row.version or not target.version or target.version == row.version


def _estimate(state, target, row, reused_tokens, now):
    reused_tokens = min(reused_tokens, row.tokens)
    prefill_tokens = target.backlog(now) + row.tokens - reused_tokens
    distance = _SECONDS_BY_DISTANCE[state.distance(target.data_centre)]
    return Place(target, distance + prefill_tokens / target.prefill_rate, reused_tokens)


def _preferred(row, places, reused_by_target):
    """Return the preferred place of a context by rendezvous hashing.

    None if some target is expected to reuse tokens, as the context is there already.
    """
    if reused_by_target:
        return None
    place_by_name = {place.target.name: place for place in places}
    return place_by_name[hashing.first(row.affinity_key, place_by_name)]
