"""Signals that arrive while the event loop is not running."""

import asyncio
import os
import signal

import uvloop

from sesamespindle.daemon import signals


def test_a_signal_between_two_runs_of_the_loop_is_handled(request):
    """A signal arrives between the loop's run that starts the daemon and the next.

    The loop's own signal handlers lose such a signal: the host would go on serving
    until the platform kills it.
    """
    before = signal.getsignal(signal.SIGUSR1)
    request.addfinalizer(lambda: signal.signal(signal.SIGUSR1, before))
    received = asyncio.Event()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        signals.on_signal(runner.get_loop(), signal.SIGUSR1, received.set)
        os.kill(os.getpid(), signal.SIGUSR1)
        runner.run(asyncio.wait_for(received.wait(), 15))
        received.clear()
        os.kill(os.getpid(), signal.SIGUSR1)
        runner.run(asyncio.wait_for(received.wait(), 15))
    os.kill(os.getpid(), signal.SIGUSR1)
    assert received.is_set()
