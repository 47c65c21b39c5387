"""An entry on the virtual clock: carries out its planner's actions, and can fail."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from amaranthtally.policy import (
    GATEWAY_TICK_S,
    Action,
    Answer,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    FreeAtPeer,
    FreeResults,
    Peer,
    PiecesEnded,
    Planner,
    PolicySettings,
    PollLoad,
    QueryAttempt,
    Refuse,
    ReportToPeer,
    RunPieces,
    Send,
    SubmitToPeer,
)
from amaranthtally.simulator.attempts import CONNECT_TIMEOUT_S, Attempts, LiveRequest
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.processes import Process
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Server
from amaranthtally.simulator.stage_servers import PieceCall, StageServer

__all__ = ["Entry", "Surroundings"]

# What an entry waits for the word of a peer that it can't reach, in seconds.
PEER_TIMEOUT_S = 0.8
# Between two questions to the peers that owe an answer, in seconds.
CHECK_S = 0.5
FAILED = PiecesEnded()


class Surroundings(Protocol):
    """What an entry meets: other processes, and its callers."""

    clock: VirtualClock
    network: Network

    def server(self, endpoint: str) -> Server | None:
        """Return an endpoint that is registered."""

    def peer(self, name: str) -> "Entry | None":
        """Return an entry that runs."""

    def make_arrival(self, request: Request) -> Arrival:
        """Return a request as an entry reads it."""

    def request(self, try_id: str) -> Request | None:
        """Return a request that is in flight by the id of its try."""

    def request_of_piece(self, try_id: str) -> Request:
        """Return the request that a piece belongs to, in flight or ended."""

    def began(self, request: Request) -> None:
        """Pass on a stream's first event."""

    def answered(self, request: Request) -> None:
        """Pass on a whole answer."""

    def refused(self, request: Request, refusal: Refuse) -> None:
        """Pass on a refusal."""

    def cut_off(self, request: Request) -> None:
        """Break a caller's connection."""


class Entry(Process):
    """One entry; ``leaving`` says that it takes no more callers."""

    def __init__(
        self, name: str, place: str, planner: Planner, world: Surroundings
    ) -> None:
        super().__init__(place, world.clock, world.network)
        self.name = name
        self.planner = planner
        self.leaving = False
        self.is_cut_from_store = False
        self._world = world
        self._live: dict[str, LiveRequest] = {}
        self._calls: set[int] = set()
        self._ticking = False
        self.attempts = Attempts(
            self, planner, self._live, self._carry_out, world.began
        )
        self._table: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self.attempts.cancel,
            QueryAttempt: self._ask,
            PollLoad: lambda action: None,
            Answer: self._answer,
            Refuse: self._refuse,
            RunPieces: self._run_pieces,
            FreeResults: self._free,
            SubmitToPeer: self._ask_peer,
            ReportToPeer: self._tell_peer,
            FreeAtPeer: self._free_at_peer,
        }
        self.later(CHECK_S, self._check_peers)

    @property
    def in_flight(self) -> int:
        """Requests that have not ended here."""
        return len(self._live)

    # Its end

    def kill(self) -> None:
        """Lose the process: callers' connections break, calls go on unheard."""
        self.end()
        for live in self._live.values():
            self.attempts.leave(live)
            self._world.cut_off(live.request)
        self._live.clear()

    def leave(self) -> None:
        """Take no more callers, and make no more pieces for others."""
        self.leaving = True
        self.do(lambda: self._carry_out(self.planner.entry_leaving(self.clock.now)))

    # Callers

    def receive(self, request: Request) -> None:
        """Take a caller's request."""
        self.do(lambda: self._begin(request))

    def caller_left(self, request: Request) -> None:
        """Drop a request whose caller has closed its connection."""
        try_id = request.try_id
        self.do(lambda: self._abandon(try_id))

    def _begin(self, request: Request) -> None:
        if self._world.request(request.try_id) is None:
            return
        self._live[request.try_id] = LiveRequest(request)
        self._wake()
        arrival = self._world.make_arrival(request)
        self._carry_out(self.planner.request_arrived(self.clock.now, arrival))

    def _abandon(self, try_id: str) -> None:
        live = self._live.pop(try_id, None)
        if live is not None:
            self.attempts.leave(live)
            self._carry_out(self.planner.caller_disconnected(self.clock.now, try_id))

    def _answer(self, answer: Answer) -> None:
        live = self._live.pop(answer.request_id)
        self.attempts.leave(live)
        self._world.answered(live.request)

    def _refuse(self, refusal: Refuse) -> None:
        live = self._live.pop(refusal.request_id)
        self.attempts.leave(live)
        self._world.refused(live.request, refusal)

    # Settings and peers

    def settings_changed(self, settings: PolicySettings) -> None:
        """Use newer settings."""
        self.do(
            lambda: self._carry_out(
                self.planner.settings_changed(self.clock.now, settings)
            )
        )

    def peers_changed(self, peers: Sequence[Peer]) -> None:
        """Use these live entries."""
        self.do(
            lambda: self._carry_out(self.planner.peers_changed(self.clock.now, peers))
        )

    def _check_peers(self) -> None:
        now = self.clock.now
        for name in sorted(
            self.planner.awaited_peers | self.planner.unavailable_peers(now)
        ):
            peer = self._world.peer(name)
            if peer is not None and not peer.is_frozen and self.reaches(peer.place):
                if not peer.leaving:
                    self._carry_out(self.planner.peer_recovered(now, name))
            elif name in self.planner.awaited_peers:
                self._peer_failed(name)
        self.later(CHECK_S, self._check_peers)

    # Time

    def _wake(self) -> None:
        if not self._ticking:
            self._ticking = True
            self.later(GATEWAY_TICK_S, self._tick)

    def _tick(self) -> None:
        self._carry_out(self.planner.tick(self.clock.now))
        self._ticking = bool(self._live) or self.planner.has_pieces
        if self._ticking:
            self.later(GATEWAY_TICK_S, self._tick)

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self._table[type(action)](action)

    # Attempts

    def _send(self, send: Send) -> None:
        self.attempts.send(send, self._world.server(send.endpoint))

    def _ask(self, ask: QueryAttempt) -> None:
        self.attempts.ended(ask.attempt, AttemptResult(AttemptOutcome.UNKNOWN))

    # Pieces

    def _run_pieces(self, order: RunPieces) -> None:
        server = self._world.server(order.endpoint)
        self._calls.add(order.call)
        if not isinstance(server, StageServer):
            self.later(0.0, lambda: self._pieces_ended(order.call, FAILED))
            return
        is_reached = self.reaches_server(server)
        give_up_s = order.timeout_s if is_reached else CONNECT_TIMEOUT_S
        self.later(give_up_s, lambda: self._pieces_ended(order.call, FAILED))
        if is_reached:
            call = self._piece_call(order, server)
            self.send_to(server.place, lambda: _arrive(server, call))

    def _piece_call(self, order: RunPieces, server: StageServer) -> PieceCall:
        requests = [self._world.request_of_piece(p.request_id) for p in order.pieces]

        def on_end(end: PiecesEnded) -> None:
            self.hear_from(server, lambda: self._pieces_ended(order.call, end))

        sizes = [
            request.kind.stages[piece.stage].result_bytes
            for piece, request in zip(order.pieces, requests, strict=True)
        ]
        return PieceCall(order.pieces, tuple(requests), tuple(sizes), on_end)

    def _pieces_ended(self, call: int, end: PiecesEnded) -> None:
        if call in self._calls:
            self._calls.remove(call)
            self._carry_out(self.planner.pieces_ended(self.clock.now, call, end))

    def _free(self, order: FreeResults) -> None:
        server = self._world.server(order.endpoint)
        if isinstance(server, StageServer) and self.reaches_server(server):
            self.send_to(server.place, lambda: server.free(order.handles))

    # Words between entries

    def _to_peer(
        self,
        name: str,
        work: Callable[["Entry"], None],
        on_failure: Callable[[], None],
    ) -> None:
        peer = self._world.peer(name)
        if peer is None:
            self.later(0.0, on_failure)
        elif not self.reaches(peer.place):
            self.later(PEER_TIMEOUT_S, on_failure)
        else:
            found = peer
            self.send_to(peer.place, lambda: found.do(lambda: work(found)))

    def _ask_peer(self, order: SubmitToPeer) -> None:
        self._to_peer(
            order.peer,
            lambda peer: peer.asked(self.name, order),
            lambda: self._peer_failed(order.peer),
        )

    def _tell_peer(self, order: ReportToPeer) -> None:
        self._to_peer(order.peer, lambda peer: peer.told(order), lambda: None)

    def _free_at_peer(self, order: FreeAtPeer) -> None:
        self._to_peer(
            order.peer, lambda peer: peer.freed(order), lambda: self.freed(order)
        )

    def _peer_failed(self, name: str) -> None:
        self._carry_out(self.planner.peer_failed(self.clock.now, name))

    def asked(self, asker: str, order: SubmitToPeer) -> None:
        """Take pieces that another entry wants made."""
        self._wake()
        self._carry_out(self.planner.jobs_submitted(self.clock.now, asker, order.jobs))

    def told(self, order: ReportToPeer) -> None:
        """Hear what became of pieces at another entry."""
        self._carry_out(self.planner.reports_received(self.clock.now, order.reports))

    def freed(self, order: FreeAtPeer) -> None:
        """Drop results that are read no more."""
        self._carry_out(
            self.planner.results_freed(self.clock.now, order.results, order.ended)
        )


def _arrive(server: StageServer, call: PieceCall) -> None:
    if server.up:
        server.call(call)
    else:
        call.on_end(FAILED)
