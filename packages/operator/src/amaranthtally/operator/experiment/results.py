"""Summarizes the observations of all seeds as means and paired differences."""

from collections.abc import Iterable, Sequence
from statistics import fmean

import msgspec

from amaranthtally.operator.experiment.intervals import (
    Interval,
    estimate,
    paired_difference,
)
from amaranthtally.operator.experiment.plan import Plan
from amaranthtally.operator.experiment.trials import Observation

__all__ = ["ALL_SCENARIOS", "Comparison", "Result", "summarize"]

ALL_SCENARIOS = "mean"
DIGITS = 5


class Comparison(msgspec.Struct, frozen=True):
    """
    One figure of one variant over all seeds of a scenario.

    ``half`` is half the width of the 95% interval of ``mean``. ``difference`` is the
    mean difference from the reference, paired by seed; ``difference_half`` is half
    the width of its interval, and ``clear`` is true if that interval excludes 0.
    ``values`` has one value per seed, in the plan's order.
    """

    deployment: str
    scenario: str
    variant: str
    figure: str
    mean: float
    half: float
    difference: float
    difference_half: float
    clear: bool
    values: list[float]


class Result(msgspec.Struct, frozen=True):
    """Result of an experiment, as it is written to JSON."""

    reference: str
    variants: list[str]
    seeds: list[int]
    comparisons: list[Comparison]

    def find(
        self, deployment: str, scenario: str, variant: str, figure: str
    ) -> Comparison:
        """Return a comparison; raises ``StopIteration`` if there is none."""
        key = (deployment, scenario, variant, figure)
        return next(
            c
            for c in self.comparisons
            if (c.deployment, c.scenario, c.variant, c.figure) == key
        )

    @property
    def deployments(self) -> list[str]:
        """Deployments in the plan's order."""
        return list(dict.fromkeys(c.deployment for c in self.comparisons))

    @property
    def scenarios(self) -> list[str]:
        """``ALL_SCENARIOS`` for the mean, then the scenarios in the plan's order."""
        return list(dict.fromkeys(c.scenario for c in self.comparisons))

    @property
    def figures(self) -> list[str]:
        """Figures in the plan's order."""
        return list(dict.fromkeys(c.figure for c in self.comparisons))


def summarize(plan: Plan, observations: Iterable[Observation]) -> Result:
    """Return the result of a plan from the observations of all its traces."""
    table = _ObservationTable(plan, observations)
    scenarios = [ALL_SCENARIOS, *plan.scenarios]
    comparisons = [
        table.compare(deployment, scenario, variant, figure)
        for deployment in table.deployments
        for scenario in scenarios
        for variant in plan.compared_variants
        for figure in plan.figures
    ]
    return Result(plan.reference, plan.compared_variants, plan.seeds, comparisons)


class _ObservationTable:
    """The observations by deployment, scenario, variant and seed."""

    def __init__(self, plan: Plan, observations: Iterable[Observation]) -> None:
        self._plan = plan
        self._observations = {
            (o.deployment, o.scenario, o.variant, o.seed): o for o in observations
        }

    @property
    def deployments(self) -> list[str]:
        """Deployments in the plan's order."""
        return list(dict.fromkeys(key[0] for key in self._observations))

    def compare(
        self, deployment: str, scenario: str, variant: str, figure: str
    ) -> Comparison:
        """Return one figure of one variant, compared with the reference."""
        values = self._values_by_seed(deployment, scenario, variant, figure)
        reference = self._values_by_seed(
            deployment, scenario, self._plan.reference, figure
        )
        mean = _rounded(estimate(values))
        difference = _rounded(paired_difference(values, reference))
        return Comparison(
            deployment=deployment,
            scenario=scenario,
            variant=variant,
            figure=figure,
            mean=mean.mean,
            half=mean.half_width,
            difference=difference.mean,
            difference_half=difference.half_width,
            clear=difference.excludes_zero,
            values=[round(value, DIGITS) for value in values],
        )

    def _values_by_seed(
        self, deployment: str, scenario: str, variant: str, figure: str
    ) -> Sequence[float]:
        """Return a figure per seed, or its mean per seed for ``ALL_SCENARIOS``."""
        scenarios = self._plan.scenarios if scenario == ALL_SCENARIOS else [scenario]
        return [
            fmean(
                self._observations[deployment, name, variant, seed].figures[figure]
                for name in scenarios
            )
            for seed in self._plan.seeds
        ]


def _rounded(interval: Interval) -> Interval:
    return Interval(round(interval.mean, DIGITS), round(interval.half_width, DIGITS))
