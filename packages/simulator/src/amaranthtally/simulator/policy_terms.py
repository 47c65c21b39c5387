"""A deployment's kinds, pools and requests in the policy's own terms."""

from amaranthtally.policy import (
    Arrival,
    EngineLimits,
    PieceLimits,
    PieceStage,
    PieceWork,
    Pipeline,
    Pool,
    Stage,
)
from amaranthtally.simulator.deployment import Deployment, Kind, PiecePool
from amaranthtally.simulator.requests import Request

__all__ = ["policy_arrival", "policy_pipeline", "policy_pools"]

# An answer leaves by so much before its caller does, in seconds.
ANSWER_S = 0.04
WEIGHT_ATTAINMENT = 0.9
ACCOUNT = "account"
INPUT_BYTES = 500


def policy_pools(deployment: Deployment) -> dict[str, Pool]:
    """Return the limits of each pool."""
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


def policy_pipeline(kind: Kind) -> Pipeline:
    """Return the pipeline of a kind: one stage, after its pieces."""
    is_stream = kind.call == "streaming"
    stage = Stage(
        name=kind.name,
        pool=kind.pool,
        repeatable=kind.call == "idempotent" or (is_stream and kind.resumable),
        streams=is_stream,
        max_attempts=kind.max_attempts,
        hedges=kind.call == "idempotent",
    )
    return Pipeline(kind.name, (stage,), kind.deadline_s, WEIGHT_ATTAINMENT)


def policy_arrival(request: Request, pipeline: Pipeline, now: float) -> Arrival:
    """Return a request that arrives at a time stamp."""
    kind = request.kind
    deadline = max(now, request.deadline - ANSWER_S)
    return Arrival(
        request_id=request.try_id,
        account=ACCOUNT,
        pipeline=pipeline,
        deadline=deadline,
        input_bytes=INPUT_BYTES,
        priority=kind.priority,
        streaming=kind.call == "streaming",
        prefix=request.prefix,
        objective=min(deadline, now + kind.objective_s),
        prefix_sizes=request.sizes,
        work=_work(request),
        leaves_at=now + kind.patience_s if kind.patience_s else 0.0,
    )


def _work(request: Request) -> PieceWork | None:
    if not request.kind.stages:
        return None
    stages = tuple(
        PieceStage(stage.pool, stage.after, stage.result_bytes)
        for stage in request.kind.stages
    )
    return PieceWork(stages, request.counts, request.id)


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
