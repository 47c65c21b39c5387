"""Checks whether an entry's requests are such that endpoints end on them."""

from collections.abc import Mapping

from amaranthtally.policy.actions import (
    Action,
    RefusalReason,
    Refuse,
    RequestOutcome,
)
from amaranthtally.policy.events import Arrival, AttemptOutcome, AttemptResult
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.part_losses import EndpointStart
from amaranthtally.policy.part_successes import PartKey
from amaranthtally.policy.prompt_guard import PromptGuard
from amaranthtally.policy.refusals import Refusals
from amaranthtally.policy.request_key import RequestKey
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import LiveAttempt, Request

__all__ = ["PromptChecks"]

# An attempt whose connection is lost sooner than this, in seconds, and without any part
# of a response, may never have been accepted: an endpoint resets the connections beyond
# its limit, goes on with the others, and has not ended.
ACCEPTED_AFTER_S = 0.05


class PromptChecks:
    """Refuses requests with a blocked part, and notes what the others show."""

    def __init__(
        self, guard: PromptGuard, ledger: RequestLedger, refusals: Refusals
    ) -> None:
        self._guard = guard
        self._ledger = ledger
        self._refusals = refusals
        self._endpoints: Mapping[str, Endpoint] = {}
        self._trials: set[str] = set()

    # Requests

    def refusal(self, now: float, arrival: Arrival) -> Refuse | None:
        """Return the refusal of a request that arrives with a blocked part."""
        part = self._guard.blocked_part(arrival.guarded_parts)
        if part is None:
            return None
        if self._guard.take_trial(now, part):
            self._trials.add(arrival.request_id)
            return None
        return Refuse(
            arrival.request_id,
            RequestOutcome.NOT_RUN,
            _reason(part),
            self._guard.wait_s(now, part),
        )

    def request_opened(self, request: Request) -> None:
        """Mark a request that is sent as a trial; it is sent once."""
        request.is_trial = request.id in self._trials
        self._trials.clear()

    def is_blocked(self, request: Request, *, is_retry: bool = False) -> bool:
        """Whether a request must not be sent, or not once more."""
        if request.is_trial:
            return is_retry
        return self._guard.blocked_part(request.arrival.guarded_parts) is not None

    def refuse(self, now: float, request: Request) -> list[Action]:
        """Refuse a request that is blocked."""
        part = self._guard.blocked_part(request.arrival.guarded_parts)
        wait_s = 0.0 if part is None else self._guard.wait_s(now, part)
        return self._refusals.refuse(now, request, _reason(part), wait_s)

    def refuse_all(self, now: float, part: PartKey) -> list[Action]:
        """Refuse all requests with a part, and cancel their attempts."""
        actions: list[Action] = []
        for request in self._ledger.requests:
            if part in request.arrival.guarded_parts and not request.chunks:
                actions += self.refuse(now, request)
        return actions

    # Evidence

    def attempt_ended(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> list[Action]:
        """Note what the end of an attempt shows of its request."""
        if result.unreachable:
            return self._guard.endpoint_unreachable(now, ended.endpoint)
        parts = request.arrival.guarded_parts
        start = EndpointStart(ended.endpoint, ended.incarnation)
        if result.outcome is AttemptOutcome.FINISHED:
            return self._guard.attempt_succeeded(
                now, start, parts, ended.sent_at, result.is_framed
            )
        if not result.connection_lost:
            return []
        registered = self._endpoints.get(ended.endpoint)
        if registered is not None and not registered.takes_calls:
            # It is leaving, and ends as planned.
            return []
        was_accepted = result.begun or now - ended.sent_at >= ACCEPTED_AFTER_S
        checks = self._guard.attempt_lost(
            now, start, parts, ended.sent_at, was_accepted
        )
        if registered is None or registered.incarnation != ended.incarnation:
            return self._guard.endpoint_unreachable(now, ended.endpoint)
        return checks

    def endpoint_closes_connections(self, now: float, endpoint: str) -> list[Action]:
        """Note that an endpoint closes new connections, unless it keeps older ones."""
        lost_at = self._guard.lost_at(endpoint)
        is_running = lost_at is not None and any(
            live.endpoint == endpoint and live.sent_at < lost_at
            for request in self._ledger.requests
            for live in request.live.values()
        )
        return [] if is_running else self._guard.endpoint_unreachable(now, endpoint)

    def endpoints_changed(
        self, now: float, endpoints: Mapping[str, Endpoint]
    ) -> list[Action]:
        """Note which endpoints are registered."""
        self._endpoints = endpoints
        return self._guard.endpoints_changed(now, endpoints)


def _reason(part: PartKey | None) -> RefusalReason:
    if isinstance(part, RequestKey):
        return RefusalReason.REQUEST_BLOCKED
    return RefusalReason.PROMPT_BLOCKED
