"""Plain services: slots, a queue, and a time for each request."""

from collections import deque
from random import Random

from amaranthtally.policy import AttemptOutcome, AttemptResult, Endpoint, LoadReport
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import ServicePool
from amaranthtally.simulator.servers import FULL, AnsweringServer, Attempt

__all__ = ["PlainServer"]


class PlainServer(AnsweringServer):
    """Runs so many requests at once; ``ran`` counts runs by request, for promises."""

    def __init__(
        self, clock: VirtualClock, endpoint: Endpoint, pool: ServicePool, random: Random
    ) -> None:
        super().__init__(clock, endpoint)
        self._pool = pool
        self._random = random
        self._queue: deque[Attempt] = deque()
        self._running: dict[Attempt, None] = {}
        self.ran: list[str] = []

    def run(self, attempt: Attempt) -> None:
        """Run an attempt, queue it, or refuse it."""
        attempt.on_load(self._load())
        if len(self._running) < self._pool.slots:
            self._begin(attempt)
        elif len(self._queue) < self._pool.queue:
            self._queue.append(attempt)
        else:
            attempt.on_end(FULL)

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt that has not begun; what runs goes on."""
        if attempt in self._queue:
            self._queue.remove(attempt)

    def lose_all(self) -> None:
        """Drop what runs and waits; nobody knows what became of it."""
        lost = [*self._running, *self._queue]
        self._running.clear()
        self._queue.clear()
        for attempt in lost:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))

    def _begin(self, attempt: Attempt) -> None:
        self._running[attempt] = None
        self.ran.append(attempt.request.id)
        mean_s = attempt.request.kind.work_s
        took_s = mean_s * self._random.uniform(0.5, 1.5) * self.slowness
        self.after(took_s, lambda: self._done(attempt, took_s))

    def _done(self, attempt: Attempt, took_s: float) -> None:
        del self._running[attempt]
        if self.loses_answers:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))
        else:
            attempt.on_load(self._load())
            attempt.on_end(
                AttemptResult(AttemptOutcome.FINISHED, run_s=took_s, output_bytes=500)
            )
        if self._queue and len(self._running) < self._pool.slots:
            self._begin(self._queue.popleft())

    def _load(self) -> LoadReport:
        return self.report(len(self._running), len(self._queue), self._pool.slots)
