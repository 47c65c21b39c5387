"""Report of one trace: the contenders' figures, the bound and their ratios."""

import msgspec

from amaranthtally.operator.replay.baselines import POLICY
from amaranthtally.operator.replay.bound import Bound
from amaranthtally.operator.replay.measures import Figures
from amaranthtally.operator.replay.trace import Header

__all__ = ["TraceReport", "build_report"]

EQUAL_ATTAINMENT_TOLERANCE = 0.01


class TraceReport(msgspec.Struct, frozen=True):
    """Figures of one trace; ``capacity`` is in requests per second without faults."""

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
        """Return the names of the figures that ``outcome_figures`` returns."""
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
        """Return a contender's figures, or ``None`` if it was not replayed."""
        return next((f for f in self.contenders if f.contender == contender), None)

    def outcome_figures(self) -> dict[str, float]:
        """
        Return the policy's figures and their ratios to the bound and the baselines.

        ``cost_of_equal_baseline`` is the ratio to the cheapest baseline whose
        attainment is at most 0.01 below the policy's, or 0 if there is none. Baselines
        that fail more requests are excluded: their engines are less loaded, which makes
        their remaining answers look cheap.
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
            f
            for f in baselines
            if f.attainment >= policy.attainment - EQUAL_ATTAINMENT_TOLERANCE
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
    """Return the report of a trace from its contenders' figures."""
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
