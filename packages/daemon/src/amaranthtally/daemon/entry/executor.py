"""Carries out the policy's actions and feeds it what came of them."""

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import replace
from typing import Any

from amaranthtally.daemon.decision_loop import DecisionLoop
from amaranthtally.daemon.entry.attempts import Attempts
from amaranthtally.daemon.entry.inquiries import Inquirer, load_report
from amaranthtally.daemon.entry.live_request import LiveRequest
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.peers import Peers
from amaranthtally.daemon.logs import get_logger
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

RETRY_S = 1.0

log = get_logger()


class Executor:
    """Runs one entry's requests; every decision is the planner's."""

    def __init__(
        self, planner: Planner, settings: PolicySettings, metrics: EntryMetrics
    ) -> None:
        self._planner = planner
        self._metrics = metrics
        self._region = settings.region
        self._endpoints = settings.endpoints
        self._revision = settings.revision
        self._requests: dict[str, LiveRequest] = {}
        self._peers: Peers | None = None
        self._inquirer: Inquirer | None = None
        self._attempts: Attempts | None = None
        self._giving_up: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._decisions = DecisionLoop(
            planner,
            {
                Send: self._send,
                Cancel: self._cancel,
                QueryAttempt: self._ask,
                PollLoad: self._greet,
                Answer: self._answer,
                Refuse: self._refuse,
            },
        )

    @property
    def in_flight(self) -> int:
        """Requests that have not ended."""
        return len(self._requests) + len(self._giving_up)

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Registered endpoints by id."""
        return self._endpoints

    def connect(self, peers: Peers, inquirer: Inquirer) -> None:
        """Use these connections."""
        self._peers = peers
        self._inquirer = inquirer
        self._attempts = Attempts(self, peers, inquirer, self._metrics, self._region)

    # Events

    def submit(self, request: LiveRequest) -> None:
        """Hand a request to the policy; its ending comes through the request."""
        self._requests[request.id] = request
        self._decisions.wake()
        self._decisions.carry_out(
            self._planner.request_arrived(self._loop.time(), request.arrival)
        )

    def abandon(self, request: LiveRequest) -> None:
        """End a request whose caller has gone."""
        if self._requests.pop(request.id, None) is None:
            return
        self._decisions.carry_out(
            self._planner.caller_disconnected(self._loop.time(), request.id)
        )
        self._stop_attempts(request)
        log.info("request_abandoned", request_id=request.id)

    def settings_changed(self, settings: PolicySettings) -> None:
        """Use newer settings for what comes."""
        self._endpoints = settings.endpoints
        self._revision = settings.revision
        self._decisions.carry_out(
            self._planner.settings_changed(self._loop.time(), settings)
        )

    def load_changed(self, endpoint: str, load: Load) -> None:
        """Tell the policy of a sidecar's load."""
        report = load_report(load)
        self._decisions.carry_out(
            self._planner.load_report(self._loop.time(), endpoint, report)
        )

    def endpoint_leaving(self, endpoint: str) -> None:
        """Tell the policy that an endpoint leaves."""
        self._decisions.carry_out(
            self._planner.endpoint_leaving(self._loop.time(), endpoint)
        )

    def endpoint_restored(self, endpoint: str) -> None:
        """Tell the policy that an endpoint takes work again."""
        self._decisions.carry_out(
            self._planner.endpoint_restored(self._loop.time(), endpoint)
        )

    async def tick(self) -> None:
        """Let the policy act on the passing of time, until cancelled."""
        await self._decisions.tick(lambda: bool(self._requests))

    def refuse_all(self) -> None:
        """End every request in flight; some of its work may have been done."""
        for request in list(self._requests.values()):
            self._planner.caller_disconnected(self._loop.time(), request.id)
            self._refuse(
                Refuse(
                    request.id, RequestOutcome.UNKNOWN, RefusalReason.STOPPING, RETRY_S
                )
            )

    # Actions

    def _send(self, send: Send) -> None:
        request = self._requests[send.attempt.request_id]
        # Looked up now: a change of settings may take the endpoint away before the
        # task runs, and a live request must not fail by it.
        endpoint = self._endpoint_for(request, send.attempt, send.endpoint)
        assert self._attempts is not None
        work = self._attempts.run(request, send, endpoint, self._revision)
        self._start(request, send.attempt, work)

    def _cancel(self, cancel: Cancel) -> None:
        request = self._requests.get(cancel.attempt.request_id)
        task = request.tasks.pop(cancel.attempt, None) if request else None
        if task is not None:
            task.cancel()

    def _ask(self, ask: QueryAttempt) -> None:
        request = self._requests[ask.attempt.request_id]
        endpoint = self._endpoint_for(request, ask.attempt, ask.endpoint)
        assert self._attempts is not None
        work = self._attempts.ask(request, ask.attempt, endpoint)
        self._start(request, ask.attempt, work)

    def _greet(self, greet: PollLoad) -> None:
        endpoint = self._endpoints.get(greet.endpoint)
        if endpoint is not None:
            self._decisions.spawn(self._greet_endpoint(endpoint))

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
        task = asyncio.create_task(self._give_up(request, refusal))
        self._giving_up.add(task)
        task.add_done_callback(self._giving_up.discard)

    async def _give_up(self, request: LiveRequest, refusal: Refuse) -> None:
        assert self._inquirer is not None
        assert request.bound is not None
        # The policy knows what this entry sent. A request with effects may also
        # have come through another entry: only the bound sidecars know of that.
        outcome = await self._inquirer.give_up(request.bound)
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

    # What came of attempts

    def chunks_taken(self, attempt: AttemptId, chunks: int) -> None:
        """Tell the policy how many chunks of a stream its request has."""
        now = self._loop.time()
        self._decisions.carry_out(self._planner.progress(now, attempt, chunks))

    def cache_heard(self, endpoint: str, event: CacheEvent) -> None:
        """Tell the policy what an engine holds in its cache."""
        now = self._loop.time()
        self._decisions.carry_out(self._planner.cache_event(now, endpoint, event))

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Tell the policy how an attempt ended."""
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
        self, request: LiveRequest, attempt: AttemptId, chosen: str
    ) -> Endpoint | None:
        """
        Return the endpoint that the policy chose, or the one that is bound.

        ``None`` where it is no longer registered.
        """
        stage = request.arrival.pipeline.stages[attempt.stage]
        if stage.repeatable or request.bound is None:
            return self._endpoints.get(chosen)
        binding = request.bound.binding(attempt.stage, stage)
        return self._endpoints.get(binding.endpoint)

    async def _greet_endpoint(self, endpoint: Endpoint) -> None:
        assert self._peers is not None
        try:
            await self._peers.greet(endpoint)
        except PeerLostError as error:
            log.debug("greeting_failed", endpoint=endpoint.id, cause=str(error))
