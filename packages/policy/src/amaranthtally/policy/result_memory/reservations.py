"""Memory of endpoints that is kept free for the results of queued pieces."""

from collections.abc import Container, Iterable
from typing import NamedTuple

from amaranthtally.policy.piece_graph import Piece
from amaranthtally.policy.piece_servers import PieceServer, PieceServers

__all__ = ["Reservations"]

# How long memory is kept free for a piece at most, in seconds. A full call of the
# slowest pool takes 0.4 s; a piece that waits for five of them has been overtaken.
LONGEST_S = 2.0
NO_PIECES: frozenset[Piece] = frozenset()


class _Reservation(NamedTuple):
    server: PieceServer
    size_bytes: float
    until: float


class Reservations:
    """
    The bytes reserved at each endpoint of the sites that this entry owns, by piece.

    Times are time stamps in seconds. A reservation ends when its piece is sent or
    dropped, when its time has passed, and when its endpoint is gone; all of them end
    with the process of the owner.
    """

    def __init__(self) -> None:
        self._by_piece: dict[Piece, _Reservation] = {}

    def count(self, now: float) -> int:
        """Return the number of reservations that have not ended."""
        self._expire(now)
        return len(self._by_piece)

    def reserve(
        self,
        now: float,
        piece: Piece,
        size_bytes: float,
        deadline: float,
        servers: Iterable[PieceServer],
    ) -> bool:
        """
        Reserve memory for a piece at the endpoint with the most left.

        Returns false if none has enough. The reservation ends by ``deadline`` at the
        latest.
        """
        self._expire(now)
        self._by_piece.pop(piece, None)
        until = min(deadline, now + LONGEST_S)
        left = [
            (server.free_bytes(now) - self.reserved_bytes(server), server)
            for server in servers
        ]
        most_bytes, server = max(left, key=lambda item: item[0], default=(0.0, None))
        if server is None or most_bytes < size_bytes or until <= now:
            return False
        self._by_piece[piece] = _Reservation(server, size_bytes, until)
        return True

    def release(self, pieces: Iterable[Piece]) -> None:
        """End the reservations of pieces that are sent, refused or withdrawn."""
        if self._by_piece:
            for piece in pieces:
                self._by_piece.pop(piece, None)

    def retain(self, servers: PieceServers) -> None:
        """End the reservations at endpoints that are gone, replaced or leaving."""
        self._by_piece = {
            piece: held
            for piece, held in self._by_piece.items()
            if servers.find(held.server.endpoint.id) is held.server
            and not held.server.leaving
        }

    def pieces_at(self, now: float, server: PieceServer) -> frozenset[Piece]:
        """Return the pieces for which memory of an endpoint is reserved now."""
        self._expire(now)
        return frozenset(
            piece for piece, held in self._by_piece.items() if held.server is server
        )

    def shrink(
        self, server: PieceServer, most_bytes: float, without: Container[Piece]
    ) -> None:
        """
        End the newest reservations at an endpoint beyond so many bytes.

        Those of the pieces ``without`` are not counted, as they are being sent.
        """
        for piece, held in list(self._by_piece.items()):
            if held.server is not server or piece in without:
                continue
            most_bytes -= held.size_bytes
            if most_bytes < 0:
                del self._by_piece[piece]
                most_bytes += held.size_bytes

    def reserved_bytes(
        self, server: PieceServer, without: Container[Piece] = NO_PIECES
    ) -> float:
        """Return the bytes reserved at an endpoint, except for some pieces."""
        return sum(
            held.size_bytes
            for piece, held in self._by_piece.items()
            if held.server is server and piece not in without
        )

    def _expire(self, now: float) -> None:
        past = [piece for piece, held in self._by_piece.items() if held.until <= now]
        self.release(past)
