"""Which pieces of which requests share a call, where, and which results are kept."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.actions import Action, FreeResults, PieceOrder, RunPieces
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece, PieceGraph, StoredResult
from amaranthtally.policy.piece_servers import PieceServer, PieceServers
from amaranthtally.policy.routes import PieceStage, Pool

__all__ = ["Gatherer", "Gathering", "PieceFault", "PieceOutcome", "PiecesEnded"]

# Failures of one piece before its request is given up: one for a bad endpoint, one
# for a second bad one.
MOST_FAILURES = 3
# Each rank of priority counts like this many seconds less of patience when pieces
# wait: large enough to put urgent kinds first within one call's time (0.2 to 0.4 s),
# small enough that nobody waits for ever.
PRIORITY_S = 0.3
# What running away from the entry's own data centre counts for, in seconds: two
# crossings of a region's link and the traffic of the results, against waiting.
AWAY_REGION_S = 0.25
AWAY_CENTRE_S = 0.1
# A piece is run in another data centre once it has waited for this many full calls.
PATIENCE_CALLS = 1.5
# How long a piece waits for another endpoint than the one that failed it, in
# seconds: as long as a failed endpoint is left alone at most.
LONGEST_ELSEWHERE_S = 2.0


class PieceFault(Enum):
    """Why an endpoint made no result of a piece."""

    LATE = "late"
    INPUT_GONE = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"


class PieceOutcome(NamedTuple):
    """A piece's result by its handle, or why there is none."""

    handle: str = ""
    fault: PieceFault | None = None


@dataclass(frozen=True, slots=True)
class PiecesEnded:
    """
    The end of a call with pieces; ``outcomes`` in the order in which they were sent.

    Without outcomes the call failed as a whole: ``refused`` where the endpoint said
    that it did not start. ``running`` and ``queued`` are its load, where it told it.
    """

    outcomes: tuple[PieceOutcome, ...] = ()
    refused: bool = False
    running: int | None = None
    queued: int = 0


@dataclass(slots=True)
class _Waiting:
    piece: Piece
    since: float
    avoid: frozenset[str] = frozenset()


@dataclass(slots=True)
class _Gathered:
    graph: PieceGraph
    key: str
    objective: float
    deadline: float
    priority: int
    home: str

    def urgency(self, now: float) -> tuple[bool, float]:
        """Return a sort key: first who can still be on time, then by patience."""
        return (now > self.objective, self.objective + PRIORITY_S * self.priority)


class _Call(NamedTuple):
    endpoint: str
    pieces: tuple[Piece, ...]


@dataclass(slots=True)
class Gathering:
    """What follows from an event: actions, requests whose inputs are complete, lost."""

    actions: list[Action] = field(default_factory=list)
    ready: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)


class Gatherer:
    """
    Runs the pieces of all requests of an entry, in calls that they share.

    An endpoint for pieces takes as long for a call with one piece as for a call
    with several, and one call at a time. So an endpoint gets one call of this entry
    at a time, and whatever becomes due meanwhile shares the next: with a call for
    each request, three endpoints would do thirteen requests a second, with shared
    ones sixty pieces.
    """

    def __init__(self) -> None:
        self._region = ""
        self._data_centre = ""
        self._servers = PieceServers()
        self._pools: Mapping[str, Pool] = {}
        self._gathered: dict[str, _Gathered] = {}
        self._queues: dict[str, list[_Waiting]] = {}
        self._calls: dict[int, _Call] = {}
        self._next_call = 0

    @property
    def waiting(self) -> int:
        """Pieces that are due and not sent."""
        return sum(len(queue) for queue in self._queues.values())

    def configure(
        self,
        region: str,
        data_centre: str,
        endpoints: Mapping[str, Endpoint],
        pools: Mapping[str, Pool],
    ) -> None:
        """Use these endpoints and pools, seen from this place."""
        self._region = region
        self._data_centre = data_centre
        self._pools = pools
        self._servers.replace(endpoints, pools)

    def is_known(self, request_id: str) -> bool:
        """Whether a request's pieces are held here."""
        return request_id in self._gathered

    def inputs_of(self, request_id: str) -> tuple[StoredResult, ...]:
        """Return the results that a request reads."""
        found = self._gathered.get(request_id)
        return () if found is None else found.graph.request_inputs()

    def predicted_s(
        self, now: float, stages: tuple[PieceStage, ...], counts: tuple[int, ...]
    ) -> float:
        """Return how long the pieces of a request would take if it came now."""
        ends: list[float] = []
        for index, stage in enumerate(stages):
            count = counts[index] if index < len(counts) else 0
            begin = max((ends[i] for i in stage.after if i < index), default=0.0)
            wait_s = self._stage_s(now, stage.pool, count) if count else 0.0
            ends.append(begin + wait_s)
        return max(ends, default=0.0)

    def _stage_s(self, now: float, pool: str, count: int) -> float:
        servers = list(self._servers.usable(now, pool)) or self._servers.of(pool)
        if not servers:
            return 0.0
        limits = servers[0].limits
        queued = len(self._queues.get(pool, ())) + count
        calls = queued / (limits.batch * len(servers))
        wait_s = min(s.wait_s(now) for s in servers)
        return wait_s + max(1.0, calls) * limits.full_call_s()

    # Events

    def begin(
        self,
        now: float,
        request_id: str,
        stages: tuple[PieceStage, ...],
        counts: tuple[int, ...],
        key: str,
        objective: float,
        deadline: float,
        priority: int,
    ) -> Gathering:
        """Take a request in and send what can be sent."""
        ensure(request_id not in self._gathered, "a request's pieces begin once")
        graph = PieceGraph(request_id, stages, counts)
        home = self._home(now, graph)
        self._gathered[request_id] = _Gathered(
            graph, key, objective, deadline, priority, home
        )
        return self._advance(now, self._gathered[request_id])

    def begin_again(self, now: float, request_id: str) -> Gathering:
        """Make the results that a request reads once more, as one is gone."""
        found = self._gathered[request_id]
        freed = self._free(found.graph.lose_request_inputs())
        news = self._advance(now, found)
        news.actions[:0] = freed
        return news

    def ended(self, now: float, call_id: int, end: PiecesEnded) -> Gathering:
        """Take the end of a call; its endpoint can have the next one."""
        call = self._calls.pop(call_id)
        server = self._servers.find(call.endpoint)
        if server is not None:
            self._note_end(now, server, call_id, end)
        news = Gathering()
        if end.outcomes:
            for piece, outcome in zip(call.pieces, end.outcomes, strict=True):
                self._take(now, call.endpoint, server, piece, outcome, news)
        else:
            for piece in call.pieces:
                self._again(now, piece, call.endpoint, not end.refused, news)
        self._continue(now, call.pieces, news)
        return news

    def tick(self, now: float) -> list[Action]:
        """Send what waited for an endpoint to be usable again."""
        actions: list[Action] = []
        for pool, queue in self._queues.items():
            if queue:
                actions += self._flush(now, pool)
        return actions

    def close(self, request_id: str) -> list[Action]:
        """Forget a request that has ended, and free its results."""
        found = self._gathered.pop(request_id, None)
        if found is None:
            return []
        for queue in self._queues.values():
            queue[:] = [w for w in queue if w.piece.request_id != request_id]
        return self._free(found.graph.take_all())

    def free_inputs(self, request_id: str) -> list[Action]:
        """Free the results that a request has read, as it runs now."""
        found = self._gathered.get(request_id)
        return [] if found is None else self._free(found.graph.take_all())

    def load_report(self, now: float, endpoint: str, running: int, queued: int) -> None:
        """Learn an endpoint's load."""
        server = self._servers.find(endpoint)
        if server is not None:
            server.note_load(now, running, queued)

    # Pieces

    def _note_end(
        self, now: float, server: PieceServer, call_id: int, end: PiecesEnded
    ) -> None:
        server.ended(now, call_id)
        if end.running is not None:
            server.note_load(now, end.running, end.queued)
        if end.outcomes:
            server.succeeded()
        else:
            server.failed(now)

    def _take(
        self,
        now: float,
        endpoint: str,
        server: PieceServer | None,
        piece: Piece,
        outcome: PieceOutcome,
        news: Gathering,
    ) -> None:
        found = self._gathered.get(piece.request_id)
        if outcome.fault is None:
            result = self._stored(endpoint, server, piece, outcome.handle, found)
            if found is None:
                # Its request has ended: nobody will read the result.
                news.actions.append(FreeResults(endpoint, (outcome.handle,)))
            else:
                found.graph.finished(piece, result)
            return
        if found is None:
            return
        if outcome.fault is PieceFault.LATE:
            news.failed.append(piece.request_id)
        elif outcome.fault is PieceFault.INPUT_GONE:
            lost = found.graph.lose_inputs_of(piece)
            news.actions += self._free(lost)
        else:
            self._again(now, piece, endpoint, True, news)

    def _again(
        self,
        now: float,
        piece: Piece,
        endpoint: str,
        failed: bool,
        news: Gathering,
    ) -> None:
        found = self._gathered.get(piece.request_id)
        if found is None:
            return
        if found.graph.requeued(piece, failed) >= MOST_FAILURES:
            news.failed.append(piece.request_id)
            return
        avoid = frozenset({endpoint})
        self._queue(found, piece).append(_Waiting(piece, now, avoid))

    def _continue(self, now: float, pieces: Iterable[Piece], news: Gathering) -> None:
        """Send what the end of a call made due."""
        pools: set[str] = set()
        for request_id in dict.fromkeys(p.request_id for p in pieces):
            found = self._gathered.get(request_id)
            if found is None or request_id in news.failed:
                continue
            news.actions += self._free(found.graph.take_unread())
            pools |= self._enqueue(now, found)
            if found.graph.is_done:
                news.ready.append(request_id)
        # Every endpoint that may be free now: the one whose call ended is among them.
        for pool in pools | {name for name, queue in self._queues.items() if queue}:
            news.actions += self._flush(now, pool)

    def _advance(self, now: float, found: _Gathered) -> Gathering:
        news = Gathering()
        for pool in self._enqueue(now, found):
            news.actions += self._flush(now, pool)
        if found.graph.is_done:
            news.ready.append(found.graph.request_id)
        return news

    def _enqueue(self, now: float, found: _Gathered) -> set[str]:
        pools: set[str] = set()
        for piece in found.graph.take_due():
            self._queue(found, piece).append(_Waiting(piece, now))
            pools.add(found.graph.stages[piece.stage].pool)
        return pools

    def _queue(self, found: _Gathered, piece: Piece) -> list[_Waiting]:
        pool = found.graph.stages[piece.stage].pool
        return self._queues.setdefault(pool, [])

    # Calls

    def _flush(self, now: float, pool: str) -> list[Action]:
        """Give each endpoint that is free the pieces that should run there."""
        actions: list[Action] = []
        queue = self._queues.get(pool, [])
        open_servers = [s for s in self._servers.of(pool) if s.is_open(now)]
        open_servers.sort(key=lambda s: self._distance_s(s.endpoint))
        usable = {s.endpoint.data_centre for s in self._servers.usable(now, pool)}
        for server in open_servers:
            if not queue:
                break
            chosen = self._choose(now, server, queue, usable)
            if chosen:
                actions.append(self._send(now, server, queue, chosen))
        return actions

    def _choose(
        self,
        now: float,
        server: PieceServer,
        queue: list[_Waiting],
        usable: set[str],
    ) -> list[_Waiting]:
        fitting = [w for w in queue if self._suits(now, server, w, usable)]
        fitting.sort(key=lambda w: self._gathered[w.piece.request_id].urgency(now))
        chosen: list[_Waiting] = []
        stored = server.stored_bytes
        for waiting in fitting[: server.limits.batch]:
            size = self._result_bytes(waiting.piece)
            if not server.has_room(stored - server.stored_bytes + size):
                break
            stored += size
            chosen.append(waiting)
        return chosen

    def _suits(
        self, now: float, server: PieceServer, waiting: _Waiting, usable: set[str]
    ) -> bool:
        data_centre = server.endpoint.data_centre
        home = self._gathered[waiting.piece.request_id].home
        if server.endpoint.id in waiting.avoid:
            # Elsewhere, where there is an elsewhere, or after a while.
            if len(usable) > 1 and now - waiting.since < LONGEST_ELSEWHERE_S:
                return False
        elif data_centre == home:
            return True
        if home not in usable or waiting.avoid:
            return True
        patience_s = PATIENCE_CALLS * server.limits.full_call_s()
        return now - waiting.since > patience_s

    def _send(
        self,
        now: float,
        server: PieceServer,
        queue: list[_Waiting],
        chosen: list[_Waiting],
    ) -> RunPieces:
        self._next_call += 1
        call_id = self._next_call
        pieces = tuple(w.piece for w in chosen)
        queue[:] = [w for w in queue if w not in chosen]
        orders = tuple(self._order(piece) for piece in pieces)
        timeout_s = server.timeout_s(now, len(pieces))
        server.sent(now, call_id, len(pieces))
        self._calls[call_id] = _Call(server.endpoint.id, pieces)
        return RunPieces(call_id, server.endpoint.id, orders, timeout_s)

    def _order(self, piece: Piece) -> PieceOrder:
        found = self._gathered[piece.request_id]
        found.graph.started(piece)
        has_inputs = bool(found.graph.stages[piece.stage].after)
        inputs = tuple(r.handle for r in found.graph.inputs_of(piece))
        return PieceOrder(
            piece.request_id,
            piece.stage,
            piece.number,
            found.deadline,
            found.key if not has_inputs else "",
            inputs,
        )

    def _result_bytes(self, piece: Piece) -> float:
        found = self._gathered[piece.request_id]
        return found.graph.stages[piece.stage].result_bytes

    # Results

    def _stored(
        self,
        endpoint: str,
        server: PieceServer | None,
        piece: Piece,
        handle: str,
        found: _Gathered | None,
    ) -> StoredResult:
        size = 0.0
        if found is not None:
            size = found.graph.stages[piece.stage].result_bytes
        if server is None:
            return StoredResult(handle, endpoint, "", size)
        server.stored_bytes += size if found is not None else 0.0
        return StoredResult(handle, endpoint, server.endpoint.data_centre, size)

    def _free(self, results: list[StoredResult]) -> list[Action]:
        by_endpoint: dict[str, list[str]] = {}
        for result in results:
            server = self._servers.find(result.endpoint)
            if server is None:
                continue
            server.stored_bytes = max(0.0, server.stored_bytes - result.size_bytes)
            by_endpoint.setdefault(result.endpoint, []).append(result.handle)
        return [FreeResults(name, tuple(held)) for name, held in by_endpoint.items()]

    # Places

    def _home(self, now: float, graph: PieceGraph) -> str:
        """
        Return the data centre in which a request's pieces are to run.

        All in one: results that cross data centres are paid for by the byte, and the
        engine that reads them is chosen near them.
        """
        first = next((i for i in range(len(graph.stages)) if graph.count(i)), None)
        if first is None:
            return self._data_centre
        pool = graph.stages[first].pool
        queue = self._queues.get(pool, [])
        best, best_s = self._data_centre, float("inf")
        for server in self._servers.usable(now, pool):
            place = server.endpoint.data_centre
            queued = sum(
                self._gathered[w.piece.request_id].home == place for w in queue
            )
            calls = (queued + graph.count(first)) / server.limits.batch
            wait_s = server.wait_s(now) + calls * server.limits.full_call_s()
            total_s = wait_s + self._distance_s(server.endpoint)
            if total_s < best_s:
                best, best_s = place, total_s
        return best

    def _distance_s(self, endpoint: Endpoint) -> float:
        if endpoint.data_centre == self._data_centre:
            return 0.0
        return AWAY_CENTRE_S if endpoint.region == self._region else AWAY_REGION_S
