"""Renders reports as Markdown tables."""

from collections.abc import Sequence

from amaranthtally.operator.replay.baselines import POLICY
from amaranthtally.operator.replay.measures import Figures
from amaranthtally.operator.replay.report import TraceReport

__all__ = ["render_report", "render_summary", "render_table"]

MEGABYTE = 1e6
COLUMNS = [
    *("contender", "attained", "of admitted", "goodput/s", "p99 s", "cost/answer"),
    *("MB between regions", "retries", "hedges", "wasted", "fairness"),
]
SUMMARY_COLUMNS = [
    *("trace", "bound", "policy", "best baseline", "of admitted"),
    *("burst of capacity", "cost/answer", "cheapest equal baseline", "MB", "fairness"),
]
NONE = "-"


def render_report(report: TraceReport) -> str:
    """Return tables of one trace's figures and of the contenders' costs by stage."""
    title = (
        f"{report.trace} (seed {report.seed}): bound {report.bound_attainment:.4f}; "
        f"bottleneck pool {report.bound_pool}, {report.capacity:.1f} calls/s"
    )
    pools = sorted({pool for f in report.contenders for pool in f.cost_by_stage})
    costs = [_cost_row(figures, pools) for figures in report.contenders]
    return "\n".join(
        [
            title,
            "",
            render_table(COLUMNS, [_row(figures) for figures in report.contenders]),
            "Cost by stage per answer in time, including traffic between regions:",
            "",
            render_table(["contender", *pools], costs),
        ]
    )


def render_summary(reports: Sequence[TraceReport]) -> str:
    """Return a table of the policy, the bound and the baselines, one row per trace."""
    return render_table(SUMMARY_COLUMNS, [_summary_row(report) for report in reports])


def _row(f: Figures) -> list[str]:
    return [
        f.contender,
        f"{f.attainment:.4f}",
        f"{f.admitted_attainment:.4f}",
        f"{f.goodput:.1f}",
        f"{f.latency_p99_s:.2f}",
        f"{f.cost_per_answer:.3f}",
        f"{f.region_bytes / MEGABYTE:.1f}",
        str(f.retries),
        str(f.hedges),
        f"{f.wasted_share:.1%}",
        f"{f.fairness:.3f}",
    ]


def _cost_row(f: Figures, pools: list[str]) -> list[str]:
    answers = max(1, f.good)
    costs = [f.cost_by_stage.get(pool, 0.0) / answers for pool in pools]
    return [f.contender, *(f"{cost:.4f}" for cost in costs)]


def _summary_row(report: TraceReport) -> list[str]:
    policy = report.figures(POLICY)
    assert policy is not None
    figures = report.outcome_figures()
    baselines = [f for f in report.contenders if f is not policy]
    best = max((f.attainment for f in baselines), default=None)
    ratio = figures["cost_of_equal_baseline"]
    return [
        report.trace,
        f"{report.bound_attainment:.4f}",
        f"{policy.attainment:.4f}",
        NONE if best is None else f"{best:.4f}",
        f"{policy.admitted_attainment:.4f}",
        _or_none(figures["burst_goodput_of_capacity"]),
        f"{policy.cost_per_answer:.3f}",
        _or_none(policy.cost_per_answer / ratio if ratio else 0.0),
        f"{policy.region_bytes / MEGABYTE:.1f}",
        f"{policy.fairness:.3f}",
    ]


def _or_none(value: float) -> str:
    return f"{value:.3f}" if value else NONE


def render_table(columns: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    separator = ["---"] * len(columns)
    return "".join(
        f"| {' | '.join(cells)} |\n" for cells in (columns, separator, *rows)
    )
