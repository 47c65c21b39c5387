"""Configures a gateway's planner, and turns routes' requests into arrivals."""

from dataclasses import replace

from amaranthtally.policy.engine_choice import build_router
from amaranthtally.policy.events import Arrival, PieceWork
from amaranthtally.policy.model import Pipeline, PolicySettings, Stage
from amaranthtally.policy.planner_components import PlannerComponents
from amaranthtally.policy.request_key import RequestKey
from amaranthtally.policy.routes import CallKind, Route
from amaranthtally.policy.stream_origins import StreamOrigin

__all__ = [
    "GATEWAY_COMPONENTS",
    "GATEWAY_TICK_S",
    "RESPONSE_MARGIN_S",
    "gateway_settings",
    "route_arrival",
    "route_pipeline",
]

GATEWAY_COMPONENTS = PlannerComponents(router=build_router)
# Interval between the planner's ticks, in seconds. Batches of pieces wait for a few
# ticks to fill, which calls for a short one; each tick costs processor time.
GATEWAY_TICK_S = 0.006
# An answer sent at the caller's deadline would arrive after it. Answers are due this
# many seconds before it: twice the network latency to a caller, and some processing.
RESPONSE_MARGIN_S = 0.04
# The budget of hedges, a part of that of retries: their ratio to first attempts, and
# the reserve beyond the ratio.
HEDGE_RATIO = 0.04
HEDGE_RESERVE = 1.0
# Requests that may be repeated are hedged. Streams never are: two engines would process
# the same prompt, and the callers pay for the processing that is not used.
HEDGED_KINDS = frozenset({CallKind.IDEMPOTENT})
# ``weight_attainment`` of the pipelines of all routes.
WEIGHT_ATTAINMENT = 0.9


def gateway_settings(settings: PolicySettings) -> PolicySettings:
    """Return settings with the values that are the same at all gateways."""
    return replace(
        settings,
        hedge_budget=HEDGE_RATIO,
        hedge_reserve=HEDGE_RESERVE,
        not_run_cost=1.0,
        admission_headroom=1.0,
    )


def route_pipeline(route: Route, pool: str) -> Pipeline:
    """Return the pipeline, of one stage, for a route's requests that go to a pool."""
    stage = Stage(
        name=route.name,
        pool=pool,
        repeatable=route.is_repeatable,
        streams=route.kind is CallKind.STREAMING,
        max_attempts=route.max_attempts,
        hedges=route.kind in HEDGED_KINDS,
        max_event_gap_s=route.max_event_gap_s,
    )
    return Pipeline(route.name, (stage,), route.timeout_s, WEIGHT_ATTAINMENT)


def route_arrival(
    now: float,
    deadline: float,
    route: Route,
    pipeline: Pipeline,
    *,
    request_id: str,
    account: str,
    rank: int,
    size_bytes: int,
    prefix: tuple[int, ...],
    prefix_sizes: tuple[int, ...],
    piece_work: PieceWork | None,
    key: RequestKey | None = None,
    origin: StreamOrigin | None = None,
) -> Arrival:
    """
    Return the arrival of a route's request at ``now``.

    ``deadline`` is the time stamp by which the answer must be sent; ``pipeline`` is one
    that ``route_pipeline`` returned for the route.
    """
    objective_at = now + route.objective_s if route.objective_s else deadline
    return Arrival(
        request_id=request_id,
        account=account,
        pipeline=pipeline,
        deadline=deadline,
        input_bytes=size_bytes,
        priority=rank,
        streaming=route.kind is CallKind.STREAMING,
        prefix=prefix,
        objective=min(deadline, objective_at),
        prefix_sizes=prefix_sizes,
        piece_work=piece_work,
        caller_timeout_at=now + route.caller_timeout_s
        if route.caller_timeout_s
        else 0.0,
        origin=origin,
        key=key,
    )
