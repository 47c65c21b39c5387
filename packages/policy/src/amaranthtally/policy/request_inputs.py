"""Admits requests by the predicted time of their stages, and frees their inputs."""

from collections import deque
from random import Random
from typing import NamedTuple

from amaranthtally.policy.actions import Action, RefusalReason
from amaranthtally.policy.admission import ADMITTED, AdmissionDecision
from amaranthtally.policy.events import Arrival, PieceWork
from amaranthtally.policy.fair_shares import FairShares
from amaranthtally.policy.home_regions import Regions
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import Request
from amaranthtally.policy.stage_times import StageTimes
from amaranthtally.policy.usage_messages import Resource

__all__ = ["RequestInputs"]

# Least time after which callers are told to retry a refused request, in seconds: the
# time of two or three calls. Bursts last for several seconds, and a caller that retries
# during the same burst is refused a second time.
MIN_RETRY_AFTER_S = 0.8
# Time from sending a request until its engine has fetched the inputs, in seconds: three
# round trips, and the transfer of a few results of 1.5 MB.
FETCH_S = 0.1


class _Fetch(NamedTuple):
    """The time stamp by which a request's engine has fetched its inputs."""

    done_at: float
    request_id: str


class RequestInputs:
    """Admits requests by their stages, and frees the inputs that engines have read."""

    def __init__(
        self,
        random: Random,
        coordinator: PieceCoordinator,
        times: StageTimes,
        accounts: FairShares,
    ) -> None:
        self._random = random
        self._coordinator = coordinator
        self._times = times
        self._accounts = accounts
        self._fetches: deque[_Fetch] = deque()

    def decide(
        self,
        now: float,
        arrival: Arrival,
        work: PieceWork,
        regions: Regions | None = None,
    ) -> AdmissionDecision:
        """
        Refuse a request whose pieces are predicted to miss their deadline.

        The endpoints for pieces are the first to be overloaded. A piece that waits
        there past its deadline delays requests that could still be answered.
        """
        needed_s = self._coordinator.plans.predicted_time_s(
            now, work.stages, work.counts, arrival.priority, regions
        )
        if self._accounts.is_used:
            return self._decide_by_fleet(now, arrival, work, needed_s)
        excess_s = now + needed_s - self.pieces_deadline(arrival)
        if excess_s <= 0:
            return ADMITTED
        return AdmissionDecision(
            RefusalReason.OVERLOAD, max(excess_s, self.retry_after_s(now, arrival))
        )

    def _decide_by_fleet(
        self, now: float, arrival: Arrival, work: PieceWork, needed_s: float
    ) -> AdmissionDecision:
        """Admit or refuse a request by its account's share of stage time."""
        plans = self._coordinator.plans
        stages_s = plans.work_s(work.stages, work.counts)
        engines_s = self._times.median_s(arrival.pipeline.stages)
        self._accounts.offer(now, arrival, Resource.STAGES, stages_s)
        idle_s = plans.idle_time_s(work.stages, work.counts)
        max_wait_s = self.pieces_deadline(arrival) - now - idle_s
        allowed_wait_s = self._accounts.allowed_wait_s(
            now, arrival.account, Resource.STAGES, max_wait_s
        )
        excess_s = needed_s - idle_s - allowed_wait_s
        if excess_s <= 0:
            self._accounts.admit(now, arrival, Resource.STAGES, stages_s)
            self._accounts.admit(now, arrival, Resource.ENGINES, engines_s)
            return ADMITTED
        self._accounts.withdraw(now, arrival, Resource.ENGINES, engines_s)
        after_s, spread_s = self._accounts.return_times_s(
            now, arrival.account, Resource.STAGES
        )
        wait_s = max(excess_s, after_s, self.retry_after_s(now, arrival))
        wait_s += spread_s * self._random.random()
        self._accounts.refused(now, arrival, Resource.STAGES, max_wait_s, wait_s)
        return AdmissionDecision(
            RefusalReason.ACCOUNT_LIMIT
            if allowed_wait_s < max_wait_s
            else RefusalReason.OVERLOAD,
            wait_s,
        )

    def pieces_deadline(self, arrival: Arrival) -> float:
        """
        Return the time stamp by which the pieces of a request must be done.

        Results that are ready later leave the engine no time to answer. The caller
        would wait until its deadline, and not be told when to retry.
        """
        run_s = self._times.floor_s(arrival.pipeline.stages)
        return min(arrival.latest_start, arrival.deadline - run_s)

    def retry_after_s(self, now: float, arrival: Arrival) -> float:
        """Return after how many seconds to retry a request refused for overload."""
        if arrival.piece_work is None:
            return 0.0
        backlog_s = self._coordinator.plans.backlog_s(
            now, arrival.piece_work.stages, arrival.priority
        )
        return max(MIN_RETRY_AFTER_S, backlog_s) * (1.0 + self._random.random())

    def note_sent(self, now: float, request: Request) -> None:
        """Record that a request is sent to the engine that fetches its inputs."""
        if request.inputs:
            self._fetches.append(_Fetch(now + FETCH_S, request.id))

    def free_fetched(self, now: float, ledger: RequestLedger) -> list[Action]:
        """
        Return actions that free the inputs that engines have fetched by now.

        An endpoint has memory for about ten results of the largest kind. An engine
        fetches the inputs when a request arrives, and sends its first token 0.3 s
        later. If the inputs were freed only then, they would occupy twice the share.
        """
        actions: list[Action] = []
        while self._fetches and self._fetches[0].done_at <= now:
            request = ledger.find(self._fetches.popleft().request_id)
            if request is None or not request.live or not request.inputs:
                continue
            # A request that was sent again is fetched anew, by another engine.
            sent_at = max(attempt.sent_at for attempt in request.live.values())
            if sent_at + FETCH_S > now:
                self._fetches.append(_Fetch(sent_at + FETCH_S, request.id))
            else:
                actions += self.free(now, request)
        return actions

    def free(self, now: float, request: Request) -> list[Action]:
        """Return actions that free a request's inputs, as its engine has read them."""
        if not request.inputs:
            return []
        request.inputs = ()
        return self._coordinator.free_inputs(now, request.id)
