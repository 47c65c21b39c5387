"""Renders results as Markdown tables."""

from amaranthtally.operator.experiment.ablations import ablations
from amaranthtally.operator.experiment.results import Comparison, Result
from amaranthtally.operator.replay.tables import render_table

__all__ = ["render_result"]

BOLD = "**"
NONE = "-"


def render_result(result: Result) -> str:
    """Return a table of variants by scenario for each deployment and figure."""
    seeds = ", ".join(map(str, result.seeds))
    intro = (
        f"Seeds {seeds}. First row: mean of `{result.reference}` ± half its 95% "
        "interval; rows below: difference from it, paired by seed, in bold if its "
        "interval excludes 0."
    )
    parts = [intro, ""]
    for deployment in result.deployments:
        for figure in result.figures:
            parts.append(f"{deployment}, {figure}:")
            parts.append("")
            parts.append(_table(result, deployment, figure))
    return "\n".join(parts)


def _table(result: Result, deployment: str, figure: str) -> str:
    rows = []
    for variant in result.variants:
        comparisons = [
            result.find(deployment, scenario, variant, figure)
            for scenario in result.scenarios
        ]
        is_reference = variant == result.reference
        cells = [_mean(c) if is_reference else _difference(c) for c in comparisons]
        rows.append([_decision(variant), variant, *cells])
    return render_table(["decision", "variant", *result.scenarios], rows)


def _decision(variant: str) -> str:
    decision = ablations().get(variant)
    return NONE if decision is None else f"{decision.number}, {decision.name}"


def _mean(comparison: Comparison) -> str:
    return f"{comparison.mean:.4f} ±{comparison.half:.4f}"


def _difference(comparison: Comparison) -> str:
    text = f"{comparison.difference:+.4f} ±{comparison.difference_half:.4f}"
    return f"{BOLD}{text}{BOLD}" if comparison.clear else text
