"""Converts a deployment's kinds, pools and requests into the policy's types."""

from typing import NamedTuple

from amaranthtally.policy import (
    RESPONSE_MARGIN_S,
    Arrival,
    CallKind,
    EngineLimits,
    PieceLimits,
    PieceStage,
    PieceWork,
    Pipeline,
    Pool,
    Route,
    WeightedPool,
    route_arrival,
    route_pipeline,
)
from amaranthtally.simulator.deployment import Deployment, PiecePool, RequestKind
from amaranthtally.simulator.requests import Request

__all__ = ["KindRouting", "policy_arrival", "policy_pools", "kind_routing"]

ACCOUNT = "account"
INPUT_BYTES = 500
CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "streaming": CallKind.STREAMING,
    "effect": CallKind.NON_IDEMPOTENT,
}


class KindRouting(NamedTuple):
    """The route of a kind of request and its pipeline."""

    route: Route
    pipeline: Pipeline


def policy_pools(deployment: Deployment) -> dict[str, Pool]:
    """Return the policy's pools by name."""
    pools = {
        pool.name: Pool(pool.name, pieces=_piece_limits(pool))
        for pool in deployment.piece_pools
    }
    for engines in deployment.engine_pools:
        limits = EngineLimits(engines.slots, engines.token_capacity)
        pools[engines.name] = Pool(engines.name, engine=limits)
    for plain in deployment.service_pools:
        pools[plain.name] = Pool(plain.name)
    return pools


def kind_routing(kind: RequestKind) -> KindRouting:
    """Return the route and the pipeline of a kind."""
    call_kind = CALL_KINDS[kind.call]
    route = Route(
        name=kind.name,
        host="",
        prefix="",
        kind=call_kind,
        targets=(WeightedPool(kind.pool, 1.0),),
        timeout_s=kind.deadline_s,
        objective_s=kind.objective_s,
        caller_timeout_s=kind.patience_s,
        priority=kind.priority,
        max_attempts=kind.max_attempts,
        stages=tuple(
            PieceStage(stage.pool, stage.after, stage.result_bytes)
            for stage in kind.stages
        ),
        is_resumable=call_kind is CallKind.STREAMING and kind.resumable,
    )
    return KindRouting(route, route_pipeline(route, kind.pool))


def policy_arrival(request: Request, routing: KindRouting, now: float) -> Arrival:
    """Return the arrival of a request at a time in seconds."""
    stages = routing.route.stages
    return route_arrival(
        now,
        max(now, request.deadline - RESPONSE_MARGIN_S),
        routing.route,
        routing.pipeline,
        request_id=request.try_id,
        account=ACCOUNT,
        rank=request.kind.priority,
        size_bytes=INPUT_BYTES,
        prefix=request.prefix,
        prefix_sizes=request.prefix_sizes,
        piece_work=PieceWork(stages, request.piece_counts, request.id)
        if stages
        else None,
    )


def _piece_limits(pool: PiecePool) -> PieceLimits:
    return PieceLimits(
        slots=1,
        queue=pool.queue,
        batch=pool.batch,
        call_s=pool.call_s,
        piece_s=pool.piece_s,
        memory_bytes=pool.memory_bytes,
        result_ttl_s=pool.result_ttl_s,
    )
