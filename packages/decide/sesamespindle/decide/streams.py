"""Reordering and deduplication of the pieces of one streamed answer."""

import dataclasses

# The most pieces that are buffered while an earlier one is missing.
MAX_PENDING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One piece of an answer.

    Attributes
    ----------
    stream : str
        The id of the stream that it belongs to.
    sequence : int
        Its position in the answer, from 1; each piece is one token.
    text : str
        The text of the token.
    last : bool
        Whether it is the end mark: a piece without a token, whose sequence number is
        one above that of the last token.
    finish_reason : str
        Why the answer ended.
    """

    stream: str
    sequence: int
    text: str = ""
    last: bool = False
    finish_reason: str = ""


class ForeignPieceError(Exception):
    """A piece belongs to another stream, or too many pieces wait for a missing one."""

    code = "foreign_piece"


class Reassembly:
    """Delivers the pieces of one stream, each once and in order.

    Guards against pieces that arrive late, twice or out of order. The caller would
    see missing or repeated words. A piece is delivered only after all pieces before
    it, so the end mark comes only after the complete answer.

    Parameters
    ----------
    stream : str
        The id of the only stream whose pieces are accepted.
    delivered : int
        The sequence number of the last piece that the caller already has; 0 for
        none.
    """

    def __init__(self, stream, delivered=0):
        self.stream = stream
        self.delivered = delivered
        self.complete = False
        self._pending_by_sequence = {}

    def accept(self, piece):
        """Buffer a piece and return the pieces that can now be delivered.

        Parameters
        ----------
        piece : Piece
            The piece; a duplicate is ignored.

        Returns
        -------
        ready : list of Piece
            In order; empty while an earlier piece is missing.

        Raises
        ------
        ForeignPieceError
            If the piece belongs to another stream, or `MAX_PENDING` pieces already
            wait for a missing one.
        """
        if piece.stream != self.stream:
            raise ForeignPieceError(
                f"piece of stream {piece.stream} received in stream {self.stream}"
            )
        if piece.sequence <= self.delivered or self.complete:
            return []
        if len(self._pending_by_sequence) >= MAX_PENDING:
            raise ForeignPieceError(
                f"{MAX_PENDING} pieces wait for an earlier one in stream {self.stream}"
            )
        self._pending_by_sequence[piece.sequence] = piece
        return self._take_ready()

    def _take_ready(self):
        ready = []
        while self.delivered + 1 in self._pending_by_sequence:
            piece = self._pending_by_sequence.pop(self.delivered + 1)
            ready.append(piece)
            if piece.last:
                self.complete = True
                break
            self.delivered = piece.sequence
        return ready
