"""Signal handlers that also work while the event loop is not running."""

import signal


def on_signal(loop, number, callback, *arguments):
    """Register a callback that an event loop runs for each signal of a number.

    Guards against a lost signal: a daemon that should leave would go on serving. The
    daemon's loop runs twice, once to start the daemon and then until it leaves, and the
    loop's own signal handlers lose signals that arrive in between. This handler
    schedules the callback also then, and the loop calls it when it runs again. Signals
    that arrive after the loop is closed are ignored.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The loop; it need not be running.
    number : signal.Signals
        The signal.
    callback : callable
        Called in the loop, with the arguments.
    *arguments
        The arguments of the callback.
    """
    signal.signal(number, lambda *_: run_in(loop, callback, *arguments))


def run_in(loop, callback, *arguments):
    """Have a loop call a function soon, from a signal handler; not if it is closed."""
    if not loop.is_closed():
        loop.call_soon_threadsafe(callback, *arguments)
