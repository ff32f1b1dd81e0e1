"""Counters, gauges and latency histograms in the Prometheus text format."""

import collections

# Upper bounds of the histogram buckets, in seconds. The users' latency goals lie within
# this range.
_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0)


class Measures:
    """Metrics of a daemon that are served on request, unlike `metrics.Metrics`."""

    def __init__(self):
        self._refused_by_code = collections.Counter()
        self._answers_by_end = collections.Counter()
        self._taken_up_by_source = collections.Counter()
        self._foreign_answers_by_status = collections.Counter()
        self._first_bytes_by_route = {}
        self._waits_by_service = {}
        self._labelled_gauges = {}
        self._ages_by_kind = {}
        self._gauges = {}

    def refused(self, code):
        """Count a refused request under its error code."""
        self._refused_by_code[str(code)] += 1

    def answered(self, framing, is_whole):
        """Count a target's answer by what marks its end and whether it was whole.

        Parameters
        ----------
        framing : sesamespindle.wire.answers.Framing
            What marks the end of the answer.
        is_whole : bool
            Whether all of it was received.
        """
        self._answers_by_end[framing, "whole" if is_whole else "broken"] += 1

    def taken_up(self, source):
        """Count a stream that a caller takes up, by how its version was known."""
        self._taken_up_by_source[source] += 1

    def foreign_answer(self, status):
        """Count an answer that belongs to another request than the one it came for."""
        self._foreign_answers_by_status[status] += 1

    def first_byte(self, route, duration):
        """Record the time to the first byte of an answer.

        Parameters
        ----------
        route : str
            The name of the request's route.
        duration : datetime.timedelta
            The time from the request to the first byte.
        """
        _count(self._first_bytes_by_route, route, duration)

    def waited(self, service, duration):
        """Record how long a request waited until a target of a service had room."""
        _count(self._waits_by_service, service, duration)

    def knowledge_age(self, kind, age):
        """Record how long ago a kind of object was last proved complete.

        Parameters
        ----------
        kind : str
            The kind of object.
        age : datetime.timedelta
            The age of the proof; recorded at each tick of the daemon.
        """
        _count(self._ages_by_kind, kind, age)

    def gauge(self, name, read):
        """Register a gauge.

        Parameters
        ----------
        name : str
            The metric's name, without the prefix ``sesamespindle_``.
        read : callable
            Returns the current value; called each time that `text` is.
        """
        self._gauges[name] = read

    def labelled_gauge(self, name, read):
        """Register a gauge with labels that aren't known before.

        Parameters
        ----------
        name : str
            The metric's name, without the prefix ``sesamespindle_``.
        read : callable
            Returns the current value by the text of the labels.
        """
        self._labelled_gauges[name] = read

    def text(self):
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'sesamespindle_refused_total{{code="{code}"}} {count}'
            for code, count in sorted(self._refused_by_code.items())
        ]
        lines += [
            f'sesamespindle_streams_taken_up_total{{known="{source}"}} {count}'
            for source, count in sorted(self._taken_up_by_source.items())
        ]
        lines += [
            f'sesamespindle_answers_total{{framing="{framing}",end="{end}"}} {count}'
            for (framing, end), count in sorted(self._answers_by_end.items())
        ]
        lines += [
            f'sesamespindle_foreign_answers_total{{status="{status}"}} {count}'
            for status, count in sorted(self._foreign_answers_by_status.items())
        ]
        for route, histogram in sorted(self._first_bytes_by_route.items()):
            lines += _histogram_lines("first_byte", "route", route, histogram)
        for service, histogram in sorted(self._waits_by_service.items()):
            lines += _histogram_lines("waited", "service", service, histogram)
        for name, read in sorted(self._labelled_gauges.items()):
            for labels, value in sorted(read().items()):
                lines.append(f"sesamespindle_{name}{{{labels}}} {value}")
        for kind, histogram in sorted(self._ages_by_kind.items()):
            lines += _histogram_lines("knowledge_age", "kind", kind, histogram)
        for name, read in sorted(self._gauges.items()):
            lines.append(f"sesamespindle_{name} {read()}")
        return "\n".join(lines) + "\n"


def _count(histogram_by_key, key, duration):
    histogram = histogram_by_key.setdefault(key, [0] * (len(_BOUNDS) + 1))
    seconds = duration.total_seconds()
    bucket = sum(seconds > bound for bound in _BOUNDS)
    histogram[bucket] += 1


def _histogram_lines(name, label, value, histogram):
    total = 0
    for bound, count in zip((*_BOUNDS, "+Inf"), histogram, strict=True):
        total += count
        yield (
            f"sesamespindle_{name}_seconds_bucket"
            f'{{{label}="{value}",le="{bound}"}} {total}'
        )
    yield f'sesamespindle_{name}_seconds_count{{{label}="{value}"}} {total}'
