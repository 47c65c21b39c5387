"""Ends requests without an answer, some of them before their deadline."""

from amaranthtally.policy.actions import Action, RefusalReason
from amaranthtally.policy.admission import Admission
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import Request
from amaranthtally.policy.stage_times import StageTimes

__all__ = ["Refusals"]


class Refusals:
    """Closes requests that are refused, and tells which ones can't be in time."""

    def __init__(
        self,
        ledger: RequestLedger,
        times: StageTimes,
        loads: LoadTable,
        admission: Admission,
        coordinator: PieceCoordinator,
    ) -> None:
        self._ledger = ledger
        self._times = times
        self._loads = loads
        self._admission = admission
        self._coordinator = coordinator

    def refuse(
        self,
        now: float,
        request: Request,
        reason: RefusalReason,
        retry_after_s: float = 0.0,
    ) -> list[Action]:
        """Refuse a request; it may come back after ``retry_after_s`` or later."""
        backlog = self._admission.retry_after_s(now, request.remaining)
        freed = self._coordinator.close(now, request.id)
        wait_s = max(retry_after_s, backlog)
        return [*freed, *self._ledger.close_refused(request, reason, wait_s)]

    def refuse_late(
        self, now: float, request: Request, retry_after_s: float = 0.0
    ) -> list[Action]:
        """Refuse, before its deadline, a request that can't be answered by then."""
        # If no attempt has run, the caller may retry the request later.
        reason = (
            RefusalReason.OVERLOAD
            if request.nothing_started
            else RefusalReason.DEADLINE
        )
        return self.refuse(now, request, reason, retry_after_s)

    def should_refuse_late(self, now: float, request: Request) -> bool:
        """Whether to refuse a request before its next stage, as it would be late."""
        if not self.cannot_meet_deadline(now, request):
            return False
        # The stage may have recovered since its run times were measured. If no attempt
        # is outstanding in the pool of the slowest stage, the request is sent, so that
        # the stage is measured again; otherwise requests would be refused for ever.
        slowest = self._times.slowest(request.remaining)
        return self._loads.pool(slowest.pool).outstanding > 0

    def cannot_meet_deadline(self, now: float, request: Request) -> bool:
        """Whether even fast runs of the remaining stages would end too late."""
        floor = self._times.floor_s(request.remaining)
        return now + floor > request.arrival.deadline
