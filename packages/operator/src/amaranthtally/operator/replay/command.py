"""The commands ``replay`` and ``trace``."""

import sys
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from amaranthtally.operator.replay.baselines import (
    POLICY,
    contender_names,
    get_contender,
)
from amaranthtally.operator.replay.bound import clairvoyant_bound
from amaranthtally.operator.replay.errors import OutcomesError, TraceError
from amaranthtally.operator.replay.measures import measure
from amaranthtally.operator.replay.outcomes import (
    MissedOutcome,
    Outcomes,
    check,
    read_outcomes,
)
from amaranthtally.operator.replay.report import TraceReport, build_report
from amaranthtally.operator.replay.scenarios import make_trace, scenario_names
from amaranthtally.operator.replay.simulation import replay
from amaranthtally.operator.replay.tables import render_report, render_summary
from amaranthtally.operator.replay.trace import Trace, read_trace, write_trace

__all__ = ["register", "report_trace"]

EXIT_MISSED = 1
EXIT_BAD_INPUT = 2
DEFAULT_SEED = 20261203
TRACE_SUFFIX = ".jsonl.gz"


class _Output(msgspec.Struct, frozen=True):
    reports: list[TraceReport]
    misses: list[MissedOutcome]


def register(app: App) -> None:
    """Add the commands to the operators' command line."""
    app.command(replay_traces, name="replay")
    app.command(make_traces, name="trace")


def report_trace(name: str, trace: Trace, contenders: list[str]) -> TraceReport:
    """Replay a trace with each contender and return the report."""
    header = trace.header
    bound = clairvoyant_bound(trace)
    figures = [
        measure(contender, header, replay(trace, get_contender(contender)), bound.pool)
        for contender in contenders
    ]
    return build_report(name, header, bound, figures)


def replay_traces(
    *traces: Path,
    outcomes: Path | None = None,
    baselines: bool = True,
    json: Annotated[bool, Parameter(negative="")] = False,
    plot: Path | None = None,
) -> int:
    """
    Replay traces through the policy on a virtual clock.

    Exits with 1 if an expected outcome is missed and 2 if a file cannot be used.

    Parameters
    ----------
    traces
        Trace files, compressed or not.
    outcomes
        TOML file of expected outcomes: limits on the reported figures.
    baselines
        Replay the baselines as well as the policy.
    json
        Print JSON instead of tables.
    plot
        SVG file to write a plot of attainment and cost to.
    """
    names = contender_names() if baselines else [POLICY]
    try:
        expected = read_outcomes(outcomes) if outcomes else Outcomes()
        loaded = [(_trace_name(path), read_trace(path)) for path in traces]
    except (OutcomesError, TraceError) as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT
    reports = [report_trace(name, trace, names) for name, trace in loaded]
    misses = [miss for report in reports for miss in check(expected, report)]
    _print(_Output(reports, misses), json)
    if plot is not None:
        _plot(reports, plot)
    return EXIT_MISSED if misses else 0


def make_traces(
    deployment: Path,
    *,
    out: Path,
    seed: int = DEFAULT_SEED,
    scenario: str = "",
) -> int:
    """
    Make the traces of a deployment; the same seed gives the same traces.

    Parameters
    ----------
    deployment
        Deployment file, such as examples/agrosalv.toml.
    out
        Directory for the traces.
    seed
        Seed of the arrivals and of the work of each stage.
    scenario
        Scenario to make a trace of; all scenarios if left out.
    """
    names = [scenario] if scenario else scenario_names()
    if not set(names) <= set(scenario_names()):
        sys.stderr.write(
            f"unknown scenario; choose from {', '.join(scenario_names())}\n"
        )
        return EXIT_BAD_INPUT
    try:
        made_traces = [make_trace(deployment, name, seed) for name in names]
    except TraceError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT
    out.mkdir(parents=True, exist_ok=True)
    for trace in made_traces:
        header = trace.header
        path = out / f"{header.deployment}-{header.scenario}{TRACE_SUFFIX}"
        write_trace(path, trace)
        sys.stdout.write(f"{path}: {len(trace.arrivals)} arrivals\n")
    return 0


def _print(output: _Output, as_json: bool) -> None:
    if as_json:
        text = msgspec.json.format(msgspec.json.encode(output)).decode()
        sys.stdout.write(f"{text}\n")
        return
    for report in output.reports:
        sys.stdout.write(f"{render_report(report)}\n")
    if len(output.reports) > 1:
        sys.stdout.write(f"{render_summary(output.reports)}\n")
    for miss in output.misses:
        sys.stdout.write(f"MISSED {miss}\n")


def _plot(reports: list[TraceReport], path: Path) -> None:
    # Imported here because loading Matplotlib takes longer than replaying a short
    # trace.
    from amaranthtally.operator.replay.plot import plot_reports

    plot_reports(reports, path)


def _trace_name(path: Path) -> str:
    return path.name.removesuffix(".gz").removesuffix(".jsonl")
