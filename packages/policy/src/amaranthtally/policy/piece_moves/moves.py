"""The moves of an entry's own jobs, at most one of each job at a time."""

from collections.abc import Iterable
from typing import NamedTuple

from amaranthtally.policy.piece_graph import Piece

__all__ = ["Move", "Moves"]

# How long no jobs are withdrawn from an entry that did not answer a withdrawal, in
# seconds. An entry of an older version answers none.
PAUSE_S = 3.0
# How long a move may take, in seconds: longer than the time-out of a call between
# entries, so that it ends by itself only if neither an answer nor a failure is noted.
LONGEST_S = 2.0


class Move(NamedTuple):
    """
    A job that is being withdrawn from ``owner`` to run in ``data_centre``.

    ``serial`` tells it from other moves of the job. It began at ``started_at``.
    """

    serial: int
    owner: str
    data_centre: str
    started_at: float


class Moves:
    """
    Follows the moves of the jobs that this entry has submitted.

    A job stays submitted to its old owner until that has confirmed the withdrawal, so a
    lost answer loses no job. Times are time stamps in seconds.
    """

    def __init__(self) -> None:
        self._moves: dict[Piece, Move] = {}
        self._paused_until: dict[str, float] = {}
        self._next_serial = 0

    def __len__(self) -> int:
        return len(self._moves)

    def may_begin(self, now: float, piece: Piece, owner: str) -> bool:
        """Whether a job may be withdrawn from its owner now."""
        move = self._moves.get(piece)
        if move is not None and now - move.started_at < LONGEST_S:
            return False
        return now >= self._paused_until.get(owner, 0.0)

    def begin(
        self, now: float, pieces: Iterable[Piece], owner: str, data_centre: str
    ) -> int:
        """Begin to move jobs; return the serial of the withdrawal."""
        self._next_serial += 1
        for piece in pieces:
            self._moves[piece] = Move(self._next_serial, owner, data_centre, now)
        return self._next_serial

    def end(
        self, serial: int, withdrawn: Iterable[Piece]
    ) -> tuple[dict[Piece, Move], list[Piece]]:
        """
        End the moves of an answered withdrawal.

        Returns the moves of the jobs that were withdrawn, and the jobs that stay where
        they are. Jobs whose move was cancelled are in neither.
        """
        ended = {p: m for p, m in self._moves.items() if m.serial == serial}
        for piece in ended:
            del self._moves[piece]
        taken = set(withdrawn)
        moved = {piece: move for piece, move in ended.items() if piece in taken}
        return moved, [piece for piece in ended if piece not in taken]

    def fail(self, now: float, serial: int, owner: str) -> list[Piece]:
        """End the moves of a withdrawal without an answer; return their jobs."""
        self._paused_until[owner] = now + PAUSE_S
        return self.end(serial, ())[1]

    def cancel(self, piece: Piece) -> None:
        """Forget a job's move, as it was reported or submitted elsewhere."""
        self._moves.pop(piece, None)

    def cancel_request(self, request_id: str) -> None:
        """Forget the moves of a request that has ended."""
        if self._moves:
            for piece in [p for p in self._moves if p.request_id == request_id]:
                del self._moves[piece]
