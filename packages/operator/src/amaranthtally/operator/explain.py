"""``explain``: the story of one request, from the logs of every process it touched."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

from cyclopts import App

from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.log_lines import MS_PER_S, LogLine, read_lines

__all__ = ["Story", "add_explain_command", "read_story"]

# Fields that the story's own columns hold.
COLUMNS = frozenset({"timestamp", "level", "event", "request_id", "requests"})


@dataclass(frozen=True, slots=True)
class Story:
    """A request's events in order, and how many lines could not be read."""

    lines: tuple[LogLine, ...]
    unread: int


def add_explain_command(app: App) -> None:
    """Add the command to the application."""
    app.command(explain)


def explain(request_id: str, logs: list[Path], /) -> ExitCode:
    """
    Print what was decided on a request, on which facts, and where its time went.

    Parameters
    ----------
    request_id
        The caller's id of the request.
    logs
        Logs of the processes, a file each; a file's name is taken as its process.
    """
    try:
        story = read_story(request_id, logs)
    except OSError as error:
        sys.stderr.write(f"{error}; give files that can be read\n")
        return ExitCode.USAGE
    if story.unread:
        sys.stderr.write(f"{story.unread} lines are no log lines; they were left out\n")
    if not story.lines:
        sys.stderr.write(f"no line names {request_id}; give the logs of its gateway\n")
        return ExitCode.REFUSED
    for text in render(story):
        sys.stdout.write(f"{text}\n")
    return ExitCode.DONE


def read_story(request_id: str, logs: Iterable[Path]) -> Story:
    """Gather a request's lines from files; raises ``OSError``."""
    found: list[LogLine] = []
    unread = 0
    for path in logs:
        for line in read_lines(path, request_id):
            if line is None or not _names(line, request_id):
                unread += 1
            else:
                found.append(line)
    return Story(tuple(sorted(found, key=lambda line: line.at)), unread)


def render(story: Story) -> Iterator[str]:
    """Return a line an event: time from the first, time since the last, process."""
    first = last = story.lines[0].at
    for line in story.lines:
        from_first = (line.at - first).total_seconds() * MS_PER_S
        since = (line.at - last).total_seconds() * MS_PER_S
        last = line.at
        when = f"{from_first:9.0f} ms +{since:<6.0f}"
        facts = " ".join(
            f"{k}={v}" for k, v in line.fields.items() if v and k not in COLUMNS
        )
        yield f"{when} {line.process}: {line.event} {facts}"


def _names(line: LogLine, request_id: str) -> bool:
    return line.text("request_id") == request_id or request_id in line.names("requests")
