"""Calls under tickets: made by the entry that minted them, passed on by others."""

from sesamespindle.daemon import arrivals, replies, tokens
from sesamespindle.decide import commands, events


class Tickets:
    """Makes calls under tickets here, or passes them on to their entry.

    Parameters
    ----------
    peers : sesamespindle.daemon.peering.Peering
        How other entries are reached.
    """

    def __init__(self, driver, calls, signer, peers, call_timeout):
        self._driver = driver
        self._calls = calls
        self._signer = signer
        self._peers = peers
        self._call_timeout = call_timeout

    async def call(self, account, pool, call):
        """Make a call under a ticket and return its `call_runner.CallReply`.

        Raises
        ------
        replies.CallerError
            With the final answer to a call that was given up.
        """
        try:
            ticket = self._signer.read_ticket(call.key, account)
        except (tokens.BadTokenError, ValueError) as error:
            raise replies.CallerError(
                404, "unknown_ticket", "The ticket is not known."
            ) from error
        me = self._driver.core.state.me
        if (ticket.entry, ticket.incarnation) == (me.name, me.incarnation):
            return await self._call_here(account, pool, call, ticket)
        return await self._pass_on(account, pool, call, ticket)

    async def _call_here(self, account, pool, call, ticket):
        """Make the call, unless the ticket is too old to know if it was used.

        Guards against running a call again after its key was dropped: keys are
        kept for much longer than tickets last.
        """
        if self._driver.clock.now() >= ticket.expires_at:
            known = self._driver.core.calls.knows_key(account, call.key)
            if not known:
                raise _ticket_expired()
        arrival = arrivals.call_arrival(
            self._driver, account, pool, call, events.KeyKind.TICKET, self._call_timeout
        )
        return await self._calls.run(arrival, call)

    async def _pass_on(self, account, pool, call, ticket):
        """Pass a call on to the incarnation that may run it.

        Guards against a second run by two entries: nobody else runs it, and
        where that incarnation is gone nobody can know whether it did.
        """
        deadline = self._driver.clock.now() + self._call_timeout
        if self._driver.core.calls.may_outlast_host(deadline):
            raise self._leaving()
        entry = self._driver.core.state.entries.get(ticket.entry)
        gone = entry is None or entry.state is events.HostState.DEAD
        if gone or entry.incarnation not in (0, ticket.incarnation):
            raise _entry_gone()
        reply = await self._peers.forward_call(
            entry.peer_address, account, pool, call, self._call_timeout
        )
        if reply is None:
            raise _entry_gone()
        return reply

    def _leaving(self):
        return replies.CallerError(
            503,
            commands.Code.SHUTTING_DOWN,
            "The entry is leaving; connect to another.",
            self._driver.core.state.policy.retry_after,
        )


def _ticket_expired():
    return replies.CallerError(
        410,
        "ticket_expired",
        "The ticket has expired.",
        outcome=commands.Outcome.UNKNOWN,
    )


def _entry_gone():
    return replies.CallerError(
        502,
        commands.Code.ENTRY_GONE,
        "The entry that minted the ticket can't be reached.",
        outcome=commands.Outcome.UNKNOWN,
    )
