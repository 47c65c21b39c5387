"""The policy without what decides on requests and their attempts."""

from dataclasses import replace

from amaranthtally.policy import Arrival, PieceWork, PolicySettings
from amaranthtally.policy.admission import ADMITTED, AdmissionDecision
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.request_inputs import RequestInputs
from amaranthtally.policy.requests import Request
from amaranthtally.policy.routing import Router
from amaranthtally.simulator.variants import (
    of_arrivals,
    of_ejections,
    of_inputs,
    of_router,
    of_settings,
    without,
)

__all__ = ["UNBOUNDED_BUDGET", "WithoutEjections"]

# Earned by each first attempt: more than any request can spend.
UNBOUNDED_BUDGET = 64.0


@without("admission by stages", of_inputs)
class WithoutAdmission(RequestInputs):
    """Takes in every request, whatever its pieces would wait."""

    def decide(
        self, now: float, arrival: Arrival, work: PieceWork
    ) -> AdmissionDecision:
        """Admit."""
        return ADMITTED


@without("freeing before the first event", of_inputs)
class LateFreeing(RequestInputs):
    """Keeps a request's inputs until its first event."""

    def note_sent(self, now: float, request: Request) -> None:
        """Note nothing."""


# Attempts


@without("ejection", of_ejections)
class WithoutEjections(Ejections):
    """Ejects nothing."""

    def failed(self, now: float, endpoint: str, pool: str, pool_size: int) -> bool:
        """Forget the failure."""
        return False


@without("affinity", of_router)
class WithoutAffinity(Router):
    """Chooses engines like any other endpoint."""


@without("hedges", of_settings)
def without_hedges(settings: PolicySettings) -> PolicySettings:
    """Return settings that allow no second attempt beside a slow one."""
    return replace(settings, hedge_budget=0.0, hedge_reserve=0.0)


@without("bound of retries", of_settings)
def without_bound(settings: PolicySettings) -> PolicySettings:
    """Return settings that allow any number of retries."""
    return replace(settings, retry_budget=UNBOUNDED_BUDGET)


@without("retries", of_settings)
def without_retries(settings: PolicySettings) -> PolicySettings:
    """Return settings that allow no retry."""
    return replace(settings, retry_budget=0.0, retry_reserve=0.0)


# What arrivals say


@without("ranks", of_arrivals)
def without_rank(arrival: Arrival) -> Arrival:
    """Return an arrival as urgent as any other."""
    return replace(arrival, priority=0)


@without("patience", of_arrivals)
def without_patience(arrival: Arrival) -> Arrival:
    """Return an arrival whose caller stays to its deadline."""
    return replace(arrival, caller_timeout_at=0.0)


@without("resumption", of_arrivals)
def without_resumption(arrival: Arrival) -> Arrival:
    """Return an arrival whose stream is not sent again."""
    if not arrival.streaming:
        return arrival
    pipeline = arrival.pipeline
    stages = tuple(replace(stage, repeatable=False) for stage in pipeline.stages)
    return replace(arrival, pipeline=replace(pipeline, stages=stages))
