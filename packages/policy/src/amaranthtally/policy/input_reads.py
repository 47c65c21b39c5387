"""Tracks which results the calls in progress read, and when they have been read."""

from collections import Counter, deque
from collections.abc import Container
from typing import NamedTuple

from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.piece_messages import PieceJob

__all__ = ["InputReads"]

# Time from sending a call until its endpoint has read the inputs of the pieces, in
# seconds: the network delay to the endpoint, and twice the transfer time of some
# hundred kilobytes.
FETCH_S = 0.05


class _Read(NamedTuple):
    """Inputs of a request, which a call has read by the time stamp ``done_at``."""

    done_at: float
    call: int
    request_id: str
    results: tuple[StoredResult, ...]


class InputReads:
    """
    Tracks the inputs of calls, so that they are freed as soon as they have been read.

    An endpoint reads the inputs of its pieces when the call starts to run, which is at
    once if no other entry calls the endpoint. If the inputs were kept until the call
    ends, 0.3 s later, they would occupy half as much memory again at the endpoints that
    store them, and that memory is the bottleneck.
    """

    def __init__(self) -> None:
        self._reads: deque[_Read] = deque()

    def __bool__(self) -> bool:
        """Whether any inputs are still being read."""
        return bool(self._reads)

    def add(self, now: float, call: int, jobs: tuple[PieceJob, ...]) -> frozenset[str]:
        """
        Record a call that starts at once; return the requests whose inputs it frees.

        These are the requests that have every piece of a stage in the call, so that no
        later piece needs the same inputs.
        """
        counts = Counter((job.piece.request_id, job.piece.stage) for job in jobs)
        complete: dict[str, tuple[StoredResult, ...]] = {}
        for job in jobs:
            piece = job.piece
            if job.inputs and counts[piece.request_id, piece.stage] == job.siblings:
                complete[piece.request_id] = job.inputs
        done_at = now + FETCH_S
        for request_id, results in complete.items():
            self._reads.append(_Read(done_at, call, request_id, results))
        return frozenset(complete)

    def cancel(self, call: int, request_ids: Container[str]) -> frozenset[str]:
        """
        Keep the inputs of these requests of a call, unless they were freed already.

        Returns the requests whose inputs are kept.
        """
        kept = frozenset(
            read.request_id
            for read in self._reads
            if read.call == call and read.request_id in request_ids
        )
        if kept:
            self._reads = deque(
                read
                for read in self._reads
                if read.call != call or read.request_id not in kept
            )
        return kept

    def take_read(self, now: float) -> list[StoredResult]:
        """Remove and return the inputs that have been read by now."""
        results: list[StoredResult] = []
        while self._reads and self._reads[0].done_at <= now:
            results += self._reads.popleft().results
        return results
