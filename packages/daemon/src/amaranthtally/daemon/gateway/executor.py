"""Carries out the policy's decisions on callers' requests, without sidecars."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from typing import Any

import aiohttp

from amaranthtally.adapter.messages import EndpointLoad
from amaranthtally.daemon.decision_loop import DecisionLoop
from amaranthtally.daemon.gateway.endpoint_calls import EndpointCalls
from amaranthtally.daemon.gateway.live_call import Answer, Broken, Finished, LiveCall
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.peer_links import PeerLinks
from amaranthtally.daemon.gateway.piece_calls import PieceCalls
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    GATEWAY_TICK_S,
    Answer as AnswerAction,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    Endpoint,
    FreeAtPeer,
    FreeResults,
    LoadReport,
    Peer,
    PieceJob,
    PieceReport,
    PiecesEnded,
    Planner,
    PolicySettings,
    PollLoad,
    QueryAttempt,
    RefusalReason,
    Refuse,
    ReportToPeer,
    RequestOutcome,
    RunPieces,
    Send,
    StoredResult,
    SubmitToPeer,
)

__all__ = ["GatewayExecutor"]

log = get_logger()


class GatewayExecutor:
    """Runs one gateway's requests; every decision is the planner's."""

    def __init__(
        self,
        planner: Planner,
        settings: PolicySettings,
        session: aiohttp.ClientSession,
        metrics: GatewayMetrics,
    ) -> None:
        self._planner = planner
        self._metrics = metrics
        self._endpoints: Mapping[str, Endpoint] = settings.endpoints
        self._calls: dict[str, LiveCall] = {}
        self._endpoint_calls = EndpointCalls(session, self)
        self._piece_calls = PieceCalls(session, self.pieces_ended, metrics)
        self._links: PeerLinks | None = None
        self._time = asyncio.get_running_loop().time
        self._decisions = DecisionLoop(
            planner,
            {
                Send: self._send,
                Cancel: self._cancel,
                QueryAttempt: self._ask,
                PollLoad: self._greet,
                AnswerAction: self._answer,
                Refuse: self._refuse,
                RunPieces: self._run_pieces,
                FreeResults: self._free,
                SubmitToPeer: self._ask_peer,
                ReportToPeer: self._tell_peer,
                FreeAtPeer: self._free_at_peer,
            },
            GATEWAY_TICK_S,
        )

    @property
    def in_flight(self) -> int:
        """Requests that have not ended."""
        return len(self._calls)

    @property
    def pieces_waiting(self) -> int:
        """Pieces that were asked for and not sent, of all gateways' requests."""
        return self._planner.pieces_waiting

    @property
    def spawn(self) -> Callable[[Coroutine[Any, Any, None]], object]:
        """Runs work beside the requests."""
        return self._decisions.spawn

    def connect(self, links: PeerLinks) -> None:
        """Use these connections to peers."""
        self._links = links

    # Events

    def submit(self, call: LiveCall) -> None:
        """Hand a request to the policy; its ending comes through the call."""
        self._calls[call.id] = call
        self._decisions.wake()
        self._decisions.carry_out(
            self._planner.request_arrived(self._time(), call.arrival)
        )

    def is_live(self, request_id: str) -> bool:
        """Whether a request of this id is in flight."""
        return request_id in self._calls

    def abandon(self, call: LiveCall) -> None:
        """End a request whose caller has gone."""
        if self._calls.pop(call.id, None) is None:
            return
        self._decisions.carry_out(
            self._planner.caller_disconnected(self._time(), call.id)
        )
        self._stop_attempts(call)
        log.info("request_abandoned", request_id=call.id, attempts=call.attempts)

    @property
    def peers_to_check(self) -> frozenset[str]:
        """The gateways to be asked whether they live."""
        return self._planner.awaited_peers | self._planner.unavailable_peers(
            self._time()
        )

    def leave(self) -> None:
        """Make no more pieces for others."""
        self._decisions.carry_out(self._planner.entry_leaving(self._time()))

    def refuse_unsent(self) -> None:
        """Refuse every request that was sent to no endpoint, as the process ends."""
        for call in list(self._calls.values()):
            if call.attempts:
                continue
            self._decisions.carry_out(
                self._planner.caller_disconnected(self._time(), call.id)
            )
            self._refuse(
                Refuse(call.id, RequestOutcome.NOT_RUN, RefusalReason.STOPPING)
            )

    def settings_changed(self, settings: PolicySettings) -> None:
        """Use newer settings for what comes."""
        self._endpoints = settings.endpoints
        actions = self._planner.settings_changed(self._time(), settings)
        self._decisions.carry_out(actions)

    async def tick(self) -> None:
        """Let the policy act on the passing of time, until cancelled."""
        await self._decisions.tick(self._is_busy)

    def _is_busy(self) -> bool:
        # Pieces of other gateways' requests also wait for the passing of time.
        return bool(self._calls) or self._planner.has_pieces

    # What came of calls

    def load_heard(self, endpoint: str, load: EndpointLoad, awaited: bool) -> None:
        """Tell the policy of an endpoint's load."""
        found = self._endpoints.get(endpoint)
        if found is None:
            return
        report = LoadReport(
            incarnation=found.incarnation,
            running=load.running,
            queued=load.queued,
            limit=load.slots,
            service_s=0.0,
            backlog_s=0.0,
            leaving=False,
            ended=int(awaited),
        )
        actions = self._planner.load_report(self._time(), endpoint, report)
        self._decisions.carry_out(actions)

    def chunks_taken(self, attempt: AttemptId, chunks: int) -> None:
        """Tell the policy how many events of a stream its request has."""
        actions = self._planner.progress(self._time(), attempt, chunks)
        self._decisions.carry_out(actions)

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Tell the policy how an attempt ended."""
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
        )
        actions = self._planner.reply(self._time(), attempt, result)
        self._decisions.carry_out(actions)

    def pieces_ended(self, call: int, end: PiecesEnded) -> None:
        """Tell the policy how a call with pieces ended."""
        actions = self._planner.pieces_ended(self._time(), call, end)
        self._decisions.carry_out(actions)

    # What peers say

    def peers_changed(self, peers: Sequence[Peer]) -> None:
        """Tell the policy which gateways live."""
        self._decisions.carry_out(self._planner.peers_changed(self._time(), peers))

    def peer_failed(self, peer: str) -> None:
        """Tell the policy that a gateway did not answer."""
        self._decisions.carry_out(self._planner.peer_failed(self._time(), peer))

    def peer_recovered(self, peer: str) -> None:
        """Tell the policy that a gateway answers and takes part."""
        if peer not in self._planner.unavailable_peers(self._time()):
            return
        log.info("peer_back", peer=peer)
        self._decisions.carry_out(self._planner.peer_recovered(self._time(), peer))

    def jobs_submitted(self, asker: str, asks: Sequence[PieceJob]) -> None:
        """Tell the policy what a gateway wants made."""
        self._decisions.wake()
        actions = self._planner.jobs_submitted(self._time(), asker, asks)
        self._decisions.carry_out(actions)

    def reports_received(self, told: Sequence[PieceReport]) -> None:
        """Tell the policy what became of pieces at a gateway."""
        self._decisions.carry_out(self._planner.reports_received(self._time(), told))

    def results_not_passed(self, results: Sequence[StoredResult]) -> None:
        """Free results directly that a peer could not be told of."""
        self._decisions.carry_out(self._planner.results_freed(self._time(), results))

    def results_freed(self, results: Sequence[StoredResult], ended: str) -> None:
        """Tell the policy what a gateway's requests have read, and which have ended."""
        self._decisions.carry_out(
            self._planner.results_freed(self._time(), results, ended)
        )

    # Actions

    def _ask_peer(self, order: SubmitToPeer) -> None:
        assert self._links is not None
        self._links.ask(order.peer, order.jobs)

    def _tell_peer(self, order: ReportToPeer) -> None:
        assert self._links is not None
        self._links.tell(order.peer, order.reports)

    def _free_at_peer(self, order: FreeAtPeer) -> None:
        assert self._links is not None
        self._links.free(order.peer, order.results, order.ended)

    def _send(self, send: Send) -> None:
        call = self._calls[send.attempt.request_id]
        endpoint = self._endpoints.get(send.endpoint)
        log.info(
            "attempt_sent",
            request_id=call.id,
            attempt=send.attempt.number,
            endpoint=send.endpoint,
            hedge=send.hedge,
            left_ms=round((send.deadline - self._time()) * 1000),
        )
        # Taken as it is decided: before the call begins to run, the next decision may
        # free them, and an engine would be sent a request without what it is to read.
        inputs = self._planner.inputs_of(call.id)
        work = self._endpoint_calls.run(call, send, endpoint, inputs)
        call.tasks[send.attempt] = self._decisions.spawn(work)

    def _cancel(self, cancel: Cancel) -> None:
        call = self._calls.get(cancel.attempt.request_id)
        task = call.tasks.pop(cancel.attempt, None) if call else None
        if task is not None:
            task.cancel()

    def _ask(self, ask: QueryAttempt) -> None:
        # No endpoint here can be asked what became of a call; what is lost ends as
        # unknown before it comes to this.
        self.attempt_ended(ask.attempt, AttemptResult(AttemptOutcome.UNKNOWN))

    def _greet(self, greet: PollLoad) -> None:
        """Leave an endpoint unasked: each question is priced, answers bring loads."""

    def _answer(self, answer: AnswerAction) -> None:
        call = self._calls.pop(answer.request_id)
        self._stop_attempts(call)
        if not isinstance(call.ended, Answer):
            call.end(Finished())

    def _refuse(self, refusal: Refuse) -> None:
        call = self._calls.pop(refusal.request_id)
        self._stop_attempts(call)
        call.end(Broken(refusal))

    def _run_pieces(self, order: RunPieces) -> None:
        endpoint = self._endpoints.get(order.endpoint)
        self._decisions.spawn(self._piece_calls.run(order, endpoint))

    def _free(self, order: FreeResults) -> None:
        endpoint = self._endpoints.get(order.endpoint)
        if endpoint is not None:
            self._decisions.spawn(self._piece_calls.free(order, endpoint))

    def _stop_attempts(self, call: LiveCall) -> None:
        current = asyncio.current_task()
        for task in call.tasks.values():
            if task is not current:
                task.cancel()
        call.tasks.clear()
