"""The prompts in the memory of engines, which hold a limited number of tokens."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from amaranthtally.policy.model import AttemptId, Endpoint
from amaranthtally.policy.result_memory.active_pools import ActivePools
from amaranthtally.policy.routes import Pool

__all__ = ["EngineMemory"]

# At more endpoints in a pool, only those with prompts of this entry are examined, so
# that a decision does not take longer the more endpoints there are.
MOST_EXAMINED = 64

Segments = tuple[Sequence[int], Sequence[int]]
NO_SEGMENTS: Segments = ((), ())


def _no_tokens(now: float, endpoint: str) -> float:
    return 0.0


@dataclass(slots=True)
class _Held:
    """The segments of running prompts at an endpoint: their numbers and sizes."""

    counts: dict[int, int] = field(default_factory=dict)
    sizes: dict[int, int] = field(default_factory=dict)
    tokens: int = 0

    def add(self, segments: Segments) -> None:
        for segment, size in zip(*segments, strict=False):
            self.counts[segment] = self.counts.get(segment, 0) + 1
            if self.counts[segment] == 1:
                self.sizes[segment] = size
                self.tokens += size

    def remove(self, segments: Segments) -> None:
        for segment, _ in zip(*segments, strict=False):
            self.counts[segment] -= 1
            if not self.counts[segment]:
                del self.counts[segment]
                self.tokens -= self.sizes.pop(segment)

    def added_tokens(self, segments: Segments) -> int:
        pairs = zip(*segments, strict=False)
        return sum(size for segment, size in pairs if segment not in self.counts)


class EngineMemory:
    """
    Tells which engines cannot hold a prompt beside those that run there.

    An engine that is given more preempts a running stream. A segment that several
    prompts share is counted once, as engines keep one copy of it. Takes effect for
    active pools whose configuration names a token capacity.
    """

    def __init__(
        self,
        active: ActivePools,
        others: Callable[[float, str], float] = _no_tokens,
    ) -> None:
        self._active = active
        self._others = others
        self._capacities: Mapping[str, int] = {}
        self._by_pool: dict[str, list[str]] = {}
        self._held: dict[str, _Held] = {}
        self._attempts: dict[AttemptId, tuple[str, Segments]] = {}

    def use_view(self, others: Callable[[float, str], float]) -> None:
        """Use a function that returns other entries' prompt tokens at an endpoint."""
        self._others = others

    def configure(
        self, endpoints: Mapping[str, Endpoint], pools: Mapping[str, Pool]
    ) -> None:
        """Use these endpoints, and the capacities of these pools."""
        self._capacities = {
            name: pool.engine.token_capacity
            for name, pool in pools.items()
            if pool.engine is not None and pool.engine.token_capacity > 0
        }
        self._by_pool = {name: [] for name in self._capacities}
        for endpoint in endpoints.values():
            if endpoint.pool in self._by_pool:
                self._by_pool[endpoint.pool].append(endpoint.id)

    def attempt_added(
        self, attempt: AttemptId, endpoint: str, segments: Segments
    ) -> None:
        """Reserve the tokens of a prompt that is sent to an endpoint."""
        if self._active and segments[1]:
            self._attempts[attempt] = (endpoint, segments)
            self._held.setdefault(endpoint, _Held()).add(segments)

    def attempt_removed(self, attempt: AttemptId) -> None:
        """Release the tokens of a prompt whose attempt has ended."""
        endpoint, segments = self._attempts.pop(attempt, ("", NO_SEGMENTS))
        if endpoint:
            self._held[endpoint].remove(segments)
            if not self._held[endpoint].counts:
                del self._held[endpoint]

    def tokens(self, endpoint: str) -> int:
        """Return the tokens of this entry's prompts at an endpoint."""
        held = self._held.get(endpoint)
        return 0 if held is None else held.tokens

    def covers(self, pool: str) -> bool:
        """Whether a pool is active and its engines' capacity is configured."""
        return pool in self._capacities and pool in self._active

    def full(self, now: float, pool: str, segments: Segments) -> frozenset[str]:
        """Return the endpoints of a pool that cannot hold a prompt now."""
        capacity = self._capacities.get(pool)
        if capacity is None or pool not in self._active or not segments[1]:
            return frozenset()
        return frozenset(
            name
            for name in self._examined(pool)
            if self._exceeds(now, name, segments, capacity)
        )

    def _examined(self, pool: str) -> Iterable[str]:
        names = self._by_pool[pool]
        if len(names) <= MOST_EXAMINED:
            return names
        known = set(names)
        return [name for name in self._held if name in known]

    def _exceeds(
        self, now: float, endpoint: str, segments: Segments, capacity: int
    ) -> bool:
        held = self._held.get(endpoint) or _Held()
        running = held.tokens + self._others(now, endpoint)
        # An idle engine gets any prompt: only the engine knows whether it is too long.
        return running > 0 and running + held.added_tokens(segments) > capacity
