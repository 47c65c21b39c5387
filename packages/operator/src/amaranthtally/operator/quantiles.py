"""Quantiles of what was observed."""

from collections.abc import Sequence

__all__ = ["quantile"]


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that a share of values, from 0 to 1, lies below; 0 if none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
