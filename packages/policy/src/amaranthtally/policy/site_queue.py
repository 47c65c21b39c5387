"""The pieces that wait for the endpoints of one pool site."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from math import inf

from amaranthtally.policy.piece_queue import QueuedPiece

__all__ = ["SiteQueue"]


class SiteQueue:
    """
    Queued pieces in order of arrival.

    Each decision needs the number of pieces that can still be on time, by rank, and
    whether any has passed its deadline. Counting them each time takes longer the longer
    the queue is; in a burst, an entry's decisions would use all of its processor. So
    the latest start times of the pieces are kept in sorted lists, one for each rank.
    """

    def __init__(self) -> None:
        self._pieces: list[QueuedPiece] = []
        self._starts: dict[int, list[float]] = {}
        self._unstarted_starts: list[float] = []
        self._request_counts: Counter[str] = Counter()
        # Lower bound of the deadlines of all queued pieces.
        self._first_deadline = inf

    def __len__(self) -> int:
        return len(self._pieces)

    def __iter__(self) -> Iterator[QueuedPiece]:
        return iter(self._pieces)

    @property
    def pieces(self) -> list[QueuedPiece]:
        """The pieces in order of arrival; the list must not be changed."""
        return self._pieces

    def add(self, queued: QueuedPiece) -> None:
        """Append a piece."""
        job = queued.job
        self._pieces.append(queued)
        self._request_counts[job.piece.request_id] += 1
        insort(self._starts.setdefault(job.priority, []), job.start_by)
        if _is_unstarted(queued):
            insort(self._unstarted_starts, job.start_by)
        self._first_deadline = min(self._first_deadline, job.deadline)

    def remove(self, queued_pieces: Iterable[QueuedPiece]) -> None:
        """Remove pieces, which are compared by identity."""
        removed = {id(queued): queued for queued in queued_pieces}
        if not removed:
            return
        self._pieces = [q for q in self._pieces if id(q) not in removed]
        for queued in removed.values():
            job = queued.job
            self._decrement_count(job.piece.request_id)
            _remove_sorted(self._starts[job.priority], job.start_by)
            if _is_unstarted(queued):
                _remove_sorted(self._unstarted_starts, job.start_by)

    def take(self, is_wanted: Callable[[QueuedPiece], bool]) -> list[QueuedPiece]:
        """Remove and return the pieces for which the predicate is true."""
        taken = [queued for queued in self._pieces if is_wanted(queued)]
        self.remove(taken)
        return taken

    def take_request(self, request_id: str) -> list[QueuedPiece]:
        """Remove and return the pieces of a request."""
        if request_id not in self._request_counts:
            return []
        return self.take(lambda queued: queued.job.piece.request_id == request_id)

    def take_late(self, now: float) -> list[QueuedPiece]:
        """Remove and return the pieces whose deadline has passed."""
        if now < self._first_deadline:
            return []
        taken = self.take(lambda queued: queued.job.deadline <= now)
        deadlines = (queued.job.deadline for queued in self._pieces)
        self._first_deadline = min(deadlines, default=inf)
        return taken

    def take_late_unstarted(self, now: float) -> list[QueuedPiece]:
        """
        Remove and return the pieces that can't be on time any more.

        Pieces of requests that other pieces have been computed for stay queued.
        """
        if not self._unstarted_starts or self._unstarted_starts[0] >= now:
            return []
        return self.take(lambda q: now > q.job.start_by and _is_unstarted(q))

    def on_time(self, now: float, rank: int | None = None) -> int:
        """
        Return how many pieces can still be on time.

        With ``rank``, only pieces of that rank and of more urgent ones are counted.
        """
        return sum(
            len(starts) - bisect_left(starts, now)
            for queued_rank, starts in self._starts.items()
            if rank is None or queued_rank <= rank
        )

    def _decrement_count(self, request_id: str) -> None:
        self._request_counts[request_id] -= 1
        if not self._request_counts[request_id]:
            del self._request_counts[request_id]


def _is_unstarted(queued: QueuedPiece) -> bool:
    return not (queued.job.is_started or queued.job.inputs)


def _remove_sorted(values: list[float], value: float) -> None:
    del values[bisect_left(values, value)]
