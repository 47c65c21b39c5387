"""What the one entry that calls an endpoint for pieces knows of it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.routes import PieceLimits, Pool

__all__ = ["PieceServer", "PieceServers", "speed_faded"]

# Calls at one endpoint. It works on one call at a time whatever the call holds:
# pieces that come meanwhile wait here and share the next call.
CALLS_AT_ONCE = 1
# First wait after a failed or refused call, in seconds, and the longest; each failure
# in a row doubles it. The first is the time in which a full queue gives up one call,
# the last how long an endpoint that has come back may stand idle.
FIRST_WAIT_S = 0.2
LONGEST_WAIT_S = 1.6
# A call is given up after this many times its usual time, its wait, and a margin in
# seconds. An endpoint that has just become five times slower still answers; one that
# hangs holds its pieces for two seconds, not for ever.
TIMEOUT_FACTOR = 4.5
# The same for an endpoint that is known to be slow, of the time that it takes now.
SLOW_TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN_S = 0.4
# How long an endpoint that had no room is taken to be full, in seconds: results that
# were made by another entry's calls leave it in about that time.
FULL_S = 0.2
# How much longer than predicted a call takes at least that waited for another entry's:
# half of the shortest call, which is 0.2 s whatever it holds, and this part of what was
# predicted. An endpoint that has become slow is predicted too short by a quarter.
FOREIGN_CALL_S = 0.1
FOREIGN_CALL_SHARE = 0.4
# How long an endpoint is known to have no other caller after a call that did not wait,
# in seconds: calls follow each other within one, and owners change in about as much.
ALONE_S = 1.0
# How much the newest call counts for an endpoint's speed, and when half of what was
# learned is forgotten, in seconds: one that was slow is tried again after two or three.
SPEED_WEIGHT = 0.5
SPEED_FADE_S = 4.0
# How long what was learned counts in full, in seconds: discounted from the first
# moment, a slow endpoint gets a request whenever the others have one call waiting.
SPEED_FRESH_S = 4.0
# How much slower than its pool an endpoint is taken to be at most.
MOST_SLOWNESS = 8.0
# Calls that differ by less are of one speed: sizes of pieces differ as much.
SPEED_NOISE = 0.25


@dataclass(slots=True)
class _Call:
    result_bytes: float
    begins_at: float
    usual_s: float


@dataclass(slots=True)
class _Held:
    size_bytes: float
    made_at: float
    until: float


@dataclass(slots=True)
class PieceServer:
    """
    One endpoint of a pool for pieces; times are time stamps in seconds.

    ``ahead`` counts calls of other entries at the endpoint by its last report.
    ``slowness_then`` is how many times as long as usual its calls took when one was
    last heard of.
    """

    endpoint: Endpoint
    limits: PieceLimits
    busy_until: float = 0.0
    calls: dict[int, _Call] = field(default_factory=dict)
    held: dict[str, _Held] = field(default_factory=dict)
    ahead: int = 0
    heard_at: float = 0.0
    shut_until: float = 0.0
    full_until: float = 0.0
    failures: int = 0
    alone_until: float = 0.0
    leaving: bool = False
    slowness_then: float = 1.0
    slowness_at: float = 0.0

    def is_open(self, now: float) -> bool:
        """Whether a call may be sent now."""
        free = len(self.calls) < CALLS_AT_ONCE
        return free and self.is_usable(now) and now >= self.full_until

    def is_usable(self, now: float) -> bool:
        """Whether calls may be sent once those under way have ended."""
        return not self.leaving and now >= self.shut_until

    def is_only_caller(self, now: float) -> bool:
        """
        Whether a call sent now begins at once, as no other entry calls the endpoint.

        The failure: owners change as entries restart, and for a while two call one
        endpoint. A call waits for the other's, 0.3 s, and what its pieces were to read
        had been freed as if it had begun: 400 pieces in 50 s, each made once more from
        the first stage on.
        """
        return now < self.alone_until

    def wait_s(self, now: float) -> float:
        """Return how long a call sent now is predicted to wait for its turn."""
        own = max(0.0, self.busy_until - now)
        # A report says little of the queue one call later: it is taken to have moved
        # on by as many calls as there was time for.
        call_s = self.full_call_time_s(now)
        passed = (now - self.heard_at) / call_s if call_s else 0.0
        others = max(0.0, self.ahead - passed) * call_s / max(1, self.limits.slots)
        return max(own, others, self.shut_until - now)

    def slowness(self, now: float) -> float:
        """
        Return how many times as long as usual its calls take; fades to 1 unheard.

        The failure: one endpoint of three works four times slower, and its place was
        predicted as if it did not. A third of all requests went there and were late,
        and the results that they read filled their makers.
        """
        slowness = self._learned_slowness(now)
        return slowness if slowness > 1.0 + SPEED_NOISE else 1.0

    def _learned_slowness(self, now: float) -> float:
        return 1.0 + (self.slowness_then - 1.0) * speed_faded(now - self.slowness_at)

    def call_s(self, now: float, pieces: int) -> float:
        """Return how long a call with so many pieces is predicted to run."""
        return self.limits.call_time_s(pieces) * self.slowness(now)

    def full_call_time_s(self, now: float) -> float:
        """Return how long a call with as many pieces as fit is predicted to run."""
        return self.limits.full_call_time_s() * self.slowness(now)

    def timeout_s(self, now: float, pieces: int) -> float:
        """Return when to give a call up, in seconds from now."""
        usual_s = TIMEOUT_FACTOR * self.limits.call_time_s(pieces)
        slow_s = SLOW_TIMEOUT_FACTOR * self.call_s(now, pieces)
        wait_s = SLOW_TIMEOUT_FACTOR * self.wait_s(now)
        return max(usual_s, slow_s) + wait_s + TIMEOUT_MARGIN_S

    def free_bytes(self, now: float) -> float:
        """Return the memory that is left for results; endless where it is not told."""
        if not self.limits.memory_bytes:
            return float("inf")
        for handle in [h for h, held in self.held.items() if held.until <= now]:
            del self.held[handle]
        used = sum(held.size_bytes for held in self.held.values())
        coming = sum(call.result_bytes for call in self.calls.values())
        return self.limits.memory_bytes - used - coming

    def sent(self, now: float, call: int, pieces: int, result_bytes: float) -> None:
        """Note a call, and the memory that its results will take."""
        begins_at = now + self.wait_s(now)
        self.busy_until = begins_at + self.call_s(now, pieces)
        self.calls[call] = _Call(
            result_bytes, begins_at, self.limits.call_time_s(pieces)
        )

    def ended(self, now: float, call: int, has_worked: bool) -> None:
        """Note that a call has ended; ``has_worked`` where it made all its pieces."""
        ended = self.calls.pop(call, None)
        if not self.calls:
            self.busy_until = now
        if ended is None or ended.usual_s <= 0:
            return
        predicted_s = ended.usual_s * self.slowness(now)
        over_s = now - ended.begins_at - predicted_s
        most_s = max(FOREIGN_CALL_S, FOREIGN_CALL_SHARE * predicted_s)
        is_only_caller = has_worked and over_s < most_s
        self.alone_until = now + ALONE_S if is_only_caller else now
        ratio = (now - ended.begins_at) / ended.usual_s
        # One that was given up has lasted at least so long.
        if has_worked or ratio > 1.0:
            self._note_speed(now, ratio)

    def _note_speed(self, now: float, ratio: float) -> None:
        then = self._learned_slowness(now)
        ratio = min(MOST_SLOWNESS, max(1.0, ratio))
        self.slowness_then = then + SPEED_WEIGHT * (ratio - then)
        self.slowness_at = now

    def keeps(self, now: float, handle: str, size_bytes: float) -> None:
        """Note a result that the endpoint keeps."""
        until = now + (self.limits.result_ttl_s or float("inf"))
        self.held[handle] = _Held(size_bytes, now, until)

    def freed(self, now: float, handle: str) -> float:
        """Note that a result is kept no more; return for how long it was, in s."""
        held = self.held.pop(handle, None)
        return 0.0 if held is None else now - held.made_at

    def had_no_room(self, now: float) -> None:
        """Send nothing until some results will have left."""
        self.full_until = now + FULL_S

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
        if self.ahead:
            self.alone_until = now


class PieceServers:
    """The endpoints for pieces by pool and data centre."""

    def __init__(
        self, build: Callable[[Endpoint, PieceLimits], PieceServer] = PieceServer
    ) -> None:
        self._build = build
        self._servers: dict[str, PieceServer] = {}
        self._by_place: dict[tuple[str, str], list[PieceServer]] = {}

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
            if found is None or not found.endpoint.is_same_server(endpoint):
                found = self._build(endpoint, pool.pieces)
            found.endpoint = endpoint
            found.limits = pool.pieces
            found.leaving = not endpoint.takes_calls
            wanted[endpoint.id] = found
        self._servers = wanted
        self._by_place = {}
        for server in wanted.values():
            place = (server.endpoint.pool, server.endpoint.data_centre)
            self._by_place.setdefault(place, []).append(server)

    def find(self, endpoint: str) -> PieceServer | None:
        """Return an endpoint that is registered, or ``None``."""
        return self._servers.get(endpoint)

    def at(self, pool: str, data_centre: str) -> list[PieceServer]:
        """Return a pool's endpoints in a data centre that do not leave."""
        found = self._by_place.get((pool, data_centre), [])
        return [server for server in found if not server.leaving]

    def places(self, pool: str) -> dict[str, Endpoint]:
        """Return the data centres with endpoints of a pool, and one of each."""
        return {
            place: servers[0].endpoint
            for (name, place), servers in self._by_place.items()
            if name == pool and any(not server.leaving for server in servers)
        }


def speed_faded(age_s: float) -> float:
    """Return how much of what was learned of a speed so long ago still counts."""
    return 0.5 ** (max(0.0, age_s - SPEED_FRESH_S) / SPEED_FADE_S)
