"""The policy without what decides where pieces are made, and by whom."""

from collections.abc import Mapping

from amaranthtally.policy import Endpoint
from amaranthtally.policy.piece_graph import PieceGraph
from amaranthtally.policy.pool_sites import NO_SAVED_BYTES, PoolSites
from amaranthtally.policy.stage_plans import StagePlans
from amaranthtally.simulator.variants import of_places, of_plans, without

__all__: list[str] = []


@without("owners", of_places)
class WithoutOwners(PoolSites):
    """Calls every endpoint itself, whatever the other entries do."""

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return this entry."""
        return ""


@without("placing of each stage", of_plans)
class FirstStagePlace(StagePlans):
    """Leaves a request where its first stage ran."""

    def choose_data_centre(
        self,
        now: float,
        graph: PieceGraph,
        stage: int,
        reader: str,
        on_time_by: float,
        rank: int,
    ) -> str | None:
        """Return where most of what the stage reads is kept."""
        inputs = graph.inputs_of_stage(stage)
        if inputs:
            return inputs[0].data_centre
        return super().choose_data_centre(now, graph, stage, reader, on_time_by, rank)


@without("weight of crossing", of_places)
class WithoutCrossing(PoolSites):
    """Takes no account of where results are read."""

    def best_data_centre(
        self,
        now: float,
        pool: str,
        candidates: Mapping[str, Endpoint],
        saved_bytes: Mapping[str, float] = NO_SAVED_BYTES,
        spare_s: float = 0.0,
        rank: int = 0,
    ) -> str | None:
        """Return the data centre in which pieces wait least."""
        return super().best_data_centre(now, pool, candidates, rank=rank)


@without("doubts about peers", of_places)
class WithoutDoubts(PoolSites):
    """Goes on to ask peers that did not answer."""

    def peer_failed(self, now: float, peer: str) -> None:
        """Forget that a peer did not answer."""


@without("waits by rank", of_places)
class WaitsWithoutRank(PoolSites):
    """Knows one wait of a place for all ranks."""

    def update_wait(
        self,
        now: float,
        pool: str,
        data_centre: str,
        wait_s: float,
        slowdown_s: float = 0.0,
        rank: int = 0,
    ) -> None:
        """Learn a wait as if it were that of every rank."""
        super().update_wait(now, pool, data_centre, wait_s, slowdown_s)

    def note_submitted(
        self, now: float, pool: str, data_centre: str, added_s: float, rank: int = 0
    ) -> None:
        """Count what was asked for in any rank."""
        super().note_submitted(now, pool, data_centre, added_s)
