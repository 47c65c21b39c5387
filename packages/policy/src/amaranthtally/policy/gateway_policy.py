"""What a gateway's planner is made of, and what it is told of routes' requests."""

from dataclasses import replace

from amaranthtally.policy.affinity import AffinityRouter
from amaranthtally.policy.events import Arrival, PieceWork
from amaranthtally.policy.model import Pipeline, PolicySettings, Stage
from amaranthtally.policy.planner_components import PlannerComponents
from amaranthtally.policy.routes import CallKind, Route

__all__ = [
    "GATEWAY_COMPONENTS",
    "GATEWAY_TICK_S",
    "RESPONSE_MARGIN_S",
    "gateway_settings",
    "route_arrival",
    "route_pipeline",
]

GATEWAY_COMPONENTS = PlannerComponents(router=AffinityRouter)
# Pieces linger for a few of these, in seconds; each tick costs processor time.
GATEWAY_TICK_S = 0.006
# An answer that leaves when the caller's time is over comes too late to be heard: it
# leaves by this much earlier, in seconds, twice the way to a caller and some work.
RESPONSE_MARGIN_S = 0.04
# Second attempts beside slow ones, as a ratio of first ones, out of the budget of
# retries.
HEDGE_RATIO = 0.04
HEDGE_RESERVE = 1.0
# A request that may be repeated is hedged; a stream never: two engines would read
# one prompt, and the callers pay for what is read in vain.
HEDGED_KINDS = frozenset({CallKind.IDEMPOTENT})
# How much of the objective weighs against price where a plain endpoint is chosen.
WEIGHT_ATTAINMENT = 0.9


def gateway_settings(settings: PolicySettings) -> PolicySettings:
    """Return settings with what is the same at all gateways."""
    return replace(
        settings,
        hedge_budget=HEDGE_RATIO,
        hedge_reserve=HEDGE_RESERVE,
        not_run_cost=1.0,
        admission_headroom=1.0,
    )


def route_pipeline(route: Route, pool: str) -> Pipeline:
    """Return the one stage of a route's requests that go to a pool."""
    stage = Stage(
        name=route.name,
        pool=pool,
        repeatable=route.is_repeatable,
        streams=route.kind is CallKind.STREAMING,
        max_attempts=route.max_attempts,
        hedges=route.kind in HEDGED_KINDS,
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
) -> Arrival:
    """
    Return a route's request that arrives at ``now``.

    ``deadline`` is the time stamp by which its answer leaves; ``pipeline`` is one of
    the route's own.
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
    )
