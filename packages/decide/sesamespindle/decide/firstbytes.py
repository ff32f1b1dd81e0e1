"""How long calls of services take, and how long a host waits for their first byte."""

import datetime

from sesamespindle.decide import routes

# Weight of the newest sample in the moving averages of failure rate and service
# time: about the last ten answers count.
NEWEST_WEIGHT = 0.1
# An idempotent request is retried at another target if no answer has begun after
# this many average service times, but no sooner than the minimum. The minimum is
# above the 99th percentile of plain services (5 times 45 ms).
_TIMEOUT_FACTOR = 6.0
_MIN_TIMEOUT = datetime.timedelta(milliseconds=350)


def timeout(flight, row):
    """Return the timeout for the first byte of a send, or None for no timeout.

    Only idempotent requests with attempts left have one, as only they may be
    retried at another target.
    """
    route = flight.route
    if route.repeats is not routes.Repeats.IDEMPOTENT:
        return None
    if flight.runs + 1 >= route.max_attempts:
        return None
    average = row.service_time or datetime.timedelta(0)
    return max(_MIN_TIMEOUT, average * _TIMEOUT_FACTOR)


def note_service_time(row, duration):
    """Record how long a target took to answer."""
    if row.service_time is None:
        row.service_time = duration
    else:
        row.service_time += (duration - row.service_time) * NEWEST_WEIGHT
