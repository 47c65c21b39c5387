"""Plays a day of a deployment, and sums up what callers got."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.faults import plan_faults
from amaranthtally.simulator.mechanisms import POLICY, Variant, variant
from amaranthtally.simulator.requests import Ending, RequestRecord
from amaranthtally.simulator.world import World

__all__ = ["DayResult", "figure_names", "simulate", "simulate_day"]

KILO, GIGA = 1e3, 1e9


class DayResult(msgspec.Struct, frozen=True):
    """
    What a day was worth, as shares of what was owed, and what was broken.

    ``worth`` is ``earned`` less ``prices``; ``wasted`` the share of stage time that
    went to requests without an answer in time.
    """

    worth: float
    earned: float
    prices: float
    on_time: float
    refused: float
    wasted: float
    worst_kind: float
    requests: int
    broken: tuple[str, ...] = ()


def figure_names() -> list[str]:
    """Return the figures of a day that are shares."""
    return [f for f in DayResult.__struct_fields__ if f not in ("requests", "broken")]


def simulate(deployment: Deployment, seed: int = 1, chosen: Variant = POLICY) -> World:
    """Return a world whose day is over; raises ``DeploymentError``."""
    return plan_faults(World(deployment, seed, chosen)).run()


def simulate_day(
    deployment: Deployment, seed: int, variant_name: str = "policy"
) -> DayResult:
    """Play a day and sum it up; raises ``DeploymentError`` for an unknown fault."""
    world = simulate(deployment, seed, variant(variant_name))
    records = world.callers.records
    owed = sum(one.worth for one in records) or 1.0
    earned = sum(one.earned for one in records) / owed
    endings = Counter(one.ending for one in records)
    count = max(1, len(records))
    busy_s = sum(server.busy_s for server in world.stage_servers())
    wasted_s = _wasted_s(world, busy_s)
    prices = _prices(world, wasted_s) / owed
    return DayResult(
        worth=earned - prices,
        earned=earned,
        prices=prices,
        on_time=endings[Ending.ON_TIME] / count,
        refused=endings[Ending.REFUSED] / count,
        wasted=wasted_s / busy_s if busy_s else 0.0,
        worst_kind=_worst_kind(records),
        requests=len(records),
        broken=tuple(world.promises.broken),
    )


def _wasted_s(world: World, busy_s: float) -> float:
    """Return the stage time that made nothing which an answered request read."""
    useful_s = sum(
        record.stage_s / max(1, record.tries)
        for record in world.callers.records
        if record.ending in (Ending.ON_TIME, Ending.LATE)
    )
    return max(0.0, busy_s - useful_s)


def _prices(world: World, wasted_s: float) -> float:
    prices = world.deployment.prices
    again = world.read_parts.again_tokens / KILO
    crossed = world.results.crossed_bytes / GIGA
    return (
        prices.stage_second * wasted_s
        + prices.thousand_tokens * again
        + prices.crossing_gigabyte * crossed
    )


def _worst_kind(records: Sequence[RequestRecord]) -> float:
    by_kind: dict[str, list[RequestRecord]] = {}
    for one in records:
        by_kind.setdefault(one.kind, []).append(one)
    shares = [
        sum(one.earned for one in of_kind) / sum(one.worth for one in of_kind)
        for of_kind in by_kind.values()
    ]
    return min(shares, default=0.0)
