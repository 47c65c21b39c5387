"""Other ways to choose the engine of a prompt, to compare with the policy's."""

from amaranthtally.policy import AffinityRouter
from amaranthtally.policy.loads import EndpointLoad
from amaranthtally.policy.rendezvous import rendezvous_weight
from amaranthtally.policy.scoring import RouteRequest
from amaranthtally.simulator.variants import instead, with_router, without

__all__: list[str] = []

WEIGHT_RANGE = float(1 << 64)


@instead("heads in ranks", with_router)
class RankedByAllParts(AffinityRouter):
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


@without("cost of rereading", with_router)
class FreeRereading(AffinityRouter):
    """Counts nothing but its time for a shared part that is prefilled anew."""

    reread_s_per_token = 0.0
