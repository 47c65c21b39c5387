"""A simulated entry: it executes its planner's actions, and can fail."""

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Protocol

from amaranthtally.policy import (
    GATEWAY_TICK_S,
    Action,
    Answer,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    ExchangeLoads,
    FairSharesChanged,
    FreeAtPeer,
    FreeResults,
    Peer,
    Piece,
    PiecesEnded,
    Planner,
    PolicySettings,
    PollLoad,
    QueryAttempt,
    Refuse,
    ReportToPeer,
    RunPieces,
    Send,
    SendUsage,
    SubmitToPeer,
    UsageFault,
    WithdrawAtPeer,
)
from amaranthtally.simulator.attempts import (
    CONNECT_TIMEOUT_S,
    AttemptExecutor,
    LiveRequest,
)
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.processes import Process
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.stage_servers import PieceCall, StageServer

__all__ = ["Entry", "EntryEnvironment"]

# Timeout of a message to an unreachable peer, in seconds.
PEER_CONNECT_TIMEOUT_S = 0.8
# Interval between checks of the peers that have not answered, in seconds.
PEER_CHECK_INTERVAL_S = 0.5
FAILED = PiecesEnded()


class EntryEnvironment(Protocol):
    """The other processes and the callers that an entry communicates with."""

    clock: VirtualClock
    network: Network

    def server(self, endpoint: str) -> Server | None:
        """Return a registered endpoint, ``None`` if there is none of this id."""

    def peer(self, name: str) -> "Entry | None":
        """Return a running entry, ``None`` if the entry is down."""

    def make_arrival(self, request: Request) -> Arrival:
        """Convert a request into the policy's arrival."""

    def request(self, try_id: str) -> Request | None:
        """Return the open request whose latest try has this id."""

    def request_of_piece(self, try_id: str) -> Request:
        """Return the request of a piece, even if the request has ended."""

    def event_received(self, request: Request) -> None:
        """Notify the caller of an event of a stream."""

    def response_received(self, request: Request) -> None:
        """Notify the caller of a complete response."""

    def refusal_received(self, request: Request, refusal: Refuse) -> None:
        """Notify the caller of a refusal."""

    def connection_lost(self, request: Request) -> None:
        """Notify the caller that its connection broke."""


class Entry(Process):
    """One entry; ``leaving`` is true once it accepts no more callers."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        planner: Planner,
        environment: EntryEnvironment,
    ) -> None:
        super().__init__(data_centre, environment.clock, environment.network)
        self.name = name
        self.planner = planner
        self.leaving = False
        self.is_store_disconnected = False
        self._environment = environment
        self._live: dict[str, LiveRequest] = {}
        self._calls: set[int] = set()
        self._ticking = False
        self.attempts = AttemptExecutor(
            self,
            planner,
            self._live,
            self._execute_actions,
            environment.event_received,
        )
        self._handlers: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self.attempts.cancel,
            QueryAttempt: self._query_attempt,
            PollLoad: lambda action: None,
            Answer: self._answer,
            Refuse: self._refuse,
            RunPieces: self._run_pieces,
            FreeResults: self._free_results,
            SubmitToPeer: self._submit_to_peer,
            ReportToPeer: self._report_to_peer,
            FreeAtPeer: self._free_at_peer,
            WithdrawAtPeer: self._withdraw_at_peer,
            ExchangeLoads: self._exchange_loads,
            SendUsage: self._send_usage,
            FairSharesChanged: lambda action: None,
            UsageFault: lambda action: None,
        }
        self.call_later(PEER_CHECK_INTERVAL_S, self._check_peers)

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return len(self._live)

    # Termination

    def kill(self) -> None:
        """
        Terminate the process.

        Connections to callers break; calls with pieces continue at their endpoints.
        """
        self.terminate()
        for live in self._live.values():
            self.attempts.cancel_all(live)
            self._environment.connection_lost(live.request)
        self._live.clear()

    def leave(self) -> None:
        """Accept no more callers, and compute no more pieces for other entries."""
        self.leaving = True
        self.execute(lambda: self._execute_actions(self.planner.leave(self.clock.now)))

    # Callers

    def receive(self, request: Request) -> None:
        """Accept a request from a caller."""
        self.execute(lambda: self._start_request(request))

    def caller_left(self, request: Request) -> None:
        """Drop a request whose caller has disconnected."""
        try_id = request.try_id
        self.execute(lambda: self._abandon(try_id))

    def _start_request(self, request: Request) -> None:
        if self._environment.request(request.try_id) is None:
            return
        self._live[request.try_id] = LiveRequest(request)
        self._start_ticking()
        arrival = self._environment.make_arrival(request)
        self._execute_actions(self.planner.request_arrived(self.clock.now, arrival))

    def _abandon(self, try_id: str) -> None:
        live = self._live.pop(try_id, None)
        if live is not None:
            self.attempts.cancel_all(live)
            self._execute_actions(
                self.planner.caller_disconnected(self.clock.now, try_id)
            )

    def _answer(self, answer: Answer) -> None:
        live = self._live.pop(answer.request_id)
        self.attempts.cancel_all(live)
        self._environment.response_received(live.request)

    def _refuse(self, refusal: Refuse) -> None:
        live = self._live.pop(refusal.request_id)
        self.attempts.cancel_all(live)
        self._environment.refusal_received(live.request, refusal)

    # Settings and peers

    def settings_changed(self, settings: PolicySettings) -> None:
        """Apply newer settings."""
        self.execute(
            lambda: self._execute_actions(
                self.planner.settings_changed(self.clock.now, settings)
            )
        )

    def peers_changed(self, peers: Sequence[Peer]) -> None:
        """Apply the current list of live entries."""
        self.execute(
            lambda: self._execute_actions(
                self.planner.replace_peers(self.clock.now, peers)
            )
        )

    def _check_peers(self) -> None:
        now = self.clock.now
        for name in sorted(
            self.planner.pieces.awaited_peers
            | self.planner.pieces.unavailable_peers(now)
        ):
            peer = self._environment.peer(name)
            if (
                peer is not None
                and not peer.is_frozen
                and self.reaches(peer.data_centre)
            ):
                if not peer.leaving:
                    self.planner.pieces.peer_recovered(name)
            elif name in self.planner.pieces.awaited_peers:
                self._peer_failed(name)
        self.call_later(PEER_CHECK_INTERVAL_S, self._check_peers)

    # Time

    def _start_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            self.call_later(GATEWAY_TICK_S, self._tick)

    def _tick(self) -> None:
        self._execute_actions(self.planner.tick(self.clock.now))
        self._ticking = bool(self._live) or self.planner.pieces.is_busy
        if self._ticking:
            self.call_later(GATEWAY_TICK_S, self._tick)

    def _execute_actions(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

    # Attempts

    def _send(self, send: Send) -> None:
        self.attempts.send(send, self._environment.server(send.endpoint))

    def _query_attempt(self, query: QueryAttempt) -> None:
        self.attempts.ended(query.attempt, AttemptResult(AttemptOutcome.UNKNOWN))

    # Pieces

    def _run_pieces(self, action: RunPieces) -> None:
        server = self._environment.server(action.endpoint)
        self._calls.add(action.call)
        if not isinstance(server, StageServer):
            self.call_later(0.0, lambda: self._pieces_ended(action.call, FAILED))
            return
        is_reachable = self.reaches_server(server)
        timeout_s = action.timeout_s if is_reachable else CONNECT_TIMEOUT_S
        self.call_later(timeout_s, lambda: self._pieces_ended(action.call, FAILED))
        if is_reachable:
            call = self._piece_call(action, server)
            self.send_to(server.data_centre, lambda: _arrive(server, call))

    def _piece_call(self, action: RunPieces, server: StageServer) -> PieceCall:
        requests = [
            self._environment.request_of_piece(p.request_id) for p in action.pieces
        ]

        def on_end(end: PiecesEnded) -> None:
            self.receive_from(server, lambda: self._pieces_ended(action.call, end))

        sizes = [
            request.kind.stages[piece.stage].result_bytes
            for piece, request in zip(action.pieces, requests, strict=True)
        ]
        return PieceCall(action.pieces, tuple(requests), tuple(sizes), on_end)

    def _pieces_ended(self, call: int, end: PiecesEnded) -> None:
        if call in self._calls:
            self._calls.remove(call)
            self._execute_actions(
                self.planner.pieces.call_ended(self.clock.now, call, end)
            )

    def _free_results(self, action: FreeResults) -> None:
        server = self._environment.server(action.endpoint)
        if isinstance(server, StageServer) and self.reaches_server(server):
            self.send_to(server.data_centre, lambda: server.free(action.handles))

    # Messages between entries

    def _to_peer(
        self,
        name: str,
        on_arrival: Callable[["Entry"], None],
        on_failure: Callable[[], None],
    ) -> None:
        peer = self._environment.peer(name)
        if peer is None:
            self.call_later(0.0, on_failure)
        elif not self.reaches(peer.data_centre):
            self.call_later(PEER_CONNECT_TIMEOUT_S, on_failure)
        else:
            target = peer
            self.send_to(
                peer.data_centre, lambda: target.execute(lambda: on_arrival(target))
            )

    def _submit_to_peer(self, action: SubmitToPeer) -> None:
        self._to_peer(
            action.peer,
            lambda peer: peer.submit_jobs(self.name, action),
            lambda: self._peer_failed(action.peer),
        )

    def _report_to_peer(self, action: ReportToPeer) -> None:
        self._to_peer(
            action.peer,
            lambda peer: peer.report_outcomes(action),
            lambda: self.planner.pieces.submitter_lost(action.peer),
        )

    def _free_at_peer(self, action: FreeAtPeer) -> None:
        self._to_peer(
            action.peer,
            lambda peer: peer.release_results(action),
            lambda: self.release_results(action),
        )

    def _withdraw_at_peer(self, action: WithdrawAtPeer) -> None:
        self._to_peer(
            action.peer,
            lambda peer: peer.withdraw_jobs(self, action),
            lambda: self._execute_actions(
                self.planner.pieces.withdrawal_failed(
                    self.clock.now, action.peer, action.serial, action.pieces
                )
            ),
        )

    def _exchange_loads(self, action: ExchangeLoads) -> None:
        view = self.planner.load_view

        def reply(peer: Entry) -> None:
            now = self.clock.now
            answer = peer.planner.load_view.exchange_received(
                now, self.name, action.message
            )
            peer.send_to(
                self.data_centre,
                lambda: view.exchange_answered(self.clock.now, action.peer, answer),
            )

        self._to_peer(
            action.peer,
            reply,
            lambda: view.exchange_failed(self.clock.now, action.peer),
        )

    def _send_usage(self, action: SendUsage) -> None:
        for name in action.peers:
            self._to_peer(
                name,
                lambda peer: peer.receive_usage(self.name, action),
                partial(self._usage_not_received, name),
            )

    def _usage_not_received(self, name: str) -> None:
        self.planner.usage.not_received(self.clock.now, name)

    def receive_usage(self, sender: str, action: SendUsage) -> None:
        """Take the work of accounts that another entry reports."""
        self.planner.shares.usage_received(self.clock.now, sender, action.report)

    def _peer_failed(self, name: str) -> None:
        self._execute_actions(self.planner.pieces.peer_failed(self.clock.now, name))

    def submit_jobs(self, submitter: str, action: SubmitToPeer) -> None:
        """Accept piece jobs that another entry submits."""
        self._start_ticking()
        self._execute_actions(
            self.planner.pieces.jobs_submitted(self.clock.now, submitter, action.jobs)
        )

    def withdraw_jobs(self, submitter: "Entry", action: WithdrawAtPeer) -> None:
        """Drop queued jobs of another entry, and answer which."""
        withdrawn = self.planner.pieces.jobs_withdrawn(action.pieces)
        self.send_to(
            submitter.data_centre,
            lambda: submitter.execute(
                lambda: submitter.jobs_withdrawn(self.name, action.serial, withdrawn)
            ),
        )

    def jobs_withdrawn(
        self, owner: str, serial: int, withdrawn: Sequence[Piece]
    ) -> None:
        """Apply another entry's answer to a withdrawal."""
        self._execute_actions(
            self.planner.pieces.withdrawal_answered(
                self.clock.now, owner, serial, withdrawn
            )
        )

    def report_outcomes(self, action: ReportToPeer) -> None:
        """Apply the outcomes of jobs that were submitted to another entry."""
        self._execute_actions(
            self.planner.pieces.reports_received(self.clock.now, action.reports)
        )

    def release_results(self, action: FreeAtPeer) -> None:
        """Release results that are no longer needed."""
        self._execute_actions(
            self.planner.pieces.results_freed(
                self.clock.now, action.results, action.ended
            )
        )


def _arrive(server: StageServer, call: PieceCall) -> None:
    if server.is_running:
        server.call(call)
    else:
        call.on_end(FAILED)
