"""Which results the calls of an entry are reading, and when they have been read."""

from collections import Counter, deque
from collections.abc import Container
from typing import NamedTuple

from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.piece_messages import PieceJob

__all__ = ["InputReads"]

# When an endpoint has read what a call's pieces need, in seconds from its sending: the
# way there, and twice the transfer of some hundred kilobytes.
FETCH_S = 0.05


class _Reading(NamedTuple):
    """Results that a request's pieces in a call have read by a time."""

    at: float
    call: int
    request_id: str
    results: tuple[StoredResult, ...]


class InputReads:
    """
    Follows what calls read, so that it can be freed as soon as it was.

    An endpoint reads what its pieces need at the call's turn, which is at once where it
    has no other caller. Kept to the call's end, 0.3 s later, results would take up half
    as much memory again at their makers, whose room is what bounds them.
    """

    def __init__(self) -> None:
        self._reading: deque[_Reading] = deque()

    def __bool__(self) -> bool:
        """Whether anything is being read."""
        return bool(self._reading)

    def note(self, now: float, call: int, asks: tuple[PieceJob, ...]) -> frozenset[str]:
        """
        Note a call that begins at once; return the requests whose inputs it frees.

        Those of which every piece of a stage is in the call: no other one is to read
        the same inputs.
        """
        counts = Counter((ask.piece.request_id, ask.piece.stage) for ask in asks)
        whole: dict[str, tuple[StoredResult, ...]] = {}
        for ask in asks:
            piece = ask.piece
            if ask.inputs and counts[piece.request_id, piece.stage] == ask.siblings:
                whole[piece.request_id] = ask.inputs
        at = now + FETCH_S
        for request_id, results in whole.items():
            self._reading.append(_Reading(at, call, request_id, results))
        return frozenset(whole)

    def keep(self, call: int, wanted: Container[str]) -> frozenset[str]:
        """Keep what these requests need of a call; return those in time for it."""
        kept = frozenset(
            reading.request_id
            for reading in self._reading
            if reading.call == call and reading.request_id in wanted
        )
        if kept:
            self._reading = deque(
                reading
                for reading in self._reading
                if reading.call != call or reading.request_id not in kept
            )
        return kept

    def take_read(self, now: float) -> list[StoredResult]:
        """Return what has been read by now, once."""
        read: list[StoredResult] = []
        while self._reading and self._reading[0].at <= now:
            read += self._reading.popleft().results
        return read
