"""Peers that carry requests to targets which this host can't reach.

The peer sends the request to a target as if its own caller had sent it, and this host
relays the answer. A request is carried once at most: the peer that carries it doesn't
ask another one.
"""

import datetime

from sesamespindle.decide import commands, routes, sends

# How long a peer that declined or lost a request is not asked again.
_AVOIDED_FOR = datetime.timedelta(seconds=1)
# Requests that one host carries for others at once. It bounds the memory and the
# processor time that a few hosts spend for many that are cut.
MAX_CARRIED = 200
# A peer of another data centre is asked once the nearer ones have this many requests
# from here more.
_REQUESTS_PER_DISTANCE = 8
# An idempotent request is carried by another peer if no answer has begun after this
# time. The peer itself retries at other targets meanwhile.
_FIRST_BYTE_TIMEOUT = datetime.timedelta(seconds=1.5)
# The refusals of a carrying peer that are final; after any other one that says "not
# run" another peer is asked.
_FINAL_CODES = frozenset(
    (
        commands.Code.LIMITED,
        commands.Code.RESTING,
        commands.Code.OVERLOADED,
        commands.Code.NO_TARGET,
        commands.Code.SUSPECTED,
        commands.Code.QUARANTINED,
        commands.Code.TIMEOUT,
        commands.Code.VERSION_GONE,
    )
)


def declines(refuse):
    """Return whether a refusal lets the sender ask another peer."""
    is_not_run = refuse.outcome is commands.Outcome.NOT_RUN
    return is_not_run and refuse.code not in _FINAL_CODES


class Carriers:
    """Chooses the peers that carry requests, and which requests to carry.

    Parameters
    ----------
    state : world.World
        The shared tables.
    reach : reach.Reach
        What this host reaches.
    brittle : brittle.BrittleTargets
        Which hosts alone send to services whose targets are brittle.
    reachable : callable
        Takes the name of a data centre and the present time, and returns whether the
        data centre has been heard from lately.
    port : int
        The port at which hosts accept requests to carry; 0 if they accept none.
    """

    def __init__(self, state, reach, brittle, reachable, port):
        self._state = state
        self._reach = reach
        self._brittle = brittle
        self._reachable = reachable
        self._port = port
        self._in_flight_by_peer = {}
        self._avoided_until_by_peer = {}
        self.carried_here = 0

    # For the host that is cut.

    def carry(self, flight, now):
        """Return the send of a request through a peer, or None if it isn't carried."""
        if not self._should_carry(flight):
            return None
        peer = self._choose(flight.service, now)
        if peer is None:
            return None
        flight.incarnation, flight.sent_at, flight.version = None, None, None
        flight.sent_software = ""
        flight.begun_at = None
        flight.carrier = peer.name
        flight.has_carrier_answered = False
        flight.begin_send()
        self._in_flight_by_peer[peer.name] = self._count(peer) + 1
        request = flight.request
        may_repeat = flight.route.repeats is routes.Repeats.IDEMPOTENT
        return sends.Forward(
            request.request_id,
            flight.sends,
            peer.name,
            f"{_ip(peer)}:{self._port}",
            flight.until,
            0,
            None,
            flight.route.repeats,
            flight.route.streaming,
            first_byte_timeout=_FIRST_BYTE_TIMEOUT if may_repeat else None,
            reason=f"Carried, as this host doesn't send to {flight.service}.",
            born=peer.incarnation,
            passport=sends.Passport(self._state.me.name, peer.incarnation, flight.runs),
            software=flight.software,
        )

    def note_end(self, flight, ending, now):
        """Record that a carried send ended without a whole answer to relay.

        Guards against callers who are refused for lack of peers because streams break
        off at engines: a peer that answers isn't avoided, unless it gives the request
        back.
        """
        if not flight.carrier:
            return
        if flight.has_carrier_answered and ending not in sends.GIVEN_BACK:
            return
        self._avoided_until_by_peer[flight.carrier] = now + _AVOIDED_FOR

    def release(self, flight):
        """Stop counting a carried request against its peer."""
        if flight.carrier:
            self._in_flight_by_peer[flight.carrier] -= 1
            flight.carrier = ""

    def has_any(self, service, now):
        """Return whether a peer may carry requests for a service."""
        return self._choose(service, now) is not None

    def _should_carry(self, flight):
        if flight.request.passport is not None or not self._port:
            return False
        if self._reach.is_unreached(flight.service):
            return True
        senders = self._senders(flight.service)
        if senders and self._state.me.name not in senders:
            return True
        failed_at = flight.failed_from
        return (
            failed_at is not None
            and self._reach.is_doubtful(flight.service)
            and not self._reach.heard_since(flight.service, failed_at)
        )

    def _senders(self, service):
        """Return the hosts that alone send to a brittle service; None if all may."""
        rows = self._state.targets.where("pool", service)
        return self._brittle.senders([row for row in rows if row.stays], service)

    def _choose(self, service, now):
        """Return the entry row of the peer to ask, or None if none can be asked."""
        senders = self._senders(service)
        rows = [
            row
            for row in self._state.live_entries()
            if row.name != self._state.me.name
            and row.peer_address
            and row.url
            and service not in row.unreached
            and (senders is None or row.name in senders)
            and self._reachable(row.data_centre, now)
            and self._avoided_until_by_peer.get(row.name, now) <= now
        ]
        if not rows:
            return None
        random = self._state.random
        return min(rows, key=lambda row: (self._cost(row), random.random()))

    def _cost(self, row):
        distance = self._state.distance(row.data_centre)
        return self._count(row) + _REQUESTS_PER_DISTANCE * distance

    def _count(self, row):
        return self._in_flight_by_peer.get(row.name, 0)

    # For the host that carries.

    def knows(self, passport, ip):
        """Return whether a request to be carried comes from a known host.

        Guards against callers that get past their own host's checks: the connection
        must come from the address of the host that the passport names.
        """
        row = self._state.entries.get(passport.sender)
        return row is not None and _ip(row) == ip

    def refusal(self, request):
        """Return the refusal of a request to be carried, or None to carry it."""
        me = self._state.entries.get(self._state.me.name)
        if request.passport.receiver_incarnation != me.incarnation:
            return _refuse(
                request, commands.Code.NOT_READY, "It is meant for another incarnation."
            )
        if self.carried_here >= MAX_CARRIED:
            return _refuse(
                request,
                commands.Code.CARRIER_BUSY,
                f"This host carries {self.carried_here} requests for others already.",
            )
        return None


def _refuse(request, code, message):
    return commands.Refuse(request.request_id, code, commands.Outcome.NOT_RUN, message)


def _ip(row):
    return row.peer_address.rpartition(":")[0]
