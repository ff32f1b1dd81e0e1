"""Chooses the kept connection to a target over which a request is sent."""

import collections

import aiohttp


class TargetConnector(aiohttp.TCPConnector):
    """Opens connections to targets and keeps them, choosing by what each has carried.

    Guards against an answer that is taken for that of another send. An answer names its
    request, which tells requests apart, but not two sends of one request on the same
    connection: a late second copy of the refusal of the first would be taken for that
    of the second, which runs meanwhile. So a request isn't sent over a connection on
    which it was refused before. Nor is a connection used on which bytes have arrived
    that belong to no request.

    Parameters
    ----------
    id_header : str
        The header that holds the id of a request.
    **options
        Those of `aiohttp.TCPConnector`.

    Attributes
    ----------
    passed_over : collections.Counter
        How often a kept connection wasn't used, by reason: ``refused`` or ``unread``.
    """

    def __init__(self, id_header, **options):
        super().__init__(**options)
        self._id_header = id_header
        self._request_id = None
        self.passed_over = collections.Counter()

    async def connect(self, req, traces, timeout):
        """Return a kept connection that may carry a request, or a new one."""
        request_id = req.headers.get(self._id_header)
        # Read by `_get`, which is called before anything is awaited.
        self._request_id = request_id
        connection = await super().connect(req, traces, timeout)
        connection.protocol.begin(request_id)
        return connection

    async def _get(self, key, traces):
        """Return a kept connection, or None.

        Nothing is awaited in it, as there are no traces.
        """
        refused = self._remove_unfit(key)
        connection = await super()._get(key, traces)
        if refused:
            # At the front, as the oldest come first.
            self._conns[key].extendleft(reversed(refused))
        return connection

    def _remove_unfit(self, key):
        """Remove the kept connections that may not carry the request.

        Returns
        -------
        refused : list of (connections.TargetConnection, float)
            Those that may carry others.
        """
        kept = self._conns.get(key, ())
        refused = []
        for entry in tuple(kept):
            protocol, _ = entry
            if protocol.should_close:
                kept.remove(entry)
                protocol.close()
                self.passed_over["unread"] += 1
            elif protocol.has_refused(self._request_id):
                kept.remove(entry)
                refused.append(entry)
                self.passed_over["refused"] += 1
        return refused
