"""Timers of requests: for their deadlines, and for checks of slow attempts."""

import heapq
from typing import NamedTuple

from amaranthtally.policy.model import AttemptId

__all__ = ["Timer", "Timers"]


class Timer(NamedTuple):
    """A timer at time stamp ``at``: for one attempt, or for the request's deadline."""

    at: float
    serial: int
    request_id: str
    attempt: AttemptId | None


class Timers:
    """
    A queue of timers, ordered by time.

    Timers are not removed when their request ends; the caller ignores those of ended
    requests.
    """

    def __init__(self) -> None:
        self._heap: list[Timer] = []
        self._serial = 0

    def __len__(self) -> int:
        return len(self._heap)

    def set(self, at: float, request_id: str, attempt: AttemptId | None = None) -> None:
        """Set a timer."""
        self._serial += 1
        heapq.heappush(self._heap, Timer(at, self._serial, request_id, attempt))

    def due(self, now: float) -> Timer | None:
        """Remove and return the earliest timer that is due, or ``None``."""
        if self._heap and self._heap[0].at <= now:
            return heapq.heappop(self._heap)
        return None
