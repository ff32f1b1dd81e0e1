"""Signals that a process listens to before it opens its first port."""

import signal


def on_signal(loop, number, callback, *arguments):
    """Have a loop call back at each signal of a number, from now on.

    Guards against a signal that is lost. A daemon's loop runs once to start it
    and once more until it is told to leave, and the loop's own handlers forget
    what comes while it doesn't run. A signal that comes when the loop has been
    closed is too late to matter.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Need not run yet.
    number : signal.Signals
        The signal.
    callback : callable
        Called in the loop, with the arguments.
    """

    def take(*_):
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback, *arguments)

    signal.signal(number, take)
