"""Routes prompts by what entries tell each other of engines."""

from collections.abc import Iterable
from math import exp
from random import Random
from typing import NamedTuple

from amaranthtally.policy.affinity import (
    DEFAULT_STATS,
    FAILURE_PENALTY_S,
    FIRST_RANK_SHARE,
    RANK_PENALTY_S,
    TRANSFER_S_PER_BYTE,
    AffinityRouter,
    prefix_rank_key,
    shared_share,
)
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.engine_choice.candidates import CandidateSet, CandidateSets
from amaranthtally.policy.engine_choice.predictor import EngineForecast, Predictor
from amaranthtally.policy.engine_choice.prefix_demand import MAX_HOLDERS, PrefixDemand
from amaranthtally.policy.engine_choice.prompt_speed import PromptSpeed, PromptSpeeds
from amaranthtally.policy.engine_choice.spill_over import Level, SpillOver
from amaranthtally.policy.engine_views import EnginePrediction, EngineView
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import EndpointLoad, LoadTable
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.routing import Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats

__all__ = ["ViewRouter", "build_router"]

# Engines drawn at random at each level. More would find the best one more often, and
# all entries with the same view would find the same one.
DRAWN = 4
# Least number of engines to choose from before farther levels are left out.
MIN_CHOICE = 2
# Weight of a second that the caller waits for its first event against one that an
# engine spends on a prompt. Before its objective a caller gains nothing by an earlier
# event, while other prompts need the engine. It is not 0, as predictions may be wrong.
WAIT_WEIGHT = 0.5
# Cost of a stream that becomes late, in seconds of an engine: it was computed in vain.
LATE_COST_S = 1.0
# Part of the shared tokens' time that an engine which is not ranked costs in addition:
# other entries do not look for the prefix there.
SPREAD_SHARE = 0.5
# Engines whose scores differ by less than this part of what the request's own tokens
# take are equals, in seconds at least ``MIN_SPREAD_S``: another such prompt may have
# been sent to one of them that nobody has told of yet.
EQUAL_SHARE = 0.25
MIN_SPREAD_S = 0.002
# Scores farther from the best than this many such differences are not drawn.
MAX_SPREADS = 5.0
# Least weight of a view that is held to show room, and most streams that may become
# late by an attempt: a hedge is not worth more than the stream that it may save.
ROOM_WEIGHT = 0.5
ROOM_LATE_STREAMS = 0.1


class _Candidate(NamedTuple):
    load: EndpointLoad
    cached_share: float
    rank: int


class _Option(NamedTuple):
    candidate: _Candidate
    forecast: EngineForecast
    level: Level
    weight: float
    risk: float
    score: float


class ViewRouter(AffinityRouter):
    """
    Chooses engines by a shared view, and like ``AffinityRouter`` where there is none.

    It compares the engines that hold the prompt's prefix with a few random ones, near
    ones first. Entries with the same view thus do not choose the same engine, and the
    cost of a choice does not grow with the pool.
    """

    def __init__(
        self,
        random: Random,
        groups: EndpointGroups,
        loads: LoadTable,
        ejections: Ejections,
        prefixes: PrefixIndex,
    ) -> None:
        super().__init__(random, groups, loads, ejections, prefixes)
        self._view: EngineView | None = None
        self._entries = 1
        self._speeds = PromptSpeeds()
        self._demand = PrefixDemand()
        self._sets = CandidateSets()
        self._spill_over = SpillOver()

    def set_view(self, view: EngineView) -> None:
        """Choose by a view from now on, in the pools that it covers."""
        self._view = view

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries that send to the same engines, this one too."""
        self._entries = max(1, count)

    def configure(
        self,
        region: str,
        remote_latency_s: float,
        price_per_gb: float,
        data_centre: str = "",
    ) -> None:
        """Set the entry's location, one-way latency in seconds and traffic price."""
        super().configure(region, remote_latency_s, price_per_gb, data_centre)
        self._sets.configure(region, data_centre)

    def covers(self, pool: str) -> bool:
        """Whether a shared view tells of the endpoints of a pool."""
        return self._view is not None and self._view.is_active(pool)

    def shows_room(self, now: float, choice: Choice) -> bool:
        """Whether a shared view shows room for one more attempt at an endpoint."""
        if self._view is None or not self._view.is_active(choice.endpoint.pool):
            return False
        figures = self._view.find(now, choice.endpoint.id)
        if figures is None or figures.weight < ROOM_WEIGHT:
            return False
        if choice.prediction and choice.prediction.late_streams > ROOM_LATE_STREAMS:
            return False
        load = self._loads.get_or_create(choice.endpoint)
        return load.outstanding + figures.calls < load.limit

    def prompt_speed(self, pool: str) -> PromptSpeed:
        """Return what is known of how fast a pool's engines process prompts."""
        return self._speeds.of(pool)

    def note_first_event(
        self, pool: str, took_s: float, prediction: EnginePrediction
    ) -> None:
        """Learn the prompt speed from the time to the first event of an attempt."""
        prompt_s = took_s - prediction.fixed_s
        self._speeds.of(pool).add(prediction.own_work, prediction.others_work, prompt_s)

    def choose(
        self, now: float, request: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return the best candidate, or ``None`` when no endpoint takes work."""
        if request.prefix and self.covers(request.stage.pool):
            speed = self._speeds.of(request.stage.pool)
            self._demand.add(
                now,
                prefix_rank_key(request.prefix),
                _own_tokens(request) * speed.s_per_token,
            )
        return super().choose(now, request, stats)

    def _choose_engine(
        self, now: float, request: RouteRequest, stats: StageStats
    ) -> Choice | None:
        pool = request.stage.pool
        if not self.covers(pool):
            return super()._choose_engine(now, request, stats)
        engines = self._engines(request)
        if not self._has_weight(now, engines, request):
            return super()._choose_engine(now, request, stats)
        candidates = self._candidates(now, request, engines)
        options = self._options(now, request, stats, engines, candidates)
        if not options:
            return None
        self._note_levels(now, pool, options)
        return self._to_choice(self._draw_best(request, options), stats)

    def _has_weight(
        self, now: float, engines: CandidateSet, request: RouteRequest
    ) -> bool:
        """Whether the view tells anything of the engines that rank first."""
        assert self._view is not None
        for endpoint in engines.ranked(prefix_rank_key(request.prefix)):
            figures = self._view.find(now, endpoint.id)
            if figures is not None and figures.weight > 0.0:
                return True
        return False

    def _predicted_engine(self, now: float, request: RouteRequest) -> Choice | None:
        """
        Return the best holder of the prefix.

        Pieces are computed near it, and later their results draw the prompt there. An
        engine drawn at random would not be drawn again.
        """
        if not self.covers(request.stage.pool):
            return super()._predicted_engine(now, request)
        engines = self._engines(request)
        if not self._has_weight(now, engines, request):
            return super()._predicted_engine(now, request)
        stats = DEFAULT_STATS
        holders = self._holders(now, request, engines)
        options = self._options(now, request, stats, engines, holders.values())
        best = min(options, key=lambda option: option.score, default=None)
        return None if best is None else self._to_choice(best, stats)

    def _engines(self, request: RouteRequest) -> CandidateSet:
        stage = request.stage
        regions = self._groups.candidates(stage, request.version)
        return self._sets.get((stage.pool, stage.model, request.version), regions)

    # Candidates

    def _options(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        engines: CandidateSet,
        candidates: Iterable[_Candidate],
    ) -> list[_Option]:
        speed = self._speeds.of(request.stage.pool)
        predictor = Predictor(now, request, stats, speed)
        shared_s = sum(request.prefix_sizes[:-1]) * speed.s_per_token
        return [
            self._evaluate(now, request, stats, engines, predictor, shared_s, candidate)
            for candidate in candidates
        ]

    def _candidates(
        self, now: float, request: RouteRequest, engines: CandidateSet
    ) -> Iterable[_Candidate]:
        """Return the engines to compare: holders of the prefix, and drawn ones."""
        candidates = self._holders(now, request, engines)
        for load in self._drawn(now, request, engines):
            if load.endpoint.id not in candidates:
                candidates[load.endpoint.id] = _Candidate(load, 0.0, -1)
        return candidates.values()

    def _holders(
        self, now: float, request: RouteRequest, engines: CandidateSet
    ) -> dict[str, _Candidate]:
        """Return the engines that rank first for the prefix or are known to hold it."""
        matches = self._prefixes.matches(now, request.prefix, request.prefix_sizes)
        cached = {match.endpoint: match.share for match in matches}
        candidates: dict[str, _Candidate] = {}
        for candidate in self._ranked_holders(now, request, engines, cached):
            candidates[candidate.load.endpoint.id] = candidate
        known = [engines.by_id[name] for name in cached if name in engines.by_id]
        for load in self._usable(now, known, request):
            name = load.endpoint.id
            if name not in candidates:
                candidates[name] = _Candidate(load, cached[name], -1)
        return candidates

    def _ranked_holders(
        self,
        now: float,
        request: RouteRequest,
        engines: CandidateSet,
        cached: dict[str, float],
    ) -> list[_Candidate]:
        """
        Return the engines that hold the prefix by rank, and those that come next.

        Entries do not tell each other of prompts. That all send a prefix to the engines
        that rank first makes these hold it.
        """
        prefix = prefix_rank_key(request.prefix)
        holders = self._demand.holders(now, prefix, self._entries)
        assumed_share = FIRST_RANK_SHARE * shared_share(request.prefix_sizes)
        loads = self._usable(now, engines.ranked(prefix), request)[:MAX_HOLDERS]
        return [
            _Candidate(
                load,
                max(
                    cached.get(load.endpoint.id, 0.0),
                    assumed_share if rank < holders else 0.0,
                ),
                rank,
            )
            for rank, load in enumerate(loads)
        ]

    def _drawn(
        self, now: float, request: RouteRequest, engines: CandidateSet
    ) -> list[EndpointLoad]:
        """Return a few random engines, from farther levels if near ones are full."""
        loads: list[EndpointLoad] = []
        for level, members in engines.levels.items():
            loads += self._draw(now, members, request, DRAWN)
            if len(loads) < MIN_CHOICE:
                continue
            share = self._spill_over.share_beyond(request.stage.pool, level)
            if share <= 0.0 or self._random.random() >= share:
                break
        return loads

    # Scores

    def _evaluate(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        engines: CandidateSet,
        predictor: Predictor,
        shared_s: float,
        candidate: _Candidate,
    ) -> _Option:
        load, cached_share, rank = candidate
        endpoint = load.endpoint
        assert self._view is not None
        figures = self._view.find(now, endpoint.id)
        round_trip_s = self.round_trip_s(endpoint.region)
        forecast = predictor.forecast(load, figures, cached_share, round_trip_s)
        level = engines.level_of(endpoint)
        moved_bytes = sum(
            result.size_bytes
            for result in request.inputs
            if result.data_centre != endpoint.data_centre
        )
        if level is Level.REMOTE:
            moved_bytes += request.input_bytes + stats.output_bytes
        risk = load.failure_rate(now)
        # Waits count in part, but crossing regions costs the caller each time.
        wait_s = forecast.first_event_s - forecast.work_s - round_trip_s
        score = (
            forecast.work_s
            + round_trip_s
            + WAIT_WEIGHT * wait_s
            + TRANSFER_S_PER_BYTE * moved_bytes
            + LATE_COST_S * forecast.late_streams
            + FAILURE_PENALTY_S * risk
            + (RANK_PENALTY_S * rank if rank >= 0 else SPREAD_SHARE * shared_s)
        )
        weight = 0.0 if figures is None else figures.weight
        return _Option(candidate, forecast, level, weight, risk, score)

    def _note_levels(self, now: float, pool: str, options: list[_Option]) -> None:
        for level in Level:
            reached = [option for option in options if option.level is level]
            if reached:
                best = min(reached, key=lambda option: option.score)
                self._spill_over.note(now, pool, level, best.forecast.late_share)

    def _draw_best(self, request: RouteRequest, options: list[_Option]) -> _Option:
        """Return one of the options whose scores are about the best, at random."""
        speed = self._speeds.of(request.stage.pool)
        spread_s = max(
            MIN_SPREAD_S, EQUAL_SHARE * _own_tokens(request) * speed.s_per_token
        )
        best = min(option.score for option in options)
        near = [o for o in options if o.score - best <= MAX_SPREADS * spread_s]
        if len(near) == 1:
            return near[0]
        weights = [exp((best - option.score) / spread_s) for option in near]
        drawn = self._random.random() * sum(weights)
        for option, weight in zip(near, weights, strict=True):
            drawn -= weight
            if drawn < 0.0:
                return option
        return near[-1]

    def _to_choice(self, option: _Option, stats: StageStats) -> Choice:
        forecast, candidate = option.forecast, option.candidate
        concurrent = candidate.load.concurrent(forecast.calls)
        prediction = EnginePrediction(
            forecast.first_event_s,
            forecast.event_gap_s,
            forecast.late_streams,
            forecast.own_work,
            forecast.others_work,
            forecast.fixed_s,
            option.weight,
            self._speeds.of(candidate.load.endpoint.pool).tokens_per_s,
            candidate.rank,
            option.level.label,
        )
        return Choice(
            candidate.load.endpoint,
            forecast.delay_s,
            stats.loaded_mean_s(concurrent) * forecast.slowness,
            concurrent,
            candidate.cached_share,
            option.risk,
            0.0,
            option.score,
            prediction,
        )


def _own_tokens(request: RouteRequest) -> int:
    """Return the prompt tokens that no other request has."""
    return request.prefix_sizes[-1] if request.prefix_sizes else 0


def build_router(
    random: Random,
    groups: EndpointGroups,
    loads: LoadTable,
    ejections: Ejections,
    prefixes: PrefixIndex,
) -> Router:
    """Return a router that chooses engines by a shared view, once it has one."""
    return ViewRouter(random, groups, loads, ejections, prefixes)
