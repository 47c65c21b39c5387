"""
The bytes of requests that endpoints hold for this entry, under a learned bound.

Workload: an endpoint crashes if the requests that it holds exceed its memory, which it
does not report. What this entry learns is a bound on its own share of them. It counts
bytes only and knows nothing of contents: requests that end endpoints whatever else
these hold are the matter of ``PromptGuard``.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

__all__ = ["EndpointMemory", "HeldRequest", "LearnedBound", "build_endpoint_memory"]

NO_ENDPOINTS: frozenset[str] = frozenset()
# What a request takes beside its body, in bytes: its head.
HEAD_BYTES = 1024
# An end shows something only compared with what endpoints held and outlived, which is
# known after so many requests of a pool.
MIN_FINISHED = 50
# Endpoints end for other reasons too. By chance alone, one that holds more than any has
# outlived is rare, and two of them soon after each other are rarer.
MIN_ENDS = 2
# How long an end counts, and how long what was outlived counts at least, in seconds.
# Endpoints are replaced by others with more or less memory.
EVIDENCE_S = 1800.0
OUTLIVED_S = 600.0
# An end is seen soon after the connections were lost, in seconds.
LOSS_S = 10.0


class HeldRequest(NamedTuple):
    """A request at an endpoint, which is named with its pool and its incarnation."""

    endpoint: str
    pool: str
    incarnation: int
    size: int


class RegisteredEndpoint(Protocol):
    """An endpoint as it is registered."""

    @property
    def incarnation(self) -> int:
        """Which start of the endpoint it is."""


class LearnedBound(NamedTuple):
    """An end that counts: what the endpoint held, and the pool's bound in bytes."""

    pool: str
    endpoint: str
    held: int
    outlived: int
    bound: float | None


class _Loss(NamedTuple):
    pool: str
    incarnation: int
    held: int
    at: float


@dataclass(slots=True)
class _Pool:
    finished: int = 0
    # The most bytes that an endpoint held when it finished a request, which it thus
    # outlived, in this period and in the one before.
    outlived: int = 0
    outlived_before: int = 0
    period_began: float = 0.0
    ends: list[tuple[float, int]] = field(default_factory=list)

    def note_outlived(self, now: float, held: int) -> None:
        if now - self.period_began > OUTLIVED_S:
            self.outlived_before, self.outlived = self.outlived, 0
            self.period_began = now
        self.finished += 1
        self.outlived = max(self.outlived, held)

    @property
    def most_outlived(self) -> int:
        return max(self.outlived, self.outlived_before)

    def bound(self, now: float) -> float | None:
        """
        Return the bound in bytes, ``None`` if there is none.

        It halves the range between what was outlived and what was not, so that further
        ends narrow it.
        """
        held = [
            held
            for at, held in self.ends
            if now - at < EVIDENCE_S and held > self.most_outlived
        ]
        if len(held) < MIN_ENDS:
            return None
        return (self.most_outlived + min(held)) / 2


class EndpointMemory:
    """Counts what endpoints hold, and learns per pool how much is too much."""

    def __init__(self) -> None:
        self._held: dict[str, int] = {}
        self._pool_of: dict[str, str] = {}
        self._losses: dict[str, _Loss] = {}
        self._pools: dict[str, _Pool] = {}
        # Pools that have had a bound, so that others cost only a lookup.
        self._learned: set[str] = set()
        self._untaken: list[LearnedBound] = []

    def bound(self, now: float, pool: str) -> float | None:
        """Return the bound on an endpoint of a pool, in bytes; ``None`` for none."""
        return self._pools[pool].bound(now) if pool in self._learned else None

    def take_learned(self) -> list[LearnedBound]:
        """Return the ends that were learned from since the last call."""
        taken, self._untaken = self._untaken, []
        return taken

    def held(self, endpoint: str) -> int:
        """Return the bytes that an endpoint holds for this entry."""
        return self._held.get(endpoint, 0)

    def covers(self, pool: str) -> bool:
        """Whether a bound has been learned for a pool; it may have ended."""
        return pool in self._learned

    def full(self, now: float, pool: str, body_bytes: float) -> frozenset[str]:
        """
        Return the endpoints that must not be sent a request of this size now.

        An endpoint that holds nothing may be sent any, as no other can serve it better.
        """
        bound = self.bound(now, pool)
        if bound is None:
            return NO_ENDPOINTS
        room = bound - body_bytes - HEAD_BYTES
        return frozenset(
            name
            for name, held in self._held.items()
            if held > room and self._pool_of[name] == pool
        )

    def sent(
        self, endpoint: str, pool: str, incarnation: int, body_bytes: float
    ) -> HeldRequest:
        """Note a request that is sent; return what to pass when it ends."""
        size = int(body_bytes) + HEAD_BYTES
        self._held[endpoint] = self._held.get(endpoint, 0) + size
        self._pool_of[endpoint] = pool
        return HeldRequest(endpoint, pool, incarnation, size)

    def ended(self, request: HeldRequest) -> None:
        """Note that a request has ended or is cancelled."""
        name = request.endpoint
        left = self._held.get(name, 0) - request.size
        if left > 0:
            self._held[name] = left
        else:
            self._held.pop(name, None)
            self._pool_of.pop(name, None)

    def finished(self, now: float, request: HeldRequest) -> None:
        """Note that an endpoint finished a request that has just ended."""
        pool = self._pools.setdefault(request.pool, _Pool(period_began=now))
        pool.note_outlived(now, self.held(request.endpoint) + request.size)

    def lost(self, now: float, request: HeldRequest) -> None:
        """Note that the connection of a request that has just ended was lost."""
        name = request.endpoint
        if name not in self._held:
            # It held this one request, or the last of several whose first was noted.
            return
        held = self.held(name) + request.size
        known = self._losses.get(name)
        if known is None or now - known.at > LOSS_S or held > known.held:
            self._losses[name] = _Loss(request.pool, request.incarnation, held, now)

    def endpoint_closed(self, now: float, endpoint: str) -> None:
        """
        Learn from an endpoint that refuses or closes new connections.

        One that goes on with older requests is full, or cut off, and has not ended.
        """
        if endpoint not in self._held:
            self._endpoint_ended(now, endpoint)

    def _endpoint_ended(self, now: float, endpoint: str) -> None:
        loss = self._losses.pop(endpoint, None)
        if loss is None or now - loss.at > LOSS_S:
            return
        pool = self._pools.get(loss.pool)
        if pool is None or pool.finished < MIN_FINISHED:
            return
        if loss.held <= pool.most_outlived:
            return
        pool.ends = [end for end in pool.ends if now - end[0] < EVIDENCE_S]
        pool.ends.append((now, loss.held))
        if len(pool.ends) >= MIN_ENDS:
            self._learned.add(loss.pool)
        self._untaken.append(
            LearnedBound(
                loss.pool, endpoint, loss.held, pool.most_outlived, pool.bound(now)
            )
        )

    def endpoints_changed(
        self, now: float, endpoints: Mapping[str, RegisteredEndpoint]
    ) -> None:
        """Learn from endpoints that are gone, or that have started again."""
        for name, loss in list(self._losses.items()):
            registered = endpoints.get(name)
            if registered is None or registered.incarnation != loss.incarnation:
                self._endpoint_ended(now, name)


def build_endpoint_memory() -> EndpointMemory:
    """Return an empty record of what endpoints hold."""
    return EndpointMemory()
