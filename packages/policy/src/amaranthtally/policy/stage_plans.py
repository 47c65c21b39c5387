"""Predicts how long the stages of requests take, and chooses where they run."""

from collections.abc import Callable, Mapping

from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.home_regions import Regions
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_graph import Piece, PieceGraph
from amaranthtally.policy.pool_sites import NO_ROOM_WAITS, PoolSites
from amaranthtally.policy.result_memory import RoomWaits
from amaranthtally.policy.routes import PieceLimits, PieceStage, Pool

__all__ = ["StagePlans"]

UNKNOWN_LIMITS = PieceLimits()


class StagePlans:
    """
    Plans stages by the waits reported for pool sites and by this entry's own queues.

    All times are in seconds; ``now`` and deadlines are time stamps.
    """

    def __init__(self, sites: PoolSites, batcher: Batcher) -> None:
        self._sites = sites
        self._batcher = batcher
        self._pools: Mapping[str, Pool] = {}
        self._rooms = RoomWaits()

    @property
    def rooms(self) -> RoomWaits:
        """How long results wait for room, as the owners of sites report it."""
        return self._rooms

    @property
    def is_configured(self) -> bool:
        """Whether any pools are configured."""
        return bool(self._pools)

    def configure(self, pools: Mapping[str, Pool]) -> None:
        """Use these pools."""
        self._pools = pools

    # Predicted times

    def predicted_time_s(
        self,
        now: float,
        stages: tuple[PieceStage, ...],
        counts: tuple[int, ...],
        rank: int,
        regions: Regions | None = None,
    ) -> float:
        """
        Return how long the stages of a request take if it arrives now.

        They run in ``regions``, or in any with ``None``.
        """
        return _longest_path_s(
            stages,
            counts,
            lambda stage: self.stage_time_s(
                now, stage.pool, rank, regions, stage.result_bytes
            ),
        )

    def idle_time_s(
        self, stages: tuple[PieceStage, ...], counts: tuple[int, ...]
    ) -> float:
        """Return how long the stages of a request take if none of them waits."""
        return _longest_path_s(
            stages, counts, lambda stage: self.full_call_time_s(stage.pool)
        )

    def work_s(self, stages: tuple[PieceStage, ...], counts: tuple[int, ...]) -> float:
        """Return how much of the endpoints' time the pieces of a request take."""
        return sum(
            self.piece_share_s(stage.pool) * count
            for stage, count in zip(stages, counts, strict=False)
        )

    def backlog_s(self, now: float, stages: tuple[PieceStage, ...], rank: int) -> float:
        """Return how long the slowest of these stages takes now, its wait included."""
        times_s = [self.stage_time_s(now, stage.pool, rank) for stage in stages]
        return max(times_s, default=0.0)

    def stage_time_s(
        self,
        now: float,
        pool: str,
        rank: int,
        regions: Regions | None = None,
        result_bytes: float = 0.0,
    ) -> float:
        """
        Return how long a stage takes at the site predicted to finish it first.

        Its call waits until the endpoint has room for results of ``result_bytes``.
        """
        wait_s = self._least_wait_s(now, pool, rank, regions, result_bytes)
        return 0.0 if wait_s is None else wait_s + self.full_call_time_s(pool)

    def rest_time_s(
        self,
        now: float,
        graph: PieceGraph,
        stage: int,
        rank: int,
        regions: Regions | None,
    ) -> float:
        """
        Return how long the stages after this one take at the least, in seconds.

        A wait at a later stage counts only as far as it is longer than the time until
        the request gets there: queues become shorter meanwhile, and this predicts what
        can't be reached any more.
        """
        limits = self._limits_of(graph.stages[stage].pool)
        own_s = limits.call_time_s(limits.part_size(graph.count(stage)))
        return self._rest_from_s(now, graph, stage, own_s, rank, regions) - own_s

    def _rest_from_s(
        self,
        now: float,
        graph: PieceGraph,
        stage: int,
        done_s: float,
        rank: int,
        regions: Regions | None,
    ) -> float:
        """Return when the last stage is done if this one is after ``done_s`` s."""
        latest_s = done_s
        for reader in graph.readers(stage):
            count = graph.count(reader)
            end_s = done_s
            if count:
                next_stage = graph.stages[reader]
                limits = self._limits_of(next_stage.pool)
                wait_s = 0.0
                if next_stage.pool in self._batcher.active_pools:
                    wait_s = (
                        self._least_wait_s(
                            now, next_stage.pool, rank, regions, next_stage.result_bytes
                        )
                        or 0.0
                    )
                end_s = max(done_s, wait_s) + limits.call_time_s(
                    limits.part_size(count)
                )
            latest_s = max(
                latest_s, self._rest_from_s(now, graph, reader, end_s, rank, regions)
            )
        return latest_s

    def _least_wait_s(
        self,
        now: float,
        pool: str,
        rank: int,
        regions: Regions | None,
        result_bytes: float,
    ) -> float | None:
        """Return the wait at the site that is predicted to finish first, if any."""
        candidates = self.candidates(pool, regions)
        rooms_s = self._room_waits_s(now, pool, candidates, result_bytes)
        data_centre = self._sites.best_data_centre(
            now, pool, candidates, rank=rank, room_waits_s=rooms_s
        )
        if data_centre is None:
            return None
        wait_s = self.wait_s(now, pool, data_centre, rank)
        return max(wait_s, rooms_s.get(data_centre, 0.0))

    def _room_waits_s(
        self,
        now: float,
        pool: str,
        candidates: Mapping[str, Endpoint],
        result_bytes: float,
    ) -> Mapping[str, float]:
        """Return how long results wait for room in each data centre, in seconds."""
        if pool not in self._batcher.active_pools:
            return NO_ROOM_WAITS
        return {
            name: self.room_wait_s(now, pool, name, result_bytes) for name in candidates
        }

    def room_wait_s(
        self, now: float, pool: str, data_centre: str, result_bytes: float
    ) -> float:
        """Return how long a result waits for room at a site, in seconds."""
        if not self._sites.owner(now, pool, data_centre):
            return self._batcher.memory.room_wait_s(
                now, pool, data_centre, result_bytes
            )
        return self._rooms.wait_s(now, pool, data_centre, result_bytes)

    def wait_s(self, now: float, pool: str, data_centre: str, rank: int) -> float:
        """Return how much later than at an idle site a piece is done there."""
        if not self._sites.owner(now, pool, data_centre):
            queue_s = self._batcher.wait_s(now, pool, data_centre, rank)
            return queue_s + self._batcher.slowdown_s(now, pool, data_centre)
        return self._sites.wait_s(now, pool, data_centre, rank)

    def remaining_time_s(self, graph: PieceGraph, stage: int) -> float:
        """Return how long a stage and all stages after it take on idle endpoints."""
        remaining_time_s = max(
            (self.remaining_time_s(graph, r) for r in graph.readers(stage)), default=0.0
        )
        if not graph.count(stage):
            return remaining_time_s
        limits = self._limits_of(graph.stages[stage].pool)
        return remaining_time_s + limits.call_time_s(
            limits.part_size(graph.count(stage))
        )

    def idle_rest_time_s(self, graph: PieceGraph, stage: int) -> float:
        """Return how long the stages after this one take on idle endpoints."""
        readers = graph.readers(stage)
        return max((self.remaining_time_s(graph, r) for r in readers), default=0.0)

    def part_index(self, graph: PieceGraph, piece: Piece) -> int:
        """Return the index of the part of its stage that a piece belongs to."""
        limits = self._limits_of(graph.stages[piece.stage].pool)
        return limits.part_index(piece.number, graph.count(piece.stage))

    def piece_share_s(self, pool: str) -> float:
        """Return how much one more piece lengthens the wait at a pool's site."""
        return self._limits_of(pool).piece_share_s

    def full_call_time_s(self, pool: str) -> float:
        """Return how long a full call takes, 0 if the pool is not known."""
        return self._limits_of(pool).full_call_time_s()

    def _limits_of(self, pool: str) -> PieceLimits:
        """Return the limits of a pool's endpoints; times are 0 if it is not known."""
        configured = self._pools.get(pool)
        if configured is None or configured.pieces is None:
            return UNKNOWN_LIMITS
        return configured.pieces

    # Choice of pieces and data centres

    def take_due(self, graph: PieceGraph) -> list[Piece]:
        """
        Return the pieces to be submitted now.

        Of a graph with several branches, a single last stage is deferred while the
        longest branch has more than one stage left. Otherwise its results, 1.5 MB each,
        would be stored until the three stages of the other branch have run, for 1.3 s
        in place of 0.4 s. An endpoint has memory for ten of them, so calls with room
        for only one or two pieces took the place of full ones.
        """
        last_stages = graph.last_stages()
        if len(last_stages) == 1:
            return graph.take_due()
        paths = {index: graph.longest_unfinished_path(index) for index in last_stages}
        longest = max(paths.values(), key=len)
        deferred = {
            index
            for index, path in paths.items()
            if path is not longest and len(path) == 1 and len(longest) > 1
        }
        return graph.take_due(deferred)

    def choose_data_centre(
        self,
        now: float,
        graph: PieceGraph,
        stage: int,
        reader: str,
        on_time_by: float,
        rank: int,
        regions: Regions | None = None,
    ) -> str | None:
        """
        Return the data centre in which to run a stage, ``None`` without endpoints.

        The choice weighs the wait at each site against the bytes that cross between
        data centres. Each stage is placed anew: when requests stayed where their first
        stage ran, some waited 1.2 s for an endpoint while the queue of another data
        centre was 0.3 s long. Between stages, only some hundred kilobytes are
        transferred.

        ``reader`` is the data centre in which the request itself is expected to run,
        and ``on_time_by`` the time stamp by which its inputs must be ready. Only sites
        in ``regions`` are chosen, unless it is ``None``.
        """
        pool = graph.stages[stage].pool
        saved_bytes: dict[str, float] = {}
        for result in graph.inputs_of_stage(stage):
            data_centre = result.data_centre
            saved_bytes[data_centre] = (
                saved_bytes.get(data_centre, 0.0) + result.size_bytes
            )
        if reader and not graph.readers(stage):
            pieces = self._limits_of(pool).part_size(graph.count(stage))
            output_bytes = pieces * graph.stages[stage].result_bytes
            saved_bytes[reader] = saved_bytes.get(reader, 0.0) + output_bytes
        candidates = self.candidates(pool, regions)
        spare_s = on_time_by - self.remaining_time_s(graph, stage) - now
        rooms_s = self._room_waits_s(
            now, pool, candidates, graph.stages[stage].result_bytes
        )
        return self._sites.best_data_centre(
            now, pool, candidates, saved_bytes, spare_s, rank, rooms_s
        )

    def candidates(self, pool: str, regions: Regions | None) -> dict[str, Endpoint]:
        """Return one endpoint of a pool for each data centre in these regions."""
        candidates = self._batcher.servers.endpoint_by_data_centre(pool)
        if regions is None:
            return candidates
        return {
            data_centre: endpoint
            for data_centre, endpoint in candidates.items()
            if endpoint.region in regions
        }


def _longest_path_s(
    stages: tuple[PieceStage, ...],
    counts: tuple[int, ...],
    time_s: Callable[[PieceStage], float],
) -> float:
    """Return when the last stage ends if each takes this time."""
    ends_s: list[float] = []
    for index, stage in enumerate(stages):
        count = counts[index] if index < len(counts) else 0
        start_s = max((ends_s[i] for i in stage.after if i < index), default=0.0)
        ends_s.append(start_s + (time_s(stage) if count else 0.0))
    return max(ends_s, default=0.0)
