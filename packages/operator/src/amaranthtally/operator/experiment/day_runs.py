"""Plays days side by side, and compares variants pair by pair."""

from collections.abc import Generator, Iterable, Mapping, Sequence
from concurrent.futures import as_completed
from statistics import fmean
from typing import NamedTuple

import msgspec

from amaranthtally.operator.experiment.intervals import Interval, paired_difference
from amaranthtally.operator.experiment.trial_log import (
    DayTrial,
    PlayedDay,
    deployment_digest,
)
from amaranthtally.operator.experiment.workers import open_workers
from amaranthtally.simulator.days import DayResult, simulate_day
from amaranthtally.simulator.deployment import Deployment

__all__ = ["Comparison", "DayJob", "compare", "day_jobs", "play_days"]


class Comparison(msgspec.Struct, frozen=True):
    """A figure of a variant, and its difference to the reference, each ± half."""

    variant: str
    figure: str
    mean: float
    difference: float
    half: float
    pairs: int

    @property
    def is_clear(self) -> bool:
        """Whether the interval of the difference leaves out 0."""
        return Interval(self.difference, self.half).is_clear


class DayJob(NamedTuple):
    """A day to be played, and its deployment."""

    trial: DayTrial
    deployment: Deployment


def day_jobs(
    deployments: Iterable[Deployment], seeds: Iterable[int], variants: Sequence[str]
) -> list[DayJob]:
    """Return each day that an experiment plays, those of one pair side by side."""
    return [
        DayJob(DayTrial(deployment.name, digest, seed, name), deployment)
        for deployment in deployments
        for digest in [deployment_digest(deployment)]
        for seed in seeds
        for name in variants
    ]


def play_days(jobs: Sequence[DayJob], workers: int) -> Generator[PlayedDay, None, None]:
    """
    Yield days as they are played, in any order.

    Closed early, as by Ctrl-C, it plays none of those that have not begun.
    """
    if workers <= 1:
        yield from map(_play, jobs)
        return
    with open_workers(workers) as pool:
        futures = [pool.submit(_play, job) for job in jobs]
        for future in as_completed(futures):
            yield future.result()


def _play(job: DayJob) -> PlayedDay:
    day = simulate_day(job.deployment, job.trial.seed, job.trial.variant)
    return PlayedDay(job.trial, day)


def compare(
    days: Mapping[DayTrial, DayResult], reference: str, figures: Sequence[str]
) -> list[Comparison]:
    """Return each variant's figures, paired with the reference's by day and seed."""
    by_variant: dict[str, dict[tuple[str, int], DayResult]] = {}
    for trial, day in days.items():
        key = (trial.digest, trial.seed)
        by_variant.setdefault(trial.variant, {})[key] = day
    base = by_variant.get(reference, {})
    return [
        comparison
        for name, played in by_variant.items()
        for figure in figures
        if (comparison := _compare_one(name, figure, played, base)) is not None
    ]


def _compare_one(
    name: str,
    figure: str,
    played: Mapping[tuple[str, int], DayResult],
    base: Mapping[tuple[str, int], DayResult],
) -> Comparison | None:
    keys = [key for key in played if key in base]
    if len(keys) < 2:
        return None
    own = [float(getattr(played[key], figure)) for key in keys]
    other = [float(getattr(base[key], figure)) for key in keys]
    found = paired_difference(own, other)
    return Comparison(name, figure, fmean(own), found.mean, found.half, len(keys))
