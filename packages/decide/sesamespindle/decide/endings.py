"""What the ends of sends show about their targets."""

import datetime

from sesamespindle.decide import catalogue, firstbytes, sends

# How long an engine that still has superseded weights counts as loading the new
# ones after it turned a request away. Loading takes 0.4 s.
_WEIGHT_LOADING_TIME = datetime.timedelta(milliseconds=300)
# How long a target gets no new work after it turned a request away.
_BUSY_EJECTION_TIME = datetime.timedelta(milliseconds=100)
# The endings after which this host doubts that it reaches the target.
_DOUBTED_AFTER = frozenset(
    (
        sends.Ending.UNREACHABLE,
        sends.Ending.REFUSED,
        sends.Ending.LOST,
        sends.Ending.SILENT,
    )
)
# A target that a part of a prompt crashes ends within this time of the first byte.
BEGINS_WELL_AFTER = datetime.timedelta(milliseconds=250)


class Endings:
    """Records what the ends of sends show about crashes, health and weights of targets.

    Parameters
    ----------
    state : world.World
        The shared tables.
    weights : weights.Weights
        The announced weight version of each model.
    crashes : crashes.Crashes
        Receives how sends end, to detect crashes of targets.
    service_reach : reach.Reach
        Which services this host reaches.
    brittle_targets : brittle.BrittleTargets
        Which targets fall over if they have to turn away too many requests.
    """

    def __init__(self, state, weights, crashes, service_reach, brittle_targets):
        self._state = state
        self._weights = weights
        self._crashes = crashes
        self._reach = service_reach
        self._brittle = brittle_targets

    def report_to_crashes(self, flight, ending, now):
        """Report what a send's end shows about whether its target has crashed."""
        if flight.sent_at is None:
            return
        match ending:
            case sends.Ending.LOST:
                for key in suspect_keys(flight, now):
                    self._crashes.record_broken_run(
                        key, flight.incarnation, flight.sent_at, now
                    )
            case sends.Ending.FOREIGN | sends.Ending.SILENT | sends.Ending.WITHDRAWN:
                for key in suspect_keys(flight, now):
                    self._crashes.record_abandoned_run(key, flight.incarnation, now)
            case sends.Ending.REFUSED:
                self._crashes.note_refusal(flight.incarnation)
            case sends.Ending.WRONG_TARGET:
                self._crashes.record_end(flight.incarnation, "another is there")
            case (
                sends.Ending.FAILED
                | sends.Ending.TURNED_AWAY
                | sends.Ending.WRONG_VERSION
            ):
                self._crashes.record_answer(flight.incarnation, flight.sent_at)

    def note(self, flight, row, ending, now):
        """Record what a send's end shows about the health and weights of its target."""
        if row is None or flight.sent_at is None:
            return
        if ending is sends.Ending.TURNED_AWAY:
            self._brittle.note_rejected(row.incarnation, flight.request.request_id, now)
        if ending in _DOUBTED_AFTER:
            flight.failed_from = flight.failed_from or flight.sent_at
            self._reach.note_failure(row, now)
        match ending:
            case sends.Ending.UNREACHABLE:
                catalogue.note_failure(self._state, row, now)
            case sends.Ending.REFUSED:
                row.refused_at = now
                catalogue.note_failure(self._state, row, now)
            case sends.Ending.TURNED_AWAY:
                row.ejected_until = now + _BUSY_EJECTION_TIME
                if self._weights.is_behind(row, flight.request.model):
                    row.loading_until = now + _WEIGHT_LOADING_TIME
            case sends.Ending.WRONG_TARGET:
                self._state.refute_target(row, now)
            case sends.Ending.WRONG_VERSION:
                self._weights.note_refused(row, flight.request.model, flight.version)
                flight.tried.discard(row.incarnation)
            case (
                sends.Ending.FAILED
                | sends.Ending.LOST
                | sends.Ending.FOREIGN
                | sends.Ending.SILENT
            ):
                note_result(row, True)


def suspect_keys(flight, now):
    """Return the keys of a request that its target may have crashed by.

    Those of its parts are left out if its answer has long begun.
    """
    if flight.has_begun and now - flight.begun_at >= BEGINS_WELL_AFTER:
        return flight.keys[:1] if flight.fingerprint else ()
    return flight.keys


def note_result(row, failed):
    """Record whether a send to a target failed."""
    newest = 1.0 if failed else 0.0
    row.failure_rate += firstbytes.NEWEST_WEIGHT * (newest - row.failure_rate)
    if not failed:
        catalogue.note_success(row)
