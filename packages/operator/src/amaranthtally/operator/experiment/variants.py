"""Variants of the policy by name, in a registry that decorators fill."""

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
    """A contender, and what it changes in the header of each trace."""

    name: str
    contender: Contender
    adapt: AdaptHeader


@dataclass(frozen=True, slots=True)
class Decision:
    """One of the decisions that make up the policy, by its number in the aims."""

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
    """Register what a function returns as an ablation of a decision."""

    def register(build: Callable[[], Ablation]) -> Callable[[], Ablation]:
        _ABLATIONS[name] = _RegisteredAblation(decision, build())
        return build

    return register


def ablated_decisions() -> Mapping[str, Decision]:
    """Return the decision that each ablation replaces, by the ablation's name."""
    return {
        name: ablation_entry.decision for name, ablation_entry in _ABLATIONS.items()
    }


def baseline_names() -> list[str]:
    """Return the names of the baselines that ``replay`` has too."""
    return [name for name in contender_names() if name != POLICY]


def variant_names() -> list[str]:
    """Return every name that a plan can use without a table of its own."""
    return [*contender_names(), *_ABLATIONS]


def get_variant(name: str) -> Variant:
    """Return an ablation, a baseline or the policy; raises ``KeyError``."""
    ablation_entry = _ABLATIONS.get(name)
    if ablation_entry is None:
        return Variant(name, get_contender(name), _same_header)
    chosen = ablation_entry.ablation
    build = partial(_build_planner, chosen.components)
    return Variant(name, Contender(name, build, chosen.build_queue), chosen.adapt)


def settings_variant(name: str, values: Mapping[str, Any]) -> Variant:
    """Return the policy under other values of ``PolicySettings``."""
    return Variant(name, get_contender(POLICY), settings_adapter(values))


def settings_adapter(values: Mapping[str, Any]) -> AdaptHeader:
    """Return what gives a header's policy other settings."""

    def adapt(header: Header) -> Header:
        return msgspec.structs.replace(header, policy=header.policy | dict(values))

    return adapt


def _build_planner(
    components: PlannerComponents, settings: PolicySettings, random: Random
) -> EntryPlanner:
    return Planner(settings, random, components)
