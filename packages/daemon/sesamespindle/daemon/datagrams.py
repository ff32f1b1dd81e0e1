"""Short messages between daemons, as datagrams that are signed."""

import asyncio
import hashlib
import hmac

from sesamespindle.daemon import logs

_log = logs.part("peers")
# Bytes of a signature: forging one takes 2**127 tries.
_SIGNATURE_BYTES = 16
# The longest payload that is sent as a datagram, in bytes: below the 65,507 that IPv4
# takes, with room for what systems add. Gossip of 40 hosts and 100 targets has 8 KB.
MAX_BYTES = 60_000


class Datagrams(asyncio.DatagramProtocol):
    """A port for datagrams of peers that share a key.

    One may be lost, or come late; who sends sees to that. Gossip is sent this way
    and not by gRPC because its rounds are most of what an idle daemon does, and gRPC's
    threads wake each other for each.

    Parameters
    ----------
    key : str
        The secret that all daemons share; datagrams without it are dropped.
    take : callable
        Called with the payload and the (host, port) that it came from.
    """

    def __init__(self, key, take):
        self._key = hashlib.blake2b(key.encode()).digest()
        self._take = take
        self._transport = None

    async def open(self, host, port):
        """Begin to receive at an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    def close(self):
        """Stop sending and receiving."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, payload, peer):
        """Send a payload of at most `MAX_BYTES` to a (host, port)."""
        if self._transport is not None:
            self._transport.sendto(self._sign(payload) + payload, peer)

    # What the event loop calls.

    def connection_made(self, transport):
        """Take the port that was opened."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Hand a datagram on if a peer has signed it."""
        signature, payload = data[:_SIGNATURE_BYTES], data[_SIGNATURE_BYTES:]
        if hmac.compare_digest(signature, self._sign(payload)):
            self._take(payload, addr)
        else:
            _log.debug("A datagram from {} isn't of a peer.", addr)

    def error_received(self, exc):
        """Note that one couldn't be sent; whoever needs it sends another."""
        _log.debug("A datagram could not be sent. {}", exc)

    def _sign(self, payload):
        return hashlib.blake2b(
            payload, digest_size=_SIGNATURE_BYTES, key=self._key
        ).digest()
