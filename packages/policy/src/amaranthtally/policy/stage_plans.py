"""What the stages of requests are predicted to take, and where they run best."""

from collections.abc import Mapping

from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.piece_graph import Piece, PieceGraph
from amaranthtally.policy.pool_sites import PoolSites
from amaranthtally.policy.routes import PieceLimits, PieceStage, Pool

__all__ = ["StagePlans"]

UNKNOWN_LIMITS = PieceLimits()


class StagePlans:
    """
    Plans stages by what is known of places and of the calls of this entry.

    Times are time stamps, and lengths of time, in seconds.
    """

    def __init__(self, places: PoolSites, batcher: Batcher) -> None:
        self._places = places
        self._batcher = batcher
        self._pools: Mapping[str, Pool] = {}

    @property
    def knows_pools(self) -> bool:
        """Whether there is a configuration."""
        return bool(self._pools)

    def configure(self, pools: Mapping[str, Pool]) -> None:
        """Use these pools."""
        self._pools = pools

    # Times

    def predicted_s(
        self,
        now: float,
        stages: tuple[PieceStage, ...],
        counts: tuple[int, ...],
        rank: int,
    ) -> float:
        """Return how long the pieces of a request would take if it came now."""
        ends: list[float] = []
        for index, stage in enumerate(stages):
            count = counts[index] if index < len(counts) else 0
            begin = max((ends[i] for i in stage.after if i < index), default=0.0)
            ends.append(begin + (self.stage_s(now, stage.pool, rank) if count else 0.0))
        return max(ends, default=0.0)

    def backlog_s(self, now: float, stages: tuple[PieceStage, ...], rank: int) -> float:
        """Return the longest wait for a call of these stages' pools."""
        waits = [self.stage_s(now, stage.pool, rank) for stage in stages]
        return max(waits, default=0.0)

    def stage_s(self, now: float, pool: str, rank: int) -> float:
        """Return how long a stage takes where it would be made soonest."""
        candidates = self._batcher.servers.places(pool)
        place = self._places.best_data_centre(now, pool, candidates, rank=rank)
        if place is None:
            return 0.0
        return self.wait_s(now, pool, place, rank) + self.call_s(pool)

    def wait_s(self, now: float, pool: str, data_centre: str, rank: int) -> float:
        """Return by how much later than in a free place a piece would be made there."""
        if not self._places.owner(now, pool, data_centre):
            waits_s = self._batcher.wait_s(now, pool, data_centre, rank)
            return waits_s + self._batcher.slowdown_s(now, pool, data_centre)
        return self._places.wait_s(now, pool, data_centre, rank)

    def after_s(self, graph: PieceGraph, stage: int) -> float:
        """Return what is left to do from a stage on, its own call included."""
        after_s = max(
            (self.after_s(graph, r) for r in graph.readers(stage)), default=0.0
        )
        if not graph.count(stage):
            return after_s
        limits = self._limits_of(graph.stages[stage].pool)
        return after_s + limits.call_time_s(limits.part_size(graph.count(stage)))

    def part_index(self, graph: PieceGraph, piece: Piece) -> int:
        """Return which part of its stage a piece belongs to, from 0."""
        limits = self._limits_of(graph.stages[piece.stage].pool)
        return limits.part_index(piece.number, graph.count(piece.stage))

    def piece_share_s(self, pool: str) -> float:
        """Return by how much one more piece lengthens the wait for a pool's call."""
        return self._limits_of(pool).piece_share_s

    def call_s(self, pool: str) -> float:
        """Return how long a call with as many pieces as fit takes; 0 if not known."""
        return self._limits_of(pool).full_call_time_s()

    def _limits_of(self, pool: str) -> PieceLimits:
        """Return what a pool's endpoints take; no time at all where it is not known."""
        found = self._pools.get(pool)
        if found is None or found.pieces is None:
            return UNKNOWN_LIMITS
        return found.pieces

    # What runs, and where

    def take_due(self, graph: PieceGraph) -> list[Piece]:
        """
        Return the pieces to be made now; a short branch waits for a long one.

        The failure: results of 1.5 MB that one stage makes stay at their maker until
        three others have run, 1.3 s for 0.4. A maker holds ten, and calls with room for
        one or two pieces took the place of full ones.
        """
        lasts = graph.last_stages()
        if len(lasts) == 1:
            return graph.take_due()
        ways = {index: graph.unfinished_before(index) for index in lasts}
        longest = max(ways.values(), key=len)
        held = {
            index
            for index, way in ways.items()
            if way is not longest and len(way) == 1 and len(longest) > 1
        }
        return graph.take_due(held)

    def choose_data_centre(
        self,
        now: float,
        graph: PieceGraph,
        stage: int,
        reader: str,
        on_time_by: float,
        rank: int,
    ) -> str | None:
        """
        Return where a stage runs: where its pieces wait least, less what must cross.

        Each stage is placed anew. A request that stayed where its first stage ran
        waited 1.2 s for an endpoint there while another's queue stood at 0.3 s; what
        the stages between hand on is a few hundred kilobytes. ``reader`` is where the
        request itself will likely run, ``on_time_by`` when its results must be there.
        """
        pool = graph.stages[stage].pool
        reading: dict[str, float] = {}
        for result in graph.inputs_of_stage(stage):
            place = result.data_centre
            reading[place] = reading.get(place, 0.0) + result.size_bytes
        if reader and not graph.readers(stage):
            pieces = self._limits_of(pool).part_size(graph.count(stage))
            made_bytes = pieces * graph.stages[stage].result_bytes
            reading[reader] = reading.get(reader, 0.0) + made_bytes
        candidates = self._batcher.servers.places(pool)
        spare_s = on_time_by - self.after_s(graph, stage) - now
        return self._places.best_data_centre(
            now, pool, candidates, reading, spare_s, rank
        )
