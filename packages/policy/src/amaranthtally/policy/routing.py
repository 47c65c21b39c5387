"""Chooses the endpoint of an attempt by predicted completion time, cost and risk."""

from collections.abc import Iterable, Sequence
from random import Random

from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.engine_views import EnginePrediction, EngineView
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import EndpointLoad, LoadTable
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.scoring import (
    CandidateScorer,
    Choice,
    NetworkCosts,
    RouteRequest,
)
from amaranthtally.policy.stage_times import StageStats

__all__ = ["NO_ENDPOINTS", "Router"]

LOCAL_CANDIDATES = 4
REMOTE_CANDIDATES = 2
STALE_REPORT_S = 0.5
MAX_STALE_ENDPOINTS = 4
LOCAL_LATENCY_S = 0.001
LATENCY_WEIGHT = 0.1
MIN_REPORT_WEIGHT = 0.5
NO_ENDPOINTS: frozenset[str] = frozenset()


class Router:
    """
    Chooses among a few random candidates and those with a cached prefix.

    The least loaded of a few candidates is chosen rather than of all: load reports
    are late, so that every entry would consider the same endpoint the least loaded
    and send to it until the next report. The cost of a choice does not grow with the
    size of the pool.
    """

    def __init__(
        self,
        random: Random,
        groups: EndpointGroups,
        loads: LoadTable,
        ejections: Ejections,
        prefixes: PrefixIndex,
    ) -> None:
        self._random = random
        self._groups = groups
        self._loads = loads
        self._ejections = ejections
        self._prefixes = prefixes
        self._round_trip_s: dict[str, float] = {}
        self._stale: list[str] = []
        self._region = ""
        self._remote_latency_s = 0.0
        self._network = NetworkCosts("", 0.0, self.round_trip_s)

    def configure(
        self,
        region: str,
        remote_latency_s: float,
        price_per_gb: float,
        data_centre: str = "",
    ) -> None:
        """Set the entry's location, one-way latency in seconds and traffic price."""
        self._region = region
        self._remote_latency_s = remote_latency_s
        self._network = NetworkCosts(region, price_per_gb, self.round_trip_s)

    def set_view(self, view: EngineView) -> None:
        """Choose by a view that entries share; ignored unless a subclass does."""

    def set_entry_count(self, count: int) -> None:
        """Set the number of live entries; ignored unless a subclass needs it."""

    def note_first_event(
        self, pool: str, took_s: float, prediction: EnginePrediction
    ) -> None:
        """Note the time to a first event; ignored unless a subclass learns from it."""

    def covers(self, pool: str) -> bool:
        """Whether a shared view tells of the endpoints of a pool."""
        return False

    def shows_room(self, now: float, choice: Choice) -> bool:
        """Whether a shared view shows room for one more attempt at an endpoint."""
        return False

    def round_trip_s(self, region: str) -> float:
        """Return the smoothed round-trip time to a region, in seconds."""
        smoothed_s = self._round_trip_s.get(region)
        if smoothed_s is not None:
            return smoothed_s
        is_local = region == self._region
        return 2 * (LOCAL_LATENCY_S if is_local else self._remote_latency_s)

    def note_round_trip(self, region: str, seconds: float) -> None:
        """Add the network time of an attempt to the smoothed round-trip time."""
        current = self.round_trip_s(region)
        self._round_trip_s[region] = current + LATENCY_WEIGHT * (seconds - current)

    def pop_stale_endpoints(self) -> list[str]:
        """Return the recent candidates with stale reports, and clear their list."""
        stale, self._stale = self._stale, []
        return [name for name in stale if self._groups.find(name) is not None]

    def predicted_data_centre(
        self, now: float, arrival: Arrival, closed: frozenset[str] = NO_ENDPOINTS
    ) -> str:
        """Return the data centre where a request will probably run, or ``""``."""
        return ""

    def choose(
        self, now: float, request: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return the best candidate, or ``None`` when no endpoint takes work."""
        regions = self._groups.candidates(request.stage, request.version)
        group = regions.get(self._region, [])
        cached = self._cached_shares(now, request, group, stats)
        loads = [
            *self._draw(now, group, request),
            *self._usable_holders(now, cached, request),
        ]
        for region, others in regions.items():
            if region != self._region:
                loads.extend(self._draw(now, others, request, REMOTE_CANDIDATES))
        return self._best(now, request, stats, loads, cached)

    def predict(
        self, now: float, request: RouteRequest, stats: StageStats, endpoint: Endpoint
    ) -> Choice:
        """Return the predictions for one endpoint, without a cached prefix."""
        scorer = CandidateScorer(now, request, stats, self._network)
        return scorer.evaluate(self._loads.get_or_create(endpoint), 0.0)

    # Candidates

    def _draw(
        self,
        now: float,
        group: Sequence[Endpoint],
        request: RouteRequest,
        count: int = LOCAL_CANDIDATES,
    ) -> list[EndpointLoad]:
        if len(group) <= count:
            return self._usable(now, group, request)
        choice = self._random.choice
        drawn = {e.id: e for e in [choice(group) for _ in range(count)]}
        usable = self._usable(now, drawn.values(), request)
        # Most endpoints of a group may be leaving or ejected. The group is a bounded
        # subset, so the cost of checking all of it does not grow with the pool.
        return usable or self._usable(now, group, request)

    def _usable(
        self, now: float, group: Iterable[Endpoint], request: RouteRequest
    ) -> list[EndpointLoad]:
        usable = []
        excluded, model = request.excluded, request.stage.model
        is_ejected = self._ejections.is_ejected
        get_load = self._loads.get_or_create
        for endpoint in group:
            if endpoint.id in excluded or is_ejected(endpoint.id):
                continue
            load = get_load(endpoint)
            if load.accepts(model):
                usable.append(load)
            elif not load.leaving:
                # The report that it has loaded the model may have been lost with a
                # connection. Without calls, it sends no other report unless polled.
                self._note_stale(now, load)
        return usable

    def _cached_shares(
        self,
        now: float,
        request: RouteRequest,
        group: list[Endpoint],
        stats: StageStats,
    ) -> dict[str, float]:
        """Return the share of the prefix that each endpoint of the group caches."""
        if not request.prefix:
            return {}
        # When calls are queued or the loads are uncertain, calls with the same prefix
        # would gather in the queues of its few holders and end late, each at a
        # slightly lower price.
        pool = self._loads.pool(request.stage.pool)
        if pool.report_weight < MIN_REPORT_WEIGHT or pool.wait_s(now, stats.mean_s) > 0:
            return {}
        shares = {}
        for match in self._prefixes.matches(now, request.prefix):
            endpoint = self._groups.find(match.endpoint)
            if endpoint is not None and any(e is endpoint for e in group):
                shares[match.endpoint] = match.share
        return shares

    def _usable_holders(
        self, now: float, cached: dict[str, float], request: RouteRequest
    ) -> list[EndpointLoad]:
        if not cached:
            return []
        holders = [self._groups.find(endpoint) for endpoint in cached]
        return self._usable(now, [e for e in holders if e is not None], request)

    # Scoring

    def _best(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        loads: list[EndpointLoad],
        cached: dict[str, float],
    ) -> Choice | None:
        best: Choice | None = None
        # Equal scores are common when endpoints are idle: without the shuffle, all
        # attempts would go to the endpoint that is listed first.
        self._random.shuffle(loads)
        evaluate = CandidateScorer(now, request, stats, self._network).evaluate
        stale_before = now - STALE_REPORT_S
        for load in loads:
            if load.reported_at < stale_before:
                self._note_stale(now, load)
            share = cached.get(load.endpoint.id, 0.0) if cached else 0.0
            choice = evaluate(load, share)
            if best is None or choice.score < best.score:
                best = choice
        return best

    def _note_stale(self, now: float, load: EndpointLoad) -> None:
        """Add an endpoint to the stale ones, unless it was polled recently."""
        if (
            load.polled_at < now - STALE_REPORT_S
            and len(self._stale) < MAX_STALE_ENDPOINTS
        ):
            load.polled_at = now
            self._stale.append(load.endpoint.id)
