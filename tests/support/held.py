"""Judges whether hosts let targets that leave or rest be, by what the targets saw."""

import bisect

# A host may go on to send to a target for this long, in seconds, after the target told
# it that it leaves.
DRAIN_SECONDS = 2.0
# From this long after a target asked a host for a rest, in seconds, until its end the
# host may send it only so many requests.
SETTLING_SECONDS = 0.5
MOST_IN_A_REST = 2


def late(arrivals, answers):
    """Return the requests that hosts sent too late to a target that leaves.

    Parameters
    ----------
    arrivals : list of limits.Arrival
        The requests that reached one incarnation of a target.
    answers : list of limits.Answer
        The answers of that incarnation.
    """
    told_at_by_host = {}
    for answer in sorted(answers, key=lambda answer: answer.at):
        if answer.is_leaving:
            told_at_by_host.setdefault(answer.host, answer.at)
    return [
        arrival
        for arrival in arrivals
        if arrival.host in told_at_by_host
        and arrival.at > told_at_by_host[arrival.host] + DRAIN_SECONDS
    ]


def most_in_a_rest(arrivals, answers):
    """Return the most requests from one host within one rest that it was asked for."""
    return max(
        (
            sum(
                arrival.host == answer.host
                and answer.at + SETTLING_SECONDS < arrival.at < answer.at + answer.rest
                for arrival in arrivals
            )
            for answer in answers
            if answer.rest
        ),
        default=0,
    )


def most_at_once(arrivals, seconds):
    """Return the most requests that lie within a span of so many seconds."""
    times = sorted(arrival.at for arrival in arrivals)
    counts = (
        bisect.bisect_left(times, begin + seconds) - number
        for number, begin in enumerate(times)
    )
    return max(counts, default=0)
