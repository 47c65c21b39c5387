"""Quantiles of samples."""

from collections.abc import Sequence

__all__ = ["quantile"]


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile at ``share``, from 0 to 1; 0 when there are no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
