"""Tables and plots that compare variants of the policy on simulated days."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from matplotlib.figure import Figure

from amaranthtally.operator.experiment.day_runs import Comparison
from amaranthtally.operator.experiment.trial_log import DayTrial
from amaranthtally.simulator.days import DayResult

__all__ = ["plot_differences", "render_violations", "render_comparisons"]

HEIGHT_PER_VARIANT_IN = 0.28
WIDTH_IN = 8.0


def render_comparisons(comparisons: Sequence[Comparison], figure: str) -> str:
    """Return a Markdown table of one figure in ascending order of difference."""
    rows = [comparison for comparison in comparisons if comparison.figure == figure]
    rows.sort(key=lambda comparison: comparison.difference)
    lines = [
        f"| variant | {figure} | difference | ± | pairs | clear |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for comparison in rows:
        clear = "yes" if comparison.excludes_zero else ""
        lines.append(
            f"| {comparison.variant} | {comparison.mean:.3f} "
            f"| {comparison.difference:+.4f} | {comparison.half:.4f} "
            f"| {comparison.pairs} | {clear} |"
        )
    return "\n".join(lines) + "\n"


def render_violations(days: Mapping[DayTrial, DayResult]) -> str:
    """Return one line for each violation of an invariant."""
    lines = [
        f"{trial.deployment} seed {trial.seed} {trial.variant}: {violation}"
        for trial, day in days.items()
        for violation in day.broken
    ]
    return "\n".join(lines) + "\n" if lines else ""


def plot_differences(
    comparisons: Sequence[Comparison], figure: str, path: Path
) -> None:
    """Write a plot of each variant's difference and its interval, as PNG or SVG."""
    rows = [comparison for comparison in comparisons if comparison.figure == figure]
    rows.sort(key=lambda comparison: comparison.difference, reverse=True)
    height = 1.0 + HEIGHT_PER_VARIANT_IN * len(rows)
    drawing = Figure(figsize=(WIDTH_IN, height), layout="constrained")
    axes = drawing.subplots()
    positions = range(len(rows))
    axes.errorbar(
        [comparison.difference for comparison in rows],
        list(positions),
        xerr=[comparison.half for comparison in rows],
        fmt="o",
        color="black",
        capsize=3,
    )
    axes.axvline(0.0, color="grey", linewidth=1)
    axes.set_yticks(list(positions), [comparison.variant for comparison in rows])
    axes.set_xlabel(f"difference in {figure}")
    drawing.savefig(path)
