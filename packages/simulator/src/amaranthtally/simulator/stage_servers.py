"""Endpoints that make pieces: a call at a time, results kept in bounded memory."""

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

__all__ = ["PieceCall", "Results", "StageServer"]


@dataclass(frozen=True, slots=True)
class PieceCall:
    """A call with pieces; ``sizes`` are the bytes of their results."""

    pieces: tuple[PieceSpec, ...]
    requests: tuple[Request, ...]
    sizes: tuple[float, ...]
    on_end: Callable[[PiecesEnded], None]


@dataclass(frozen=True, slots=True)
class _Result:
    size_bytes: float
    until: float


class Results:
    """
    Where every result of a deployment is kept, and how large it is.

    ``crossed_bytes`` counts what was read in another data centre.
    """

    def __init__(self) -> None:
        self.crossed_bytes = 0.0
        self._at: dict[str, tuple[str, float]] = {}
        self._next = 0

    def new_handle(self, place: str, size_bytes: float) -> str:
        """Return a handle for a result that is kept in a data centre."""
        self._next += 1
        handle = f"r{self._next}"
        self._at[handle] = (place, size_bytes)
        return handle

    def drop(self, handle: str) -> None:
        """Forget a result."""
        self._at.pop(handle, None)

    def all_kept(self, handles: tuple[str, ...]) -> bool:
        """Whether every one of these is kept."""
        return all(handle in self._at for handle in handles)

    def read(self, place: str, handles: tuple[str, ...]) -> None:
        """Let these, all of them kept, be read in a data centre."""
        found = [self._at[handle] for handle in handles]
        self.crossed_bytes += sum(size for at, size in found if at != place)


@dataclass(slots=True)
class _Made:
    outcomes: tuple[PieceOutcome, ...]
    took_s: float


class StageServer(Server):
    """Makes pieces, one call at a time."""

    def __init__(
        self,
        clock: VirtualClock,
        endpoint: Endpoint,
        pool: PiecePool,
        results: Results,
    ) -> None:
        super().__init__(clock, endpoint)
        self._pool = pool
        self._results = results
        self._held: dict[str, _Result] = {}
        self._queue: deque[PieceCall] = deque()
        self._running: PieceCall | None = None
        self.busy_s = 0.0
        self.refused = 0

    def call(self, call: PieceCall) -> None:
        """Queue a call, or refuse it."""
        if self._running is not None and len(self._queue) >= self._pool.queue:
            self.refused += 1
            call.on_end(PiecesEnded(refused=True, running=1, queued=len(self._queue)))
            return
        self._queue.append(call)
        if self._running is None:
            self._turn()

    def free(self, handles: tuple[str, ...]) -> None:
        """Drop results that nobody reads."""
        for handle in handles:
            self._held.pop(handle, None)
            self._results.drop(handle)

    def lose_all(self) -> None:
        """Drop calls and results."""
        lost = [*self._queue, *([self._running] if self._running else [])]
        self._queue.clear()
        self._running = None
        self.free(tuple(self._held))
        for call in lost:
            call.on_end(PiecesEnded())

    def _turn(self) -> None:
        if not self._queue:
            return
        call = self._running = self._queue.popleft()
        self._expire()
        made = self._make(call)
        self.busy_s += made.took_s
        self.after(made.took_s, lambda: self._done(call, made.outcomes))

    def _expire(self) -> None:
        now = self.clock.now
        self.free(tuple(h for h, one in self._held.items() if one.until <= now))

    def _make(self, call: PieceCall) -> _Made:
        worked = 0
        outcomes = []
        for piece, size in zip(call.pieces, call.sizes, strict=True):
            outcome = self._make_one(piece, size)
            worked += bool(outcome.handle)
            outcomes.append(outcome)
        usual_s = self._pool.call_s + worked * self._pool.piece_s if worked else 0.0
        took_s = usual_s * self.slowness
        for request, outcome in zip(call.requests, outcomes, strict=True):
            request.stage_s += took_s / worked if outcome.handle else 0.0
        return _Made(tuple(outcomes), took_s)

    def _make_one(self, piece: PieceSpec, size_bytes: float) -> PieceOutcome:
        now = self.clock.now
        if piece.deadline <= now:
            return PieceOutcome(fault=PieceFault.LATE)
        if not self._results.all_kept(piece.inputs):
            return PieceOutcome(fault=PieceFault.INPUT_MISSING)
        used = sum(one.size_bytes for one in self._held.values())
        if used + size_bytes > self._pool.memory_bytes:
            return PieceOutcome(fault=PieceFault.NO_ROOM)
        self._results.read(self.place, piece.inputs)
        handle = self._results.new_handle(self.place, size_bytes)
        full_s = self._pool.call_s + self._pool.batch * self._pool.piece_s
        until = now + full_s + self._pool.result_ttl_s
        self._held[handle] = _Result(size_bytes, until)
        return PieceOutcome(handle)

    def _done(self, call: PieceCall, outcomes: tuple[PieceOutcome, ...]) -> None:
        self._running = None
        if self.loses_answers:
            call.on_end(PiecesEnded())
        else:
            queued = len(self._queue)
            call.on_end(PiecesEnded(outcomes, running=int(queued > 0), queued=queued))
        self._turn()
