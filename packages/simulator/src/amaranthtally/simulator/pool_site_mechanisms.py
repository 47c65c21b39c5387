"""Variants of the policy without one of the mechanisms that choose pool sites."""

from collections.abc import Mapping

from amaranthtally.policy import Endpoint, Regions
from amaranthtally.policy.piece_graph import PieceGraph
from amaranthtally.policy.pool_sites import NO_ROOM_WAITS, NO_SAVED_BYTES, PoolSites
from amaranthtally.policy.stage_plans import StagePlans
from amaranthtally.simulator.variants import with_plans, with_sites, without

__all__: list[str] = []


@without("owners", with_sites)
class NoOwners(PoolSites):
    """Lets each entry call all endpoints itself, without submitting jobs to owners."""

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return the empty name, which stands for this entry."""
        return ""


@without("placing of each stage", with_plans)
class FirstStageSite(StagePlans):
    """Runs all stages of a request where its first stage ran."""

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
        """Return the data centre of the stage's first input."""
        inputs = graph.inputs_of_stage(stage)
        if inputs:
            return inputs[0].data_centre
        return super().choose_data_centre(
            now, graph, stage, reader, on_time_by, rank, regions
        )


@without("weight of crossing", with_sites)
class IgnoreTransferCost(PoolSites):
    """Ignores the cost of transfers between data centres."""

    def best_data_centre(
        self,
        now: float,
        pool: str,
        candidates: Mapping[str, Endpoint],
        saved_bytes: Mapping[str, float] = NO_SAVED_BYTES,
        spare_s: float = 0.0,
        rank: int = 0,
        room_waits_s: Mapping[str, float] = NO_ROOM_WAITS,
    ) -> str | None:
        """Return the data centre with the shortest wait."""
        return super().best_data_centre(
            now, pool, candidates, rank=rank, room_waits_s=room_waits_s
        )


@without("doubts about peers", with_sites)
class IgnorePeerFailures(PoolSites):
    """Keeps submitting jobs to peers that did not answer."""

    def peer_failed(self, now: float, peer: str) -> None:
        """Ignore the failure."""


@without("waits by rank", with_sites)
class RanklessWaits(PoolSites):
    """Tracks one wait per pool site for all ranks."""

    def update_wait(
        self,
        now: float,
        pool: str,
        data_centre: str,
        wait_s: float,
        slowdown_s: float = 0.0,
        rank: int = 0,
    ) -> None:
        """Record a wait as that of rank 0."""
        super().update_wait(now, pool, data_centre, wait_s, slowdown_s)

    def note_submitted(
        self, now: float, pool: str, data_centre: str, added_s: float, rank: int = 0
    ) -> None:
        """Record submitted work as that of rank 0."""
        super().note_submitted(now, pool, data_centre, added_s)
