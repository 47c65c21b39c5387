"""Other ways to choose the engine of a prompt, to compare with the policy's."""

from amaranthtally.policy import AffinityRouter
from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.rendezvous import rendezvous_weight
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats
from amaranthtally.simulator.variants import instead, with_router

__all__: list[str] = []

WEIGHT_RANGE = float(1 << 64)
# Cost of prefilling a token of a shared part, as a delay in seconds beside its time.
REREAD_S_PER_TOKEN = 2.0 / 32_400


class _RankedByAllParts(AffinityRouter):
    """
    Ranks engines by all shared parts of a prompt, each by its size.

    Prompts that share their head only are thus drawn to some of the engines.
    """

    def _ranks(
        self, request: RouteRequest, usable: list[EndpointLoad]
    ) -> dict[str, int]:
        shared = request.prefix[:-1] or request.prefix
        parts = list(zip(shared, request.prefix_sizes, strict=False))

        def weight(name: str) -> float:
            return sum(
                size
                * int.from_bytes(rendezvous_weight(name, f"{part:x}"))
                / WEIGHT_RANGE
                for part, size in parts
            )

        ranked = sorted((load.endpoint.id for load in usable), key=weight)
        return {name: rank for rank, name in enumerate(ranked)}


class _CostOfRereading(AffinityRouter):
    """Counts more than its time for each shared token that an engine prefills."""

    def _predict(
        self,
        now: float,
        request: RouteRequest,
        stats: StageStats,
        load: EndpointLoad,
        share: float,
        penalty_s: float,
    ) -> Choice:
        choice = super()._predict(now, request, stats, load, share, penalty_s)
        shared = sum(request.prefix_sizes[:-1])
        reread = max(0.0, shared - share * sum(request.prefix_sizes))
        return choice._replace(score=choice.score + REREAD_S_PER_TOKEN * reread)


@instead("heads in ranks", with_router)
class RankedByAllParts(_RankedByAllParts):
    """Ranks engines by all shared parts of a prompt."""


@instead("cost of rereading", with_router)
class CostOfRereading(_CostOfRereading):
    """Weighs what is prefilled anew against time three times as much."""


@instead("heads in ranks and cost of rereading", with_router)
class RankedWithCost(_RankedByAllParts, _CostOfRereading):
    """Does both."""
