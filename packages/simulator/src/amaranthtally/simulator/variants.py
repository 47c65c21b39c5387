"""A policy with something else in it, by name, in a registry that decorators fill."""

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
    "variant",
    "variant_names",
    "of_arrivals",
    "of_batcher",
    "of_ejections",
    "of_inputs",
    "of_places",
    "of_plans",
    "of_router",
    "of_server",
    "of_settings",
    "without",
]

Switch = TypeVar("Switch")


def _same_settings(settings: PolicySettings) -> PolicySettings:
    return settings


def _same_arrival(arrival: Arrival) -> Arrival:
    return arrival


@dataclass(frozen=True, slots=True)
class Variant:
    """A policy: its parts, and what it changes in settings and arrivals."""

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
    """Return the name of each variant, the policy as it is first."""
    return list(_VARIANTS)


def without(
    name: str, to_variant: Callable[[Switch], Variant]
) -> Callable[[Switch], Switch]:
    """Register the policy without a mechanism: what is decorated stands in for it."""

    def register(switch: Switch) -> Switch:
        _VARIANTS[f"no {name}"] = replace(to_variant(switch), name=f"no {name}")
        return switch

    return register


# What stands in for a mechanism


def of_batcher(build: Callable[[], Batcher]) -> Variant:
    """Return the policy with other calls with pieces."""
    return _of_coordinator(lambda: PieceCoordinator(build()))


def of_server(build: Callable[[Endpoint, PieceLimits], PieceServer]) -> Variant:
    """Return the policy with other beliefs about endpoints that make pieces."""
    return of_batcher(lambda: Batcher(PieceServers(build)))


def of_places(build: Callable[[], PoolSites]) -> Variant:
    """Return the policy with other owners or waits of places."""
    return _of_coordinator(lambda: PieceCoordinator(sites=build()))


def of_plans(build: Callable[[PoolSites, Batcher], StagePlans]) -> Variant:
    """Return the policy with other plans of stages."""
    return _of_coordinator(lambda: PieceCoordinator(build_plans=build))


def of_inputs(build: BuildInputs) -> Variant:
    """Return the policy with another admission by stages, or other freeing."""
    return Variant(components=replace(GATEWAY_COMPONENTS, inputs=build))


def of_ejections(build: Callable[[], Ejections]) -> Variant:
    """Return the policy with other ejections."""
    return Variant(components=replace(GATEWAY_COMPONENTS, ejections=build))


def of_router(build: BuildRouter) -> Variant:
    """Return the policy with another choice of endpoints."""
    return Variant(components=replace(GATEWAY_COMPONENTS, router=build))


def of_settings(adapt: Callable[[PolicySettings], PolicySettings]) -> Variant:
    """Return the policy with other settings."""
    return Variant(adapt_settings=adapt)


def of_arrivals(adapt: Callable[[Arrival], Arrival]) -> Variant:
    """Return the policy that is told something else of requests."""
    return Variant(adapt_arrival=adapt)


def _of_coordinator(build: Callable[[], PieceCoordinator]) -> Variant:
    return Variant(components=replace(GATEWAY_COMPONENTS, coordinator=build))
