"""Service times, sizes and prices by kind of pool, which a deployment file lacks."""

from typing import Any

import msgspec

from amaranthtally.operator.replay.trace import (
    EndpointPlan,
    LatencyPlan,
    PipelinePlan,
    PoolPlan,
    StagePlan,
)

__all__ = [
    "latency_plan",
    "pipeline_plans",
    "endpoint_plans",
    "pool_plans",
]

DEFAULT_SLOTS = 4
SAME_DATA_CENTRE_S = 0.0001
MS = 0.001
PIPELINE_PREFIX = "pipeline:"

# ``weight_attainment`` by deployment: Agrosalv gives more weight to answers in time,
# Qoryq to cost by stage.
ATTAINMENT_WEIGHTS = {"agrosalv": 0.9, "qoryq": 0.4}
DEFAULT_ATTAINMENT_WEIGHT = 0.7

# Times in seconds, sizes in bytes and prices per slot-second, by kind of pool. They are
# round numbers of the order of magnitude of such services. The parameters of the
# stand-ins in the deployment file are chosen for a quick start and are not used here.
PROFILES = {
    "encoder": PoolPlan("", "encoder", 4, 0.1, 6_000, service_s=0.025, sigma=0.3),
    "retriever": PoolPlan(
        *("", "retriever", 4, 0.1, 40_000),
        service_s=0.06,
        sigma=0.4,
        straggle_rate=0.01,
        straggle_factor=10.0,
    ),
    "reranker": PoolPlan(
        *("", "reranker", 4, 0.2, 12_000),
        service_s=0.04,
        sigma=0.3,
        straggle_rate=0.01,
        straggle_factor=10.0,
    ),
    "plain": PoolPlan("", "plain", 4, 0.05, 1_000, service_s=0.02, sigma=0.4),
    "engine": PoolPlan(
        *("", "engine", 8, 1.0, 3_000),
        sigma=0.35,
        token_s=0.006,
        batch_slope=0.06,
        tokens=110.0,
        prefill_token_s=0.00015,
        block_tokens=128,
        cache_blocks=80,
        event_lag_s=0.5,
        event_gap=50,
    ),
}


def latency_plan(table: dict[str, Any]) -> LatencyPlan:
    """Return the one-way latencies of a deployment."""
    latency = table["latency_ms"]
    return LatencyPlan(
        same_data_centre_s=SAME_DATA_CENTRE_S,
        data_centres_s=latency["data_centres"] * MS,
        regions_s=latency["regions"] * MS,
    )


def pool_plans(table: dict[str, Any]) -> list[PoolPlan]:
    """Return the pools; each has the profile of its kind."""
    return [
        msgspec.structs.replace(
            PROFILES[pool["kind"]],
            name=pool["name"],
            slots=pool.get("concurrency", DEFAULT_SLOTS),
        )
        for pool in table["pools"]
    ]


def endpoint_plans(table: dict[str, Any]) -> list[EndpointPlan]:
    """Return the endpoints; each pool's are assigned to the data centres in turn."""
    data_centres = [
        (region["name"], centre)
        for region in table["regions"]
        for centre in region["data_centres"]
    ]
    # The first data centre of each region comes first, so that a pool with as few as
    # three servers has one in each region.
    first_data_centres = [(r["name"], r["data_centres"][0]) for r in table["regions"]]
    ordered_data_centres = first_data_centres + [
        data_centre
        for data_centre in data_centres
        if data_centre not in first_data_centres
    ]
    return [
        EndpointPlan(
            f"{pool['name']}-{i}",
            pool["name"],
            *ordered_data_centres[i % len(ordered_data_centres)],
        )
        for pool in table["pools"]
        for i in range(pool["servers"])
    ]


def pipeline_plans(table: dict[str, Any]) -> list[PipelinePlan]:
    """Return the pipelines that the deployment's settings define."""
    return [
        _pipeline(table["name"], scope.removeprefix(PIPELINE_PREFIX), values)
        for scope, values in table["settings"].items()
        if scope.startswith(PIPELINE_PREFIX)
    ]


def _pipeline(deployment: str, name: str, values: dict[str, Any]) -> PipelinePlan:
    tables = values["stage"]
    stages = [
        msgspec.convert({"name": stage, **tables[stage]}, type=StagePlan)
        for stage in values["stages"]
    ]
    weight = ATTAINMENT_WEIGHTS.get(deployment, DEFAULT_ATTAINMENT_WEIGHT)
    return PipelinePlan(name, stages, values["deadline_ms"] * MS, weight)
