"""Variants of the policy by name; a decorator registers the ablations."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

import msgspec

from amaranthtally.operator.replay.baselines import (
    POLICY,
    BuildQueue,
    Contender,
    contender_names,
    get_contender,
)
from amaranthtally.operator.replay.entry import EntryPlanner
from amaranthtally.operator.replay.trace import Header, PoolPlan
from amaranthtally.policy import Planner, PlannerComponents, PolicySettings, RunQueue

__all__ = [
    "Ablation",
    "Decision",
    "Variant",
    "ablation",
    "baseline_names",
    "get_variant",
    "ablated_decisions",
    "settings_adapter",
    "variant_names",
    "settings_variant",
]

AdaptHeader = Callable[[Header], Header]


@dataclass(frozen=True, slots=True)
class Variant:
    """A contender and the function that adapts each trace's header for it."""

    name: str
    contender: Contender
    adapt: AdaptHeader


@dataclass(frozen=True, slots=True)
class Decision:
    """One of the policy's decisions; ``number`` is its number in the project's aims."""

    number: int
    name: str


def _same_header(header: Header) -> Header:
    return header


def _run_queue(pool: PoolPlan) -> RunQueue:
    return RunQueue(pool.slots, pool.queue_capacity)


@dataclass(frozen=True, slots=True)
class Ablation:
    """The policy with one decision replaced by a simpler form."""

    components: PlannerComponents = field(default_factory=PlannerComponents)
    build_queue: BuildQueue = _run_queue
    adapt: AdaptHeader = _same_header


@dataclass(frozen=True, slots=True)
class _RegisteredAblation:
    decision: Decision
    ablation: Ablation


_ABLATIONS: dict[str, _RegisteredAblation] = {}


def ablation(
    name: str, decision: Decision
) -> Callable[[Callable[[], Ablation]], Callable[[], Ablation]]:
    """Register the ablation that the decorated function returns."""

    def register(build: Callable[[], Ablation]) -> Callable[[], Ablation]:
        _ABLATIONS[name] = _RegisteredAblation(decision, build())
        return build

    return register


def ablated_decisions() -> Mapping[str, Decision]:
    """Return the decision that each ablation replaces, by the ablation's name."""
    return {
        name: registered_ablation.decision
        for name, registered_ablation in _ABLATIONS.items()
    }


def baseline_names() -> list[str]:
    """Return the names of the baselines of the command ``replay``."""
    return [name for name in contender_names() if name != POLICY]


def variant_names() -> list[str]:
    """Return the names of all variants that a plan need not define itself."""
    return [*contender_names(), *_ABLATIONS]


def get_variant(name: str) -> Variant:
    """Return an ablation, a baseline or the policy by name; raises ``KeyError``."""
    registered_ablation = _ABLATIONS.get(name)
    if registered_ablation is None:
        return Variant(name, get_contender(name), _same_header)
    selected_ablation = registered_ablation.ablation
    build = partial(_build_planner, selected_ablation.components)
    return Variant(
        name,
        Contender(name, build, selected_ablation.build_queue),
        selected_ablation.adapt,
    )


def settings_variant(name: str, values: Mapping[str, Any]) -> Variant:
    """Return the policy as a variant with other values of ``PolicySettings``."""
    return Variant(name, get_contender(POLICY), settings_adapter(values))


def settings_adapter(values: Mapping[str, Any]) -> AdaptHeader:
    """Return a function that overrides policy settings in a header."""

    def adapt(header: Header) -> Header:
        return msgspec.structs.replace(header, policy=header.policy | dict(values))

    return adapt


def _build_planner(
    components: PlannerComponents, settings: PolicySettings, random: Random
) -> EntryPlanner:
    return Planner(settings, random, components)
