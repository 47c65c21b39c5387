"""Plots attainment and cost by trace and contender."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl

from amaranthtally.operator.replay.measures import Figures
from amaranthtally.operator.replay.report import TraceReport

mpl.use("Agg")

from matplotlib import pyplot
from matplotlib.axes import Axes

__all__ = ["plot_reports"]

WIDTH_IN = 11.0
HEIGHT_IN = 7.0
GROUP_WIDTH = 0.84
# A fixed salt for ids, and no date, make the SVG the same for the same reports.
HASH_SALT = "amaranthtally"


def plot_reports(reports: Sequence[TraceReport], path: Path) -> None:
    """Write a plot of the reports as SVG."""
    mpl.rcParams["svg.hashsalt"] = HASH_SALT
    mpl.rcParams["svg.fonttype"] = "none"
    figure, (upper, lower) = pyplot.subplots(
        2, 1, figsize=(WIDTH_IN, HEIGHT_IN), sharex=True, layout="constrained"
    )
    _draw_bars(upper, reports, [[f.attainment for f in r.contenders] for r in reports])
    _draw_bounds(upper, reports)
    upper.set_ylabel("attainment")
    upper.set_ylim(0.0, 1.05)
    _draw_bars(
        lower, reports, [[f.cost_per_answer for f in r.contenders] for r in reports]
    )
    lower.set_ylabel("cost per answer in time")
    lower.set_xticks(range(len(reports)), [r.trace for r in reports], rotation=40)
    for label in lower.get_xticklabels():
        label.set_horizontalalignment("right")
    handles, labels = upper.get_legend_handles_labels()
    figure.legend(handles, labels, ncols=6, loc="outside upper center")
    figure.savefig(path, format="svg", metadata={"Date": None})
    pyplot.close(figure)


def _draw_bars(
    axes: Axes, reports: Sequence[TraceReport], values: list[list[float]]
) -> None:
    contenders: list[Figures] = reports[0].contenders
    width = GROUP_WIDTH / len(contenders)
    for i, figures in enumerate(contenders):
        offset = (i - (len(contenders) - 1) / 2) * width
        positions = [trace_position + offset for trace_position in range(len(reports))]
        heights = [row[i] for row in values]
        axes.bar(positions, heights, width, label=figures.contender)
    axes.grid(axis="y", alpha=0.3)


def _draw_bounds(axes: Axes, reports: Sequence[TraceReport]) -> None:
    half = GROUP_WIDTH / 2
    for position, report in enumerate(reports):
        axes.hlines(
            report.bound_attainment,
            position - half,
            position + half,
            colors="black",
            linestyles="dashed",
            label="clairvoyant bound" if position == 0 else "",
        )
