"""Conversion of callers' requests to events of the decision logic."""

import hashlib

from sesamespindle.decide import events


def call_arrival(driver, account, pool, call, kind, timeout):
    """Return the event for a call to a plain service.

    Parameters
    ----------
    driver : sesamespindle.daemon.driver.Driver
        Supplies the clock and the declared pools.
    account : str
        The client account.
    pool : str
        The pool of targets to call.
    call : sesamespindle.wire.service.ServiceRequest
        The call.
    kind : events.KeyKind
        What kind of idempotency key the call has.
    timeout : datetime.timedelta
        The time until the call's deadline.

    Returns
    -------
    arrival : events.CallArrived
        Marked as repeatable for a GET, or if the pool declares the path so.
    """
    declared_pool = driver.core.state.pools.get(pool)
    repeatable = call.method == "GET" or (
        declared_pool is not None
        and call.path.partition("?")[0] in declared_pool.repeatable_paths
    )
    identity = [pool.encode(), call.method.encode(), call.path.encode(), call.body]
    fingerprint = hashlib.sha256(b"\0".join(identity)).hexdigest()
    return events.CallArrived(
        call.request_id,
        account,
        pool,
        driver.clock.now() + timeout,
        kind,
        call.key,
        fingerprint,
        repeatable,
    )
