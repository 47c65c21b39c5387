"""The pieces that an entry has asked for and not heard of."""

from math import inf
from typing import NamedTuple

from amaranthtally.policy.piece_graph import Piece

__all__ = ["AskedPiece", "AskedPieces"]


class AskedPiece(NamedTuple):
    """Who makes a piece (empty: this entry), where, and until when to wait for word."""

    owner: str
    pool: str
    data_centre: str
    until: float


class AskedPieces:
    """Asked pieces by piece; times are time stamps in seconds."""

    def __init__(self) -> None:
        self._asked: dict[Piece, AskedPiece] = {}
        # No piece is overdue before.
        self._first_until = inf

    @property
    def owners(self) -> frozenset[str]:
        """The other entries that have not told of all that they were asked for."""
        return frozenset(asked.owner for asked in self._asked.values() if asked.owner)

    def put(self, piece: Piece, asked: AskedPiece) -> None:
        """Note that a piece is asked for."""
        self._asked[piece] = asked
        self._first_until = min(self._first_until, asked.until)

    def take(self, piece: Piece) -> AskedPiece | None:
        """Return and forget what is known of a piece."""
        return self._asked.pop(piece, None)

    def of_owner(self, owner: str) -> list[Piece]:
        """Return the pieces that an entry was asked for."""
        return [piece for piece, asked in self._asked.items() if asked.owner == owner]

    def overdue(self, now: float) -> dict[Piece, AskedPiece]:
        """Return the pieces of which nothing was heard in their time."""
        if now < self._first_until:
            return {}
        left = (asked.until for asked in self._asked.values() if asked.until > now)
        self._first_until = min(left, default=inf)
        return {p: asked for p, asked in self._asked.items() if asked.until <= now}

    def end(self, request_id: str) -> list[str]:
        """Forget a request; return the other entries that were asked for its pieces."""
        owners: dict[str, None] = {}
        for piece in [p for p in self._asked if p.request_id == request_id]:
            owners[self._asked.pop(piece).owner] = None
        return [owner for owner in owners if owner]
