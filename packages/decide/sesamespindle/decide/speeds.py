"""What is learned of how fast targets are, and how fast each works now.

The load that this answers: targets differ in speed, and one that shares its machine
may be two or three times as slow for half a second. A fixed rate sends it as much as
the others.
"""

import collections
import datetime
import statistics

from sesamespindle.decide import loadparts

# A stated speed is valid for this long; it may change several times a second.
_STATED_FOR = datetime.timedelta(milliseconds=400)
# Rates are the median of the latest samples, of which a third may be wrong.
_MOST_SAMPLES = 9
_LEAST_SAMPLES = 3
_SAMPLED_FOR = datetime.timedelta(seconds=60)
# Shorter prompts say more of the network than of the engine.
_LEAST_TOKENS = 1000
# A sample is taken only if less than this share of the prompt was to be read before.
_MOST_BEFORE = 0.1
# A rate beyond this factor of the prior is not believed.
_BELIEVED_FACTOR = 8.0
# A stated speed beyond these bounds, in percent, is taken for the bound.
_SPEEDS = (10, 2000)


class ServiceTimes:
    """How long a call of each plain service takes, by all its targets together."""

    def __init__(self):
        self._samples_by_service = collections.defaultdict(_new_samples)

    def note(self, service, duration, now):
        """Take note of how long a call took."""
        self._samples_by_service[service].append((now, duration.total_seconds()))

    def seconds(self, service, now):
        """Return how long a call takes; None as long as too few are known."""
        samples = self._samples_by_service.get(service, ())
        return _median(samples, now)


class Learned:
    """What is known of one incarnation of a target."""

    def __init__(self):
        self._samples = _new_samples()
        self._speed = loadparts.USUAL_SPEED
        self._speed_at = None
        self._is_stated_here = False

    def note_speed(self, speed, now, is_stated_here=True):
        """Take note of a speed, in percent of the time that work usually takes.

        Parameters
        ----------
        speed : int or None
            The speed; None, which says nothing, is ignored.
        now : datetime.datetime
            The current time.
        is_stated_here : bool
            Whether the engine stated it to this host, and not a keeper.
        """
        if speed is None:
            return
        low, high = _SPEEDS
        self._speed = min(max(speed, low), high)
        self._speed_at = now
        self._is_stated_here = is_stated_here

    def note_reading(self, tokens, before, duration, now):
        """Take note of the time from a prompt's send to its first token.

        Parameters
        ----------
        tokens : int
            The tokens that the engine had to read for it.
        before : int
            The tokens that it had to read before those.
        duration : datetime.timedelta
            The time to the first token.
        now : datetime.datetime
            The current time.
        """
        seconds = duration.total_seconds()
        if tokens < _LEAST_TOKENS or before > _MOST_BEFORE * tokens or seconds <= 0:
            return
        share = self.speed(now) / loadparts.USUAL_SPEED
        self._samples.append((now, tokens / seconds * share))

    def speed(self, now):
        """Return the present speed, in percent of the time that work usually takes."""
        return self._speed if self._is_valid(now) else loadparts.USUAL_SPEED

    def stated_speed(self, now):
        """Return what the engine stated to this host of its present speed, or None."""
        return self._speed if self._is_stated_here and self._is_valid(now) else None

    def _is_valid(self, now):
        return self._speed_at is not None and now - self._speed_at <= _STATED_FOR

    def rate(self, prior, now):
        """Return the tokens that the engine reads in a second at its usual speed.

        Parameters
        ----------
        prior : float
            The rate as long as too few samples are known.
        now : datetime.datetime
            The current time.
        """
        median = _median(self._samples, now)
        if median is None:
            return prior
        return min(max(median, prior / _BELIEVED_FACTOR), prior * _BELIEVED_FACTOR)

    def reading_seconds(self, tokens, prior, now):
        """Return how long the engine reads a number of tokens, at its present speed."""
        share = self.speed(now) / loadparts.USUAL_SPEED
        return tokens / self.rate(prior, now) * share


def of(row):
    """Return the `Learned` of a `world.TargetRow`; a new one if it has none."""
    if row.learned is None:
        row.learned = Learned()
    return row.learned


def _new_samples():
    return collections.deque(maxlen=_MOST_SAMPLES)


def _median(samples, now):
    """Return the median of samples that aren't old, or None if there are too few."""
    oldest = now - _SAMPLED_FOR
    while samples and samples[0][0] < oldest:
        samples.popleft()
    if len(samples) < _LEAST_SAMPLES:
        return None
    return statistics.median(value for _, value in samples)
