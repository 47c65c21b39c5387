"""
Ablations: the policy with one decision replaced by a simpler form.

They measure the contribution of each decision. An ablation replaces as little as
possible, so that a difference from the policy is due to that decision alone. The
policy itself does not use this module.
"""

from collections.abc import Mapping, Sequence
from functools import partial
from math import inf
from random import Random

import msgspec

from amaranthtally.operator.experiment.variants import (
    Ablation,
    Decision,
    ablated_decisions,
    ablation,
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
from amaranthtally.policy.admission import Admission, AdmissionDecision
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.fair_shares import FairShares
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import EndpointLoad, LoadTable, PoolLoad
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.routing import Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats, StageTimes
from amaranthtally.policy.usage_messages import Resource
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
    return ablated_decisions()


# 1: deadline split


class EqualShares(StageTimes):
    """Divides the time left equally among the stages; reserves none for later ones."""

    def share_end(self, now: float, deadline: float, stages: Sequence[Stage]) -> float:
        """Return the end of an equal share of the time left."""
        return now + max(0.0, deadline - now) / len(stages)

    def latest_finish(self, deadline: float, later: Sequence[Stage]) -> float:
        """Return the deadline: no time is reserved for the later stages."""
        return deadline


@ablation("equal shares", SPLIT)
def _equal_shares() -> Ablation:
    return Ablation(PlannerComponents(stage_times=EqualShares))


# 2: admission


class AdmitAll(Admission):
    """Admits every request, after the usual accounting."""

    def decide(self, now: float, arrival: Arrival) -> AdmissionDecision:
        """Return an admission, whatever the policy decides."""
        super().decide(now, arrival)
        return AdmissionDecision()


class NoShares(FairShares):
    """Does not limit accounts to shares of the queue."""

    def allowance(
        self, now: float, account: str, resource: Resource | None = None
    ) -> float:
        """Return 1: every account may use the whole queue."""
        super().allowance(now, account, resource)
        return 1.0


@ablation("admit all", ADMISSION)
def _admit_all() -> Ablation:
    return Ablation(PlannerComponents(admission=AdmitAll))


@ablation("no fair shares", ADMISSION)
def _no_fair_shares() -> Ablation:
    return Ablation(PlannerComponents(accounts=NoShares))


# 3: routing


class RandomRouter(Router):
    """Chooses at random among the usable endpoints."""

    def __init__(
        self,
        random: Random,
        groups: EndpointGroups,
        loads: LoadTable,
        ejections: Ejections,
        prefixes: PrefixIndex,
    ) -> None:
        super().__init__(random, groups, loads, ejections, prefixes)
        self._endpoint_groups = groups
        self._load_table = loads
        self._ejection_state = ejections
        self._random_source = random

    def choose(
        self, now: float, request: RouteRequest, stats: StageStats
    ) -> Choice | None:
        """Return a random usable endpoint, or ``None`` if there is none."""
        usable = self.usable(request)
        if not usable:
            return None
        return self.predict(now, request, stats, self.pick(usable))

    def pick(self, usable: Sequence[Endpoint]) -> Endpoint:
        """Return a random one of the usable endpoints."""
        return self._random_source.choice(usable)

    def usable(self, request: RouteRequest) -> list[Endpoint]:
        """Return the endpoints that are neither excluded, ejected nor leaving."""
        return [
            endpoint
            for group in self._endpoint_groups.candidates(request.stage).values()
            for endpoint in group
            if endpoint.id not in request.excluded
            and not self._ejection_state.is_ejected(endpoint.id)
            and not self._load_table.get_or_create(endpoint).leaving
        ]


class LeastOutstandingRouter(RandomRouter):
    """Chooses the endpoint with the fewest outstanding attempts of this entry."""

    def pick(self, usable: Sequence[Endpoint]) -> Endpoint:
        """Return an endpoint with the fewest attempts; ties are broken at random."""
        counts = [
            self._load_table.get_or_create(endpoint).outstanding for endpoint in usable
        ]
        fewest = min(counts)
        equal = [e for e, n in zip(usable, counts, strict=True) if n == fewest]
        return self._random_source.choice(equal)


class ReportedLoad(EndpointLoad):
    """Uses the last load report alone and ignores this entry's own attempts."""

    __slots__ = ("_reported",)

    def __init__(self, endpoint: Endpoint, pool: PoolLoad) -> None:
        super().__init__(endpoint, pool)
        self._reported = 0.0

    def occupancy(self, now: float) -> float:
        """Return the number of running and queued calls in the last report."""
        return self._reported

    def apply_report(self, now: float, report: LoadReport) -> None:
        """Apply a report as if it were current."""
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
    """Runs calls in order of arrival and drops none."""

    def offer(self, now: float, call: QueuedCall) -> bool:
        """Queue a call as if it had no priority and no deadline."""
        return super().offer(now, QueuedCall(0, inf, call.serial))


class ConstantLimitQueue(RunQueue):
    """Keeps the concurrency limit constant when calls fail."""

    def finished(self, now: float, run_s: float, failed: bool = False) -> None:
        """Record that a call ended; a failure does not change the limit."""
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


def _set_weight(weight: float, header: Header) -> Header:
    pipelines = [
        msgspec.structs.replace(pipeline, weight_attainment=weight)
        for pipeline in header.pipelines
    ]
    return msgspec.structs.replace(header, pipelines=pipelines)


@ablation("attainment alone", WEIGHT)
def _attainment_alone() -> Ablation:
    return Ablation(adapt=partial(_set_weight, 1.0))


@ablation("cost alone", WEIGHT)
def _cost_alone() -> Ablation:
    return Ablation(adapt=partial(_set_weight, 0.0))
