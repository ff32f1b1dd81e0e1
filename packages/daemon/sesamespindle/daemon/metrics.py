"""Metrics sent to statsd: first tokens, origin of contexts, refusals and load."""

import statsd


class Metrics:
    """Sends metrics to statsd, or does nothing if no statsd host is configured.

    Parameters
    ----------
    settings : sesamespindle.declare.settings.Statsd
        The statsd host, port and prefix.
    """

    def __init__(self, settings):
        self._client = None
        if settings.host:
            self._client = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    def first_token(self, account, duration, started):
        """Record the time to first token, and where the KV cache came from.

        Parameters
        ----------
        account : str
            The client account.
        duration : datetime.timedelta
            The time to first token.
        started : sesamespindle.wire.engine.Started
            How many prompt tokens were reused, imported and computed.
        """
        if self._client is None:
            return
        self._client.timing(f"first_token.{account}", duration)
        self._client.incr("context.reused_tokens", started.reused_tokens)
        self._client.incr("context.imported_tokens", started.imported_tokens)
        self._client.incr("context.computed_tokens", started.computed_tokens)

    def refused(self, code):
        """Count a refused request under its error code."""
        if self._client is not None:
            self._client.incr(f"refused.{code}")

    def in_flight(self, count):
        """Record the number of requests in flight."""
        if self._client is not None:
            self._client.gauge("in_flight", count)

    def callers(self, quota):
        """Record what is held for callers, and how many connections gave way so far.

        Parameters
        ----------
        quota : sesamespindle.decide.callerquota.CallerQuota
            Counts it.
        """
        if self._client is None:
            return
        self._client.gauge("caller_bytes", quota.held_bytes)
        self._client.gauge("caller_connections", len(quota))
        for (stage, cause), count in quota.gave_way.items():
            self._client.gauge(f"caller_connections_closed.{stage}.{cause}", count)
