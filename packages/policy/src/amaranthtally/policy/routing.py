"""Which endpoint gets an attempt: by predicted completion, cost and risk."""

from collections.abc import Iterable, Sequence
from random import Random

from amaranthtally.policy.ejection import Ejections
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

__all__ = ["Router"]

CHOICES = 4
AWAY_CHOICES = 2
STALE_REPORT_S = 0.5
MOST_STALE = 4
LOCAL_LATENCY_S = 0.001
LATENCY_WEIGHT = 0.1
LEAST_TRUST = 0.5


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
        self._prices = NetworkCosts("", 0.0, self.round_trip_s)

    def configure(
        self, region: str, remote_latency_s: float, price_per_gb: float
    ) -> None:
        """Use this region, latency (one way, seconds) and price of traffic."""
        self._region = region
        self._remote_latency_s = remote_latency_s
        self._prices = NetworkCosts(region, price_per_gb, self.round_trip_s)

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

    def pop_stale_endpoints(self) -> list[str]:
        """Return registered candidates of late whose reports are old, once."""
        stale, self._stale = self._stale, []
        return [name for name in stale if self._groups.find(name) is not None]

    def predicted_data_centre(self, now: float, arrival: Arrival) -> str:
        """Return the data centre in which a request will likely run, or nothing."""
        return ""

    def choose(
        self, now: float, wanted: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return the best candidate, or ``None`` when the pool takes no work."""
        regions = self._groups.candidates(wanted.stage)
        group = regions.get(self._region, [])
        held = self._held_shares(now, wanted, group, stats)
        loads = [*self._draw(now, group, wanted), *self._holders(now, held, wanted)]
        for region, others in regions.items():
            if region != self._region:
                loads.extend(self._draw(now, others, wanted, AWAY_CHOICES))
        return self._best(now, wanted, stats, loads, held)

    def predict(
        self, now: float, wanted: RouteRequest, stats: StageStats, endpoint: Endpoint
    ) -> Choice:
        """Return what is predicted of one endpoint."""
        weighing = CandidateScorer(now, wanted, stats, self._prices)
        return weighing.evaluate(self._loads.get_or_create(endpoint), 0.0)

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
        choice = self._random.choice
        drawn = {e.id: e for e in [choice(group) for _ in range(choices)]}
        found = self._usable(now, drawn.values(), wanted)
        # Most of a group may be leaving or ejected; the subset is bounded, so a
        # look at all of it still costs the same whatever the pool's size.
        return found or self._usable(now, group, wanted)

    def _usable(
        self, now: float, group: Iterable[Endpoint], wanted: RouteRequest
    ) -> list[EndpointLoad]:
        found = []
        avoid, model = wanted.excluded, wanted.stage.model
        is_ejected = self._ejections.is_ejected
        open_load = self._loads.get_or_create
        for endpoint in group:
            if endpoint.id in avoid or is_ejected(endpoint.id):
                continue
            load = open_load(endpoint)
            if load.accepts(model):
                found.append(load)
            elif not load.leaving:
                # Its word that it has loaded the model may have been lost with a
                # connection; without calls nothing else would ask for it.
                self._note_age(now, load)
        return found

    def _held_shares(
        self,
        now: float,
        wanted: RouteRequest,
        group: list[Endpoint],
        stats: StageStats,
    ) -> dict[str, float]:
        """Return the share of the prefix that endpoints of the group hold."""
        if not wanted.prefix:
            return {}
        # Where work waits, or loads are not known, calls for one prefix would gather
        # in the queues of its few holders and end late, each a little cheaper.
        pool = self._loads.pool(wanted.stage.pool)
        if pool.report_weight < LEAST_TRUST or pool.wait_s(now, stats.mean_s) > 0:
            return {}
        held = {}
        for match in self._prefixes.matches(now, wanted.prefix):
            endpoint = self._groups.find(match.endpoint)
            if endpoint is not None and any(e is endpoint for e in group):
                held[match.endpoint] = match.share
        return held

    def _holders(
        self, now: float, held: dict[str, float], wanted: RouteRequest
    ) -> list[EndpointLoad]:
        if not held:
            return []
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
        weigh = CandidateScorer(now, wanted, stats, self._prices).evaluate
        old = now - STALE_REPORT_S
        for load in loads:
            if load.reported_at < old:
                self._note_age(now, load)
            cached = held.get(load.endpoint.id, 0.0) if held else 0.0
            choice = weigh(load, cached)
            if best is None or choice.score < best.score:
                best = choice
        return best

    def _note_age(self, now: float, load: EndpointLoad) -> None:
        """Note that a report is old, unless a newer one has been asked for."""
        if (
            load.report_requested_at < now - STALE_REPORT_S
            and len(self._stale) < MOST_STALE
        ):
            load.report_requested_at = now
            self._stale.append(load.endpoint.id)
