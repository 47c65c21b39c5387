"""Weighted max-min fair division of a capacity among client accounts."""

from collections.abc import Iterable, Sequence
from math import inf
from typing import NamedTuple

from amaranthtally.policy.usage_messages import Work

__all__ = [
    "NO_SHORTAGE",
    "OVERLOAD_RATIO",
    "Division",
    "divide",
    "fair_level",
    "is_overloaded",
    "is_starved",
]

# Ratio of offered to admitted work above which a resource counts as overloaded.
OVERLOAD_RATIO = 1.05
# Admitted work in seconds below which nothing is known of the capacity yet.
MIN_CAPACITY_S = 1e-3
# Part of the mean work below which an account counts as starved while it is refused.
# Twice the guaranteed quarter, so that it is served before it falls to that.
STARVED_PART = 0.5


class Division(NamedTuple):
    """
    The division of a resource; ``level`` and ``mean`` are work per unit of share.

    An account with more work than ``level`` times its share is above its share.
    ``mean`` is the capacity by the shares of all accounts with demand; ``capacity_s``
    is the work that was admitted when the division was computed. With
    ``is_local`` both refer to this entry's work alone, not to the fleet's.
    """

    level: float = inf
    mean: float = 0.0
    capacity_s: float = 0.0
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


def divide(accounts: Sequence[tuple[Work, float]], is_local: bool) -> Division:
    """
    Divide the admitted work among accounts, each with its share, if more is offered.

    A resource is also short while one account is refused and gets far less than the
    mean: a small account's requests are lost in the total.
    """
    offered_s = sum(work.offered_s for work, _ in accounts)
    admitted_s = sum(work.admitted_s for work, _ in accounts)
    weight = sum(share for work, share in accounts if work.offered_s > 0.0)
    if admitted_s < MIN_CAPACITY_S:
        return NO_SHORTAGE
    mean = admitted_s / weight if weight else 0.0
    if not is_overloaded(Work(offered_s, admitted_s)) and not any(
        is_starved(work, share, mean) for work, share in accounts
    ):
        return NO_SHORTAGE
    level = fair_level(
        ((work.offered_s / share, share) for work, share in accounts), admitted_s
    )
    return Division(level, mean, admitted_s, is_local)


def is_overloaded(work: Work) -> bool:
    """Whether much of the offered work is refused."""
    return work.offered_s > OVERLOAD_RATIO * work.admitted_s


def is_starved(work: Work, share: float, mean: float) -> bool:
    """Whether an account is refused work and gets far less than the mean."""
    return is_overloaded(work) and work.admitted_s < STARVED_PART * mean * share
