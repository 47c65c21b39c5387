"""The pieces that wait for the endpoints of one pool in one data centre."""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from math import inf

from amaranthtally.policy.piece_queue import QueuedPiece

__all__ = ["SiteQueue"]


class SiteQueue:
    """
    Waiting pieces in the order in which they came.

    Each decision asks how many of them can still be on time, by rank, and whether any
    is too late. Counted anew, that took longer the longer the queue: in a burst an
    entry's decisions would take all of its processor. So the times by which calls must
    begin are kept in order, by rank, beside the pieces.
    """

    def __init__(self) -> None:
        self._waiting: list[QueuedPiece] = []
        self._starts: dict[int, list[float]] = {}
        self._unbegun_starts: list[float] = []
        self._of_request: Counter[str] = Counter()
        # No deadline of a waiting piece is earlier.
        self._first_deadline = inf

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[QueuedPiece]:
        return iter(self._waiting)

    @property
    def waiting(self) -> list[QueuedPiece]:
        """The pieces in the order in which they came; not to be changed."""
        return self._waiting

    def add(self, waiting: QueuedPiece) -> None:
        """Add a piece."""
        ask = waiting.ask
        self._waiting.append(waiting)
        self._of_request[ask.piece.request_id] += 1
        insort(self._starts.setdefault(ask.priority, []), ask.start_by)
        if _is_unbegun(waiting):
            insort(self._unbegun_starts, ask.start_by)
        self._first_deadline = min(self._first_deadline, ask.deadline)

    def remove(self, several: Iterable[QueuedPiece]) -> None:
        """Remove these pieces."""
        taken = {id(waiting): waiting for waiting in several}
        if not taken:
            return
        self._waiting = [one for one in self._waiting if id(one) not in taken]
        for waiting in taken.values():
            ask = waiting.ask
            self._forget_one_of(ask.piece.request_id)
            _drop(self._starts[ask.priority], ask.start_by)
            if _is_unbegun(waiting):
                _drop(self._unbegun_starts, ask.start_by)

    def take(self, wanted: Callable[[QueuedPiece], bool]) -> list[QueuedPiece]:
        """Remove and return the pieces that a question is answered with yes for."""
        found = [waiting for waiting in self._waiting if wanted(waiting)]
        self.remove(found)
        return found

    def take_request(self, request_id: str) -> list[QueuedPiece]:
        """Remove and return the pieces of a request."""
        if request_id not in self._of_request:
            return []
        return self.take(lambda one: one.ask.piece.request_id == request_id)

    def take_late(self, now: float) -> list[QueuedPiece]:
        """Remove and return what has passed its deadline."""
        if now < self._first_deadline:
            return []
        found = self.take(lambda waiting: waiting.ask.deadline <= now)
        deadlines = (waiting.ask.deadline for waiting in self._waiting)
        self._first_deadline = min(deadlines, default=inf)
        return found

    def take_late_unbegun(self, now: float) -> list[QueuedPiece]:
        """Remove and return what can't be on time and of which nothing was made."""
        if not self._unbegun_starts or self._unbegun_starts[0] >= now:
            return []
        return self.take(lambda one: now > one.ask.start_by and _is_unbegun(one))

    def on_time(self, now: float, rank: int | None = None) -> int:
        """Return how many can be on time; of a rank and those more urgent if given."""
        return sum(
            len(starts) - bisect_left(starts, now)
            for other, starts in self._starts.items()
            if rank is None or other <= rank
        )

    def _forget_one_of(self, request_id: str) -> None:
        self._of_request[request_id] -= 1
        if not self._of_request[request_id]:
            del self._of_request[request_id]


def _is_unbegun(waiting: QueuedPiece) -> bool:
    return not (waiting.ask.is_started or waiting.ask.inputs)


def _drop(ordered: list[float], value: float) -> None:
    del ordered[bisect_left(ordered, value)]
