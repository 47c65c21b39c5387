"""Replays every variant of a plan on each trace, in parallel processes."""

from collections.abc import Generator
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import msgspec

from amaranthtally.operator.experiment.plan import Plan, plan_variants
from amaranthtally.operator.experiment.variants import (
    Variant,
    baseline_names,
    get_variant,
)
from amaranthtally.operator.experiment.workers import open_workers
from amaranthtally.operator.replay.baselines import POLICY
from amaranthtally.operator.replay.bound import Bound, clairvoyant_bound
from amaranthtally.operator.replay.measures import Figures, measure
from amaranthtally.operator.replay.report import build_report
from amaranthtally.operator.replay.scenarios import make_trace
from amaranthtally.operator.replay.simulation import replay
from amaranthtally.operator.replay.trace import Trace

__all__ = ["Observation", "Trial", "run_trials", "plan_trials"]


@dataclass(frozen=True, slots=True)
class Trial:
    """One trace of a plan, on which all variants run."""

    deployment: Path
    scenario: str
    seed: int


class Observation(msgspec.Struct, frozen=True):
    """Figures of one variant on one trace."""

    deployment: str
    scenario: str
    seed: int
    variant: str
    figures: dict[str, float]


def plan_trials(plan: Plan) -> list[Trial]:
    """Return all trials of a plan, in the plan's order."""
    return [
        Trial(deployment, scenario, seed)
        for deployment in plan.deployments
        for scenario in plan.scenarios
        for seed in plan.seeds
    ]


def run_trials(plan: Plan, workers: int) -> Generator[list[Observation], None, None]:
    """
    Yield the observations of each trace in the plan's order.

    A replay is single-threaded computation, so traces run in parallel processes.
    The observations do not depend on ``workers``.
    """
    run = partial(run_trial, plan)
    trials = plan_trials(plan)
    if workers <= 1:
        yield from map(run, trials)
        return
    with open_workers(workers) as pool:
        yield from pool.map(run, trials)


def run_trial(plan: Plan, trial: Trial) -> list[Observation]:
    """Replay one trace for each variant; raises ``TraceError``."""
    trace = make_trace(trial.deployment, trial.scenario, trial.seed)
    bound = clairvoyant_bound(trace)
    names = baseline_names() if plan.baselines else []
    baselines = [_figures(trace, get_variant(name), bound) for name in names]
    observations = []
    for variant in plan_variants(plan):
        figures = _figures(trace, variant, bound)
        policy_figures = msgspec.structs.replace(figures, contender=POLICY)
        other_baselines = [f for f in baselines if f.contender != variant.name]
        header = trace.header
        name = f"{header.deployment}-{header.scenario}"
        report = build_report(name, header, bound, [policy_figures, *other_baselines])
        observations.append(
            Observation(
                deployment=trace.header.deployment,
                scenario=trial.scenario,
                seed=trial.seed,
                variant=variant.name,
                figures=report.outcome_figures(),
            )
        )
    return observations


def _figures(trace: Trace, variant: Variant, bound: Bound) -> Figures:
    adapted = Trace(variant.adapt(trace.header), trace.arrivals)
    recorder = replay(adapted, variant.contender)
    return measure(variant.name, trace.header, recorder, bound.pool)
