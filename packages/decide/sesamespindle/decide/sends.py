"""Sends of requests to targets, and how they end."""

import dataclasses
import datetime
import enum

from sesamespindle.decide import kvstores, routes


class Ending(enum.Enum):
    """How a send to a target ended, other than with an answer to pass on."""

    # Nothing left this host: the connection could not be made.
    UNREACHABLE = "unreachable"
    # Nor could it here: nobody listens at the target's address.
    REFUSED = "refused"
    # The target says that it did not run the request: it is full or leaving.
    TURNED_AWAY = "turned_away"
    # Another target has the address now.
    WRONG_TARGET = "wrong_target"
    # The target runs other weights than expected.
    WRONG_VERSION = "wrong_version"
    # The target ran the request and failed it.
    FAILED = "failed"
    # It isn't known whether the request ran.
    LOST = "lost"
    # No answer began within the patience of the send.
    SILENT = "silent"
    # It was taken back, by a `Withdraw`, before its answer had begun.
    WITHDRAWN = "withdrawn"


NOT_ARRIVED = frozenset((Ending.UNREACHABLE, Ending.REFUSED))
# The endings after which a target may have begun to run the request.
MAYBE_RAN = frozenset((Ending.FAILED, Ending.LOST, Ending.SILENT, Ending.WITHDRAWN))


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send a request to a target.

    Attributes
    ----------
    until : datetime.datetime
        When the target is to stop, and the caller gets a final answer.
    patience : datetime.timedelta or None
        Silence after which `Ending.SILENT` is reported; None to wait on.
    version : int or None
        The weight version that must run it.
    born : int
        When the target's life began, as in `lives.Life`.
    """

    request_id: str
    attempt: int
    target: str
    address: str
    until: datetime.datetime
    urgency: int
    account: str | None
    repeats: routes.Repeats
    streaming: bool
    version: int | None = None
    salt: str | None = None
    transfers: kvstores.Transfers = kvstores.NO_TRANSFERS
    patience: datetime.timedelta | None = None
    reason: str = ""
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """Give the caller the target's own failure."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Close the connection of a send, unless its answer has begun meanwhile.

    It then ends as `Ending.WITHDRAWN`.

    Attributes
    ----------
    reason : str
        What decided it, for the log.
    """

    request_id: str
    attempt: int
    reason: str
