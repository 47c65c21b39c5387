"""The state that the owner of a pool site keeps of each endpoint for pieces there."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from amaranthtally.policy.limit_messages import interval_s
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece
from amaranthtally.policy.routes import PieceLimits, Pool

__all__ = ["PieceServer", "PieceServers", "StoredRecord", "speed_weight"]

# How long handles of results without a time to live are known, in seconds.
NAMED_S = 10.0
# How many calls are sent to one endpoint at once. It runs one call at a time, so the
# pieces that become due meanwhile wait here, where they can share the next call.
CALLS_AT_ONCE = 1
# First and longest pause after a failed or refused call, in seconds; each failure in a
# row doubles the pause. A full queue finishes one call within the first pause. The
# longest bounds how long an endpoint that has recovered stays idle.
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 1.6
# A call times out after this many times its usual time, plus its wait and a margin in
# seconds. An endpoint that has just become five times slower can still answer, and one
# that hangs delays its pieces by two seconds.
TIMEOUT_FACTOR = 4.5
# The same factor for an endpoint known to be slow, applied to its current call time.
SLOW_TIMEOUT_FACTOR = 2.0
TIMEOUT_MARGIN_S = 0.4
# How long an endpoint that had no room for a result is taken to be full, in seconds.
# Results of calls by other entries are usually freed in that time.
FULL_S = 0.2
# A call that exceeds its predicted time by this much has waited for a call of another
# entry. The threshold is half of the shortest call, which takes 0.2 s for any number of
# pieces, or this share of the predicted time if that is more: for an endpoint that has
# become slow, the prediction is too short by a quarter.
FOREIGN_CALL_S = 0.1
FOREIGN_CALL_SHARE = 0.4
# For how long after a call that did not wait this entry is taken to be the endpoint's
# only caller, in seconds. Consecutive calls are less than a second apart, and a site
# changes its owner within about the same time.
ONLY_CALLER_S = 1.0
# Weight of the newest call in an endpoint's learned speed, and the half-life of that
# speed in seconds: a slow endpoint is tried again after two or three half-lives.
SPEED_WEIGHT = 0.5
SPEED_HALF_LIFE_S = 4.0
# How long a learned speed counts in full before it decays, in seconds. If it decayed
# from the start, a slow endpoint would be sent a request whenever each of the other
# endpoints has one call waiting.
SPEED_FRESH_S = 4.0
# Upper bound of how many times slower than its pool an endpoint is taken to be.
MOST_SLOWNESS = 8.0
# Smaller deviations are ignored: call times differ as much by the sizes of pieces.
SPEED_NOISE = 0.25
# Half-life of the weight of a reported slowness, in seconds: a report comes with the
# end of a call, and the call that is predicted next ends about this long after it.
HOST_SLOWNESS_HALF_LIFE_S = 0.5
# How far below the observed slowness a reported one may lower the prediction. Without
# this bound, an endpoint that reports a false speed would be sent most of all pieces.
LEAST_OF_OBSERVED = 0.5


@dataclass(slots=True)
class _Call:
    result_bytes: float
    starts_at: float
    usual_s: float


@dataclass(slots=True)
class StoredRecord:
    """A result stored at an endpoint; times are time stamps in seconds."""

    size_bytes: float
    stored_at: float
    expires_at: float


@dataclass(slots=True)
class PieceServer:
    """
    State of one endpoint that computes pieces; times are time stamps in seconds.

    ``foreign_calls`` is the number of other entries' calls at the endpoint by its last
    load report. ``learned_slowness`` is how many times as long as usual its calls took
    at the time ``slowness_learned_at``. ``min_interval_s`` is the least time between
    calls by the endpoint's rate limit, 0 without one; the next is due at
    ``next_call_at``. Until ``backoff_until`` none is sent, as the endpoint asked.
    ``host_slowness`` is the slowness that it last reported, ``None`` if it did not.
    """

    endpoint: Endpoint
    limits: PieceLimits
    busy_until: float = 0.0
    calls: dict[int, _Call] = field(default_factory=dict)
    stored: dict[str, StoredRecord] = field(default_factory=dict)
    named: dict[str, tuple[Piece, float]] = field(default_factory=dict)
    foreign_calls: int = 0
    load_reported_at: float = 0.0
    paused_until: float = 0.0
    full_until: float = 0.0
    failures: int = 0
    only_caller_until: float = 0.0
    leaving: bool = False
    learned_slowness: float = 1.0
    slowness_learned_at: float = 0.0
    min_interval_s: float = 0.0
    next_call_at: float = 0.0
    backoff_until: float = 0.0
    host_slowness: float | None = None

    def is_open(self, now: float) -> bool:
        """Whether a call may be sent now."""
        free = len(self.calls) < CALLS_AT_ONCE
        is_due = now >= max(self.full_until, self.next_call_at)
        return free and is_due and self.is_usable(now)

    def is_usable(self, now: float) -> bool:
        """Whether calls may be sent once those in progress have ended."""
        return not self.leaving and now >= max(self.paused_until, self.backoff_until)

    def is_only_caller(self, now: float) -> bool:
        """
        Whether no other entry calls the endpoint, so a call sent now starts at once.

        While entries restart, ownership of a site changes and two entries call one
        endpoint for some time. A call then waits 0.3 s for the other entry's call. The
        inputs of its pieces were freed as if it had started at once, and in 50 s,
        400 pieces had to be recomputed from the first stage on.
        """
        return now < self.only_caller_until

    def wait_s(self, now: float) -> float:
        """Return how long a call sent now is predicted to wait until it starts."""
        own_s = max(0.0, self.busy_until - now)
        # A load report is outdated after one call: the queue is taken to have shrunk by
        # as many calls as could run since then.
        call_s = self.full_call_time_s(now)
        calls_since = (now - self.load_reported_at) / call_s if call_s else 0.0
        others_s = (
            max(0.0, self.foreign_calls - calls_since)
            * call_s
            / max(1, self.limits.slots)
        )
        blocked_until = max(self.paused_until, self.backoff_until, self.next_call_at)
        return max(own_s, others_s, blocked_until - now)

    def slowness(self, now: float) -> float:
        """
        Return how many times as long as usual its calls take.

        Decays to 1 while there are no new measurements. Without this factor, an
        endpoint of three that had become four times slower was predicted to be as fast
        as the others. A third of all requests were sent there and were late, and the
        results that they read filled the memory of the endpoints that stored them.

        A slowness that the endpoint reports counts more the newer it is. It is known
        before any call has taken longer, and it is no noise of the sizes of pieces.
        """
        slowness = self._decayed_slowness(now)
        observed = slowness if slowness > 1.0 + SPEED_NOISE else 1.0
        if self.host_slowness is None:
            return observed
        least = LEAST_OF_OBSERVED * observed
        reported = min(MOST_SLOWNESS, max(least, self.host_slowness))
        age_s = max(0.0, now - self.load_reported_at)
        weight = 0.5 ** (age_s / HOST_SLOWNESS_HALF_LIFE_S)
        return observed + weight * (reported - observed)

    def _decayed_slowness(self, now: float) -> float:
        return 1.0 + (self.learned_slowness - 1.0) * speed_weight(
            now - self.slowness_learned_at
        )

    def call_time_s(self, now: float, pieces: int) -> float:
        """Return how long a call with this many pieces is predicted to run, in s."""
        return self.limits.call_time_s(pieces) * self.slowness(now)

    def full_call_time_s(self, now: float) -> float:
        """Return how long a full call is predicted to run, in seconds."""
        call_s = self.limits.full_call_time_s() * self.slowness(now)
        return max(call_s, self.min_interval_s)

    def timeout_s(self, now: float, pieces: int) -> float:
        """Return the time-out of a call sent now, in seconds."""
        usual_s = TIMEOUT_FACTOR * self.limits.call_time_s(pieces)
        slow_s = SLOW_TIMEOUT_FACTOR * self.call_time_s(now, pieces)
        wait_s = SLOW_TIMEOUT_FACTOR * self.wait_s(now)
        return max(usual_s, slow_s) + wait_s + TIMEOUT_MARGIN_S

    def free_bytes(self, now: float) -> float:
        """Return the memory left for results; infinite if the pool has no limit."""
        if not self.limits.memory_bytes:
            return float("inf")
        for handle in [
            h for h, stored in self.stored.items() if stored.expires_at <= now
        ]:
            del self.stored[handle]
        used_bytes = sum(stored.size_bytes for stored in self.stored.values())
        reserved_bytes = sum(call.result_bytes for call in self.calls.values())
        return self.limits.memory_bytes - used_bytes - reserved_bytes

    def note_sent(
        self, now: float, call: int, pieces: int, result_bytes: float
    ) -> None:
        """Record a call, and reserve the memory that its results will occupy."""
        starts_at = now + self.wait_s(now)
        self.busy_until = starts_at + self.call_time_s(now, pieces)
        self.calls[call] = _Call(
            result_bytes, starts_at, self.limits.call_time_s(pieces)
        )
        self.next_call_at = now + self.min_interval_s

    def note_ended(self, now: float, call: int, has_all_results: bool) -> None:
        """
        Record the end of a call, and learn the endpoint's speed from its duration.

        ``has_all_results`` tells whether every piece of the call has a result.
        """
        ended = self.calls.pop(call, None)
        if not self.calls:
            self.busy_until = now
        if ended is None or ended.usual_s <= 0:
            return
        predicted_s = ended.usual_s * self.slowness(now)
        excess_s = now - ended.starts_at - predicted_s
        most_excess_s = max(FOREIGN_CALL_S, FOREIGN_CALL_SHARE * predicted_s)
        is_only_caller = has_all_results and excess_s < most_excess_s
        self.only_caller_until = now + ONLY_CALLER_S if is_only_caller else now
        ratio = (now - ended.starts_at) / ended.usual_s
        # A call that timed out would have taken at least this long.
        if has_all_results or ratio > 1.0:
            self._note_speed(now, ratio)

    def _note_speed(self, now: float, ratio: float) -> None:
        slowness = self._decayed_slowness(now)
        ratio = min(MOST_SLOWNESS, max(1.0, ratio))
        self.learned_slowness = slowness + SPEED_WEIGHT * (ratio - slowness)
        self.slowness_learned_at = now

    def note_stored(self, now: float, handle: str, size_bytes: float) -> None:
        """Record a result that the endpoint stores."""
        expires_at = now + (self.limits.result_ttl_s or float("inf"))
        self.stored[handle] = StoredRecord(size_bytes, now, expires_at)

    def is_result_of(self, now: float, handle: str, piece: Piece) -> bool:
        """
        Note that the endpoint names a piece's result; false if it is another piece's.

        Freed results count too, for as long as the endpoint may keep them.
        """
        oldest = next(iter(self.named), None)
        while oldest is not None and self.named[oldest][1] <= now:
            del self.named[oldest]
            oldest = next(iter(self.named), None)
        known, _ = self.named.pop(handle, (piece, now))
        expires_at = now + (self.limits.result_ttl_s or NAMED_S)
        self.named[handle] = (known, expires_at)
        return known == piece

    def note_freed(self, now: float, handle: str) -> float:
        """Record that a result is deleted; return how many seconds it was stored."""
        stored = self.stored.pop(handle, None)
        return 0.0 if stored is None else now - stored.stored_at

    def note_full(self, now: float) -> None:
        """Send no calls for a while, as the endpoint had no room for a result."""
        self.full_until = now + FULL_S

    def note_success(self) -> None:
        """Reset the pause after failures, as the endpoint answered."""
        self.failures = 0

    def note_failure(self, now: float) -> None:
        """Send no calls for a pause that doubles with each failure in a row."""
        pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**self.failures)
        self.failures += 1
        self.paused_until = now + pause_s

    def note_rate_limit(self, rate: float | None) -> None:
        """Space calls by a limit in calls a second; ``None`` if there is none."""
        self.min_interval_s = 0.0 if rate is None else interval_s(rate)

    def note_load(
        self, now: float, running: int, queued: int, host_slowness: float | None = None
    ) -> None:
        """Take a load report; this entry's own calls are not counted as foreign."""
        self.foreign_calls = max(0, running + queued - len(self.calls))
        self.host_slowness = host_slowness
        self.load_reported_at = now
        if self.foreign_calls:
            self.only_caller_until = now


class PieceServers:
    """The endpoints that compute pieces, by id and by pool site."""

    def __init__(
        self, build: Callable[[Endpoint, PieceLimits], PieceServer] = PieceServer
    ) -> None:
        self._build = build
        self._servers: dict[str, PieceServer] = {}
        self._by_site: dict[tuple[str, str], list[PieceServer]] = {}

    def replace(
        self, endpoints: Mapping[str, Endpoint], pools: Mapping[str, Pool]
    ) -> None:
        """Use these endpoints; the state of those that are unchanged is kept."""
        servers: dict[str, PieceServer] = {}
        for endpoint in endpoints.values():
            pool = pools.get(endpoint.pool)
            if pool is None or pool.pieces is None:
                continue
            server = self._servers.get(endpoint.id)
            if server is None or not server.endpoint.is_same_server(endpoint):
                server = self._build(endpoint, pool.pieces)
            server.endpoint = endpoint
            server.limits = pool.pieces
            server.leaving = not endpoint.takes_calls
            servers[endpoint.id] = server
        self._servers = servers
        self._by_site = {}
        for server in servers.values():
            site = (server.endpoint.pool, server.endpoint.data_centre)
            self._by_site.setdefault(site, []).append(server)

    def find(self, endpoint: str) -> PieceServer | None:
        """Return the state of an endpoint by its id, or ``None``."""
        return self._servers.get(endpoint)

    def note_rate_limit(self, endpoint: str, rate: float | None) -> None:
        """Keep an endpoint's limit in calls a second; ``None`` if there is none."""
        server = self._servers.get(endpoint)
        if server is not None:
            server.note_rate_limit(rate)

    def note_backoff(self, endpoint: str, until: float) -> None:
        """Send no calls to an endpoint that has asked for a backoff, until a time."""
        server = self._servers.get(endpoint)
        if server is not None:
            server.backoff_until = until

    def at_site(self, pool: str, data_centre: str) -> list[PieceServer]:
        """Return a pool's endpoints in a data centre, except those that are leaving."""
        servers = self._by_site.get((pool, data_centre), [])
        return [server for server in servers if not server.leaving]

    def endpoint_by_data_centre(self, pool: str) -> dict[str, Endpoint]:
        """Return one endpoint of a pool for each data centre that has any."""
        return {
            data_centre: servers[0].endpoint
            for (name, data_centre), servers in self._by_site.items()
            if name == pool and any(not server.leaving for server in servers)
        }


def speed_weight(age_s: float) -> float:
    """Return the weight, from 1 down to 0, of a speed learned ``age_s`` seconds ago."""
    return 0.5 ** (max(0.0, age_s - SPEED_FRESH_S) / SPEED_HALF_LIFE_S)
