"""What this host learns of the speed of targets from their answers.

The load that this answers: targets that share their machines are slow for moments, and
services differ in what a call takes, see `speeds`.
"""

from sesamespindle.decide import commands, loadparts, speeds


class Learning:
    """Takes note of what targets state and how long calls take.

    Nothing is kept where `loadparts.Part.KEEPERS` is off.

    Parameters
    ----------
    state : world.World
        The shared tables.

    Attributes
    ----------
    unreadable_loads : int
        How many answers of targets stated a load that can't be read.
    """

    def __init__(self, state):
        self._state = state
        self._service_times = speeds.ServiceTimes()
        self.unreadable_loads = 0

    def note_stated(self, row, signals, now):
        """Take note of the speed that a target stated in its answer."""
        if signals.unreadable_load:
            self._note_unreadable(row, signals.unreadable_load)
        parts = self._state.load_parts
        was_known = parts.machines_are_shared
        parts.note_speed(signals.speed)
        if parts.machines_are_shared and not was_known:
            told = f"{row.name} states speed {signals.speed}% of the usual time"
            note = commands.Note("load_parts", parts.describe(), f"{told}.")
            self._state.emit(note)
        if signals.speed is not None and self._is_on():
            speeds.of(row).note_speed(signals.speed, now)

    def note_call(self, flight, now):
        """Take note that the answer to a call of a plain service has begun."""
        if self._is_on() and not flight.request.model:
            self._service_times.note(flight.service, now - flight.sent_at, now)

    def service_seconds(self, service, now):
        """Return how long a call of a plain service takes; None if it isn't known."""
        return self._service_times.seconds(service, now)

    def _note_unreadable(self, row, text):
        """Count a load that can't be read; only the first one is logged."""
        if not self.unreadable_loads:
            note = commands.Note("target_signal_unreadable", row.name, text)
            self._state.emit(note)
        self.unreadable_loads += 1

    def _is_on(self):
        return self._state.load_parts.is_on(loadparts.Part.KEEPERS)
