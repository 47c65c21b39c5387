"""Requests in flight and their attempts; each is opened once and closed once."""

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
from amaranthtally.policy.model import AttemptId
from amaranthtally.policy.requests import LiveAttempt, Request

__all__ = ["Counters", "RequestLedger"]


@dataclass(slots=True)
class Counters:
    """What the policy has done since its start, in requests and attempts."""

    admitted: int = 0
    refused_on_arrival: int = 0
    answered: int = 0
    refused: int = 0
    gone: int = 0
    retries: int = 0
    hedges: int = 0
    probes: int = 0
    ejections: int = 0
    away: int = 0


class RequestLedger:
    """Keeps requests, attempts and the sums that follow from them in step."""

    def __init__(self, loads: LoadTable) -> None:
        self._loads = loads
        self._requests: dict[str, Request] = {}
        self._counters = Counters()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def counters(self) -> Counters:
        """Totals since the start."""
        return self._counters

    def find(self, request_id: str) -> Request | None:
        """Return a request in flight, or ``None``."""
        return self._requests.get(request_id)

    # Requests

    def open(self, arrival: Arrival) -> Request:
        """Take an admitted request in."""
        ensure(arrival.request_id not in self._requests, "a request arrives once")
        request = Request(arrival)
        self._requests[arrival.request_id] = request
        self._counters.admitted += 1
        for stage in arrival.pipeline.stages:
            self._loads.pool(stage.pool).pending += 1
        return request

    def stage_done(self, request: Request) -> bool:
        """Go on to the next stage; false when there is none."""
        ensure(not request.live, "a stage ends with no attempt live")
        self._passed(request.current.pool)
        request.next_stage()
        return bool(request.remaining)

    def answered(self, request: Request) -> Answer:
        """End a request with its answer."""
        self._close(request)
        self._counters.answered += 1
        return Answer(request.id)

    def refused(
        self, request: Request, reason: RefusalReason, retry_after_s: float
    ) -> list[Action]:
        """End a request without an answer; its live attempts are cancelled."""
        outcome = (
            RequestOutcome.NOT_RUN
            if request.nothing_started
            else RequestOutcome.UNKNOWN
        )
        cancels = self.cancel_all(request)
        # Nothing may be reported as not run on the word of a cancel: that is sent,
        # not confirmed, and the endpoint may have started by the time it comes.
        ensure(
            outcome is RequestOutcome.UNKNOWN or not cancels,
            "not_run is only said where nothing started",
        )
        self._close(request)
        self._counters.refused += 1
        return [*cancels, Refuse(request.id, outcome, reason, retry_after_s)]

    def gone(self, request: Request) -> list[Action]:
        """End a request whose caller has gone."""
        cancels = self.cancel_all(request)
        self._close(request)
        self._counters.gone += 1
        return cancels

    # Attempts

    def sent(
        self, request: Request, load: EndpointLoad, attempt: LiveAttempt
    ) -> AttemptId:
        """Note an attempt that is sent now."""
        ensure(self._requests.get(request.id) is request, "nothing sent after an end")
        # What a request is bound to is the only place where it may have run: it is
        # asked there also when it leaves, and its sidecar starts nothing new.
        bound = request.bound_to == load.endpoint.id
        ensure(bound or not load.leaving, "no new work to a leaving endpoint")
        stage = request.current
        ensure(
            stage.repeatable or not request.live,
            "a stage that may not be repeated has one live attempt",
        )
        request.number += 1
        request.sent += 1
        attempt_id = AttemptId(request.id, request.stage, request.number)
        request.live[attempt_id] = attempt
        self._loads.add_attempt(load)
        load.pending_prefill_tokens += attempt.reading
        return attempt_id

    def ended(self, request: Request, attempt_id: AttemptId) -> LiveAttempt:
        """Note that an attempt has ended, or is no longer wanted."""
        attempt = request.live.pop(attempt_id)
        self.has_read(attempt)
        self._loads.remove_attempt(attempt.endpoint, request.current.pool)
        return attempt

    def has_read(self, attempt: LiveAttempt) -> None:
        """Note that an attempt's prompt is read, or is no longer wanted."""
        load = self._loads.find(attempt.endpoint)
        if load is not None:
            # One that was forgotten and registered anew starts from 0 again.
            load.pending_prefill_tokens = max(
                0, load.pending_prefill_tokens - attempt.reading
            )
        attempt.reading = 0

    def asked(
        self, request: Request, attempt_id: AttemptId, attempt: LiveAttempt
    ) -> None:
        """Take an attempt back as live, since its sidecar is asked about it."""
        ensure(self._requests.get(request.id) is request, "nothing asked after an end")
        load = self._loads.find(attempt.endpoint)
        ensure(load is not None, "only an endpoint that is known is asked")
        attempt.asks += 1
        request.live[attempt_id] = attempt
        if load is not None:
            self._loads.add_attempt(load)

    def cancel_all(self, request: Request) -> list[Action]:
        """Cancel every live attempt of a request."""
        cancels: list[Action] = []
        for attempt_id in list(request.live):
            endpoint = self.ended(request, attempt_id).endpoint
            cancels.append(Cancel(attempt_id, endpoint))
        return cancels

    def _passed(self, pool: str) -> None:
        load = self._loads.pool(pool)
        load.pending -= 1
        ensure(load.pending >= 0, "a pool's pending requests are not negative")

    def _close(self, request: Request) -> None:
        ensure(
            self._requests.pop(request.id, None) is request,
            "an admitted request ends exactly once",
        )
        for stage in request.remaining:
            self._passed(stage.pool)
        counters = self._counters
        # The one that is being closed is counted right after.
        ended = counters.answered + counters.refused + counters.gone + 1
        ensure(
            counters.admitted == ended + len(self._requests),
            "every admitted request is in flight or ended",
        )
