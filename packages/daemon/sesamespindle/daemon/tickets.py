"""Calls under tickets.

A ticket is an idempotency key that an entry issued. Only that incarnation of the
entry may run the call; all others forward it there.
"""

from sesamespindle.daemon import arrivals, replies, tokens
from sesamespindle.decide import commands, events


class Tickets:
    """Runs calls under tickets of this entry, and forwards those of others.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Supplies the clock and the decision logic.
    calls : sesamespindle.daemon.call_runner.CallRunner
        Runs the calls.
    signer : sesamespindle.daemon.tokens.Signer
        Verifies tickets.
    peers : sesamespindle.daemon.peering.Peering
        Forwards calls to other entries.
    call_timeout : datetime.timedelta
        The time until the deadline of a call.
    """

    def __init__(self, driver, calls, signer, peers, call_timeout):
        self._driver = driver
        self._calls = calls
        self._signer = signer
        self._peers = peers
        self._call_timeout = call_timeout

    async def call(self, account, pool, call):
        """Make a call under a ticket and return its `call_runner.CallReply`.

        Parameters
        ----------
        account : str
            The client account.
        pool : str
            The pool of targets to call.
        call : sesamespindle.wire.service.ServiceRequest
            The call, whose key is the ticket.

        Raises
        ------
        replies.CallerError
            The final answer if the ticket is invalid or expired, its entry can't be
            reached, or the call is refused or abandoned.
        """
        try:
            ticket = self._signer.read_ticket(call.key, account)
        except (tokens.BadTokenError, ValueError) as error:
            raise replies.CallerError(
                404, "unknown_ticket", "The ticket is unknown."
            ) from error
        me = self._driver.core.state.me
        if (ticket.entry, ticket.incarnation) == (me.name, me.incarnation):
            return await self._run_here(account, pool, call, ticket)
        return await self._forward(account, pool, call, ticket)

    async def _run_here(self, account, pool, call, ticket):
        """Make the call, unless the ticket has expired and its key is unknown.

        Guards against running a call twice because its key was dropped after the
        first run. Keys are kept for much longer than tickets are valid. So an
        unknown key was never used as long as its ticket is valid; once the ticket
        has expired, the key may have been used and dropped, and the call is
        refused.
        """
        if self._driver.clock.now() >= ticket.expires_at:
            is_key_known = self._driver.core.calls.has_key(account, call.key)
            if not is_key_known:
                raise _ticket_expired_error()
        arrival = arrivals.call_arrival(
            self._driver, account, pool, call, events.KeyKind.TICKET, self._call_timeout
        )
        return await self._calls.run(arrival, call)

    async def _forward(self, account, pool, call, ticket):
        """Forward a call to the incarnation that issued its ticket.

        Guards against a call that two entries run. No other incarnation ever runs
        it. If the one that issued the ticket is gone, no one can know whether it
        ran the call, and the caller is told that the outcome is unknown.
        """
        deadline = self._driver.clock.now() + self._call_timeout
        if self._driver.core.calls.may_outlast_host(deadline):
            raise self._leaving_error()
        entry = self._driver.core.state.entries.get(ticket.entry)
        is_dead = entry is None or entry.state is events.HostState.DEAD
        if is_dead or entry.incarnation not in (0, ticket.incarnation):
            raise _entry_unreachable_error()
        reply = await self._peers.forward_call(
            entry.peer_address, account, pool, call, self._call_timeout
        )
        if reply is None:
            raise _entry_unreachable_error()
        return reply

    def _leaving_error(self):
        return replies.CallerError(
            503,
            commands.Code.SHUTTING_DOWN,
            "The entry is leaving; connect to another.",
            self._driver.core.state.policy.retry_after,
        )


def _ticket_expired_error():
    return replies.CallerError(
        410,
        "ticket_expired",
        "The ticket has expired.",
        outcome=commands.Outcome.UNKNOWN,
    )


def _entry_unreachable_error():
    return replies.CallerError(
        502,
        commands.Code.ENTRY_GONE,
        "The entry that minted the ticket can't be reached.",
        outcome=commands.Outcome.UNKNOWN,
    )
