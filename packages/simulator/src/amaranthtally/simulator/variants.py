"""Named variants of the policy, and the decorators that register them."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

from amaranthtally.policy import (
    GATEWAY_COMPONENTS,
    Arrival,
    Endpoint,
    PieceCoordinator,
    PieceLimits,
    PlannerComponents,
    PolicySettings,
)
from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.piece_servers import PieceServer, PieceServers
from amaranthtally.policy.planner_components import BuildInputs, BuildRouter
from amaranthtally.policy.pool_sites import PoolSites
from amaranthtally.policy.stage_plans import StagePlans

__all__ = [
    "POLICY",
    "Variant",
    "instead",
    "variant",
    "variant_names",
    "with_arrivals",
    "with_batcher",
    "with_ejections",
    "with_inputs",
    "with_sites",
    "with_plans",
    "with_router",
    "with_server",
    "with_settings",
    "without",
]

Replacement = TypeVar("Replacement")


def _same_settings(settings: PolicySettings) -> PolicySettings:
    return settings


def _same_arrival(arrival: Arrival) -> Arrival:
    return arrival


@dataclass(frozen=True, slots=True)
class Variant:
    """A policy: its components, and its changes to settings and arrivals."""

    name: str = "policy"
    components: PlannerComponents = GATEWAY_COMPONENTS
    adapt_settings: Callable[[PolicySettings], PolicySettings] = _same_settings
    adapt_arrival: Callable[[Arrival], Arrival] = _same_arrival


POLICY = Variant()
_VARIANTS: dict[str, Variant] = {POLICY.name: POLICY}


def variant(name: str) -> Variant:
    """Return a variant by name; raises ``KeyError``."""
    return _VARIANTS[name]


def variant_names() -> list[str]:
    """Return the names of all variants, that of the unchanged policy first."""
    return list(_VARIANTS)


def without(
    name: str, to_variant: Callable[[Replacement], Variant]
) -> Callable[[Replacement], Replacement]:
    """
    Return a decorator that registers a variant without a mechanism.

    ``to_variant`` builds the variant from the decorated replacement.
    """

    def register(replacement: Replacement) -> Replacement:
        _VARIANTS[f"no {name}"] = replace(to_variant(replacement), name=f"no {name}")
        return replacement

    return register


def instead(
    name: str, to_variant: Callable[[Replacement], Variant]
) -> Callable[[Replacement], Replacement]:
    """
    Return a decorator that registers a variant with another mechanism.

    ``to_variant`` builds the variant from the decorated replacement.
    """

    def register(replacement: Replacement) -> Replacement:
        _VARIANTS[name] = replace(to_variant(replacement), name=name)
        return replacement

    return register


# Variants with a replaced component


def with_batcher(build: Callable[[], Batcher]) -> Variant:
    """Return the policy with another batcher of piece calls."""
    return _with_coordinator(lambda: PieceCoordinator(build()))


def with_server(build: Callable[[Endpoint, PieceLimits], PieceServer]) -> Variant:
    """Return the policy with other statistics of endpoints that compute pieces."""
    return with_batcher(lambda: Batcher(PieceServers(build)))


def with_sites(build: Callable[[], PoolSites]) -> Variant:
    """Return the policy with other owners or waits of pool sites."""
    return _with_coordinator(lambda: PieceCoordinator(sites=build()))


def with_plans(build: Callable[[PoolSites, Batcher], StagePlans]) -> Variant:
    """Return the policy with another planner of stages."""
    return _with_coordinator(lambda: PieceCoordinator(build_plans=build))


def with_inputs(build: BuildInputs) -> Variant:
    """Return the policy with other admission by stages, or other freeing of inputs."""
    return Variant(components=replace(GATEWAY_COMPONENTS, inputs=build))


def with_ejections(build: Callable[[], Ejections]) -> Variant:
    """Return the policy with other ejection of endpoints."""
    return Variant(components=replace(GATEWAY_COMPONENTS, ejections=build))


def with_router(build: BuildRouter) -> Variant:
    """Return the policy with another router."""
    return Variant(components=replace(GATEWAY_COMPONENTS, router=build))


def with_settings(adapt: Callable[[PolicySettings], PolicySettings]) -> Variant:
    """Return the policy with adapted settings."""
    return Variant(adapt_settings=adapt)


def with_arrivals(adapt: Callable[[Arrival], Arrival]) -> Variant:
    """Return the policy with adapted arrivals."""
    return Variant(adapt_arrival=adapt)


def _with_coordinator(build: Callable[[], PieceCoordinator]) -> Variant:
    return Variant(components=replace(GATEWAY_COMPONENTS, coordinator=build))
