"""
Fake endpoints on the virtual clock, registered by a decorator for each kind.

The running calls of an engine all advance at the same rate, which falls as the batch
grows. At any other endpoint each call runs at a constant speed.
"""

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from amaranthtally.operator.replay.trace import PoolPlan
from amaranthtally.policy import CacheEvent
from amaranthtally.simulator.clock import VirtualClock

__all__ = ["CHUNK_TOKENS", "FakeEndpoint", "Run", "build_endpoint"]

CHUNK_TOKENS = 32
FAILURE_DELAY_S = 0.005

OnDone = Callable[[bool], None]
OnProgress = Callable[[int], None]


@dataclass(slots=True, eq=False)
class Run:
    """
    A call at an endpoint; ``seconds`` is its run time alone on the endpoint.

    ``done`` is called when the call ends, with true if it finished and false if it
    failed. ``progress`` is called with the number of chunks sent so far.
    """

    seconds: float
    tokens: int
    prefix: tuple[int, ...]
    resume_chunks: int
    done: OnDone
    progress: OnProgress
    ended: bool = field(default=False, init=False)


class FakeEndpoint:
    """Base class of the fake endpoints: injected faults and the end of a call."""

    def __init__(self, clock: VirtualClock, pool: PoolPlan) -> None:
        self._clock = clock
        self._pool = pool
        self._slowdown = 1.0
        self._failing = False
        self._running: dict[Run, None] = {}
        self._on_cache_event: Callable[[CacheEvent], None] | None = None

    def on_cache_event(self, callback: Callable[[CacheEvent], None]) -> None:
        """Set the callback for changes of the prefix cache; only engines have one."""
        self._on_cache_event = callback

    def slow_down(self, factor: float) -> None:
        """Make each call that starts from now on take ``factor`` times as long."""
        self._slowdown = factor

    def fail(self, failing: bool) -> None:
        """
        Start or stop failing calls.

        While failing, each new call fails soon after its start. The calls that are
        running when failing starts fail at once.
        """
        self._failing = failing
        for run in list(self._running) if failing else ():
            self._end(run, False)

    def clear_cache(self) -> None:
        """Remove all cached prefixes; only engines have any."""

    def start(self, run: Run) -> None:
        """Start a call."""
        self._running[run] = None
        if self._failing:
            self._clock.after(FAILURE_DELAY_S, partial(self._end, run, False))
            return
        self._run(run)

    def cancel(self, run: Run) -> None:
        """Stop a call at once, without calling ``done``."""
        run.ended = True
        self._running.pop(run, None)

    def _run(self, run: Run) -> None:
        raise NotImplementedError

    def _end(self, run: Run, finished: bool) -> None:
        if run.ended:
            return
        self.cancel(run)
        run.done(finished)


Builder = Callable[[VirtualClock, PoolPlan], FakeEndpoint]
_KINDS: dict[str, Builder] = {}


def _endpoint_kind(*names: str) -> Callable[[type], type]:
    def register(kind: type) -> type:
        for name in names:
            _KINDS[name] = kind
        return kind

    return register


def build_endpoint(clock: VirtualClock, pool: PoolPlan) -> FakeEndpoint:
    """Return a fake of the pool's kind; raises ``KeyError`` if it is unknown."""
    return _KINDS[pool.kind](clock, pool)


@_endpoint_kind("encoder", "retriever", "reranker", "plain")
class FakeServer(FakeEndpoint):
    """Runs each call at a constant speed, whatever else runs."""

    def _run(self, run: Run) -> None:
        self._clock.after(run.seconds * self._slowdown, partial(self._end, run, True))


class _PrefixCache:
    """LRU cache of prefix blocks."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def use(self, prefix: tuple[int, ...]) -> "_CacheUse":
        """Cache every block of a prefix; return the hits and the changed blocks."""
        missed = [block for block in prefix if block not in self._blocks]
        hits = prefix.index(missed[0]) if missed else len(prefix)
        for block in reversed(prefix):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        removed = []
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        return _CacheUse(hits, tuple(missed), tuple(removed))

    def clear(self) -> tuple[int, ...]:
        """Remove every block and return them."""
        blocks = tuple(self._blocks)
        self._blocks.clear()
        return blocks


@dataclass(frozen=True, slots=True)
class _CacheUse:
    hits: int
    stored: tuple[int, ...]
    removed: tuple[int, ...]


@_endpoint_kind("engine")
class FakeEngine(FakeEndpoint):
    """
    Continuous batching: each running call advances by one token per decode step.

    ``_decode_steps`` counts decode steps as a real number. Chunk events are scheduled
    in steps, so a change of the batch size reschedules only the next event. The time
    of a call's prefill is converted to additional steps of that call.
    """

    def __init__(self, clock: VirtualClock, pool: PoolPlan) -> None:
        super().__init__(clock, pool)
        self._cache = _PrefixCache(pool.cache_blocks)
        self._queued: deque[Run] = deque()
        # A heap of (decode step, serial, run, chunk).
        self._chunk_events: list[tuple[float, int, Run, int]] = []
        self._batch: dict[Run, None] = {}
        self._decode_steps = 0.0
        self._steps_updated_at = 0.0
        self._serial = 0
        self._schedule_version = 0
        self._cache_event_count = 0

    def slow_down(self, factor: float) -> None:
        """Make each decode step take ``factor`` times as long from now on."""
        self._update_steps()
        super().slow_down(factor)
        self._schedule_next_event()

    def clear_cache(self) -> None:
        """Remove all cached prefixes and publish their removal."""
        self._publish((), self._cache.clear())

    def cancel(self, run: Run) -> None:
        """Remove a call from the batch."""
        self._update_steps()
        super().cancel(run)
        self._batch.pop(run, None)
        self._fill_batch()

    def _run(self, run: Run) -> None:
        self._update_steps()
        self._queued.append(run)
        self._fill_batch()

    def _fill_batch(self) -> None:
        while self._queued and len(self._batch) < self._pool.slots:
            run = self._queued.popleft()
            if not run.ended:
                self._batch[run] = None
                self._schedule_chunks(run)
        self._schedule_next_event()

    def _schedule_chunks(self, run: Run) -> None:
        cache_use = self._cache.use(run.prefix)
        self._publish(cache_use.stored, cache_use.removed)
        missed = len(run.prefix) - cache_use.hits
        prefill_s = missed * self._pool.block_tokens * self._pool.prefill_token_s
        prefilled_at = self._decode_steps + prefill_s / self._pool.token_s
        steps_per_token = run.seconds / (run.tokens * self._pool.token_s)
        resumed_tokens = min(run.resume_chunks * CHUNK_TOKENS, run.tokens - 1)
        chunk = resumed_tokens // CHUNK_TOKENS
        while chunk * CHUNK_TOKENS < run.tokens:
            chunk += 1
            tokens = min(chunk * CHUNK_TOKENS, run.tokens) - resumed_tokens
            self._serial += 1
            chunk_event = (
                prefilled_at + tokens * steps_per_token,
                self._serial,
                run,
                chunk,
            )
            heapq.heappush(self._chunk_events, chunk_event)

    def _publish(self, stored: tuple[int, ...], removed: tuple[int, ...]) -> None:
        if self._on_cache_event is None or not (stored or removed):
            return
        self._cache_event_count += 1
        if self._pool.event_gap and self._cache_event_count % self._pool.event_gap == 0:
            return
        event = CacheEvent(self._cache_event_count, stored, removed)
        publish = partial(self._on_cache_event, event)
        self._clock.after(self._pool.event_lag_s, publish)

    def _step_s(self) -> float:
        neighbours = max(0, len(self._batch) - 1)
        slope = 1.0 + self._pool.batch_slope * neighbours
        return self._pool.token_s * slope * self._slowdown

    def _update_steps(self) -> None:
        now = self._clock.now
        if self._batch:
            self._decode_steps += (now - self._steps_updated_at) / self._step_s()
        self._steps_updated_at = now

    def _schedule_next_event(self) -> None:
        while self._chunk_events and self._chunk_events[0][2].ended:
            heapq.heappop(self._chunk_events)
        self._schedule_version += 1
        if self._chunk_events:
            delay_s = (self._chunk_events[0][0] - self._decode_steps) * self._step_s()
            self._clock.after(
                max(0.0, delay_s), partial(self._run_next_event, self._schedule_version)
            )

    def _run_next_event(self, schedule_version: int) -> None:
        if schedule_version != self._schedule_version:
            return
        self._update_steps()
        _, _, run, chunk = heapq.heappop(self._chunk_events)
        if chunk * CHUNK_TOKENS < run.tokens:
            run.progress(chunk)
            self._schedule_next_event()
        else:
            self._end(run, True)
