"""Targets that said in their answers that they leave, or want a rest."""

import dataclasses
import datetime

from sesamespindle.decide import commands

# A rest ends up to this share of its length later than the target asked, differently on
# each host, so that hosts don't all come back at once.
_REST_SPREAD = 0.1
# After its rest a target gets one request, and another one after this time, until it
# answers one without turning it away.
_TRIAL_INTERVAL = datetime.timedelta(milliseconds=500)
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
        The end of the latest rest that it asked for; None if it asked for none, or has
        served a request after it.
    tried_at : datetime.datetime or None
        When this host last sent it a request after its rest; None if it hasn't yet.
    """

    told_at: datetime.datetime
    is_leaving: bool = False
    rests_until: datetime.datetime | None = None
    tried_at: datetime.datetime | None = None


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

    def note_answer(self, incarnation, signals, request_id, sent_at, now):
        """Adopt what the answer to a request says of its target.

        Parameters
        ----------
        incarnation : incarnations.TargetIncarnation
            The target that answered.
        signals : targetsignals.TargetSignals
            What its answer says.
        request_id : str
            The request, for the log.
        sent_at : datetime.datetime
            When the request was sent to the target.
        now : datetime.datetime
            The current time.
        """
        if signals.is_leaving or signals.rest:
            known = self._known_by_incarnation.setdefault(incarnation, _Known(now))
            known.told_at = now
            source = f"in the answer to request {request_id}"
            if signals.is_leaving and not known.is_leaving:
                known.is_leaving = True
                self._note("target_leaving", incarnation, source)
                self._tell_peers(incarnation)
            if signals.rest:
                self._let_rest(incarnation, known, signals.rest, source, now)
        elif not signals.turned_away:
            self._note_served(incarnation, sent_at)

    def _let_rest(self, incarnation, known, rest, source, now):
        is_new = known.rests_until is None or known.rests_until <= now
        until = now + rest * (1.0 + _REST_SPREAD * self._state.random.random())
        known.rests_until = until if is_new else max(until, known.rests_until)
        known.tried_at = None
        if is_new:
            seconds = rest.total_seconds()
            self._note("target_rests", incarnation, f"for {seconds:g} s, {source}")

    def _note_served(self, incarnation, sent_at):
        """Send to a target as usual again, as it took a request after its rest."""
        known = self._known_by_incarnation.get(incarnation)
        if known is None or known.rests_until is None or sent_at < known.rests_until:
            return
        known.rests_until = known.tried_at = None
        self._note("target_rested", incarnation, "")

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
        if known is None:
            return True
        if known.is_leaving:
            return False
        return known.rests_until is None or self._may_try(known, now)

    def _may_try(self, known, now):
        """Return whether a target that asked for a rest gets a request now.

        Guards against a target that turns requests away again, as all that came
        during its rest is sent to it at once when the rest is over.
        """
        if now < known.rests_until:
            return False
        return known.tried_at is None or now - known.tried_at >= _TRIAL_INTERVAL

    def note_sent(self, row, now):
        """Note that a request was sent to a target."""
        known = self._known_by_incarnation.get(row.incarnation)
        if known is not None and known.rests_until is not None:
            known.tried_at = now

    def is_resting(self, row, now):
        """Return whether a target has its rest now."""
        known = self._known_by_incarnation.get(row.incarnation)
        return known is not None and bool(known.rests_until) and now < known.rests_until

    def rest_left(self, rows, now):
        """Return how long the first of some targets still rests; None if one doesn't.

        Parameters
        ----------
        rows : list of world.TargetRow
            The targets.
        now : datetime.datetime
            The current time.

        Returns
        -------
        time_left : datetime.timedelta or None
        """
        known = [self._known_by_incarnation.get(row.incarnation) for row in rows]
        ends = [item.rests_until for item in known if item and item.rests_until]
        if not ends or len(ends) < len(rows):
            return None
        return max(min(ends) - now, datetime.timedelta(0))

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
