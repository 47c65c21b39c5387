"""Simulates days in parallel processes and compares variants on the same days."""

from collections.abc import Generator, Iterable, Mapping, Sequence
from concurrent.futures import as_completed
from statistics import fmean
from typing import NamedTuple

import msgspec

from amaranthtally.operator.experiment.intervals import Interval, paired_difference
from amaranthtally.operator.experiment.trial_log import (
    DayTrial,
    SimulatedDay,
    deployment_digest,
)
from amaranthtally.operator.experiment.workers import open_workers
from amaranthtally.simulator.days import DayResult, simulate_day
from amaranthtally.simulator.deployment import Deployment

__all__ = ["Comparison", "DayJob", "compare", "day_jobs", "simulate_days"]


class Comparison(msgspec.Struct, frozen=True):
    """
    A figure of a variant and its mean paired difference from the reference.

    ``half`` is half the width of the 95% interval of ``difference``.
    """

    variant: str
    figure: str
    mean: float
    difference: float
    half: float
    pairs: int

    @property
    def excludes_zero(self) -> bool:
        """Whether the interval of the difference excludes 0."""
        return Interval(self.difference, self.half).excludes_zero


class DayJob(NamedTuple):
    """A day to simulate and its deployment."""

    trial: DayTrial
    deployment: Deployment


def day_jobs(
    deployments: Iterable[Deployment], seeds: Iterable[int], variants: Sequence[str]
) -> list[DayJob]:
    """Return all days of an experiment; the variants of a day follow one another."""
    return [
        DayJob(DayTrial(deployment.name, digest, seed, name), deployment)
        for deployment in deployments
        for digest in [deployment_digest(deployment)]
        for seed in seeds
        for name in variants
    ]


def simulate_days(
    jobs: Sequence[DayJob], workers: int
) -> Generator[SimulatedDay, None, None]:
    """
    Yield simulated days in the order in which they finish.

    If the generator is closed early, as after Ctrl-C, the days that have not started
    are not simulated.
    """
    if workers <= 1:
        yield from map(_simulate, jobs)
        return
    with open_workers(workers) as pool:
        futures = [pool.submit(_simulate, job) for job in jobs]
        for future in as_completed(futures):
            yield future.result()


def _simulate(job: DayJob) -> SimulatedDay:
    day = simulate_day(job.deployment, job.trial.seed, job.trial.variant)
    return SimulatedDay(job.trial, day)


def compare(
    days: Mapping[DayTrial, DayResult], reference: str, figures: Sequence[str]
) -> list[Comparison]:
    """Return each variant's figures, paired with the reference's by day and seed."""
    by_variant: dict[str, dict[tuple[str, int], DayResult]] = {}
    for trial, day in days.items():
        key = (trial.digest, trial.seed)
        by_variant.setdefault(trial.variant, {})[key] = day
    reference_days = by_variant.get(reference, {})
    return [
        comparison
        for name, days_by_key in by_variant.items()
        for figure in figures
        if (comparison := _compare_one(name, figure, days_by_key, reference_days))
        is not None
    ]


def _compare_one(
    name: str,
    figure: str,
    days_by_key: Mapping[tuple[str, int], DayResult],
    reference_days: Mapping[tuple[str, int], DayResult],
) -> Comparison | None:
    keys = [key for key in days_by_key if key in reference_days]
    if len(keys) < 2:
        return None
    variant_values = [float(getattr(days_by_key[key], figure)) for key in keys]
    reference_values = [float(getattr(reference_days[key], figure)) for key in keys]
    difference = paired_difference(variant_values, reference_values)
    return Comparison(
        name,
        figure,
        fmean(variant_values),
        difference.mean,
        difference.half_width,
        len(keys),
    )
