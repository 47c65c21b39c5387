"""Plays days side by side, and compares variants pair by pair."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from multiprocessing import get_context

import msgspec

from amaranthtally.operator.experiment.intervals import (
    Interval,
    estimate,
    paired_difference,
)
from amaranthtally.operator.experiment.trial_log import (
    DayTrial,
    PlayedDay,
    deployment_digest,
)
from amaranthtally.simulator.days import Day, play_day
from amaranthtally.simulator.deployment import Deployment

__all__ = ["Comparison", "compare", "day_trials", "play_days"]


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
        return abs(self.difference) > self.half


@dataclass(frozen=True, slots=True)
class _Job:
    trial: DayTrial
    deployment: Deployment


def day_trials(
    deployments: Iterable[Deployment], seeds: Iterable[int], variants: Sequence[str]
) -> list[tuple[DayTrial, Deployment]]:
    """Return each day that an experiment plays, those of one pair side by side."""
    return [
        (
            DayTrial(
                deployment.name, deployment_digest(deployment), seed, variant_name
            ),
            deployment,
        )
        for deployment in deployments
        for seed in seeds
        for variant_name in variants
    ]


def play_days(
    trials: Sequence[tuple[DayTrial, Deployment]], jobs: int
) -> Iterator[PlayedDay]:
    """
    Yield days as they are played, in any order.

    Ended early, as by Ctrl-C, it plays none of those that have not begun.
    """
    work = [_Job(trial, deployment) for trial, deployment in trials]
    if jobs <= 1:
        yield from map(_play, work)
        return
    # Spawned, not forked: a worker starts without threads and locks of this process.
    pool = ProcessPoolExecutor(jobs, mp_context=get_context("spawn"))
    try:
        futures: list[Future[PlayedDay]] = [pool.submit(_play, job) for job in work]
        for future in as_completed(futures):
            yield future.result()
    finally:
        pool.shutdown(cancel_futures=True)


def _play(job: _Job) -> PlayedDay:
    day = play_day(job.deployment, job.trial.seed, job.trial.variant)
    return PlayedDay(job.trial, day)


def compare(
    days: Mapping[DayTrial, Day], reference: str, figures: Sequence[str]
) -> list[Comparison]:
    """Return each variant's figures, paired with the reference's by day and seed."""
    by_variant: dict[str, dict[tuple[str, int], Day]] = {}
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
    played: Mapping[tuple[str, int], Day],
    base: Mapping[tuple[str, int], Day],
) -> Comparison | None:
    keys = [key for key in played if key in base]
    if len(keys) < 2:
        return None
    own = [float(getattr(played[key], figure)) for key in keys]
    other = [float(getattr(base[key], figure)) for key in keys]
    found: Interval = paired_difference(own, other)
    mean = estimate(own).mean
    return Comparison(name, figure, mean, found.mean, found.half, len(keys))
