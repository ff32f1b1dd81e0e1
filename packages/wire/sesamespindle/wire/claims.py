"""Claims on the platform: one durable record for each caller-chosen key."""

import base64
import datetime
import hashlib

from sesamespindle.decide import events
from sesamespindle.wire import platform

KIND = "claims"


async def take(client, account, key, claim, replaces):
    """Write a claim and return the object's version.

    Raises
    ------
    platform.ConflictError
        If another claim is there.
    platform.PlatformAwayError
        If the platform can't say whether the claim is there.
    """
    return await platform.write_surely(
        client,
        KIND,
        object_name(account, key),
        to_value(claim),
        replaces,
        lambda value: (value["nonce"], value["state"]) == (claim.nonce, claim.state),
    )


def object_name(account, key):
    """Return the name of a key's object; accounts can't name each other's."""
    return hashlib.sha256(f"{account}\0{key}".encode()).hexdigest()


def to_value(claim):
    """Return a claim as JSON values."""
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


def from_value(value):
    """Return the claim of JSON values."""
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
