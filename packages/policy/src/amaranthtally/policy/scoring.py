"""Predicts the time, risk and price of an attempt at each candidate endpoint."""

from collections.abc import Callable
from typing import NamedTuple

from amaranthtally.policy.engine_views import EnginePrediction
from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.model import Endpoint, Stage
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.stage_times import StageStats

__all__ = ["CandidateScorer", "Choice", "NetworkCosts", "RouteRequest"]

TIME_WEIGHT = 0.1
BYTES_PER_GB = 1e9
MIN_RUN_PRICE = 1e-12


class RouteRequest(NamedTuple):
    """
    An attempt for which an endpoint is to be chosen.

    ``target_end`` is the end of the stage's share of the deadline and ``latest_end``
    the time after which the whole request would be late, both as time stamps.
    ``weight`` is that of attainment against cost, from 0 to 1. Endpoints in
    ``excluded`` are not chosen, nor those of another software version than ``version``,
    if it is set. After ``objective``, a time stamp or 0, the first event is late.
    """

    stage: Stage
    target_end: float
    latest_end: float
    weight: float
    input_bytes: float
    prefix: tuple[int, ...] = ()
    excluded: frozenset[str] = frozenset()
    prefix_sizes: tuple[int, ...] = ()
    inputs: tuple[StoredResult, ...] = ()
    version: str | None = None
    objective: float = 0.0


class Choice(NamedTuple):
    """
    An endpoint, and the predictions for an attempt there.

    ``delay_s`` is the time in the queue and on the network, ``run_s`` the run time
    with ``concurrent`` other calls and ``cached_share`` of the prefix in the cache.
    ``risk`` is the probability that the attempt fails or ends too late. ``price`` is
    in units of the price of the stage's mean run. The choice with the lowest ``score``
    is the best. One is created for each candidate: creating a named tuple takes a fifth
    of the time of creating a data class.
    """

    endpoint: Endpoint
    delay_s: float
    run_s: float
    concurrent: float
    cached_share: float
    risk: float
    price: float
    score: float
    prediction: EnginePrediction | None = None


class NetworkCosts(NamedTuple):
    """An entry's region, the price of traffic to others, and the round-trip times."""

    region: str
    per_gb: float
    round_trip_s: Callable[[str], float]


class CandidateScorer:
    """Scores the candidates of one attempt; their common terms are computed once."""

    __slots__ = (
        "_mean_price",
        "_mean_s",
        "_network",
        "_now",
        "_per_s",
        "_stats",
        "_traffic_price",
        "_until_latest_s",
        "_until_target_s",
        "_weight",
    )

    def __init__(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        network: NetworkCosts,
    ) -> None:
        self._now = now
        self._stats = stats
        self._network = network
        self._mean_s = stats.mean_s
        self._weight = request.weight
        self._until_target_s = request.target_end - now
        self._until_latest_s = max(request.latest_end - now, self._mean_s)
        self._per_s = request.stage.price_per_s
        self._mean_price = max(self._mean_s * self._per_s, MIN_RUN_PRICE)
        traffic_bytes = request.input_bytes + stats.output_bytes
        self._traffic_price = traffic_bytes / BYTES_PER_GB * network.per_gb

    def evaluate(self, load: EndpointLoad, cached_share: float) -> Choice:
        """Return the predictions for an endpoint that caches a share of the prefix."""
        stats = self._stats
        now = self._now
        region = load.endpoint.region
        occupancy = load.occupancy(now)
        concurrent = load.concurrent(occupancy)
        slowness = load.slowness(now)
        run_s = stats.loaded_mean_s(concurrent) * slowness
        if cached_share:
            run_s *= stats.cached_factor(cached_share)
        delay_s = self._network.round_trip_s(region)
        if occupancy + 1 > load.limit:
            full_run_s = stats.loaded_mean_s(load.limit - 1) * slowness
            delay_s += load.wait_s(occupancy, full_run_s)
        # The distribution of run times is that of the usual concurrency; it is scaled
        # by the ratio of the predicted run time to the mean.
        scale = run_s / self._mean_s
        late = stats.tail((self._until_target_s - delay_s) / scale)
        risk = 1.0 - (1.0 - late) * (1.0 - load.failure_rate(now))
        price = self._price(region, run_s + stats.added_delay_s(concurrent))
        score = (
            self._weight * risk
            + (1.0 - self._weight) * price
            + TIME_WEIGHT * (delay_s + run_s) / self._until_latest_s
        )
        return Choice(
            load.endpoint, delay_s, run_s, concurrent, cached_share, risk, price, score
        )

    def _price(self, region: str, busy_s: float) -> float:
        """
        Return the price of a run and its traffic in units of the price of a mean run.

        ``busy_s`` includes the time by which the run delays concurrent calls: an engine
        that batches has free slots, yet each call slows down the others in the batch.
        """
        price = busy_s * self._per_s
        if region != self._network.region:
            price += self._traffic_price
        return price / self._mean_price
