"""Model engines: prefill, then decoding that slows down with more streams."""

from collections import OrderedDict

from amaranthtally.policy import AttemptOutcome, AttemptResult, Endpoint, LoadReport
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import EnginePool
from amaranthtally.simulator.servers import OVERLOADED, Attempt, RequestServer
from amaranthtally.simulator.stage_servers import ResultStore

__all__ = ["PrefillTracker", "TOKENS_PER_EVENT", "EngineServer"]

# Tokens per stream event; a finer granularity would not change the results.
TOKENS_PER_EVENT = 8


class PrefillTracker:
    """Counts prompt tokens whose segment any engine had prefilled before."""

    def __init__(self) -> None:
        self._segments: set[int] = set()
        self.recomputed_tokens = 0

    def record_prefill(self, segment: int, tokens: int) -> None:
        """Record the prefill of a segment that was not in the engine's cache."""
        self.recomputed_tokens += tokens if segment in self._segments else 0
        self._segments.add(segment)


class EngineServer(RequestServer):
    """Prefills one prompt at a time, and streams all requests after their prefill."""

    def __init__(
        self,
        clock: VirtualClock,
        endpoint: Endpoint,
        pool: EnginePool,
        results: ResultStore,
        prefill_tracker: PrefillTracker,
    ) -> None:
        super().__init__(clock, endpoint)
        self._pool = pool
        self._results = results
        self._prefill_tracker = prefill_tracker
        self._cache: OrderedDict[int, int] = OrderedDict()
        self._running: dict[Attempt, int] = {}
        self._prefill_until = 0.0
        self._reported_at = 0.0
        self._report = self._new_report()

    def run(self, attempt: Attempt) -> None:
        """Start an attempt, or refuse it."""
        attempt.on_load(self._load())
        request = attempt.request
        tokens = sum(request.prefix_sizes) + request.output_tokens
        used = sum(self._running.values())
        is_full = len(self._running) >= self._pool.slots
        if is_full or used + tokens > self._pool.token_capacity:
            attempt.on_end(OVERLOADED)
            return
        if not self._results.has_all(attempt.inputs):
            attempt.on_end(AttemptResult(AttemptOutcome.NOT_RUN, inputs_missing=True))
            return
        self._results.read(self.data_centre, attempt.inputs)
        self._running[attempt] = tokens
        begin = max(self.clock.now, self._prefill_until)
        self._prefill_until = begin + self._prefill_s(attempt)
        first_s = self._prefill_until + self._step_s() - self.clock.now
        resume_offset = attempt.resume_offset
        self.after(first_s, lambda: self._emit(attempt, resume_offset + 1))

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt immediately."""
        self._running.pop(attempt, None)

    def discard_state(self) -> None:
        """Drop all streams and the prefix cache."""
        lost = list(self._running)
        self._running.clear()
        self._cache.clear()
        self._prefill_until = 0.0
        for attempt in lost:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))

    def _prefill_s(self, attempt: Attempt) -> float:
        tokens = 0
        request = attempt.request
        for segment, size in zip(request.prefix, request.prefix_sizes, strict=True):
            if segment in self._cache:
                self._cache.move_to_end(segment)
                continue
            tokens += size
            self._prefill_tracker.record_prefill(segment, size)
            self._cache[segment] = size
        while sum(self._cache.values()) > self._pool.token_capacity // 2:
            self._cache.popitem(last=False)
        return tokens * self._pool.read_s_per_token * self.slowdown

    def _step_s(self) -> float:
        streams_s = self._pool.step_s_per_stream * len(self._running)
        return (self._pool.step_s + streams_s) * self.slowdown

    def _emit(self, attempt: Attempt, events: int) -> None:
        if attempt not in self._running:
            return
        attempt.on_events(events)
        emitted = 1 + (events - 1) * TOKENS_PER_EVENT
        remaining = attempt.request.output_tokens - emitted
        if remaining <= 0:
            self._finish(attempt)
            return
        # The prompts that the engine prefills meanwhile delay all its streams.
        prefill_s = max(0.0, self._prefill_until - self.clock.now)
        next_s = prefill_s + min(remaining, TOKENS_PER_EVENT) * self._step_s()
        self.after(next_s, lambda: self._emit(attempt, events + 1))

    def _finish(self, attempt: Attempt) -> None:
        del self._running[attempt]
        if self.drops_responses:
            attempt.on_end(AttemptResult(AttemptOutcome.LOST))
            return
        attempt.on_load(self._load())
        attempt.on_end(
            AttemptResult(
                AttemptOutcome.FINISHED, output_bytes=attempt.request.output_tokens
            )
        )

    def _load(self) -> LoadReport:
        """Return the latest load report, renewed after ``report_lag_s``."""
        if self.clock.now - self._reported_at >= self._pool.report_lag_s:
            self._reported_at = self.clock.now
            self._report = self._new_report()
        return self._report

    def _new_report(self) -> LoadReport:
        return self.report(len(self._running), 0, self._pool.slots)
