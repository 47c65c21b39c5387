"""
Each decision of the policy in a simpler form, to measure what the decision earns.

An ablation replaces the least that takes the decision away and keeps the rest, so
that a difference is that decision's own. They are no part of the policy.
"""

from collections.abc import Mapping, Sequence
from functools import partial
from math import inf
from random import Random

import msgspec

from amaranthtally.operator.experiment.variants import (
    Ablation,
    Decision,
    ablation,
    registered,
    settings_adapter,
)
from amaranthtally.operator.replay.trace import Header, PoolPlan
from amaranthtally.policy import (
    Arrival,
    Endpoint,
    LoadReport,
    PlannerComponents,
    QueuedCall,
    RunQueue,
    Stage,
)
from amaranthtally.policy.accounts import AccountShares
from amaranthtally.policy.admission import Admission, AdmissionDecision
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import EndpointLoad, LoadTable, PoolLoad
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.routing import Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats, StageTimes
from amaranthtally.simulator.request_mechanisms import (
    UNBOUNDED_BUDGET,
    WithoutEjections,
)

__all__ = ["ablations"]

SPLIT = Decision(1, "deadline split")
ADMISSION = Decision(2, "admission and shares")
ROUTING = Decision(3, "routing")
QUEUE = Decision(4, "queue of a sidecar")
RETRIES = Decision(5, "retries, hedges, ejection")
WEIGHT = Decision(6, "weight of cost")


def ablations() -> Mapping[str, Decision]:
    """Return the decision that each ablation replaces, by the ablation's name."""
    return registered()


# 1: deadline split


class EqualShares(StageTimes):
    """Gives each stage an equal part of what is left, and the last a late end."""

    def share_end(self, now: float, deadline: float, stages: Sequence[Stage]) -> float:
        """Return the end of an equal part."""
        return now + max(0.0, deadline - now) / len(stages)

    def latest_finish(self, deadline: float, later: Sequence[Stage]) -> float:
        """Return the deadline: nothing is kept for the later stages."""
        return deadline


@ablation("equal shares", SPLIT)
def _equal_shares() -> Ablation:
    return Ablation(PlannerComponents(stage_times=EqualShares))


# 2: admission


class AdmitAll(Admission):
    """Admits every request."""

    def decide(self, now: float, arrival: Arrival) -> AdmissionDecision:
        """Admit."""
        super().decide(now, arrival)
        return AdmissionDecision()


class NoShares(AccountShares):
    """Knows no share of an account."""

    def allowance(self, now: float, account: str) -> float:
        """Return that the account may use the whole queue."""
        super().allowance(now, account)
        return 1.0


@ablation("admit all", ADMISSION)
def _admit_all() -> Ablation:
    return Ablation(PlannerComponents(admission=AdmitAll))


@ablation("no fair shares", ADMISSION)
def _no_fair_shares() -> Ablation:
    return Ablation(PlannerComponents(accounts=NoShares))


# 3: routing


class RandomRouter(Router):
    """Sends to any endpoint that takes work."""

    def __init__(
        self,
        random: Random,
        groups: EndpointGroups,
        loads: LoadTable,
        ejections: Ejections,
        prefixes: PrefixIndex,
    ) -> None:
        super().__init__(random, groups, loads, ejections, prefixes)
        self._all_groups = groups
        self._all_loads = loads
        self._all_ejections = ejections
        self._draws = random

    def choose(
        self, now: float, wanted: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return an endpoint drawn at random."""
        usable = self.usable(wanted)
        if not usable:
            return None
        return self.predict(now, wanted, stats, self.pick(usable))

    def pick(self, usable: Sequence[Endpoint]) -> Endpoint:
        """Return one of the endpoints that take work."""
        return self._draws.choice(usable)

    def usable(self, wanted: RouteRequest) -> list[Endpoint]:
        """Return the endpoints that take work."""
        return [
            endpoint
            for group in self._all_groups.candidates(wanted.stage).values()
            for endpoint in group
            if endpoint.id not in wanted.excluded
            and not self._all_ejections.is_ejected(endpoint.id)
            and not self._all_loads.get_or_create(endpoint).leaving
        ]


class LeastOutstandingRouter(RandomRouter):
    """Sends to the endpoint with the fewest of this entry's own attempts."""

    def pick(self, usable: Sequence[Endpoint]) -> Endpoint:
        """Return the one with the fewest, drawn among equals."""
        counts = [
            self._all_loads.get_or_create(endpoint).outstanding for endpoint in usable
        ]
        least = min(counts)
        equal = [e for e, n in zip(usable, counts, strict=True) if n == least]
        return self._draws.choice(equal)


class ReportedLoad(EndpointLoad):
    """Believes the last report, and leaves this entry's own attempts out."""

    __slots__ = ("_reported",)

    def __init__(self, endpoint: Endpoint, pool: PoolLoad) -> None:
        super().__init__(endpoint, pool)
        self._reported = 0.0

    def occupancy(self, now: float) -> float:
        """Return the calls that the last report told of."""
        return self._reported

    def apply_report(self, now: float, report: LoadReport) -> None:
        """Take a report as if it were of now."""
        super().apply_report(now, report)
        self._reported = float(report.running + report.queued)


@ablation("random endpoint", ROUTING)
def _random_endpoint() -> Ablation:
    return Ablation(PlannerComponents(router=RandomRouter))


@ablation("fewest own attempts", ROUTING)
def _fewest_own_attempts() -> Ablation:
    return Ablation(PlannerComponents(router=LeastOutstandingRouter))


@ablation("reports alone", ROUTING)
def _reports_alone() -> Ablation:
    return Ablation(PlannerComponents(loads=partial(LoadTable, ReportedLoad)))


# 4: queue


class ArrivalOrderQueue(RunQueue):
    """Runs calls in the order of arrival and drops none."""

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call as if it had no priority and no deadline."""
        return super().offer(now, QueuedCall(0, inf, call.serial))


class ConstantLimitQueue(RunQueue):
    """Runs as many calls whether they fail or not."""

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Note that a call ended; a failure leaves the limit as it is."""
        if failed:
            self.aborted()
        else:
            super().finished(now, run_s)


def _arrival_order_queue(pool: PoolPlan) -> RunQueue:
    return ArrivalOrderQueue(pool.slots, pool.queue_capacity)


def _constant_limit_queue(pool: PoolPlan) -> RunQueue:
    return ConstantLimitQueue(pool.slots, pool.queue_capacity)


@ablation("first in first out", QUEUE)
def _first_in_first_out() -> Ablation:
    return Ablation(build_queue=_arrival_order_queue)


@ablation("constant limit", QUEUE)
def _constant_limit() -> Ablation:
    return Ablation(build_queue=_constant_limit_queue)


# 5: retries, hedges, ejection


@ablation("no retries", RETRIES)
def _no_retries() -> Ablation:
    return Ablation(adapt=settings_adapter({"retry_budget": 0.0}))


@ablation("retries by count", RETRIES)
def _retries_by_count() -> Ablation:
    return Ablation(adapt=settings_adapter({"retry_budget": UNBOUNDED_BUDGET}))


@ablation("no hedges", RETRIES)
def _no_hedges() -> Ablation:
    return Ablation(adapt=settings_adapter({"hedge_budget": 0.0}))


@ablation("no ejection", RETRIES)
def _no_ejection() -> Ablation:
    return Ablation(PlannerComponents(ejections=WithoutEjections))


@ablation("retries by count alone", RETRIES)
def _retries_by_count_alone() -> Ablation:
    values: Mapping[str, float] = {
        "retry_budget": UNBOUNDED_BUDGET,
        "hedge_budget": 0.0,
    }
    return Ablation(
        PlannerComponents(ejections=WithoutEjections), adapt=settings_adapter(values)
    )


# 6: weight


def _weigh(weight: float, header: Header) -> Header:
    pipelines = [
        msgspec.structs.replace(pipeline, weight_attainment=weight)
        for pipeline in header.pipelines
    ]
    return msgspec.structs.replace(header, pipelines=pipelines)


@ablation("attainment alone", WEIGHT)
def _attainment_alone() -> Ablation:
    return Ablation(adapt=partial(_weigh, 1.0))


@ablation("cost alone", WEIGHT)
def _cost_alone() -> Ablation:
    return Ablation(adapt=partial(_weigh, 0.0))
