"""Plain services: slots, a queue, and a random run time for each request."""

from collections import deque
from random import Random

from amaranthtally.policy import AttemptOutcome, AttemptResult, Endpoint, LoadReport
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import ServicePool
from amaranthtally.simulator.servers import OVERLOADED, Attempt, RequestServer

__all__ = ["PlainServer"]


class PlainServer(RequestServer):
    """Runs a request in each slot; ``run_ids`` has a request id for each run."""

    def __init__(
        self, clock: VirtualClock, endpoint: Endpoint, pool: ServicePool, random: Random
    ) -> None:
        super().__init__(clock, endpoint)
        self._pool = pool
        self._random = random
        self._queue: deque[Attempt] = deque()
        self._running: dict[Attempt, None] = {}
        self.run_ids: list[str] = []

    def run(self, attempt: Attempt) -> None:
        """Start an attempt, queue it, or refuse it."""
        attempt.on_load(self._load())
        if len(self._running) < self._pool.slots:
            self._start_run(attempt)
        elif len(self._queue) < self._pool.queue:
            self._queue.append(attempt)
        else:
            attempt.on_end(OVERLOADED)

    def cancel(self, attempt: Attempt) -> None:
        """Drop a queued attempt; a running one continues."""
        if attempt in self._queue:
            self._queue.remove(attempt)

    def discard_state(self) -> None:
        """Drop all running and queued attempts; their outcomes are lost."""
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for attempt in lost:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))

    def _start_run(self, attempt: Attempt) -> None:
        self._running[attempt] = None
        self.run_ids.append(attempt.request.id)
        mean_s = attempt.request.kind.work_s
        duration_s = mean_s * self._random.uniform(0.5, 1.5) * self.slowdown
        self.after(duration_s, lambda: self._run_finished(attempt, duration_s))

    def _run_finished(self, attempt: Attempt, duration_s: float) -> None:
        del self._running[attempt]
        if self.drops_responses:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))
        else:
            attempt.on_load(self._load())
            attempt.on_end(
                AttemptResult(
                    AttemptOutcome.FINISHED, run_s=duration_s, output_bytes=500
                )
            )
        if self._queue and len(self._running) < self._pool.slots:
            self._start_run(self._queue.popleft())

    def _load(self) -> LoadReport:
        return self.report(len(self._running), len(self._queue), self._pool.slots)
