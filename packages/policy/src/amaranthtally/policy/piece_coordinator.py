"""Makes the pieces of requests: where, by whom, and again after a failure."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from amaranthtally.policy.actions import Action, FreeAtPeer, ReportToPeer, SubmitToPeer
from amaranthtally.policy.batcher import Batcher, Batches
from amaranthtally.policy.first_events import DEFAULT_S
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece, PieceGraph, StoredResult
from amaranthtally.policy.piece_messages import (
    PieceFault,
    PieceJob,
    PieceReport,
    PiecesEnded,
)
from amaranthtally.policy.pool_sites import Peer, PoolSites
from amaranthtally.policy.result_releaser import ResultFreer
from amaranthtally.policy.routes import PieceStage, Pool
from amaranthtally.policy.stage_plans import StagePlans
from amaranthtally.policy.staged_requests import CoordinatorEffects, StagedRequest
from amaranthtally.policy.submitted_pieces import AskedPiece, AskedPieces

__all__ = ["CoordinatorEffects", "PieceCoordinator"]

# Failures of one piece before its request is given up: one for an endpoint that has
# gone, one for an entry that asked it, one for a second endpoint.
MOST_FAILURES = 4
# A peer is asked once more for a piece of which nothing was heard for this long, in
# seconds, beyond what it is predicted to take twice over. It may only be busy: an
# entry that asked another one then would bring a second caller to an endpoint that is
# full already, and more of them the fuller it is.
PATIENCE_S = 2.0

NOWHERE: Mapping[Piece, str] = {}


class PieceCoordinator:
    """
    Follows the stage graphs of an entry's requests and has their pieces made.

    All pieces of a stage are asked for in one data centre, where they wait least:
    results that cross data centres are paid for by the byte, and the engine that reads
    them is chosen near them.
    """

    def __init__(
        self,
        batcher: Batcher | None = None,
        places: PoolSites | None = None,
        build_plans: Callable[[PoolSites, Batcher], StagePlans] = StagePlans,
    ) -> None:
        self._batcher = batcher or Batcher()
        self._places = places or PoolSites()
        self._freer = ResultFreer(self._batcher, self._places)
        self._plans = build_plans(self._places, self._batcher)
        self._gathered: dict[str, StagedRequest] = {}
        self._asked = AskedPieces()

    @property
    def batcher(self) -> Batcher:
        """What this entry makes for all entries."""
        return self._batcher

    @property
    def plans(self) -> StagePlans:
        """What stages are predicted to take, and where they run best."""
        return self._plans

    def configure(
        self,
        name: str,
        region: str,
        data_centre: str,
        endpoints: Mapping[str, Endpoint],
        pools: Mapping[str, Pool],
    ) -> None:
        """Use these endpoints and pools, seen from this entry."""
        self._plans.configure(pools)
        self._places.configure(name, region, data_centre)
        self._batcher.configure(endpoints, pools)

    def replace_peers(self, peers: Iterable[Peer]) -> None:
        """Use these live entries beside this one."""
        self._places.replace_peers(peers)

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return the entry that calls a pool's endpoints there; empty: this one."""
        return self._places.owner(now, pool, data_centre)

    def inputs_of(self, request_id: str) -> tuple[StoredResult, ...]:
        """Return the results that a request reads."""
        found = self._gathered.get(request_id)
        return () if found is None else found.graph.request_inputs()

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
        reader: str = "",
        engine_s: float = DEFAULT_S,
    ) -> CoordinatorEffects:
        """
        Take a request in and have its first pieces made.

        ``reader`` is the data centre in which the request itself will likely run,
        ``engine_s`` what its engine usually takes to the first event.
        """
        ensure(request_id not in self._gathered, "a request's pieces begin once")
        graph = PieceGraph(request_id, stages, counts)
        found = StagedRequest(
            graph, key, objective, deadline, priority, reader, engine_s
        )
        self._gathered[request_id] = found
        return self._advance(now, found)

    def recompute_inputs(self, now: float, request_id: str) -> CoordinatorEffects:
        """Make the results that a request reads once more, as one is gone."""
        found = self._gathered[request_id]
        freed = self._freer.free(now, found.graph.lose_request_inputs())
        news = self._advance(now, found)
        news.actions[:0] = freed
        return news

    def call_ended(
        self, now: float, call_id: int, end: PiecesEnded
    ) -> CoordinatorEffects:
        """Take the end of a call of this entry."""
        news = CoordinatorEffects()
        self._pass_on(now, self._batcher.ended(now, call_id, end), news)
        return news

    def accept_jobs(
        self, now: float, asker: str, asks: Iterable[PieceJob]
    ) -> CoordinatorEffects:
        """Take pieces that another entry wants made."""
        news = CoordinatorEffects()
        theirs = [replace(ask, asker=asker) for ask in asks]
        # The asker had not heard that this entry leaves, or has started anew and knows
        # no pools: taken, the pieces would be told to have failed, and everybody would
        # leave their place alone.
        knows = not self._places.is_leaving and self._plans.knows_pools
        take = (
            self._batcher.take(now, theirs) if knows else self._batcher.refuse(theirs)
        )
        self._pass_on(now, take, news)
        return news

    def take_reports(
        self, now: float, told: Iterable[PieceReport]
    ) -> CoordinatorEffects:
        """Hear what became of pieces."""
        news = CoordinatorEffects()
        self._take_told(now, told, news)
        return news

    def free_for_peer(
        self, now: float, results: Iterable[StoredResult], ended: str = ""
    ) -> list[Action]:
        """Drop results that another entry has read, and a request that has ended."""
        if ended:
            self._batcher.withdraw(ended)
        return self._batcher.free(now, results)

    def peer_failed(self, now: float, peer: str) -> CoordinatorEffects:
        """Have the pieces made elsewhere that a peer was asked for."""
        self._places.peer_failed(now, peer)
        news = CoordinatorEffects()
        self._ask_again(now, self._asked.of_owner(peer), news)
        return news

    def peer_recovered(self, peer: str) -> None:
        """Ask a peer for pieces again, as it answers and takes part."""
        self._places.peer_recovered(peer)

    def tick(self, now: float) -> CoordinatorEffects:
        """Send what waited; ask once more for what was not heard of."""
        news = CoordinatorEffects()
        late = self._asked.overdue(now)
        # Its call may only wait: asked for in another place, it would be made twice.
        stay = {piece: asked.data_centre for piece, asked in late.items()}
        self._ask_again(now, late, news, stay=stay)
        self._pass_on(now, self._batcher.tick(now), news)
        return news

    def leave(self, now: float) -> CoordinatorEffects:
        """Own nothing from now on, and hand back what waits here."""
        self._places.leave()
        news = CoordinatorEffects()
        self._pass_on(now, self._batcher.hand_back(), news)
        return news

    @property
    def awaited_peers(self) -> frozenset[str]:
        """The entries that were asked for pieces and have not told of all."""
        return self._asked.owners

    def unavailable_peers(self, now: float) -> frozenset[str]:
        """Return the live peers that are asked for nothing, as they failed."""
        return self._places.unavailable_peers(now)

    def close(self, now: float, request_id: str) -> list[Action]:
        """Forget a request that has ended, and free its results."""
        found = self._gathered.pop(request_id, None)
        if found is None:
            return []
        self._batcher.withdraw(request_id)
        # What a peer was asked for would be made for nobody.
        ended: list[Action] = [
            FreeAtPeer(owner, (), request_id) for owner in self._asked.end(request_id)
        ]
        return ended + self._freer.free(now, found.graph.take_all())

    def free_inputs(self, now: float, request_id: str) -> list[Action]:
        """Free the results that a request has read, as it runs now."""
        found = self._gathered.get(request_id)
        return [] if found is None else self._freer.free(now, found.graph.take_all())

    # Asking

    def _advance(self, now: float, found: StagedRequest) -> CoordinatorEffects:
        news = CoordinatorEffects()
        self._ask_due(now, found, news)
        return news

    def _ask_due(
        self, now: float, found: StagedRequest, news: CoordinatorEffects
    ) -> None:
        self._ask(now, found, self._plans.take_due(found.graph), news)
        if found.graph.is_done:
            news.ready.append(found.graph.request_id)

    def _ask(
        self,
        now: float,
        found: StagedRequest,
        pieces: list[Piece],
        news: CoordinatorEffects,
        stay: Mapping[Piece, str] = NOWHERE,
    ) -> None:
        """Ask for pieces; ``stay`` names where some are to be made."""
        by_owner: dict[str, list[PieceJob]] = {}
        places: dict[tuple[int, int], str | None] = {}
        for piece in pieces:
            part = (piece.stage, self._plans.part_index(found.graph, piece))
            if part not in places:
                place = stay.get(piece)
                places[part] = place or self._plan_place(now, found, piece.stage)
            place = places[part]
            if place is None:
                news.failed.append(piece.request_id)
                return
            ask = self._ask_for(now, found, piece, place)
            if ask.deadline < now:
                news.late.append(piece.request_id)
                return
            owner = self._places.owner(now, ask.pool, ask.data_centre)
            by_owner.setdefault(owner, []).append(ask)
            until = self._patience_until(now, ask) if owner else float("inf")
            self._asked.put(piece, AskedPiece(owner, ask.pool, ask.data_centre, until))
            found.graph.started(piece)
        for owner, asks in by_owner.items():
            if owner:
                news.actions.append(SubmitToPeer(owner, tuple(asks)))
            else:
                self._pass_on(now, self._batcher.take(now, asks), news)

    def _plan_place(self, now: float, found: StagedRequest, stage: int) -> str | None:
        on_time_by = found.objective - found.engine_s
        return self._plans.choose_data_centre(
            now, found.graph, stage, found.reader, on_time_by, found.priority
        )

    def _ask_for(
        self, now: float, found: StagedRequest, piece: Piece, place: str
    ) -> PieceJob:
        stage = found.graph.stages[piece.stage]
        after_s = self._plans.after_s(found.graph, piece.stage)
        piece_share_s = self._plans.piece_share_s(stage.pool)
        self._places.note_submitted(
            now, stage.pool, place, piece_share_s, found.priority
        )
        return PieceJob(
            piece,
            stage.pool,
            place,
            stage.result_bytes,
            found.objective - after_s - found.engine_s,
            found.deadline - after_s,
            found.priority,
            "" if stage.after else found.key,
            found.graph.inputs_of(piece),
            found.graph.count(piece.stage),
            found.graph.is_started,
        )

    def _ask_again(
        self,
        now: float,
        pieces: Iterable[Piece],
        news: CoordinatorEffects,
        failed: bool = True,
        stay: Mapping[Piece, str] = NOWHERE,
    ) -> None:
        again: dict[str, list[Piece]] = {}
        for piece in pieces:
            self._asked.take(piece)
            found = self._gathered.get(piece.request_id)
            if found is None or piece.request_id in news.failed:
                continue
            if found.graph.requeued(piece, failed) >= MOST_FAILURES:
                news.failed.append(piece.request_id)
            elif found.graph.is_fed(piece):
                again.setdefault(piece.request_id, []).append(piece)
            else:
                news.actions += self._freer.free(now, found.graph.lose_inputs_of(piece))
        for request_id, several in again.items():
            if request_id not in news.failed:
                self._ask(now, self._gathered[request_id], several, news, stay)

    def _patience_until(self, now: float, ask: PieceJob) -> float:
        wait_s = self._plans.wait_s(now, ask.pool, ask.data_centre, ask.priority)
        return now + 2.0 * (wait_s + self._plans.call_s(ask.pool)) + PATIENCE_S

    # Hearing

    def _pass_on(self, now: float, batches: Batches, news: CoordinatorEffects) -> None:
        news.actions += batches.actions
        news.actions += self._freer.free(now, batches.read)
        for asker, told in batches.told.items():
            if asker:
                news.actions.append(ReportToPeer(asker, tuple(told)))
            else:
                self._take_told(now, told, news)

    def _take_told(
        self, now: float, told: Iterable[PieceReport], news: CoordinatorEffects
    ) -> None:
        touched: dict[str, None] = {}
        for one in told:
            asked = self._asked.take(one.piece)
            found = self._gathered.get(one.piece.request_id)
            if found is None or asked is None:
                # Its request has ended, or it was made elsewhere meanwhile.
                news.actions += self._freer.free(now, _results_of(one))
                continue
            if one.inputs_freed:
                found.graph.forget_inputs_of(one.piece)
            self._take_one(now, found, one, asked.owner, news)
            touched[one.piece.request_id] = None
        self._continue(now, touched, news)

    def _take_one(
        self,
        now: float,
        found: StagedRequest,
        told: PieceReport,
        owner: str,
        news: CoordinatorEffects,
    ) -> None:
        piece = told.piece
        if told.fault is None:
            place = (told.pool, told.data_centre)
            self._places.update_wait(
                now, *place, told.wait_s, told.slowdown_s, found.priority
            )
            size = found.graph.stages[piece.stage].result_bytes
            result = StoredResult(told.handle, told.endpoint, told.data_centre, size)
            found.graph.finished(piece, result)
        elif told.fault is PieceFault.HANDED_BACK:
            # It leaves: asked again before its record is gone, it would hand them
            # back once more.
            self._places.peer_failed(now, owner)
            self._ask_again(now, [piece], news, failed=False)
        elif told.fault is PieceFault.LATE:
            news.late.append(piece.request_id)
        elif told.fault is PieceFault.INPUT_MISSING:
            news.actions += self._freer.free(now, found.graph.lose_inputs_of(piece))
        else:
            self._places.failed(now, told.pool, told.data_centre)
            self._ask_again(now, [piece], news)

    def _continue(
        self, now: float, request_ids: Iterable[str], news: CoordinatorEffects
    ) -> None:
        """
        Have made what results made due, once what those read is freed.

        Freed together: a message a request, eight at once after a full call, opened as
        many connections to the maker.
        """
        given_up = {*news.failed, *news.late}
        going = [self._gathered[r] for r in request_ids if r not in given_up]
        unread = [result for found in going for result in found.graph.take_unread()]
        news.actions += self._freer.free(now, unread)
        for found in going:
            self._ask_due(now, found, news)


def _results_of(told: PieceReport) -> list[StoredResult]:
    if told.fault is not None:
        return []
    return [StoredResult(told.handle, told.endpoint, told.data_centre, 0.0)]
