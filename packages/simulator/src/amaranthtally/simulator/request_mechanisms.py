"""Variants of the policy without one of the mechanisms for requests and attempts."""

from dataclasses import replace

from amaranthtally.policy import Arrival, PieceWork, PolicySettings, Regions
from amaranthtally.policy.admission import ADMITTED, AdmissionDecision
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.request_inputs import RequestInputs
from amaranthtally.policy.requests import Request
from amaranthtally.policy.routing import Router
from amaranthtally.simulator.variants import (
    with_arrivals,
    with_ejections,
    with_inputs,
    with_router,
    with_settings,
    without,
)

__all__ = ["UNBOUNDED_BUDGET", "WithoutEjections"]

# Retry budget earned by each first attempt; more than any request can spend.
UNBOUNDED_BUDGET = 64.0


@without("admission by stages", with_inputs)
class WithoutAdmission(RequestInputs):
    """Admits every request, regardless of the wait for its pieces."""

    def decide(
        self,
        now: float,
        arrival: Arrival,
        work: PieceWork,
        regions: Regions | None = None,
    ) -> AdmissionDecision:
        """Return the admitting decision."""
        return ADMITTED


@without("freeing before the first event", with_inputs)
class LateFreeing(RequestInputs):
    """Keeps a request's inputs until its first event."""

    def note_sent(self, now: float, request: Request) -> None:
        """Do nothing: the inputs are not freed yet."""


# Attempts


@without("ejection", with_ejections)
class WithoutEjections(Ejections):
    """Never ejects an endpoint."""

    def failed(self, now: float, endpoint: str, pool: str, pool_size: int) -> bool:
        """Ignore the failure."""
        return False


@without("affinity", with_router)
class WithoutAffinity(Router):
    """Chooses engines without regard to their prefix caches."""


@without("hedges", with_settings)
def without_hedges(settings: PolicySettings) -> PolicySettings:
    """Return settings that allow no second attempt during a slow one."""
    return replace(settings, hedge_budget=0.0, hedge_reserve=0.0)


@without("bound of retries", with_settings)
def without_bound(settings: PolicySettings) -> PolicySettings:
    """Return settings that allow any number of retries."""
    return replace(settings, retry_budget=UNBOUNDED_BUDGET)


@without("retries", with_settings)
def without_retries(settings: PolicySettings) -> PolicySettings:
    """Return settings that allow no retry."""
    return replace(settings, retry_budget=0.0, retry_reserve=0.0)


# Arrivals


@without("ranks", with_arrivals)
def without_rank(arrival: Arrival) -> Arrival:
    """Return an arrival with priority 0, the same for all kinds."""
    return replace(arrival, priority=0)


@without("patience", with_arrivals)
def without_patience(arrival: Arrival) -> Arrival:
    """Return an arrival whose caller waits until the deadline."""
    return replace(arrival, caller_timeout_at=0.0)


@without("resumption", with_arrivals)
def without_resumption(arrival: Arrival) -> Arrival:
    """Return an arrival whose stream is not resumed by another attempt."""
    if not arrival.streaming:
        return arrival
    pipeline = arrival.pipeline
    stages = tuple(replace(stage, repeatable=False) for stage in pipeline.stages)
    return replace(arrival, pipeline=replace(pipeline, stages=stages))
