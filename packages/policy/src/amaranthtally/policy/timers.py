"""Times at which the policy looks at a request again."""

import heapq
from typing import NamedTuple

from amaranthtally.policy.model import AttemptId

__all__ = ["Timer", "Timers"]


class Timer(NamedTuple):
    """A time to look at a request: at its deadline, or at an attempt that is slow."""

    at: float
    serial: int
    request_id: str
    attempt: AttemptId | None


class Timers:
    """Timers by time. One whose request has ended still comes up, and is ignored."""

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
        """Return and remove a timer whose time has come, or ``None``."""
        if self._heap and self._heap[0].at <= now:
            return heapq.heappop(self._heap)
        return None
