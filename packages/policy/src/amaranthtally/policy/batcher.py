"""Which pieces share a call, and in which order: one entry decides for an endpoint."""

from collections.abc import Iterable, Mapping

from amaranthtally.policy.actions import Action, FreeResults, RunPieces
from amaranthtally.policy.batches import (
    Batches,
    PieceCall,
    piece_order,
    unmade_requests,
)
from amaranthtally.policy.call_filling import CallFill, FillCall, fill_call
from amaranthtally.policy.input_reads import InputReads
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece, StoredResult
from amaranthtally.policy.piece_messages import (
    PieceFault,
    PieceJob,
    PieceOutcome,
    PieceReport,
    PiecesEnded,
)
from amaranthtally.policy.piece_queue import QueuedPiece
from amaranthtally.policy.piece_servers import PieceServer, PieceServers
from amaranthtally.policy.routes import Pool
from amaranthtally.policy.site_queue import SiteQueue

__all__ = ["Batcher", "Batches"]

# How long an idle endpoint is left idle for more pieces to come, in seconds. The end of
# one call makes pieces of several requests due at the next pool, in several entries,
# within the way between them: the first, sent alone, would make the others wait for
# a whole call of 0.2 s and more.
LINGER_S = 0.012
# How long pieces wait for an endpoint that fails before they are given back to be
# asked for elsewhere, in seconds: two tries of an endpoint that only was full.
GIVE_BACK_S = 0.5


class Batcher:
    """
    Makes the pieces that all entries want of the endpoints that this one calls.

    An endpoint for pieces takes as long for a call with one piece as for a call
    with several, and one call at a time. So it gets one call at a time, and whatever
    becomes due meanwhile shares the next: with a call for each request, three
    endpoints would do thirteen requests a second, with shared ones sixty pieces. And
    one entry calls it for all: entries that know nothing of each other fill its queue
    and its memory, and a fifth of what they send is turned away.
    """

    def __init__(
        self,
        servers: PieceServers | None = None,
        fill: FillCall = fill_call,
        linger_s: float = LINGER_S,
    ) -> None:
        self._servers = servers or PieceServers()
        self._fill = fill
        self._linger_s = linger_s
        self._queues: dict[tuple[str, str], SiteQueue] = {}
        # Pieces that wait or run, so that none is taken twice.
        self._known: set[Piece] = set()
        self._calls: dict[int, PieceCall] = {}
        self._reads = InputReads()
        self._next_call = 0

    @property
    def servers(self) -> PieceServers:
        """The endpoints for pieces."""
        return self._servers

    @property
    def waiting(self) -> int:
        """Pieces that were asked for and not sent."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def is_busy(self) -> bool:
        """Whether anything here waits for the passing of time."""
        return bool(self._reads) or any(self._queues.values())

    def configure(
        self, endpoints: Mapping[str, Endpoint], pools: Mapping[str, Pool]
    ) -> None:
        """Use these endpoints and pools."""
        self._servers.replace(endpoints, pools)

    def wait_s(self, now: float, pool: str, data_centre: str, rank: int) -> float:
        """
        Return how long a piece asked for now would wait for its call to begin.

        Only those that go before one of its rank count: with all of them, urgent
        requests left a place to the less urgent that would have let them pass.
        """
        servers = self._servers.at(pool, data_centre)
        if not servers:
            return 0.0
        queue = self._queues.get((pool, data_centre))
        queued = queue.on_time(now, rank) if queue is not None else 0
        limits = servers[0].limits
        calls = queued // (limits.batch * len(servers))
        best = min(servers, key=lambda server: server.wait_s(now))
        return best.wait_s(now) + calls * best.full_call_time_s(now)

    def slowdown_s(self, now: float, pool: str, data_centre: str) -> float:
        """Return by how much longer than usual a call there is predicted to take."""
        servers = self._servers.at(pool, data_centre)
        if not servers:
            return 0.0
        fastest_s = min(server.full_call_time_s(now) for server in servers)
        return fastest_s - servers[0].limits.full_call_time_s()

    # Events

    def take(self, now: float, asks: Iterable[PieceJob]) -> Batches:
        """
        Take pieces, and send what can be sent.

        One that waits or runs already is not taken twice: an entry that has heard
        nothing of it for long asks once more, as the word of its end may be lost.
        """
        places: dict[tuple[str, str], None] = {}
        for ask in asks:
            if ask.piece in self._known:
                continue
            self._queue(now, ask)
            places[ask.pool, ask.data_centre] = None
        batches = Batches()
        for place in places:
            self._flush(now, place, batches)
        return batches

    def ended(self, now: float, call_id: int, end: PiecesEnded) -> Batches:
        """Take the end of a call; its endpoint can have the next one."""
        call = self._calls.pop(call_id)
        self._known.difference_update(ask.piece for ask in call.asks)
        server = self._servers.find(call.endpoint)
        if server is not None:
            self._note_end(now, server, call_id, end)
        batches = Batches()
        freed = call.whole - self._reads.keep(call_id, unmade_requests(call, end))
        if end.outcomes:
            for ask, outcome in zip(call.asks, end.outcomes, strict=True):
                has_freed = ask.piece.request_id in freed
                self._take_outcome(
                    now, call.endpoint, server, ask, outcome, has_freed, batches
                )
        else:
            for ask in call.asks:
                has_freed = ask.piece.request_id in freed
                self._call_failed(now, ask, end, has_freed, batches)
        place = (call.asks[0].pool, call.asks[0].data_centre)
        self._flush(now, place, batches)
        return batches

    def tick(self, now: float) -> Batches:
        """Send what waited for an endpoint; give back what waits for a failed one."""
        batches = Batches()
        batches.read += self._reads.take_read(now)
        for place, queue in self._queues.items():
            if queue:
                self._flush(now, place, batches)
        return batches

    def hand_back(self) -> Batches:
        """Let askers ask another entry for what waits, as this one leaves."""
        waiting = [w for queue in self._queues.values() for w in queue]
        self._queues.clear()
        self._forget(waiting)
        return self.refuse(w.ask for w in waiting)

    def refuse(self, asks: Iterable[PieceJob]) -> Batches:
        """Let askers ask another entry, as this one makes no pieces for them."""
        batches = Batches()
        for ask in asks:
            told = PieceReport(
                ask.piece, ask.pool, ask.data_centre, fault=PieceFault.HANDED_BACK
            )
            batches.told.setdefault(ask.asker, []).append(told)
        return batches

    def withdraw(self, request_id: str) -> None:
        """Make no more pieces of a request that has ended."""
        for queue in self._queues.values():
            self._forget(queue.take_request(request_id))

    def free(self, now: float, results: Iterable[StoredResult]) -> list[Action]:
        """Have results dropped by their makers."""
        by_endpoint: dict[str, list[str]] = {}
        held_s: dict[str, float] = {}
        for result in results:
            name = result.endpoint
            server = self._servers.find(name)
            if server is not None:
                kept_s = server.freed(now, result.handle)
                held_s[name] = max(held_s.get(name, 0.0), kept_s)
                by_endpoint.setdefault(name, []).append(result.handle)
        return [
            FreeResults(name, tuple(handles), held_s[name])
            for name, handles in by_endpoint.items()
        ]

    # Ends

    def _note_end(
        self, now: float, server: PieceServer, call_id: int, end: PiecesEnded
    ) -> None:
        made_all = bool(end.outcomes) and all(one.handle for one in end.outcomes)
        server.ended(now, call_id, made_all)
        if end.running is not None:
            server.note_load(now, end.running, end.queued)
        if end.outcomes:
            server.succeeded()
        else:
            server.failed(now)

    def _take_outcome(
        self,
        now: float,
        endpoint: str,
        server: PieceServer | None,
        ask: PieceJob,
        outcome: PieceOutcome,
        has_freed: bool,
        batches: Batches,
    ) -> None:
        if outcome.fault is PieceFault.NO_ROOM:
            if server is not None:
                server.had_no_room(now)
            if not has_freed:
                self._queue(now, ask)
                return
            outcome = PieceOutcome(fault=PieceFault.INPUT_MISSING)
        if server is not None and outcome.handle:
            server.keeps(now, outcome.handle, ask.result_bytes)
        self._tell(now, ask, endpoint, outcome, batches, has_freed)

    def _call_failed(
        self,
        now: float,
        ask: PieceJob,
        end: PiecesEnded,
        has_freed: bool,
        batches: Batches,
    ) -> None:
        if end.refused and not has_freed:
            self._queue(now, ask)
        else:
            outcome = PieceOutcome(fault=PieceFault.FAILED)
            self._tell(now, ask, "", outcome, batches, has_freed)

    def _queue(self, now: float, ask: PieceJob) -> None:
        place = (ask.pool, ask.data_centre)
        self._known.add(ask.piece)
        self._queues.setdefault(place, SiteQueue()).add(QueuedPiece(ask, now))

    def _forget(self, several: Iterable[QueuedPiece]) -> None:
        self._known.difference_update(waiting.ask.piece for waiting in several)

    def _tell(
        self,
        now: float,
        ask: PieceJob,
        endpoint: str,
        outcome: PieceOutcome,
        batches: Batches,
        inputs_freed: bool = False,
    ) -> None:
        told = PieceReport(
            ask.piece,
            ask.pool,
            ask.data_centre,
            endpoint,
            outcome.handle,
            outcome.fault,
            self.wait_s(now, ask.pool, ask.data_centre, ask.priority),
            inputs_freed,
            self.slowdown_s(now, ask.pool, ask.data_centre),
        )
        batches.told.setdefault(ask.asker, []).append(told)

    # Calls

    def _flush(self, now: float, place: tuple[str, str], batches: Batches) -> None:
        """Give each endpoint that is free the most urgent pieces."""
        queue = self._queues.get(place)
        if not queue:
            return
        self._tell_fault(now, queue.take_late(now), PieceFault.LATE, batches)
        servers = self._servers.at(*place)
        for server in servers:
            if not queue:
                return
            if server.is_open(now) and self._is_due(now, server, queue):
                fill = self._fill(
                    now, queue.waiting, server.limits, server.free_bytes(now)
                )
                if fill.pieces:
                    batches.actions.append(self._send(now, server, queue, fill))
        self._drop_crowded_out(now, queue, servers, batches)
        if not any(server.is_usable(now) for server in servers):
            self._give_back(now, queue, not servers, batches)

    def _is_due(self, now: float, server: PieceServer, queue: SiteQueue) -> bool:
        """Whether there is enough for a call, or a piece has waited for others."""
        if len(queue) >= server.limits.batch:
            return True
        return any(now - waiting.since >= self._linger_s for waiting in queue)

    def _send(
        self,
        now: float,
        server: PieceServer,
        queue: SiteQueue,
        fill: CallFill,
    ) -> RunPieces:
        self._next_call += 1
        queue.remove(fill.pieces)
        asks = tuple(waiting.ask for waiting in fill.pieces)
        is_only_caller = server.is_only_caller(now)
        timeout_s = server.timeout_s(now, len(asks))
        size = sum(ask.result_bytes for ask in asks)
        server.sent(now, self._next_call, len(asks), size)
        whole = (
            self._reads.note(now, self._next_call, asks)
            if is_only_caller
            else frozenset()
        )
        self._calls[self._next_call] = PieceCall(server.endpoint.id, asks, whole)
        orders = tuple(piece_order(ask) for ask in asks)
        return RunPieces(
            self._next_call, server.endpoint.id, orders, timeout_s, fill.details
        )

    def _drop_crowded_out(
        self,
        now: float,
        queue: SiteQueue,
        servers: list[PieceServer],
        batches: Batches,
    ) -> None:
        """
        Refuse late requests at once where those on time leave them no place.

        Kept, they would wait to the end of their time and be refused then: their
        callers learn nothing for seconds, and can't come back when there is room.
        Those that have been begun are kept, as what was made of them would be wasted.
        """
        places = sum(server.limits.batch for server in servers)
        if queue.on_time(now) >= places:
            late = self._take_crowded_out(now, queue)
            self._tell_fault(now, late, PieceFault.LATE, batches)

    def _take_crowded_out(self, now: float, queue: SiteQueue) -> list[QueuedPiece]:
        return queue.take_late_unbegun(now)

    def _give_back(
        self, now: float, queue: SiteQueue, at_once: bool, batches: Batches
    ) -> None:
        """Let pieces be asked for elsewhere, as no endpoint here takes them."""
        kept_s = 0.0 if at_once else GIVE_BACK_S
        given = queue.take(lambda waiting: now - waiting.since >= kept_s)
        self._tell_fault(now, given, PieceFault.FAILED, batches)

    def _tell_fault(
        self,
        now: float,
        several: list[QueuedPiece],
        fault: PieceFault,
        batches: Batches,
    ) -> None:
        self._forget(several)
        for waiting in several:
            self._tell(now, waiting.ask, "", PieceOutcome(fault=fault), batches)
