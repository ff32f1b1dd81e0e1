"""Turning callers' requests into events of the decision logic."""

import hashlib

from sesamespindle.decide import events


def call_arrival(driver, account, pool, call, kind, timeout):
    """Return the event of a call's arrival."""
    declared_pool = driver.core.state.pools.get(pool)
    repeatable = call.method == "GET" or (
        declared_pool is not None
        and call.path.partition("?")[0] in declared_pool.repeatable_paths
    )
    parts = [pool.encode(), call.method.encode(), call.path.encode(), call.body]
    fingerprint = hashlib.sha256(b"\0".join(parts)).hexdigest()
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
