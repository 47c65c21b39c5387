"""Replays one trace with one contender, until every request has ended."""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from functools import partial
from random import Random

from amaranthtally.operator.replay.baselines import Contender
from amaranthtally.operator.replay.endpoints import build_endpoint
from amaranthtally.operator.replay.entry import FakeEntry
from amaranthtally.operator.replay.faults import Targets, schedule_faults
from amaranthtally.operator.replay.network import Network
from amaranthtally.operator.replay.recorder import ReplayRecorder
from amaranthtally.operator.replay.sidecar import FakeSidecar
from amaranthtally.operator.replay.trace import Header, PipelinePlan, Trace
from amaranthtally.operator.replay.work import WorkModel
from amaranthtally.policy import (
    AccountLimits,
    CacheEvent,
    Endpoint,
    Pipeline,
    PolicySettings,
    Stage,
)
from amaranthtally.simulator.clock import VirtualClock

__all__ = ["build_pipeline", "replay"]

# Time after the last possible deadline, for the remaining calls to end.
DRAIN_S = 5.0
BYTES_PER_GB = 1e9


def replay(trace: Trace, contender: Contender) -> ReplayRecorder:
    """
    Replay a trace and return its recorded requests.

    Raises ``UnknownActionError`` or ``DoubleEndError`` for a faulty planner.
    """
    header = trace.header
    clock = VirtualClock()
    recorder = ReplayRecorder()
    network = Network(clock, header.latency, header.regions)
    fleet = _build_fleet(header, contender, clock, recorder)
    entries = {
        region: FakeEntry(
            region,
            contender.build_planner(
                _settings(header, region), Random(f"{header.seed}/entry/{region}")
            ),
            network,
            fleet,
            recorder,
        )
        for region in header.regions
    }
    prices = {pool.name: pool.price for pool in header.pools}
    pipelines = {plan.name: build_pipeline(plan, prices) for plan in header.pipelines}
    for entry in entries.values():
        entry.load_initial_reports()
        clock.at(0.0, entry.tick)
    for sidecar in fleet.values():
        sidecar.endpoint.on_cache_event(
            partial(_deliver_cache_event, list(entries.values()), sidecar)
        )
    targets = Targets(network, fleet, list(entries.values()))
    schedule_faults(targets, header.faults)
    for arrival in trace.arrivals:
        submit = partial(
            entries[arrival.region].submit, arrival, pipelines[arrival.pipeline]
        )
        clock.at(arrival.at, submit)
    longest_deadline_s = max(plan.deadline_s for plan in header.pipelines)
    clock.run(header.duration_s + longest_deadline_s + DRAIN_S)
    return recorder


def build_pipeline(plan: PipelinePlan, prices: Mapping[str, float]) -> Pipeline:
    """Return the policy's ``Pipeline`` for a plan, with the pools' prices."""
    stages = tuple(
        Stage(s.name, s.pool, s.model, s.repeatable, s.streams, prices[s.pool])
        for s in plan.stages
    )
    return Pipeline(plan.name, stages, plan.deadline_s, plan.weight_attainment)


def _deliver_cache_event(
    entries: Sequence[FakeEntry], sidecar: FakeSidecar, event: CacheEvent
) -> None:
    for entry in entries:
        entry.deliver_cache_event(sidecar, event)


def _build_fleet(
    header: Header, contender: Contender, clock: VirtualClock, recorder: ReplayRecorder
) -> dict[str, FakeSidecar]:
    pools = {pool.name: pool for pool in header.pools}
    work = WorkModel(header.seed)
    return {
        plan.id: FakeSidecar(
            clock,
            plan,
            pools[plan.pool],
            contender.build_queue(pools[plan.pool]),
            build_endpoint(clock, pools[plan.pool]),
            work,
            recorder,
        )
        for plan in header.endpoints
    }


def _settings(header: Header, region: str) -> PolicySettings:
    endpoints = {
        plan.id: Endpoint(
            id=plan.id,
            pool=plan.pool,
            host=plan.id,
            region=plan.region,
            data_centre=plan.data_centre,
            address="",
        )
        for plan in header.endpoints
    }
    settings = PolicySettings(
        revision=1,
        region=region,
        data_centre=header.regions[region],
        endpoints=endpoints,
        accounts={name: AccountLimits() for name in header.accounts},
        entries=len(header.regions),
        traffic_price_per_gb=header.region_byte_price * BYTES_PER_GB,
        region_latency_s=header.latency.regions_s,
    )
    return replace(settings, **header.policy)
