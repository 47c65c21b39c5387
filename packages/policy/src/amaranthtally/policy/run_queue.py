"""Decisions of a sidecar: which waiting call runs next, and which never will."""

import heapq
from dataclasses import dataclass

__all__ = ["QueuedCall", "RunQueue"]


@dataclass(frozen=True, slots=True, order=True)
class QueuedCall:
    """A call that waits; ordered by priority (low first), deadline, serial."""

    priority: int
    deadline: float
    serial: int


class RunQueue:
    """
    A bounded queue by priority and deadline, with a limit on what runs.

    Calls are named by serial numbers that the caller hands out.
    """

    def __init__(self, limit: int, capacity: int) -> None:
        self._limit = limit
        self._capacity = capacity
        self._waiting: list[QueuedCall] = []
        self._removed: set[int] = set()
        self._running = 0
        self._service_s = 0.0

    @property
    def running(self) -> int:
        """Calls that run now."""
        return self._running

    @property
    def queued(self) -> int:
        """Calls that wait."""
        return len(self._waiting) - len(self._removed)

    @property
    def limit(self) -> int:
        """Calls that may run at once."""
        return self._limit

    @property
    def service_s(self) -> float:
        """Smoothed time of one call at the endpoint, in seconds."""
        return self._service_s

    @property
    def backlog_s(self) -> float:
        """Predicted wait of a new call, in seconds."""
        ahead = self.queued + max(0, self._running - self._limit + 1)
        return ahead * self._service_s / self._limit

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call; false when the queue is full and nothing was queued."""
        if self.queued >= self._capacity:
            return False
        heapq.heappush(self._waiting, call)
        return True

    def next_call(self, now: float) -> QueuedCall | None:
        """Return a call to start now, or ``None``; a started call counts as running."""
        while self._waiting and self._running < self._limit:
            call = heapq.heappop(self._waiting)
            if call.serial in self._removed:
                self._removed.discard(call.serial)
                continue
            self._running += 1
            return call
        return None

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a call that waits."""
        self._removed.add(call.serial)

    def finished(self, now: float, run_s: float) -> None:
        """Note that a running call ended after ``run_s`` seconds."""
        self._running -= 1
        weight = 0.1 if self._service_s else 1.0
        self._service_s += weight * (run_s - self._service_s)
