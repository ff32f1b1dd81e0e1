"""What both halves of the slices of accounts' limits share.

An account's owner is one entry, by rendezvous over the live ones. It cuts the
limit into slices (`sliceowner`), which entries hold for one grant lifetime
(`sliceholder`). The sum of what the owner has to count never exceeds the limit.
"""

import datetime

from sesamespindle.decide import events

# The owner counts a slice for a little longer than its holder uses it.
OWNER_MARGIN = datetime.timedelta(milliseconds=500)


def limit_of(contract, resource):
    """Return the limit that a contract sets for a resource."""
    match resource:
        case events.Resource.PROMPTS:
            return contract.concurrency
        case events.Resource.CALLS:
            return contract.call_concurrency


def fallback_share(state, limit):
    """Return what an entry may use while it can reach no owner."""
    return limit // (2 * max(1, len(state.entries)))


def is_settled(state, now):
    """Return whether no slice of a replaced entry can still be in use."""
    lifetime = state.policy.grant_lifetime
    replaced_at = state.replaced_at
    return replaced_at is None or now - replaced_at > lifetime + OWNER_MARGIN
