"""Means and paired differences with 95% confidence intervals by Student's t."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt
from statistics import fmean, stdev

__all__ = ["Interval", "estimate", "paired_difference"]

# Two-sided 95% quantiles of Student's t for 1 to 30 degrees of freedom. The last one
# is used for more degrees as well, which makes their intervals slightly too wide.
T_95 = (
    *(12.7062, 4.3027, 3.1824, 2.7764, 2.5706, 2.4469, 2.3646, 2.3060, 2.2622),
    *(2.2281, 2.2010, 2.1788, 2.1604, 2.1448, 2.1314, 2.1199, 2.1098, 2.1009),
    *(2.0930, 2.0860, 2.0796, 2.0739, 2.0687, 2.0639, 2.0595, 2.0555, 2.0518),
    *(2.0484, 2.0452, 2.0423),
)


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean and half the width of its 95% confidence interval."""

    mean: float
    half_width: float

    @property
    def excludes_zero(self) -> bool:
        """Whether 0 is outside the interval."""
        return abs(self.mean) > self.half_width


def estimate(values: Sequence[float]) -> Interval:
    """Return the mean of two or more values and its interval."""
    degrees_of_freedom = len(values) - 1
    quantile = T_95[min(degrees_of_freedom, len(T_95)) - 1]
    return Interval(fmean(values), quantile * stdev(values) / sqrt(len(values)))


def paired_difference(values: Sequence[float], reference: Sequence[float]) -> Interval:
    """
    Return the mean of ``values`` minus ``reference``, paired by position.

    The two values of a pair come from the same seed, with the same arrivals and work.
    Pairing therefore removes the variance between seeds, which can hide a small
    difference of unpaired means.
    """
    pairs = zip(values, reference, strict=True)
    return estimate([value - reference_value for value, reference_value in pairs])
