"""Signed tokens: tickets for calls, and positions in streams."""

import base64
import dataclasses
import datetime
import hashlib
import hmac
import json
import secrets

TICKET_PREFIX = "tkt_"
_MAC_BYTES = 16


class BadTokenError(Exception):
    """The token is not one of ours, or is another account's.

    Both get the same answer, so that nobody learns which tokens exist.
    """

    code = "unknown_token"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A key minted by one incarnation of an entry, which alone may run it."""

    account: str
    entry: str
    incarnation: int
    nonce: str
    expires_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class StreamToken:
    """A stream as its reader is told of it; the sequence comes beside it."""

    account: str
    model: str
    target: str
    stream: str
    version: str
    answer_id: str


class Signer:
    """Signs tokens and checks them.

    Parameters
    ----------
    key : str
        The secret that all daemons share.
    """

    def __init__(self, key):
        self._key = key.encode()

    def mint_ticket(self, account, me, expires_at):
        """Return the text of a new ticket for an account."""
        fields = {
            "account": account,
            "entry": me.name,
            "incarnation": me.incarnation,
            "nonce": secrets.token_hex(8),
            "expires_at": expires_at.isoformat(),
        }
        body = _encode(fields)
        return f"{TICKET_PREFIX}{body}.{self._mac('ticket', body)}"

    def read_ticket(self, text, account):
        """Return the `Ticket` of a text.

        Raises
        ------
        BadTokenError
            If it isn't a ticket of this account.
        """
        body, _, mac = text.removeprefix(TICKET_PREFIX).partition(".")
        fields = self._open("ticket", body, body, mac, account)
        fields["expires_at"] = datetime.datetime.fromisoformat(fields["expires_at"])
        return Ticket(**fields)

    def stream_signer(self, token):
        """Return a function from sequence numbers to the texts of positions."""
        body = _encode(dataclasses.asdict(token))

        def position(sequence):
            signed = f"{body}.{sequence}"
            return f"{signed}.{self._mac('stream', signed)}"

        return position

    def read_position(self, text, account):
        """Return the `StreamToken` and the sequence number of a position.

        Raises
        ------
        BadTokenError
            If it isn't a position in a stream of this account.
        """
        signed, _, mac = text.rpartition(".")
        body, _, sequence = signed.partition(".")
        fields = self._open("stream", signed, body, mac, account)
        return StreamToken(**fields), int(sequence)

    def _open(self, purpose, signed, body, mac, account):
        expected = self._mac(purpose, signed)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            raise BadTokenError("The token is not known.")
        fields = json.loads(base64.urlsafe_b64decode(body))
        if fields["account"] != account:
            raise BadTokenError("The token is not known.")
        return fields

    def _mac(self, purpose, text):
        raw = hmac.digest(self._key, f"{purpose}:{text}".encode(), hashlib.sha256)
        return raw[:_MAC_BYTES].hex()


def _encode(fields):
    return base64.urlsafe_b64encode(json.dumps(fields).encode()).decode()
