"""Final answers to requests that are given up."""

from sesamespindle.decide import commands, retries


def refuse_unrun(state, request_id, code, message, wait=None):
    """Refuse a request of which nothing reached a target.

    Parameters
    ----------
    wait : datetime.timedelta, optional
        When it makes sense to come back; the caller is told up to half as much
        again, so that refused callers don't come back together.
    """
    _refuse(state, request_id, code, commands.Outcome.NOT_RUN, message, wait)


def refuse_quarantined(state, request_id, refusal):
    """Refuse a request as a `quarantine.Refusal` says."""
    state.emit(
        commands.Refuse(
            request_id,
            refusal.code,
            commands.Outcome.NOT_RUN,
            refusal.message,
            refusal.retry_after,
        )
    )


def refuse_leaving(state, request_id):
    """Refuse a request that this host could cut off, as it leaves."""
    refuse_unrun(
        state,
        request_id,
        commands.Code.SHUTTING_DOWN,
        "The entry is leaving; connect to another.",
        state.policy.retry_after,
    )


def refuse_unknown(state, request_id, code, message, wait=None):
    """Refuse a request that may have run; see `refuse_unrun`."""
    _refuse(state, request_id, code, commands.Outcome.UNKNOWN, message, wait)


def _refuse(state, request_id, code, outcome, message, wait):
    retry_after = retries.spread(wait, state.random) if wait else None
    state.emit(commands.Refuse(request_id, code, outcome, message, retry_after))
