"""FIFO queue for the sidecars of the baselines."""

from collections import deque

from amaranthtally.policy import QueuedCall

__all__ = ["FifoQueue"]


class FifoQueue:
    """FIFO queue with a constant limit on the calls that run at once."""

    def __init__(self, limit: int, capacity: int) -> None:
        self._limit = limit
        self._capacity = capacity
        self._queued_calls: deque[QueuedCall] = deque()
        self._running = 0

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of queued calls."""
        return len(self._queued_calls)

    @property
    def limit(self) -> int:
        """Maximum number of calls that run at once."""
        return self._limit

    @property
    def service_s(self) -> float:
        """Always 0: this queue does not measure the time of a call."""
        return 0.0

    @property
    def backlog_s(self) -> float:
        """Always 0: this queue does not predict the wait of a new call."""
        return 0.0

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call; return false if the queue is full."""
        if len(self._queued_calls) >= self._capacity:
            return False
        self._queued_calls.append(call)
        return True

    def next_call(self, now: float) -> QueuedCall | None:
        """Return the next call to start now, or ``None``."""
        if not self._queued_calls or self._running >= self._limit:
            return None
        self._running += 1
        return self._queued_calls.popleft()

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a queued call."""
        self._queued_calls.remove(call)

    def dropped(self, now: float) -> list[QueuedCall]:
        """Return an empty list: this queue drops no expired calls."""
        return []

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Free the slot of a call that ended."""
        self._running -= 1

    def aborted(self) -> None:
        """Free the slot of a call that was aborted."""
        self._running -= 1
