"""Targets that said in their answers that they leave, or want a rest."""

import dataclasses
import datetime

from sesamespindle.decide import commands

# What is known of a target that is gone is kept for this long, as its record may be
# missing from the platform's list for a while.
_KEPT_FOR = datetime.timedelta(minutes=1)


@dataclasses.dataclass(slots=True)
class _Known:
    """What one incarnation of a target told this host.

    Attributes
    ----------
    told_at : datetime.datetime
        When it last did.
    is_leaving : bool
        Whether it leaves.
    rests_until : datetime.datetime or None
        The end of the latest rest that it asked for; None if it asked for none.
    """

    told_at: datetime.datetime
    is_leaving: bool = False
    rests_until: datetime.datetime | None = None


class HeldTargets:
    """Decides which targets get no requests, by what they told this host.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._known_by_incarnation = {}

    def note_answer(self, incarnation, signals, request_id, now):
        """Adopt what the answer to a request says of its target.

        Parameters
        ----------
        incarnation : incarnations.TargetIncarnation
            The target that answered.
        signals : targetsignals.TargetSignals
            What its answer says.
        request_id : str
            The request, for the log.
        now : datetime.datetime
            The current time.
        """
        if not signals.is_leaving and not signals.rest:
            return
        known = self._known_by_incarnation.setdefault(incarnation, _Known(now))
        known.told_at = now
        source = f"in the answer to request {request_id}"
        if signals.is_leaving and not known.is_leaving:
            known.is_leaving = True
            self._note("target_leaving", incarnation, source)
            self._tell_peers(incarnation)
        if signals.rest:
            until = now + signals.rest
            known.rests_until = max(until, known.rests_until or until)
            seconds = signals.rest.total_seconds()
            self._note("target_rests", incarnation, f"for {seconds:g} s, {source}")

    def permitted_targets(self, rows, now):
        """Return the targets, out of some, that may get a request from this host now.

        Guards against requests to a target that told this host that it leaves, while
        the platform's list says otherwise: the target can't report it as long as the
        platform is unavailable, and a record from before may be listed again.

        Parameters
        ----------
        rows : list of world.TargetRow
            The targets.
        now : datetime.datetime
            The current time.
        """
        if not self._known_by_incarnation:
            return rows
        return [row for row in rows if self._may_send(row, now)]

    def _may_send(self, row, now):
        known = self._known_by_incarnation.get(row.incarnation)
        return known is None or not known.is_leaving

    def tick(self, now):
        """Forget what is known of targets that are gone."""
        for incarnation, known in list(self._known_by_incarnation.items()):
            is_gone = self._state.target_in(incarnation) is None
            if is_gone and now - known.told_at > _KEPT_FOR:
                del self._known_by_incarnation[incarnation]

    def _tell_peers(self, incarnation):
        """Mark the target as leaving, as its record would; peers hear of it soon."""
        row = self._state.target_in(incarnation)
        if row is not None:
            row.leaving = True
            self._state.must_start_round = True

    def _note(self, kind, incarnation, detail):
        self._state.emit(commands.Note(kind, incarnation.name, detail))
