"""The pieces that an entry has submitted and that have not been reported yet."""

from collections.abc import Container
from math import inf
from typing import NamedTuple

from amaranthtally.policy.piece_graph import Piece

__all__ = ["SubmittedPiece", "SubmittedPieces"]


class SubmittedPiece(NamedTuple):
    """
    Where a piece was submitted, and the time stamp by which its report is expected.

    ``owner`` is the entry it was submitted to, empty for this entry itself, at the time
    stamp ``submitted_at``.
    """

    owner: str
    pool: str
    data_centre: str
    report_due: float
    submitted_at: float = 0.0


class SubmittedPieces:
    """Submitted pieces without a report, by piece; times are time stamps in seconds."""

    def __init__(self) -> None:
        self._submitted: dict[Piece, SubmittedPiece] = {}
        # Lower bound of all ``report_due``: no piece is overdue before this time.
        self._first_due = inf

    @property
    def owners(self) -> frozenset[str]:
        """The other entries that still owe a report on at least one piece."""
        return frozenset(
            submitted.owner for submitted in self._submitted.values() if submitted.owner
        )

    def add(self, piece: Piece, submitted: SubmittedPiece) -> None:
        """Record that a piece was submitted."""
        self._submitted[piece] = submitted
        self._first_due = min(self._first_due, submitted.report_due)

    def remove(self, piece: Piece) -> SubmittedPiece | None:
        """Remove a piece and return its record, or ``None`` if there is none."""
        return self._submitted.pop(piece, None)

    def find(self, piece: Piece) -> SubmittedPiece | None:
        """Return where a piece was submitted, or ``None`` if it was not."""
        return self._submitted.get(piece)

    def in_pools(self, pools: Container[str]) -> list[tuple[Piece, SubmittedPiece]]:
        """Return the pieces that were submitted to these pools, with their records."""
        return [(p, s) for p, s in self._submitted.items() if s.pool in pools]

    def submitted_to(self, owner: str) -> list[Piece]:
        """Return the pieces that were submitted to an entry."""
        return [
            piece
            for piece, submitted in self._submitted.items()
            if submitted.owner == owner
        ]

    def overdue(self, now: float) -> dict[Piece, SubmittedPiece]:
        """Return the pieces whose report was due by now."""
        if now < self._first_due:
            return {}
        later = (
            submitted.report_due
            for submitted in self._submitted.values()
            if submitted.report_due > now
        )
        self._first_due = min(later, default=inf)
        return {p: s for p, s in self._submitted.items() if s.report_due <= now}

    def remove_request(self, request_id: str) -> list[str]:
        """Remove a request's pieces; return the other entries they were sent to."""
        owners: dict[str, None] = {}
        for piece in [p for p in self._submitted if p.request_id == request_id]:
            owners[self._submitted.pop(piece).owner] = None
        return [owner for owner in owners if owner]
