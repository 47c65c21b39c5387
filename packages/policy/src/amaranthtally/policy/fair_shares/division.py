"""Weighted max-min fair division of a capacity among client accounts."""

from collections.abc import Iterable
from math import inf
from typing import NamedTuple

__all__ = ["NO_SHORTAGE", "OVERLOAD_RATIO", "Division", "divide", "fair_level"]

# Ratio of offered to admitted work above which a resource counts as overloaded.
OVERLOAD_RATIO = 1.05


class Division(NamedTuple):
    """
    The division of a resource; ``level`` and ``mean`` are work per unit of share.

    An account with more work than ``level`` times its share is above its share.
    ``mean`` is the capacity by the shares of all accounts with demand. With
    ``is_local`` both refer to this entry's work alone, not to the fleet's.
    """

    level: float = inf
    mean: float = 0.0
    is_local: bool = False

    @property
    def is_short(self) -> bool:
        """Whether there is less of the resource than is asked for."""
        return self.level < inf


NO_SHORTAGE = Division()


def fair_level(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """
    Return the level at which the accounts' fair work adds up to ``capacity``.

    ``demands`` holds the offered work by unit of share, and the share, of each account.
    """
    ordered = sorted(demands)
    weight = sum(share for _, share in ordered)
    for demand, share in ordered:
        if demand * weight >= capacity:
            return capacity / weight
        capacity -= demand * share
        weight -= share
    return inf


def divide(
    demands: list[tuple[float, float]],
    offered_s: float,
    admitted_s: float,
    is_local: bool,
) -> Division:
    """Divide what is admitted, if more is offered."""
    if offered_s <= OVERLOAD_RATIO * admitted_s or not demands:
        return NO_SHORTAGE
    weight = sum(share for demand, share in demands if demand > 0.0)
    mean = admitted_s / weight if weight else 0.0
    return Division(fair_level(demands, admitted_s), mean, is_local)
