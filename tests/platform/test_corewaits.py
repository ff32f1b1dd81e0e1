"""Waits for a core, which tests leave out of what they time."""

import os
import time

import corewaits

_BUSY_SECONDS = 0.3


def test_a_busy_process_is_not_taken_for_one_that_waits_for_a_core():
    """Guards against a busy host that passes for a busy machine."""
    waits = corewaits.CoreWaits(os.getpid())
    began = time.monotonic()
    busy_until = time.thread_time() + _BUSY_SECONDS
    while time.thread_time() < busy_until:
        pass
    seconds = time.monotonic() - began
    # The two clocks may run differently by a thousandth.
    assert seconds - waits.longest() > 0.999 * _BUSY_SECONDS
