"""Carries out the policy's actions and reports their results to it."""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import replace
from typing import Any

from amaranthtally.daemon.decision_loop import DecisionLoop
from amaranthtally.daemon.entry.attempts import AttemptRunner
from amaranthtally.daemon.entry.live_request import LiveRequest
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.outcome_queries import OutcomeQuerier, load_report
from amaranthtally.daemon.entry.sidecar_connections import SidecarConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import (
    Answer,
    AttemptId,
    AttemptResult,
    CacheEvent,
    Cancel,
    Endpoint,
    Planner,
    PolicySettings,
    PollLoad,
    QueryAttempt,
    RefusalReason,
    Refuse,
    RequestOutcome,
    Send,
)
from amaranthtally.wire import Load, PeerLostError

__all__ = ["Executor"]

RETRY_AFTER_S = 1.0

log = get_logger()


class Executor:
    """Runs the requests of one entry; the planner makes every decision."""

    def __init__(
        self,
        planner: Planner,
        settings: PolicySettings,
        metrics: EntryMetrics,
        supervisor: Supervisor,
    ) -> None:
        self._planner = planner
        self._metrics = metrics
        self._region = settings.region
        self._endpoints = settings.endpoints
        self._revision = settings.revision
        self._requests: dict[str, LiveRequest] = {}
        self._connections: SidecarConnections | None = None
        self._outcome_querier: OutcomeQuerier | None = None
        self._attempt_runner: AttemptRunner | None = None
        self._withdrawals: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._decisions = DecisionLoop(
            planner,
            {
                Send: self._send,
                Cancel: self._cancel,
                QueryAttempt: self._query_attempt,
                PollLoad: self._poll_load,
                Answer: self._answer,
                Refuse: self._refuse,
            },
            supervisor,
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return len(self._requests) + len(self._withdrawals)

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Registered endpoints by id."""
        return self._endpoints

    def set_connections(
        self, connections: SidecarConnections, outcome_querier: OutcomeQuerier
    ) -> None:
        """Set the connections and the querier, which are created after the executor."""
        self._connections = connections
        self._outcome_querier = outcome_querier
        self._attempt_runner = AttemptRunner(
            self, connections, outcome_querier, self._metrics, self._region
        )

    # Events

    def submit(self, request: LiveRequest) -> None:
        """Submit a request to the policy; ``request.events`` receives its result."""
        self._requests[request.id] = request
        self._decisions.wake()
        self._decisions.carry_out(
            self._planner.request_arrived(self._loop.time(), request.arrival)
        )

    def abandon(self, request: LiveRequest) -> None:
        """End a request whose caller has disconnected."""
        if self._requests.pop(request.id, None) is None:
            return
        self._decisions.carry_out(
            self._planner.caller_disconnected(self._loop.time(), request.id)
        )
        self._stop_attempts(request)
        log.info("request_abandoned", request_id=request.id)

    def settings_changed(self, settings: PolicySettings) -> None:
        """Apply newer settings to later decisions."""
        self._endpoints = settings.endpoints
        self._revision = settings.revision
        self._decisions.carry_out(
            self._planner.settings_changed(self._loop.time(), settings)
        )

    def load_changed(self, endpoint: str, load: Load) -> None:
        """Report a sidecar's load to the policy."""
        report = load_report(load)
        self._decisions.carry_out(
            self._planner.load_report(self._loop.time(), endpoint, report)
        )

    def endpoint_leaving(self, endpoint: str) -> None:
        """Report to the policy that an endpoint takes no new calls."""
        self._decisions.carry_out(
            self._planner.endpoint_leaving(self._loop.time(), endpoint)
        )

    def endpoint_restored(self, endpoint: str) -> None:
        """Report to the policy that an endpoint takes calls again."""
        self._decisions.carry_out(
            self._planner.endpoint_restored(self._loop.time(), endpoint)
        )

    async def tick(self) -> None:
        """Run the policy's time-driven decisions until cancelled."""
        await self._decisions.tick(lambda: bool(self._requests))

    def refuse_all(self) -> None:
        """Refuse all requests in flight as ``unknown``, since stages may have run."""
        for request in list(self._requests.values()):
            self._planner.caller_disconnected(self._loop.time(), request.id)
            self._refuse(
                Refuse(
                    request.id,
                    RequestOutcome.UNKNOWN,
                    RefusalReason.STOPPING,
                    RETRY_AFTER_S,
                )
            )

    # Actions

    def _send(self, send: Send) -> None:
        request = self._requests[send.attempt.request_id]
        # Look up the endpoint before the task starts: a settings change may remove the
        # endpoint before the task runs, and must not make a running request fail.
        endpoint = self._endpoint_for(request, send.attempt, send.endpoint)
        assert self._attempt_runner is not None
        work = self._attempt_runner.run(request, send, endpoint, self._revision)
        self._start(request, send.attempt, work)

    def _cancel(self, cancel: Cancel) -> None:
        request = self._requests.get(cancel.attempt.request_id)
        task = request.tasks.pop(cancel.attempt, None) if request else None
        if task is not None:
            task.cancel()

    def _query_attempt(self, query: QueryAttempt) -> None:
        request = self._requests[query.attempt.request_id]
        endpoint = self._endpoint_for(request, query.attempt, query.endpoint)
        assert self._attempt_runner is not None
        work = self._attempt_runner.query_outcome(request, query.attempt, endpoint)
        self._start(request, query.attempt, work)

    def _poll_load(self, poll: PollLoad) -> None:
        endpoint = self._endpoints.get(poll.endpoint)
        if endpoint is not None:
            self._decisions.spawn(self._poll_endpoint(endpoint))

    def _answer(self, answer: Answer) -> None:
        request = self._requests.pop(answer.request_id)
        self._stop_attempts(request)
        request.finish()

    def _refuse(self, refusal: Refuse) -> None:
        request = self._requests.pop(refusal.request_id)
        self._stop_attempts(request)
        if request.bound is None:
            request.refuse(refusal)
            return
        task = self._decisions.spawn(self._withdraw(request, refusal))
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    async def _withdraw(self, request: LiveRequest, refusal: Refuse) -> None:
        assert self._outcome_querier is not None
        assert request.bound is not None
        # The policy knows only what this entry sent. A request with effects may also
        # have been sent through another entry, which only the bound sidecars know.
        try:
            outcome = await self._outcome_querier.withdraw(request.bound)
        except Exception:
            # Its caller would wait for ever. The error is reported with the task.
            request.refuse(replace(refusal, outcome=RequestOutcome.UNKNOWN))
            raise
        if outcome is None:
            refusal = replace(
                refusal,
                outcome=RequestOutcome.NOT_RUN,
                reason=RefusalReason.KEY_CONFLICT,
            )
        else:
            refusal = replace(refusal, outcome=outcome)
        request.refuse(refusal)

    def _stop_attempts(self, request: LiveRequest) -> None:
        current = asyncio.current_task()
        for task in request.tasks.values():
            if task is not current:
                task.cancel()
        request.tasks.clear()

    def _start(
        self,
        request: LiveRequest,
        attempt: AttemptId,
        work: Coroutine[Any, Any, None],
    ) -> None:
        request.tasks[attempt] = self._decisions.spawn(work)

    # Results of attempts

    def chunks_received(self, attempt: AttemptId, chunks: int) -> None:
        """Report to the policy how many chunks of its stream a request has."""
        now = self._loop.time()
        self._decisions.carry_out(self._planner.progress(now, attempt, chunks))

    def cache_changed(self, endpoint: str, event: CacheEvent) -> None:
        """Report a change of an engine's prefix cache to the policy."""
        now = self._loop.time()
        self._decisions.carry_out(self._planner.cache_event(now, endpoint, event))

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Report the outcome of an attempt to the policy."""
        request = self._requests.get(attempt.request_id)
        if request is None:
            return
        request.tasks.pop(attempt, None)
        stage = request.arrival.pipeline.stages[attempt.stage]
        self._metrics.attempt_ended(stage.name, result.outcome.value)
        self._decisions.carry_out(
            self._planner.reply(self._loop.time(), attempt, result)
        )

    # Endpoints

    def _endpoint_for(
        self, request: LiveRequest, attempt: AttemptId, chosen_id: str
    ) -> Endpoint | None:
        """
        Return the endpoint for a stage: the bound one if the stage is at-most-once.

        For other stages it is the endpoint that the policy chose. Returns ``None`` if
        the endpoint is no longer registered.
        """
        stage = request.arrival.pipeline.stages[attempt.stage]
        if stage.repeatable or request.bound is None:
            return self._endpoints.get(chosen_id)
        binding = request.bound.binding(attempt.stage, stage)
        return self._endpoints.get(binding.endpoint)

    async def _poll_endpoint(self, endpoint: Endpoint) -> None:
        assert self._connections is not None
        try:
            await self._connections.poll_load(endpoint)
        except PeerLostError as error:
            log.debug("load_poll_failed", endpoint=endpoint.id, cause=str(error))
