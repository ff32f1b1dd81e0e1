"""Functions that owners and holders of the slices of accounts' limits share.

The owner of an account is one entry, chosen by rendezvous hashing over the live
entries. It divides the account's limit into slices (`sliceowner`). Entries hold a slice
for one grant lifetime, like a lease (`sliceholder`). The slots that the entries may be
using, as the owner counts them, never exceed the limit.
"""

import datetime

from sesamespindle.decide import events

# The owner counts a slice for this much longer than its holder uses it.
OWNER_MARGIN = datetime.timedelta(milliseconds=500)


def limit_of(contract, resource):
    """Return the number of slots that a contract allows of a resource."""
    match resource:
        case events.Resource.PROMPTS:
            return contract.concurrency
        case events.Resource.CALLS:
            return contract.call_concurrency


def fallback_share(state, limit):
    """Return the number of slots that an entry may use while it can reach no owner.

    All fallback shares together are at most half of the limit.
    """
    return limit // (2 * max(1, len(state.entries)))


def is_settled(state, now):
    """Return whether all slices of replaced incarnations of entries have expired."""
    lifetime = state.policy.grant_lifetime
    replaced_at = state.replaced_at
    return replaced_at is None or now - replaced_at > lifetime + OWNER_MARGIN
