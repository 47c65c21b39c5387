"""Decides what follows an attempt that failed, was lost or was overtaken."""

from collections.abc import Callable

from amaranthtally.policy.actions import (
    Action,
    Cancel,
    QueryAttempt,
    RefusalReason,
)
from amaranthtally.policy.dispatch import Dispatcher
from amaranthtally.policy.events import AttemptOutcome, AttemptResult
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import AttemptId
from amaranthtally.policy.outcome_recorder import OutcomeRecorder
from amaranthtally.policy.prompt_checks import PromptChecks
from amaranthtally.policy.refusals import Refusals
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.sending import SendGate

__all__ = ["FailedAttempts", "RecomputeInputs"]

# Maximum number of times that a stage is sent again after attempts that failed or did
# not run: more than a small pool has endpoints, so that a rolling restart of the pool
# makes no request fail.
MAX_RESENDS = 4
# Maximum number of queries for an attempt's outcome. There may be several, as the
# connection may be reset during a query too.
MAX_QUERIES = 3
# Cost of a retry after a failed attempt, in tokens of the retry budget.
FAILURE_COST = 1.0

RecomputeInputs = Callable[[float, Request, float], list[Action]]


class FailedAttempts:
    """
    Sends requests again, or refuses them.

    ``recompute`` has a request's inputs computed again before it is sent, at a cost in
    tokens of the retry budget.
    """

    def __init__(
        self,
        ledger: RequestLedger,
        loads: LoadTable,
        dispatcher: Dispatcher,
        outcome_recorder: OutcomeRecorder,
        refusals: Refusals,
        prompt_checks: PromptChecks,
        gate: SendGate,
        recompute: RecomputeInputs,
    ) -> None:
        self._ledger = ledger
        self._loads = loads
        self._dispatcher = dispatcher
        self._outcome_recorder = outcome_recorder
        self._refusals = refusals
        self._prompt_checks = prompt_checks
        self._gate = gate
        self._recompute = recompute
        self._not_run_cost = 0.0

    def configure(self, not_run_cost: float) -> None:
        """Set the cost of a retry after an attempt that provably did not run."""
        self._not_run_cost = not_run_cost

    def query_outcome(
        self, now: float, request: Request, attempt: AttemptId, lost: LiveAttempt
    ) -> list[Action]:
        """Ask for the outcome of an attempt whose connection was lost."""
        load = self._loads.find(lost.endpoint)
        if lost.queries >= MAX_QUERIES or load is None:
            return self._refusals.refuse(now, request, RefusalReason.STAGE_FAILED)
        self._ledger.restore_attempt(request, attempt, lost)
        return [QueryAttempt(attempt, lost.endpoint)]

    def attempt_failed(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> list[Action]:
        """Send a request again after an attempt that failed, or refuse it."""
        not_run = result.outcome is AttemptOutcome.NOT_RUN
        request.attempts_not_run += not_run
        request.stage_attempts_not_run += not_run
        self._outcome_recorder.attempt_failed(now, request, ended, result)
        if request.live:
            return []
        if not result.inputs_missing:
            request.excluded |= {ended.endpoint}
        reason = RefusalReason.OVERLOAD if not_run else RefusalReason.STAGE_FAILED
        may_resend = (
            request.current_stage.repeatable or not_run
        ) and request.has_attempts_left
        if result.permanent or not may_resend or request.resends >= MAX_RESENDS:
            return self._refusals.refuse(now, request, reason, result.retry_after_s)
        if self._refusals.cannot_meet_deadline(now, request):
            return self._refusals.refuse_late(now, request, result.retry_after_s)
        if self._prompt_checks.is_blocked(request, is_retry=True):
            return self._prompt_checks.refuse(now, request)
        cost = self._retry_cost(request, ended, not_run)
        if request.arrival.piece_work is not None and (
            result.inputs_missing or not request.inputs
        ):
            return self._recompute(now, request, cost)
        actions = self._dispatcher.retry(now, request, cost)
        if actions:
            return actions
        # Of several backoffs, the first to end counts.
        wait = self._gate.wait(now, request.current_stage.pool, request.regions)
        retry_after_s = wait.wait_s if wait and not_run else result.retry_after_s
        return self._refusals.refuse(now, request, reason, retry_after_s)

    def _retry_cost(self, request: Request, ended: LiveAttempt, not_run: bool) -> float:
        """
        Return the budget cost of another attempt.

        A retry is free if the endpoint refused the attempt because it is leaving or
        lacks the model. Such an endpoint gets no second attempt, so that the number of
        free retries is bounded by that of endpoints. Otherwise a rolling restart could
        use up the retries of a request that one endpoint is still able to serve.
        """
        load = self._loads.find(ended.endpoint)
        if (
            not_run
            and load is not None
            and not load.accepts(request.current_stage.model)
        ):
            return 0.0
        return self._not_run_cost if not_run else FAILURE_COST

    def cancel_overtaken(
        self, now: float, request: Request, ahead: LiveAttempt
    ) -> list[Action]:
        """
        Cancel earlier attempts that have fewer chunks than a later one.

        Attempts at another version than the first chunk's are cancelled too, as what
        they would send does not fit to it. Of a stage without hedges only one goes on:
        its caller would get the events of both.
        """
        goes_on_alone = not request.current_stage.hedges
        overtaken = [
            attempt
            for attempt, live in request.live.items()
            if (goes_on_alone and live is not ahead)
            or live.version != request.version
            or (
                live.sent_at < ahead.sent_at
                and live.stream.chunks < ahead.stream.chunks
            )
        ]
        actions: list[Action] = []
        for attempt in overtaken:
            loser = self._ledger.remove_attempt(request, attempt)
            self._outcome_recorder.attempt_overtaken(now, loser, ahead)
            actions.append(Cancel(attempt, loser.endpoint))
        return actions
