"""Judges whether hosts keep to the limits that targets name, by what targets saw."""

import dataclasses
import math
import re

# From this long after a target first named its limit, in seconds, it may get no more in
# any window than a part above what the limit allows, and a few requests besides. A
# host's requests count from a moment after it got an answer that names the limit.
CONTACT_SECONDS = 3.0
WINDOW_SECONDS = 4.0
FACTOR = 1.5
SLACK = 5
TOLD_SECONDS = 0.5
_DECIMAL = re.compile(r"\d+(\.\d+)?")


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request from a host reached the target."""

    at: float
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The target answered a host and said something of itself.

    Attributes
    ----------
    limit : float
        The limit that it named; infinite if it named none.
    is_leaving : bool
        Whether it said that it leaves.
    rest : float
        The seconds of rest that it asked the host for; 0 if it didn't.
    """

    at: float
    host: str
    limit: float
    is_leaving: bool = False
    rest: float = 0.0


def read(value):
    """Return the limit that a header's value names, as a host has to read it.

    Returns
    -------
    limit : float or None
        Infinite for no header; None if the value can't be read, so that the limit
        stays as it was.
    """
    if value is None:
        return math.inf
    return float(value) if _DECIMAL.fullmatch(value) else None


def allowed(limit):
    """Return the most requests that a limit allows in one window."""
    return FACTOR * limit * WINDOW_SECONDS + SLACK


def excess(arrivals, answers, is_excused=lambda host, since, until: False):
    """Return how far the requests of any window lie above what is allowed.

    While a limit changes, the greatest one counts that any host may have known.

    Parameters
    ----------
    arrivals : list of Arrival
        The requests that reached one incarnation of a target.
    answers : list of Answer
        The answers of that incarnation.
    is_excused : callable
        Takes a host and a span of time, and returns whether the requests of the host
        in that span don't count.

    Returns
    -------
    excess : float
        Requests above what is allowed, 0 or less if every window is within it.
    """
    answers = sorted(answers, key=lambda answer: answer.at)
    worst = -math.inf
    for first, last in _stretches(answers):
        named = [answer for answer in answers if first <= answer.at < last]
        told_at_by_host = {}
        for answer in named:
            told_at_by_host.setdefault(answer.host, answer.at)
        counted = sorted(
            arrival.at
            for arrival in arrivals
            if first <= arrival.at < last
            and arrival.at - told_at_by_host.get(arrival.host, math.inf) >= TOLD_SECONDS
            and not is_excused(arrival.host, first, arrival.at)
        )
        worst = max(worst, _worst_window(counted, named, first))
    return worst


def _stretches(answers):
    """Return (first, last) of the spans in which answers name a limit."""
    spans, first = [], None
    for answer in answers:
        if first is None and math.isfinite(answer.limit):
            first = answer.at
        elif first is not None and math.isinf(answer.limit):
            spans.append((first, answer.at))
            first = None
    if first is not None:
        spans.append((first, math.inf))
    return spans


def _worst_window(counted, named, first):
    worst = -math.inf
    start = 0
    for end, until in enumerate(counted):
        while counted[start] <= until - WINDOW_SECONDS:
            start += 1
        if until < first + CONTACT_SECONDS:
            continue
        known_from = until - WINDOW_SECONDS - CONTACT_SECONDS
        greatest = max(
            answer.limit
            for number, answer in enumerate(named)
            if answer.at <= until
            and (number + 1 == len(named) or named[number + 1].at >= known_from)
        )
        worst = max(worst, end - start + 1 - allowed(greatest))
    return worst
