"""Requests that wait for a permit, or for the end of an endpoint's backoff."""

from collections import Counter
from typing import NamedTuple

from amaranthtally.policy.actions import Action, RefusalReason
from amaranthtally.policy.dispatch import Dispatcher
from amaranthtally.policy.refusals import Refusals
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import Request
from amaranthtally.policy.sending import SendGate

__all__ = ["PermitWaits"]

# How long a request waits for a permit or a backoff at most, in seconds. One
# that would wait longer is refused at once, and its caller may be served by another
# entry.
PERMIT_WAIT_S = 0.5


class _Wait(NamedTuple):
    request_id: str
    pool: str
    until: float


class PermitWaits:
    """Sends waiting requests in order of arrival, and refuses those that wait long."""

    def __init__(
        self,
        gate: SendGate,
        dispatcher: Dispatcher,
        ledger: RequestLedger,
        refusals: Refusals,
    ) -> None:
        self._gate = gate
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._refusals = refusals
        self._waits: dict[str, _Wait] = {}

    def add(self, now: float, request: Request) -> list[Action]:
        """Let a request wait if a wait is all that it lacks, or else refuse it."""
        pool = request.current_stage.pool
        wait = self._gate.wait(now, pool, request.regions)
        if wait is None:
            reason = self._gate.refusal_reason([pool], request.regions)
            if reason is None and self._dispatcher.is_memory_full(now, request):
                reason = RefusalReason.OVERLOAD
            return self._refusals.refuse(
                now, request, reason or RefusalReason.NO_ENDPOINT
            )
        if wait.wait_s > PERMIT_WAIT_S:
            return self._refusals.refuse(now, request, wait.reason, wait.wait_s)
        self._waits[request.id] = _Wait(request.id, pool, now + PERMIT_WAIT_S)
        return []

    def tick(self, now: float) -> list[Action]:
        """Send the requests that may be sent now."""
        if not self._waits:
            return []
        counts = Counter(wait.pool for wait in self._waits.values())
        self._gate.requests_wait(counts)
        actions: list[Action] = []
        for wait in list(self._waits.values()):
            ended = self._end(now, wait)
            if ended is not None:
                del self._waits[wait.request_id]
                actions += ended
        return actions

    def _end(self, now: float, wait: _Wait) -> list[Action] | None:
        """Return what ends a wait, ``None`` if it goes on."""
        request = self._ledger.find(wait.request_id)
        if request is None:
            return []
        restriction = self._gate.wait(now, wait.pool, request.regions)
        wait_s = restriction.wait_s if restriction else 0.0
        left_s = wait.until - now
        if 0.0 < wait_s <= left_s:
            return None
        sent = self._dispatcher.send_waiting(now, request)
        if sent:
            return sent
        if wait_s == 0.0 and left_s > 0.0:
            return None
        reason = restriction.reason if restriction else RefusalReason.OVERLOAD
        return self._refusals.refuse(now, request, reason, wait_s)
