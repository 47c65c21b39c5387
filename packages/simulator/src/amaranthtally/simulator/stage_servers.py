"""Endpoints that compute pieces, one call at a time, with bounded result memory."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from amaranthtally.policy import (
    Endpoint,
    PieceFault,
    PieceOutcome,
    PiecesEnded,
    PieceSpec,
)
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.deployment import PiecePool
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Server

__all__ = ["PieceCall", "ResultStore", "StageServer"]


@dataclass(frozen=True, slots=True)
class PieceCall:
    """A call with pieces; ``result_sizes`` are in bytes."""

    pieces: tuple[PieceSpec, ...]
    requests: tuple[Request, ...]
    result_sizes: tuple[float, ...]
    on_end: Callable[[PiecesEnded], None]


@dataclass(frozen=True, slots=True)
class _Result:
    size_bytes: float
    expires_at: float


class ResultStore:
    """
    The data centre and size of each result of a deployment.

    ``transferred_bytes`` counts reads from another data centre.
    """

    def __init__(self) -> None:
        self.transferred_bytes = 0.0
        self._locations: dict[str, tuple[str, float]] = {}
        self._last_number = 0

    def add(self, data_centre: str, size_bytes: float) -> str:
        """Add a result in a data centre, and return its handle."""
        self._last_number += 1
        handle = f"r{self._last_number}"
        self._locations[handle] = (data_centre, size_bytes)
        return handle

    def drop(self, handle: str) -> None:
        """Remove a result, if it exists."""
        self._locations.pop(handle, None)

    def has_all(self, handles: tuple[str, ...]) -> bool:
        """Whether all of these results exist."""
        return all(handle in self._locations for handle in handles)

    def read(self, data_centre: str, handles: tuple[str, ...]) -> None:
        """Count the read of existing results in a data centre; raises ``KeyError``."""
        located = [self._locations[handle] for handle in handles]
        self.transferred_bytes += sum(size for at, size in located if at != data_centre)


@dataclass(slots=True)
class _CallResult:
    outcomes: tuple[PieceOutcome, ...]
    duration_s: float


class StageServer(Server):
    """Computes pieces, one call at a time."""

    def __init__(
        self,
        clock: VirtualClock,
        endpoint: Endpoint,
        pool: PiecePool,
        results: ResultStore,
    ) -> None:
        super().__init__(clock, endpoint)
        self._pool = pool
        self._results = results
        self._stored: dict[str, _Result] = {}
        self._queue: deque[PieceCall] = deque()
        self._running: PieceCall | None = None
        self.busy_s = 0.0
        self.refused_count = 0

    def call(self, call: PieceCall) -> None:
        """Queue a call, or refuse it."""
        if self._running is not None and len(self._queue) >= self._pool.queue:
            self.refused_count += 1
            call.on_end(PiecesEnded(refused=True, running=1, queued=len(self._queue)))
            return
        self._queue.append(call)
        if self._running is None:
            self._start_next_call()

    def free(self, handles: tuple[str, ...]) -> None:
        """Remove results that are no longer needed."""
        for handle in handles:
            self._stored.pop(handle, None)
            self._results.drop(handle)

    def discard_state(self) -> None:
        """Drop all calls and results."""
        lost = [*self._queue, *([self._running] if self._running else [])]
        self._queue.clear()
        self._running = None
        self.free(tuple(self._stored))
        for call in lost:
            call.on_end(PiecesEnded())

    def _start_next_call(self) -> None:
        if not self._queue:
            return
        call = self._running = self._queue.popleft()
        self._expire()
        result = self._compute(call)
        self.busy_s += result.duration_s
        self.after(
            result.duration_s, lambda: self._call_finished(call, result.outcomes)
        )

    def _expire(self) -> None:
        now = self.clock.now
        self.free(
            tuple(h for h, result in self._stored.items() if result.expires_at <= now)
        )

    def _compute(self, call: PieceCall) -> _CallResult:
        computed_count = 0
        outcomes = []
        for piece, size in zip(call.pieces, call.result_sizes, strict=True):
            outcome = self._compute_piece(piece, size)
            computed_count += bool(outcome.handle)
            outcomes.append(outcome)
        nominal_s = (
            self._pool.call_s + computed_count * self._pool.piece_s
            if computed_count
            else 0.0
        )
        duration_s = nominal_s * self.slowdown
        for request, outcome in zip(call.requests, outcomes, strict=True):
            request.stage_s += duration_s / computed_count if outcome.handle else 0.0
        return _CallResult(tuple(outcomes), duration_s)

    def _compute_piece(self, piece: PieceSpec, size_bytes: float) -> PieceOutcome:
        now = self.clock.now
        if piece.deadline <= now:
            return PieceOutcome(fault=PieceFault.LATE)
        if not self._results.has_all(piece.inputs):
            return PieceOutcome(fault=PieceFault.INPUT_MISSING)
        used = sum(result.size_bytes for result in self._stored.values())
        if used + size_bytes > self._pool.memory_bytes:
            return PieceOutcome(fault=PieceFault.NO_ROOM)
        self._results.read(self.data_centre, piece.inputs)
        handle = self._results.add(self.data_centre, size_bytes)
        full_s = self._pool.call_s + self._pool.batch * self._pool.piece_s
        expires_at = now + full_s + self._pool.result_ttl_s
        self._stored[handle] = _Result(size_bytes, expires_at)
        return PieceOutcome(handle)

    def _call_finished(
        self, call: PieceCall, outcomes: tuple[PieceOutcome, ...]
    ) -> None:
        self._running = None
        if self.drops_responses:
            call.on_end(PiecesEnded())
        else:
            queued = len(self._queue)
            call.on_end(PiecesEnded(outcomes, running=int(queued > 0), queued=queued))
        self._start_next_call()
