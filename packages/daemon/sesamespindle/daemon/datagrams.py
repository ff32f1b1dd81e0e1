"""Short messages between daemons, as signed UDP datagrams."""

import asyncio
import hashlib
import hmac

from sesamespindle.daemon import logs

_log = logs.part("peers")
# Length of a signature in bytes: forging one takes 2**127 attempts on average.
_SIGNATURE_BYTES = 16
# The longest payload that is sent as a datagram, in bytes. IPv4 allows 65,507; the rest
# is a margin for the signature and for headers that networks add. A gossip message of
# 40 hosts and 100 targets has 8 KB.
MAX_BYTES = 60_000


class Datagrams(asyncio.DatagramProtocol):
    """A UDP port for signed datagrams between daemons that share a key.

    Datagrams may be lost, duplicated or delayed; callers of `send` must tolerate that.
    Gossip is sent this way and not over gRPC because gossip rounds are most of what
    an idle daemon does, and each gRPC call wakes several of the library's threads,
    which then wake each other.

    Parameters
    ----------
    key : str
        The secret that all daemons share; datagrams that aren't signed with it are
        dropped.
    on_payload : callable
        Called with the payload and the sender's (host, port) for each datagram that
        is signed with the key.
    """

    def __init__(self, key, on_payload):
        self._key = hashlib.blake2b(key.encode()).digest()
        self._on_payload = on_payload
        self._transport = None

    async def open(self, host, port):
        """Start to send and receive at an address.

        Raises
        ------
        OSError
            If the port can't be bound.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def close(self):
        """Stop sending and receiving; does nothing if the port isn't open."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, payload, peer):
        """Sign and send a payload; does nothing if the port isn't open.

        Parameters
        ----------
        payload : bytes
            At most `MAX_BYTES` long.
        peer : tuple of (str, int)
            The receiver's IP address and port.
        """
        if self._transport is not None:
            self._transport.sendto(self._sign(payload) + payload, peer)

    # Callbacks of the event loop.

    def connection_made(self, transport):
        """Store the transport of the opened port."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Pass a datagram's payload on if its signature is valid.

        Guards against datagrams of senders that aren't daemons: forged gossip would
        add hosts that don't exist, and callers would be sent to them. Without the
        shared key nobody can make a valid signature.
        """
        signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if hmac.compare_digest(signature, self._sign(payload)):
            self._on_payload(payload, addr)
        else:
            _log.debug("Dropped a datagram from {}: invalid signature.", addr)

    def error_received(self, exc):
        """Log that a datagram could not be sent; it is treated like a lost one."""
        _log.debug("A datagram could not be sent. {}", exc)

    def _sign(self, payload):
        return hashlib.blake2b(
            payload, digest_size=_SIGNATURE_BYTES, key=self._key
        ).digest()
