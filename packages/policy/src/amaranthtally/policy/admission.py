"""Whether a request is admitted on arrival, and when a refused one may come back."""

from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from amaranthtally.policy.accounts import AccountShares
from amaranthtally.policy.actions import RefusalReason
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import Stage
from amaranthtally.policy.stage_times import StageTimes

__all__ = ["ADMITTED", "Admission", "AdmissionDecision"]

RETRY_JITTER = 0.25
LEAST_RETRY_AFTER_S = 0.05
LONGEST_RETRY_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Why a request is refused, or no reason; ``retry_after_s`` in seconds."""

    reason: RefusalReason | None = None
    retry_after_s: float = 0.0


class _Backlog(NamedTuple):
    wait_s: float
    mean_s: float
    idle: bool


ADMITTED = AdmissionDecision()


class Admission:
    """
    Admits what is predicted to finish within a part of its deadline.

    Each pool's wait counts every admitted request that has yet to pass it, so a
    burst is seen on arrival and not when it has reached the slow stage. While
    work waits at one stage, the earlier ones drain: the longest wait counts, not
    the sum.
    """

    def __init__(
        self,
        random: Random,
        times: StageTimes,
        loads: LoadTable,
        accounts: AccountShares,
    ) -> None:
        self._random = random
        self._times = times
        self._loads = loads
        self._accounts = accounts
        self._headroom = 1.0

    def configure(self, headroom: float) -> None:
        """Let predicted completions use this share of a deadline."""
        self._headroom = headroom

    def decide(self, now: float, arrival: Arrival) -> AdmissionDecision:
        """Decide, and count the request for its account."""
        stages = arrival.pipeline.stages
        work_s = self._times.median_s(stages)
        self._accounts.offered(now, arrival.account, work_s)
        rate_wait = self._accounts.rate_wait_s(now, arrival.account)
        if rate_wait > 0:
            return self.refused(RefusalReason.ACCOUNT_LIMIT, rate_wait)
        verdict = self._judge_backlog(now, arrival)
        if verdict.reason is None:
            self._accounts.admitted(arrival.account, work_s)
        return verdict

    def retry_after_s(self, now: float, stages: tuple[Stage, ...]) -> float:
        """Return when to come back: once the longest backlog has drained."""
        wait = max((self._backlog(now, stage).wait_s for stage in stages), default=0.0)
        return self._spread(wait)

    def _judge_backlog(self, now: float, arrival: Arrival) -> AdmissionDecision:
        stages = arrival.pipeline.stages
        backlog = max((self._backlog(now, s) for s in stages), key=lambda b: b.wait_s)
        slowest = self._times.slowest(stages)
        # An idle pool admits whatever its past: a stage that was slow for a while
        # would otherwise be refused for ever, as nothing ran to show otherwise.
        if backlog.wait_s == 0.0 and self._backlog(now, slowest).idle:
            return ADMITTED
        budget = arrival.deadline - now
        needed = self._times.needed_s(stages)
        if needed > budget:
            return self.refused(RefusalReason.OVERLOAD, backlog.wait_s)
        room = max(0.0, budget * self._headroom - needed)
        fair = room * self._accounts.allowance(now, arrival.account)
        allowed = min(room, max(fair, backlog.mean_s))
        if backlog.wait_s <= allowed:
            return ADMITTED
        reason = RefusalReason.OVERLOAD if fair >= room else RefusalReason.ACCOUNT_LIMIT
        return self.refused(reason, backlog.wait_s - allowed)

    def _backlog(self, now: float, stage: Stage) -> _Backlog:
        pool = self._loads.pool(stage.pool)
        # While work waits, every slot is taken, and batches are at their slowest.
        mean_s = self._times.of(stage).peak_mean_s
        return _Backlog(pool.wait_s(now, mean_s), mean_s, pool.pending == 0)

    def refused(self, reason: RefusalReason, wait_s: float) -> AdmissionDecision:
        """Return a refusal that names a time to come back, spread a little."""
        return AdmissionDecision(reason, self._spread(wait_s))

    def _spread(self, wait_s: float) -> float:
        # Callers refused together would come back together; a little jitter
        # spreads them, and never asks one to come before its backlog has gone.
        wait_s = min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s))
        return wait_s * (1.0 + RETRY_JITTER * self._random.random())
