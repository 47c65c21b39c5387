"""``stages``: what binds stages of requests, read from the daemons' logs."""

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

# How long a span of the table of pools is, in seconds, if nothing else is said.
DEFAULT_SPAN_S = 4.0
POOL_HEADS = (
    *("POOL", "FROM s", "ENDPOINTS", "BUSY", "PIECES", "PLACES", "WAITING"),
    *("WAIT ms p50", "p90", "NOT FULL FOR"),
)
ROUTE_HEADS = (
    *("ROUTE", "REQUESTS", "STAGED ms p50", "p90", "REFUSED ms p50", "p90"),
    "ENDS",
)
STEP_HEADS = ("ROUTE", "POOL", "CALLS", "WAIT ms p50", "p90", "CALL ms p50", "p90")
SPENT_HEADS = ("ENDPOINT SECONDS", "SHARE", "REQUESTS THAT ENDED")


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
    Show what endpoints for pieces and requests' stages took, and what for.

    Per pool and span of time: how busy its endpoints were, pieces a call, and what
    kept calls from being full. Per route: how requests ended and where their time
    went. Then the endpoints' time by what became of the requests.

    Parameters
    ----------
    logs
        Logs of all processes of a deployment, a file each.
    span
        Length of a span of the table of pools, in seconds.
    as_json
        Print the tables as one JSON document.
    """
    if span <= 0:
        sys.stderr.write("--span is 0 or less; give seconds, for example 4\n")
        return ExitCode.USAGE
    try:
        read = [line for path in logs for line in read_lines(path)]
    except OSError as error:
        sys.stderr.write(f"{error}; give files that can be read\n")
        return ExitCode.USAGE
    lines: list[LogLine] = [line for line in read if line is not None]
    if len(lines) < len(read):
        unread = len(read) - len(lines)
        sys.stderr.write(f"{unread} lines are no log lines; they were left out\n")
    report = build_report(lines, span)
    tables = {
        POOL_HEADS: list(_pool_rows(report, span)),
        ROUTE_HEADS: list(_route_rows(report)),
        STEP_HEADS: list(_step_rows(report)),
        SPENT_HEADS: list(_spent_rows(report)),
    }
    if as_json:
        print_document(
            [
                [dict(zip(heads, row, strict=True)) for row in rows]
                for heads, rows in tables.items()
            ]
        )
        return ExitCode.DONE
    for heads, rows in tables.items():
        print_table(heads, rows)
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
            round(span.places / span.calls, 1),
            round(span.waiting / span.calls, 1),
            round(quantile(span.waits_ms, 0.5)),
            round(quantile(span.waits_ms, 0.9)),
            _reasons(span),
        )


def _reasons(span: PoolSpan) -> str:
    return ", ".join(f"{why} {n}" for why, n in span.shortages.most_common())


def _route_rows(report: StageReport) -> Iterator[tuple[object, ...]]:
    for route, summary in sorted(report.routes.items(), key=lambda item: item[0]):
        if not summary.calls_s:
            continue
        yield (
            route,
            sum(summary.ends.values()),
            _ms(summary.staged_s, 0.5),
            _ms(summary.staged_s, 0.9),
            _ms(summary.refused_s, 0.5),
            _ms(summary.refused_s, 0.9),
            ", ".join(f"{end} {n}" for end, n in summary.ends.most_common()),
        )


def _step_rows(report: StageReport) -> Iterator[tuple[object, ...]]:
    for route, summary in sorted(report.routes.items(), key=lambda item: item[0]):
        for pool in summary.calls_s:
            yield (route, pool, len(summary.calls_s[pool]), *_times(summary, pool))


def _times(summary: RouteSummary, pool: str) -> tuple[int, int, int, int]:
    waits_s, calls_s = summary.waits_s[pool], summary.calls_s[pool]
    return (
        _ms(waits_s, 0.5),
        _ms(waits_s, 0.9),
        _ms(calls_s, 0.5),
        _ms(calls_s, 0.9),
    )


def _spent_rows(report: StageReport) -> Iterator[tuple[object, ...]]:
    whole_s = sum(report.spent_s.values())
    spent = sorted(report.spent_s.items(), key=lambda item: -item[1])
    for end, spent_s in spent:
        yield (round(spent_s, 1), round(spent_s / whole_s, 3), end)


def _ms(values_s: list[float], share: float) -> int:
    return round(quantile(values_s, share) * MS_PER_S)
