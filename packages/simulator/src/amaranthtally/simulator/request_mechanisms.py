"""The policy without what decides on requests and their attempts."""

from dataclasses import replace

from amaranthtally.policy import Arrival, PieceWork
from amaranthtally.policy.admission import ADMITTED, Verdict
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.request_inputs import RequestInputs
from amaranthtally.policy.requests import Request
from amaranthtally.policy.routing import Router
from amaranthtally.simulator.variants import POLICY, Variant, without

__all__: list[str] = []

# Earned by each first attempt: more than any request can spend.
UNBOUNDED_BUDGET = 64.0


class WithoutAdmission(RequestInputs):
    """Takes in every request, whatever its pieces would wait."""

    def judge(self, now: float, arrival: Arrival, work: PieceWork) -> Verdict:
        """Admit."""
        return ADMITTED


class LateFreeing(RequestInputs):
    """Keeps a request's inputs until its first event."""

    def note_sent(self, now: float, request: Request) -> None:
        """Note nothing."""


@without("admission by stages")
def _no_admission() -> Variant:
    return Variant(parts=replace(POLICY.parts, inputs=WithoutAdmission))


@without("freeing before the first event")
def _no_first_freeing() -> Variant:
    return Variant(parts=replace(POLICY.parts, inputs=LateFreeing))


# Attempts


class NoEjections(Ejections):
    """Ejects nothing."""

    def failed(self, now: float, endpoint: str, pool: str, pool_size: int) -> bool:
        """Forget the failure."""
        return False


@without("ejection")
def _no_ejection() -> Variant:
    return Variant(parts=replace(POLICY.parts, ejections=NoEjections))


@without("affinity")
def _no_affinity() -> Variant:
    return Variant(parts=replace(POLICY.parts, router=Router))


@without("hedges")
def _no_hedges() -> Variant:
    return Variant(
        adapt_settings=lambda s: replace(s, hedge_budget=0.0, hedge_reserve=0.0)
    )


@without("bound of retries")
def _no_bound() -> Variant:
    return Variant(adapt_settings=lambda s: replace(s, retry_budget=UNBOUNDED_BUDGET))


@without("retries")
def _no_retries() -> Variant:
    return Variant(
        adapt_settings=lambda s: replace(s, retry_budget=0.0, retry_reserve=0.0)
    )


# What arrivals say


def _resume_never(arrival: Arrival) -> Arrival:
    if not arrival.streaming:
        return arrival
    pipeline = arrival.pipeline
    stages = tuple(replace(stage, repeatable=False) for stage in pipeline.stages)
    return replace(arrival, pipeline=replace(pipeline, stages=stages))


@without("ranks")
def _no_ranks() -> Variant:
    return Variant(adapt_arrival=lambda arrival: replace(arrival, priority=0))


@without("patience")
def _no_patience() -> Variant:
    return Variant(adapt_arrival=lambda arrival: replace(arrival, leaves_at=0.0))


@without("resumption")
def _no_resumption() -> Variant:
    return Variant(adapt_arrival=_resume_never)
