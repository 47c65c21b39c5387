"""Admission of requests on arrival, and retry times for those that are refused."""

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from amaranthtally.policy.actions import RefusalReason
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.fair_shares import FairShares
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import Stage
from amaranthtally.policy.stage_times import StageTimes
from amaranthtally.policy.usage_messages import Resource

__all__ = ["ADMITTED", "Admission", "AdmissionDecision"]

# Share of a retry time that is added at random, at most.
RETRY_JITTER = 0.25
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The reason for a refusal, ``None`` if admitted; ``retry_after_s`` in seconds."""

    reason: RefusalReason | None = None
    retry_after_s: float = 0.0


class _Backlog(NamedTuple):
    wait_s: float
    mean_s: float
    idle: bool


ADMITTED = AdmissionDecision()


class Admission:
    """
    Admits requests that are predicted to finish within a share of their deadline.

    A pool's predicted wait includes all admitted requests that have not yet finished
    their stage in it. A burst thus counts as soon as it arrives, and not only when it
    reaches the slow stage. The wait of a request is the longest of its pools' waits and
    not their sum, since the other pools drain while work queues at the slowest.
    """

    def __init__(
        self,
        random: Random,
        times: StageTimes,
        loads: LoadTable,
        accounts: FairShares,
    ) -> None:
        self._random = random
        self._times = times
        self._loads = loads
        self._accounts = accounts
        self._headroom = 1.0

    def configure(self, headroom: float) -> None:
        """Set the share of a deadline within which requests must finish."""
        self._headroom = headroom

    def decide(self, now: float, arrival: Arrival) -> AdmissionDecision:
        """Admit or refuse a request, and count its work for its account."""
        stages = arrival.pipeline.stages
        work_s = self._times.median_s(stages)
        self._accounts.add_offered(now, arrival.account, work_s)
        rate_wait_s = self._accounts.rate_wait_s(now, arrival.account)
        if rate_wait_s > 0:
            return self.refuse(RefusalReason.ACCOUNT_LIMIT, rate_wait_s)
        if self._accounts.is_used:
            return self._decide_by_fleet(now, arrival, work_s)
        decision = self._check_backlog(now, arrival)
        if decision.reason is None:
            self._accounts.add_admitted(arrival.account, work_s)
        return decision

    def retry_after_s(self, now: float, stages: tuple[Stage, ...]) -> float:
        """Return the seconds until the longest backlog has drained, with jitter."""
        wait_s = max(
            (self._backlog(now, stage).wait_s for stage in stages), default=0.0
        )
        return self._add_jitter(wait_s)

    def _decide_by_fleet(
        self, now: float, arrival: Arrival, work_s: float
    ) -> AdmissionDecision:
        """
        Admit or refuse a request by its account's share of engine time.

        A request with pieces is counted as admitted only with its pieces.
        """
        self._accounts.offer(now, arrival, Resource.ENGINES, work_s)
        decision = self._check_backlog(now, arrival, is_fleet=True)
        if decision.reason is not None:
            return decision
        self._accounts.add_admitted(arrival.account, work_s)
        if arrival.piece_work is None:
            self._accounts.admit(now, arrival, Resource.ENGINES, work_s)
        return decision

    def _check_backlog(
        self, now: float, arrival: Arrival, is_fleet: bool = False
    ) -> AdmissionDecision:
        stages = arrival.pipeline.stages
        backlog = max((self._backlog(now, s) for s in stages), key=lambda b: b.wait_s)
        slowest = self._times.slowest(stages)
        # With nothing pending, run times measured earlier don't count: a stage that was
        # once slower than the deadline would otherwise be refused for ever, as no
        # request would run that could show that it has recovered.
        if backlog.wait_s == 0.0 and self._backlog(now, slowest).idle:
            return ADMITTED
        remaining_s = arrival.deadline - now
        needed_s = self._times.needed_s(stages)
        if needed_s > remaining_s:
            return self.refuse(RefusalReason.OVERLOAD, backlog.wait_s)
        max_wait_s = max(0.0, remaining_s * self._headroom - needed_s)
        if is_fleet:
            return self._check_share(now, arrival, backlog.wait_s, max_wait_s)
        fair_wait_s = max_wait_s * self._accounts.allowance(now, arrival.account)
        allowed_wait_s = min(max_wait_s, max(fair_wait_s, backlog.mean_s))
        if backlog.wait_s <= allowed_wait_s:
            return ADMITTED
        reason = (
            RefusalReason.OVERLOAD
            if fair_wait_s >= max_wait_s
            else RefusalReason.ACCOUNT_LIMIT
        )
        return self.refuse(reason, backlog.wait_s - allowed_wait_s)

    def _check_share(
        self, now: float, arrival: Arrival, wait_s: float, max_wait_s: float
    ) -> AdmissionDecision:
        """Admit a request if its account may wait for so long."""
        allowed_wait_s = self._accounts.allowed_wait_s(
            now, arrival.account, Resource.ENGINES, max_wait_s
        )
        if wait_s <= allowed_wait_s:
            return ADMITTED
        after_s, spread_s = self._accounts.return_times_s(
            now, arrival.account, Resource.ENGINES
        )
        decision = self.refuse(
            RefusalReason.ACCOUNT_LIMIT
            if allowed_wait_s < max_wait_s
            else RefusalReason.OVERLOAD,
            max(wait_s - allowed_wait_s, after_s) + spread_s * self._random.random(),
        )
        self._accounts.refused(
            now, arrival, Resource.ENGINES, max_wait_s, decision.retry_after_s
        )
        return decision

    def _backlog(self, now: float, stage: Stage) -> _Backlog:
        pool = self._loads.pool(stage.pool)
        # Work queues only while every slot is busy, when batched calls are slowest.
        mean_s = self._times.stats_for(stage).peak_mean_s
        return _Backlog(pool.wait_s(now, mean_s), mean_s, pool.pending == 0)

    def refuse(self, reason: RefusalReason, wait_s: float) -> AdmissionDecision:
        """Return a refusal with a retry time; jitter is added to ``wait_s``."""
        return AdmissionDecision(reason, self._add_jitter(wait_s))

    def _add_jitter(self, wait_s: float) -> float:
        # Callers that were refused at the same time would retry at the same time. The
        # jitter only adds to the wait, so that no one retries before it has passed.
        wait_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return wait_s * (1.0 + RETRY_JITTER * self._random.random())
