"""What an entry knows of the endpoints that run pieces: calls, failures, memory."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.routes import PieceLimits, Pool

__all__ = ["PieceServer", "PieceServers"]

# Calls of one entry at one endpoint. It works on one call at a time whatever the
# call holds: pieces that come meanwhile wait here and share the next call.
CALLS_AT_ONCE = 1
# First wait after a failed call, in seconds, and the longest; each failure in a row
# doubles it. The first is the time in which a full queue gives up one call, the last
# how long a restarted endpoint may stand idle.
FIRST_WAIT_S = 0.2
LONGEST_WAIT_S = 2.0
# A call is given up after this many times its predicted time, waiting included, and
# a margin in seconds. An endpoint that five times slower work reached is still
# answered; one that hangs holds its pieces for a second or two, not for ever.
TIMEOUT_FACTOR = 2.5
TIMEOUT_MARGIN_S = 0.4


@dataclass(slots=True)
class PieceServer:
    """
    One endpoint of a pool for pieces; times are time stamps in seconds.

    ``ahead`` counts calls of other entries at the endpoint by its last report.
    """

    endpoint: Endpoint
    limits: PieceLimits
    busy_until: float = 0.0
    calls: set[int] = field(default_factory=set)
    ahead: int = 0
    heard_at: float = 0.0
    shut_until: float = 0.0
    failures: int = 0
    leaving: bool = False
    stored_bytes: float = 0.0

    def is_open(self, now: float) -> bool:
        """Whether a call may be sent now."""
        free = len(self.calls) < CALLS_AT_ONCE
        return free and self.is_usable(now)

    def is_usable(self, now: float) -> bool:
        """Whether calls may be sent once those under way have ended."""
        return not self.leaving and now >= self.shut_until

    def wait_s(self, now: float) -> float:
        """Return how long a call sent now is predicted to wait for its turn."""
        own = max(0.0, self.busy_until - now)
        # A report says little of the queue one call later: it is taken to have moved
        # on by as many calls as there was time for.
        call_s = self.limits.full_call_s()
        passed = (now - self.heard_at) / call_s if call_s else 0.0
        others = max(0.0, self.ahead - passed) * call_s / max(1, self.limits.slots)
        return max(own, others)

    def call_s(self, pieces: int) -> float:
        """Return how long a call with so many pieces is predicted to run."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def timeout_s(self, now: float, pieces: int) -> float:
        """Return when to give a call up, in seconds from now."""
        queue_s = self.limits.queue * self.limits.full_call_s()
        predicted = self.call_s(pieces) + max(queue_s, self.wait_s(now))
        return TIMEOUT_FACTOR * predicted + TIMEOUT_MARGIN_S

    def sent(self, now: float, call: int, pieces: int) -> None:
        """Note a call."""
        self.busy_until = now + self.wait_s(now) + self.call_s(pieces)
        self.calls.add(call)

    def ended(self, now: float, call: int) -> None:
        """Note that a call has ended, however it did."""
        self.calls.discard(call)
        if not self.calls:
            self.busy_until = now

    def succeeded(self) -> None:
        """Note that the endpoint answered."""
        self.failures = 0

    def failed(self, now: float) -> None:
        """Send nothing for a while, longer with each failure in a row."""
        wait_s = min(LONGEST_WAIT_S, FIRST_WAIT_S * 2**self.failures)
        self.failures += 1
        self.shut_until = now + wait_s

    def note_load(self, now: float, running: int, queued: int) -> None:
        """Learn how many calls are at the endpoint; our own are not counted."""
        self.ahead = max(0, running + queued - len(self.calls))
        self.heard_at = now

    def has_room(self, result_bytes: float) -> bool:
        """Whether one more result of our own fits its memory."""
        limit = self.limits.memory_bytes
        return not limit or self.stored_bytes + result_bytes <= limit


class PieceServers:
    """The endpoints for pieces by pool."""

    def __init__(self) -> None:
        self._servers: dict[str, PieceServer] = {}
        self._by_pool: dict[str, list[PieceServer]] = {}

    def replace(
        self, endpoints: Mapping[str, Endpoint], pools: Mapping[str, Pool]
    ) -> None:
        """Use these endpoints; what is known of those that stay is kept."""
        wanted: dict[str, PieceServer] = {}
        for endpoint in endpoints.values():
            pool = pools.get(endpoint.pool)
            if pool is None or pool.pieces is None:
                continue
            found = self._servers.get(endpoint.id)
            if found is None or not found.endpoint.stands_like(endpoint):
                found = PieceServer(endpoint, pool.pieces)
            found.endpoint = endpoint
            found.limits = pool.pieces
            found.leaving = not endpoint.takes_calls
            wanted[endpoint.id] = found
        self._servers = wanted
        self._by_pool = {}
        for server in wanted.values():
            self._by_pool.setdefault(server.endpoint.pool, []).append(server)

    def find(self, endpoint: str) -> PieceServer | None:
        """Return an endpoint that is registered, or ``None``."""
        return self._servers.get(endpoint)

    def of(self, pool: str) -> list[PieceServer]:
        """Return the endpoints of a pool."""
        return self._by_pool.get(pool, [])

    def usable(self, now: float, pool: str) -> Iterable[PieceServer]:
        """Return the endpoints of a pool that take calls."""
        return [s for s in self.of(pool) if s.is_usable(now)]
