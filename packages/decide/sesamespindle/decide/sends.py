"""Commands that send requests to targets, and how sends end.

A send is one attempt of a request at one target.
"""

import dataclasses
import datetime
import enum

from sesamespindle.decide import kvstores, ledgers, routes


class Ending(enum.Enum):
    """How a send ended, other than with an answer that is relayed to the caller."""

    # Nothing was sent: the connection could not be made.
    UNREACHABLE = "unreachable"
    # Nothing was sent: nothing listens at the target's address.
    REFUSED = "refused"
    # The target says that it did not run the request, as it is full or leaving.
    TURNED_AWAY = "turned_away"
    # Another target uses the address now.
    WRONG_TARGET = "wrong_target"
    # The target runs another weight version than the request expects.
    WRONG_VERSION = "wrong_version"
    # The target ran the request and answered with a failure.
    FAILED = "failed"
    # The answer was lost or unusable, so it isn't known whether the request ran.
    LOST = "lost"
    # What came belongs to another request, so it isn't known whether this one ran.
    FOREIGN = "foreign"
    # No answer began within the timeout of the send.
    SILENT = "silent"
    # A `Withdraw` cancelled it before its answer had begun.
    WITHDRAWN = "withdrawn"
    # The peer that was to carry the request didn't send it to a target.
    DECLINED = "declined"
    # The peer sent it to targets, of which none ran it, and gives it back.
    HANDED_BACK = "handed_back"


# The endings after which nothing of the request has reached a target.
NOT_ARRIVED = frozenset((Ending.UNREACHABLE, Ending.REFUSED, Ending.DECLINED))
# The endings by which a peer lets this host ask another one.
GIVEN_BACK = frozenset((Ending.DECLINED, Ending.HANDED_BACK))
# The endings after which a target may have begun to run the request.
MAYBE_RAN = frozenset(
    (Ending.FAILED, Ending.LOST, Ending.FOREIGN, Ending.SILENT, Ending.WITHDRAWN)
)
# The endings after which the connection may bring more that can't be told apart.
UNUSABLE_AFTER = frozenset((Ending.LOST, Ending.FOREIGN))


@dataclasses.dataclass(frozen=True, slots=True)
class Passport:
    """What a host shows the peer that is to carry a request to a target.

    Attributes
    ----------
    sender : str
        The name of the host that asks.
    receiver_incarnation : int
        The incarnation of the peer, as the sender knows it.
    runs : int
        The number of targets that may have run the request already.
    """

    sender: str
    receiver_incarnation: int
    runs: int


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send a request to a target, or to a peer that carries it to one.

    Attributes
    ----------
    attempt : int
        The number of the send among those of the request, from 1.
    until : datetime.datetime
        The deadline, at which the target stops and the caller gets a final answer.
    urgency : int
        What the target sorts its queue by, 0 first.
    version : int or None
        The weight version that the target must run; None for plain services.
    salt : str or None
        The name under which the target keeps the KV cache of the prompt.
    transfers : kvstores.Transfers
        Which prompt parts the target fetches from, and saves to, where.
    first_byte_timeout : datetime.timedelta or None
        Timeout for the first byte, after which `Ending.SILENT` is reported; None
        for no timeout.
    reason : str
        Why this target was chosen, for the log.
    born : int
        Start time of the target's incarnation, as in `incarnations.TargetIncarnation`.
    passport : Passport or None
        Set if `target` and `address` are those of a peer that carries the request.
    software : str
        The software version at which a peer has to carry it on; empty for any.
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
    first_byte_timeout: datetime.timedelta | None = None
    reason: str = ""
    born: int = 0
    passport: Passport | None = None
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class AskKeeper:
    """Ask the keeper of an engine for room, and go on with its answer.

    Attributes
    ----------
    keeper : str
        The name of the keeper, which may be this host.
    address : str
        Its peer address.
    ask : ledgers.Ask
        The question.
    """

    request_id: str
    keeper: str
    address: str
    ask: ledgers.Ask


@dataclasses.dataclass(frozen=True, slots=True)
class TellKeeper:
    """Tell the keeper of an engine what became of a prompt."""

    address: str
    tell: ledgers.Tell


@dataclasses.dataclass(frozen=True, slots=True)
class PassOn:
    """Relay the target's own failure response to the caller."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """Close the connection of a send, unless its answer has begun meanwhile.

    The send then ends with `Ending.WITHDRAWN`.

    Attributes
    ----------
    reason : str
        Why the send is withdrawn, for the log.
    """

    request_id: str
    attempt: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait until a `Resume` comes for the request, or until a time.

    Attributes
    ----------
    until : datetime.datetime
        When the request gets its final answer if it wasn't resumed.
    reason : str
        Why no target has room, and the request's place, for the log.
    """

    request_id: str
    until: datetime.datetime
    service: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """End the wait of a request: a target has room, or it is refused."""

    request_id: str
