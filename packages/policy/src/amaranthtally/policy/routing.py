"""Which endpoint gets an attempt: by predicted completion, cost and risk."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import EndpointLoad, LoadTable
from amaranthtally.policy.model import Endpoint, Stage
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.stage_times import StageStats

__all__ = ["Choice", "RouteRequest", "Router"]

CHOICES = 4
AWAY_CHOICES = 2
TIME_WEIGHT = 0.1
STALE_REPORT_S = 0.5
MOST_STALE = 4
LOCAL_LATENCY_S = 0.001
LATENCY_WEIGHT = 0.1
BYTES_PER_GB = 1e9


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """
    An attempt that wants an endpoint.

    ``end`` is the stage's share of the deadline and ``latest_end`` the time
    after which the request as a whole is late, both as time stamps.
    """

    stage: Stage
    end: float
    latest_end: float
    weight: float
    input_bytes: float
    prefix: tuple[int, ...] = ()
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Choice:
    """
    An endpoint, and what is predicted of an attempt there.

    ``before_s`` is spent waiting and on the way, ``run_s`` running beside
    ``beside`` other calls with a share of its prefix ``cached``; ``risk`` is the
    probability of ending too late, ``price`` in units of the stage's typical run.
    """

    endpoint: Endpoint
    before_s: float
    run_s: float
    beside: float
    cached: float
    risk: float
    price: float
    score: float


class Router:
    """
    Chooses among a few candidates drawn at random and those with a cached prefix.

    The least loaded of a few, not of all: with reports that lag, every entry
    would take the same endpoint for the least loaded and send there until the
    next report. Cost does not grow with the pool.
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
        self._latency_s: dict[str, float] = {}
        self._stale: list[str] = []
        self._region = ""
        self._remote_latency_s = 0.0
        self._price_per_gb = 0.0

    def configure(
        self, region: str, remote_latency_s: float, price_per_gb: float
    ) -> None:
        """Use this region, latency (one way, seconds) and price of traffic."""
        self._region = region
        self._remote_latency_s = remote_latency_s
        self._price_per_gb = price_per_gb

    def round_trip_s(self, region: str) -> float:
        """Return the learned time on the way to a region and back, in seconds."""
        known = self._latency_s.get(region)
        if known is not None:
            return known
        local = region == self._region
        return 2 * (LOCAL_LATENCY_S if local else self._remote_latency_s)

    def note_round_trip(self, region: str, seconds: float) -> None:
        """Learn from the time that an attempt spent on the way."""
        current = self.round_trip_s(region)
        self._latency_s[region] = current + LATENCY_WEIGHT * (seconds - current)

    def take_stale(self) -> list[str]:
        """Return registered candidates of late whose reports are old, once."""
        stale, self._stale = self._stale, []
        return [name for name in stale if self._groups.find(name) is not None]

    def choose(
        self, now: float, wanted: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return the best candidate, or ``None`` when the pool takes no work."""
        regions = self._groups.of(wanted.stage)
        group = regions.get(self._region, [])
        held = self._held_shares(now, wanted, group)
        loads = [*self._draw(now, group, wanted), *self._holders(now, held, wanted)]
        for region, others in regions.items():
            if region != self._region:
                loads.extend(self._draw(now, others, wanted, AWAY_CHOICES))
        return self._best(now, wanted, stats, loads, held)

    def predict(
        self, now: float, wanted: RouteRequest, stats: StageStats, endpoint: Endpoint
    ) -> Choice:
        """Return what is predicted of one endpoint."""
        return self._weigh(now, wanted, stats, self._loads.open(endpoint), 0.0)

    # Candidates

    def _draw(
        self,
        now: float,
        group: Sequence[Endpoint],
        wanted: RouteRequest,
        choices: int = CHOICES,
    ) -> list[EndpointLoad]:
        if len(group) <= choices:
            return self._usable(now, group, wanted)
        drawn = [self._random.choice(group) for _ in range(choices)]
        found = self._usable(now, {e.id: e for e in drawn}.values(), wanted)
        # Most of a group may be leaving or ejected; the subset is bounded, so a
        # look at all of it still costs the same whatever the pool's size.
        return found or self._usable(now, group, wanted)

    def _usable(
        self, now: float, group: Iterable[Endpoint], wanted: RouteRequest
    ) -> list[EndpointLoad]:
        found = []
        for endpoint in group:
            if endpoint.id in wanted.avoid or self._ejections.is_ejected(endpoint.id):
                continue
            load = self._loads.open(endpoint)
            if load.takes(wanted.stage.model):
                found.append(load)
            elif not load.leaving:
                # Its word that it has loaded the model may have been lost with a
                # connection; without calls nothing else would ask for it.
                self._note_age(now, load)
        return found

    def _held_shares(
        self, now: float, wanted: RouteRequest, group: list[Endpoint]
    ) -> dict[str, float]:
        """Return the share of the prefix that endpoints of the group hold."""
        if not wanted.prefix:
            return {}
        held = {}
        for match in self._prefixes.matches(now, wanted.prefix):
            endpoint = self._groups.find(match.endpoint)
            if endpoint is not None and endpoint in group:
                held[match.endpoint] = match.share
        return held

    def _holders(
        self, now: float, held: dict[str, float], wanted: RouteRequest
    ) -> list[EndpointLoad]:
        found = [self._groups.find(endpoint) for endpoint in held]
        return self._usable(now, [e for e in found if e is not None], wanted)

    # Weighing

    def _best(
        self,
        now: float,
        wanted: RouteRequest,
        stats: StageStats,
        loads: list[EndpointLoad],
        held: dict[str, float],
    ) -> Choice | None:
        best: Choice | None = None
        # Equal scores are common when idle: without the shuffle they would all
        # fall to the endpoint that is listed first.
        self._random.shuffle(loads)
        for load in loads:
            self._note_age(now, load)
            cached = held.get(load.endpoint.id, 0.0)
            choice = self._weigh(now, wanted, stats, load, cached)
            if best is None or choice.score < best.score:
                best = choice
        return best

    def _note_age(self, now: float, load: EndpointLoad) -> None:
        old = now - STALE_REPORT_S
        if (
            load.heard_at < old
            and load.asked_at < old
            and len(self._stale) < MOST_STALE
        ):
            load.asked_at = now
            self._stale.append(load.endpoint.id)

    def _weigh(
        self,
        now: float,
        wanted: RouteRequest,
        stats: StageStats,
        load: EndpointLoad,
        cached: float,
    ) -> Choice:
        region = load.endpoint.region
        occupancy = load.occupancy(now)
        beside = load.beside(occupancy)
        slowness = load.slowness(now) * stats.cached_factor(cached)
        run = stats.mean_beside_s(beside) * slowness
        full = stats.mean_beside_s(load.limit - 1) * slowness
        before = load.wait_s(occupancy, full) + self.round_trip_s(region)
        # The sketch holds runs beside the usual number of calls: a run that is
        # predicted to be longer or shorter shifts it.
        shift = run / stats.mean_s
        late = stats.tail((wanted.end - now - before) / shift)
        risk = 1.0 - (1.0 - late) * (1.0 - load.failing(now))
        price = self._price(wanted, stats, region, run + stats.burden_s(beside))
        left = max(wanted.latest_end - now, stats.mean_s)
        score = (
            wanted.weight * risk
            + (1.0 - wanted.weight) * price
            + TIME_WEIGHT * (before + run) / left
        )
        return Choice(load.endpoint, before, run, beside, cached, risk, price, score)

    def _price(
        self, wanted: RouteRequest, stats: StageStats, region: str, busy_s: float
    ) -> float:
        """
        Return the price of a run and its traffic in units of a typical run.

        ``busy_s`` holds what the run costs those beside it: an engine that looks
        free because it batches makes every call in the batch dearer.
        """
        price = busy_s * wanted.stage.price_per_s
        if region != self._region:
            traffic = wanted.input_bytes + stats.output_bytes
            price += traffic / BYTES_PER_GB * self._price_per_gb
        return price / max(stats.mean_s * wanted.stage.price_per_s, 1e-12)
