"""Signed tokens: tickets for calls, and positions in streams.

Any daemon can verify a token, as all share the key that signs it.
"""

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
    """The token has no valid signature, or belongs to another account.

    The two cases are not told apart, so that callers can't find out which tokens
    exist.
    """

    code = "unknown_token"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """An idempotency key that one incarnation of an entry issued.

    Only that incarnation may run the call that uses it.

    Attributes
    ----------
    account : str
        The client account that may use it.
    entry : str
        The name of the entry.
    incarnation : int
        Start time of the entry's process, in milliseconds since the epoch.
    nonce : str
        Makes the ticket unique.
    expires_at : datetime.datetime
        When it expires. Until then, a ticket that its entry has no record of is
        certainly unused.
    """

    account: str
    entry: str
    incarnation: int
    nonce: str
    expires_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class StreamToken:
    """What a position in a stream says about the stream.

    A position consists of this token and a sequence number.

    Attributes
    ----------
    account : str
        The client account that may resume the stream.
    model : str
        The model's name.
    target : str
        The engine that generates it.
    stream : str
        The id of the stream at that engine.
    version : str
        The weight version that generates it.
    answer_id : str
        The id of the answer in the API.
    """

    account: str
    model: str
    target: str
    stream: str
    version: str
    answer_id: str


class Signer:
    """Signs and verifies tokens.

    Parameters
    ----------
    key : str
        The secret that all daemons share.
    """

    def __init__(self, key):
        self._key = key.encode()

    def mint_ticket(self, account, me, expires_at):
        """Return a new ticket for an account.

        Parameters
        ----------
        account : str
            The client account.
        me : events.Host
            This entry.
        expires_at : datetime.datetime
            When the ticket expires.

        Returns
        -------
        text : str
            The signed ticket, which begins with `TICKET_PREFIX`.
        """
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
        """Verify a signed ticket and return it as a `Ticket`.

        Its expiry is not checked.

        Raises
        ------
        BadTokenError
            If it isn't a ticket of this account.
        """
        body, _, mac = text.removeprefix(TICKET_PREFIX).partition(".")
        fields = self._verify("ticket", body, body, mac, account)
        fields["expires_at"] = datetime.datetime.fromisoformat(fields["expires_at"])
        return Ticket(**fields)

    def stream_signer(self, token):
        """Return a function that maps sequence numbers to signed positions.

        The token is encoded only once for all positions of a stream.

        Parameters
        ----------
        token : StreamToken
            The stream.

        Returns
        -------
        position : callable
            Takes a sequence number (int) and returns the position (str).
        """
        body = _encode(dataclasses.asdict(token))

        def position(sequence):
            signed = f"{body}.{sequence}"
            return f"{signed}.{self._mac('stream', signed)}"

        return position

    def read_position(self, text, account):
        """Verify a signed position in a stream.

        Returns
        -------
        token : StreamToken
            The stream.
        sequence : int
            The sequence number of the last token that the caller has.

        Raises
        ------
        BadTokenError
            If it isn't a position in a stream of this account.
        """
        signed, _, mac = text.rpartition(".")
        body, _, sequence = signed.partition(".")
        fields = self._verify("stream", signed, body, mac, account)
        return StreamToken(**fields), int(sequence)

    def _verify(self, purpose, signed, body, mac, account):
        """Verify a token and return its fields.

        Parameters
        ----------
        purpose : str
            ``ticket`` or ``stream``; a token for one can't be used as the other.
        signed : str
            The text that the MAC covers.
        body : str
            The part of it with the encoded fields.
        mac : str
            The hexadecimal MAC that came with the token.
        account : str
            The account that the token must belong to.
        """
        expected = self._mac(purpose, signed)
        if not hmac.compare_digest(expected.encode(), mac.encode()):
            raise BadTokenError("The token is invalid or of another account.")
        fields = json.loads(base64.urlsafe_b64decode(body))
        if fields["account"] != account:
            raise BadTokenError("The token is invalid or of another account.")
        return fields

    def _mac(self, purpose, text):
        raw = hmac.digest(self._key, f"{purpose}:{text}".encode(), hashlib.sha256)
        return raw[:_MAC_BYTES].hex()


def _encode(fields):
    return base64.urlsafe_b64encode(json.dumps(fields).encode()).decode()
