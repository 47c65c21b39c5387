"""``stages``: what limits the stages of requests, from the daemons' logs."""

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.log_lines import MS_PER_S, LogLine, read_lines
from amaranthtally.operator.output import print_document, print_table
from amaranthtally.operator.quantiles import quantile
from amaranthtally.operator.stage_report import (
    PoolSpan,
    RouteSummary,
    StageReport,
    build_report,
)

__all__ = ["add_stages_command"]

# Default length, in seconds, of a span in the table of pools.
DEFAULT_SPAN_S = 4.0
POOL_HEADINGS = (
    *("POOL", "FROM s", "ENDPOINTS", "BUSY", "PIECES", "PLACES", "WAITING"),
    *("WAIT ms p50", "p90", "NOT FULL FOR"),
)
ROUTE_HEADINGS = (
    *("ROUTE", "REQUESTS", "STAGED ms p50", "p90", "REFUSED ms p50", "p90"),
    "ENDS",
)
STAGE_HEADINGS = ("ROUTE", "POOL", "CALLS", "WAIT ms p50", "p90", "CALL ms p50", "p90")
SPENT_HEADINGS = ("ENDPOINT SECONDS", "SHARE", "REQUESTS THAT ENDED")


def add_stages_command(app: App) -> None:
    """Add the command to the application."""
    app.command(stages)


def stages(
    logs: list[Path],
    /,
    *,
    span: float = DEFAULT_SPAN_S,
    as_json: Annotated[bool, Parameter(name="--json")] = False,
) -> ExitCode:
    """
    Show the time used by the endpoints for pieces and by the stages of requests.

    Per pool and span of time: how busy its endpoints were, pieces per call, and why
    calls were not full. Per route: how requests ended and where their time went.
    Last, the endpoints' time by the outcome of the requests it was used for.

    Parameters
    ----------
    logs
        Log files of all processes of a deployment, one for each process.
    span
        Length of a span of the table of pools, in seconds.
    as_json
        Print the tables as one JSON document.
    """
    if span <= 0:
        sys.stderr.write("--span must be above 0; give seconds, for example 4\n")
        return ExitCode.USAGE
    try:
        parsed = [line for path in logs for line in read_lines(path)]
    except OSError as error:
        sys.stderr.write(f"{error}; give readable files\n")
        return ExitCode.USAGE
    lines: list[LogLine] = [line for line in parsed if line is not None]
    if len(lines) < len(parsed):
        unparsed = len(parsed) - len(lines)
        sys.stderr.write(f"{unparsed} lines could not be parsed; skipped\n")
    report = build_report(lines, span)
    tables = {
        POOL_HEADINGS: list(_pool_rows(report, span)),
        ROUTE_HEADINGS: list(_route_rows(report)),
        STAGE_HEADINGS: list(_stage_rows(report)),
        SPENT_HEADINGS: list(_spent_rows(report)),
    }
    if as_json:
        print_document(
            [
                [dict(zip(headings, row, strict=True)) for row in rows]
                for headings, rows in tables.items()
            ]
        )
        return ExitCode.DONE
    for headings, rows in tables.items():
        print_table(headings, rows)
        sys.stdout.write("\n")
    return ExitCode.DONE


def _pool_rows(report: StageReport, span_s: float) -> Iterator[tuple[object, ...]]:
    for (pool, begin), span in sorted(report.spans.items()):
        yield (
            pool,
            begin,
            len(span.endpoints),
            round(span.busy_s / span_s / len(span.endpoints), 2),
            round(span.pieces / span.calls, 1),
            round(span.batch_limit / span.calls, 1),
            round(span.waiting / span.calls, 1),
            round(quantile(span.waits_ms, 0.5)),
            round(quantile(span.waits_ms, 0.9)),
            _shortages(span),
        )


def _shortages(span: PoolSpan) -> str:
    return ", ".join(f"{reason} {n}" for reason, n in span.shortages.most_common())


def _route_rows(report: StageReport) -> Iterator[tuple[object, ...]]:
    for route, summary in sorted(report.routes.items(), key=lambda item: item[0]):
        if not summary.calls_s:
            continue
        yield (
            route,
            sum(summary.outcomes.values()),
            _quantile_ms(summary.staged_s, 0.5),
            _quantile_ms(summary.staged_s, 0.9),
            _quantile_ms(summary.refused_s, 0.5),
            _quantile_ms(summary.refused_s, 0.9),
            ", ".join(
                f"{outcome} {n}" for outcome, n in summary.outcomes.most_common()
            ),
        )


def _stage_rows(report: StageReport) -> Iterator[tuple[object, ...]]:
    for route, summary in sorted(report.routes.items(), key=lambda item: item[0]):
        for pool in summary.calls_s:
            yield (
                route,
                pool,
                len(summary.calls_s[pool]),
                *_wait_and_call_ms(summary, pool),
            )


def _wait_and_call_ms(summary: RouteSummary, pool: str) -> tuple[int, int, int, int]:
    waits_s, calls_s = summary.waits_s[pool], summary.calls_s[pool]
    return (
        _quantile_ms(waits_s, 0.5),
        _quantile_ms(waits_s, 0.9),
        _quantile_ms(calls_s, 0.5),
        _quantile_ms(calls_s, 0.9),
    )


def _spent_rows(report: StageReport) -> Iterator[tuple[object, ...]]:
    total_s = sum(report.spent_s.values())
    spent = sorted(report.spent_s.items(), key=lambda item: -item[1])
    for outcome, spent_s in spent:
        yield (round(spent_s, 1), round(spent_s / total_s, 3), outcome)


def _quantile_ms(values_s: list[float], share: float) -> int:
    return round(quantile(values_s, share) * MS_PER_S)
