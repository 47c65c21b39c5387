"""The report of one trace: every contender's figures, the bound, and ratios."""

import msgspec

from amaranthtally.operator.replay.baselines import POLICY
from amaranthtally.operator.replay.bound import Bound
from amaranthtally.operator.replay.measures import Figures
from amaranthtally.operator.replay.trace import Header

__all__ = ["TraceReport", "build_report"]

EQUAL_WITHIN = 0.01


class TraceReport(msgspec.Struct, frozen=True):
    """What a trace showed; ``capacity`` in requests a second without faults."""

    trace: str
    deployment: str
    scenario: str
    seed: int
    bound_attainment: float
    bound_pool: str
    capacity: float
    contenders: list[Figures]

    @staticmethod
    def outcome_figure_names() -> list[str]:
        """Return the names of figures that outcomes can state."""
        return sorted(
            {
                *(
                    field.name
                    for field in msgspec.structs.fields(Figures)
                    if field.type in (int, float)
                ),
                *("attainment_of_bound", "burst_goodput_of_capacity"),
                *("attainment_over_best_baseline", "cost_of_best_baseline"),
                "cost_of_equal_baseline",
            }
        )

    def figures(self, contender: str) -> Figures | None:
        """Return a contender's figures."""
        return next((f for f in self.contenders if f.contender == contender), None)

    def outcome_figures(self) -> dict[str, float]:
        """
        Return the policy's figures and its ratios to the bound and baselines.

        ``cost_of_equal_baseline`` compares with the cheapest baseline that attains
        as much within 0.01, and is 0 where there is none: one that loses requests
        has emptier engines, so that its other answers look cheap.
        """
        policy = self.figures(POLICY)
        assert policy is not None
        baselines = [f for f in self.contenders if f is not policy] or [policy]
        values = msgspec.structs.asdict(policy)
        numbers = {
            name: float(value)
            for name, value in values.items()
            if isinstance(value, int | float)
        }
        best_attainment = max(f.attainment for f in baselines)
        best_cost = min(f.cost_per_answer for f in baselines)
        equal = [
            f for f in baselines if f.attainment >= policy.attainment - EQUAL_WITHIN
        ]
        equal_cost = min((f.cost_per_answer for f in equal), default=0.0)
        return numbers | {
            "cost_of_equal_baseline": _ratio(policy.cost_per_answer, equal_cost),
            "attainment_of_bound": _ratio(policy.attainment, self.bound_attainment),
            "burst_goodput_of_capacity": _ratio(policy.burst_goodput, self.capacity),
            "attainment_over_best_baseline": round(
                policy.attainment - best_attainment, 4
            ),
            "cost_of_best_baseline": _ratio(policy.cost_per_answer, best_cost),
        }


def build_report(
    name: str, header: Header, bound: Bound, contenders: list[Figures]
) -> TraceReport:
    """Return the report of a trace whose contenders have been measured."""
    return TraceReport(
        trace=name,
        deployment=header.deployment,
        scenario=header.scenario,
        seed=header.seed,
        bound_attainment=bound.attainment,
        bound_pool=bound.pool,
        capacity=bound.capacity,
        contenders=contenders,
    )


def _ratio(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 0.0
