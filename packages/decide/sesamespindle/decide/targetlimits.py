"""The limits on requests that targets name in their answers."""

import dataclasses
import datetime
import math

from sesamespindle.decide import commands

# A limit that no answer has named for this long is forgotten if its target isn't
# listed any more.
_KEPT_FOR = datetime.timedelta(minutes=1)


@dataclasses.dataclass(slots=True)
class _Known:
    """What is known of the limit of one incarnation of a target.

    Attributes
    ----------
    limit : float
        Requests per second from all hosts together; infinite after the limit ended.
    told_at : datetime.datetime
        When the latest answer came that told the limit or its end.
    """

    limit: float
    told_at: datetime.datetime


class TargetLimits:
    """Records which targets limit the requests per second from all hosts together.

    Parameters
    ----------
    state : world.World
        The shared tables.
    """

    def __init__(self, state):
        self._state = state
        self._known_by_incarnation = {}

    def note_answer(self, incarnation, signals, request_id, sent_at, now):
        """Record what the answer to a request says of its target's limit.

        Guards against an answer that is overtaken by a later one, and would end or
        raise the limit that the later one has named. Only an answer to a request
        that was sent after the latest word of the target does so.

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
        for text in signals.unreadable:
            self._note("target_signal_unreadable", incarnation, text, request_id)
        known = self._known_by_incarnation.get(incarnation)
        limit = signals.limit
        if limit is None or (known is None and math.isinf(limit)):
            return
        if known is not None and limit >= known.limit and sent_at < known.told_at:
            return
        if known is None or limit != known.limit:
            self._note("target_limit", incarnation, _describe(limit), request_id)
        self._known_by_incarnation[incarnation] = _Known(limit, now)

    def tick(self, now):
        """Forget what is known of targets that are gone."""
        for incarnation, known in list(self._known_by_incarnation.items()):
            is_gone = self._state.target_in(incarnation) is None
            if is_gone and now - known.told_at > _KEPT_FOR:
                del self._known_by_incarnation[incarnation]

    def describe(self, incarnation, now):
        """Return a target's limit and how old the word of it is, for the log."""
        known = self._known_by_incarnation.get(incarnation)
        if known is None or math.isinf(known.limit):
            return "no limit"
        age = (now - known.told_at).total_seconds()
        return f"limit {_describe(known.limit)} told {age:.1f} s ago"

    def count(self):
        """Return how many targets name a limit, as far as this host knows."""
        return sum(
            math.isfinite(known.limit) for known in self._known_by_incarnation.values()
        )

    def _note(self, kind, incarnation, text, request_id):
        detail = f"{text}, in the answer to request {request_id}"
        self._state.emit(commands.Note(kind, incarnation.name, detail))


def _describe(limit):
    return "none" if math.isinf(limit) else f"{limit:g}/s"
