"""Claims: the idempotency records that the platform stores for callers' keys.

Each idempotency key of an account has at most one claim. The claim names the entry
that runs the call and, once the call is settled, holds the answer.
"""

import base64
import datetime
import hashlib

from sesamespindle.decide import events
from sesamespindle.wire import platform

KIND = "claims"


async def write_claim(client, account, key, claim, replaces):
    """Write a key's claim and return the version of its object.

    Parameters
    ----------
    client : platform.PlatformClient
        The platform's client.
    account, key : str
        The client account and its idempotency key.
    claim : events.Claim
        The claim to write.
    replaces : int
        The object version that the claim replaces; 0 to create the object.

    Raises
    ------
    platform.ConflictError
        If the object holds another claim.
    platform.PlatformUnavailableError
        If it can't be determined whether the claim was written.
    """
    return await platform.write_confirmed(
        client,
        KIND,
        object_name(account, key),
        to_json_value(claim),
        replaces,
        lambda value: (value["nonce"], value["state"]) == (claim.nonce, claim.state),
    )


def object_name(account, key):
    """Return the name of the object that stores a key's claim.

    The name is a hash over the account and the key, so that an account can't reach
    the claims of another account by its choice of keys.
    """
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()


def to_json_value(claim):
    """Return a claim as plain JSON values."""
    value = {
        "entry": claim.entry,
        "incarnation": claim.incarnation,
        "nonce": claim.nonce,
        "fingerprint": claim.fingerprint,
        "state": claim.state.value,
        "taken_at": claim.taken_at.isoformat(),
    }
    if claim.answer is not None:
        value["answer"] = {
            "status": claim.answer.status,
            "content_type": claim.answer.content_type,
            "body": base64.b64encode(claim.answer.body).decode(),
        }
    return value


def from_json_value(value):
    """Return the claim that `to_json_value` turned into plain JSON values."""
    answer = value.get("answer")
    stored = None
    if answer is not None:
        stored = events.StoredAnswer(
            answer["status"], answer["content_type"], base64.b64decode(answer["body"])
        )
    return events.Claim(
        value["entry"],
        value["incarnation"],
        value["nonce"],
        value["fingerprint"],
        events.ClaimState(value["state"]),
        datetime.datetime.fromisoformat(value["taken_at"]),
        stored,
    )
