"""An entry on the virtual clock: carries out its planner's actions, and can fail."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from amaranthtally.policy import (
    Action,
    Answer,
    Arrival,
    Ask,
    AskPeer,
    AttemptId,
    Cancel,
    Fate,
    FreeAtPeer,
    FreeResults,
    Greet,
    LoadReport,
    Peer,
    PiecesEnded,
    Planner,
    PolicySettings,
    Refuse,
    RunPieces,
    Send,
    StageResult,
    TellPeer,
)
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.engines import EngineServer
from amaranthtally.simulator.network import Network
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import Attempt, Server
from amaranthtally.simulator.services import PlainServer
from amaranthtally.simulator.stage_servers import PieceCall, StageServer

__all__ = ["Entry", "Surroundings"]

TICK_S = 0.006
# What an entry waits for a connection that nobody answers, and for a peer's word.
CONNECT_TIMEOUT_S = 0.5
PEER_TIMEOUT_S = 0.8
# Between two questions to the peers that owe an answer, in seconds.
CHECK_S = 0.5


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


@dataclass(slots=True)
class _Live:
    request: Request
    attempts: dict[AttemptId, tuple[Server, Attempt]] = field(default_factory=dict)
    events: int = 0


class Entry:
    """
    One entry from its start to its end; another start is another object.

    ``up`` is false once its process is gone. ``leaving`` says that it takes no more
    callers. A frozen one does nothing until it is thawed, and then all that came;
    ``thawed_at`` is when that was.
    """

    def __init__(
        self, name: str, place: str, planner: Planner, world: Surroundings
    ) -> None:
        self.name = name
        self.place = place
        self.planner = planner
        self.up = True
        self.leaving = False
        self.is_cut_from_store = False
        self.thawed_at = 0.0
        self._world = world
        self._clock = world.clock
        self._live: dict[str, _Live] = {}
        self._backlog: list[Callable[[], None]] | None = None
        self._calls: set[int] = set()
        self._ticking = False
        self.first_attempts = 0
        self.paid_retries = 0
        self._table: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self._cancel,
            Ask: self._ask,
            Greet: lambda action: None,
            Answer: self._answer,
            Refuse: self._refuse,
            RunPieces: self._run_pieces,
            FreeResults: self._free,
            AskPeer: self._ask_peer,
            TellPeer: self._tell_peer,
            FreeAtPeer: self._free_at_peer,
        }
        self._later(CHECK_S, self._check_peers)

    @property
    def in_flight(self) -> int:
        """Requests that have not ended here."""
        return len(self._live)

    @property
    def is_frozen(self) -> bool:
        """Whether it stands still."""
        return self._backlog is not None

    # Its process

    def freeze(self) -> None:
        """Stand still; what comes waits."""
        self._backlog = []

    def thaw(self) -> None:
        """Do all that waited."""
        backlog, self._backlog = self._backlog or [], None
        self.thawed_at = self._clock.now
        for work in backlog:
            self.do(work)

    def kill(self) -> None:
        """Lose the process: callers' connections break, calls go on unheard."""
        self.up = False
        self._backlog = None
        for live in self._live.values():
            self._leave_attempts(live)
            self._world.cut_off(live.request)
        self._live.clear()

    def leave(self) -> None:
        """Take no more callers, and make no more pieces for others."""
        self.leaving = True
        self.do(lambda: self._carry_out(self.planner.leaving(self._clock.now)))

    def do(self, work: Callable[[], None]) -> None:
        """Do something at once, or when the process moves again, or never."""
        if not self.up:
            return
        if self._backlog is not None:
            self._backlog.append(work)
        else:
            work()

    def _later(self, delay_s: float, work: Callable[[], None]) -> None:
        self._clock.after(delay_s, lambda: self.do(work))

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
        self._live[request.try_id] = _Live(request)
        self._wake()
        arrival = self._world.make_arrival(request)
        self._carry_out(self.planner.request_arrived(self._clock.now, arrival))

    def _abandon(self, try_id: str) -> None:
        live = self._live.pop(try_id, None)
        if live is not None:
            self._leave_attempts(live)
            self._carry_out(self.planner.caller_gone(self._clock.now, try_id))

    def _leave_attempts(self, live: _Live) -> None:
        for server, attempt in live.attempts.values():
            self._withdraw(server, attempt)
        live.attempts.clear()

    # Settings and peers

    def settings_changed(self, settings: PolicySettings) -> None:
        """Use newer settings."""
        self.do(
            lambda: self._carry_out(
                self.planner.settings_changed(self._clock.now, settings)
            )
        )

    def peers_changed(self, peers: Sequence[Peer]) -> None:
        """Use these live entries."""
        self.do(
            lambda: self._carry_out(self.planner.peers_changed(self._clock.now, peers))
        )

    def _check_peers(self) -> None:
        now = self._clock.now
        for name in sorted(self.planner.asked_peers | self.planner.shut_peers(now)):
            peer = self._world.peer(name)
            if peer is not None and not peer.is_frozen and self._reaches(peer.place):
                if not peer.leaving:
                    self._carry_out(self.planner.peer_back(now, name))
            elif name in self.planner.asked_peers:
                self._carry_out(self.planner.peer_failed(now, name))
        self._later(CHECK_S, self._check_peers)

    # Time

    def _wake(self) -> None:
        if not self._ticking:
            self._ticking = True
            self._later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._carry_out(self.planner.tick(self._clock.now))
        self._ticking = bool(self._live) or self.planner.has_pieces
        if self._ticking:
            self._later(TICK_S, self._tick)

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            self._table[type(action)](action)

    def _reaches(self, place: str) -> bool:
        return self._world.network.reaches(self.place, place)

    def _delay_s(self, place: str) -> float:
        return self._world.network.delay_s(self.place, place)

    # Attempts

    def _send(self, send: Send) -> None:
        live = self._live[send.attempt.request_id]
        server = self._world.server(send.endpoint)
        self.first_attempts += send.attempt.number <= 1
        if server is None:
            self._later(0.0, lambda: self._unreachable(send.attempt))
            return
        attempt = self._new_attempt(send, live, server)
        live.attempts[send.attempt] = (server, attempt)
        if server.dark or not self._reaches(server.place):
            self._later(CONNECT_TIMEOUT_S, lambda: self._unreachable(send.attempt))
            return
        delay_s = self._delay_s(server.place)
        self._clock.after(delay_s, lambda: self._arrive(server, attempt, delay_s))

    def _arrive(self, server: Server, attempt: Attempt, delay_s: float) -> None:
        if attempt.gone:
            return
        if not server.up:
            self._later(delay_s, lambda: self._unreachable(attempt.id))
        elif isinstance(server, EngineServer | PlainServer):
            server.run(attempt)

    def _new_attempt(self, send: Send, live: _Live, server: Server) -> Attempt:
        name = send.attempt
        inputs = self.planner.inputs_of(live.request.try_id)

        def on_load(report: LoadReport) -> None:
            self._back(server, lambda: self._heard(server, report))

        def on_events(count: int) -> None:
            self._back(server, lambda: self._progress(name, count))

        def on_end(result: StageResult) -> None:
            self._back(server, lambda: self._ended(name, result))

        return Attempt(
            name,
            live.request,
            tuple(one.handle for one in inputs),
            send.resume_offset,
            on_load,
            on_events,
            on_end,
        )

    def _back(self, server: Server, work: Callable[[], None]) -> None:
        if not server.dark and self._reaches(server.place):
            self._later(self._delay_s(server.place), work)

    def _heard(self, server: Server, report: LoadReport) -> None:
        name = server.endpoint.id
        self._carry_out(self.planner.load_report(self._clock.now, name, report))

    def _progress(self, name: AttemptId, events: int) -> None:
        live = self._live.get(name.request_id)
        if live is None or name not in live.attempts:
            return
        if not live.events:
            self._world.began(live.request)
        live.events = max(live.events, events)
        self._carry_out(self.planner.progress(self._clock.now, name, live.events))

    def _unreachable(self, name: AttemptId) -> None:
        self._ended(name, StageResult(Fate.NOT_RUN, unreachable=True))

    def _ended(self, name: AttemptId, result: StageResult) -> None:
        live = self._live.get(name.request_id)
        if live is None or (live.attempts.pop(name, None) is None):
            return
        if result.fate is Fate.LOST:
            result = self._lost(live.request)
        retries = self.planner.counters.retries
        self._carry_out(self.planner.reply(self._clock.now, name, result))
        if result.fate is Fate.FAILED:
            self.paid_retries += self.planner.counters.retries - retries

    def _lost(self, request: Request) -> StageResult:
        # Nobody can be asked what became of it: what may not run twice ends so.
        is_effect = request.kind.call == "effect"
        return StageResult(Fate.UNKNOWN if is_effect else Fate.FAILED)

    def _cancel(self, cancel: Cancel) -> None:
        live = self._live.get(cancel.attempt.request_id)
        found = live.attempts.pop(cancel.attempt, None) if live else None
        if found is not None:
            self._withdraw(*found)

    def _withdraw(self, server: Server, attempt: Attempt) -> None:
        attempt.gone = True
        if isinstance(server, EngineServer | PlainServer) and server.up:
            delay_s = self._delay_s(server.place)
            self._clock.after(delay_s, lambda: server.cancel(attempt))

    def _ask(self, ask: Ask) -> None:
        self._ended(ask.attempt, StageResult(Fate.UNKNOWN))

    # Ends

    def _answer(self, answer: Answer) -> None:
        live = self._live.pop(answer.request_id)
        self._leave_attempts(live)
        self._world.answered(live.request)

    def _refuse(self, refusal: Refuse) -> None:
        live = self._live.pop(refusal.request_id)
        self._leave_attempts(live)
        self._world.refused(live.request, refusal)

    # Pieces

    def _run_pieces(self, order: RunPieces) -> None:
        server = self._world.server(order.endpoint)
        self._calls.add(order.call)
        self._later(
            order.timeout_s, lambda: self._pieces_ended(order.call, PiecesEnded())
        )
        if not isinstance(server, StageServer):
            self._later(0.0, lambda: self._pieces_ended(order.call, PiecesEnded()))
            return
        if server.dark or not self._reaches(server.place):
            self._later(
                CONNECT_TIMEOUT_S,
                lambda: self._pieces_ended(order.call, PiecesEnded()),
            )
            return
        call = self._piece_call(order, server)
        delay_s = self._delay_s(server.place)
        self._clock.after(delay_s, lambda: self._call_arrives(server, call))

    def _call_arrives(self, server: StageServer, call: PieceCall) -> None:
        if server.up:
            server.call(call)
        else:
            call.on_lost()

    def _piece_call(self, order: RunPieces, server: StageServer) -> PieceCall:
        requests = [self._world.request_of_piece(p.request_id) for p in order.pieces]

        def on_end(end: PiecesEnded) -> None:
            self._back(server, lambda: self._pieces_ended(order.call, end))

        def on_lost() -> None:
            self._back(server, lambda: self._pieces_ended(order.call, PiecesEnded()))

        sizes = [
            request.kind.stages[piece.stage].result_bytes
            for piece, request in zip(order.pieces, requests, strict=True)
        ]
        return PieceCall(order.pieces, tuple(requests), tuple(sizes), on_end, on_lost)

    def _pieces_ended(self, call: int, end: PiecesEnded) -> None:
        if call in self._calls:
            self._calls.remove(call)
            self._carry_out(self.planner.pieces_ended(self._clock.now, call, end))

    def _free(self, order: FreeResults) -> None:
        server = self._world.server(order.endpoint)
        if not isinstance(server, StageServer) or server.dark:
            return
        if self._reaches(server.place):
            delay_s = self._delay_s(server.place)
            self._clock.after(delay_s, lambda: server.free(order.handles))

    # Peers

    def _to_peer(
        self,
        name: str,
        work: Callable[["Entry"], None],
        on_failure: Callable[[], None],
    ) -> None:
        peer = self._world.peer(name)
        if peer is None:
            self._later(0.0, on_failure)
        elif not self._reaches(peer.place):
            self._later(PEER_TIMEOUT_S, on_failure)
        else:
            found = peer
            delay_s = self._delay_s(peer.place)
            self._clock.after(delay_s, lambda: found.do(lambda: work(found)))

    def _ask_peer(self, order: AskPeer) -> None:
        self._to_peer(
            order.peer,
            lambda peer: peer.asked(self.name, order),
            lambda: self._peer_failed(order.peer),
        )

    def _tell_peer(self, order: TellPeer) -> None:
        self._to_peer(order.peer, lambda peer: peer.told(order), lambda: None)

    def _free_at_peer(self, order: FreeAtPeer) -> None:
        self._to_peer(
            order.peer, lambda peer: peer.freed(order), lambda: self.freed(order)
        )

    def _peer_failed(self, name: str) -> None:
        self._carry_out(self.planner.peer_failed(self._clock.now, name))

    def asked(self, asker: str, order: AskPeer) -> None:
        """Take pieces that another entry wants made."""
        self._wake()
        self._carry_out(self.planner.pieces_asked(self._clock.now, asker, order.asks))

    def told(self, order: TellPeer) -> None:
        """Hear what became of pieces at another entry."""
        self._carry_out(self.planner.pieces_told(self._clock.now, order.told))

    def freed(self, order: FreeAtPeer) -> None:
        """Drop results that are read no more."""
        self._carry_out(
            self.planner.results_freed(self._clock.now, order.results, order.ended)
        )
