"""Decisions of a sidecar: which waiting call runs next, and which never will."""

import heapq
from dataclasses import dataclass

from amaranthtally.policy.concurrency import AdaptiveLimit
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.quantiles import TimeSketch

__all__ = ["QueuedCall", "RunQueue"]

ENOUGH_SAMPLES = 20
QUICK = 0.05
MEMO_SAMPLES = 16
SERVICE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True, order=True)
class QueuedCall:
    """A call that waits; ordered by priority (low first), deadline, serial."""

    priority: int
    deadline: float
    serial: int


class RunQueue:
    """
    A bounded queue by priority and deadline, with a limit on what runs.

    Calls are named by serial numbers that the caller hands out. Before it asks
    for the next call, the caller takes those that were ``dropped`` and answers
    them at once: work that cannot end in time would only make others late too.
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
        self._quick_s = 0.0
        self._until_memo = ENOUGH_SAMPLES

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
        return self._limit.limit

    @property
    def service_s(self) -> float:
        """Smoothed time of one call at the endpoint, in seconds."""
        return self._service_s

    @property
    def backlog_s(self) -> float:
        """Predicted wait of a new call, in seconds."""
        ahead = self.queued + max(0, self._running - self.limit + 1)
        return ahead * self._service_s / self.limit

    def offer(self, now: float, call: QueuedCall) -> bool:
        """
        Queue a call; false when nothing was queued.

        A call that cannot end in time is not queued. When the queue is full, one
        of a lower priority makes room and comes out as dropped.
        """
        if self._is_hopeless(now, call.deadline):
            return False
        if self.queued >= self._capacity and not self._make_room(call):
            return False
        self._waiting[call.serial] = call
        heapq.heappush(self._order, call)
        heapq.heappush(self._deadlines, (call.deadline, call.serial))
        return True

    def dropped(self, now: float) -> list[QueuedCall]:
        """Return the calls that wait no longer and never started, once."""
        dropped, self._evicted = self._evicted, []
        while (at := self.drops_at()) is not None and at <= now:
            _, serial = heapq.heappop(self._deadlines)
            dropped.append(self._waiting.pop(serial))
        return dropped

    def drops_at(self) -> float | None:
        """Return when the next waiting call can't end in time; ``None`` without one."""
        while self._deadlines:
            deadline, serial = self._deadlines[0]
            if serial in self._waiting:
                return deadline - self._quick_s
            heapq.heappop(self._deadlines)
        return None

    def next_call(self, now: float) -> QueuedCall | None:
        """Return a call to start now, or ``None``; a started call counts as running."""
        while self._order and self._running < self.limit:
            call = heapq.heappop(self._order)
            if self._waiting.pop(call.serial, None) is not None:
                self._running += 1
                return call
        return None

    def withdraw(self, call: QueuedCall) -> None:
        """Remove a call that waits."""
        self._waiting.pop(call.serial, None)

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Note that a running call ended, or failed, after ``run_s`` seconds."""
        self._running -= 1
        ensure(self._running >= 0, "a call that ended was running")
        if failed:
            self._limit.failed(now, run_s)
            return
        self._limit.finished()
        weight = SERVICE_WEIGHT if self._service_s else 1.0
        self._service_s += weight * (run_s - self._service_s)
        self._learn(run_s)

    def released(self) -> None:
        """Note that a running call was cut off, which says nothing of its time."""
        self._running -= 1
        ensure(self._running >= 0, "a call that was cut off was running")

    def _learn(self, run_s: float) -> None:
        self._runs.add(run_s)
        self._until_memo -= 1
        if self._until_memo <= 0:
            self._until_memo = MEMO_SAMPLES
            self._quick_s = self._runs.quantile(QUICK)

    def _is_hopeless(self, now: float, deadline: float) -> bool:
        """Whether even a quick run started now would end too late."""
        return deadline - self._quick_s <= now

    def _make_room(self, call: QueuedCall) -> bool:
        worst = max(self._waiting.values(), default=None)
        if worst is None or worst.priority <= call.priority:
            return False
        del self._waiting[worst.serial]
        self._evicted.append(worst)
        return True
