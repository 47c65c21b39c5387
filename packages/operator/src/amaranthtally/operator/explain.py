"""``explain``: the timeline of one request, from the logs of all its processes."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from cyclopts import App

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.log_lines import MS_PER_S, LogLine, read_lines

__all__ = ["RequestTimeline", "add_explain_command", "read_timeline"]

# Left out of a line's details: shown in its other columns, or of no use there.
OMITTED_FIELDS = frozenset({"timestamp", "level", "event", "request_id", "requests"})


@dataclass(frozen=True, slots=True)
class RequestTimeline:
    """A request's events in time order, and the count of unusable lines with its id."""

    lines: tuple[LogLine, ...]
    unused_lines: int


def add_explain_command(app: App) -> None:
    """Add the command to the application."""
    app.command(explain)


def explain(request_id: str, logs: list[Path], /) -> ExitCode:
    """
    Print the decisions taken on a request, their inputs, and where its time went.

    Parameters
    ----------
    request_id
        Id of the request, as the caller knows it.
    logs
        Log files, one for each process; the file's stem is shown as the process name.
    """
    try:
        timeline = read_timeline(request_id, logs)
    except OSError as error:
        sys.stderr.write(f"{error}; give readable files\n")
        return ExitCode.USAGE
    if timeline.unused_lines:
        sys.stderr.write(
            f"{timeline.unused_lines} unusable lines that contain the id were skipped\n"
        )
    if not timeline.lines:
        sys.stderr.write(
            f"no log line mentions {request_id}; give the logs of its gateway\n"
        )
        return ExitCode.REFUSED
    for text in render(timeline):
        sys.stdout.write(f"{text}\n")
    return ExitCode.DONE


def read_timeline(request_id: str, logs: Iterable[Path]) -> RequestTimeline:
    """Collect a request's log lines from files; raises ``OSError``."""
    matching: list[LogLine] = []
    unused_lines = 0
    for path in logs:
        for line in read_lines(path, request_id):
            if line is None or not _mentions(line, request_id):
                unused_lines += 1
            else:
                matching.append(line)
    return RequestTimeline(
        tuple(sorted(matching, key=lambda line: line.timestamp)), unused_lines
    )


def render(timeline: RequestTimeline) -> Iterator[str]:
    """
    Yield one line of text per event.

    It holds the milliseconds since the first and the previous event, the process,
    the event and its fields.
    """
    first = previous = timeline.lines[0].timestamp
    for line in timeline.lines:
        since_first_ms = (line.timestamp - first).total_seconds() * MS_PER_S
        since_previous_ms = (line.timestamp - previous).total_seconds() * MS_PER_S
        previous = line.timestamp
        offsets = f"{since_first_ms:9.0f} ms +{since_previous_ms:<6.0f}"
        details = " ".join(
            f"{k}={v}" for k, v in line.fields.items() if v and k not in OMITTED_FIELDS
        )
        yield f"{offsets} {line.process}: {line.event} {details}"


def _mentions(line: LogLine, request_id: str) -> bool:
    return line.text("request_id") == request_id or request_id in line.values(
        "requests"
    )
