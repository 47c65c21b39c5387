"""Tables and plots of days that variants of the policy were played on."""

from collections.abc import Mapping, Sequence
from pathlib import Path

from matplotlib.figure import Figure

from amaranthtally.operator.experiment.day_runs import Comparison
from amaranthtally.operator.experiment.trial_log import DayTrial
from amaranthtally.simulator.days import DayResult

__all__ = ["plot_differences", "render_broken", "render_comparisons"]

HEIGHT_PER_VARIANT_IN = 0.28
WIDTH_IN = 8.0


def render_comparisons(comparisons: Sequence[Comparison], figure: str) -> str:
    """Return a Markdown table of one figure, the largest loss first."""
    rows = [one for one in comparisons if one.figure == figure]
    rows.sort(key=lambda one: one.difference)
    lines = [
        f"| variant | {figure} | difference | ± | pairs | clear |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for one in rows:
        clear = "yes" if one.is_clear else ""
        lines.append(
            f"| {one.variant} | {one.mean:.3f} | {one.difference:+.4f} "
            f"| {one.half:.4f} | {one.pairs} | {clear} |"
        )
    return "\n".join(lines) + "\n"


def render_broken(days: Mapping[DayTrial, DayResult]) -> str:
    """Return a line for each promise that was broken."""
    lines = [
        f"{trial.deployment} seed {trial.seed} {trial.variant}: {what}"
        for trial, day in days.items()
        for what in day.broken
    ]
    return "\n".join(lines) + "\n" if lines else ""


def plot_differences(
    comparisons: Sequence[Comparison], figure: str, path: Path
) -> None:
    """Write a plot of each variant's difference and its interval, PNG or SVG."""
    rows = [one for one in comparisons if one.figure == figure]
    rows.sort(key=lambda one: one.difference, reverse=True)
    height = 1.0 + HEIGHT_PER_VARIANT_IN * len(rows)
    drawing = Figure(figsize=(WIDTH_IN, height), layout="constrained")
    axes = drawing.subplots()
    places = range(len(rows))
    axes.errorbar(
        [one.difference for one in rows],
        list(places),
        xerr=[one.half for one in rows],
        fmt="o",
        color="black",
        capsize=3,
    )
    axes.axvline(0.0, color="grey", linewidth=1)
    axes.set_yticks(list(places), [one.variant for one in rows])
    axes.set_xlabel(f"difference in {figure}")
    drawing.savefig(path)
