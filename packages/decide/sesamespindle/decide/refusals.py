"""Refusals: final answers to requests that are not run, or not run again."""

from sesamespindle.decide import commands, retries


def refuse_unrun(state, request_id, code, message, wait=None):
    """Refuse a request that no target can have run; its outcome is "not run".

    Parameters
    ----------
    state : world.World
        Where the refusal is emitted.
    request_id : str
        The request.
    code : commands.Code
        Why it is refused.
    message : str
        The reason in words, for the caller.
    wait : datetime.timedelta, optional
        The shortest useful delay before a retry. The caller gets up to 1.5 times
        as much, so that refused callers don't all retry at the same time.
    """
    _refuse(state, request_id, code, commands.Outcome.NOT_RUN, message, wait)


def refuse_quarantined(state, request_id, refusal):
    """Refuse a request with the code and message of a `quarantine.Refusal`."""
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
    """Refuse a request that this leaving host might not be able to finish."""
    refuse_unrun(
        state,
        request_id,
        commands.Code.SHUTTING_DOWN,
        "The entry is leaving; connect to another.",
        state.policy.retry_after,
    )


def refuse_unknown(state, request_id, code, message, wait=None):
    """Refuse a request that may have run; its outcome is "unknown".

    For the parameters see `refuse_unrun`.
    """
    _refuse(state, request_id, code, commands.Outcome.UNKNOWN, message, wait)


def _refuse(state, request_id, code, outcome, message, wait):
    retry_after = retries.with_jitter(wait, state.random) if wait else None
    state.emit(commands.Refuse(request_id, code, outcome, message, retry_after))
