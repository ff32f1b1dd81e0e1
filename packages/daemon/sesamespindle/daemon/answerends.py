"""Logs and counts whose the answers of targets were, and how they ended."""

import functools

from sesamespindle.daemon import logs
from sesamespindle.wire import answers

_note_request = functools.partial(logs.note_request, "relay")
# Longer ids are cut in the log.
_MAX_LOGGED_CHARACTERS = 80


class AnswerEnds:
    """Records what marks the end of each answer, and whether it was whole.

    Parameters
    ----------
    measures : sesamespindle.daemon.measures.Measures
        Receives the counters.
    """

    def __init__(self, measures):
        self._measures = measures

    def note_whole(self, forward, response):
        """Count a whole answer; log it if only its connection's end shows that.

        Parameters
        ----------
        forward : sends.Forward
            The send.
        response : aiohttp.ClientResponse
            The answer.
        """
        framing = answers.framing_of(response)
        self._measures.answered(framing, is_whole=True)
        if framing is answers.Framing.CLOSE:
            _note_request(
                forward.request_id,
                "The answer of {} {} ended in order with its connection.",
                kind_of(forward),
                forward.target,
            )

    def note_foreign(self, forward, status, ids):
        """Count and log an answer that isn't that to a send.

        Parameters
        ----------
        forward : sends.Forward
            The send.
        status : int
            Its status.
        ids : sequence of str
            The ids of the requests that it names.
        """
        self._measures.foreign_answer(status)
        _note_request(
            forward.request_id,
            "What {} {} sent isn't the answer: it is for {}, with status {}.",
            kind_of(forward),
            forward.target,
            ", ".join(ids)[:_MAX_LOGGED_CHARACTERS] or "no request",
            status,
        )

    def note_unreadable(self, forward, error):
        """Count bytes that are no answer, as their head shows, and log why.

        Parameters
        ----------
        forward : sends.Forward
            The send.
        error : Exception
            The reason.
        """
        self._measures.answered(answers.Framing.UNKNOWN, is_whole=False)
        _note_request(
            forward.request_id,
            "What {} {} sent is no answer. {}",
            kind_of(forward),
            forward.target,
            error,
        )

    def note_broken(self, forward, response, error):
        """Count an answer that isn't whole, and log why.

        Parameters
        ----------
        error : Exception or str
            The reason.
        """
        framing = answers.framing_of(response)
        self._measures.answered(framing, is_whole=False)
        _note_request(
            forward.request_id,
            "The answer of {} {} broke off; its end is marked by {}. {}",
            kind_of(forward),
            forward.target,
            framing,
            error,
        )


def kind_of(forward):
    """Return what a send goes to, for the log."""
    return "target" if forward.passport is None else "peer"
