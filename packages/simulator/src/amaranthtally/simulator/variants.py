"""A policy with something else in it, by name, in a registry that decorators fill."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from amaranthtally.policy import (
    GATEWAY_PARTS,
    Arrival,
    Endpoint,
    Gatherer,
    Parts,
    PieceLimits,
    PolicySettings,
)
from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.piece_servers import PieceServer, PieceServers

__all__ = [
    "POLICY",
    "Variant",
    "variant",
    "variant_names",
    "with_gatherer",
    "with_server",
    "without",
]


def _same_settings(settings: PolicySettings) -> PolicySettings:
    return settings


def _same_arrival(arrival: Arrival) -> Arrival:
    return arrival


@dataclass(frozen=True, slots=True)
class Variant:
    """A policy: its parts, and what it changes in settings and arrivals."""

    name: str = "policy"
    parts: Parts = GATEWAY_PARTS
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


def without(name: str) -> Callable[[Callable[[], Variant]], Callable[[], Variant]]:
    """Register what a function returns as the policy without a mechanism."""

    def register(build: Callable[[], Variant]) -> Callable[[], Variant]:
        _VARIANTS[f"no {name}"] = replace(build(), name=f"no {name}")
        return build

    return register


def with_gatherer(build: Callable[[], Gatherer]) -> Variant:
    """Return the policy with another maker of pieces."""
    return Variant(parts=replace(POLICY.parts, gatherer=build))


def with_server(build: Callable[[Endpoint, PieceLimits], PieceServer]) -> Variant:
    """Return the policy with other beliefs about endpoints that make pieces."""
    return with_gatherer(lambda: Gatherer(Batcher(PieceServers(build))))
