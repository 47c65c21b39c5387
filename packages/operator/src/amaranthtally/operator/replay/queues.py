"""The queue that the baselines' sidecars use."""

from collections import deque

from amaranthtally.policy import QueuedCall

__all__ = ["FirstInFirstOut"]


class FirstInFirstOut:
    """A queue in the order of arrival with a constant limit on what runs."""

    def __init__(self, limit: int, capacity: int) -> None:
        self._limit = limit
        self._capacity = capacity
        self._waiting: deque[QueuedCall] = deque()
        self._running = 0

    @property
    def running(self) -> int:
        """Calls that run now."""
        return self._running

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._limit

    @property
    def service_s(self) -> float:
        """Not measured."""
        return 0.0

    @property
    def backlog_s(self) -> float:
        """Not measured."""
        return 0.0

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call; false when the queue is full."""
        if len(self._waiting) >= self._capacity:
            return False
        self._waiting.append(call)
        return True

    def next_call(self, now: float) -> QueuedCall | None:
        """Return a call to start now, or ``None``."""
        if not self._waiting or self._running >= self._limit:
            return None
        self._running += 1
        return self._waiting.popleft()

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a call that waits."""
        self._waiting.remove(call)

    def dropped(self, now: float) -> list[QueuedCall]:
        """Return nothing: late work is not dropped."""
        return []

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Note that a running call ended."""
        self._running -= 1

    def aborted(self) -> None:
        """Note that a running call was cut off."""
        self._running -= 1
