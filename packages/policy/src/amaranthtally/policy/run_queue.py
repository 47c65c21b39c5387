"""The run queue of a sidecar: orders calls, and drops those that are too late."""

import heapq
from dataclasses import dataclass

from amaranthtally.policy.concurrency import AdaptiveLimit
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.quantiles import TimeSketch

__all__ = ["QueuedCall", "RunQueue"]

# Quantile of run times that is the fast run time. It is first computed after
# ``MIN_SAMPLES``, being 0 until then, and again after each ``REFRESH_SAMPLES``.
MIN_SAMPLES = 20
FAST_QUANTILE = 0.05
REFRESH_SAMPLES = 16
# Weight of a new sample in the smoothed run time.
SERVICE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True, order=True)
class QueuedCall:
    """A waiting call; ordered by priority (lowest number first), deadline, serial."""

    priority: int
    deadline: float
    serial: int


class RunQueue:
    """
    A bounded priority queue with an adaptive limit on the calls that run concurrently.

    The owner assigns the calls' serial numbers. Before it starts the next call it must
    take the ``dropped`` ones and refuse them immediately: a call that can't finish in
    time would only delay the others.
    """

    def __init__(self, limit: int, capacity: int) -> None:
        self._limit = AdaptiveLimit(limit)
        self._capacity = capacity
        self._waiting: dict[int, QueuedCall] = {}
        self._order: list[QueuedCall] = []
        self._deadlines: list[tuple[float, int]] = []
        self._evicted: list[QueuedCall] = []
        self._running = 0
        self._service_s = 0.0
        self._runs = TimeSketch()
        self._fast_run_s = 0.0
        self._until_refresh = MIN_SAMPLES

    @property
    def running(self) -> int:
        """Number of running calls."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of waiting calls."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Maximum number of calls that run concurrently."""
        return self._limit.limit

    @property
    def service_s(self) -> float:
        """Smoothed run time of a call at the endpoint, in seconds."""
        return self._service_s

    @property
    def backlog_s(self) -> float:
        """Predicted wait of a new call in the queue, in seconds."""
        ahead = self.queued + max(0, self._running - self.limit + 1)
        return ahead * self._service_s / self.limit

    def offer(self, now: float, call: QueuedCall) -> bool:
        """
        Queue a call; returns false if it was not queued.

        A call that can't finish in time is not queued. If the queue is full, the last
        waiting call is dropped in favour of one of a more urgent priority.
        """
        if self._is_too_late(now, call.deadline):
            return False
        if self.queued >= self._capacity and not self._evict_for(call):
            return False
        self._waiting[call.serial] = call
        heapq.heappush(self._order, call)
        heapq.heappush(self._deadlines, (call.deadline, call.serial))
        return True

    def dropped(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that were evicted or have become too late."""
        dropped, self._evicted = self._evicted, []
        while (at := self.next_drop_at()) is not None and at <= now:
            _, serial = heapq.heappop(self._deadlines)
            dropped.append(self._waiting.pop(serial))
        return dropped

    def next_drop_at(self) -> float | None:
        """Return when the next waiting call becomes too late; ``None`` without one."""
        while self._deadlines:
            deadline, serial = self._deadlines[0]
            if serial in self._waiting:
                return deadline - self._fast_run_s
            heapq.heappop(self._deadlines)
        return None

    def next_call(self, now: float) -> QueuedCall | None:
        """Remove and return the call to start now, if any; it counts as running."""
        while self._order and self._running < self.limit:
            call = heapq.heappop(self._order)
            if self._waiting.pop(call.serial, None) is not None:
                self._running += 1
                return call
        return None

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a waiting call."""
        self._waiting.pop(call.serial, None)

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Record that a running call finished or failed after ``run_s`` seconds."""
        self._running -= 1
        ensure(self._running >= 0, "only running calls end")
        if failed:
            self._limit.failed(now, run_s)
            return
        self._limit.finished()
        weight = SERVICE_WEIGHT if self._service_s else 1.0
        self._service_s += weight * (run_s - self._service_s)
        self._add_run_time(run_s)

    def aborted(self) -> None:
        """Record that a running call was aborted, without using its time."""
        self._running -= 1
        ensure(self._running >= 0, "only running calls are aborted")

    def _add_run_time(self, run_s: float) -> None:
        self._runs.add(run_s)
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._until_refresh = REFRESH_SAMPLES
            self._fast_run_s = self._runs.quantile(FAST_QUANTILE)

    def _is_too_late(self, now: float, deadline: float) -> bool:
        """Whether even a fast run started now would end after the deadline."""
        return deadline - self._fast_run_s <= now

    def _evict_for(self, call: QueuedCall) -> bool:
        last = max(self._waiting.values(), default=None)
        if last is None or last.priority <= call.priority:
            return False
        del self._waiting[last.serial]
        self._evicted.append(last)
        return True
