"""What requests read before they run: whether it can be made, and until when kept."""

from collections import deque
from random import Random
from typing import NamedTuple

from amaranthtally.policy.actions import Action, RefusalReason
from amaranthtally.policy.admission import ADMITTED, AdmissionDecision
from amaranthtally.policy.events import Arrival, PieceWork
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import Request
from amaranthtally.policy.stage_times import StageTimes

__all__ = ["RequestInputs"]

# When to come back at the soonest after pieces found no place, in seconds: the time of
# two or three calls. Bursts last for several seconds, and a caller that comes back into
# the same crowd is refused a second time.
LEAST_RETURN_S = 0.8
# When an engine has fetched a request's inputs, in seconds from its sending: three
# times the way there and back and the transfer of a few results of 1.5 MB.
FETCH_S = 0.1


class _Reading(NamedTuple):
    """When a request's engine has fetched its inputs."""

    at: float
    request_id: str


class RequestInputs:
    """Admits requests by the pieces that they need, and frees what they have read."""

    def __init__(
        self, random: Random, coordinator: PieceCoordinator, times: StageTimes
    ) -> None:
        self._random = random
        self._coordinator = coordinator
        self._times = times
        self._reading: deque[_Reading] = deque()

    def judge(self, now: float, arrival: Arrival, work: PieceWork) -> AdmissionDecision:
        """
        Refuse what its pieces alone would make late beyond use.

        Their endpoints are the first to be full: what waits there past its deadline
        takes the place of what could still be answered.
        """
        needed_s = self._coordinator.plans.predicted_s(
            now, work.stages, work.counts, arrival.priority
        )
        late_s = now + needed_s - self.pieces_deadline(arrival)
        if late_s <= 0:
            return ADMITTED
        return AdmissionDecision(
            RefusalReason.OVERLOAD, max(late_s, self.retry_after_s(now, arrival))
        )

    def pieces_deadline(self, arrival: Arrival) -> float:
        """
        Return the time stamp by which the pieces of a request must be made.

        Made later, they would reach an engine that has no time left to answer: the
        caller would be held to its deadline and then hear nothing of when to return.
        """
        run_s = self._times.floor_s(arrival.pipeline.stages)
        return min(arrival.latest_start, arrival.deadline - run_s)

    def retry_after_s(self, now: float, arrival: Arrival) -> float:
        """Return when a request that found no place may come back and find one."""
        if arrival.piece_work is None:
            return 0.0
        backlog_s = self._coordinator.plans.backlog_s(
            now, arrival.piece_work.stages, arrival.priority
        )
        return max(LEAST_RETURN_S, backlog_s) * (1.0 + self._random.random())

    def note_sent(self, now: float, request: Request) -> None:
        """Note that a request is sent to the engine that reads its inputs."""
        if request.inputs:
            self._reading.append(_Reading(now + FETCH_S, request.id))

    def free_fetched(self, now: float, ledger: RequestLedger) -> list[Action]:
        """
        Free the inputs of requests that their engines have fetched by now.

        Makers' memory holds some ten results of the largest kind. An engine fetches
        its inputs as a request comes, and answers with its first token 0.3 s later:
        freed then, they would take twice as long a share of it.
        """
        actions: list[Action] = []
        while self._reading and self._reading[0].at <= now:
            request = ledger.find(self._reading.popleft().request_id)
            if request is None or not request.live or not request.inputs:
                continue
            # One that was sent again is read by another engine, from then on.
            sent_at = max(attempt.sent_at for attempt in request.live.values())
            if sent_at + FETCH_S > now:
                self._reading.append(_Reading(sent_at + FETCH_S, request.id))
            else:
                actions += self.free(now, request)
        return actions

    def free(self, now: float, request: Request) -> list[Action]:
        """Free what a request has read, as it runs."""
        if not request.inputs:
            return []
        request.inputs = ()
        return self._coordinator.free_inputs(now, request.id)
