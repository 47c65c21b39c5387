"""Executes the policy's actions by calling endpoints directly, without sidecars."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from amaranthtally.adapter.messages import EndpointLoad, ResponseHead
from amaranthtally.daemon.decision_loop import DecisionLoop
from amaranthtally.daemon.gateway.endpoint_calls import EndpointCalls, unknown_outcome
from amaranthtally.daemon.gateway.endpoint_exchange import EndpointSessions
from amaranthtally.daemon.gateway.endpoint_signals import EndpointSignals
from amaranthtally.daemon.gateway.engine_choices import prediction_fields
from amaranthtally.daemon.gateway.live_call import (
    CompleteResponse,
    LiveCall,
    RequestFailed,
    StreamEnded,
)
from amaranthtally.daemon.gateway.load_exchange import LoadExchange
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.piece_calls import PieceCalls
from amaranthtally.daemon.gateway.piece_move_exchange import PieceMoveExchange
from amaranthtally.daemon.gateway.prompt_exchange import PromptExchange
from amaranthtally.daemon.gateway.rate_limit_exchange import RateLimitExchange
from amaranthtally.daemon.gateway.unreachable_endpoints import UnreachableEndpoints
from amaranthtally.daemon.gateway.usage_exchange import UsageExchange
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import (
    GATEWAY_TICK_S,
    Answer as AnswerAction,
    AskPermits,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    CheckEndpoint,
    Endpoint,
    ExchangeLoads,
    FairSharesChanged,
    FreeAtPeer,
    FreeResults,
    LoadReport,
    PartChanged,
    Peer,
    PieceJob,
    PieceReport,
    PiecesEnded,
    Planner,
    PolicySettings,
    PollLoad,
    QueryAttempt,
    RateLimitChanged,
    RefusalReason,
    Refuse,
    ReportEnds,
    ReportSuccess,
    ReportToPeer,
    ResponseLimits,
    RunPieces,
    Send,
    SendUsage,
    SpreadPartNotices,
    SpreadRateLimits,
    StoredResult,
    StreamOrigin,
    SubmitToPeer,
    UsageFault,
    WithdrawAtPeer,
)

__all__ = ["GatewayExecutor"]

log = get_logger()


class GatewayExecutor:
    """Passes events to the planner and executes the actions that it returns."""

    def __init__(
        self,
        planner: Planner,
        settings: PolicySettings,
        sessions: EndpointSessions,
        metrics: GatewayMetrics,
        on_stream_began: Callable[[LiveCall], None],
        limits: ResponseLimits,
        supervisor: Supervisor,
        ages: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._supervisor = supervisor
        self._on_stream_began = on_stream_began
        self._planner = planner
        self._metrics = metrics
        self._endpoints: Mapping[str, Endpoint] = settings.endpoints
        self._calls: dict[str, LiveCall] = {}
        self._connections: PeerConnections | None = None
        self._time = asyncio.get_running_loop().time
        self._ages = ages
        self._rate_limits = RateLimitExchange(
            planner.limits,
            self._get_connections,
            lambda work: self._decisions.spawn(work),
            lambda actions: self._decisions.carry_out(actions),
        )
        self._signals = EndpointSignals(
            planner,
            self._rate_limits,
            lambda work: self._decisions.spawn(work),
            lambda actions: self._decisions.carry_out(actions),
        )
        self._unreachable = UnreachableEndpoints(metrics, ages)
        self._endpoint_calls = EndpointCalls(
            sessions.requests, self, self._head_received, limits
        )
        self._piece_calls = PieceCalls(
            sessions.pieces, self.pieces_ended, self._head_received, metrics, limits
        )
        self._moves = PieceMoveExchange(
            planner,
            self._get_connections,
            lambda work: self._decisions.spawn(work),
            lambda actions: self._decisions.carry_out(actions),
            metrics,
        )
        self._prompts = PromptExchange(
            planner.prompts,
            self._get_connections,
            lambda work: self._decisions.spawn(work),
            lambda actions: self._decisions.carry_out(actions),
            lambda: self._decisions.wake(),
        )
        self._loads = LoadExchange(
            planner.load_view,
            self._get_connections,
            lambda work: self._decisions.spawn(work),
            lambda: self._decisions.wake(),
        )
        self._usage = UsageExchange(
            planner,
            self._get_connections,
            metrics,
            lambda work: self._decisions.spawn(work),
            lambda actions: self._decisions.carry_out(actions),
        )
        self._decisions = DecisionLoop(
            planner,
            {
                Send: self._send,
                Cancel: self._cancel,
                QueryAttempt: self._query_attempt,
                PollLoad: self._poll_load,
                AnswerAction: self._complete,
                Refuse: self._refuse,
                RunPieces: self._run_pieces,
                FreeResults: self._free_results,
                SubmitToPeer: self._submit_to_peer,
                ReportToPeer: self._report_to_peer,
                FreeAtPeer: self._release_at_peer,
                WithdrawAtPeer: self._moves.withdraw,
                RateLimitChanged: self._rate_limits.log_change,
                SpreadRateLimits: self._rate_limits.spread,
                AskPermits: self._rate_limits.ask,
                CheckEndpoint: self._check_endpoint,
                PartChanged: self._prompts.log_change,
                SpreadPartNotices: self._prompts.spread,
                ReportEnds: self._prompts.report_ends,
                ReportSuccess: self._prompts.report_success,
                ExchangeLoads: self._loads.exchange,
                SendUsage: self._usage.send,
                FairSharesChanged: self._usage.log_change,
                UsageFault: self._usage.log_fault,
            },
            supervisor,
            GATEWAY_TICK_S,
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return len(self._calls)

    @property
    def pieces_waiting(self) -> int:
        """Number of pieces that are queued here, for any gateway's requests."""
        return self._planner.pieces.waiting

    @property
    def rate_limits(self) -> RateLimitExchange:
        """Exchanges the rate limits of endpoints with the other gateways."""
        return self._rate_limits

    @property
    def signals(self) -> EndpointSignals:
        """Passes on what endpoints show of themselves."""
        return self._signals

    @property
    def moves(self) -> PieceMoveExchange:
        """Withdraws jobs from the other gateways, so that they run elsewhere."""
        return self._moves

    @property
    def prompts(self) -> PromptExchange:
        """Exchanges with the other gateways what is known of parts of prompts."""
        return self._prompts

    @property
    def loads(self) -> LoadExchange:
        """Exchanges with the other gateways what is known of endpoints' loads."""
        return self._loads

    @property
    def usage(self) -> UsageExchange:
        """Exchanges the work of client accounts with the other gateways."""
        return self._usage

    def set_peer_connections(self, connections: PeerConnections) -> None:
        """Set the connections to peers, which are created after this executor."""
        self._connections = connections

    # Events

    def submit(self, call: LiveCall) -> None:
        """Submit a request to the policy; ``call`` receives the response's events."""
        self._calls[call.id] = call
        self._decisions.wake()
        self._decisions.carry_out(
            self._planner.request_arrived(self._time(), call.arrival)
        )

    def is_in_flight(self, request_id: str) -> bool:
        """Whether a request with this id is in flight."""
        return request_id in self._calls

    def cancel_request(self, call: LiveCall) -> None:
        """Cancel a request and its attempts, as its caller has disconnected."""
        if self._calls.pop(call.id, None) is None:
            return
        try:
            self._decisions.carry_out(
                self._planner.caller_disconnected(self._time(), call.id)
            )
        finally:
            self._stop_attempts(call)
        log.info("request_abandoned", request_id=call.id, attempts=call.attempts)

    def end_for_memory(self, call: LiveCall) -> None:
        """End a request whose response has not begun, as it holds too much memory."""
        if self._calls.get(call.id) is call:
            self._end(call, RefusalReason.MEMORY)

    @property
    def peers_to_probe(self) -> frozenset[str]:
        """The gateways to probe: those that run jobs of this one, and failed ones."""
        return (
            self._planner.pieces.awaited_peers
            | self._planner.pieces.unavailable_peers(self._time())
        )

    def stop_running_jobs(self) -> None:
        """Stop running jobs of other gateways, because this one is leaving."""
        self._decisions.carry_out(self._planner.leave(self._time()))

    def refuse_unsent(self) -> None:
        """Refuse all requests not sent to any endpoint, as the process is ending."""
        for call in list(self._calls.values()):
            if not call.attempts:
                self._end(call, RefusalReason.STOPPING)

    def end_all(self) -> None:
        """End all requests, as the process ends; the policy says which may have run."""
        for call in list(self._calls.values()):
            try:
                self._end(call, RefusalReason.STOPPING)
            except Exception as error:
                # One that cannot be ended must not keep the others from their answers.
                self._supervisor.report_error("GatewayExecutor.end_all", error)

    def _end(self, call: LiveCall, reason: RefusalReason) -> None:
        """End a request; the policy says whether it has run."""
        self._decisions.carry_out(
            self._planner.request_withdrawn(self._time(), call.id, reason)
        )

    def settings_changed(self, settings: PolicySettings) -> None:
        """Apply newer settings."""
        self._endpoints = settings.endpoints
        actions = self._planner.settings_changed(self._time(), settings)
        self._decisions.carry_out(actions)
        if self._prompts.is_deciding:
            self._decisions.wake()

    async def tick(self) -> None:
        """Call the planner's ``tick`` periodically until cancelled."""
        await self._decisions.tick(self._is_busy)

    def _is_busy(self) -> bool:
        # Queued and running jobs of other gateways need frequent ticks too, and so do
        # decisions on what endpoints end on.
        if self._calls or self._planner.pieces.is_busy:
            return True
        return self._prompts.is_deciding

    # Results of calls

    def load_reported(self, endpoint: str, load: EndpointLoad, awaited: bool) -> None:
        """Pass an endpoint's load to the policy."""
        registered = self._endpoints.get(endpoint)
        if registered is None:
            return
        report = LoadReport(
            incarnation=registered.incarnation,
            running=load.running,
            queued=load.queued,
            limit=load.slots,
            service_s=0.0,
            backlog_s=0.0,
            leaving=False,
            ended=int(awaited),
            host_slowness=load.host_slowness,
        )
        actions = self._planner.load_report(self._time(), endpoint, report)
        self._decisions.carry_out(actions)

    def stream_began(self, call: LiveCall, origin: StreamOrigin) -> None:
        """Note where a call's stream began, unless it goes on with an earlier one."""
        call.origin = call.origin or origin
        self._on_stream_began(call)

    def events_delivered(self, attempt: AttemptId, events: int) -> None:
        """Pass the number of events delivered to a stream's caller to the policy."""
        actions = self._planner.progress(self._time(), attempt, events)
        self._decisions.carry_out(actions)

    def response_over_limit(self, endpoint: Endpoint) -> None:
        """Count a response that was cut off because it exceeded a bound."""
        self._metrics.response_over_limit(endpoint.pool)

    def endpoint_unreachable(self, endpoint: Endpoint) -> None:
        """Note an attempt that found no connection to its endpoint."""
        self._unreachable.attempt_failed(endpoint)

    def _head_received(
        self, endpoint: Endpoint, head: ResponseHead, sent_at: float
    ) -> None:
        self._unreachable.endpoint_answered(endpoint.id)
        self._signals.head_received(endpoint, head, sent_at)

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Pass the result of an attempt to the policy."""
        call = self._calls.get(attempt.request_id)
        if call is None:
            return
        call.tasks.pop(attempt, None)
        pool = call.arrival.pipeline.stages[attempt.stage].pool
        self._metrics.attempt_ended(pool, result.outcome.value)
        log.info(
            "attempt_decided",
            request_id=attempt.request_id,
            attempt=attempt.number,
            fate=result.outcome.value,
            run_ms=round(result.run_s * 1000),
            proof=result.proof.value if result.proof else "",
        )
        actions = self._planner.reply(self._time(), attempt, result)
        self._decisions.carry_out(actions)
        self._log_learned_bounds()

    def pieces_ended(self, call: int, result: PiecesEnded) -> None:
        """Pass the end of a call with pieces to the policy."""
        actions = self._planner.pieces.call_ended(self._time(), call, result)
        self._decisions.carry_out(actions)

    # Events from peers

    def peers_changed(self, peers: Sequence[Peer]) -> None:
        """Pass the set of other live gateways to the policy."""
        self._decisions.carry_out(self._planner.replace_peers(self._time(), peers))

    def peer_failed(self, peer: str) -> None:
        """Report to the policy that a gateway did not answer."""
        self._decisions.carry_out(self._planner.pieces.peer_failed(self._time(), peer))

    def peer_recovered(self, peer: str) -> None:
        """Report to the policy that a failed gateway answers and runs jobs again."""
        if peer not in self._planner.pieces.unavailable_peers(self._time()):
            return
        log.info("peer_back", peer=peer)
        self._planner.pieces.peer_recovered(peer)

    def submitter_lost(self, peer: str) -> None:
        """Pass on that a gateway could not be told the outcomes of its jobs."""
        self._planner.pieces.submitter_lost(peer)

    def jobs_submitted(self, submitter: str, jobs: Sequence[PieceJob]) -> None:
        """Pass the jobs that another gateway submits to the policy."""
        self._decisions.wake()
        actions = self._planner.pieces.jobs_submitted(self._time(), submitter, jobs)
        self._decisions.carry_out(actions)

    def reports_received(self, reports: Sequence[PieceReport]) -> None:
        """Pass another gateway's reports on submitted jobs to the policy."""
        self._decisions.carry_out(
            self._planner.pieces.reports_received(self._time(), reports)
        )

    def results_not_released(self, results: Sequence[StoredResult]) -> None:
        """Free results at their endpoints, as their release did not reach a peer."""
        self._decisions.carry_out(
            self._planner.pieces.results_freed(self._time(), results)
        )

    def results_freed(self, results: Sequence[StoredResult], ended: str) -> None:
        """Pass another gateway's release of results to the policy."""
        self._decisions.carry_out(
            self._planner.pieces.results_freed(self._time(), results, ended)
        )

    def _log_learned_bounds(self) -> None:
        for learned in self._planner.endpoint_memory.take_learned():
            log.info(
                "endpoint_ended_with_much_held",
                endpoint=learned.endpoint,
                pool=learned.pool,
                held_bytes=learned.held,
                outlived_bytes=learned.outlived,
                bound_bytes="" if learned.bound is None else round(learned.bound),
            )

    # Actions

    def _get_connections(self) -> PeerConnections:
        assert self._connections is not None
        return self._connections

    def _submit_to_peer(self, action: SubmitToPeer) -> None:
        self._get_connections().submit_jobs(action.peer, action.jobs)

    def _report_to_peer(self, action: ReportToPeer) -> None:
        self._get_connections().report_outcomes(action.peer, action.reports)

    def _release_at_peer(self, action: FreeAtPeer) -> None:
        self._get_connections().release_results(
            action.peer, action.results, action.ended
        )

    def _send(self, send: Send) -> None:
        try:
            self._start_attempt(send)
        except Exception:
            # The policy counts the attempt as running. Its outcome is unknown and not
            # "not run", or a fault that lasts would make it send without end.
            call = self._calls.get(send.attempt.request_id)
            if call is not None:
                self.attempt_ended(send.attempt, unknown_outcome(call))
            raise

    def _start_attempt(self, send: Send) -> None:
        call = self._calls[send.attempt.request_id]
        endpoint = self._endpoints.get(send.endpoint)
        limits = self._planner.limits.rates
        log.info(
            "attempt_sent",
            request_id=call.id,
            attempt=send.attempt.number,
            endpoint=send.endpoint,
            version=endpoint.version if endpoint else "",
            revision=endpoint.revision if endpoint else 0,
            after=call.last_event or call.caller.last_event,
            hedge=send.hedge,
            limit=limits.get(send.endpoint, ""),
            left_ms=round((send.deadline - self._time()) * 1000),
            **prediction_fields(send),
            **self._ages(),
        )
        if send.stalled or send.prediction is not None:
            pool = endpoint.pool if endpoint else ""
            self._metrics.engine_choices.attempt_sent(pool, send)
        if send.endpoint in limits:
            self._metrics.limited_attempt_sent(endpoint.pool if endpoint else "")
        # Read the inputs now, before the planner handles the next event. The planner
        # may then free them before the task below starts, and the engine would get a
        # request without its inputs.
        inputs = self._planner.inputs_of(call.id)
        work = self._endpoint_calls.run(call, send, endpoint, inputs)
        call.tasks[send.attempt] = self._decisions.spawn(work)

    def _cancel(self, cancel: Cancel) -> None:
        call = self._calls.get(cancel.attempt.request_id)
        task = call.tasks.pop(cancel.attempt, None) if call else None
        if task is not None:
            task.cancel()

    def _check_endpoint(self, check: CheckEndpoint) -> None:
        endpoint = self._endpoints.get(check.endpoint)
        if endpoint is not None:
            self._signals.check(endpoint)

    def _query_attempt(self, query: QueryAttempt) -> None:
        # Endpoints on this platform cannot be queried for the outcome of a call. Lost
        # calls are reported as failed or unknown, and the policy queries neither.
        self.attempt_ended(query.attempt, AttemptResult(AttemptOutcome.UNKNOWN))

    def _poll_load(self, poll: PollLoad) -> None:
        """Do nothing: each poll costs money, and responses report the load anyway."""

    def _complete(self, answer: AnswerAction) -> None:
        call = self._calls.pop(answer.request_id)
        self._stop_attempts(call)
        if not isinstance(call.final_event, CompleteResponse):
            call.finish(StreamEnded())

    def _refuse(self, refusal: Refuse) -> None:
        call = self._calls.pop(refusal.request_id)
        self._stop_attempts(call)
        call.finish(RequestFailed(refusal))

    def _run_pieces(self, action: RunPieces) -> None:
        endpoint = self._endpoints.get(action.endpoint)
        self._decisions.spawn(self._piece_calls.run(action, endpoint))

    def _free_results(self, action: FreeResults) -> None:
        endpoint = self._endpoints.get(action.endpoint)
        if endpoint is not None:
            backoff_s = self._signals.backoff_left_s(endpoint.id)
            self._decisions.spawn(self._piece_calls.free(action, endpoint, backoff_s))

    def _stop_attempts(self, call: LiveCall) -> None:
        current = asyncio.current_task()
        for task in call.tasks.values():
            if task is not current:
                task.cancel()
        call.tasks.clear()
