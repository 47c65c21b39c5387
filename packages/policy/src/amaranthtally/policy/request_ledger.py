"""The requests in flight; each is opened exactly once and closed exactly once."""

from dataclasses import dataclass

from amaranthtally.policy.actions import (
    Action,
    Answer,
    Cancel,
    RefusalReason,
    Refuse,
    RequestOutcome,
)
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.loads import EndpointLoad, LoadTable
from amaranthtally.policy.memory_budget import EndpointMemory
from amaranthtally.policy.model import AttemptId
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.result_memory import EngineMemory

__all__ = ["Counters", "RequestLedger"]


@dataclass(slots=True)
class Counters:
    """Numbers of requests, attempts and ejections since the planner's start."""

    admitted: int = 0
    refused_on_arrival: int = 0
    answered: int = 0
    refused: int = 0
    disconnected: int = 0
    retries: int = 0
    hedges: int = 0
    probes: int = 0
    ejections: int = 0
    cross_region: int = 0


class RequestLedger:
    """
    Holds the requests in flight and their attempts.

    Keeps the counts of pending requests and outstanding attempts, by pool and by
    endpoint, consistent with them.
    """

    def __init__(
        self,
        loads: LoadTable,
        memory: EndpointMemory,
        engine_memory: EngineMemory | None = None,
    ) -> None:
        self._loads = loads
        self._memory = memory
        self._engine_memory = engine_memory
        self._requests: dict[str, Request] = {}
        self._counters = Counters()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def counters(self) -> Counters:
        """Totals since the start."""
        return self._counters

    @property
    def requests(self) -> tuple[Request, ...]:
        """All requests in flight."""
        return tuple(self._requests.values())

    def find(self, request_id: str) -> Request | None:
        """Return a request in flight, or ``None``."""
        return self._requests.get(request_id)

    # Requests

    def open(self, arrival: Arrival) -> Request:
        """Add an admitted request."""
        ensure(arrival.request_id not in self._requests, "request ids are unique")
        request = Request(arrival)
        self._requests[arrival.request_id] = request
        self._counters.admitted += 1
        for stage in arrival.pipeline.stages:
            self._loads.pool(stage.pool).pending += 1
        return request

    def advance_stage(self, request: Request) -> bool:
        """Advance a request to its next stage; false if there is none."""
        ensure(not request.live, "a stage ends without live attempts")
        self._remove_pending(request.current_stage.pool)
        request.next_stage()
        return bool(request.remaining)

    def close_answered(self, request: Request) -> Answer:
        """Close a request whose stages have all finished."""
        self._close(request)
        self._counters.answered += 1
        return Answer(request.id)

    def close_refused(
        self, request: Request, reason: RefusalReason, retry_after_s: float
    ) -> list[Action]:
        """Close a request without an answer, and cancel its live attempts."""
        outcome = (
            RequestOutcome.NOT_RUN
            if request.nothing_started
            else RequestOutcome.UNKNOWN
        )
        cancels = self.cancel_all(request)
        # A cancelled attempt does not count as not run: cancels are not confirmed, and
        # the endpoint may have started the attempt before the cancel arrives.
        ensure(
            outcome is RequestOutcome.UNKNOWN or not cancels,
            "not_run is reported only if no attempt may have started",
        )
        self._close(request)
        self._counters.refused += 1
        return [*cancels, Refuse(request.id, outcome, reason, retry_after_s)]

    def close_disconnected(self, request: Request) -> list[Action]:
        """Close a request whose caller has disconnected."""
        cancels = self.cancel_all(request)
        self._close(request)
        self._counters.disconnected += 1
        return cancels

    # Attempts

    def add_attempt(
        self, request: Request, load: EndpointLoad, attempt: LiveAttempt
    ) -> AttemptId:
        """Add an attempt that is about to be sent."""
        ensure(
            self._requests.get(request.id) is request,
            "attempts are sent only for requests in flight",
        )
        # A bound request is sent to its endpoint even if that is leaving: it can't run
        # anywhere else, and the sidecar may have the result of an earlier attempt. A
        # leaving sidecar does not start new calls.
        bound = request.bound_to == load.endpoint.id
        ensure(bound or not load.leaving, "a leaving endpoint gets no new work")
        stage = request.current_stage
        ensure(
            stage.repeatable or not request.live,
            "a stage that must not be repeated has at most one live attempt",
        )
        request.stage_attempts += 1
        request.attempts_sent += 1
        attempt_id = AttemptId(request.id, request.stage_index, request.stage_attempts)
        request.live[attempt_id] = attempt
        self._loads.add_attempt(load)
        attempt.held = self._memory.sent(
            attempt.endpoint, stage.pool, attempt.incarnation, request.sent_bytes
        )
        if self._engine_memory is not None:
            self._engine_memory.attempt_added(
                attempt_id, attempt.endpoint, request.segments
            )
        load.pending_prefill_tokens += attempt.pending_prefill_tokens
        return attempt_id

    def remove_attempt(self, request: Request, attempt_id: AttemptId) -> LiveAttempt:
        """Remove an attempt that has ended or is being cancelled."""
        attempt = request.live.pop(attempt_id)
        self.mark_prefill_done(attempt)
        if attempt.held is not None:
            self._memory.ended(attempt.held)
        if self._engine_memory is not None:
            self._engine_memory.attempt_removed(attempt_id)
        self._loads.remove_attempt(attempt.endpoint, request.current_stage.pool)
        return attempt

    def mark_prefill_done(self, attempt: LiveAttempt) -> None:
        """Stop counting the prompt tokens of an attempt as pending at its endpoint."""
        load = self._loads.find(attempt.endpoint)
        if load is not None:
            # An endpoint that was removed and registered again has restarted from 0.
            load.pending_prefill_tokens = max(
                0, load.pending_prefill_tokens - attempt.pending_prefill_tokens
            )
            self._loads.note_changed(attempt.endpoint)
        attempt.pending_prefill_tokens = 0

    def restore_attempt(
        self, request: Request, attempt_id: AttemptId, attempt: LiveAttempt
    ) -> None:
        """Add a lost attempt again while its sidecar is queried for its outcome."""
        ensure(
            self._requests.get(request.id) is request,
            "attempts are queried only for requests in flight",
        )
        load = self._loads.find(attempt.endpoint)
        ensure(load is not None, "only known endpoints are queried")
        attempt.queries += 1
        request.live[attempt_id] = attempt
        if attempt.held is not None:
            held = attempt.held
            attempt.held = self._memory.sent(
                held.endpoint, held.pool, held.incarnation, request.sent_bytes
            )
        if self._engine_memory is not None:
            self._engine_memory.attempt_added(
                attempt_id, attempt.endpoint, request.segments
            )
        if load is not None:
            self._loads.add_attempt(load)

    def cancel_all(self, request: Request) -> list[Action]:
        """Remove all live attempts of a request and return their cancels."""
        cancels: list[Action] = []
        for attempt_id in list(request.live):
            endpoint = self.remove_attempt(request, attempt_id).endpoint
            cancels.append(Cancel(attempt_id, endpoint))
        return cancels

    def _remove_pending(self, pool: str) -> None:
        load = self._loads.pool(pool)
        load.pending -= 1
        ensure(load.pending >= 0, "a pool's pending requests are not negative")

    def _close(self, request: Request) -> None:
        ensure(
            self._requests.pop(request.id, None) is request,
            "an admitted request ends exactly once",
        )
        for stage in request.remaining:
            self._remove_pending(stage.pool)
        counters = self._counters
        # The caller counts the request that is being closed after this returns.
        ended = counters.answered + counters.refused + counters.disconnected + 1
        ensure(
            counters.admitted == ended + len(self._requests),
            "every admitted request is in flight or ended",
        )
