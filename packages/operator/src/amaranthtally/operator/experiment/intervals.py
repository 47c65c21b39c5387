"""Means and their 95% intervals by Student's t, paired by trace and seed."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from statistics import fmean, stdev

__all__ = ["Interval", "estimate", "paired_difference"]

# Two-sided 95% quantiles of Student's t for 1 to 30 degrees of freedom. More
# degrees use the last, which makes their intervals a little too wide.
T_95 = (
    *(12.7062, 4.3027, 3.1824, 2.7764, 2.5706, 2.4469, 2.3646, 2.3060, 2.2622),
    *(2.2281, 2.2010, 2.1788, 2.1604, 2.1448, 2.1314, 2.1199, 2.1098, 2.1009),
    *(2.0930, 2.0860, 2.0796, 2.0739, 2.0687, 2.0639, 2.0595, 2.0555, 2.0518),
    *(2.0484, 2.0452, 2.0423),
)


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean, and the half of its 95% interval's width."""

    mean: float
    half: float

    @property
    def excludes_zero(self) -> bool:
        """Whether 0 is outside of the interval."""
        return abs(self.mean) > self.half


def estimate(values: Sequence[float]) -> Interval:
    """Return the mean of two values or more and its interval."""
    freedom = len(values) - 1
    quantile = T_95[min(freedom, len(T_95)) - 1]
    return Interval(fmean(values), quantile * stdev(values) / sqrt(len(values)))


def paired_difference(values: Sequence[float], reference: Sequence[float]) -> Interval:
    """
    Return the mean of ``values`` less ``reference``, seed by seed.

    Both met the same arrivals and work in each pair, so what a seed makes easy or
    hard for both drops out; means compared unpaired would bury small differences.
    """
    pairs = zip(values, reference, strict=True)
    return estimate([value - other for value, other in pairs])
