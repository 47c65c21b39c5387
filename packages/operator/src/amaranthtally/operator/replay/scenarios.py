"""Makes traces from a deployment file and a seed; a decorator registers scenarios."""

import random
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from amaranthtally.operator.replay.errors import TraceError
from amaranthtally.operator.replay.profiles import (
    endpoint_plans,
    latency_plan,
    pipeline_plans,
    pool_plans,
)
from amaranthtally.operator.replay.trace import (
    EndpointPlan,
    Fault,
    FaultKind,
    Header,
    Trace,
    TraceArrival,
)

__all__ = ["make_trace", "scenario_names"]

DURATION_S = 30.0
FAULT_START_S = 10.0
FAULT_END_S = 20.0
BURST_END_S = 16.0
ARRIVALS_PER_S = 50.0
SIDE_EFFECT_SHARE = 0.1
BURST_FACTOR = 5.0
FLOOD_FACTOR = 25.0
SLOW_FACTOR = 4.0
LOAD_LAG_S = 3.0
# Traffic between regions: a gigabyte costs as much as one engine slot for 300 s.
REGION_BYTE_PRICE = 3e-7
ACCOUNT_WEIGHTS = (0.4, 0.3, 0.15, 0.1, 0.05)
REGION_WEIGHTS = (0.5, 0.3, 0.2)
INPUT_BYTES = (500, 4000)
PREFIXES_PER_ACCOUNT = 8
PREFIX_BLOCKS = (2, 6)


@dataclass(frozen=True, slots=True)
class _Deployment:
    name: str
    table: dict[str, Any]
    endpoints: list[EndpointPlan]

    @property
    def engines(self) -> list[str]:
        """Ids of the endpoints that are model engines, in order."""
        return self.endpoints_of_kind("engine")

    def endpoints_of_kind(self, kind: str) -> list[str]:
        """Return the ids of the endpoints of a kind, in order."""
        pools = {p["name"] for p in self.table["pools"] if p["kind"] == kind}
        return [e.id for e in self.endpoints if e.pool in pools]


MakeFaults = Callable[[_Deployment], list[Fault]]
_SCENARIOS: dict[str, MakeFaults] = {}


def scenario_names() -> list[str]:
    """Return the names of all scenarios."""
    return list(_SCENARIOS)


def make_trace(path: Path, scenario: str, seed: int) -> Trace:
    """Return a scenario's trace for a deployment file; raises ``TraceError``."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise TraceError(path, str(error)) from error
    endpoints = endpoint_plans(table)
    deployment = _Deployment(table["name"], table, endpoints)
    faults = _SCENARIOS[scenario](deployment)
    header = Header(
        deployment=deployment.name,
        scenario=scenario,
        seed=seed,
        duration_s=DURATION_S,
        latency=latency_plan(table),
        region_byte_price=REGION_BYTE_PRICE,
        regions={r["name"]: r["data_centres"][0] for r in table["regions"]},
        accounts=[a["name"] for a in table["accounts"]],
        pools=pool_plans(table),
        endpoints=endpoints,
        pipelines=pipeline_plans(table),
        faults=faults,
    )
    return Trace(header, _make_arrivals(header))


# Scenarios


def _scenario(name: str) -> Callable[[MakeFaults], MakeFaults]:
    def register(function: MakeFaults) -> MakeFaults:
        _SCENARIOS[name] = function
        return function

    return register


@_scenario("steady")
def _steady(_: _Deployment) -> list[Fault]:
    return []


@_scenario("burst")
def _burst(_: _Deployment) -> list[Fault]:
    return [Fault(FaultKind.BURST, FAULT_START_S, BURST_END_S, factor=BURST_FACTOR)]


@_scenario("straggler")
def _straggler(deployment: _Deployment) -> list[Fault]:
    affected = [*deployment.engines[:2], *deployment.endpoints_of_kind("reranker")[:1]]
    return [
        Fault(
            FaultKind.SLOW,
            FAULT_START_S,
            FAULT_END_S,
            endpoints=affected,
            factor=SLOW_FACTOR,
        )
    ]


@_scenario("failing")
def _failing(deployment: _Deployment) -> list[Fault]:
    engines = deployment.engines
    affected = engines[: round(len(engines) / 3)]
    return [Fault(FaultKind.FAILING, FAULT_START_S, FAULT_END_S, endpoints=affected)]


@_scenario("region-cut")
def _region_cut(deployment: _Deployment) -> list[Fault]:
    region = deployment.table["regions"][1]["name"]
    return [Fault(FaultKind.REGION_CUT, FAULT_START_S, FAULT_END_S, region=region)]


@_scenario("late-load")
def _late_load(_: _Deployment) -> list[Fault]:
    late = Fault(FaultKind.LATE_LOAD, 0.0, DURATION_S, factor=LOAD_LAG_S)
    burst = Fault(FaultKind.BURST, FAULT_START_S, BURST_END_S, factor=2.0)
    return [late, burst]


@_scenario("flood")
def _flood(deployment: _Deployment) -> list[Fault]:
    account = deployment.table["accounts"][3]["name"]
    return [
        Fault(
            FaultKind.FLOOD,
            FAULT_START_S,
            FAULT_END_S,
            account=account,
            factor=FLOOD_FACTOR,
        )
    ]


@_scenario("cold-cache")
def _cold_cache(_: _Deployment) -> list[Fault]:
    return [Fault(FaultKind.COLD_CACHE, at, at) for at in (10.0, 15.0, 20.0)]


# Arrivals


def _make_arrivals(header: Header) -> list[TraceArrival]:
    """Return Poisson arrivals, thinned from the peak rate to the rate at each time."""
    generator = random.Random(f"{header.deployment}/{header.scenario}/{header.seed}")
    arrivals: list[TraceArrival] = []
    at = 0.0
    peak = _peak_rate_factor(header.faults)
    while True:
        at += generator.expovariate(ARRIVALS_PER_S * peak)
        if at >= header.duration_s:
            return arrivals
        account = generator.choices(header.accounts, _account_weights_at(header, at))[0]
        if generator.random() < _rate_factor_at(header, at) / peak:
            arrivals.append(
                _make_arrival(header, generator, len(arrivals), at, account)
            )


def _make_arrival(
    header: Header, generator: random.Random, number: int, at: float, account: str
) -> TraceArrival:
    side_effect = generator.random() < SIDE_EFFECT_SHARE
    pipeline = next(
        p for p in header.pipelines if _has_side_effect(p.stages) == side_effect
    )
    group = header.accounts.index(account) * PREFIXES_PER_ACCOUNT
    group += generator.randrange(PREFIXES_PER_ACCOUNT)
    blocks = PREFIX_BLOCKS[0] + group % (PREFIX_BLOCKS[1] - PREFIX_BLOCKS[0] + 1)
    return TraceArrival(
        at=round(at, 6),
        id=f"r{number}",
        account=account,
        pipeline=pipeline.name,
        region=generator.choices(list(header.regions), REGION_WEIGHTS)[0],
        input_bytes=generator.randint(*INPUT_BYTES),
        prefix=[] if side_effect else [group * 10 + i for i in range(blocks)],
    )


def _has_side_effect(stages: list[Any]) -> bool:
    return any(not stage.repeatable for stage in stages)


def _account_weights_at(header: Header, at: float) -> list[float]:
    weights = list(ACCOUNT_WEIGHTS[: len(header.accounts)])
    for fault in header.faults:
        if fault.kind is FaultKind.FLOOD and fault.start_s <= at < fault.end_s:
            weights[header.accounts.index(fault.account)] *= fault.factor
    return weights


def _rate_factor_at(header: Header, at: float) -> float:
    """Return the arrival rate at a time, as a multiple of the steady rate."""
    factor = sum(_account_weights_at(header, at))
    for fault in header.faults:
        if fault.kind is FaultKind.BURST and fault.start_s <= at < fault.end_s:
            factor *= fault.factor
    return factor


def _peak_rate_factor(faults: list[Fault]) -> float:
    factors = [f.factor for f in faults if f.kind in (FaultKind.BURST, FaultKind.FLOOD)]
    return max([1.0, *factors])
