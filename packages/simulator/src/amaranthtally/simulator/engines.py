"""Model engines: prompts are read, then tokens come, slower the more streams run."""

from collections import OrderedDict

from amaranthtally.policy import AttemptOutcome, AttemptResult, Endpoint, LoadReport
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import EnginePool
from amaranthtally.simulator.servers import FULL, AnsweringServer, Attempt
from amaranthtally.simulator.stage_servers import Results

__all__ = ["ReadParts", "TOKENS_PER_EVENT", "EngineServer"]

# An event of a stream holds so many tokens: more events show nothing else here.
TOKENS_PER_EVENT = 8


class ReadParts:
    """Which parts of prompts were read by any engine, and tokens read once more."""

    def __init__(self) -> None:
        self._read: set[int] = set()
        self.again_tokens = 0

    def note(self, part: int, tokens: int) -> None:
        """Note that an engine reads a part that it did not hold."""
        self.again_tokens += tokens if part in self._read else 0
        self._read.add(part)


class EngineServer(AnsweringServer):
    """Reads one prompt at a time, and streams to all whose prompt was read."""

    def __init__(
        self,
        clock: VirtualClock,
        endpoint: Endpoint,
        pool: EnginePool,
        results: Results,
        parts: ReadParts,
    ) -> None:
        super().__init__(clock, endpoint)
        self._pool = pool
        self._results = results
        self._parts = parts
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._running: dict[Attempt, int] = {}
        self._reading_until = 0.0
        self._reported_at = 0.0
        self._report = self._new_report()

    def run(self, attempt: Attempt) -> None:
        """Run an attempt, or refuse it."""
        attempt.on_load(self._load())
        request = attempt.request
        tokens = sum(request.sizes) + request.tokens
        used = sum(self._running.values())
        is_full = len(self._running) >= self._pool.slots
        if is_full or used + tokens > self._pool.token_capacity:
            attempt.on_end(FULL)
            return
        if not self._results.all_kept(attempt.inputs):
            attempt.on_end(AttemptResult(AttemptOutcome.NOT_RUN, inputs_missing=True))
            return
        self._results.read(self.place, attempt.inputs)
        self._running[attempt] = tokens
        begin = max(self.clock.now, self._reading_until)
        self._reading_until = begin + self._read_s(attempt)
        first_s = self._reading_until + self._step_s() - self.clock.now
        sent = attempt.resume
        self.after(first_s, lambda: self._emit(attempt, sent + 1))

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt at once."""
        self._running.pop(attempt, None)

    def lose_all(self) -> None:
        """Drop all streams and what was read."""
        lost = list(self._running)
        self._running.clear()
        self._cache.clear()
        self._reading_until = 0.0
        for attempt in lost:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))

    def _read_s(self, attempt: Attempt) -> float:
        tokens = 0
        request = attempt.request
        for part, size in zip(request.prefix, request.sizes, strict=True):
            if part in self._cache:
                self._cache.move_to_end(part)
                continue
            tokens += size
            self._parts.note(part, size)
            self._cache[part] = size
        while sum(self._cache.values()) > self._pool.token_capacity // 2:
            self._cache.popitem(last=False)
        return tokens * self._pool.read_s_per_token * self.slowness

    def _step_s(self) -> float:
        beside_s = self._pool.step_s_per_stream * len(self._running)
        return (self._pool.step_s + beside_s) * self.slowness

    def _emit(self, attempt: Attempt, events: int) -> None:
        if attempt not in self._running:
            return
        attempt.on_events(events)
        made = 1 + (events - 1) * TOKENS_PER_EVENT
        left = attempt.request.tokens - made
        if left <= 0:
            self._finish(attempt)
            return
        next_s = min(left, TOKENS_PER_EVENT) * self._step_s()
        self.after(next_s, lambda: self._emit(attempt, events + 1))

    def _finish(self, attempt: Attempt) -> None:
        del self._running[attempt]
        if self.loses_answers:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))
            return
        attempt.on_load(self._load())
        attempt.on_end(
            AttemptResult(AttemptOutcome.FINISHED, output_bytes=attempt.request.tokens)
        )

    def _load(self) -> LoadReport:
        """Return what the engine says of itself: a report that is renewed at times."""
        if self.clock.now - self._reported_at >= self._pool.report_lag_s:
            self._reported_at = self.clock.now
            self._report = self._new_report()
        return self._report

    def _new_report(self) -> LoadReport:
        return self.report(len(self._running), 0, self._pool.slots)
