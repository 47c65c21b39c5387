"""Predicts what a prompt costs at an engine: its first event, and the streams there."""

from typing import NamedTuple

from amaranthtally.policy.affinity import CONCURRENCY_DELAY_S
from amaranthtally.policy.engine_choice.prompt_speed import PromptSpeed
from amaranthtally.policy.engine_views import EngineFigures
from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.scoring import RouteRequest
from amaranthtally.policy.stage_times import StageStats

__all__ = ["EngineForecast", "Predictor"]

# A time is on time for certain up to this share of its limit, and late for certain from
# the other on. One prompt of the same size that no report shows yet doubles the delay.
ON_TIME_SHARE = 0.5
LATE_SHARE = 1.5
# A report may make an engine look faster than observed by this factor at most, since a
# false one would otherwise draw all traffic to its engine.
MAX_CLAIMED_SPEEDUP = 2.0
# What a view says of an engine whose slowness it does not know.
UNKNOWN_SLOWNESS = 1.0


class EngineForecast(NamedTuple):
    """
    The predictions for a prompt at one engine; times in seconds.

    ``own_work`` and ``others_work`` are those of ``EnginePrediction``. ``work_s`` is
    the time that the engine spends on this prompt alone; ``delay_s`` is spent in the
    queue and on the network. ``late_share`` is the probability that the request is
    late, or that the streams there are.
    """

    delay_s: float
    first_event_s: float
    fixed_s: float
    work_s: float
    own_work: float
    others_work: float
    event_gap_s: float
    calls: float
    slowness: float
    late_share: float
    late_streams: float


class Predictor:
    """Predicts one request at each candidate; common terms are computed once."""

    __slots__ = (
        "_gap_limit_s",
        "_now",
        "_s_per_token",
        "_slack_s",
        "_speed",
        "_stats",
        "_tokens",
    )

    def __init__(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        speed: PromptSpeed,
    ) -> None:
        self._now = now
        self._stats = stats
        self._speed = speed
        self._s_per_token = speed.s_per_token
        self._tokens = sum(request.prefix_sizes)
        self._slack_s = (request.objective or request.target_end) - now
        self._gap_limit_s = request.stage.max_event_gap_s

    def forecast(
        self,
        load: EndpointLoad,
        figures: EngineFigures | None,
        cached_share: float,
        round_trip_s: float,
    ) -> EngineForecast:
        """
        Return the predictions for an engine.

        Without figures, or with some of little weight, the entry's own estimate of the
        calls of others is used, and none of their prompt tokens.
        """
        now = self._now
        calls = load.occupancy(now)
        ahead, others_tokens = load.pending_prefill_tokens, 0.0
        slowness = load.slowness(now)
        if figures is not None:
            weight = figures.weight
            others = calls - load.outstanding
            others += weight * (max(0.0, figures.calls) - others)
            calls = load.outstanding + others
            others_tokens = weight * max(0.0, figures.prefill_tokens)
            slowness = _slowness(slowness, figures)
        delay_s = round_trip_s
        if calls + 1 > load.limit:
            delay_s += load.wait_s(calls, self._stats.mean_s)
        tokens = self._tokens * (1.0 - cached_share)
        own_work = (ahead + tokens) * slowness
        others_work = others_tokens * slowness
        others_s = self._speed.remaining_share * others_work * self._s_per_token
        prompt_s = own_work * self._s_per_token + others_s
        fixed_s = delay_s + CONCURRENCY_DELAY_S * calls * slowness
        first_event_s = fixed_s + self._speed.fixed_s * slowness + prompt_s
        event_s = self._stats.chunk_time_s(load.concurrent(calls)) * slowness
        late = lateness(first_event_s, self._slack_s)
        stalled = 0.0
        if self._gap_limit_s > 0:
            # The engine processes the prompts before the next events of its streams.
            stalled = lateness(prompt_s + event_s, self._gap_limit_s)
            late = max(late, lateness(event_s, self._gap_limit_s))
        return EngineForecast(
            delay_s,
            first_event_s,
            fixed_s,
            tokens * slowness * self._s_per_token,
            own_work if tokens >= ahead else 0.0,
            others_work,
            prompt_s + event_s,
            calls,
            slowness,
            max(late, stalled),
            late + calls * stalled,
        )


def lateness(predicted_s: float, limit_s: float) -> float:
    """Return the probability that something predicted exceeds its limit."""
    if predicted_s <= ON_TIME_SHARE * limit_s:
        return 0.0
    if predicted_s >= LATE_SHARE * limit_s:
        return 1.0
    return (predicted_s / limit_s - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)


def _slowness(observed: float, figures: EngineFigures) -> float:
    if figures.slowness == UNKNOWN_SLOWNESS:
        return observed
    weight = figures.weight
    slowness = weight * figures.slowness + (1.0 - weight) * observed
    return max(slowness, observed / MAX_CLAIMED_SPEEDUP)
