"""Simulates a day of a deployment and summarises its results."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from amaranthtally.simulator.deployment import Deployment
from amaranthtally.simulator.faults import plan_faults
from amaranthtally.simulator.mechanisms import POLICY, Variant, variant
from amaranthtally.simulator.requests import Ending, RequestRecord
from amaranthtally.simulator.simulation import Simulation

__all__ = ["DayResult", "figure_names", "simulate", "simulate_day"]

KILO, GIGA = 1e3, 1e9


class DayResult(msgspec.Struct, frozen=True):
    """
    The results of a simulated day, most of them as shares.

    ``earned`` and ``prices`` are shares of the worth of all requests, and ``worth`` is
    their difference. ``on_time`` and ``refused`` are shares of the requests, ``wasted``
    is the share of stage time spent on tries without a response, and ``worst_kind`` the
    least earned share of any kind. ``broken`` lists the violated invariants.
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
    """Return the names of the result fields that are shares."""
    return [f for f in DayResult.__struct_fields__ if f not in ("requests", "broken")]


def simulate(
    deployment: Deployment, seed: int = 1, policy_variant: Variant = POLICY
) -> Simulation:
    """Return a finished simulation; raises ``DeploymentError`` for an unknown fault."""
    return plan_faults(Simulation(deployment, seed, policy_variant)).run()


def simulate_day(
    deployment: Deployment, seed: int, variant_name: str = "policy"
) -> DayResult:
    """Simulate and summarise a day; raises ``DeploymentError`` for an unknown fault."""
    simulation = simulate(deployment, seed, variant(variant_name))
    records = simulation.callers.records
    total_worth = sum(record.worth for record in records) or 1.0
    earned = sum(record.earned for record in records) / total_worth
    endings = Counter(record.ending for record in records)
    count = max(1, len(records))
    busy_s = sum(server.busy_s for server in simulation.stage_servers())
    wasted_s = _wasted_s(simulation, busy_s)
    prices = _prices(simulation, wasted_s) / total_worth
    return DayResult(
        worth=earned - prices,
        earned=earned,
        prices=prices,
        on_time=endings[Ending.ON_TIME] / count,
        refused=endings[Ending.REFUSED] / count,
        wasted=wasted_s / busy_s if busy_s else 0.0,
        worst_kind=_worst_kind(records),
        requests=len(records),
        broken=tuple(simulation.invariants.violations),
    )


def _wasted_s(simulation: Simulation, busy_s: float) -> float:
    """Return the stage time that did not contribute to a response, in seconds."""
    useful_s = sum(
        record.stage_s / max(1, record.tries)
        for record in simulation.callers.records
        if record.ending in (Ending.ON_TIME, Ending.LATE)
    )
    return max(0.0, busy_s - useful_s)


def _prices(simulation: Simulation, wasted_s: float) -> float:
    prices = simulation.deployment.prices
    recomputed = simulation.prefill_tracker.recomputed_tokens / KILO
    transferred = simulation.results.transferred_bytes / GIGA
    return (
        prices.stage_second * wasted_s
        + prices.thousand_tokens * recomputed
        + prices.crossing_gigabyte * transferred
    )


def _worst_kind(records: Sequence[RequestRecord]) -> float:
    by_kind: dict[str, list[RequestRecord]] = {}
    for record in records:
        by_kind.setdefault(record.kind, []).append(record)
    shares = [
        sum(record.earned for record in kind_records)
        / sum(record.worth for record in kind_records)
        for kind_records in by_kind.values()
    ]
    return min(shares, default=0.0)
