"""Refuses requests that no endpoint may serve where they may run."""

from amaranthtally.policy.actions import Action, Refuse, RequestOutcome
from amaranthtally.policy.admission import Admission
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.home_regions import Regions
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.refusals import Refusals
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.sending import SendGate

__all__ = ["PlaceChecks"]

# Least time after which a request that no endpoint may serve is told to come back, in
# seconds: operators and endpoints change places, which takes them longer than this.
RETRY_AFTER_S = 1.0


class PlaceChecks:
    """Checks home regions and evacuations, on arrival and when they change."""

    def __init__(
        self,
        gate: SendGate,
        ledger: RequestLedger,
        admission: Admission,
        refusals: Refusals,
        coordinator: PieceCoordinator,
    ) -> None:
        self._gate = gate
        self._ledger = ledger
        self._admission = admission
        self._refusals = refusals
        self._coordinator = coordinator

    def refusal(self, arrival: Arrival, regions: Regions | None) -> Refuse | None:
        """Return the refusal of a request without a place in these regions."""
        reason = self._gate.refusal_reason(_pools_of(arrival), regions)
        if reason is None:
            return None
        wait_s = self._admission.refuse(reason, RETRY_AFTER_S).retry_after_s
        return Refuse(arrival.request_id, RequestOutcome.NOT_RUN, reason, wait_s)

    def places_changed(self, now: float) -> list[Action]:
        """Confine requests in flight by new homes; refuse those without a place."""
        actions: list[Action] = []
        for request in self._ledger.requests:
            regions = self._gate.regions_of(request.arrival)
            if regions is None:
                # The homes of a pipeline that was dropped still bind its requests.
                regions = request.regions
            request.regions = regions
            self._coordinator.confine(request.id, regions)
            pools = [stage.pool for stage in request.remaining]
            reason = self._gate.refusal_reason(pools, regions)
            if reason is not None and not request.live:
                actions += self._refusals.refuse(now, request, reason, RETRY_AFTER_S)
        return actions


def _pools_of(arrival: Arrival) -> list[str]:
    """Return the pools that a request needs, those of its pieces included."""
    pools = [stage.pool for stage in arrival.pipeline.stages]
    work = arrival.piece_work
    if work is not None:
        counted = zip(work.stages, work.counts, strict=False)
        pools += [stage.pool for stage, count in counted if count]
    return pools
