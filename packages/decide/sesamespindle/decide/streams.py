"""Putting the pieces of one streamed answer in order."""

import dataclasses

MAX_PENDING = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """One piece of an answer.

    Attributes
    ----------
    stream : str
        The stream that it belongs to.
    sequence : int
        Its place in the answer, from 1, one token a piece.
    last : bool
        True for the end mark, whose sequence is one past the last token.
    """

    stream: str
    sequence: int
    text: str = ""
    last: bool = False
    finish_reason: str = ""


class ForeignPieceError(Exception):
    """A piece of another stream, or more pieces ahead than can be kept."""

    code = "foreign_piece"


class Reassembly:
    """Hands on the pieces of one stream, each once and in order.

    Guards against pieces that come late, twice or out of order, which the
    caller would see as missing or doubled words. Nothing is handed on before
    all that stand before it, and an end mark only after the whole answer.

    Parameters
    ----------
    stream : str
        The only stream whose pieces are accepted.
    delivered : int
        The sequence number of the last piece the caller already has.
    """

    def __init__(self, stream, delivered=0):
        self.stream = stream
        self.delivered = delivered
        self.complete = False
        self._pending_by_sequence = {}

    def accept(self, piece):
        """Take a piece in and return those that can now be handed on.

        Raises
        ------
        ForeignPieceError
            If the piece is of another stream or too far ahead.
        """
        if piece.stream != self.stream:
            raise ForeignPieceError(f"piece of {piece.stream} in {self.stream}")
        if piece.sequence <= self.delivered or self.complete:
            return []
        if len(self._pending_by_sequence) >= MAX_PENDING:
            raise ForeignPieceError(f"{MAX_PENDING} pieces wait in {self.stream}")
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
