"""How long a send waits for a target that says nothing."""

import asyncio


class FirstByteTimeout:
    """Ends a send at a silent target once its request may go elsewhere.

    An asynchronous context manager that raises `TimeoutError` within its block. If the
    request may not go elsewhere, the send waits on, and is looked at again after the
    same time: a late answer is better than none.

    Parameters
    ----------
    seconds : float or None
        How long the target may be silent; None if the send only waits.
    may_end : callable
        Returns whether the send may end now.
    """

    def __init__(self, seconds, may_end):
        self._seconds = seconds
        self._may_end = may_end
        self._timeout = asyncio.timeout(None)
        self._timer = None

    async def __aenter__(self):
        await self._timeout.__aenter__()
        self._start()
        return self

    async def __aexit__(self, *exc_info):
        self.stop()
        return await self._timeout.__aexit__(*exc_info)

    @property
    def has_expired(self):
        """Whether the send was ended."""
        return self._timeout.expired()

    def stop(self):
        """Let the send take as long as it needs, as its target has answered."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start(self):
        if self._seconds is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._seconds, self._look)

    def _look(self):
        if self._may_end():
            self._timer = None
            self._timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self._start()
