"""Metrics by statsd: the three measures, and refusals by code."""

import statsd


class Metrics:
    """Sends metrics, or nothing where no host is set."""

    def __init__(self, settings):
        self._client = None
        if settings.host:
            self._client = statsd.StatsClient(
                settings.host, settings.port, prefix=settings.prefix
            )

    def first_token(self, account, duration, started):
        """Record the time to first token, and where the context came from."""
        if self._client is None:
            return
        self._client.timing(f"first_token.{account}", duration)
        self._client.incr("context.reused_tokens", started.reused_tokens)
        self._client.incr("context.imported_tokens", started.imported_tokens)
        self._client.incr("context.computed_tokens", started.computed_tokens)

    def refused(self, code):
        """Count a refusal."""
        if self._client is not None:
            self._client.incr(f"refused.{code}")

    def in_flight(self, count):
        """Record the requests in flight."""
        if self._client is not None:
            self._client.gauge("in_flight", count)
