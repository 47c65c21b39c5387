"""What an attempt is predicted to take and cost at each candidate endpoint."""

from collections.abc import Callable
from typing import NamedTuple

from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.model import Endpoint, Stage
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.stage_times import StageStats

__all__ = ["CandidateScorer", "Choice", "NetworkCosts", "RouteRequest"]

TIME_WEIGHT = 0.1
BYTES_PER_GB = 1e9
LEAST_PRICE = 1e-12


class RouteRequest(NamedTuple):
    """
    An attempt that wants an endpoint.

    ``end`` is the stage's share of the deadline and ``latest_end`` the time
    after which the request as a whole is late, both as time stamps.
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


class Choice(NamedTuple):
    """
    An endpoint, and what is predicted of an attempt there.

    ``delay_s`` is spent waiting and on the way, ``run_s`` running beside
    ``beside`` other calls with a share of its prefix ``cached``; ``risk`` is the
    probability of ending too late, ``price`` in units of the stage's typical run.
    A tuple: one is made for each candidate, and a data class takes five times as
    long to make.
    """

    endpoint: Endpoint
    delay_s: float
    run_s: float
    concurrent: float
    cached_share: float
    risk: float
    price: float
    score: float


class NetworkCosts(NamedTuple):
    """Where an entry stands, what traffic to elsewhere costs, the way there."""

    region: str
    per_gb: float
    round_trip_s: Callable[[str], float]


class CandidateScorer:
    """Weighs the candidates of one attempt; what they share is worked out once."""

    __slots__ = (
        "_left",
        "_mean_s",
        "_now",
        "_per_s",
        "_prices",
        "_stats",
        "_traffic",
        "_unit",
        "_until_end",
        "_weight",
    )

    def __init__(
        self, now: float, wanted: RouteRequest, stats: StageStats, prices: NetworkCosts
    ) -> None:
        self._now = now
        self._stats = stats
        self._prices = prices
        self._mean_s = stats.mean_s
        self._weight = wanted.weight
        self._until_end = wanted.target_end - now
        self._left = max(wanted.latest_end - now, self._mean_s)
        self._per_s = wanted.stage.price_per_s
        self._unit = max(self._mean_s * self._per_s, LEAST_PRICE)
        traffic = wanted.input_bytes + stats.output_bytes
        self._traffic = traffic / BYTES_PER_GB * prices.per_gb

    def evaluate(self, load: EndpointLoad, cached: float) -> Choice:
        """Return what is predicted of an endpoint that holds a share of the prefix."""
        stats = self._stats
        now = self._now
        region = load.endpoint.region
        occupancy = load.occupancy(now)
        beside = load.concurrent(occupancy)
        slowness = load.slowness(now)
        run = stats.loaded_mean_s(beside) * slowness
        if cached:
            run *= stats.cached_factor(cached)
        before = self._prices.round_trip_s(region)
        if occupancy + 1 > load.limit:
            full = stats.loaded_mean_s(load.limit - 1) * slowness
            before += load.wait_s(occupancy, full)
        # The sketch holds runs beside the usual number of calls: a run that is
        # predicted to be longer or shorter shifts it.
        shift = run / self._mean_s
        late = stats.tail((self._until_end - before) / shift)
        risk = 1.0 - (1.0 - late) * (1.0 - load.failure_rate(now))
        price = self._price(region, run + stats.added_delay_s(beside))
        score = (
            self._weight * risk
            + (1.0 - self._weight) * price
            + TIME_WEIGHT * (before + run) / self._left
        )
        return Choice(load.endpoint, before, run, beside, cached, risk, price, score)

    def _price(self, region: str, busy_s: float) -> float:
        """
        Return the price of a run and its traffic in units of a typical run.

        ``busy_s`` holds what the run costs those beside it: an engine that looks
        free because it batches makes every call in the batch dearer.
        """
        price = busy_s * self._per_s
        if region != self._prices.region:
            price += self._traffic
        return price / self._unit
